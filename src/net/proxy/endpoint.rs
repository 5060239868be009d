//! Actor of one connection to an endpoint: owns the socket and runs one job at a time.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use stakker::{fwd, fwd_to, stop, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::core::proxy::connection::Owner;
use crate::core::proxy::job::{Job, JobAnswer, JobEnd, Refusal, Setup, Work};
use crate::core::proxy::LossReport;
use crate::core::transaction::TransactionState;
use crate::net::stream::{Stream, StreamState};
use crate::platform::line::{self, EndpointMessage, LineReader};
use crate::types::{EndpointId, GroupId, HostId, Position};

/// Bytes read at once; more than the longest message, so that each read can be processed.
const READ_AHEAD_BYTES: usize = 4 * 1024 * 1024;

/// Destination and purpose of a connection.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Group of the endpoint.
    pub group: GroupId,
    /// The endpoint that is expected at the address.
    pub endpoint: EndpointId,
    /// For whom the connection is opened.
    pub owner: Owner,
    /// This host.
    pub host: HostId,
}

/// An event on a connection to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointEvent {
    /// The connection is ready for jobs.
    Opened,
    /// A job's read-write transaction has begun on the primary, at this log position.
    TransactionBegan(Position),
    /// A job ended, or its rollback did.
    JobEnded(JobEnd),
    /// The connection is closed.
    Lost(LossReport),
}

/// What the next answer of the endpoint is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expecting {
    /// The startup message.
    Startup,
    /// Nothing; the connection is idle.
    Nothing,
    /// A setup step; the number of setup steps without an answer.
    Setup(usize),
    /// The statement or order of the job.
    Work,
    /// The rollback of the job.
    Rollback,
}

/// Actor of one connection to an endpoint.
pub struct LineEndpoint {
    target: Target,
    hub: Fwd<EndpointEvent>,
    stream: Stream,
    /// Reads the lines of the stream's input.
    lines: LineReader,
    expecting: Expecting,
    startup_sent: bool,
    /// Whether the statement or order of the last job was sent.
    work_sent: bool,
    job: Option<Job>,
    rows: Vec<Bytes>,
    result: Option<Result<CompactString, (Refusal, CompactString)>>,
    /// First refusal of a setup step of the current job.
    setup_refusal: Option<Refusal>,
    /// Hashes of the signatures of the connection's answers.
    signatures: BTreeSet<u64>,
}

impl LineEndpoint {
    /// Starts to connect. Events are sent to `hub`.
    pub fn init(cx: CX![], target: Target, hub: Fwd<EndpointEvent>) -> Option<Self> {
        let socket = TcpStream::connect(target.address).and_then(|socket| {
            let miopoll = cx.anymap_get::<MioPoll>();
            Stream::new(&miopoll, socket, false, fwd_to!([cx], ready() as (Ready)))
        });
        match socket {
            Ok(stream) => Some(Self {
                target,
                hub,
                stream,
                lines: LineReader::default(),
                expecting: Expecting::Startup,
                startup_sent: false,
                work_sent: false,
                job: None,
                rows: Vec::new(),
                result: None,
                setup_refusal: None,
                signatures: BTreeSet::new(),
            }),
            Err(error) => {
                let cause = error.to_string();
                fwd!([hub], EndpointEvent::Lost(LossReport { sent: false, refusal: None, cause }));
                stop!(cx);
                None
            }
        }
    }

    /// Runs a job; the connection must be idle.
    pub fn run(&mut self, cx: CX![], job: Job) {
        if self.expecting != Expecting::Nothing {
            // Answers could be attributed to the wrong statement.
            tracing::error!(expecting = ?self.expecting,
                "endpoint: received a job while another is running");
            return self.report_lost(cx, None, "received a job while another is running".into());
        }
        self.work_sent = false;
        self.setup_refusal = None;
        let steps = job.setup.len();
        for step in &job.setup {
            line::write_setup(&mut self.stream.output, step);
        }
        self.job = Some(job);
        if steps > 0 {
            self.expecting = Expecting::Setup(steps);
        } else {
            self.send_work();
        }
        self.flush(cx);
    }

