//! Actor of one caller's connection: owns the socket and forwards one statement at a time to the
//! core.

use std::net::Shutdown;
use std::time::Duration;

use bytes::BytesMut;
use compact_str::CompactString;
use stakker::{after, call, fwd, fwd_to, stop, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use super::holding::HoldingReports;
use super::home::HomeConnection;
use crate::core::buffers::OWN_PART;
use crate::core::life::LifeState;
use crate::core::proxy::relay::RelayLedger;
use crate::core::proxy::statement::Query;
use crate::core::proxy::Answer;
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::net::stream::{Stream, StreamState};
use crate::platform::line::{self, CallerMessage, LineError, LineReader};
use crate::types::{ByteCount, TableVersion};
use crate::wire::relay;

/// Bytes read while a statement is in progress, or without room for a long message.
const OWN_PART_BYTES: usize = OWN_PART.0 as usize;
/// Unsent bytes from which nothing more is done for a caller until it reads its answers.
pub(super) const OUTPUT_PAUSE_BYTES: usize = 64 * 1024;
/// Bytes read while the next message is awaited; every read of so many ends a message or shows that
/// it is too long.
pub(super) const MAX_INPUT_BYTES: usize = line::MAX_LINE_BYTES + 1;
/// Time limit from the accepted connection to the startup message.
const STARTUP_LIMIT: Duration = Duration::from_secs(10);
/// Time for which a connection that this host ends stays open for the caller to close it, so that
/// a TCP reset does not discard the last answer.
const LINGER: Duration = Duration::from_millis(400);
/// Time without progress after which a caller that does not read its last answer is disconnected.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// A caller's request for a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionRequest {
    /// Name of the database.
    pub database: CompactString,
    /// Authentication key of the caller.
    pub key: CompactString,
    /// Version of the configuration under which another host admitted the caller, if that host
    /// relays the session.
    pub admitted: Option<TableVersion>,
}

/// An event on a caller's connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// The caller requests a session.
    Startup(SessionRequest),
    /// The caller sends a statement.
    Query(Query),
    /// The caller sends a statement that cannot be parsed.
    Malformed(LineError),
    /// The home of the session has declined it; the session has to run on this host.
    HomeDeclined(SessionRequest),
    /// The home of the session cannot be reached or does not answer.
    HomeUnreachable(SessionRequest),
    /// The next message needs more than the connection's own part of the memory.
    NeedsRoom,
    /// What the connection holds has changed.
    Holds {
        /// Bytes in all its buffers, and of its statement at work.
        bytes: ByteCount,
        /// Whether its statement is at work.
        is_busy: bool,
    },
    /// The connection is closed.
    Disconnected,
}

/// Phase of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for the startup message.
    Starting,
    /// Waits for a statement.
    Idle,
    /// Waits for the core to answer the startup or a statement.
    Busy,
    /// Relays the session to its home.
    Relaying,
    /// Refuses what arrives after the loss of the session's home.
    Refusing,
    /// Waits for the caller to close the connection.
    Ending,
}

/// Actor of one caller's connection.
pub struct LineCaller {
    pub(super) hub: Fwd<CallerEvent>,
    pub(super) stream: Stream,
    /// Reads the lines of the stream's input.
    pub(super) lines: LineReader,
    pub(super) phase: Phase,
    pub(super) end_requested: bool,
    /// Lifecycle state of this host, as far as it matters for relayed sessions.
    pub(super) host_state: LifeState,
    pub(super) home: Option<HomeConnection>,
    /// The statements of the session whose home was lost.
    pub(super) refused: Option<RelayLedger>,
    /// What was reported of the memory that the connection holds.
    pub(super) holding: HoldingReports,
    /// Whether statements or answers wait because the caller does not read.
    pub(super) is_paused: bool,
    /// Whether all output of an ending connection was sent.
    output_finished: bool,
    /// Whether another host relays the session over this connection.
    is_remote: bool,
    /// Version of the configuration that the relaying host announced.
    admitted: Option<TableVersion>,
}

