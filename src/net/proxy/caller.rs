//! Actor of one caller's connection: owns the socket and forwards one statement at a time to the
//! core.

use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use stakker::{after, fwd, fwd_to, stop, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::core::proxy::statement::Query;
use crate::core::proxy::Answer;
use crate::core::transaction::TransactionState;
use crate::error::Error;
use crate::net::stream::{Stream, StreamState};
use crate::platform::line::{self, CallerMessage, LineError, Relayed};
use crate::types::TableVersion;
use crate::wire::relay;

/// Bytes read ahead while a statement is in progress.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time limit for the first answer of a session's home; a reachable home answers within a few
/// milliseconds.
const HOME_LIMIT: Duration = Duration::from_millis(300);
/// Bytes buffered for a slow reader, beyond which relaying stops reading from the other side.
const RELAY_BUFFER_BYTES: usize = 1024 * 1024;
/// Time limit from the accepted connection to the startup message.
const STARTUP_LIMIT: Duration = Duration::from_secs(10);
/// Time for which a connection that this host ends stays open for the caller to close it, so that
/// a TCP reset does not discard the last answer.
const LINGER: Duration = Duration::from_millis(400);

/// A caller's request for a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
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
    Startup(Opening),
    /// The caller sends a statement.
    Query(Query),
    /// The caller sends a statement that cannot be parsed.
    Malformed(LineError),
    /// The home of the session cannot be reached; the session has to run on this host.
    HomeLost(Opening),
    /// The connection is closed.
    Gone,
}

/// Phase of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Starting,
    Idle,
    Busy,
    Relaying,
    Ending,
}

/// The connection to the home of a relayed session.
struct Home {
    stream: Stream,
    opening: Opening,
    greeted: bool,
    answered: bool,
    asked: u32,
    idle: bool,
}

/// Actor of one caller's connection.
pub struct LineCaller {
    hub: Fwd<CallerEvent>,
    stream: Stream,
    phase: Phase,
    end_wanted: bool,
    home: Option<Home>,
    is_guest: bool,
    admitted: Option<TableVersion>,
}

