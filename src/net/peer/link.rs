//! One connection to another host: TLS, mutual authentication, and frames on one stream per
//! direction.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use compact_str::{format_compact, CompactString};
use displaydoc::Display;
use quinn_proto::{
    Connection, ConnectionError, Dir, Event, ReadError, StreamEvent, StreamId, VarInt, WriteError,
};

use super::counters::PeerCounters;
use super::names::{start, PeerAction, PeerChartEvent, PeerGuard, PeerState};
use crate::auth::{ChannelBinding, PeerProof, ProofSide, Secret, EXPORT_LABEL};
use crate::chart::Machine;
use crate::core::peer::{Envelope, Hello, MessageNumber, PeerMessage};
use crate::types::HostId;
use crate::wire::peer_frame::{
    put_frame, read_message, take_frame, PeerFault, MAX_HELLO_BYTES, MAX_MESSAGE_BYTES,
};

/// Longest time from the start of a connection to the authentication of the peer.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest backlog of unsent bytes, when the peer does not read: two messages of the largest size.
const MAX_OUTPUT_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// QUIC application error code with which this side closes a connection.
const CLOSE_REFUSED: u32 = 1;

/// Identity of this host and the fleet's secret that authenticates it.
#[derive(Debug)]
pub(super) struct Identity {
    pub hello: Hello,
    pub secret: Secret,
}

/// Why this side ends a connection.
#[derive(Debug, Display)]
pub(super) enum Refusal {
    /// {0}
    Malformed(PeerFault),
    /// the first message is not a hello message
    NoHello,
    /// the peer sent a second hello message
    SecondHello,
    /// {0} has not proven that it knows the fleet's secret
    WrongProof(Hello),
    /// {0} is not the expected host
    WrongHost(Hello),
    /// the peer was not authenticated in time
    Late,
    /// a newer connection replaces it
    Replaced,
    /// the peer does not read its messages
    Blocked,
    /// the connection has no key material for the proof
    NoBinding,
    /// the stream ended
    StreamEnded,
    /// another process of the host is newer, or its address has changed
    Outdated,
    /// this host is stopping
    Stopping,
}

/// Event of a connection that [`Link::take_reports`] returns to its owner.
#[derive(Debug)]
pub(super) enum Report {
    /// The peer is authenticated.
    Opened,
    /// A message from an authenticated peer.
    Message(Envelope),
    /// An open connection ended.
    Closed,
}

/// One QUIC connection to a peer.
pub(super) struct Link {
    pub connection: Connection,
    pub counters: PeerCounters,
    machine: Machine<PeerState, PeerChartEvent, PeerGuard, PeerAction>,
    identity: Rc<Identity>,
    dialed: Option<HostId>,
    peer: Option<Hello>,
    opened_at: Instant,
    send_stream: Option<StreamId>,
    receive_stream: Option<StreamId>,
    input: BytesMut,
    output: BytesMut,
    reports: Vec<Report>,
}

impl Link {
    /// Wraps a new connection. `dialed` is the expected host if this side dialed.
    pub fn new(
        connection: Connection,
        identity: Rc<Identity>,
        dialed: Option<HostId>,
        now: Instant,
    ) -> Self {
        Self {
            connection,
            counters: PeerCounters::default(),
            machine: start(),
            identity,
            dialed,
            peer: None,
            opened_at: now,
            send_stream: None,
            receive_stream: None,
            input: BytesMut::new(),
            output: BytesMut::new(),
            reports: Vec::new(),
        }
    }

    /// Identity of the peer, once it is authenticated.
    pub fn peer(&self) -> Option<&Hello> {
        self.peer.as_ref()
    }

    /// The host that this side dialed; `None` if the peer dialed.
    pub fn dialed(&self) -> Option<&HostId> {
        self.dialed.as_ref()
    }

    /// Whether the peer is authenticated and messages can be sent.
    pub fn is_open(&self) -> bool {
        self.machine.state() == PeerState::Open
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.machine.is_done()
    }

