//! Actor of one caller connection, which owns the socket, logs the caller in and submits its
//! requests to the host actor.

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
use crate::wire::batch::{Batch, BatchBuilder, Progress};
use crate::wire::pg::{self, BackendKey, Frame};

use message::CHART;
pub use message::{
    chart, Answer, CallerAction, CallerChart, CallerEvent, CallerInput, CallerOptions, CallerState,
    RouteAnswer, StartupRequest,
};

/// Time limit from accept to the end of login.
const LOGIN_LIMIT: Duration = Duration::from_secs(10);
/// Size of the unsent output above which the endpoint connection stops reading.
const HIGH_WATER_BYTES: usize = 1024 * 1024;
/// Size of the unsent output below which the endpoint connection reads again.
const LOW_WATER_BYTES: usize = 256 * 1024;
/// Largest answer that is buffered until its write is durable.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// Actor of a caller connection.
pub struct Caller {
    session: SessionId,
    hub: Fwd<CallerEvent>,
    options: CallerOptions,
    peer: SocketAddr,
    machine: Machine<CallerState, CallerInput, NoGuard, CallerAction>,
    stream: Stream,
    builder: BatchBuilder,
    /// Start-up message that has not been reported yet.
    startup: Option<StartupRequest>,
    /// Key of a cancel request that has not been reported yet.
    cancel: Option<BackendKey>,
    scram: Option<Box<ScramServer>>,
    /// SASL message to check.
    proof: Option<Frame>,
    /// Whether the first SASL message, which names the mechanism, has been read.
    sasl_started: bool,
    /// Key that the caller has proven.
    key: Option<KeyId>,
    /// Messages that complete the login, before `ReadyForQuery`.
    greeting: BytesMut,
    /// Complete request that has not been submitted yet.
    batch: Option<Box<Batch>>,
    /// Number of requests submitted so far.
    requests: u64,
    /// Request that has not been answered yet.
    current: Option<RequestId>,
    /// Part of the answer that is buffered until the request ends.
    held: BytesMut,
    /// Result of the current request, with the session's new position token.
    end: Option<(Answer, Option<CompactString>)>,
    transaction: TransactionState,
    /// Error to send when the request ends or the connection closes.
    fault: Option<Error>,
    /// Endpoint connection that is paused because the output has grown too large.
    slow_source: Option<Actor<EndpointConnection>>,
}

impl Caller {
    /// Starts the actor of an accepted socket. Events go to `hub`.
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
                tracing::info!("caller: {session} failed at accept: {error:?}");
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

    /// Continues the login with the authentication that the caller's route requires.
    pub fn route(&mut self, cx: CX![], answer: RouteAnswer) {
        match answer {
            RouteAnswer::Open => self.fire(cx, CallerInput::OpenRoute),
            RouteAnswer::Keyed(scram) => {
                self.scram = Some(scram);
                self.fire(cx, CallerInput::KeyedRoute);
            }
        }
    }

    /// Completes the login. `greeting` holds the messages from `AuthenticationOk` to
    /// `BackendKeyData`.
    pub fn admit(&mut self, cx: CX![], greeting: BytesMut) {
        self.greeting = greeting;
        self.fire(cx, CallerInput::Admitted);
        self.consume(cx);
    }

    /// Sends an error and closes the connection.
    pub fn evict(&mut self, cx: CX![], error: Error) {
        self.fault(cx, error);
    }

    /// Takes bytes of the endpoint's answer to `request`, which are sent at once or, with `hold`,
    /// buffered until the request ends. Answers to earlier requests are dropped.
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
                "caller: {} dropped an answer to {request}, which has already ended",
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
                "the answer exceeds the 16 MiB that can be buffered until the write is durable";
            self.fault = Some(Error::new(ErrorKind::OutcomeUnknown, detail));
        }
    }

    /// Discards the buffered part of an answer, because the request runs again.
    pub fn discard(&mut self, _: CX![], request: RequestId) {
        if self.current == Some(request) {
            self.held.clear();
        }
    }

    /// Ends `request` and sends its result. `token` is the session's new position.
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
            // Only the rest of the output remains to be sent.
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
        // The input holds at least one message of the largest size with its header, so every call
        // makes progress.
        let limit = self.options.max_message_bytes + 16;
        let state = self.stream.fill(limit);
        self.consume(cx);
        if let StreamState::Closed(cause) = state {
            self.lose(cx, &cause);
        }
    }

    /// Handles the messages in the input until none is complete or the state takes none.
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

    /// Adds the next message to the request being built; `false` if it is incomplete.
    fn request_frame(&mut self, cx: CX![]) -> Result<bool, Error> {
        let limit = self.options.max_message_bytes;
        let Some(frame) = pg::next_frame(&mut self.stream.input, limit)? else { return Ok(false) };
        match self.builder.push(frame)? {
            Progress::Open => {}
            Progress::Terminate => self.fire(cx, CallerInput::Terminate),
            Progress::Complete => match self.builder.take() {
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
            tracing::debug!(
                "caller: {} ignores event {input:?} in state {:?}",
                self.session,
                step.from
            );
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

    /// Gives the request an id and passes it to the host actor.
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

    /// Sends the result of the current request and `ReadyForQuery`.
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
            Answer::Show(text) => pg::put_single_text(output, POSITION_PARAMETER, &text),
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

    /// Lets a paused endpoint connection read again.
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
            tracing::debug!("caller: connection of {} was lost: {cause}", self.session);
        }
        self.fire(cx, CallerInput::Lost);
        stop!(cx);
    }

    /// Closes the connection once the output is sent, or after a second if the caller does not read.
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
