//! The control port: one JSON object a line in, one JSON object a line out.
//!
//! | request | effect |
//! |---|---|
//! | `{"op":"members","members":["a=PG=REPL",..],"primary":"a"}` | sets the group and its first primary |
//! | `{"op":"status"}` | answers `{"status":TEXT,"role":..}` |
//! | `{"op":"counts"}` | answers the counters |
//! | `{"op":"log"}` | answers `{"entries":[{"position":"1:7","changes":[..]}]}` |
//! | `{"op":"set","lag_ms":..,"service_time_us":..,"answer_delay_ms":..,"accept_delay_ms":..,"slots":..,"max_connections":..}` | changes the named settings |
//! | `{"op":"freeze"}`, `{"op":"thaw"}` | reads and answers nothing, goes on |
//! | `{"op":"cut_replication","members":["b"]}` | replication with these members, and no others, is cut |
//! | `{"op":"partition","peers":["b","127.0.0.2","host-1"]}` | these members, client addresses and application names, and no others, are cut off |
//! | `{"op":"next_answer","fault":"drop"}` or `"fault":{"truncate":5}` | fault of the next answer of a statement that takes a slot |
//! | `{"op":"crash"}`, `{"op":"start"}` | closes all connections and refuses new ones, comes back with its log |
//!
//! A request that is not understood is answered with `{"error":TEXT}`, every other one without a
//! result of its own with `{"ok":true}`.

use medlarstile::types::{DurationMs, EndpointId};
use serde::Deserialize;
use serde_json::{json, Value as Json};
use stakker::{call, fwd_to, Actor, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::Ready;

use super::fault::AnswerFault;
use super::server::EndpointServer;
use super::socket::Socket;

/// A request on the control port.
#[derive(Debug, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum ControlRequest {
    /// Set the group.
    Members {
        /// Members as text.
        members: Vec<String>,
        /// Primary of the first term.
        primary: EndpointId,
    },
    /// Report the status.
    Status,
    /// Report the counters.
    Counts,
    /// Report the log.
    Log,
    /// Change settings.
    Set(SettingsChange),
    /// Stop reading and answering.
    Freeze,
    /// Go on.
    Thaw,
    /// Cut replication.
    CutReplication {
        /// Members that are cut.
        members: Vec<EndpointId>,
    },
    /// Cut peers off.
    Partition {
        /// Ids of members, client addresses and application names.
        peers: Vec<compact_str::CompactString>,
    },
    /// Spoil the next answer.
    NextAnswer {
        /// What happens to it.
        fault: AnswerFault,
    },
    /// Crash.
    Crash,
    /// Come back after a crash.
    Start,
}

/// Settings to change; the others stay.
#[derive(Debug, Deserialize)]
pub struct SettingsChange {
    /// Replication lag of this endpoint as a replica.
    pub lag_ms: Option<DurationMs>,
    /// Time that a statement occupies its slot.
    pub service_time_us: Option<u64>,
    /// Time that answers are held back outside the slot.
    pub answer_delay_ms: Option<DurationMs>,
    /// Time before AuthenticationOk.
    pub accept_delay_ms: Option<DurationMs>,
    /// Number of slots.
    pub slots: Option<usize>,
    /// Connection limit.
    pub max_connections: Option<usize>,
}

/// A control connection.
pub struct ControlPort {
    server: Actor<EndpointServer>,
    socket: Socket,
}

impl ControlPort {
    /// Takes an accepted stream over.
    pub fn init(cx: CX![], stream: TcpStream, server: Actor<EndpointServer>) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        match Socket::new(cx, stream, ready) {
            Ok(socket) => Some(Self { server, socket }),
            Err(error) => {
                cx.fail(error);
                None
            }
        }
    }

    /// Sends an answer.
    pub fn answer(&mut self, cx: CX![], answer: Json) {
        if self.socket.send(format!("{answer}\n").as_bytes()).is_err() {
            cx.stop();
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() && self.socket.flush().is_err() {
            return cx.stop();
        }
        let open = self.socket.read().unwrap_or(false);
        while let Some(end) = self.socket.input.iter().position(|byte| *byte == b'\n') {
            let line = self.socket.input.split_to(end + 1);
            match serde_json::from_slice::<ControlRequest>(&line) {
                Ok(request) => call!([self.server], control(cx.this().clone(), request)),
                Err(error) => self.answer(cx, json!({"error": error.to_string()})),
            }
        }
        if !open {
            cx.stop();
        }
    }
}
