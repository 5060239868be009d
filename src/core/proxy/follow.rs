//! Following the store's tables through other hosts.
//!
//! A host that only relays sessions needs the configuration and the list of hosts, but nothing that
//! a home has not read as well. While homes tell it that they have read the tables, it does not read
//! them itself: the store's calls then grow with the homes, not with the hosts. It asks a home for
//! what it lacks, and reads the tables itself as soon as no home has reported a recent read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::types::{DurationMs, HostId, Incarnation, MilliCores, RowVersion, Timestamp};

/// Age of a home's last read above which the home does not count as a reader: it may be cut off from
/// the store. A home's reads take up to 3 s if nothing changes.
const READ_AGE_LIMIT: DurationMs = DurationMs(3_600);
/// Time for which a report counts; reports arrive every half second.
const REPORT_LIFETIME: DurationMs = DurationMs(1_500);
/// Time after which an unanswered request is repeated.
const REQUEST_LIFETIME: DurationMs = DurationMs(800);

/// What a host tells the hosts that follow it about its reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TablesRead {
    /// Highest version of a host's row that it has read.
    pub rows: RowVersion,
    /// Time since it has last read the tables.
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
#[derive(Debug, Default)]
pub struct Readers {
    reported_at: BTreeMap<HostId, Timestamp>,
    /// Latest time at which some reader had read the tables.
    read_at: Option<Timestamp>,
    /// Hosts in this host's failure domain, from which large answers cost least.
    near: BTreeSet<HostId>,
    /// Version above which rows were last requested, and when.
    requested: Option<(RowVersion, Timestamp)>,
}

impl Readers {
    /// Processes a report. Returns the version above which rows are to be requested from the host,
    /// if it has read rows above `known`.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        host: HostId,
        read: TablesRead,
        known: RowVersion,
    ) -> Option<RowVersion> {
        if read.age_ms > READ_AGE_LIMIT {
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

    /// Latest time at which some reader is known to have read the tables.
    pub fn read_at(&self) -> Option<Timestamp> {
        self.read_at
    }

    /// Whether some host reads the tables for this one.
    pub fn is_any_reading(&self, now: Timestamp) -> bool {
        self.reported_at.values().any(|at| now < *at + REPORT_LIFETIME)
    }
}
