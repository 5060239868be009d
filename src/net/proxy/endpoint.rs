//! Actor of one connection to an endpoint: owns the socket and runs one job at a time.

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
use crate::platform::line::{self, EndpointMessage};
use crate::types::{EndpointId, GroupId, HostId, Position};

/// Bytes read ahead; an answer holds at most a few messages of 1 MiB.
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
    Began(Position),
    /// A job ended, or its rollback did.
    Job(JobEnd),
    /// The connection is closed.
    Lost(LossReport),
}

/// What the next answer of the endpoint is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expecting {
    Startup,
    Nothing,
    Setup(usize),
    Work,
    Rollback,
}

/// Actor of one connection to an endpoint.
pub struct LineEndpoint {
    target: Target,
    hub: Fwd<EndpointEvent>,
    stream: Stream,
    expecting: Expecting,
    greeted: bool,
    sent: bool,
    job: Option<Job>,
    rows: Vec<Bytes>,
    result: Option<Result<CompactString, (Refusal, CompactString)>>,
    setup_refusal: Option<Refusal>,
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
                expecting: Expecting::Startup,
                greeted: false,
                sent: false,
                job: None,
                rows: Vec::new(),
                result: None,
                setup_refusal: None,
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
            return self.lost(cx, None, "received a job while another is running".into());
        }
        self.sent = false;
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
        self.sent = true;
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
        if !self.greeted {
            match self.stream.finish_connect() {
                Ok(true) => self.greet(),
                Ok(false) => return,
                Err(error) => return self.lost(cx, None, error.to_string()),
            }
        }
        let filled = self.stream.fill(READ_AHEAD_BYTES);
        if !self.take_lines(cx) {
            return;
        }
        match filled {
            StreamState::Open => self.flush(cx),
            StreamState::Closed(cause) => self.lost(cx, None, cause),
        }
    }

    fn greet(&mut self) {
        let Target { group, owner, host, endpoint, .. } = &self.target;
        line::write_startup(&mut self.stream.output, group, owner, host, endpoint);
        self.greeted = true;
    }

    /// Processes all messages that have arrived; returns false once the connection is closed.
    fn take_lines(&mut self, cx: CX![]) -> bool {
        loop {
            let line = match line::next_line(&mut self.stream.input) {
                Ok(Some(line)) => line,
                Ok(None) => return true,
                Err(error) => {
                    self.lost(cx, None, error.to_string());
                    return false;
                }
            };
            let message = match line::read_endpoint(&line) {
                Ok(message) => message,
                Err(error) => {
                    self.lost(cx, None, error.to_string());
                    return false;
                }
            };
            if !self.take_message(cx, message) {
                return false;
            }
        }
    }

    fn take_message(&mut self, cx: CX![], message: EndpointMessage) -> bool {
        if self.expecting == Expecting::Nothing {
            self.lost(cx, None, "received a message without a request".into());
            return false;
        }
        match message {
            EndpointMessage::Row(row) => self.rows.push(row),
            EndpointMessage::Complete(signature) => self.result = Some(Ok(signature)),
            EndpointMessage::Error(refusal, text) if self.expecting == Expecting::Startup => {
                self.lost(cx, Some(refusal), format!("startup was refused: {text}"));
                return false;
            }
            EndpointMessage::Error(refusal, text) => self.result = Some(Err((refusal, text))),
            EndpointMessage::Ready(state, position) => self.answered(cx, state, position),
        }
        true
    }

    fn answered(&mut self, cx: CX![], transaction: TransactionState, position: Option<Position>) {
        let rows = std::mem::take(&mut self.rows);
        let result = self.result.take();
        match self.expecting {
            Expecting::Nothing => {}
            Expecting::Startup => {
                self.expecting = Expecting::Nothing;
                fwd!([self.hub], EndpointEvent::Opened);
            }
            Expecting::Setup(left) => self.setup_answered(cx, left, result, position),
            Expecting::Work => {
                let Some(result) = result else {
                    return self.lost(cx, None, "answer has no result".into());
                };
                let status = self.read_status(&rows, &result);
                let rollback = self.job.as_ref().is_some_and(|job| job.rollback);
                self.expecting = Expecting::Nothing;
                if rollback {
                    self.send_rollback();
                    self.flush(cx);
                }
                let answer = JobAnswer { rows, result, transaction, position, status };
                fwd!([self.hub], EndpointEvent::Job(JobEnd::Answered(answer)));
            }
            Expecting::Rollback if transaction == TransactionState::Idle => {
                self.expecting = Expecting::Nothing;
                fwd!([self.hub], EndpointEvent::Job(JobEnd::RolledBack));
            }
            Expecting::Rollback => self.lost(cx, None, "rollback failed".into()),
        }
    }

    fn setup_answered(
        &mut self,
        cx: CX![],
        left: usize,
        result: Option<Result<CompactString, (Refusal, CompactString)>>,
        position: Option<Position>,
    ) {
        match result {
            Some(Ok(_)) => self.note_begin(left, position),
            Some(Err((refusal, _))) => {
                self.setup_refusal.get_or_insert(refusal);
            }
            None => return self.lost(cx, None, "answer has no result".into()),
        }
        if left > 1 {
            self.expecting = Expecting::Setup(left - 1);
            return;
        }
        match self.setup_refusal.take() {
            None => {
                self.send_work();
                self.flush(cx);
            }
            Some(refusal) => {
                self.expecting = Expecting::Nothing;
                fwd!([self.hub], EndpointEvent::Job(JobEnd::SetupRefused(refusal)));
            }
        }
    }

    /// Reports the begin of a read-write transaction, which only a primary accepts.
    fn note_begin(&self, left: usize, position: Option<Position>) {
        let Some(job) = &self.job else { return };
        let step = job.setup.len().checked_sub(left).and_then(|place| job.setup.get(place));
        if let (Some(Setup::Begin { read_only: false, .. }), Some(position)) = (step, position) {
            fwd!([self.hub], EndpointEvent::Began(position));
        }
    }

    fn read_status(
        &self,
        rows: &[Bytes],
        result: &Result<CompactString, (Refusal, CompactString)>,
    ) -> Option<crate::core::proxy::job::StatusReport> {
        let order = matches!(self.job.as_ref()?.work, Work::Order(_));
        let row = rows.first().filter(|_| order && result.is_ok())?;
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
            self.lost(cx, None, cause);
        }
    }

    fn lost(&mut self, cx: CX![], refusal: Option<Refusal>, cause: String) {
        self.stream.input = BytesMut::new();
        let report = LossReport { sent: self.sent, refusal, cause };
        fwd!([self.hub], EndpointEvent::Lost(report));
        stop!(cx);
    }
}
