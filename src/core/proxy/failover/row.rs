//! The row of a group: its versions, and what they say about the lead.

use super::{
    Claim, Failover, FailoverEffect, FailoverEvent, FailoverState, Lead, OpenClaim, CLAIM_LIMIT,
    PROMOTION_WINDOW, REWRITE_INTERVAL, STAGGER,
};
use crate::core::proxy::lease::{Evidence, LeadProof, ANSWER_GRACE};
use crate::types::{DurationMs, HostId, RowVersion, Term, Timestamp};

impl Failover {
    pub(super) fn row_is_own(&self) -> bool {
        self.row.as_ref().is_some_and(|claim| claim.holder == self.host)
    }

    pub(super) fn is_attempt(&self, claim: &Claim) -> bool {
        claim.holder == self.host && claim.attempt == self.attempt
    }

    /// Adopts a version of the row. `lease_end` is the end of the lease before it was known.
    pub(super) fn set_row(
        &mut self,
        now: Timestamp,
        lease_end: Timestamp,
        version: RowVersion,
        claim: Option<Claim>,
    ) {
        let former = self.lead();
        (self.row_version, self.is_row_lost) = (version, false);
        if claim.is_some() && claim == self.row {
            // It was written again, or read again after a restore of the store.
            return;
        }
        self.row_seen_at = now;
        self.row_term = self.row_term.max(claim.as_ref().map_or(Term(0), |claim| claim.term));
        self.row = claim;
        if matches!(self.lead(), Lead::Only(_)) {
            self.open_claim = None;
            self.confirmations.clear();
            return;
        }
        let open = self.open_claim.get_or_insert(OpenClaim {
            first_version: version,
            since: now,
            former,
            former_until: lease_end.min(now + ANSWER_GRACE),
            pledged: None,
        });
        let chosen = self.row.as_ref().and_then(|claim| claim.chosen.clone());
        if open.pledged.as_ref().map(|(endpoint, _)| endpoint) != chosen.as_ref() {
            open.pledged = chosen.map(|chosen| (chosen, now));
        }
    }

    /// Called when all rows have been read, so that the group has none unless it is known.
    pub fn on_rows_read(&mut self) {
        self.is_row_read = true;
    }

    /// Processes a read of the group's row. `lease_end` is the end of this host's lease.
    pub fn on_row(
        &mut self,
        now: Timestamp,
        lease_end: Timestamp,
        version: RowVersion,
        claim: Option<&Claim>,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        if version <= self.row_version {
            return out;
        }
        let is_restored = version.era() > self.row_version.era();
        if is_restored && self.row.as_ref().is_some_and(|known| known.supersedes(claim)) {
            self.row_version = version;
            self.on_row_lost(now, &mut out);
            return out;
        }
        let is_same = claim.is_some() && claim == self.row.as_ref();
        self.set_row(now, lease_end, version, claim.cloned());
        if claim.is_some_and(|claim| self.is_attempt(claim)) {
            self.on_own_row(now, &mut out);
        } else if !is_same && self.state() != FailoverState::Watching {
            tracing::info!(token = %version, "failover: another host has claimed the group");
            self.fire(now, FailoverEvent::Failed, &mut out);
        }
        out
    }

    /// Called when a restore of the store has lost the row that this host knows. A claim that was in
    /// progress is made again if it is still needed; the last confirmed primary is written again.
    fn on_row_lost(&mut self, now: Timestamp, out: &mut Vec<FailoverEffect>) {
        tracing::warn!(version = %self.row_version, known = ?self.row,
            "failover: row of the group was lost");
        self.is_row_lost = true;
        self.rewrite_at = now + DurationMs(STAGGER.0 * self.stagger_step);
        self.fire(now, FailoverEvent::Failed, out);
    }

    /// Writes the row again that a restore of the store has lost. All hosts do; the first write that
    /// the store accepts changes the version that the others expect.
    pub(super) fn rewrite_lost_row(&mut self, now: Timestamp, out: &mut Vec<FailoverEffect>) {
        let Some(row) = self.row.as_ref().filter(|row| row.leader.is_some()) else { return };
        if !self.is_row_lost || now < self.rewrite_at || !self.written.is_empty() {
            return;
        }
        self.rewrite_at = now + REWRITE_INTERVAL;
        self.written.push_back(row.clone());
        out.push(FailoverEffect::Claim(self.row_version, row.clone()));
    }

    /// Continues after this host's write has reached the row.
    pub(super) fn on_own_row(&mut self, now: Timestamp, out: &mut Vec<FailoverEffect>) {
        let Some(row) = &self.row else { return };
        match self.state() {
            FailoverState::Claiming if row.leader.is_none() => {
                self.fire(now, FailoverEvent::Claimed, out);
            }
            FailoverState::Recording if row.chosen == self.chosen => {
                let in_time = now <= self.claim_sent_at + PROMOTION_WINDOW;
                let event = if in_time { FailoverEvent::Recorded } else { FailoverEvent::Failed };
                self.fire(now, event, out);
            }
            FailoverState::Finishing if row.leader.is_some() => {
                self.fire(now, FailoverEvent::Finished, out);
            }
            _ => {}
        }
    }

    /// Processes the confirmation of a host that knows a version of the row and uses no primary.
    pub fn on_confirmed(
        &mut self,
        now: Timestamp,
        host: HostId,
        version: RowVersion,
        evidence: &Evidence,
    ) {
        if self.open_claim.as_ref().is_some_and(|open| version >= open.first_version) {
            self.confirmations.insert(now, host, evidence.others());
        }
    }

    /// Whether a claim was left without a confirmed primary, so that no endpoint may be used.
    pub(super) fn is_abandoned(&self, now: Timestamp) -> bool {
        let overdue = self.row_is_own() || now >= self.row_seen_at + CLAIM_LIMIT;
        self.proof == LeadProof::Lease && self.open_claim.is_some() && overdue
    }
}