impl LineCaller {
    /// Takes over an accepted socket, on which another host relays a session if `is_remote`. Events
    /// are sent to `hub`.
    pub fn init(
        cx: CX![],
        socket: TcpStream,
        is_remote: bool,
        hub: Fwd<CallerEvent>,
    ) -> Option<Self> {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        match Stream::new(&miopoll, socket, true, ready) {
            Ok(stream) => {
                after!(STARTUP_LIMIT, [cx], check_startup());
                Some(Self {
                    hub,
                    stream,
                    lines: LineReader::default(),
                    phase: Phase::Starting,
                    end_requested: false,
                    host_state: LifeState::Serving,
                    home: None,
                    refused: None,
                    holding: HoldingReports::default(),
                    is_paused: false,
                    output_finished: false,
                    is_remote,
                    admitted: None,
                })
            }
            Err(error) => {
                tracing::debug!(%error, "caller: connection cannot be registered with the poll");
                fwd!([hub], CallerEvent::Disconnected);
                stop!(cx);
                None
            }
        }
    }

    fn check_startup(&mut self, cx: CX![]) {
        if self.phase == Phase::Starting {
            self.end(cx);
        }
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        self.stream.set_unread();
        let input_state = self.read_input(cx);
        match input_state {
            StreamState::Open => self.flush(cx),
            StreamState::Closed(_) => self.disconnect(cx),
        }
        self.report_holding();
    }

    /// Reads and processes what has arrived, as far as a statement in progress or the home of a
    /// relayed session can take it.
    pub(super) fn read_input(&mut self, cx: CX![]) -> StreamState {
        loop {
            let limit = match self.phase {
                Phase::Ending => MAX_INPUT_BYTES,
                Phase::Starting | Phase::Idle | Phase::Relaying if self.holding.has_room => {
                    MAX_INPUT_BYTES
                }
                Phase::Starting | Phase::Idle | Phase::Relaying => OWN_PART_BYTES,
                Phase::Busy | Phase::Refusing => OWN_PART_BYTES,
            };
            let has_room = self.home.as_ref().is_none_or(HomeConnection::has_room);
            if !self.stream.has_unread() || !has_room || self.stream.input.len() >= limit {
                self.ask_for_room();
                return StreamState::Open;
            }
            let input_state = self.stream.fill(limit);
            match self.phase {
                Phase::Relaying => self.relay_lines(cx),
                Phase::Refusing => self.refuse_lines(cx),
                Phase::Ending => self.stream.input = BytesMut::new(),
                Phase::Starting | Phase::Idle | Phase::Busy => self.process_lines(cx),
            }
            if input_state != StreamState::Open {
                return input_state;
            }
        }
    }

    /// Forwards the next message, unless a statement is in progress.
    fn process_lines(&mut self, cx: CX![]) {
        while matches!(self.phase, Phase::Starting | Phase::Idle) {
            if self.stream.output.len() >= OUTPUT_PAUSE_BYTES {
                self.is_paused = true;
                return;
            }
            let line = match self.lines.next_line(&mut self.stream.input) {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(error) => return self.reject_message(cx, &error),
            };
            if self.is_remote && self.phase == Phase::Starting && self.admitted.is_none() {
                self.admitted = relay::read(&line);
                if self.admitted.is_some() {
                    continue;
                }
            }
            match (line::read_caller(&line), self.phase) {
                (Ok(CallerMessage::Startup { database, key }), Phase::Starting) => {
                    self.phase = Phase::Busy;
                    let admitted = self.admitted;
                    fwd!(
                        [self.hub],
                        CallerEvent::Startup(SessionRequest { database, key, admitted })
                    );
                }
                (Ok(CallerMessage::Query(query)), Phase::Idle) => {
                    self.phase = Phase::Busy;
                    self.holding.at_work_bytes = line.len();
                    fwd!([self.hub], query.map_or_else(CallerEvent::Malformed, CallerEvent::Query));
                }
                (Ok(CallerMessage::Terminate), _) => return self.disconnect(cx),
                (Err(error), _) => return self.reject_message(cx, &error),
                (Ok(_), _) => {
                    return self
                        .reject_message(cx, &LineError::UnknownMessage("out of place".into()));
                }
            }
        }
    }

    pub(super) fn reject_message(&mut self, cx: CX![], error: &LineError) {
        tracing::info!(%error, "caller: message cannot be decoded");
        let error = Error::new(ErrorKind::BadMessage, error.to_string());
        line::write_error(&mut self.stream.output, &error);
        self.end(cx);
    }

