//! Grants of tokens that this host received from peers for one account.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{HostId, MilliTokens, Timestamp};

use super::message::GrantId;

/// Limit on the settled grants that are reported to a peer in one request. The giver keeps the
/// others reserved until they expire.
const MAX_SETTLED: usize = 32;

#[derive(Debug)]
struct Grant {
    giver: HostId,
    id: GrantId,
    unspent: u64,
    until: Timestamp,
}

/// Received grants, each of which can be spent until it expires.
#[derive(Debug, Default)]
pub(super) struct Grants {
    spendable: Vec<Grant>,
    seen: BTreeSet<(HostId, GrantId)>,
    seen_until: BTreeSet<(Timestamp, HostId, GrantId)>,
    settled: BTreeMap<HostId, Vec<GrantId>>,
}

impl Grants {
    /// Adds a grant that can be spent before `until`; ignores one that was received before.
    pub fn add(&mut self, giver: &HostId, id: GrantId, amount: MilliTokens, until: Timestamp) {
        if !self.seen.insert((giver.clone(), id)) {
            return;
        }
        self.seen_until.insert((until, giver.clone(), id));
        if amount.0 > 0 {
            self.spendable.push(Grant { giver: giver.clone(), id, unspent: amount.0, until });
            self.spendable.sort_by_key(|grant| grant.until);
        }
    }

    /// Drops the grants that have expired at `now`.
    pub fn expire(&mut self, now: Timestamp) {
        self.settle_where(|grant| grant.until <= now);
        // Duplicates that arrive later are dropped because their request has expired.
        while self.seen_until.first().is_some_and(|(until, _, _)| *until <= now) {
            if let Some((_, giver, id)) = self.seen_until.pop_first() {
                self.seen.remove(&(giver, id));
            }
        }
    }

    /// Tokens that can be spent. The caller first drops the expired grants.
    pub fn total(&self) -> MilliTokens {
        MilliTokens(self.spendable.iter().map(|grant| grant.unspent).sum())
    }

    /// Spends up to `amount`, in the order in which the grants expire, and returns what they lack.
    pub fn spend(&mut self, amount: MilliTokens) -> MilliTokens {
        let mut remaining = amount.0;
        for grant in &mut self.spendable {
            let spent = grant.unspent.min(remaining);
            grant.unspent -= spent;
            remaining -= spent;
        }
        self.settle_where(|grant| grant.unspent == 0);
        MilliTokens(remaining)
    }

    /// Takes the grants of `giver` that are used up or expired and not reported to it yet.
    pub fn take_settled(&mut self, giver: &HostId) -> Vec<GrantId> {
        self.settled.remove(giver).unwrap_or_default()
    }

    /// Time at which the next grant expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.spendable.first().map(|grant| grant.until)
    }

    fn settle_where(&mut self, done: impl Fn(&Grant) -> bool) {
        for grant in self.spendable.iter().filter(|grant| done(grant)) {
            let settled = self.settled.entry(grant.giver.clone()).or_default();
            if settled.len() < MAX_SETTLED {
                settled.push(grant.id);
            }
        }
        self.spendable.retain(|grant| !done(grant));
    }
}
