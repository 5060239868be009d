//! State of a group as one host sees it: endpoints, primary, and positions for bounded staleness.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use super::catalog::GroupConfig;
use super::domains::AwayShare;
use super::failover::Failover;
use super::log_gap::LogGap;
use super::slow_start::SlowStart;
use crate::core::queue::{ClassQueue, QueueBounds};
use crate::types::{
    ConnectionId, DurationMs, EndpointId, FailureDomain, GroupId, Position, RequestId, RowVersion,
    Term, Timestamp,
};

/// Time without an answer after which an endpoint gets no new reads if another one can serve them;
/// three times the slowest statement of a healthy endpoint.
pub const SUSPECT_AFTER: DurationMs = DurationMs(400);
/// Time for which an endpoint stays in use after its entry disappeared; entries that expired during
/// an outage of the store are back within two seconds of its end.
pub const MISSING_ENTRY_GRACE: DurationMs = DurationMs(2_500);
/// A sample that follows the last one within this time is dropped, which bounds their number.
const SAMPLE_SPACING: DurationMs = DurationMs(25);
/// Number of samples kept; with the spacing they reach back further than any route's maximum age.
const MAX_SAMPLES: usize = 256;
/// Time after which a host tries to have one more connection to an endpoint.
const ALLOWANCE_RAISE_INTERVAL: DurationMs = DurationMs(200);
/// Divisor of the lowest answer time by which it rises with each answer.
const BEST_RISE: u64 = 256;
/// Shortest delay before a failed connect is repeated.
pub const RECONNECT_MIN: DurationMs = DurationMs(60);
/// Longest delay before a failed connect is repeated.
pub const RECONNECT_MAX: DurationMs = DurationMs(500);

/// The row with which an endpoint registers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Address that it accepts connections on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Whether it is shutting down and gets no new work.
    pub leaving: bool,
    /// Whether it claims to be the primary.
    pub claims_primary: bool,
    /// Wall-clock time of its start in milliseconds, which distinguishes restarts under the same
    /// id.
    pub started_ms: u64,
    /// For how much longer it is cold, at the time of this report.
    pub cold_for_ms: DurationMs,
    /// Number of this report since its start, if it counts them.
    pub report: Option<u64>,
    /// Version of its row.
    pub version: RowVersion,
}

impl EndpointEntry {
    /// Whether the endpoint wrote this entry before the other one, as far as the two tell.
    pub fn is_before(&self, other: &EndpointEntry) -> bool {
        let both_count = self.report.is_some() && other.report.is_some();
        both_count && (self.started_ms, self.report) < (other.started_ms, other.report)
    }
}

/// Number of connections that a host tries to have at an endpoint. An endpoint counts connections of
/// hosts that have lost power for some seconds, so that after a mass restart it accepts few; hosts
/// that all try to open their full shares then refuse each other the rest.
#[derive(Debug)]
pub struct Allowance {
    allowed: u64,
    since: Timestamp,
}

impl Allowance {
    fn new(now: Timestamp) -> Self {
        Self { allowed: 1, since: now }
    }

    /// The number at the time `now`, at most `share`.
    pub fn at(&self, now: Timestamp, share: u64) -> u64 {
        let raised = now.ms_since(self.since).0 / ALLOWANCE_RAISE_INTERVAL.0;
        share.min(self.allowed + raised)
    }

    /// Called when the endpoint has refused a connection, with `open` connections of this host.
    /// `delay` differs between the hosts.
    pub fn on_refused(&mut self, now: Timestamp, open: u64, delay: DurationMs) {
        (self.allowed, self.since) = (open.max(1), now + delay);
    }
}

