//! Actor of one caller connection: it owns the socket, logs the caller in and submits its requests.

mod login;
mod message;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use stakker::{after, call, fwd, fwd_to, stop, Actor, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::auth::ScramServer;
use crate::chart::{Machine, NoGuard};
use crate::core::classify::POSITION_PARAMETER;
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::net::endpoint::EndpointConnection;
use crate::net::stream::{Stream, StreamState};
use crate::types::{KeyId, RequestId, SessionId};
use crate::wire::batch::{Batch, BatchBuilder, BatchProgress};
use crate::wire::pg::{self, BackendKey, Frame};

use message::CHART;
pub use message::{
    chart, Answer, CallerAction, CallerChart, CallerEvent, CallerInput, CallerOptions, CallerState,
    RouteAnswer, StartupRequest,
};

/// Longest time from accept to the end of login.
const LOGIN_LIMIT: Duration = Duration::from_secs(10);
/// Output above which the endpoint connection stops reading.
const HIGH_WATER_BYTES: usize = 1024 * 1024;
/// Output below which the endpoint connection reads again.
const LOW_WATER_BYTES: usize = 256 * 1024;
/// Largest answer that is held until its write is durable.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// A caller connection.
pub struct Caller {
    session: SessionId,
    hub: Fwd<CallerEvent>,
    options: CallerOptions,
    peer: SocketAddr,
    machine: Machine<CallerState, CallerInput, NoGuard, CallerAction>,
    stream: Stream,
    builder: BatchBuilder,
    startup: Option<StartupRequest>,
    cancel: Option<BackendKey>,
    scram: Option<Box<ScramServer>>,
    proof: Option<Frame>,
    sasl_started: bool,
    key: Option<KeyId>,
    greeting: BytesMut,
    batch: Option<Box<Batch>>,
    requests: u64,
    current: Option<RequestId>,
    held: BytesMut,
    end: Option<(Answer, Option<CompactString>)>,
    transaction: TransactionState,
    fault: Option<Error>,
    slow_source: Option<Actor<EndpointConnection>>,
}

impl Caller {
    /// Takes over an accepted socket. Events go to `hub`.
    pub fn init(
        cx: CX![],
        session: SessionId,
        socket: TcpStream,
        options: CallerOptions,
        hub: Fwd<CallerEvent>,
    ) -> Option<Self> {
        let peer = socket.peer_addr();
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        match (peer, Stream::new(&miopoll, socket, true, ready)) {
            (Ok(peer), Ok(stream)) => {
                after!(LOGIN_LIMIT, [cx], check_login());
                Some(Self::with_stream(session, peer, stream, options, hub))
            }
            (peer, stream) => {
                let error = peer.err().or(stream.err());
                tracing::info!("caller: {session} was lost at accept: {error:?}");
                fwd!([hub], CallerEvent::Left);
                stop!(cx);
                None
            }
        }
    }

    fn with_stream(
        session: SessionId,
        peer: SocketAddr,
        stream: Stream,
        options: CallerOptions,
        hub: Fwd<CallerEvent>,
    ) -> Self {
        Self {
            session,
            hub,
            options,
            peer,
            machine: CHART.start(),
            stream,
            builder: BatchBuilder::new(session),
            startup: None,
            cancel: None,
            scram: None,
            proof: None,
            sasl_started: false,
            key: None,
            greeting: BytesMut::new(),
            batch: None,
            requests: 0,
            current: None,
            held: BytesMut::new(),
            end: None,
            transaction: TransactionState::Idle,
            fault: None,
            slow_source: None,
        }
    }

    /// The hub found the caller's route.
    pub fn route(&mut self, cx: CX![], answer: RouteAnswer) {
        match answer {
            RouteAnswer::Open => self.fire(cx, CallerInput::OpenRoute),
            RouteAnswer::Keyed(scram) => {
                self.scram = Some(scram);
                self.fire(cx, CallerInput::KeyedRoute);
            }
        }
    }

    /// The hub admitted the session; `greeting` holds parameters and key data.
    pub fn admit(&mut self, cx: CX![], greeting: BytesMut) {
        self.greeting = greeting;
        self.fire(cx, CallerInput::Admitted);
        self.consume(cx);
    }

