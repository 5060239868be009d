//! Lease of the lead: until when this host may use the primaries of its groups.
//!
//! A platform that does not check fencing tokens does not stop an old primary at a promotion: it
//! serves every host that reaches it and not the new one. A host therefore uses a primary only for
//! [`LEASE`] after a moment of which it knows that the store held no claim that it has not read,
//! and a failover waits for [`LEASE_WAIT`] after its claim unless every other host has confirmed
//! the claim. Such a moment is known from an answer of the store, from a host that had one, or,
//! while the store does not serve them, from most of the listed hosts. A failover needs most of them
//! as well, so that the two groups have a host in common, unless two hosts or more are listed while
//! most of the others cannot read the store.

use std::collections::{BTreeMap, BTreeSet};

use super::failover::Claim;
use crate::types::{DurationMs, GroupId, HostId, RowVersion, Timestamp};

/// Time for which a primary may be used after the last moment without an unread claim.
pub const LEASE: DurationMs = DurationMs(1_200);
/// Time after which a failover takes the leases of the others as expired; longer than [`LEASE`],
/// because clocks differ in rate.
pub const LEASE_WAIT: DurationMs = DurationMs(1_320);
/// Time for which an answer that was under way when a claim became known still counts.
pub const ANSWER_GRACE: DurationMs = DurationMs(100);
/// Time that a failover waits after the last confirmation, for such answers.
pub const CONFIRMATION_WAIT: DurationMs = DurationMs(110);
/// Time after the last answer of the store, or of a host that had one, for which the statements of
/// the other hosts count. The store's outages last seconds.
pub const STATEMENT_LIMIT: DurationMs = DurationMs(12_000);
/// Age of a host's last statement up to which it counts as reachable; three times the interval of
/// the statements.
const REACHABLE_LIMIT: DurationMs = DurationMs(1_500);
/// Inverse of the highest difference in rate between the store's clock and this host's.
const CLOCK_RATE_DIVISOR: u64 = 1_000;

/// How a host knows that an endpoint leads its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadProof {
    /// The endpoint accepts a read-write transaction. Sufficient where the platform checks fencing
    /// tokens and takes the lead from the old primary when it promotes another endpoint.
    Transaction,
    /// The same, while this host holds a lease.
    Lease,
}

/// What a host knows about the claims in the store, as it tells the other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// When the message was sent, on the sender's clock.
    pub sent_at: Timestamp,
    /// The recipient's last message to the sender.
    pub echo: Option<Echo>,
    /// Highest version of a group's row that the sender has seen.
    pub newest: RowVersion,
    /// Version up to which the sender has read all groups' rows.
    pub complete: RowVersion,
    /// Time in microseconds since the sender knew that the store held no newer group's row.
    pub age_us: u64,
}

/// A message that was received earlier, which relates the clocks of two hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Echo {
    /// When it was sent, on the clock of its sender.
    pub sent_at: Timestamp,
    /// Time in microseconds from its receipt to the message that contains the echo.
    pub held_us: u64,
}

/// Group rows that a host passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRows {
    /// All rows above this version are contained.
    pub after: RowVersion,
    /// Version up to which the sender has read all rows.
    pub complete: RowVersion,
    /// The rows.
    pub rows: Vec<(GroupId, RowVersion, Claim)>,
}

/// An answer of the store that lists all changes of the groups' rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRead {
    /// When the call was sent.
    pub sent_at: Timestamp,
    /// When its answer arrived.
    pub received_at: Timestamp,
    /// Time on the store's steady clock when it answered, in milliseconds.
    pub store_ms: Option<u64>,
}

/// What is known of another host.
#[derive(Debug, Default)]
struct Peer {
    /// Highest version of a group's row that it had seen.
    newest: RowVersion,
    /// Moment on this host's clock at which it had seen no newer one.
    stated_at: Option<Timestamp>,
    /// Send time of its last message on its clock, and the time of receipt.
    last_message: Option<(Timestamp, Timestamp)>,
}

/// Relation between the store's clock and this host's.
#[derive(Debug, Clone, Copy)]
struct StoreClock {
    /// Call that related the clocks most closely: send time, and the store's time in microseconds.
    sent_at: Timestamp,
    store_us: u64,
}