/// An endpoint and this host's connections to it.
#[derive(Debug)]
pub struct EndpointState {
    /// Its latest entry.
    pub entry: EndpointEntry,
    /// Since when its entry says that it is leaving.
    pub leaving_since: Option<Timestamp>,
    /// Since when its failure domain is evacuated.
    pub evacuated_since: Option<Timestamp>,
    /// Bound on the requests to it while it is cold.
    pub slow_start: SlowStart,
    /// Since when its entry is missing.
    pub missing_since: Option<Timestamp>,
    /// Row version of the first entry of its current claim to be the primary.
    pub claim_version: Option<RowVersion>,
    /// Connections to it, including those being opened.
    pub connections: BTreeSet<ConnectionId>,
    /// Number of connections that this host tries to have.
    pub allowance: Allowance,
    /// Earliest time of the next connect.
    pub connect_after: Timestamp,
    /// Delay to apply after the next failed connect.
    pub backoff: DurationMs,
    /// Since when requests to it wait without any answer; none if no request is pending.
    pub unanswered_since: Option<Timestamp>,
    /// Since when connections to it break or fail to open, without an answer in between.
    pub down_since: Option<Timestamp>,
    /// Number of connects that failed since `down_since`.
    pub failed_connects: u32,
    /// Highest log position that it is known to have applied.
    pub applied: Position,
    /// What it lacked of the log.
    pub gap: LogGap,
    /// Moving average of its answer times in microseconds.
    pub latency_us: u64,
    /// Lowest answer time in microseconds, which rises slowly in case the distance changes.
    pub best_us: u64,
    /// Number of statements of this host that it is running.
    pub running: u32,
    /// When this host last received anything from it.
    pub received_at: Timestamp,
    /// Whether it has sent an answer again.
    pub repeats_answers: bool,
}

impl EndpointState {
    fn new(now: Timestamp, entry: EndpointEntry) -> Self {
        let mut slow_start = SlowStart::default();
        slow_start.on_report(now, entry.cold_for_ms);
        Self {
            claim_version: entry.claims_primary.then_some(entry.version),
            leaving_since: entry.leaving.then_some(now),
            entry,
            evacuated_since: None,
            slow_start,
            missing_since: None,
            connections: BTreeSet::new(),
            allowance: Allowance::new(now),
            connect_after: now,
            backoff: RECONNECT_MIN,
            unanswered_since: None,
            down_since: None,
            failed_connects: 0,
            applied: Position::default(),
            gap: LogGap::default(),
            latency_us: 0,
            best_us: 0,
            running: 0,
            received_at: now,
            repeats_answers: false,
        }
    }

    /// Whether it gets no new work if another endpoint can do it: it is shutting down, or its failure
    /// domain is evacuated.
    pub fn is_leaving(&self) -> bool {
        self.entry.leaving || self.evacuated_since.is_some()
    }

    /// Whether its connections work and no request has been unanswered for too long.
    pub fn is_healthy(&self, now: Timestamp) -> bool {
        let silent = self.unanswered_since.is_some_and(|since| now >= since + SUSPECT_AFTER);
        self.down_since.is_none() && !silent
    }

    /// Called when anything was received from it.
    pub fn on_received(&mut self, now: Timestamp) {
        self.received_at = now;
        self.unanswered_since = None;
        self.down_since = None;
        self.failed_connects = 0;
        self.backoff = RECONNECT_MIN;
    }

    /// Called when a connection broke, or failed to open if `connecting`.
    pub fn on_connection_failure(&mut self, now: Timestamp, connecting: bool) {
        self.down_since.get_or_insert(now);
        if connecting {
            self.failed_connects += 1;
            self.slow_start.on_connect_failed(now);
            self.connect_after = now + self.backoff;
            self.backoff = DurationMs((self.backoff.0 * 2).min(RECONNECT_MAX.0));
        }
    }

    /// Adds the answer time of a statement to the moving average.
    pub fn on_latency(&mut self, spent_us: u64) {
        self.latency_us =
            if self.latency_us == 0 { spent_us } else { (self.latency_us * 7 + spent_us) / 8 };
        let risen_us = self.best_us + self.best_us / BEST_RISE;
        self.best_us = if self.best_us == 0 { spent_us } else { spent_us.min(risen_us) };
    }
}

/// A position of the primary's log; every commit acknowledged by the time `at` is at or below it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Send time of the statement whose answer proved that the endpoint was the primary.
    pub at: Timestamp,
    /// The position.
    pub position: Position,
}

