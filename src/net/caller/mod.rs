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
use crate::wire::batch::{Batch, BatchBuilder, BatchProgress};
use crate::wire::pg::{self, BackendKey, Frame};

use message::CHART;
pub use message::{
    chart, Answer, CallerAction, CallerChart, CallerEvent, CallerInput, CallerOptions, CallerState,
    RouteAnswer, StartupRequest,
};

/// Time limit from accept to the end of login.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without progress after which a caller that does not read its last answer is disconnected.
const STALL_LIMIT: Duration = Duration::from_secs(5);
/// Size of the unsent output above which the endpoint connection stops reading.
const HIGH_WATER_BYTES: usize = 1024 * 1024;
/// Size of the unsent output below which the endpoint connection reads again.
const LOW_WATER_BYTES: usize = 256 * 1024;
/// Largest answer that is buffered until its write is durable.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// Actor of a caller connection.
pub struct Caller {
    session: SessionId,
    events: Fwd<CallerEvent>,
    options: CallerOptions,
    peer_address: SocketAddr,
    machine: Machine<CallerState, CallerInput, NoGuard, CallerAction>,
    stream: Stream,
    batch_builder: BatchBuilder,
    /// Start-up message that has not been reported yet.
    startup_message: Option<StartupRequest>,
    /// Key of a cancel request that has not been reported yet.
    cancel_key: Option<BackendKey>,
    scram: Option<Box<ScramServer>>,
    /// SASL message to check.
    sasl_frame: Option<Frame>,
    /// Whether the first SASL message, which names the mechanism, has been read.
    sasl_started: bool,
    /// Key that the caller has proven.
    proven_key: Option<KeyId>,
    /// Messages that complete the login, before `ReadyForQuery`.
    login_messages: BytesMut,
    /// Complete request that has not been submitted yet.
    batch: Option<Box<Batch>>,
    /// Number of requests submitted so far.
    request_count: u64,
    /// Request that has not been answered yet.
    current_request: Option<RequestId>,
    /// Part of the answer that is buffered until the request ends.
    held_answer: BytesMut,
    /// Result of the current request, with the session's new position token.
    result: Option<(Answer, Option<CompactString>)>,
    transaction: TransactionState,
    /// Error to send when the request ends or the connection closes.
    pending_error: Option<Error>,
    /// Endpoint connection that is paused because the output has grown too large.
    paused_connection: Option<Actor<EndpointConnection>>,
}

impl Caller {
    /// Starts the actor of an accepted socket. Events go to `events`.
    pub fn init(
        cx: CX![],
        session: SessionId,
        socket: TcpStream,
        options: CallerOptions,
        events: Fwd<CallerEvent>,
    ) -> Option<Self> {
        let peer_address = socket.peer_addr();
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        match (peer_address, Stream::new(&miopoll, socket, true, ready)) {
            (Ok(peer_address), Ok(stream)) => {
                after!(LOGIN_TIMEOUT, [cx], on_login_timeout());
                Some(Self::with_stream(session, peer_address, stream, options, events))
            }
            (peer_address, stream) => {
                let error = peer_address.err().or(stream.err());
                tracing::info!("caller: {session} failed at accept: {error:?}");
                fwd!([events], CallerEvent::Left);
                stop!(cx);
                None
            }
        }
    }

    fn with_stream(
        session: SessionId,
        peer_address: SocketAddr,
        stream: Stream,
        options: CallerOptions,
        events: Fwd<CallerEvent>,
    ) -> Self {
        Self {
            session,
            events,
            options,
            peer_address,
            machine: CHART.start(),
            stream,
            batch_builder: BatchBuilder::new(session),
            startup_message: None,
            cancel_key: None,
            scram: None,
            sasl_frame: None,
            sasl_started: false,
            proven_key: None,
            login_messages: BytesMut::new(),
            batch: None,
            request_count: 0,
            current_request: None,
            held_answer: BytesMut::new(),
            result: None,
            transaction: TransactionState::Idle,
            pending_error: None,
            paused_connection: None,
        }
    }

    /// Continues the login with the authentication that the caller's route requires.
    pub fn continue_login(&mut self, cx: CX![], answer: RouteAnswer) {
        match answer {
            RouteAnswer::Open => self.fire(cx, CallerInput::OpenRoute),
            RouteAnswer::Keyed(scram) => {
                self.scram = Some(scram);
                self.fire(cx, CallerInput::KeyedRoute);
            }
        }
    }