impl StoreClock {
    /// Earliest time on this host's clock at which the store's clock showed `store_us`.
    fn earliest(self, store_us: u64) -> Option<Timestamp> {
        let elapsed_us = store_us.checked_sub(self.store_us)?;
        Some(Timestamp(self.sent_at.0 + elapsed_us - elapsed_us / CLOCK_RATE_DIVISOR))
    }
}

/// Evidence of one host about the claims in the store.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Highest version of a group's row seen in any way.
    newest: RowVersion,
    /// Highest version of a group's row that the store has listed. Rows that became known in other
    /// ways may be newer than others that have not.
    listed: RowVersion,
    /// Version up to which all groups' rows have been read.
    complete: RowVersion,
    /// Last moment at which the store held no row above `complete`.
    complete_at: Option<Timestamp>,
    /// Whether this process has read the rows from the store. Before that its statements would deny
    /// claims that it confirmed before a restart.
    has_read_store: bool,
    /// Whether this host's own row was read, without which a failover does not ask it.
    is_listed: bool,
    store_clock: Option<StoreClock>,
    others: BTreeSet<HostId>,
    peers: BTreeMap<HostId, Peer>,
}

impl Evidence {
    /// Sets the other hosts that have a row in the store.
    pub fn set_hosts(&mut self, others: BTreeSet<HostId>) {
        self.peers.retain(|host, _| others.contains(host));
        self.others = others;
    }

    /// The other hosts that have a row in the store.
    pub fn others(&self) -> &BTreeSet<HostId> {
        &self.others
    }

    /// Called when this host's own row was read.
    pub fn on_listed(&mut self) {
        self.is_listed = true;
    }

    /// Called when a group's row has become known in any way.
    pub fn on_row(&mut self, version: RowVersion) {
        self.newest = self.newest.max(version);
    }

    /// Called when a read of the store has listed a group's row.
    pub fn on_listed_row(&mut self, version: RowVersion) {
        self.listed = self.listed.max(version);
    }

    /// Called after the rows of an answer of the store have been processed.
    pub fn on_store_read(&mut self, read: StoreRead) {
        let mut as_of = read.sent_at;
        if let Some(store_ms) = read.store_ms {
            let store_us = store_ms * 1_000;
            let earliest = self.store_clock.and_then(|clock| clock.earliest(store_us));
            // A later time than that of the answer shows that the store's clock has jumped.
            match earliest.filter(|earliest| *earliest <= read.received_at) {
                Some(earliest) if earliest > read.sent_at => as_of = earliest,
                // The store rounds its time down by up to a millisecond.
                _ => {
                    let (sent_at, store_us) = (read.sent_at, store_us + 1_000);
                    self.store_clock = Some(StoreClock { sent_at, store_us });
                }
            }
        }
        self.has_read_store = true;
        self.complete = self.complete.max(self.listed);
        self.complete_at = self.complete_at.max(Some(as_of));
    }

    /// Processes a message of another host. Returns the version above which this host asks it for
    /// rows, if the other host has read rows that this one has not.
    pub fn on_knowledge(
        &mut self,
        now: Timestamp,
        host: &HostId,
        knowledge: Knowledge,
    ) -> Option<RowVersion> {
        if !self.others.contains(host) {
            return None;
        }
        let peer = self.peers.entry(host.clone()).or_default();
        if peer.last_message.is_some_and(|(sent_at, _)| sent_at > knowledge.sent_at) {
            return None;
        }
        peer.last_message = Some((knowledge.sent_at, now));
        peer.newest = knowledge.newest;
        let stated_at = knowledge.echo.map(|echo| Timestamp(echo.sent_at.0 + echo.held_us));
        // A statement about the future follows from a clock that has jumped.
        peer.stated_at = stated_at.filter(|at| *at <= now);
        if knowledge.complete > self.complete {
            return Some(self.complete);
        }
        if let Some(stated_at) = peer.stated_at {
            let as_of = Timestamp(stated_at.0.saturating_sub(knowledge.age_us));
            self.complete_at = self.complete_at.max(Some(as_of));
        }
        None
    }

    /// Called when a link to a host opens; its clock may have started anew.
    pub fn on_link_opened(&mut self, host: &HostId) {
        self.peers.remove(host);
    }

    /// Called after rows that another host passed on have been processed.
    pub fn on_claim_rows(&mut self, after: RowVersion, complete: RowVersion) {
        if after <= self.complete {
            self.complete = self.complete.max(complete);
        }
    }