/// Reason to replace the current primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrimaryFault {
    /// The primary does not answer.
    Silent,
    /// Connections to it fail.
    Down,
    /// The primary is shutting down.
    Leaving,
    /// No primary is known.
    Unknown,
}

/// State of one group.
pub struct GroupState {
    /// Its settings.
    pub config: GroupConfig,
    /// Endpoints by id.
    pub endpoints: BTreeMap<EndpointId, EndpointState>,
    /// The endpoint believed to be the primary.
    pub leader: Option<EndpointId>,
    /// Since when no primary is known.
    pub leaderless_since: Option<Timestamp>,
    /// Endpoints that reported not to be the primary, with the version of their entry at that time.
    pub denied: BTreeMap<EndpointId, RowVersion>,
    /// Highest term seen in a log position.
    pub term: Term,
    /// Samples of the primary's position, oldest first.
    samples: VecDeque<Sample>,
    /// Requests waiting for an endpoint.
    pub queue: ClassQueue<RequestId>,
    /// Requests taken out of the queue and waiting for a connection.
    pub parked: Vec<RequestId>,
    /// Replacement of a failed or leaving primary.
    pub failover: Failover,
    /// Share of the accounts whose reads leave the failure domain.
    pub away: AwayShare,
}

impl GroupState {
    /// Creates a group without endpoints.
    pub fn new(now: Timestamp, config: GroupConfig, failover: Failover) -> Self {
        Self {
            config,
            endpoints: BTreeMap::new(),
            leader: None,
            leaderless_since: Some(now),
            denied: BTreeMap::new(),
            term: Term(0),
            samples: VecDeque::new(),
            queue: ClassQueue::new(QueueBounds::default()),
            parked: Vec::new(),
            failover,
            away: AwayShare::default(),
        }
    }

    /// Adopts the entries of the group's endpoints. Returns the endpoints that have restarted or
    /// moved, to which existing connections are dead.
    pub fn set_entries(&mut self, now: Timestamp, entries: &[EndpointEntry]) -> Vec<EndpointId> {
        let mut restarted = Vec::new();
        for entry in entries {
            match self.endpoints.get_mut(&entry.endpoint) {
                None => {
                    let state = EndpointState::new(now, entry.clone());
                    self.endpoints.insert(entry.endpoint.clone(), state);
                }
                Some(state) => {
                    let moved = state.entry.address != entry.address;
                    if moved || state.entry.started_ms < entry.started_ms {
                        restarted.push(entry.endpoint.clone());
                        state.applied = Position::default();
                    }
                    if entry.claims_primary && !state.entry.claims_primary {
                        state.claim_version = Some(entry.version);
                    } else if !entry.claims_primary {
                        state.claim_version = None;
                    }
                    state.leaving_since =
                        state.leaving_since.or(Some(now)).filter(|_| entry.leaving);
                    if state.entry.version != entry.version {
                        state.slow_start.on_report(now, entry.cold_for_ms);
                    }
                    state.entry = entry.clone();
                    state.missing_since = None;
                }
            }
        }
        for (id, state) in &mut self.endpoints {
            if !entries.iter().any(|entry| entry.endpoint == *id) {
                state.missing_since.get_or_insert(now);
            }
        }
        self.choose_leader(now);
        restarted
    }