    /// Refuses the caller and closes the connection.
    pub fn evict(&mut self, cx: CX![], error: Error) {
        self.fault(cx, error);
    }

    /// Bytes of the endpoint's answer to `request`. Answers to earlier requests are dropped.
    pub fn answer_bytes(
        &mut self,
        cx: CX![],
        request: RequestId,
        hold: bool,
        bytes: Bytes,
        source: Actor<EndpointConnection>,
    ) {
        if self.current != Some(request) {
            tracing::warn!(
                "caller: {} dropped an answer to {request}, which has ended",
                self.session
            );
            return;
        }
        if hold {
            self.hold(&bytes);
            return;
        }
        self.stream.output.extend_from_slice(&bytes);
        self.send(cx);
        if self.stream.output.len() > HIGH_WATER_BYTES && self.slow_source.is_none() {
            call!([source], pause(true));
            self.slow_source = Some(source);
        }
    }

    fn hold(&mut self, bytes: &Bytes) {
        if self.held.len() + bytes.len() <= MAX_HELD_BYTES {
            self.held.extend_from_slice(bytes);
        } else if self.fault.is_none() {
            let detail =
                "the answer is larger than the 16 MiB that can be held until it is durable";
            self.fault = Some(Error::new(ErrorKind::OutcomeUnknown, detail));
        }
    }

    /// Drops what is held of an answer, because the request runs again.
    pub fn discard(&mut self, _: CX![], request: RequestId) {
        if self.current == Some(request) {
            self.held.clear();
        }
    }

    /// The end of `request`. `token` is the session's new position.
    pub fn answer(
        &mut self,
        cx: CX![],
        request: RequestId,
        answer: Answer,
        transaction: TransactionState,
        token: Option<CompactString>,
    ) {
        if self.current != Some(request) {
            return;
        }
        self.transaction = transaction;
        self.end = Some((answer, token));
        self.fire(cx, CallerInput::Answered);
        self.consume(cx);
    }

