//! Actor of one endpoint connection, which owns the socket and runs one job at a time.

mod login;
mod message;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use stakker::{after, call, fwd, fwd_to, stop, Actor, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::auth::ScramClient;
use crate::chart::{Machine, NoGuard};
use crate::error::{Error, ErrorKind};
use crate::net::caller::Caller;
use crate::net::stream::{Stream, StreamState};
use crate::types::{ConnectionId, RequestId};
use crate::wire::batch::Batch;
use crate::wire::pg::{self, AuthRequest, BackendKey, Frame};

use message::CHART;
pub use message::{
    chart, ConnectionEvent, Credentials, EndpointAction, EndpointChart, EndpointEvent,
    EndpointState, Job, JobEnd, Target,
};

/// Name of the `ParameterStatus` message that carries an endpoint's status.
const STATUS_PARAMETER: &str = "group_status";
/// Time limit from connect to the first `ReadyForQuery`.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest message that an endpoint may send, in bytes.
const MAX_ENDPOINT_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Size to which the input is filled before its messages are handled.
const READ_AHEAD_BYTES: usize = 256 * 1024;

/// The job that the connection runs.
struct RunningJob {
    request: Option<RequestId>,
    caller: Option<Actor<Caller>>,
    hold: bool,
    skipped: SkippedAnswers,
    /// Prepared statements that the job may define.
    statement_names: Vec<CompactString>,
    /// Whether part of the answer was sent to the caller without being buffered.
    passed: bool,
    /// SQLSTATE and message of the last error.
    error: Option<(CompactString, CompactString)>,
}

/// Number of answers still to be dropped, because the connection itself added their `Parse` and
/// `Close` messages to the batch.
#[derive(Debug, Clone, Copy, Default)]
struct SkippedAnswers {
    parses: usize,
    closes: usize,
}

/// Actor of a connection to an endpoint.
pub struct EndpointConnection {
    id: ConnectionId,
    target: Target,
    events: Fwd<ConnectionEvent>,
    machine: Machine<EndpointState, EndpointEvent, NoGuard, EndpointAction>,
    stream: Stream,
    scram: Option<ScramClient>,
    /// Key for cancel requests.
    cancel_key: Option<BackendKey>,
    /// Statements that are prepared on this connection.
    prepared: BTreeSet<CompactString>,
    /// Statements that may or may not be prepared, after an error in the batch that defined them.
    uncertain: BTreeSet<CompactString>,
    /// Job to send when the chart runs its action.
    next_job: Option<Job>,
    running: Option<RunningJob>,
    /// Authentication request to answer.
    pending_auth: Option<AuthRequest>,
    /// Why the connection was lost.
    cause: String,
    /// SQLSTATE with which the endpoint refused the login.
    refused: Option<CompactString>,
    /// Whether reading is paused until the caller has taken more of its answer.
    paused: bool,
}

impl EndpointConnection {
    /// Starts to connect. Events go to `events`.
    pub fn init(
        cx: CX![],
        id: ConnectionId,
        target: Target,
        events: Fwd<ConnectionEvent>,
    ) -> Option<Self> {
        match Self::connect(cx, &target) {
            Ok(stream) => {
                after!(LOGIN_TIMEOUT, [cx], on_login_timeout());
                Some(Self::with_stream(id, target, events, stream))
            }
            Err(error) => {
                let cause = error.to_string();
                fwd!(
                    [events],
                    ConnectionEvent::Lost { cause, request: None, refused: None, passed: false }
                );
                stop!(cx);
                None
            }
        }
    }

    fn connect(cx: CX![], target: &Target) -> std::io::Result<Stream> {
        let socket = TcpStream::connect(target.address)?;
        let miopoll = cx.anymap_get::<MioPoll>();
        Stream::new(&miopoll, socket, false, fwd_to!([cx], ready() as (Ready)))
    }

