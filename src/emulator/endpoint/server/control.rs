//! Requests of the control port.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value as Json};
use stakker::{actor, call, ret_some_to, Actor, StopCause, CX};
use stakker_mio::mio::net::TcpStream;

use super::{timestamp, EndpointServer};
use crate::emulator::endpoint::control_port::{ControlPort, ControlRequest, SettingsChange};
use crate::emulator::endpoint::log::Entry;
use crate::emulator::endpoint::member::{MemberError, MemberSpec};
use crate::emulator::endpoint::store::Change;
use crate::emulator::endpoint::value::Value;

impl EndpointServer {
    pub(super) fn accept_control(&mut self, cx: CX![], stream: TcpStream, _peer: SocketAddr) {
        let id = self.take_id();
        let ended = ret_some_to!([cx], |this, _cx, _cause: StopCause| {
            this.controls.remove(&id);
        });
        let server = Self::this(cx);
        let actor = actor!(cx, ControlPort::init(stream, server), ended);
        self.controls.insert(id, actor);
    }

    /// Carries a request of the control port out and answers it.
    pub fn control(&mut self, cx: CX![], port: Actor<ControlPort>, request: ControlRequest) {
        let answer = self.handle(cx, request).unwrap_or_else(|error| json!({"error": error}));
        call!([port], answer(answer));
    }

    fn handle(&mut self, cx: CX![], request: ControlRequest) -> Result<Json, String> {
        let done = json!({"ok": true});
        match request {
            ControlRequest::Members { members, primary } => {
                let parsed: Result<Vec<MemberSpec>, MemberError> =
                    members.iter().map(|member| member.parse()).collect();
                self.set_members(cx, parsed.map_err(|error| error.to_string())?, &primary);
            }
            ControlRequest::Status => {
                let role = format!("{:?}", self.database.member.role()).to_ascii_lowercase();
                return Ok(json!({"status": *self.report.text, "role": role}));
            }
            ControlRequest::Counts => return Ok(self.count()),
            ControlRequest::Log => {
                let entries = self.database.member.log().entries().iter().map(entry_json);
                return Ok(json!({"entries": entries.collect::<Vec<_>>()}));
            }
            ControlRequest::Set(change) => self.change_settings(cx, &change),
            ControlRequest::Freeze => self.set_frozen(cx, true),
            ControlRequest::Thaw => self.set_frozen(cx, false),
            ControlRequest::CutReplication { members } => {
                self.faults.cut_members = members.into_iter().collect();
                self.apply_cuts();
            }
            ControlRequest::Partition { peers } => {
                self.faults.partitioned = peers.into_iter().collect();
                self.apply_cuts();
                self.freeze_clients();
            }
            ControlRequest::NextAnswer { fault } => self.faults.next_answer = Some(fault),
            ControlRequest::Crash => {
                let actions = self.database.member.crash();
                self.carry_out(cx, &actions);
            }
            ControlRequest::Start => {
                let actions = self.database.member.restart();
                self.carry_out(cx, &actions);
            }
        }
        self.refresh(cx);
        Ok(done)
    }

    fn count(&self) -> Json {
        let open = self.clients.values().filter(|client| client.application.is_some()).count();
        let mut counts = json!(self.counts);
        counts["connections_open"] = json!(open);
        counts["slots_running"] = json!(self.slots.running());
        counts["slots_waiting"] = json!(self.slots.waiting());
        counts["most_slots_running"] = json!(self.slots.most_running());
        counts
    }

    fn change_settings(&mut self, cx: CX![], change: &SettingsChange) {
        if let Some(lag) = change.lag_ms {
            self.lag = lag;
            for link in self.links.values() {
                call!([link.actor], set_lag(lag.to_std()));
            }
        }
        if let Some(us) = change.service_time_us {
            self.service = Duration::from_micros(us);
        }
        if let Some(delay) = change.answer_delay_ms {
            self.faults.answer_delay = delay.to_std();
        }
        self.accept_delay = change.accept_delay_ms.unwrap_or(self.accept_delay);
        self.max_connections = change.max_connections.unwrap_or(self.max_connections);
        if let Some(slots) = change.slots {
            self.slots.set_limit(timestamp(cx), slots);
            self.advance(cx);
        }
    }

    fn set_frozen(&mut self, cx: CX![], frozen: bool) {
        self.faults.frozen = frozen;
        for listener in &self.data_listeners {
            call!([listener], pause(frozen));
        }
        for link in self.links.values() {
            call!([link.actor], set_frozen(frozen));
        }
        self.freeze_clients();
        self.advance(cx);
    }

    fn freeze_clients(&self) {
        for client in self.clients.values() {
            let frozen = self.faults.cuts_client(client.peer, client.application.as_deref());
            call!([client.actor], set_frozen(frozen));
        }
    }
}

fn entry_json(entry: &Entry) -> Json {
    let changes: Vec<Json> = entry.changes.iter().map(change_json).collect();
    json!({"position": entry.position.to_string(), "changes": changes})
}

fn change_json(change: &Change) -> Json {
    match change {
        Change::CreateTable(def) => json!({"create_table": def.name}),
        Change::DropTable(name) => json!({"drop_table": name}),
        Change::Put { table, row, .. } => {
            json!({"put": table, "row": row.iter().map(value_json).collect::<Vec<_>>()})
        }
        Change::Remove { table, key } => json!({"remove": table, "key": key}),
    }
}

fn value_json(value: &Value) -> Json {
    match value {
        Value::Null => Json::Null,
        Value::Int(number) => json!(number),
        Value::Float(number) => json!(number),
        Value::Text(text) => json!(text),
        Value::Bool(value) => json!(value),
    }
}
