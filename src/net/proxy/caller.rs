//! Actor of one caller's connection: it owns the socket and passes one statement on at a time.

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

/// Bytes read ahead while a statement is under way.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Longest wait for the home of a session; a reachable one answers within a few milliseconds.
const HOME_LIMIT: Duration = Duration::from_millis(300);
/// Bytes that wait for a slow reader before no more are taken from the other side.
const RELAY_BUFFER_BYTES: usize = 1024 * 1024;
/// Longest time from the connection to the start-up message.
const STARTUP_LIMIT: Duration = Duration::from_secs(10);
/// Time for which a connection that this host ends waits for the caller's end, so that the last
/// answer is not lost to a reset.
const LINGER: Duration = Duration::from_millis(400);

/// What a caller asks for when it opens a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
    /// The database.
    pub database: CompactString,
    /// The caller's key.
    pub key: CompactString,
    /// Configuration under which another host has admitted the caller, if it came through one.
    pub admitted: Option<TableVersion>,
}

/// What a caller does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// It asks for a session.
    Startup(Opening),
    /// It sends a statement.
    Query(Query),
    /// It sends a statement that cannot be read.
    Malformed(LineError),
    /// Its session's home cannot be reached; the session has to run here.
    HomeLost(Opening),
    /// It has gone.
    Gone,
}

/// Progress of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Starting,
    Idle,
    Busy,
    Relaying,
    Ending,
}

/// The other side of a caller whose session runs on another host.
struct Home {
    stream: Stream,
    opening: Opening,
    greeted: bool,
    answered: bool,
    asked: u32,
    idle: bool,
}

/// A caller's connection.
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
    /// Takes over an accepted socket, of another host if `is_guest`. Events go to `hub`.
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
                tracing::debug!(%error, "caller: connection could not be registered");
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

    /// Passes on the next message if none is under way.
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
        tracing::info!(%error, "caller: message cannot be read");
        let error = Error::new(crate::error::ErrorKind::BadMessage, error.to_string());
        line::write_error(&mut self.stream.output, &error);
        self.end(cx);
    }

    /// The session is open.
    pub fn started(&mut self, cx: CX![]) {
        line::write_ready(&mut self.stream.output, TransactionState::Idle, None);
        self.phase = Phase::Idle;
        self.take_lines(cx);
        self.flush(cx);
    }

    /// The session runs on the host with this address; lines are passed on from now on.
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

    /// This host cannot serve another host's caller; no answer tells that host to do so itself.
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

    /// Passes whole lines on in both directions.
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
                // The first answer belongs to the start-up, which was not counted.
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

    /// The home is gone. A session that has not begun runs here; another one ends.
    fn home_lost(&mut self, cx: CX![], cause: &str) {
        let Some(home) = self.home.take() else { return };
        if home.answered {
            return self.end(cx);
        }
        tracing::info!(cause, "relay: home did not answer");
        self.phase = Phase::Busy;
        fwd!([self.hub], CallerEvent::HomeLost(home.opening));
    }

    /// The session is refused.
    pub fn refused(&mut self, cx: CX![], error: Error) {
        line::write_error(&mut self.stream.output, &error);
        self.end(cx);
    }

    /// Answers the statement under way.
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

    /// Ends the connection once no statement is under way, those included that have arrived and
    /// were not read yet.
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

    /// Ends the connection after what is to be sent.
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