    fn with_stream(
        id: ConnectionId,
        target: Target,
        events: Fwd<ConnectionEvent>,
        stream: Stream,
    ) -> Self {
        Self {
            id,
            target,
            events,
            machine: CHART.start(),
            stream,
            scram: None,
            cancel_key: None,
            prepared: BTreeSet::new(),
            uncertain: BTreeSet::new(),
            next_job: None,
            running: None,
            pending_auth: None,
            cause: String::new(),
            refused: None,
            paused: false,
        }
    }

    /// Runs a job; the connection must be idle.
    pub fn run(&mut self, cx: CX![], job: Job) {
        self.next_job = Some(job);
        self.fire(cx, EndpointEvent::Run);
    }

    /// Closes the connection; the result of a running job is lost.
    pub fn close(&mut self, cx: CX![]) {
        self.fire(cx, EndpointEvent::Close);
    }

    /// Replies with the address and key for a cancel request, once the endpoint has sent the key.
    pub fn cancel_target(&mut self, _: CX![], reply: stakker::Ret<(SocketAddr, BackendKey)>) {
        if let Some(key) = self.cancel_key {
            stakker::ret!([reply], (self.target.address, key));
        }
    }

    /// Pauses or resumes reading, to slow the endpoint down to the speed of the caller.
    pub fn set_paused(&mut self, cx: CX![], paused: bool) {
        self.paused = paused;
        if !paused {
            self.read_input(cx);
        }
    }

