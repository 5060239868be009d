//! The other hosts of the fleet, from their rows in the store and the links to them.

use std::collections::{BTreeMap, BTreeSet};

use super::follow::HostRow;
use super::home::HomeCandidate;
use crate::types::{DurationMs, HostId, Incarnation, MilliCores, RowVersion, Timestamp};

/// Time in which a wanted link is expected to open, even when all hosts start at once. Without a
/// limit a host that was removed for good would count as present for as long as its row exists.
const LINK_OPEN_LIMIT: DurationMs = DurationMs(3_000);
/// Time for which a host that did not accept a session does not count as present; longer than it
/// takes until its link is closed.
const UNREACHABLE_TIME: DurationMs = DurationMs(2_500);
/// Time without a link after which a host's row is removed. A share of every account's rate stays
/// reserved for a listed host, since it may go on serving in a network partition; partitions
/// between regions last up to an hour.
const ABSENT_LIMIT: DurationMs = DurationMs(2 * 60 * 60 * 1_000);

/// State of a host that has a row in the store.
#[derive(Debug)]
struct ListedHost {
    processor: MilliCores,
    /// Run of its process.
    incarnation: Incarnation,
    /// Version of its row.
    version: RowVersion,
    /// Since when there is no link to it.
    absent_since: Timestamp,
    /// Since when a link to it is wanted.
    wanted_since: Option<Timestamp>,
    /// Whether its link closed and has not opened again.
    link_lost: bool,
    /// Until when it does not count as present, because it did not accept a session.
    unreachable_until: Timestamp,
}

/// The other hosts and the open links to them.
#[derive(Debug, Default)]
pub struct Roster {
    hosts: BTreeMap<HostId, ListedHost>,
    linked_hosts: BTreeSet<HostId>,
}

impl Roster {
    /// Adds a host whose row was read. A row of another run means that the host has restarted; a
    /// newer one of the same run was written again, or read again after a restore of the store.
    pub fn insert(&mut self, now: Timestamp, host: HostId, version: RowVersion, row: &HostRow) {
        if let Some(known) = self.hosts.get_mut(&host) {
            if known.version >= version {
                return;
            }
            if known.incarnation == row.incarnation {
                (known.version, known.processor) = (version, row.processor);
                return;
            }
        }
        let listed_host = ListedHost {
            processor: row.processor,
            incarnation: row.incarnation,
            version,
            absent_since: now,
            wanted_since: None,
            link_lost: false,
            unreachable_until: Timestamp(0),
        };
        self.hosts.insert(host, listed_host);
    }

    /// Removes a host whose row was deleted.
    pub fn remove(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }

    /// Removes all hosts that are not in `listed`, after a read of all rows.
    pub fn retain(&mut self, listed: &BTreeSet<HostId>) {
        self.hosts.retain(|host, _| listed.contains(host));
    }

    /// Called when the link to a host has opened.
    pub fn on_opened(&mut self, host: HostId) {
        if let Some(known) = self.hosts.get_mut(&host) {
            known.link_lost = false;
            known.unreachable_until = Timestamp(0);
        }
        self.linked_hosts.insert(host);
    }

    /// Called when the link to a host has closed.
    pub fn on_closed(&mut self, now: Timestamp, host: &HostId) {
        self.linked_hosts.remove(host);
        if let Some(known) = self.hosts.get_mut(host) {
            (known.link_lost, known.absent_since) = (true, now);
        }
    }

    /// Called when a host did not accept a session. Its link shows only later that it is gone.
    pub fn on_unreachable(&mut self, now: Timestamp, host: &HostId) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.unreachable_until = now + UNREACHABLE_TIME;
        }
    }

    /// Hosts with an open link.
    pub fn linked_hosts(&self) -> impl Iterator<Item = &HostId> {
        self.linked_hosts.iter()
    }

    /// All hosts that have a row.
    pub fn candidates(&self) -> Vec<HomeCandidate> {
        let candidate = |(host, known): (&HostId, &ListedHost)| HomeCandidate {
            host: host.clone(),
            processor: known.processor,
        };
        self.hosts.iter().map(candidate).collect()
    }

    /// Whether a host counts as present: its link is open, or is expected to open soon. The first
    /// call for a host marks its link as wanted.
    pub fn is_present(&mut self, now: Timestamp, host: &HostId) -> bool {
        let Some(known) = self.hosts.get_mut(host) else { return false };
        if now < known.unreachable_until {
            return false;
        }
        if self.linked_hosts.contains(host) {
            return true;
        }
        let since = *known.wanted_since.get_or_insert(now);
        !known.link_lost && now < since + LINK_OPEN_LIMIT
    }

    /// Hosts that have been without a link for so long that their rows are to be removed, with the
    /// versions of the rows. Only meaningful on a host that keeps links to all others.
    pub fn expired_hosts(&self, now: Timestamp) -> Vec<(HostId, RowVersion)> {
        let is_expired = |(host, known): &(&HostId, &ListedHost)| {
            !self.linked_hosts.contains(*host) && now >= known.absent_since + ABSENT_LIMIT
        };
        let expired = self.hosts.iter().filter(is_expired);
        expired.map(|(host, known)| (host.clone(), known.version)).collect()
    }
}
