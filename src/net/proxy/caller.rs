//! Actor of one caller's connection: owns the socket and forwards one statement at a time to the
//! core.

use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use stakker::{after, call, fwd, fwd_to, stop, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::core::life::LifeState;
use crate::core::proxy::statement::Query;
use crate::core::proxy::{shutdown, Answer};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::net::stream::{Stream, StreamState};
use crate::platform::line::{self, CallerMessage, LineError, RelayedMessage};
use crate::types::TableVersion;
use crate::wire::relay;

/// Bytes read ahead while a statement is in progress.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Bytes read while the next message is awaited; every read of so many ends a message or shows that
/// it is too long.
const MAX_INPUT_BYTES: usize = line::MAX_LINE_BYTES + 1;
/// Time limit for the first answer of a session's home; a reachable home answers within a few
/// milliseconds.
const HOME_ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Bytes buffered for a slow reader, beyond which relaying stops reading from the other side.
const RELAY_BUFFER_BYTES: usize = 1024 * 1024;
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
    /// The connection is closed.
    Disconnected,
}

/// Phase of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for the startup message.
    Starting,
    /// Waits for a statement.
    Idle,
    /// Waits for the core to answer the startup or a statement.
    Busy,
    /// Relays the session to its home.
    Relaying,
    /// Waits for the caller to close the connection.
    Ending,
}

/// The connection to the home of a relayed session.
struct HomeConnection {
    stream: Stream,
    request: SessionRequest,
    started: Instant,
    startup_sent: bool,
    /// Whether the home has answered the startup message.
    has_answered: bool,
    /// Relayed statements that the home has not answered yet.
    unanswered: VecDeque<RelayedStatement>,
    /// Whether no transaction was open after the last answer.
    is_idle: bool,
}

/// A statement that was relayed to the home of its session.
struct RelayedStatement {
    id: CompactString,
    in_transaction: bool,
    /// Whether it may have lasting effects although its answer is missing.
    may_commit: bool,
}

impl HomeConnection {
    /// Whether more of the caller's lines can be passed on.
    fn has_room(&self) -> bool {
        self.stream.output.len() < RELAY_BUFFER_BYTES
    }

    /// Describes a statement that is relayed next. While others are not answered, the state in which
    /// it will run is unknown.
    fn describe(&self, query: &Query) -> RelayedStatement {
        let (in_transaction, is_first) = (!self.is_idle, self.unanswered.is_empty());
        RelayedStatement {
            id: query.id.clone(),
            in_transaction,
            may_commit: !is_first || shutdown::may_commit(&query.statement, in_transaction),
        }
    }
}