    fn on_login_timeout(&mut self, cx: CX![]) {
        let state = self.machine.state();
        if matches!(state, EndpointState::Connecting | EndpointState::Authenticating) {
            self.connection_lost(cx, "login took longer than 5 s".into());
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if self.machine.is_done() {
            return;
        }
        if self.machine.state() == EndpointState::Connecting {
            match self.stream.finish_connect() {
                Ok(true) => self.fire(cx, EndpointEvent::Connected),
                Ok(false) => return,
                Err(error) => return self.connection_lost(cx, error.to_string()),
            }
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.read_input(cx);
        }
        self.send(cx);
    }

    fn read_input(&mut self, cx: CX![]) {
        loop {
            if self.paused || self.machine.is_done() {
                return;
            }
            let length_before = self.stream.input.len();
            let state = self.stream.fill(READ_AHEAD_BYTES);
            let reached_limit = self.stream.input.len() >= READ_AHEAD_BYTES;
            if let Err(error) = self.handle_input(cx) {
                return self.connection_lost(cx, error.to_string());
            }
            if let StreamState::Closed(cause) = state {
                return self.connection_lost(cx, cause);
            }
            // A message larger than `READ_AHEAD_BYTES` needs more input than one fill gives.
            if !reached_limit || (length_before >= READ_AHEAD_BYTES && !self.grow_input()) {
                return;
            }
        }
    }

    /// Reads input beyond `READ_AHEAD_BYTES`; `false` if there is none or the connection is closed.
    fn grow_input(&mut self) -> bool {
        let limit = self.stream.input.len() + READ_AHEAD_BYTES;
        let length_before = self.stream.input.len();
        matches!(self.stream.fill(limit), StreamState::Open)
            && self.stream.input.len() > length_before
    }

    /// Handles all complete messages in the input and forwards answers in as few calls as possible.
    fn handle_input(&mut self, cx: CX![]) -> Result<(), Error> {
        let mut caller_bytes = BytesMut::new();
        while let Some(frame) = pg::next_frame(&mut self.stream.input, MAX_ENDPOINT_MESSAGE_BYTES)?
        {
            if self.machine.is_done() {
                return Ok(());
            }
            if frame.tag == b'Z' {
                self.forward_answer(cx, std::mem::take(&mut caller_bytes).freeze());
            }
            self.handle_frame(cx, &frame, &mut caller_bytes)?;
        }
        self.forward_answer(cx, caller_bytes.freeze());
        Ok(())
    }

    /// Handles one message. Bytes that belong to the caller are appended to `caller_bytes`.
    fn handle_frame(
        &mut self,
        cx: CX![],
        frame: &Frame,
        caller_bytes: &mut BytesMut,
    ) -> Result<(), Error> {
        match frame.tag {
            b'S' => self.handle_parameter(frame),
            b'Z' => self.handle_ready_for_query(cx, frame)?,
            b'R' => {
                self.pending_auth = Some(pg::auth_request(frame)?);
                self.fire(cx, EndpointEvent::AuthRequest);
            }
            b'K' => self.cancel_key = pg::backend_key(frame),
            b'E' => {
                let fields = pg::error_fields(frame);
                match &mut self.running {
                    Some(running) => {
                        running.error = Some(fields);
                        caller_bytes.extend_from_slice(&frame.bytes);
                    }
                    None => {
                        self.refused = Some(fields.0.clone());
                        let cause = format!(
                            "the endpoint sent an error outside of a job: {} {}",
                            fields.0, fields.1
                        );
                        self.connection_lost(cx, cause);
                    }
                }
            }
            b'1' if self.skip_answer(|skipped| &mut skipped.parses) => {}
            b'3' if self.skip_answer(|skipped| &mut skipped.closes) => {}
            b'G' | b'W' => {
                let detail = "the endpoint started COPY, which is not supported";
                return Err(Error::new(ErrorKind::FeatureNotSupported, detail));
            }
            _ if self.running.is_some() => caller_bytes.extend_from_slice(&frame.bytes),
            _ => {}
        }
        Ok(())
    }

    /// Whether the next answer of this kind is to be dropped; counts it if so.
    fn skip_answer(&mut self, counter: impl Fn(&mut SkippedAnswers) -> &mut usize) -> bool {
        let Some(running) = &mut self.running else { return false };
        let remaining = counter(&mut running.skipped);
        let is_skipped = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_skipped
    }

    /// Reports a changed endpoint status.
    fn handle_parameter(&mut self, frame: &Frame) {
        let Some((name, value)) = pg::parameter_fields(frame) else { return };
        if name != STATUS_PARAMETER {
            return;
        }
        match value.parse() {
            Ok(status) => fwd!([self.events], ConnectionEvent::Status(status)),
            Err(error) => {
                tracing::warn!(
                    "endpoint: {} sent a malformed status: {error}",
                    self.target.address
                );
            }
        }
    }

    fn handle_ready_for_query(&mut self, cx: CX![], frame: &Frame) -> Result<(), Error> {
        let state = pg::transaction_state(frame);
        let state = state.ok_or_else(|| {
            Error::new(ErrorKind::BadMessage, "ReadyForQuery has an unknown transaction state")
        })?;
        let end = self.running.take().map(|running| {
            if running.error.is_some() {
                self.mark_uncertain(running.statement_names);
            }
            JobEnd { request: running.request, transaction: state, error: running.error }
        });
        self.fire(cx, EndpointEvent::Ready);
        if let Some(end) = end {
            fwd!([self.events], ConnectionEvent::Ended(end));
        }
        Ok(())
    }

    /// Marks statements as uncertain: after an error it is not known which of them were parsed.
    fn mark_uncertain(&mut self, statement_names: Vec<CompactString>) {
        for name in statement_names {
            self.prepared.remove(&name);
            self.uncertain.insert(name);
        }
    }

    /// Sends bytes of the answer to the caller of the running request.
    fn forward_answer(&mut self, cx: CX![], bytes: Bytes) {
        let Some(running) = &mut self.running else { return };
        let (Some(request), Some(caller)) = (running.request, &running.caller) else { return };
        if bytes.is_empty() {
            return;
        }
        running.passed |= !running.hold;
        let hold = running.hold;
        let this = cx.access_actor().clone();
        call!([caller], answer_bytes(request, hold, bytes, this));
    }

    fn fire(&mut self, cx: CX![], event: EndpointEvent) {
        let step = self.machine.fire(event, |guard| match guard {});
        if !step.handled {
            tracing::debug!(
                "endpoint: {} ignores event {event:?} in state {:?}",
                self.id,
                step.from
            );
        }
        for action in step.actions {
            self.run_action(cx, *action);
        }
    }

    fn run_action(&mut self, cx: CX![], action: EndpointAction) {
        match action {
            EndpointAction::SendStartup => self.send_startup(cx),
            EndpointAction::AnswerAuth => self.answer_auth(cx),
            EndpointAction::ReportReady => fwd!([self.events], ConnectionEvent::Ready),
            EndpointAction::SendJob => self.send_job(cx),
            // `handle_ready_for_query` reports the end, because it has the job's transaction state and
            // error.
            EndpointAction::ReportEnd => {}
            EndpointAction::ReportLost => self.report_lost(cx),
            EndpointAction::Terminate => {
                pg::put_terminate(&mut self.stream.output);
                self.stream.close_after_output();
                self.stream.flush();
                stop!(cx);
            }
        }
    }

    fn send_job(&mut self, cx: CX![]) {
        let Some(job) = self.next_job.take() else { return };
        let running = match job {
            Job::Request { request, caller, batch, hold } => {
                let (skipped, statement_names) = self.put_batch(&batch);
                let (request, caller) = (Some(request), Some(caller));
                RunningJob {
                    request,
                    caller,
                    hold,
                    skipped,
                    statement_names,
                    passed: false,
                    error: None,
                }
            }
            Job::HostSql { sql } => {
                pg::put_query(&mut self.stream.output, &sql);
                let (skipped, statement_names) = (SkippedAnswers::default(), Vec::new());
                let (request, caller, hold) = (None, None, false);
                RunningJob {
                    request,
                    caller,
                    hold,
                    skipped,
                    statement_names,
                    passed: false,
                    error: None,
                }
            }
        };
        self.running = Some(running);
        self.send(cx);
    }

    /// Appends `Parse` messages for the statements that are not prepared on this connection, and then
    /// the batch. Returns the answers to skip and the statements that the output may define.
    fn put_batch(&mut self, batch: &Batch) -> (SkippedAnswers, Vec<CompactString>) {
        let mut skipped = SkippedAnswers::default();
        let mut statement_names = batch.prepared_names.clone();
        statement_names.retain(|name| !name.is_empty());
        for statement in &batch.required_statements {
            let name = &statement.wire_name;
            if self.prepared.contains(name) {
                continue;
            }
            if self.uncertain.remove(name) {
                pg::put_close_statement(&mut self.stream.output, name);
                skipped.closes += 1;
            }
            self.stream.output.extend_from_slice(&statement.parse);
            skipped.parses += 1;
            if !name.is_empty() {
                statement_names.push(name.clone());
            }
        }
        self.prepared.extend(statement_names.iter().cloned());
        for name in &batch.closed_names {
            self.prepared.remove(name);
        }
        self.stream.output.extend_from_slice(&batch.frames);
        (skipped, statement_names)
    }

    fn send(&mut self, cx: CX![]) {
        if let StreamState::Closed(cause) = self.stream.flush() {
            self.connection_lost(cx, cause);
        }
    }

    fn connection_lost(&mut self, cx: CX![], cause: String) {
        self.cause = cause;
        self.fire(cx, EndpointEvent::Lost);
    }

    fn report_lost(&mut self, cx: CX![]) {
        let running = self.running.take();
        let event = ConnectionEvent::Lost {
            cause: std::mem::take(&mut self.cause),
            request: running.as_ref().and_then(|running| running.request),
            refused: self.refused.take(),
            passed: running.is_some_and(|running| running.passed),
        };
        fwd!([self.events], event);
        stop!(cx);
    }
}
