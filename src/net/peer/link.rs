//! One connection to another host: TLS, mutual proof, and frames on one stream per direction.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use compact_str::{format_compact, CompactString};
use displaydoc::Display;
use quinn_proto::{
    Connection, ConnectionError, Dir, Event, ReadError, StreamEvent, StreamId, VarInt, WriteError,
};

use super::counters::PeerCounters;
use super::names::{start, PeerAction, PeerGuard, PeerState, PeerStep};
use crate::auth::{ChannelBinding, PeerProof, ProofSide, Secret, EXPORT_LABEL};
use crate::chart::Machine;
use crate::core::peer::{Envelope, Hello, MessageNumber, PeerMessage};
use crate::types::HostId;
use crate::wire::peer_frame::{
    put_frame, read_message, take_frame, PeerFault, MAX_HELLO_BYTES, MAX_MESSAGE_BYTES,
};

/// Longest time from the first datagram to the proof.
const PROOF_LIMIT: Duration = Duration::from_secs(2);

/// Bytes that may wait for a peer that takes nothing in; two messages of the largest size.
const MAX_OUTPUT_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// Code of a connection closed because of a fault of the other side.
const CLOSE_REFUSED: u32 = 1;

/// What this host says about itself, and the fleet's secret.
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
    /// the first message is not a greeting
    NoHello,
    /// a second greeting
    SecondHello,
    /// no proof of the fleet's secret from {0}
    WrongProof(Hello),
    /// {0} is not the host that was expected here
    WrongHost(Hello),
    /// no proof in time
    Late,
    /// a newer connection takes its place
    Replaced,
    /// the peer takes no messages in
    Blocked,
    /// key material is not available
    NoBinding,
    /// the stream ended
    StreamEnded,
    /// the host's row shows another process
    Outdated,
    /// this host stops
    Stopping,
}

/// What a connection tells its owner.
#[derive(Debug)]
pub(super) enum Report {
    /// The peer has proven itself.
    Opened,
    /// A message of a peer that has proven itself.
    Message(Envelope),
    /// An open connection ended.
    Closed,
}

/// One connection.
pub(super) struct Link {
    pub connection: Connection,
    pub counters: PeerCounters,
    machine: Machine<PeerState, PeerStep, PeerGuard, PeerAction>,
    identity: Rc<Identity>,
    dialed: Option<HostId>,
    peer: Option<Hello>,
    opened_at: Instant,
    sends: Option<StreamId>,
    receives: Option<StreamId>,
    input: BytesMut,
    output: BytesMut,
    reports: Vec<Report>,
}

