//! Checks that every history must pass: no acknowledged write is lost, one primary per term, and no
//! read below its bound.

use std::collections::BTreeMap;

use medlarstile::types::Position;

use super::endpoint::Endpoint;
use super::host::{PendingAnswer, RequiredWrites};

pub const SESSIONS: usize = 6;

/// A write that was acknowledged, or shown to a reader, and so must never be lost.
#[derive(Debug, Clone, Copy)]
pub struct Ack {
    time: u64,
    position: Position,
    id: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Session {
    pub token: Position,
    pub own_acks: Vec<Ack>,
}

#[derive(Debug, Default)]
pub struct Checks {
    pub acks: Vec<Ack>,
    pub sessions: Vec<Session>,
    pub reads_served: u64,
    promoted: BTreeMap<u64, usize>,
    violations: Vec<String>,
    faults_ended: Option<u64>,
    gap_us: Option<u64>,
}

/// Result of one history.
#[derive(Debug, Clone)]
pub struct Report {
    pub violations: Vec<String>,
    pub writes: usize,
    pub reads: u64,
    pub promotions: usize,
    /// Microseconds from the end of the faults, or from the loss of the primary, to the first
    /// acknowledgement of a write submitted after it.
    pub gap_us: Option<u64>,
}

impl Checks {
    pub fn new() -> Self {
        Self { sessions: vec![Session::default(); SESSIONS], ..Self::default() }
    }

    pub fn faults_ended(&mut self, now: u64) {
        self.faults_ended = Some(now);
    }

    /// Number of acknowledgements made before `time`.
    pub fn acks_before(&self, time: u64) -> usize {
        self.acks.partition_point(|ack| ack.time < time)
    }

    pub fn on_durable(&mut self, endpoints: &[Endpoint], pending: PendingAnswer, now: u64) {
        let ack = Ack { time: now, position: pending.position, id: pending.id };
        if let Some((term, index)) = self.promoted.last_key_value() {
            if !endpoints[*index].contains(ack.position, ack.id) {
                let text = format!("{now}us: {ack:?} acknowledged, not in the log of term {term}");
                self.violations.push(text);
            }
        }
        self.acks.push(ack);
        let Some(session) = pending.session else { return };
        let session = &mut self.sessions[session];
        session.token = session.token.max(pending.position);
        session.own_acks.push(ack);
        if self.faults_ended.is_some_and(|ended| pending.submitted >= ended) {
            self.gap_us = self.gap_us.or(self.faults_ended.map(|ended| now - ended));
        }
    }

    pub fn on_promoted(&mut self, endpoints: &[Endpoint], index: usize, now: u64) {
        let endpoint = &endpoints[index];
        if let Some(other) = self.promoted.insert(endpoint.term, index) {
            let term = endpoint.term;
            self.violations.push(format!("{now}us: term {term} promoted e{other} and e{index}"));
        }
        let missing = self.acks.iter().find(|ack| !endpoint.contains(ack.position, ack.id));
        if let Some(ack) = missing {
            let term = endpoint.term;
            self.violations.push(format!("{now}us: {ack:?} lost by promotion e{index} to {term}"));
        }
    }

    pub fn on_read(
        &mut self,
        endpoint: &Endpoint,
        required: RequiredWrites,
        now: u64,
        host_and_endpoint: (usize, usize),
    ) {
        let (what, acks) = match required {
            RequiredWrites::Session(session, count) => {
                ("session", &self.sessions[session].own_acks[..count])
            }
            RequiredWrites::Acks(count) => ("time", &self.acks[..count]),
        };
        let missing = acks.iter().find(|ack| !endpoint.contains(ack.position, ack.id));
        if let Some(ack) = missing {
            let text = format!(
                "{now}us: read bounded by {what} at {host_and_endpoint:?} does not show {ack:?}"
            );
            self.violations.push(text);
        }
    }

    pub fn finish(&self, endpoints: &[Endpoint]) -> Report {
        let mut violations = self.violations.clone();
        let latest = self.promoted.last_key_value().map_or(0, |(_, index)| *index);
        for ack in &self.acks {
            if !endpoints[latest].contains(ack.position, ack.id) {
                violations.push(format!("end: {ack:?} is not in the log of e{latest}"));
            }
        }
        Report {
            violations,
            writes: self.sessions.iter().map(|session| session.own_acks.len()).sum(),
            reads: self.reads_served,
            promotions: self.promoted.len(),
            gap_us: self.gap_us,
        }
    }
}