    /// Sends the termination message and closes the connection.
    pub fn close(&mut self, cx: CX![]) {
        line::write_terminate(&mut self.stream.output);
        if let StreamState::Closed(cause) = self.stream.flush() {
            tracing::debug!(cause, "endpoint: connection was lost before it was closed");
        }
        stop!(cx);
    }

    fn send_work(&mut self) {
        let Some(job) = &self.job else { return };
        self.work_sent = true;
        if job.work == Work::Nothing {
            return self.send_rollback();
        }
        line::write_work(&mut self.stream.output, &job.work);
        self.expecting = Expecting::Work;
    }

    /// Sends the rollback. Must not be called before the statement was answered: an endpoint runs a
    /// rollback at once, ahead of a statement that waits for a slot.
    fn send_rollback(&mut self) {
        line::write_rollback(&mut self.stream.output);
        self.expecting = Expecting::Rollback;
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        if !self.startup_sent {
            match self.stream.finish_connect() {
                Ok(true) => self.send_startup(),
                Ok(false) => return,
                Err(error) => return self.report_lost(cx, None, error.to_string()),
            }
        }
        loop {
            let input_state = self.stream.fill(READ_AHEAD_BYTES);
            if !self.process_lines(cx) {
                return;
            }
            match input_state {
                StreamState::Open if self.stream.has_unread() => {}
                StreamState::Open => return self.flush(cx),
                StreamState::Closed(cause) => return self.report_lost(cx, None, cause),
            }
        }
    }

    fn send_startup(&mut self) {
        let Target { group, owner, host, endpoint, .. } = &self.target;
        line::write_startup(&mut self.stream.output, group, owner, host, endpoint);
        self.startup_sent = true;
    }

    /// Processes all messages that have arrived; returns false once the connection is closed.
    fn process_lines(&mut self, cx: CX![]) -> bool {
        loop {
            let line = match self.lines.next_line(&mut self.stream.input) {
                Ok(Some(line)) => line,
                Ok(None) => return true,
                Err(error) => {
                    self.report_lost(cx, None, error.to_string());
                    return false;
                }
            };
            let message = match line::read_endpoint(&line) {
                Ok(message) => message,
                Err(error) => {
                    self.report_lost(cx, None, error.to_string());
                    return false;
                }
            };
            if !self.handle_message(cx, message) {
                return false;
            }
        }
    }

    fn handle_message(&mut self, cx: CX![], message: EndpointMessage) -> bool {
        if self.expecting == Expecting::Nothing {
            self.report_lost(cx, None, "received a message without a request".into());
            return false;
        }
        match message {
            EndpointMessage::Row(row) => self.rows.push(row),
            EndpointMessage::Complete(signature) => self.result = Some(Ok(signature)),
            EndpointMessage::Error(refusal, text) if self.expecting == Expecting::Startup => {
                self.report_lost(cx, Some(refusal), format!("startup was refused: {text}"));
                return false;
            }
            EndpointMessage::Error(refusal, text) => self.result = Some(Err((refusal, text))),
            EndpointMessage::Ready(state, position) => self.finish_answer(cx, state, position),
        }
        true
    }