    fn check_login(&mut self, cx: CX![]) {
        if !matches!(self.machine.state(), CallerState::Idle | CallerState::Waiting)
            && !self.machine.is_done()
        {
            self.fault(cx, Error::new(ErrorKind::BadStartup, "login took longer than 10 s"));
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if self.machine.is_done() {
            // What is left is to send the last answer.
            if let StreamState::Closed(_) = self.stream.flush() {
                stop!(cx);
            }
            return;
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.receive(cx);
        }
        self.send(cx);
    }

    fn receive(&mut self, cx: CX![]) {
        // A complete message and its header always fit, so consuming makes progress.
        let limit = self.options.max_message_bytes + 16;
        let state = self.stream.fill(limit);
        self.consume(cx);
        if let StreamState::Closed(cause) = state {
            self.lose(cx, &cause);
        }
    }

    /// Handles the messages in the input until one has to wait.
    fn consume(&mut self, cx: CX![]) {
        loop {
            let progress = match self.machine.state() {
                CallerState::Starting => self.first_packet(cx),
                CallerState::Proving => self.proof_frame(cx),
                CallerState::Idle => self.request_frame(cx),
                _ => return,
            };
            match progress {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => return self.fault(cx, error),
            }
        }
    }

    fn request_frame(&mut self, cx: CX![]) -> Result<bool, Error> {
        let limit = self.options.max_message_bytes;
        let Some(frame) = pg::next_frame(&mut self.stream.input, limit)? else { return Ok(false) };
        match self.builder.push(frame)? {
            BatchProgress::Open => {}
            BatchProgress::Terminate => self.fire(cx, CallerInput::Terminate),
            BatchProgress::Complete => match self.builder.take() {
                Ok(batch) => {
                    self.batch = Some(Box::new(batch));
                    self.fire(cx, CallerInput::Request);
                }
                Err(error) => {
                    pg::put_error(&mut self.stream.output, &error);
                    pg::put_ready(&mut self.stream.output, self.transaction);
                    self.send(cx);
                }
            },
        }
        Ok(true)
    }

    fn fire(&mut self, cx: CX![], input: CallerInput) {
        let step = self.machine.fire(input, |guard| match guard {});
        if !step.handled {
            tracing::debug!("caller: {} ignores {input:?} in {:?}", self.session, step.from);
        }
        for action in step.actions {
            self.act(cx, *action);
        }
    }

    fn act(&mut self, cx: CX![], action: CallerAction) {
        match action {
            CallerAction::AnswerSsl => self.answer_ssl(cx),
            CallerAction::AskRoute => {
                if let Some(startup) = self.startup.take() {
                    fwd!([self.hub], CallerEvent::Startup(startup));
                }
            }
            CallerAction::OfferMechanisms => {
                let mechanisms = vec![pg::SCRAM_MECHANISM.to_owned()];
                pg::put_sasl_offer(&mut self.stream.output, mechanisms);
                self.send(cx);
            }
            CallerAction::CheckProof => self.check_proof(cx),
            CallerAction::LogIn => fwd!([self.hub], CallerEvent::LoggedIn(self.key.clone())),
            CallerAction::Greet => {
                self.stream.output.unsplit(std::mem::take(&mut self.greeting));
                pg::put_ready(&mut self.stream.output, TransactionState::Idle);
                self.send(cx);
            }
            CallerAction::Submit => self.submit(),
            CallerAction::Finish => self.finish(cx),
            CallerAction::ForwardCancel => {
                if let Some(key) = self.cancel.take() {
                    fwd!([self.hub], CallerEvent::Cancel(key));
                }
            }
            CallerAction::Refuse => {
                if let Some(error) = self.fault.take() {
                    pg::put_error(&mut self.stream.output, &error);
                }
                self.close(cx);
            }
            CallerAction::Leave => {
                self.resume_source();
                fwd!([self.hub], CallerEvent::Left);
            }
            CallerAction::Close => self.close(cx),
        }
    }

    fn submit(&mut self) {
        let Some(mut batch) = self.batch.take() else { return };
        self.requests += 1;
        let request = RequestId((self.session.0 << 32) | self.requests);
        self.current = Some(request);
        match batch.class.command.take() {
            Some(command) => fwd!([self.hub], CallerEvent::Command(request, command)),
            None => fwd!([self.hub], CallerEvent::Request(request, batch)),
        }
    }

    fn finish(&mut self, cx: CX![]) {
        self.current = None;
        self.resume_source();
        let Some((answer, token)) = self.end.take() else { return };
        let held = std::mem::take(&mut self.held);
        let answer = match self.fault.take() {
            Some(error) => Answer::Fail(error),
            None => answer,
        };
        let output = &mut self.stream.output;
        match answer {
            Answer::Release => output.extend_from_slice(&held),
            Answer::Fail(error) => pg::put_error(output, &error),
            Answer::Set => pg::put_complete(output, "SET"),
            Answer::Show(text) => pg::put_show_result(output, POSITION_PARAMETER, &text),
        }
        if let Some(token) = token {
            pg::put_parameter(output, POSITION_PARAMETER, &token);
        }
        pg::put_ready(output, self.transaction);
        self.send(cx);
    }

    fn send(&mut self, cx: CX![]) {
        if let StreamState::Closed(cause) = self.stream.flush() {
            return self.lose(cx, &cause);
        }
        if self.stream.output.len() < LOW_WATER_BYTES {
            self.resume_source();
        }
    }

    fn resume_source(&mut self) {
        if let Some(source) = self.slow_source.take() {
            call!([source], pause(false));
        }
    }

    fn fault(&mut self, cx: CX![], error: Error) {
        self.fault = Some(error);
        self.fire(cx, CallerInput::Fault);
    }

    fn lose(&mut self, cx: CX![], cause: &str) {
        if !self.machine.is_done() {
            tracing::debug!("caller: {} is gone: {cause}", self.session);
        }
        self.fire(cx, CallerInput::Lost);
        stop!(cx);
    }

    /// Closes after the output is sent; a peer that does not read is dropped after a second.
    fn close(&mut self, cx: CX![]) {
        self.stream.close_after_output();
        match self.stream.flush() {
            StreamState::Open => {
                after!(Duration::from_secs(1), [cx], give_up());
            }
            StreamState::Closed(_) => stop!(cx),
        }
    }

    fn give_up(&mut self, cx: CX![]) {
        stop!(cx);
    }
}