/// Actor of one caller's connection.
pub struct LineCaller {
    hub: Fwd<CallerEvent>,
    stream: Stream,
    phase: Phase,
    end_requested: bool,
    /// Whether relayed transactions can only be ended, because the host stops.
    ends_transactions: bool,
    home: Option<HomeConnection>,
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
                    phase: Phase::Starting,
                    end_requested: false,
                    ends_transactions: false,
                    home: None,
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
    }

    /// Reads and processes what has arrived, as far as a statement in progress or the home of a
    /// relayed session can take it.
    fn read_input(&mut self, cx: CX![]) -> StreamState {
        loop {
            let limit = match self.phase {
                Phase::Busy => READ_AHEAD_BYTES,
                Phase::Starting | Phase::Idle | Phase::Relaying | Phase::Ending => MAX_INPUT_BYTES,
            };
            let has_room = self.home.as_ref().is_none_or(HomeConnection::has_room);
            if !self.stream.has_unread() || !has_room || self.stream.input.len() >= limit {
                return StreamState::Open;
            }
            let input_state = self.stream.fill(limit);
            match self.phase {
                Phase::Relaying => self.relay_lines(cx),
                Phase::Ending => self.stream.input.clear(),
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
            let line = match line::next_line(&mut self.stream.input) {
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

    fn reject_message(&mut self, cx: CX![], error: &LineError) {
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

    /// Relays the session to its home at `address` from now on.
    pub fn relay(&mut self, cx: CX![], address: SocketAddr, request: SessionRequest) {
        let socket = TcpStream::connect(address).and_then(|socket| {
            let miopoll = cx.anymap_get::<MioPoll>();
            Stream::new(&miopoll, socket, false, fwd_to!([cx], home_ready() as (Ready)))
        });
        match socket {
            Ok(stream) => {
                self.phase = Phase::Relaying;
                self.home = Some(HomeConnection {
                    stream,
                    request,
                    started: cx.now(),
                    startup_sent: false,
                    has_answered: false,
                    unanswered: VecDeque::new(),
                    is_idle: true,
                });
                after!(HOME_ANSWER_LIMIT, [cx], check_home());
            }
            Err(error) => {
                tracing::info!(%address, %error, "relay: home cannot be reached");
                fwd!([self.hub], CallerEvent::HomeUnreachable(request));
            }
        }
    }

    /// Closes the connection of a relaying host without an answer, upon which that host serves the
    /// caller itself.
    pub fn decline(&mut self, cx: CX![]) {
        self.disconnect(cx);
    }

    fn check_home(&mut self, cx: CX![]) {
        // A session may have been passed to another home since the timer was set.
        let overdue = |home: &HomeConnection| {
            !home.has_answered && cx.now() >= home.started + HOME_ANSWER_LIMIT
        };
        if self.home.as_ref().is_some_and(overdue) {
            self.on_home_unreachable("time limit");
        }
    }

    fn home_ready(&mut self, cx: CX![], _: Ready) {
        let Some(home) = &mut self.home else { return };
        if !home.startup_sent {
            match home.stream.finish_connect() {
                Ok(true) => {
                    let SessionRequest { database, key, admitted } = &home.request;
                    if let Some(version) = admitted {
                        relay::write(&mut home.stream.output, *version);
                    }
                    line::write_caller_startup(&mut home.stream.output, database, key);
                    home.startup_sent = true;
                }
                Ok(false) => return,
                Err(error) => return self.on_home_unreachable(&error.to_string()),
            }
        }
        home.stream.set_unread();
        self.read_home(cx);
        if self.phase == Phase::Relaying {
            // The home may have taken lines for which there was no room before.
            let input_state = self.read_input(cx);
            if input_state != StreamState::Open {
                self.disconnect(cx);
            }
        }
    }

    /// Reads and relays what the home has sent, as far as the caller takes it.
    fn read_home(&mut self, cx: CX![]) {
        loop {
            let Some(home) = &mut self.home else { return };
            let has_room = self.stream.output.len() < RELAY_BUFFER_BYTES;
            if !home.stream.has_unread() || !has_room {
                return self.relay_lines(cx);
            }
            let mut input_state = home.stream.fill(MAX_INPUT_BYTES);
            self.relay_lines(cx);
            let Some(home) = &self.home else { return };
            if home.stream.input.len() >= MAX_INPUT_BYTES {
                input_state =
                    StreamState::Closed("the home sent a message that is too long".into());
            }
            if let StreamState::Closed(cause) = input_state {
                return self.on_home_lost(cx, &cause);
            }
        }
    }

    /// Relays complete lines in both directions.
    fn relay_lines(&mut self, cx: CX![]) {
        // An answer may allow the next statement to be relayed.
        self.relay_answers();
        self.relay_statements(cx);
        let Some(home) = &mut self.home else { return };
        let is_answered = home.has_answered && home.unanswered.is_empty();
        let is_done = self.end_requested && is_answered && home.is_idle;
        if let StreamState::Closed(cause) = home.stream.flush() {
            return self.on_home_lost(cx, &cause);
        }
        self.flush(cx);
        if is_done {
            self.end(cx);
        }
    }

    /// Relays the caller's complete lines to the home.
    fn relay_statements(&mut self, cx: CX![]) {
        loop {
            let Some(home) = &mut self.home else { return };
            let must_wait = self.ends_transactions && !home.unanswered.is_empty();
            // Until the home has answered the startup, it may still decline the session.
            if !home.has_answered || !home.has_room() || must_wait {
                return;
            }
            let Some(end) = self.stream.input.iter().position(|byte| *byte == b'\n') else {
                if self.stream.input.len() >= MAX_INPUT_BYTES {
                    self.reject_message(cx, &LineError::TooLong);
                }
                return;
            };
            let line = self.stream.input.split_to(end + 1).freeze();
            match line::read_relayed_message(&line) {
                RelayedMessage::Statement(query) => {
                    let statement = home.describe(&query);
                    let refusal = shutdown::refusal(
                        if self.ends_transactions {
                            LifeState::Finishing
                        } else {
                            LifeState::Serving
                        },
                        &query.statement,
                        statement.in_transaction,
                    );
                    if let Some(error) = refusal {
                        self.refuse_relayed(&statement, error);
                        return self.end(cx);
                    }
                    home.unanswered.push_back(statement);
                }
                RelayedMessage::Malformed => home.unanswered.push_back(RelayedStatement {
                    id: CompactString::default(),
                    in_transaction: !home.is_idle,
                    may_commit: false,
                }),
                RelayedMessage::Other => {}
            }
            home.stream.output.extend_from_slice(&line);
        }
    }

    /// Relays the home's complete lines to the caller.
    fn relay_answers(&mut self) {
        let Some(home) = &mut self.home else { return };
        while let Some(end) = home.stream.input.iter().position(|byte| *byte == b'\n') {
            let line = home.stream.input.split_to(end + 1);
            if let Some(is_idle) = line::read_relayed_ready(&line) {
                // The first answer is to the startup message.
                if home.has_answered {
                    home.unanswered.pop_front();
                }
                (home.has_answered, home.is_idle) = (true, is_idle);
            }
            self.stream.output.extend_from_slice(&line);
        }
    }

    /// Answers a statement of a relayed session with an error of this host.
    fn refuse_relayed(&mut self, statement: &RelayedStatement, error: Error) {
        tracing::info!(request = statement.id.as_str(), kind = ?error.kind,
            detail = error.detail.as_str(), "relay: statement was refused by this host");
        let state = match statement.in_transaction {
            true => TransactionState::Failed,
            false => TransactionState::Idle,
        };
        line::write_answer(&mut self.stream.output, &Answer::Refused(error), state);
    }

    /// Answers the statements that the home has not answered, whose answers are no longer awaited.
    fn refuse_unanswered(&mut self, home: &HomeConnection, detail: &str) {
        for statement in &home.unanswered {
            let (may_commit, in_transaction) = (statement.may_commit, statement.in_transaction);
            let error = shutdown::unanswered(may_commit, in_transaction, detail);
            self.refuse_relayed(statement, error);
        }
    }

    /// Lets a relayed transaction only be ended from now on, because the host stops.
    pub fn end_transaction(&mut self, cx: CX![]) {
        self.ends_transactions = true;
        if self.phase == Phase::Relaying {
            self.relay_lines(cx);
        }
    }

    /// Answers the statements of a relayed session that are in progress, and ends the connection.
    pub fn abort(&mut self, cx: CX![], cause: &'static str) {
        let Some(home) = self.home.take() else { return };
        if !home.has_answered {
            line::write_error(&mut self.stream.output, &Error::new(ErrorKind::HostDraining, cause));
        }
        self.refuse_unanswered(&home, cause);
        self.end(cx);
    }

    /// Handles the loss of the home: a session that the home has not answered yet runs on this
    /// host; any other session ends, after its statements in progress are answered.
    fn on_home_lost(&mut self, cx: CX![], cause: &str) {
        self.read_last_answers();
        let Some(home) = self.home.take() else { return };
        if home.has_answered {
            self.refuse_unanswered(&home, "the host that runs the session closed the connection");
            return self.end(cx);
        }
        tracing::info!(cause, "relay: home closed the connection without an answer");
        self.phase = Phase::Busy;
        fwd!([self.hub], CallerEvent::HomeDeclined(home.request));
    }

    /// Relays what a home sent before it closed the connection, if a write has shown the loss first.
    fn read_last_answers(&mut self) {
        while let Some(home) = &mut self.home {
            let input_state = home.stream.fill(MAX_INPUT_BYTES);
            let may_have_more = input_state == StreamState::Open
                && home.stream.has_unread()
                && home.stream.input.contains(&b'\n');
            self.relay_answers();
            if !may_have_more {
                return;
            }
        }
    }

    /// Handles a home that was not reached or has not answered in time.
    fn on_home_unreachable(&mut self, cause: &str) {
        let Some(home) = self.home.take() else { return };
        tracing::info!(cause, "relay: home did not answer");
        self.phase = Phase::Busy;
        fwd!([self.hub], CallerEvent::HomeUnreachable(home.request));
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
        self.phase = Phase::Idle;
        self.flush(cx);
        if self.phase == Phase::Idle {
            self.resume_input(cx);
        }
        if self.end_requested && self.phase == Phase::Idle && state == TransactionState::Idle {
            self.end(cx);
        }
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
    fn end(&mut self, cx: CX![]) {
        if self.phase == Phase::Ending {
            return;
        }
        self.phase = Phase::Ending;
        self.home = None;
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
    fn flush(&mut self, cx: CX![]) {
        if let StreamState::Closed(_) = self.stream.flush() {
            return self.disconnect(cx);
        }
        if self.phase == Phase::Ending && self.stream.output.is_empty() && !self.output_finished {
            self.output_finished = true;
            self.stream.finish_output(Shutdown::Write);
            after!(LINGER, [cx], disconnect());
        }
        let has_room = self.stream.output.len() < RELAY_BUFFER_BYTES;
        if has_room && self.home.as_ref().is_some_and(|home| home.stream.has_unread()) {
            call!([cx], read_home());
        }
    }

    fn disconnect(&mut self, cx: CX![]) {
        fwd!([self.hub], CallerEvent::Disconnected);
        stop!(cx);
    }
}
