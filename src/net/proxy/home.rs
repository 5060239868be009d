//! The side of a caller's actor that relays its session to the host that runs it, the home.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compact_str::CompactString;
use stakker::{after, fwd, fwd_to, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use super::caller::{
    CallerEvent, LineCaller, Phase, SessionRequest, MAX_INPUT_BYTES, OUTPUT_PAUSE_BYTES,
};
use crate::core::life::LifeState;
use crate::core::proxy::relay::{RelayLedger, RelayedStatement};
use crate::core::proxy::{shutdown, Answer};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::net::stream::{Stream, StreamState};
use crate::platform::line::{self, LineReader, RelayedMessage, LINE_END};
use crate::wire::relay;

/// Time limit for the first answer of a session's home; a reachable home answers within a few
/// milliseconds.
const HOME_ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Time for which statements are refused after the home was lost, before the connection ends. A
/// caller that sets up its session sends the next statement a few milliseconds after each answer.
const CROSSING_LIMIT: Duration = Duration::from_millis(150);
/// Bytes buffered for the home, beyond which no more of the caller's lines are passed on.
const RELAY_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes of answers read from the home at once.
const RELAY_READ_BYTES: usize = 64 * 1024;
/// Bytes of answered setup statements that wait for the next statement; a session's setup takes a
/// few hundred.
const MAX_DEFERRED_BYTES: usize = 16 * 1024;

/// The connection to the home of a relayed session.
pub(super) struct HomeConnection {
    pub(super) stream: Stream,
    /// Reads the lines of the stream's input.
    lines: LineReader,
    request: SessionRequest,
    started: Instant,
    startup_sent: bool,
    /// Whether the home has answered the startup message.
    has_answered: bool,
    /// Statements that the home has not answered yet.
    pub(super) ledger: RelayLedger,
    /// Setup statements that were answered here and are sent before the next statement.
    pub(super) deferred: BytesMut,
    /// Whether the home has refused one of them, so that the session differs from what its caller
    /// was told.
    refused_setup: bool,
}

impl HomeConnection {
    /// Whether more of the caller's lines can be passed on.
    pub(super) fn has_room(&self) -> bool {
        self.stream.output.len() < RELAY_BUFFER_BYTES
    }

    /// Sends the deferred setup statements and then `line`.
    fn send(&mut self, line: &[u8]) {
        self.stream.output.unsplit(self.deferred.split());
        line::write_line(&mut self.stream.output, line);
    }
}

impl LineCaller {
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
                    lines: LineReader::default(),
                    request,
                    started: cx.now(),
                    startup_sent: false,
                    has_answered: false,
                    ledger: RelayLedger::default(),
                    deferred: BytesMut::new(),
                    refused_setup: false,
                });
                after!(HOME_ANSWER_LIMIT, [cx], check_home());
            }
            Err(error) => {
                tracing::info!(%address, %error, "relay: home cannot be reached");
                fwd!([self.hub], CallerEvent::HomeUnreachable(request));
            }
        }
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
        self.report_holding();
    }

    /// Reads and relays what the home has sent, as far as the caller takes it.
    pub(super) fn read_home(&mut self, cx: CX![]) {
        loop {
            let Some(home) = &mut self.home else { return };
            let has_room = self.stream.output.len() < OUTPUT_PAUSE_BYTES;
            if !home.stream.has_unread() || !has_room {
                return self.relay_lines(cx);
            }
            let limit = (home.stream.input.len() + RELAY_READ_BYTES).min(MAX_INPUT_BYTES);
            let mut input_state = home.stream.fill(limit);
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
    pub(super) fn relay_lines(&mut self, cx: CX![]) {
        // An answer may allow the next statement to be relayed.
        self.relay_answers();
        self.relay_statements(cx);
        let Some(home) = &mut self.home else { return };
        if home.refused_setup {
            return self.on_home_lost(cx, "the home refused a setup statement");
        }
        let is_answered = home.has_answered && home.ledger.is_settled();
        let is_done = self.end_requested && is_answered && home.ledger.is_idle();
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
            if self.stream.output.len() >= OUTPUT_PAUSE_BYTES {
                self.is_paused = true;
                return;
            }
            let must_wait = !self.host_state.runs_statements() && !home.ledger.is_settled();
            // Until the home has answered the startup, it may still decline the session.
            if !home.has_answered || !home.has_room() || must_wait {
                return;
            }
            let line = match self.lines.next_line(&mut self.stream.input) {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(error) => return self.reject_message(cx, &error),
            };
            match line::read_relayed_message(&line) {
                RelayedMessage::Statement(query) => {
                    let line_bytes = line.len() + LINE_END.len();
                    let fits = home.deferred.len() + line_bytes <= MAX_DEFERRED_BYTES;
                    if fits && home.ledger.answers_here(&query.statement) {
                        home.ledger.defer();
                        line::write_line(&mut home.deferred, &line);
                        let output = &mut self.stream.output;
                        line::write_answer(output, &Answer::Done, TransactionState::Idle);
                        continue;
                    }
                    let statement = home.ledger.describe(&query);
                    let in_transaction = statement.in_transaction;
                    let refusal =
                        shutdown::refusal(self.host_state, &query.statement, in_transaction);
                    if let Some(error) = refusal {
                        self.refuse_relayed(&statement, error);
                        return self.end(cx);
                    }
                    home.ledger.relay(statement);
                }
                RelayedMessage::Malformed => home.ledger.relay(RelayedStatement {
                    id: CompactString::default(),
                    in_transaction: !home.ledger.is_idle(),
                    may_commit: false,
                }),
                RelayedMessage::Other => {}
            }
            home.send(&line);
        }
    }

    /// Relays the home's complete lines to the caller; returns whether there were any. A line that is
    /// too long stays in the input, upon which [`Self::read_home`] gives up the home.
    fn relay_answers(&mut self) -> bool {
        let Some(home) = &mut self.home else { return false };
        let mut has_relayed = false;
        while let Ok(Some(line)) = home.lines.next_line(&mut home.stream.input) {
            has_relayed = true;
            let is_dropped = home.has_answered && home.ledger.drops_next();
            if let Some(is_idle) = line::read_relayed_ready(&line) {
                // The first answer is to the startup message.
                if std::mem::replace(&mut home.has_answered, true) {
                    home.ledger.on_answered(is_idle);
                }
            }
            if !is_dropped {
                line::write_line(&mut self.stream.output, &line);
            } else if line::is_relayed_error(&line) {
                home.refused_setup = true;
            }
        }
        has_relayed
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
        for statement in home.ledger.awaited() {
            let (may_commit, in_transaction) = (statement.may_commit, statement.in_transaction);
            let error = shutdown::unanswered(may_commit, in_transaction, detail);
            self.refuse_relayed(statement, error);
        }
    }

    /// Reads and refuses the statements that cross the loss of the home. They would otherwise get no
    /// answer, although their callers could repeat them at once.
    fn refuse_arriving(&mut self, cx: CX![]) {
        self.stream.set_unread();
        self.refuse_lines(cx);
        match self.read_input(cx) {
            StreamState::Open => self.flush(cx),
            StreamState::Closed(_) => self.disconnect(cx),
        }
    }

    /// Refuses the statements that have arrived after the loss of the home, none of which was relayed.
    pub(super) fn refuse_lines(&mut self, cx: CX![]) {
        loop {
            let line = match self.lines.next_line(&mut self.stream.input) {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(error) => return self.reject_message(cx, &error),
            };
            if let RelayedMessage::Statement(query) = line::read_relayed_message(&line) {
                let Some(ledger) = &self.refused else { return };
                let statement = ledger.describe(&query);
                let kind = match statement.in_transaction {
                    true => ErrorKind::TransactionLost,
                    false => ErrorKind::HostDraining,
                };
                let detail = "the host that runs the session closed the connection before";
                self.refuse_relayed(&statement, Error::new(kind, detail));
            }
        }
    }

    /// Lets a relayed transaction only be ended from now on, because the host stops.
    pub fn end_transaction(&mut self, cx: CX![]) {
        self.host_state = LifeState::Finishing;
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
            self.refused = Some(home.ledger);
            self.phase = Phase::Refusing;
            after!(CROSSING_LIMIT, [cx], end());
            return self.refuse_arriving(cx);
        }
        tracing::info!(cause, "relay: home closed the connection without an answer");
        self.phase = Phase::Busy;
        fwd!([self.hub], CallerEvent::HomeDeclined(home.request));
    }

    /// Relays what a home sent before it closed the connection, if a write has shown the loss first.
    fn read_last_answers(&mut self) {
        while let Some(home) = &mut self.home {
            let input_state = home.stream.fill(MAX_INPUT_BYTES);
            let may_have_more = input_state == StreamState::Open && home.stream.has_unread();
            let has_relayed = self.relay_answers();
            if !may_have_more || !has_relayed {
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
}