impl LineCaller {
    /// Takes over an accepted socket, on which another host relays a session if `is_guest`. Events
    /// are sent to `hub`.
    pub fn init(
        cx: CX![],
        socket: TcpStream,
        is_guest: bool,
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
                    end_wanted: false,
                    home: None,
                    is_guest,
                    admitted: None,
                })
            }
            Err(error) => {
                tracing::debug!(%error, "caller: connection cannot be registered with the poll");
                fwd!([hub], CallerEvent::Gone);
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
        let filled = self.stream.fill(READ_AHEAD_BYTES);
        if self.phase == Phase::Relaying {
            self.relay_lines(cx);
        } else if self.phase != Phase::Ending {
            self.take_lines(cx);
        }
        match filled {
            StreamState::Open => self.flush(cx),
            StreamState::Closed(_) => self.gone(cx),
        }
    }

    /// Forwards the next message, unless a statement is in progress.
    fn take_lines(&mut self, cx: CX![]) {
        while matches!(self.phase, Phase::Starting | Phase::Idle) {
            let line = match line::next_line(&mut self.stream.input) {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(error) => return self.refuse_bytes(cx, &error),
            };
            if self.is_guest && self.phase == Phase::Starting && self.admitted.is_none() {
                self.admitted = relay::read(&line);
                if self.admitted.is_some() {
                    continue;
                }
            }
            match (line::read_caller(&line), self.phase) {
                (Ok(CallerMessage::Startup { database, key }), Phase::Starting) => {
                    self.phase = Phase::Busy;
                    let admitted = self.admitted;
                    fwd!([self.hub], CallerEvent::Startup(Opening { database, key, admitted }));
                }
                (Ok(CallerMessage::Query(query)), Phase::Idle) => {
                    self.phase = Phase::Busy;
                    fwd!([self.hub], query.map_or_else(CallerEvent::Malformed, CallerEvent::Query));
                }
                (Ok(CallerMessage::Terminate), _) => return self.gone(cx),
                (Err(error), _) => return self.refuse_bytes(cx, &error),
                (Ok(_), _) => {
                    return self.refuse_bytes(cx, &LineError::Word("out of place".into()));
                }
            }
        }
    }

    fn refuse_bytes(&mut self, cx: CX![], error: &LineError) {
        tracing::info!(%error, "caller: message cannot be decoded");
        let error = Error::new(crate::error::ErrorKind::BadMessage, error.to_string());
        line::write_error(&mut self.stream.output, &error);
        self.end(cx);
    }

    /// Reports to the caller that its session is open.
    pub fn started(&mut self, cx: CX![]) {
        line::write_ready(&mut self.stream.output, TransactionState::Idle, None);
        self.phase = Phase::Idle;
        self.take_lines(cx);
        self.flush(cx);
    }

    /// Relays the session to its home at `address` from now on.
    pub fn relay(&mut self, cx: CX![], address: SocketAddr, opening: Opening) {
        let socket = TcpStream::connect(address).and_then(|socket| {
            let miopoll = cx.anymap_get::<MioPoll>();
            Stream::new(&miopoll, socket, false, fwd_to!([cx], home_ready() as (Ready)))
        });
        match socket {
            Ok(stream) => {
                self.phase = Phase::Relaying;
                let (greeted, answered, asked, idle) = (false, false, 0, true);
                self.home = Some(Home { stream, opening, greeted, answered, asked, idle });
                after!(HOME_LIMIT, [cx], check_home());
            }
            Err(error) => {
                tracing::info!(%address, %error, "relay: home cannot be reached");
                fwd!([self.hub], CallerEvent::HomeLost(opening));
            }
        }
    }

    /// Closes the connection of a relaying host without an answer, upon which that host serves the
    /// caller itself.
    pub fn decline(&mut self, cx: CX![]) {
        self.gone(cx);
    }

    fn check_home(&mut self, cx: CX![]) {
        if self.home.as_ref().is_some_and(|home| !home.answered) {
            self.home_lost(cx, "time limit");
        }
    }

    fn home_ready(&mut self, cx: CX![], _: Ready) {
        let Some(home) = &mut self.home else { return };
        if !home.greeted {
            match home.stream.finish_connect() {
                Ok(true) => {
                    let Opening { database, key, admitted } = &home.opening;
                    if let Some(version) = admitted {
                        relay::write(&mut home.stream.output, *version);
                    }
                    line::write_caller_startup(&mut home.stream.output, database, key);
                    home.greeted = true;
                }
                Ok(false) => return,
                Err(error) => return self.home_lost(cx, &error.to_string()),
            }
        }
        let filled = if self.stream.output.len() < RELAY_BUFFER_BYTES {
            home.stream.fill(READ_AHEAD_BYTES)
        } else {
            StreamState::Open
        };
        self.relay_lines(cx);
        if let StreamState::Closed(cause) = filled {
            self.home_lost(cx, &cause);
        }
    }

    /// Relays complete lines in both directions.
    fn relay_lines(&mut self, cx: CX![]) {
        let Some(home) = &mut self.home else { return };
        let room = home.stream.output.len() < RELAY_BUFFER_BYTES;
        while let Some(end) = self.stream.input.iter().position(|byte| room && *byte == b'\n') {
            let line = self.stream.input.split_to(end + 1);
            home.asked += u32::from(line::read_relayed(&line) == Relayed::Asked);
            home.stream.output.extend_from_slice(&line);
        }
        while let Some(end) = home.stream.input.iter().position(|byte| *byte == b'\n') {
            let line = home.stream.input.split_to(end + 1);
            if let Relayed::Answered(idle) = line::read_relayed(&line) {
                // The first answer is to the startup message, which was not counted.
                home.asked = home.asked.saturating_sub(u32::from(home.answered));
                (home.answered, home.idle) = (true, idle);
            }
            self.stream.output.extend_from_slice(&line);
        }
        let done = self.end_wanted && home.asked == 0 && home.idle;
        if let StreamState::Closed(cause) = home.stream.flush() {
            return self.home_lost(cx, &cause);
        }
        self.flush(cx);
        if done {
            self.end(cx);
        }
    }

    /// Handles the loss of the home: a session that the home has not answered yet runs on this
    /// host, and any other session ends.
    fn home_lost(&mut self, cx: CX![], cause: &str) {
        let Some(home) = self.home.take() else { return };
        if home.answered {
            return self.end(cx);
        }
        tracing::info!(cause, "relay: home did not answer");
        self.phase = Phase::Busy;
        fwd!([self.hub], CallerEvent::HomeLost(home.opening));
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
            self.take_lines(cx);
        }
        if self.end_wanted && self.phase == Phase::Idle && state == TransactionState::Idle {
            self.end(cx);
        }
    }

    /// Ends the connection once no statement is in progress, which includes statements that have
    /// arrived but were not read yet.
    pub fn end_when_idle(&mut self, cx: CX![]) {
        self.end_wanted = true;
        if self.phase == Phase::Relaying {
            return self.relay_lines(cx);
        }
        if self.phase == Phase::Idle {
            let filled = self.stream.fill(READ_AHEAD_BYTES);
            self.take_lines(cx);
            if let StreamState::Closed(_) = filled {
                return self.gone(cx);
            }
        }
        if self.phase == Phase::Idle {
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
        after!(LINGER, [cx], gone());
        self.flush(cx);
        self.stream.finish_output(Shutdown::Write);
    }

    fn flush(&mut self, cx: CX![]) {
        if let StreamState::Closed(_) = self.stream.flush() {
            self.gone(cx);
        }
    }

    fn gone(&mut self, cx: CX![]) {
        fwd!([self.hub], CallerEvent::Gone);
        stop!(cx);
    }
}
