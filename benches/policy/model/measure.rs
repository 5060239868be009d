//! What a run measures.

use std::collections::BTreeMap;

use medlarstile::error::ErrorKind;
use medlarstile::types::RequestId;

use super::tables::{Deployment, ACCOUNTS, GROUPS};

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Arrived {
    pub host: usize,
    pub account: usize,
    pub group: usize,
    pub at: u64,
    pub sent: Option<u64>,
    /// One bucket with the account's whole rate and burst would have admitted it.
    pub within: bool,
    pub counted: bool,
    /// It was sent in a session that was opened with the first key.
    pub first_key: bool,
}

/// A token bucket for the whole fleet, as the limit is stated.
#[derive(Debug, Clone, Copy)]
struct Ideal {
    tokens: f64,
    at: u64,
}

pub struct Measures {
    deployment: Deployment,
    buckets: Vec<Ideal>,
    pub open: BTreeMap<RequestId, Arrived>,
    latencies: Vec<u64>,
    offered: [u64; ACCOUNTS],
    served: [u64; ACCOUNTS],
    within: u64,
    refused_within: u64,
    pub cut_within: u64,
    pub cut_refused: u64,
    pub refusals: BTreeMap<String, u64>,
    pub by_replica: u64,
    pub lawful: u64,
    /// Hosts whose refusals count as those of a failure domain that is cut off.
    pub cut_hosts: Vec<usize>,
    /// Account that sends more than its rate.
    pub offender: Option<usize>,
    pub lost_at: Option<u64>,
    pub lost_group: Option<usize>,
    acknowledged: [Option<u64>; GROUPS],
    pub changed_at: Option<u64>,
    /// The change withdrew the first key.
    pub withdrawn: bool,
    last_old: Option<u64>,
    pub in_force: Option<u64>,
    pub interrupted: u64,
}

/// The figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    pub requests: u64,
    /// Reads served by replicas, in percent of those that a replica could have served.
    pub replica_percent: f64,
    pub gap_ms: Option<f64>,
    /// Served rate of the worst-served account, in percent of its max-min fair share.
    pub worst_percent: f64,
    /// Refused within the account's rate, per 10,000.
    pub refused: f64,
    /// Refused within the account's rate at hosts that are cut off, per 10,000.
    pub cut_refused: Option<f64>,
    pub median_ms: f64,
    pub p99_ms: f64,
    pub in_force_ms: Option<f64>,
    pub interrupted: u64,
    /// Requests that have no answer long after their deadline.
    pub unanswered: u64,
    pub kinds: BTreeMap<String, u64>,
}

impl Measures {
    pub fn new(deployment: Deployment) -> Self {
        let full = |account| Ideal { tokens: deployment.rate(account) as f64 / 2.0, at: 0 };
        Self {
            deployment,
            buckets: (0..ACCOUNTS).map(full).collect(),
            open: BTreeMap::new(),
            latencies: Vec::new(),
            offered: [0; ACCOUNTS],
            served: [0; ACCOUNTS],
            within: 0,
            refused_within: 0,
            cut_within: 0,
            cut_refused: 0,
            refusals: BTreeMap::new(),
            by_replica: 0,
            lawful: 0,
            cut_hosts: Vec::new(),
            offender: None,
            lost_at: None,
            lost_group: None,
            acknowledged: [None; GROUPS],
            changed_at: None,
            withdrawn: false,
            last_old: None,
            in_force: None,
            interrupted: 0,
        }
    }

    pub fn arrive(&mut self, id: RequestId, mut request: Arrived) {
        let rate = self.deployment.rate(request.account) as f64;
        let bucket = &mut self.buckets[request.account];
        let gained = (request.at - bucket.at) as f64 * rate / 1e6;
        *bucket = Ideal { tokens: (bucket.tokens + gained).min(rate / 2.0), at: request.at };
        request.within = bucket.tokens >= 1.0;
        if request.within {
            bucket.tokens -= 1.0;
        }
        if request.counted && request.within {
            if self.cut_hosts.contains(&request.host) {
                self.cut_within += 1;
            } else {
                self.within += 1;
                self.offered[request.account] += 1;
            }
        }
        self.open.insert(id, request);
    }

