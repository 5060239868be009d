//! Actor of one connection to an endpoint: owns the socket and runs one job at a time.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use stakker::{fwd, fwd_to, stop, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::core::proxy::connection::Owner;
use crate::core::proxy::endpoint_answers::{
    AnswerResult, AnswersState, Attribution, EndpointAnswer, EndpointAnswers,
};
use crate::core::proxy::job::{Job, JobAnswer, JobEnd, Refusal, StatusReport, Work};
use crate::core::proxy::LossReport;
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
    /// The endpoint has sent an answer again, which was dropped.
    Repeated,
    /// The connection is closed, because an answer may be a repeated one. The endpoint is up.
    Unclear {
        /// Whether the statement of the job was sent.
        sent: bool,
        /// The refusal in the answer.
        refusal: Refusal,
    },
    /// A job ended, or its rollback did.
    JobEnded(JobEnd),
    /// The connection is closed.
    Lost(LossReport),
}

/// Actor of one connection to an endpoint.
pub struct LineEndpoint {
    target: Target,
    hub: Fwd<EndpointEvent>,
    stream: Stream,
    /// Reads the lines of the stream's input.
    lines: LineReader,
    startup_sent: bool,
    /// Whether the statement or order of the last job was sent.
    work_sent: bool,
    job: Option<Job>,
    answers: EndpointAnswers,
    rows: Vec<Bytes>,
    /// Result of the answer that is being received.
    result: AnswerResult,
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
                startup_sent: false,
                work_sent: false,
                job: None,
                answers: EndpointAnswers::default(),
                rows: Vec::new(),
                result: AnswerResult::None,
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
        let state = self.answers.state();
        if state != AnswersState::Idle {
            // Answers could be attributed to the wrong statement.
            tracing::error!(?state, "endpoint: received a job while another is running");
            return self.report_lost(cx, None, "received a job while another is running".into());
        }
        self.work_sent = false;
        self.answers.start(&job);
        for step in &job.setup {
            line::write_setup(&mut self.stream.output, step);
        }
        self.job = Some(job);
        if !self.answers.awaits_setup() {
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
        self.answers.send_work();
    }

    /// Sends the rollback. Must not be called before the statement was answered: an endpoint runs a
    /// rollback at once, ahead of a statement that waits for a slot.
    fn send_rollback(&mut self) {
        line::write_rollback(&mut self.stream.output);
        self.answers.send_rollback();
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
        match message {
            EndpointMessage::Row(row) => self.rows.push(row),
            EndpointMessage::Complete(signature) if line::is_signature(&signature) => {
                self.result = AnswerResult::Signed(signature);
            }
            EndpointMessage::Complete(_) => self.result = AnswerResult::Done,
            EndpointMessage::Error(refusal, text) => {
                if self.answers.state() == AnswersState::Starting {
                    self.report_lost(cx, Some(refusal), format!("startup was refused: {text}"));
                    return false;
                }
                self.result = AnswerResult::Refused(refusal, text);
            }
            EndpointMessage::Ready(transaction, position) => {
                let rows = std::mem::take(&mut self.rows);
                let result = std::mem::replace(&mut self.result, AnswerResult::None);
                let answer = EndpointAnswer { rows, result, transaction, position };
                return self.handle_answer(cx, answer);
            }
        }
        true
    }

    /// Handles a complete answer; returns false once the connection is closed.
    fn handle_answer(&mut self, cx: CX![], answer: EndpointAnswer) -> bool {
        let state = self.answers.state();
        match self.answers.on_answer(&answer) {
            Attribution::Awaited => return self.finish_answer(cx, state, answer),
            Attribution::Repeated => {
                tracing::info!(endpoint = self.target.endpoint.as_str(), ?state,
                    result = ?answer.result, "endpoint: dropped a repeated answer");
                fwd!([self.hub], EndpointEvent::Repeated);
                return true;
            }
            Attribution::Unclear(refusal) => {
                tracing::info!(
                    endpoint = self.target.endpoint.as_str(),
                    ?state,
                    ?refusal,
                    "endpoint: an answer may be a repeated one"
                );
                fwd!([self.hub], EndpointEvent::Unclear { sent: self.work_sent, refusal });
                stop!(cx);
            }
            Attribution::Unexpected => {
                tracing::warn!(endpoint = self.target.endpoint.as_str(), ?state,
                    result = ?answer.result, "endpoint: received an answer that fits nothing that was sent");
                self.report_lost(cx, None, "received an answer that fits nothing".into());
            }
        }
        false
    }

    /// Handles the answer that was awaited in `state`; returns false once the connection is closed.
    fn finish_answer(&mut self, cx: CX![], state: AnswersState, answer: EndpointAnswer) -> bool {
        if let Some(position) = self.answers.take_begin() {
            fwd!([self.hub], EndpointEvent::TransactionBegan(position));
        }
        match state {
            AnswersState::Idle => {}
            AnswersState::Starting => fwd!([self.hub], EndpointEvent::Opened),
            AnswersState::Setup if self.answers.awaits_setup() => {}
            AnswersState::Setup => match self.answers.take_refusal() {
                None => {
                    self.send_work();
                    self.flush(cx);
                }
                Some(refusal) => {
                    fwd!([self.hub], EndpointEvent::JobEnded(JobEnd::SetupRefused(refusal)));
                }
            },
            AnswersState::Work => {
                let status = self.read_status(&answer);
                if self.job.as_ref().is_some_and(|job| job.rollback) {
                    self.send_rollback();
                    self.flush(cx);
                }
                let EndpointAnswer { rows, result, transaction, position } = answer;
                let result = match result {
                    AnswerResult::Signed(signature) => Ok(signature),
                    AnswerResult::Refused(refusal, text) => Err((refusal, text)),
                    AnswerResult::Done | AnswerResult::None => Ok(CompactString::default()),
                };
                let answer = JobAnswer { rows, result, transaction, position, status };
                fwd!([self.hub], EndpointEvent::JobEnded(JobEnd::Answered(answer)));
            }
            AnswersState::Rollback => {
                fwd!([self.hub], EndpointEvent::JobEnded(JobEnd::RolledBack));
            }
        }
        true
    }

    fn read_status(&self, answer: &EndpointAnswer) -> Option<StatusReport> {
        let is_order = matches!(self.job.as_ref()?.work, Work::Order(_));
        let row =
            answer.rows.first().filter(|_| is_order && answer.result == AnswerResult::Done)?;
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