    /// Completes the login. `login_messages` holds the messages from `AuthenticationOk` to
    /// `BackendKeyData`.
    pub fn admit(&mut self, cx: CX![], login_messages: BytesMut) {
        self.login_messages = login_messages;
        self.fire(cx, CallerInput::Admitted);
        self.resume_input(cx);
    }

    /// Sends an error and closes the connection.
    pub fn evict(&mut self, cx: CX![], error: Error) {
        self.fail(cx, error);
    }

    /// Takes bytes of the endpoint's answer to `request`, which are sent at once or, with `hold`,
    /// buffered until the request ends. Answers to earlier requests are dropped.
    pub fn answer_bytes(
        &mut self,
        cx: CX![],
        request: RequestId,
        hold: bool,
        bytes: Bytes,
        connection: Actor<EndpointConnection>,
    ) {
        if self.current_request != Some(request) {
            tracing::warn!(
                "caller: {} dropped an answer to {request}, which has already ended",
                self.session
            );
            return;
        }
        if hold {
            self.hold_answer(&bytes);
            return;
        }
        self.stream.output.extend_from_slice(&bytes);
        self.send(cx);
        if self.stream.output.len() > HIGH_WATER_BYTES && self.paused_connection.is_none() {
            call!([connection], set_paused(true));
            self.paused_connection = Some(connection);
        }
    }

    fn hold_answer(&mut self, bytes: &Bytes) {
        if self.held_answer.len() + bytes.len() <= MAX_HELD_BYTES {
            self.held_answer.extend_from_slice(bytes);
        } else if self.pending_error.is_none() {
            let detail =
                "the answer exceeds the 16 MiB that can be buffered until the write is durable";
            self.pending_error = Some(Error::new(ErrorKind::OutcomeUnknown, detail));
        }
    }

    /// Discards the buffered part of an answer, because the request runs again.
    pub fn discard(&mut self, _: CX![], request: RequestId) {
        if self.current_request == Some(request) {
            self.held_answer.clear();
        }
    }

    /// Ends `request` and sends its result. `token` is the session's new position.
    pub fn end_request(
        &mut self,
        cx: CX![],
        request: RequestId,
        answer: Answer,
        transaction: TransactionState,
        token: Option<CompactString>,
    ) {
        if self.current_request != Some(request) {
            return;
        }
        self.transaction = transaction;
        self.result = Some((answer, token));
        self.fire(cx, CallerInput::Answered);
        self.resume_input(cx);
    }

    fn on_login_timeout(&mut self, cx: CX![]) {
        if !matches!(self.machine.state(), CallerState::Idle | CallerState::Waiting)
            && !self.machine.is_done()
        {
            self.fail(cx, Error::new(ErrorKind::BadStartup, "login took longer than 10 s"));
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
            self.read_input(cx);
        }
        self.send(cx);
    }

    fn read_input(&mut self, cx: CX![]) {
        // The input holds at least one message of the largest size with its header, so every call
        // makes progress.
        let limit = self.options.max_message_bytes + 16;
        loop {
            let state = self.stream.fill(limit);
            self.handle_input(cx);
            if let StreamState::Closed(cause) = state {
                return self.connection_lost(cx, &cause);
            }
            // A request in progress holds back the rest, which is read after its answer.
            let is_held_back = self.stream.input.len() >= limit;
            if !self.stream.has_unread() || is_held_back || self.machine.is_done() {
                return;
            }
        }
    }

    /// Handles the input that was held back by a request which has ended.
    fn resume_input(&mut self, cx: CX![]) {
        self.handle_input(cx);
        if self.stream.has_unread() && !self.machine.is_done() {
            self.read_input(cx);
        }
    }

    /// Handles the messages in the input until none is complete or the state takes none.
    fn handle_input(&mut self, cx: CX![]) {
        loop {
            let progress = match self.machine.state() {
                CallerState::Starting => self.read_first_packet(cx),
                CallerState::Authenticating => self.read_sasl_frame(cx),
                CallerState::Idle => self.read_request_frame(cx),
                _ => return,
            };
            match progress {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => return self.fail(cx, error),
            }
        }
    }