    /// Reports to the caller that its session is open.
    pub fn started(&mut self, cx: CX![]) {
        line::write_ready(&mut self.stream.output, TransactionState::Idle, None);
        self.phase = Phase::Idle;
        self.resume_input(cx);
        self.flush(cx);
    }

    /// Closes the connection of a relaying host without an answer, upon which that host serves the
    /// caller itself.
    pub fn decline(&mut self, cx: CX![]) {
        self.disconnect(cx);
    }

    /// Reports to the caller that its session is refused, and ends the connection.
    pub fn refused(&mut self, cx: CX![], error: Error) {
        line::write_error(&mut self.stream.output, &error);
        self.end(cx);
    }

    /// Answers the statement in progress.
    pub fn answer(&mut self, cx: CX![], answer: Answer, state: TransactionState) {
        if self.phase == Phase::Ending {
            return;
        }
        line::write_answer(&mut self.stream.output, &answer, state);
        self.holding.at_work_bytes = 0;
        self.phase = Phase::Idle;
        self.flush(cx);
        if self.phase == Phase::Idle {
            self.resume_input(cx);
        }
        if self.end_requested && self.phase == Phase::Idle && state == TransactionState::Idle {
            self.end(cx);
        }
        self.report_holding();
    }

    /// Processes the input that a statement in progress has held back.
    fn resume_input(&mut self, cx: CX![]) {
        self.process_lines(cx);
        if self.read_input(cx) != StreamState::Open {
            self.disconnect(cx);
        }
    }

    /// Ends the connection once no statement is in progress, which includes statements that have
    /// arrived but were not read yet.
    pub fn end_when_idle(&mut self, cx: CX![]) {
        self.end_requested = true;
        if matches!(self.phase, Phase::Idle | Phase::Relaying) {
            self.stream.set_unread();
            if self.read_input(cx) != StreamState::Open {
                return self.disconnect(cx);
            }
            if self.phase == Phase::Relaying {
                self.relay_lines(cx);
            }
        }
        if matches!(self.phase, Phase::Starting | Phase::Idle) {
            self.end(cx);
        }
    }

    /// Ends the connection after the pending output is sent.
    pub(super) fn end(&mut self, cx: CX![]) {
        if self.phase == Phase::Ending {
            return;
        }
        self.phase = Phase::Ending;
        self.home = None;
        self.stream.input = BytesMut::new();
        self.lines = LineReader::default();
        self.flush(cx);
        if !self.stream.output.is_empty() {
            after!(STALL_LIMIT, [cx], check_progress(self.stream.output.len()));
        }
    }

    /// Disconnects a caller that reads nothing of its last answer; `unsent_before` bytes were not
    /// sent at the last check.
    fn check_progress(&mut self, cx: CX![], unsent_before: usize) {
        let unsent = self.stream.output.len();
        if unsent > 0 && unsent >= unsent_before {
            tracing::info!(unsent, "caller: disconnected, its last answer is not read");
            return self.disconnect(cx);
        }
        if unsent > 0 {
            after!(STALL_LIMIT, [cx], check_progress(unsent));
        }
    }

    /// Sends pending output. An ending connection is shut down in this direction after it.
    pub(super) fn flush(&mut self, cx: CX![]) {
        if let StreamState::Closed(_) = self.stream.flush() {
            return self.disconnect(cx);
        }
        if self.phase == Phase::Ending && self.stream.output.is_empty() && !self.output_finished {
            self.output_finished = true;
            self.stream.finish_output(Shutdown::Write);
            after!(LINGER, [cx], disconnect());
        }
        if self.stream.output.len() >= OUTPUT_PAUSE_BYTES {
            return;
        }
        if self.home.as_ref().is_some_and(|home| home.stream.has_unread()) {
            call!([cx], read_home());
        }
        if std::mem::take(&mut self.is_paused) {
            call!([cx], resume());
        }
    }

    /// Goes on after the caller has read its answers.
    fn resume(&mut self, cx: CX![]) {
        match self.phase {
            Phase::Idle => {
                self.resume_input(cx);
                self.flush(cx);
            }
            Phase::Relaying => self.relay_lines(cx),
            Phase::Starting | Phase::Busy | Phase::Refusing | Phase::Ending => {}
        }
        self.report_holding();
    }

    pub(super) fn disconnect(&mut self, cx: CX![]) {
        fwd!([self.hub], CallerEvent::Disconnected);
        stop!(cx);
    }
}