    /// What this host tells another host, if it can vouch for anything.
    pub fn knowledge(&self, now: Timestamp, host: &HostId) -> Option<Knowledge> {
        let complete_at = self.complete_at.filter(|_| self.has_read_store)?;
        let last_message = self.peers.get(host).and_then(|peer| peer.last_message);
        let echo = last_message.map(|(sent_at, received_at)| Echo {
            sent_at,
            held_us: now.0.saturating_sub(received_at.0),
        });
        Some(Knowledge {
            sent_at: now,
            echo,
            newest: self.newest,
            complete: self.complete,
            age_us: now.0.saturating_sub(complete_at.0),
        })
    }

    /// Version up to which all groups' rows have been read.
    pub fn complete(&self) -> RowVersion {
        self.complete
    }

    /// Last moment at which the store held no row above [`Evidence::complete`].
    pub fn complete_at(&self) -> Option<Timestamp> {
        self.complete_at
    }

    /// When this host's lease ends; `None` if it never had one.
    pub fn lease_end(&self, now: Timestamp) -> Option<Timestamp> {
        let complete_at = self.complete_at.filter(|_| self.is_listed)?;
        let last = complete_at.max(self.stated_by_most(now, complete_at).unwrap_or_default());
        Some(last + LEASE)
    }

    /// Whether most of the listed hosts, this one included, were heard a short time ago.
    pub fn reaches_most(&self, now: Timestamp) -> bool {
        let heard = |peer: &&Peer| {
            let last = peer.last_message.map(|(_, received_at)| received_at);
            last.is_some_and(|at| now < at + REACHABLE_LIMIT)
        };
        2 * (self.peers.values().filter(heard).count() + 1) > self.others.len() + 1
    }

    /// Last moment of which most of the listed hosts, this one included, state that they had seen no
    /// row that this host has not read.
    fn stated_by_most(&self, now: Timestamp, complete_at: Timestamp) -> Option<Timestamp> {
        if !self.has_read_store || now >= complete_at + STATEMENT_LIMIT {
            return None;
        }
        let needed = self.others.len().div_ceil(2);
        let agrees = |peer: &&Peer| peer.newest <= self.complete;
        let mut stated: Vec<Timestamp> =
            self.peers.values().filter(agrees).filter_map(|peer| peer.stated_at).collect();
        stated.sort_unstable_by(|a, b| b.cmp(a));
        match needed {
            0 => Some(now),
            _ => stated.get(needed - 1).copied(),
        }
    }
}

/// Confirmations of the claims of a failover.
#[derive(Debug, Default)]
pub struct Confirmations {
    hosts: BTreeSet<HostId>,
    last_at: Timestamp,
    /// When most of the hosts had confirmed, this one included.
    most_at: Option<Timestamp>,
}

impl Confirmations {
    /// Records that a host knows the claim and uses no primary of the group.
    pub fn insert(&mut self, now: Timestamp, host: HostId, others: &BTreeSet<HostId>) {
        if others.contains(&host) && self.hosts.insert(host) {
            self.last_at = now;
        }
        self.count(now, others);
    }

    /// Forgets all confirmations.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn count(&mut self, now: Timestamp, others: &BTreeSet<HostId>) {
        if 2 * (self.hosts.len() + 1) > others.len() + 1 {
            self.most_at.get_or_insert(now);
        }
    }

    /// Whether all leases that were granted before the claim have ended. `claimed_at` is when the
    /// claim was known to be written, `complete_at` when the list of the hosts was last complete.
    pub fn are_leases_over(
        &mut self,
        now: Timestamp,
        claimed_at: Timestamp,
        complete_at: Option<Timestamp>,
        others: &BTreeSet<HostId>,
    ) -> bool {
        self.count(now, others);
        let is_list_current = complete_at.is_some_and(|at| at >= claimed_at);
        if is_list_current && others.is_subset(&self.hosts) {
            return now >= self.last_at.max(claimed_at) + CONFIRMATION_WAIT;
        }
        match self.most_at {
            Some(most_at) => now >= most_at.max(claimed_at) + LEASE_WAIT,
            // Without most of the hosts the others may go on by their own statements.
            None => now >= claimed_at + STATEMENT_LIMIT + LEASE_WAIT,
        }
    }
}
