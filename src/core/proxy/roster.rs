//! The hosts of the fleet as their rows and the links to them show them.

use std::collections::{BTreeMap, BTreeSet};

use super::home::Candidate;
use crate::types::{DurationMs, HostId, MilliCores, RowVersion, Timestamp};

/// Time in which a link that is wanted is expected to open, a start of all hosts included; the row
/// may be that of a host that was removed for good.
const LINK_GRACE: DurationMs = DurationMs(3_000);
/// Time without a link after which a host's row is removed. A part of every account's rate is kept
/// for a listed host, which may go on serving behind a cut; regions lose each other for an hour.
const ABSENT_LIMIT: DurationMs = DurationMs(2 * 60 * 60 * 1_000);

/// A host that has a row.
#[derive(Debug)]
struct Listing {
    processor: MilliCores,
    /// Version of its row; a host that starts again writes a new one.
    version: RowVersion,
    /// Since when there is no link to it.
    absent_since: Timestamp,
    /// Since when a link to it is wanted.
    wanted_since: Option<Timestamp>,
    /// Whether its link ended and has not come back.
    lost: bool,
}

/// The other hosts.
#[derive(Debug, Default)]
pub struct Roster {
    hosts: BTreeMap<HostId, Listing>,
    open: BTreeSet<HostId>,
}

impl Roster {
    /// A host's row was read. A newer one is that of a new run of the host.
    pub fn list(
        &mut self,
        now: Timestamp,
        host: HostId,
        processor: MilliCores,
        version: RowVersion,
    ) {
        if self.hosts.get(&host).is_some_and(|known| known.version >= version) {
            return;
        }
        let (wanted_since, lost) = (None, false);
        let listing = Listing { processor, version, absent_since: now, wanted_since, lost };
        self.hosts.insert(host, listing);
    }

    /// A host's row was removed.
    pub fn unlist(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }

    /// All rows were read; hosts without one are gone.
    pub fn keep(&mut self, listed: &BTreeSet<HostId>) {
        self.hosts.retain(|host, _| listed.contains(host));
    }

    /// The link to a host is open.
    pub fn on_opened(&mut self, host: HostId) {
        if let Some(known) = self.hosts.get_mut(&host) {
            known.lost = false;
        }
        self.open.insert(host);
    }

    /// The link to a host is closed.
    pub fn on_closed(&mut self, now: Timestamp, host: &HostId) {
        self.open.remove(host);
        if let Some(known) = self.hosts.get_mut(host) {
            (known.lost, known.absent_since) = (true, now);
        }
    }

    /// Hosts to which the link is open.
    pub fn open(&self) -> impl Iterator<Item = &HostId> {
        self.open.iter()
    }

    /// All listed hosts.
    pub fn candidates(&self) -> Vec<Candidate> {
        let candidate = |(host, known): (&HostId, &Listing)| Candidate {
            host: host.clone(),
            processor: known.processor,
        };
        self.hosts.iter().map(candidate).collect()
    }

    /// Whether a host shares the work: its link is open, or is expected to open. The first question
    /// for a host makes its link wanted.
    pub fn is_present(&mut self, now: Timestamp, host: &HostId) -> bool {
        if self.open.contains(host) {
            return true;
        }
        let Some(known) = self.hosts.get_mut(host) else { return false };
        let since = *known.wanted_since.get_or_insert(now);
        !known.lost && now < since + LINK_GRACE
    }

    /// Hosts that have been away for so long that their rows are to be removed, with the versions
    /// of these. Only a host that keeps links to all can tell.
    pub fn gone(&self, now: Timestamp) -> Vec<(HostId, RowVersion)> {
        let gone = |(host, known): &(&HostId, &Listing)| {
            !self.open.contains(*host) && now >= known.absent_since + ABSENT_LIMIT
        };
        let found = self.hosts.iter().filter(gone);
        found.map(|(host, known)| (host.clone(), known.version)).collect()
    }
}