    /// A request was sent to an endpoint. `replica_could` says whether a replica could serve it,
    /// `None` for a write.
    pub fn sent(&mut self, now: u64, id: RequestId, on_replica: bool, replica_could: Option<bool>) {
        let Some(request) = self.open.get_mut(&id) else { return };
        request.sent = Some(now);
        if let (true, Some(could)) = (request.counted, replica_could) {
            self.by_replica += u64::from(on_replica);
            self.lawful += u64::from(on_replica || could);
        }
    }

    pub fn served(&mut self, now: u64, id: RequestId, wrote: bool) {
        let Some(request) = self.open.remove(&id) else { return };
        let after = |at: Option<u64>| at.is_some_and(|at| request.sent.is_some_and(|s| s > at));
        if wrote && after(self.lost_at) {
            self.acknowledged[request.group].get_or_insert(now);
        }
        let later = self.changed_at.is_some_and(|at| request.at > at);
        if self.withdrawn && later && request.first_key {
            self.last_old = Some(request.at);
        }
        if request.counted && !self.cut_hosts.contains(&request.host) {
            self.served[request.account] += 1;
            // 1 ms to the caller in each direction.
            self.latencies.push(now - request.at + 2_000);
        }
    }

    pub fn refused(&mut self, id: RequestId, kind: ErrorKind) {
        let Some(request) = self.open.remove(&id) else { return };
        if matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::TransactionLost) {
            self.interrupted += 1;
        }
        if !request.counted {
            return;
        }
        let cut = self.cut_hosts.contains(&request.host);
        let within = if request.within { "" } else { " over rate" };
        let place = if cut { " cut" } else { "" };
        *self.refusals.entry(format!("{kind:?}{within}{place}")).or_default() += 1;
        // A withdrawn key is refused by right.
        let lawful = kind == ErrorKind::KeyWithdrawn && self.changed_at.is_some();
        // An unknown outcome is counted apart. An account that sends more than its rate may be
        // refused any of its requests; its served rate shows whether it gets its rate.
        let counts = kind != ErrorKind::OutcomeUnknown && self.offender != Some(request.account);
        if request.within && !lawful && counts {
            *(if cut { &mut self.cut_refused } else { &mut self.refused_within }) += 1;
        }
    }

    pub fn report(mut self) -> Report {
        self.latencies.sort_unstable();
        let at = |percent: usize| {
            let place = self.latencies.len().saturating_sub(1) * percent / 100;
            self.latencies.get(place).copied().unwrap_or_default() as f64 / 1e3
        };
        let share = |part: u64, of: u64, scale: f64| part as f64 * scale / of.max(1) as f64;
        let ratio = |account: usize| share(self.served[account], self.offered[account], 100.0);
        let gap = self.lost_at.map(|lost| {
            let groups = (0..GROUPS).filter(|g| self.lost_group.is_none_or(|lost| lost == *g));
            let first = |group: usize| self.acknowledged[group].map(|at| (at - lost) as f64 / 1e3);
            groups.map(|g| first(g).unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
        });
        let key = self.changed_at.zip(self.last_old).map(|(at, last)| (last - at) as f64 / 1e3);
        let unanswered = self.open.values().filter(|request| request.counted).count() as u64;
        Report {
            requests: self.within + self.cut_within,
            replica_percent: share(self.by_replica, self.lawful, 100.0),
            gap_ms: gap,
            worst_percent: (0..ACCOUNTS).map(ratio).fold(f64::INFINITY, f64::min).min(100.0),
            refused: share(self.refused_within, self.within, 1e4),
            cut_refused: (!self.cut_hosts.is_empty())
                .then(|| share(self.cut_refused, self.cut_within, 1e4)),
            median_ms: at(50),
            p99_ms: at(99),
            in_force_ms: key.or(self.in_force.map(|at| at as f64 / 1e3)),
            interrupted: self.interrupted,
            unanswered,
            kinds: self.refusals,
        }
    }
}