    /// Endpoints whose entry has been missing for longer than [`MISSING_ENTRY_GRACE`].
    pub fn expired_endpoints(&self, now: Timestamp) -> Vec<EndpointId> {
        let is_expired = |state: &EndpointState| {
            state.missing_since.is_some_and(|at| now >= at + MISSING_ENTRY_GRACE)
        };
        let expired = self.endpoints.iter().filter(|(_, state)| is_expired(state));
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Takes the endpoint with the newest claim that it has not itself denied since as the primary.
    pub fn choose_leader(&mut self, now: Timestamp) {
        let denied = &self.denied;
        let claims = self.endpoints.iter().filter_map(|(id, state)| {
            let claimed = state.claim_version?;
            let denied_since = denied.get(id).is_some_and(|version| *version >= claimed);
            (!denied_since && !self.failover.excludes(id)).then_some((claimed, id))
        });
        let newest = claims.max().map(|(_, id)| id.clone());
        let leader = self.leader.as_ref().filter(|id| self.endpoints.contains_key(*id)).cloned();
        let leader_claim = leader.as_ref().and_then(|id| self.endpoints.get(id)?.claim_version);
        let newest_claim = newest.as_ref().and_then(|id| self.endpoints.get(id)?.claim_version);
        let next = if leader.is_none() || newest_claim > leader_claim {
            newest.or(leader)
        } else {
            leader
        };
        self.set_leader(now, next);
    }

    /// Sets the endpoint believed to be the primary.
    pub fn set_leader(&mut self, now: Timestamp, leader: Option<EndpointId>) {
        if leader.is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
        self.leader = leader;
    }

    /// Replaces the leader if the group's row names another one.
    pub fn drop_excluded_leader(&mut self, now: Timestamp) {
        if self.leader.as_ref().is_some_and(|leader| self.failover.excludes(leader)) {
            self.set_leader(now, None);
            self.choose_leader(now);
        }
    }

    /// Called when an endpoint reported that it is not the primary.
    pub fn on_not_primary(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get(endpoint) {
            self.denied.insert(endpoint.clone(), state.entry.version);
        }
        if self.leader.as_ref() == Some(endpoint) {
            self.set_leader(now, None);
            self.choose_leader(now);
        }
    }

    /// Called when an endpoint proved that it is the primary of `term`.
    pub fn on_primary_proof(&mut self, now: Timestamp, endpoint: &EndpointId, term: Term) {
        if term < self.term || self.failover.excludes(endpoint) {
            return;
        }
        self.denied.remove(endpoint);
        if self.leader.as_ref() != Some(endpoint) {
            self.set_leader(now, Some(endpoint.clone()));
        }
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.claim_version.get_or_insert(state.entry.version);
        }
    }

    /// Records the log position of an endpoint, and a sample of it if the endpoint is known to have
    /// been the primary at the time `proven_since`.
    pub fn on_position(
        &mut self,
        endpoint: &EndpointId,
        position: Position,
        proven_since: Option<Timestamp>,
    ) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.applied = state.applied.max(position);
        }
        if position.term > self.term {
            self.term = position.term;
            self.samples.clear();
        }
        let Some(at) = proven_since.filter(|_| position.term == self.term) else { return };
        let too_close = self.samples.back().is_some_and(|last| at < last.at + SAMPLE_SPACING);
        if too_close {
            return;
        }
        self.samples.push_back(Sample { at, position });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The lowest sampled position that covers every commit acknowledged before `since`; none if
    /// there is no such sample in the current term.
    pub fn position_covering(&self, since: Timestamp) -> Option<Position> {
        self.samples.iter().find(|sample| sample.at >= since).map(|sample| sample.position)
    }

    /// Time of the latest sample.
    pub fn last_sample_at(&self) -> Option<Timestamp> {
        self.samples.back().map(|sample| sample.at)
    }

    /// Returns why the primary must be replaced, if it must. `silence` is the time without an
    /// answer and `down` the time of failing connections after which it counts as failed.
    pub fn primary_fault(
        &self,
        now: Timestamp,
        silence: DurationMs,
        down: DurationMs,
    ) -> Option<PrimaryFault> {
        let Some(state) = self.leader.as_ref().and_then(|id| self.endpoints.get(id)) else {
            let since = self.leaderless_since?;
            return (now >= since + silence).then_some(PrimaryFault::Unknown);
        };
        if state.is_leaving() && state.missing_since.is_none() {
            return Some(PrimaryFault::Leaving);
        }
        if state.unanswered_since.is_some_and(|since| now >= since + silence) {
            return Some(PrimaryFault::Silent);
        }
        let broken = state.down_since.is_some_and(|since| now >= since + down);
        (broken && state.failed_connects > 0).then_some(PrimaryFault::Down)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.parked.len()
    }

    /// Failure domain of an endpoint.
    pub fn domain_of(&self, endpoint: &EndpointId) -> Option<&FailureDomain> {
        self.endpoints.get(endpoint).map(|state| &state.entry.failure_domain)
    }
}
