//! Following the store's tables through other hosts.
//!
//! A host that only relays sessions needs the configuration and the list of hosts, but nothing that
//! a home has not read as well. While homes tell it that they have read the tables, it does not read
//! them itself: the store's calls then grow with the homes, not with the hosts. It asks a home for
//! what it lacks, and reads the tables itself as soon as no home has reported a recent read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::types::{DurationMs, HostId, Incarnation, MilliCores, RowVersion, Timestamp};

/// Shortest time for which a read waits for a change, which bounds the number of calls.
const MIN_WAIT: DurationMs = DurationMs(300);
/// Shortest time limit of an answer; a slow store takes a quarter of a second.
const MIN_ANSWER_LIMIT: DurationMs = DurationMs(500);
/// Time for which a report counts; reports arrive every half second.
const REPORT_LIFETIME: DurationMs = DurationMs(1_500);
/// Time after which an unanswered request is repeated.
const REQUEST_LIFETIME: DurationMs = DurationMs(800);

/// Times of the reads of the configuration.
///
/// A connection that has gone silent without a reset shows only when an answer is overdue. From that
/// moment to the use of a new version, a home takes one wait, one time limit and one more read, and
/// the hosts that follow it half a second more until its next report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowTimes {
    /// Time for which the store waits for a change at most.
    pub wait_ms: DurationMs,
    /// Time limit of the answer, in addition to the wait.
    pub answer_limit_ms: DurationMs,
}

impl FollowTimes {
    /// Times with which a version is in force on all hosts within `limit` after the loss of a
    /// connection: seven twelfths of it until the loss is noticed, the rest for the report and the
    /// new reads.
    pub fn new(limit: DurationMs) -> Self {
        Self {
            wait_ms: DurationMs(limit.0 / 3).max(MIN_WAIT),
            answer_limit_ms: DurationMs(limit.0 / 4).max(MIN_ANSWER_LIMIT),
        }
    }

    /// Age of a home's last read above which the home does not count as a reader: its connection may
    /// be silent, or it is cut off from the store.
    pub fn read_age_limit_ms(&self) -> DurationMs {
        DurationMs(self.wait_ms.0 + self.answer_limit_ms.0)
    }
}

/// What a host tells the hosts that follow it about its reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TablesRead {
    /// Highest version of a host's row that it has read.
    pub rows: RowVersion,
    /// Time since it has last read the configuration.
    pub age_ms: DurationMs,
}

/// A host's entry in the list of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRow {
    /// Address on which the host accepts connections of peers.
    pub address: SocketAddr,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Processor capacity of the host; 0 if it is not known.
    pub processor: MilliCores,
}

/// Hosts that read the tables, as a host that follows them sees them.
#[derive(Debug)]
pub struct Readers {
    times: FollowTimes,
    reported_at: BTreeMap<HostId, Timestamp>,
    /// Latest time at which some reader had read the configuration.
    read_at: Option<Timestamp>,
    /// Hosts in this host's failure domain, from which large answers cost least.
    near: BTreeSet<HostId>,
    /// Version above which rows were last requested, and when.
    requested: Option<(RowVersion, Timestamp)>,
}

impl Readers {
    /// Creates an empty list; the hosts read the configuration with `times`.
    pub fn new(times: FollowTimes) -> Self {
        Self {
            times,
            reported_at: BTreeMap::new(),
            read_at: None,
            near: BTreeSet::new(),
            requested: None,
        }
    }

    /// Replaces the times with which the hosts read the configuration.
    pub fn set_times(&mut self, times: FollowTimes) {
        self.times = times;
    }

    /// Processes a report. Returns the version above which rows are to be requested from the host,
    /// if it has read rows above `known`.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        host: HostId,
        read: TablesRead,
        known: RowVersion,
    ) -> Option<RowVersion> {
        if read.age_ms > self.times.read_age_limit_ms() {
            self.reported_at.remove(&host);
            return None;
        }
        self.reported_at.insert(host, now);
        let read_at = Timestamp(now.0.saturating_sub(read.age_ms.as_us()));
        self.read_at = self.read_at.max(Some(read_at));
        let is_requested =
            self.requested.is_some_and(|(after, at)| after == known && now < at + REQUEST_LIFETIME);
        if read.rows <= known || is_requested {
            return None;
        }
        self.requested = Some((known, now));
        Some(known)
    }

    /// Called when the link to a host has opened. `is_near` tells whether it is in the same failure
    /// domain.
    pub fn on_opened(&mut self, host: &HostId, is_near: bool) {
        if is_near {
            self.near.insert(host.clone());
        }
    }

    /// Whether to ask this host for the configuration: it is near, or no reader is.
    pub fn is_preferred(&self, now: Timestamp, host: &HostId) -> bool {
        let is_near_reader = |(host, at): (&HostId, &Timestamp)| {
            self.near.contains(host) && now < *at + REPORT_LIFETIME
        };
        self.near.contains(host) || !self.reported_at.iter().any(is_near_reader)
    }

    /// Called when the link to a host has closed.
    pub fn on_closed(&mut self, host: &HostId) {
        self.reported_at.remove(host);
        self.near.remove(host);
    }

    /// Latest time at which some reader is known to have read the configuration.
    pub fn read_at(&self) -> Option<Timestamp> {
        self.read_at
    }

    /// Whether some host reads the tables for this one.
    pub fn is_any_reading(&self, now: Timestamp) -> bool {
        self.reported_at.values().any(|at| now < *at + REPORT_LIFETIME)
    }
}