impl Link {
    /// A connection that was just begun; `dialed` is the expected host on the side that dialed.
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
            sends: None,
            receives: None,
            input: BytesMut::new(),
            output: BytesMut::new(),
            reports: Vec::new(),
        }
    }

    /// The peer, after its proof.
    pub fn peer(&self) -> Option<&Hello> {
        self.peer.as_ref()
    }

    /// The host that this side dialed.
    pub fn dialed(&self) -> Option<&HostId> {
        self.dialed.as_ref()
    }

    /// Whether messages can be sent.
    pub fn is_open(&self) -> bool {
        self.machine.state() == PeerState::Open
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.machine.is_done()
    }

    /// Time since the connection was begun.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.opened_at)
    }

    /// When [`Link::on_timeout`] has something to do.
    pub fn next_timeout(&mut self) -> Option<Instant> {
        let proof = matches!(self.machine.state(), PeerState::Dialing | PeerState::Proving)
            .then_some(self.opened_at + PROOF_LIMIT);
        proof.into_iter().chain(self.connection.poll_timeout()).min()
    }

    /// Takes the reports since the last call.
    pub fn take_reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.reports)
    }

    /// Lets time pass.
    pub fn on_timeout(&mut self, now: Instant) {
        if self.connection.poll_timeout().is_some_and(|timeout| timeout <= now) {
            self.connection.handle_timeout(now);
        }
        let unproven = matches!(self.machine.state(), PeerState::Dialing | PeerState::Proving);
        if unproven && now >= self.opened_at + PROOF_LIMIT {
            self.refuse(now, &Refusal::Late);
        }
    }

    /// Takes in what happened to the QUIC connection; whether anything did.
    pub fn poll(&mut self, now: Instant) -> bool {
        let mut active = false;
        while let Some(event) = self.connection.poll() {
            active = true;
            match event {
                Event::Connected => self.fire(now, PeerStep::Connected),
                Event::ConnectionLost { reason } => self.lost(now, &reason),
                Event::Stream(StreamEvent::Opened { dir: Dir::Bi }) => {
                    self.receives = self.connection.streams().accept(Dir::Bi).or(self.receives);
                    self.read(now);
                }
                Event::Stream(StreamEvent::Readable { id }) if Some(id) == self.receives => {
                    self.read(now);
                }
                Event::Stream(StreamEvent::Writable { id }) if Some(id) == self.sends => {
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

    /// Sends a message to a peer that has proven itself.
    pub fn send(&mut self, now: Instant, envelope: &Envelope) {
        if !self.is_open() {
            return;
        }
        if let Err(fault) = put_frame(&mut self.output, envelope) {
            tracing::error!(%fault, "peer: a message was not sent");
        }
        self.flush(now);
    }

    /// Ends the connection because of a fault that this side found.
    pub fn refuse(&mut self, now: Instant, refusal: &Refusal) {
        if self.is_closed() {
            return;
        }
        let from = self.name();
        match refusal {
            Refusal::Replaced | Refusal::Outdated | Refusal::Stopping => {
                tracing::info!(%from, cause = %refusal, "peer: connection is closed");
            }
            _ => tracing::warn!(%from, cause = %refusal, "peer: connection is refused"),
        }
        self.fire(now, PeerStep::Refused);
    }

    fn name(&self) -> CompactString {
        let address = self.connection.remote_address();
        match self.peer.as_ref().map(|peer| &peer.host).or(self.dialed.as_ref()) {
            Some(host) => format_compact!("{host} at {address}"),
            None => format_compact!("{address}"),
        }
    }

    fn lost(&mut self, now: Instant, reason: &ConnectionError) {
        if self.is_closed() {
            return;
        }
        let name = self.name();
        if self.is_open() {
            tracing::info!(%name, cause = %reason, "peer: connection was lost");
        } else {
            tracing::debug!(%name, cause = %reason, "peer: no connection");
        }
        self.fire(now, PeerStep::Lost);
    }

    fn fire(&mut self, now: Instant, event: PeerStep) {
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

    fn binding(&self) -> Option<ChannelBinding> {
        let mut binding = ChannelBinding::default();
        let session = self.connection.crypto_session();
        session.export_keying_material(&mut binding, EXPORT_LABEL, b"").ok().map(|()| binding)
    }

    fn send_proof(&mut self, now: Instant) {
        self.sends = self.connection.streams().open(Dir::Bi);
        let Some(binding) = self.binding() else {
            return self.refuse(now, &Refusal::NoBinding);
        };
        let Identity { hello, secret } = self.identity.as_ref();
        let incarnation = format_compact!("{}", hello.incarnation);
        let proof = PeerProof::compute(secret, &binding, self.side(), &claims(hello, &incarnation));
        let message = PeerMessage::Hello(hello.clone(), proof);
        let envelope = Envelope { number: MessageNumber(0), answers: None, message };
        if let Err(fault) = put_frame(&mut self.output, &envelope) {
            tracing::error!(%fault, "peer: the greeting was not sent");
        }
        self.flush(now);
    }

    fn flush(&mut self, now: Instant) {
        let Some(id) = self.sends else { return };
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

    fn read(&mut self, now: Instant) {
        loop {
            let more = self.read_some();
            if let Err(refusal) = self.frames(now) {
                return self.refuse(now, &refusal);
            }
            match more {
                Ok(true) => {}
                Ok(false) => return,
                Err(refusal) => return self.refuse(now, &refusal),
            }
        }
    }

    /// Reads what has arrived, at most one message of the largest size; whether there may be more.
    fn read_some(&mut self) -> Result<bool, Refusal> {
        let Some(id) = self.receives else { return Ok(false) };
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

    fn frames(&mut self, now: Instant) -> Result<(), Refusal> {
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
                (false, PeerMessage::Hello(hello, proof)) => self.hello(now, hello, proof)?,
                (false, _) => return Err(Refusal::NoHello),
            }
        }
        Ok(())
    }

    /// Checks the proof first, so that a host without the secret learns nothing from the answer.
    fn hello(&mut self, now: Instant, hello: Hello, proof: PeerProof) -> Result<(), Refusal> {
        let binding = self.binding().ok_or(Refusal::NoBinding)?;
        let other = match self.side() {
            ProofSide::Dialer => ProofSide::Acceptor,
            ProofSide::Acceptor => ProofSide::Dialer,
        };
        let incarnation = format_compact!("{}", hello.incarnation);
        let claims = claims(&hello, &incarnation);
        if !proof.verify(&self.identity.secret, &binding, other, &claims) {
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
        self.fire(now, PeerStep::Proven);
        Ok(())
    }
}

fn claims<'a>(hello: &'a Hello, incarnation: &'a str) -> [&'a str; 3] {
    [hello.host.as_str(), incarnation, hello.failure_domain.as_str()]
}