    fn finish_answer(
        &mut self,
        cx: CX![],
        transaction: TransactionState,
        position: Option<Position>,
    ) {
        let rows = std::mem::take(&mut self.rows);
        let result = self.result.take();
        match self.expecting {
            Expecting::Nothing => {}
            Expecting::Startup => {
                self.expecting = Expecting::Nothing;
                fwd!([self.hub], EndpointEvent::Opened);
            }
            Expecting::Setup(remaining) => self.finish_setup_step(cx, remaining, result, position),
            Expecting::Work => {
                let Some(result) = result else {
                    return self.report_lost(cx, None, "answer has no result".into());
                };
                self.log_repetition(&result);
                let status = self.read_status(&rows, &result);
                let rollback = self.job.as_ref().is_some_and(|job| job.rollback);
                self.expecting = Expecting::Nothing;
                if rollback {
                    self.send_rollback();
                    self.flush(cx);
                }
                let answer = JobAnswer { rows, result, transaction, position, status };
                fwd!([self.hub], EndpointEvent::JobEnded(JobEnd::Answered(answer)));
            }
            Expecting::Rollback if transaction == TransactionState::Idle => {
                self.expecting = Expecting::Nothing;
                fwd!([self.hub], EndpointEvent::JobEnded(JobEnd::RolledBack));
            }
            Expecting::Rollback => self.report_lost(cx, None, "rollback failed".into()),
        }
    }

    fn finish_setup_step(
        &mut self,
        cx: CX![],
        remaining: usize,
        result: Option<Result<CompactString, (Refusal, CompactString)>>,
        position: Option<Position>,
    ) {
        match result {
            Some(Ok(_)) => self.report_begin(remaining, position),
            Some(Err((refusal, _))) => {
                self.setup_refusal.get_or_insert(refusal);
            }
            None => return self.report_lost(cx, None, "answer has no result".into()),
        }
        if remaining > 1 {
            self.expecting = Expecting::Setup(remaining - 1);
            return;
        }
        match self.setup_refusal.take() {
            None => {
                self.send_work();
                self.flush(cx);
            }
            Some(refusal) => {
                self.expecting = Expecting::Nothing;
                fwd!([self.hub], EndpointEvent::JobEnded(JobEnd::SetupRefused(refusal)));
            }
        }
    }

    /// Reports the begin of a read-write transaction, which only a primary accepts.
    fn report_begin(&self, remaining: usize, position: Option<Position>) {
        let Some(job) = &self.job else { return };
        let step = job.setup.len().checked_sub(remaining).and_then(|index| job.setup.get(index));
        if let (Some(Setup::Begin { read_only: false, .. }), Some(position)) = (step, position) {
            fwd!([self.hub], EndpointEvent::TransactionBegan(position));
        }
    }

    /// Logs that the endpoint has given the signature of this answer before on the connection.
    fn log_repetition(&mut self, result: &Result<CompactString, (Refusal, CompactString)>) {
        let Some(Job { work: Work::Statement { id, .. }, .. }) = &self.job else { return };
        let Ok(signature) = result else { return };
        let mut hasher = DefaultHasher::new();
        signature.hash(&mut hasher);
        if !self.signatures.insert(hasher.finish()) {
            tracing::warn!(
                endpoint = self.target.endpoint.as_str(),
                request = id.as_str(),
                signature = signature.as_str(),
                "endpoint: repeated an answer"
            );
        }
    }

    fn read_status(
        &self,
        rows: &[Bytes],
        result: &Result<CompactString, (Refusal, CompactString)>,
    ) -> Option<crate::core::proxy::job::StatusReport> {
        let is_order = matches!(self.job.as_ref()?.work, Work::Order(_));
        let row = rows.first().filter(|_| is_order && result.is_ok())?;
        match line::read_status(row) {
            Ok(status) => Some(status),
            Err(error) => {
                tracing::warn!(endpoint = self.target.endpoint.as_str(), %error,
                    "endpoint: status cannot be decoded");
                None
            }
        }
    }

    fn flush(&mut self, cx: CX![]) {
        if let StreamState::Closed(cause) = self.stream.flush() {
            self.report_lost(cx, None, cause);
        }
    }

    fn report_lost(&mut self, cx: CX![], refusal: Option<Refusal>, cause: String) {
        self.stream.input = BytesMut::new();
        self.lines = LineReader::default();
        let report = LossReport { sent: self.work_sent, refusal, cause };
        fwd!([self.hub], EndpointEvent::Lost(report));
        stop!(cx);
    }
}