    /// Adds the next message to the request being built; `false` if it is incomplete.
    fn read_request_frame(&mut self, cx: CX![]) -> Result<bool, Error> {
        let limit = self.options.max_message_bytes;
        let Some(frame) = pg::next_frame(&mut self.stream.input, limit)? else { return Ok(false) };
        match self.batch_builder.push(frame)? {
            BatchProgress::Open => {}
            BatchProgress::Terminate => self.fire(cx, CallerInput::Terminate),
            BatchProgress::Complete => match self.batch_builder.take() {
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
            self.run_action(cx, *action);
        }
    }

    fn run_action(&mut self, cx: CX![], action: CallerAction) {
        match action {
            CallerAction::AnswerSsl => self.answer_ssl(cx),
            CallerAction::ReportStartup => {
                if let Some(startup) = self.startup_message.take() {
                    fwd!([self.events], CallerEvent::Startup(startup));
                }
            }
            CallerAction::OfferMechanisms => {
                let mechanisms = vec![pg::SCRAM_MECHANISM.to_owned()];
                pg::put_sasl_offer(&mut self.stream.output, mechanisms);
                self.send(cx);
            }
            CallerAction::CheckSaslMessage => self.check_sasl_message(cx),
            CallerAction::ReportLogin => {
                fwd!([self.events], CallerEvent::LoggedIn(self.proven_key.clone()))
            }
            CallerAction::CompleteLogin => {
                self.stream.output.unsplit(std::mem::take(&mut self.login_messages));
                pg::put_ready(&mut self.stream.output, TransactionState::Idle);
                self.send(cx);
            }
            CallerAction::Submit => self.submit(),
            CallerAction::SendResult => self.send_result(cx),
            CallerAction::ForwardCancel => {
                if let Some(key) = self.cancel_key.take() {
                    fwd!([self.events], CallerEvent::Cancel(key));
                }
            }
            CallerAction::CloseWithError => {
                if let Some(error) = self.pending_error.take() {
                    pg::put_error(&mut self.stream.output, &error);
                }
                self.close(cx);
            }
            CallerAction::ReportLeft => {
                self.resume_connection();
                fwd!([self.events], CallerEvent::Left);
            }
            CallerAction::Close => self.close(cx),
        }
    }

    /// Gives the request an id and passes it to the host actor.
    fn submit(&mut self) {
        let Some(mut batch) = self.batch.take() else { return };
        self.request_count += 1;
        let request = RequestId((self.session.0 << 32) | self.request_count);
        self.current_request = Some(request);
        match batch.class.command.take() {
            Some(command) => fwd!([self.events], CallerEvent::Command(request, command)),
            None => fwd!([self.events], CallerEvent::Request(request, batch)),
        }
    }

    /// Sends the result of the current request and `ReadyForQuery`.
    fn send_result(&mut self, cx: CX![]) {
        self.current_request = None;
        self.resume_connection();
        let Some((answer, token)) = self.result.take() else { return };
        let held = std::mem::take(&mut self.held_answer);
        let answer = match self.pending_error.take() {
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
            return self.connection_lost(cx, &cause);
        }
        if self.stream.output.len() < LOW_WATER_BYTES {
            self.resume_connection();
        }
    }

    /// Lets a paused endpoint connection read again.
    fn resume_connection(&mut self) {
        if let Some(connection) = self.paused_connection.take() {
            call!([connection], set_paused(false));
        }
    }

    fn fail(&mut self, cx: CX![], error: Error) {
        self.pending_error = Some(error);
        self.fire(cx, CallerInput::Failed);
    }

    fn connection_lost(&mut self, cx: CX![], cause: &str) {
        if !self.machine.is_done() {
            tracing::debug!("caller: connection of {} was lost: {cause}", self.session);
        }
        self.fire(cx, CallerInput::Lost);
        stop!(cx);
    }

    /// Closes the connection once the output is sent, or if the caller does not read it.
    fn close(&mut self, cx: CX![]) {
        self.stream.close_after_output();
        match self.stream.flush() {
            StreamState::Open => {
                after!(STALL_LIMIT, [cx], check_progress(self.stream.output.len()));
            }
            StreamState::Closed(_) => stop!(cx),
        }
    }

    /// Closes the connection of a caller that reads nothing of its last answer; `unsent_before` bytes
    /// were not sent at the last check.
    fn check_progress(&mut self, cx: CX![], unsent_before: usize) {
        let unsent = self.stream.output.len();
        if unsent >= unsent_before {
            tracing::info!("caller: {} does not read its last answer", self.session);
            return stop!(cx);
        }
        after!(STALL_LIMIT, [cx], check_progress(unsent));
    }
}