    /// Time since the start of the connection.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.opened_at)
    }

    /// When [`Link::on_timeout`] has to be called next.
    pub fn next_timeout(&mut self) -> Option<Instant> {
        let deadline = matches!(self.machine.state(), PeerState::Dialing | PeerState::Proving)
            .then_some(self.opened_at + AUTHENTICATION_TIMEOUT);
        deadline.into_iter().chain(self.connection.poll_timeout()).min()
    }

    /// Removes and returns the reports since the last call.
    pub fn take_reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.reports)
    }

    /// Handles QUIC timeouts and the time limit for authentication.
    pub fn on_timeout(&mut self, now: Instant) {
        if self.connection.poll_timeout().is_some_and(|timeout| timeout <= now) {
            self.connection.handle_timeout(now);
        }
        let unauthenticated =
            matches!(self.machine.state(), PeerState::Dialing | PeerState::Proving);
        if unauthenticated && now >= self.opened_at + AUTHENTICATION_TIMEOUT {
            self.refuse(now, &Refusal::Late);
        }
    }

    /// Handles the events of the QUIC connection and returns whether there were any.
    pub fn poll(&mut self, now: Instant) -> bool {
        let mut active = false;
        while let Some(event) = self.connection.poll() {
            active = true;
            match event {
                Event::Connected => self.fire(now, PeerChartEvent::Connected),
                Event::ConnectionLost { reason } => self.on_lost(now, &reason),
                Event::Stream(StreamEvent::Opened { dir: Dir::Bi }) => {
                    self.receive_stream =
                        self.connection.streams().accept(Dir::Bi).or(self.receive_stream);
                    self.read_messages(now);
                }
                Event::Stream(StreamEvent::Readable { id }) if Some(id) == self.receive_stream => {
                    self.read_messages(now);
                }
                Event::Stream(StreamEvent::Writable { id }) if Some(id) == self.send_stream => {
                    self.flush(now);
                }
                Event::Stream(_)
                | Event::HandshakeDataReady
                | Event::DatagramReceived
                | Event::DatagramsUnblocked => {}
            }
        }
        active
    }

    /// Sends a message; does nothing unless the connection is open.
    pub fn send(&mut self, now: Instant, envelope: &Envelope) {
        if !self.is_open() {
            return;
        }
        if let Err(fault) = put_frame(&mut self.output, envelope) {
            tracing::error!(%fault, "peer: message was not sent");
        }
        self.flush(now);
    }

    /// Closes the connection for a reason that lies on this side or that this side found.
    pub fn refuse(&mut self, now: Instant, refusal: &Refusal) {
        if self.is_closed() {
            return;
        }
        let from = self.peer_name();
        match refusal {
            Refusal::Replaced | Refusal::Outdated | Refusal::Stopping => {
                tracing::info!(%from, cause = %refusal, "peer: connection closed by this host");
            }
            _ => tracing::warn!(%from, cause = %refusal, "peer: connection refused by this host"),
        }
        self.fire(now, PeerChartEvent::Refused);
    }

    fn peer_name(&self) -> CompactString {
        let address = self.connection.remote_address();
        match self.peer.as_ref().map(|peer| &peer.host).or(self.dialed.as_ref()) {
            Some(host) => format_compact!("{host} at {address}"),
            None => format_compact!("{address}"),
        }
    }

    fn on_lost(&mut self, now: Instant, reason: &ConnectionError) {
        if self.is_closed() {
            return;
        }
        let name = self.peer_name();
        if self.is_open() {
            tracing::info!(%name, cause = %reason, "peer: connection lost");
        } else {
            tracing::debug!(%name, cause = %reason, "peer: connection was not established");
        }
        self.fire(now, PeerChartEvent::Lost);
    }

    fn fire(&mut self, now: Instant, event: PeerChartEvent) {
        let dialer = self.dialed.is_some();
        let step = self.machine.fire(event, |guard| match guard {
            PeerGuard::Dialer => dialer,
        });
        for action in step.actions {
            match action {
                PeerAction::SendProof => self.send_proof(now),
                PeerAction::ReportOpen => self.reports.push(Report::Opened),
                PeerAction::ReportClosed => self.reports.push(Report::Closed),
                PeerAction::Close => {
                    self.connection.close(now, VarInt::from_u32(CLOSE_REFUSED), Bytes::new());
                }
            }
        }
    }

    fn side(&self) -> ProofSide {
        match self.dialed {
            Some(_) => ProofSide::Dialer,
            None => ProofSide::Acceptor,
        }
    }

    fn channel_binding(&self) -> Option<ChannelBinding> {
        let mut binding = ChannelBinding::default();
        let session = self.connection.crypto_session();
        session.export_keying_material(&mut binding, EXPORT_LABEL, b"").ok().map(|()| binding)
    }

    fn send_proof(&mut self, now: Instant) {
        self.send_stream = self.connection.streams().open(Dir::Bi);
        let Some(binding) = self.channel_binding() else {
            return self.refuse(now, &Refusal::NoBinding);
        };
        let Identity { hello, secret } = self.identity.as_ref();
        let incarnation = format_compact!("{}", hello.incarnation);
        let proof = PeerProof::compute(secret, &binding, self.side(), &claims(hello, &incarnation));
        let message = PeerMessage::Hello(hello.clone(), proof);
        let envelope = Envelope { number: MessageNumber(0), answers: None, message };
        if let Err(fault) = put_frame(&mut self.output, &envelope) {
            tracing::error!(%fault, "peer: hello message was not sent");
        }
        self.flush(now);
    }

    fn flush(&mut self, now: Instant) {
        let Some(id) = self.send_stream else { return };
        while !self.output.is_empty() {
            match self.connection.send_stream(id).write(&self.output) {
                Ok(written) => self.output.advance(written),
                Err(WriteError::Blocked) => break,
                Err(_) => return self.refuse(now, &Refusal::StreamEnded),
            }
        }
        if self.output.len() > MAX_OUTPUT_BYTES {
            self.refuse(now, &Refusal::Blocked);
        }
    }

    fn read_messages(&mut self, now: Instant) {
        loop {
            let has_more = self.read_some();
            if let Err(refusal) = self.handle_frames(now) {
                return self.refuse(now, &refusal);
            }
            match has_more {
                Ok(true) => {}
                Ok(false) => return,
                Err(refusal) => return self.refuse(now, &refusal),
            }
        }
    }

    /// Reads received bytes until the input buffer holds a message of the largest size. Returns
    /// whether there may be more to read.
    fn read_some(&mut self) -> Result<bool, Refusal> {
        let Some(id) = self.receive_stream else { return Ok(false) };
        let mut stream = self.connection.recv_stream(id);
        let Ok(mut chunks) = stream.read(true) else { return Err(Refusal::StreamEnded) };
        while self.input.len() < MAX_MESSAGE_BYTES {
            match chunks.next(MAX_MESSAGE_BYTES) {
                Ok(Some(chunk)) => self.input.extend_from_slice(&chunk.bytes),
                Err(ReadError::Blocked) => return Ok(false),
                Ok(None) | Err(ReadError::Reset(_)) => return Err(Refusal::StreamEnded),
            }
        }
        Ok(true)
    }

    fn handle_frames(&mut self, now: Instant) -> Result<(), Refusal> {
        while !self.is_closed() {
            let limit = if self.is_open() { MAX_MESSAGE_BYTES } else { MAX_HELLO_BYTES };
            let frame = take_frame(&mut self.input, limit).map_err(Refusal::Malformed)?;
            let Some(bytes) = frame else { return Ok(()) };
            let envelope = read_message(&bytes).map_err(Refusal::Malformed)?;
            match (self.is_open(), envelope.message) {
                (true, PeerMessage::Hello(..)) => return Err(Refusal::SecondHello),
                (true, message) => {
                    self.reports.push(Report::Message(Envelope { message, ..envelope }))
                }
                (false, PeerMessage::Hello(hello, proof)) => self.on_hello(now, hello, proof)?,
                (false, _) => return Err(Refusal::NoHello),
            }
        }
        Ok(())
    }

    /// Authenticates the peer. The proof is checked before the host id, so that a host without the
    /// secret learns nothing else from this host's reaction.
    fn on_hello(&mut self, now: Instant, hello: Hello, proof: PeerProof) -> Result<(), Refusal> {
        let binding = self.channel_binding().ok_or(Refusal::NoBinding)?;
        let other_side = match self.side() {
            ProofSide::Dialer => ProofSide::Acceptor,
            ProofSide::Acceptor => ProofSide::Dialer,
        };
        let incarnation = format_compact!("{}", hello.incarnation);
        let claims = claims(&hello, &incarnation);
        if !proof.verify(&self.identity.secret, &binding, other_side, &claims) {
            return Err(Refusal::WrongProof(hello));
        }
        // Of two hosts the one with the lower id dials, so there are no simultaneous connections.
        let expected = match &self.dialed {
            Some(dialed) => hello.host == *dialed,
            None => hello.host < self.identity.hello.host,
        };
        if !expected {
            return Err(Refusal::WrongHost(hello));
        }
        self.peer = Some(hello);
        self.fire(now, PeerChartEvent::Proven);
        Ok(())
    }
}

fn claims<'a>(hello: &'a Hello, incarnation: &'a str) -> [&'a str; 3] {
    [hello.host.as_str(), incarnation, hello.failure_domain.as_str()]
}
