//! The start of a failover, the survey of the endpoints and the choice of the new primary.

use super::{
    Failover, FailoverEffect, FailoverEvent, FailoverState, GroupSnapshot, CATCH_UP_LIMIT,
    CLAIM_LIMIT, LATE_PROMOTION_LIMIT, LEASED_SILENCE_LIMIT, PROMOTION_LIMIT, PROMOTION_WINDOW,
    SETTLE_LIMIT, STAGGER, STATUS_INTERVAL, SURVEY_LIMIT, SURVEY_MIN_WAIT,
    UNCONFIRMED_SETTLE_LIMIT,
};
use crate::core::group::Role;
use crate::core::proxy::job::{Order, StatusReport};
use crate::core::proxy::lease::{Evidence, LeadProof, LEASE, STATEMENT_LIMIT};
use crate::types::{DurationMs, EndpointId, RowVersion, Term, Timestamp};

impl Failover {
    pub(super) fn start_if_needed(
        &mut self,
        now: Timestamp,
        needed: bool,
        snapshot: &GroupSnapshot,
        evidence: &Evidence,
        out: &mut Vec<FailoverEffect>,
    ) {
        let nobody = snapshot.candidates.is_empty() && snapshot.staying.is_none();
        if !needed || nobody {
            self.needed_since = None;
            return;
        }
        let since = *self.needed_since.get_or_insert(now);
        if self.proof == LeadProof::Lease && !self.may_claim(now, since, evidence) {
            return;
        }
        let stagger_elapsed = now >= since + DurationMs(STAGGER.0 * self.stagger_step);
        let claimed_by_other = self.row_version > RowVersion(0) && !self.row_is_own();
        let taken = claimed_by_other && now < self.row_seen_at + CLAIM_LIMIT;
        if stagger_elapsed && !taken && now >= self.retry_at {
            self.fire(now, FailoverEvent::Needed, out);
        }
    }

    /// Whether a claim is worthwhile, which takes the group's primary from all hosts. A host that is
    /// cut off cannot complete a failover, except that so many hosts may have been lost that the
    /// others never hear from most of them again. When the cut has healed, the primary has time to
    /// answer.
    pub(super) fn may_claim(
        &mut self,
        now: Timestamp,
        needed_since: Timestamp,
        evidence: &Evidence,
    ) -> bool {
        let has_store = evidence.complete_at().is_some_and(|at| now < at + LEASE);
        if !has_store || !evidence.reaches_most(now) {
            self.cut_off_at = now;
        }
        let lost_most = has_store && now >= needed_since + STATEMENT_LIMIT;
        now >= self.cut_off_at + LEASED_SILENCE_LIMIT || lost_most
    }

    /// The endpoint that acts as the primary, if no promotion was requested since the last completed
    /// one, so that it is the only primary.
    pub(super) fn present_primary(&self, snapshot: &GroupSnapshot) -> Option<EndpointId> {
        let open = self.open_claim.as_ref().filter(|_| self.proof == LeadProof::Lease)?;
        if open.pledged.is_some() {
            return None;
        }
        let listed = snapshot.candidates.iter().chain(&snapshot.staying);
        let acts = |id: &&EndpointId| {
            self.statuses
                .get(*id)
                .is_some_and(|status| status.role == Role::Primary && status.term >= self.row_term)
        };
        listed.filter(acts).max_by_key(|id| self.statuses[*id].term).cloned()
    }

    /// Requests the positions of the candidates until enough have answered.
    pub(super) fn survey(
        &mut self,
        now: Timestamp,
        snapshot: &GroupSnapshot,
        evidence: &Evidence,
        out: &mut Vec<FailoverEffect>,
    ) {
        if self.demoted.is_none() {
            if let Some(leaving) = &snapshot.leaving {
                self.demoted = Some((leaving.clone(), None));
                self.keeps_demoted = snapshot.evacuated.contains(leaving);
                out.push(FailoverEffect::Order(
                    leaving.clone(),
                    Order::Demote(snapshot.term.next()),
                ));
            }
        }
        if now >= self.status_requested_at + STATUS_INTERVAL {
            self.status_requested_at = now;
            let order = match snapshot.sync_replicas {
                0 => Order::Status,
                _ => Order::Pause(snapshot.term.next()),
            };
            let staying = snapshot.staying.iter().map(|id| (id, Order::Status));
            let evacuated = snapshot.evacuated.iter().map(|id| (id, Order::Status));
            let asked = snapshot.candidates.iter().map(|id| (id, order));
            let asked = asked.chain(staying).chain(evacuated);
            out.extend(asked.map(|(id, order)| FailoverEffect::Order(id.clone(), order)));
        }
        if let Some(primary) = self.present_primary(snapshot) {
            self.row_term = self.row_term.max(self.statuses[&primary].term);
            self.chosen = Some(primary);
            return self.fire(now, FailoverEvent::Stayed, out);
        }
        let claimed_at = self.open_claim.as_ref().map_or(now, |open| open.since);
        let leases_over = self.proof == LeadProof::Transaction
            || self.confirmations.are_leases_over(
                now,
                claimed_at,
                evidence.complete_at(),
                evidence.others(),
            );
        match self.choose_candidate(now, snapshot).filter(|_| leases_over) {
            Some(chosen) => {
                let recorded = self.row.as_ref().and_then(|claim| claim.chosen.clone());
                self.chosen = Some(chosen);
                let in_time = now <= self.claim_sent_at + PROMOTION_WINDOW;
                let event = match self.proof {
                    LeadProof::Lease if !in_time => FailoverEvent::Failed,
                    LeadProof::Lease if recorded != self.chosen => FailoverEvent::Unrecorded,
                    _ => FailoverEvent::Chosen,
                };
                self.fire(now, event, out);
            }
            None => {
                let limit = if self.demoted.is_some() { CATCH_UP_LIMIT } else { SURVEY_LIMIT };
                if now >= self.entered_at + limit + CATCH_UP_LIMIT {
                    self.fire(now, FailoverEvent::Failed, out);
                }
            }
        }
    }

    /// Returns the candidate with the highest position once enough replicas have answered: at least
    /// one of them then holds every commit that synchronous replicas had to receive, and the final
    /// position of a leaving primary is known and reached, or was waited for long enough.
    pub(super) fn choose_candidate(
        &self,
        now: Timestamp,
        snapshot: &GroupSnapshot,
    ) -> Option<EndpointId> {
        let up_to_date = |id: &EndpointId| {
            self.statuses.get(id).filter(|status| status.term >= self.row_term).copied()
        };
        let open = self.open_claim.as_ref().filter(|_| self.proof == LeadProof::Lease);
        let pledged = open.and_then(|open| open.pledged.as_ref());
        if let Some((pledged, _)) = pledged.filter(|(_, since)| now < *since + LATE_PROMOTION_LIMIT)
        {
            return up_to_date(pledged).map(|_| pledged.clone());
        }
        if self.proof == LeadProof::Lease {
            let listed = snapshot.candidates.iter().chain(&snapshot.staying);
            let primaries = listed.filter_map(|id| {
                up_to_date(id)
                    .filter(|status| status.role == Role::Primary)
                    .map(|status| (status.term, id))
            });
            // The promotion of the present primary changes nothing.
            if let Some((_, primary)) = primaries.max() {
                return Some(primary.clone());
            }
        }
        let answers = snapshot
            .candidates
            .iter()
            .filter_map(|id| up_to_date(id).map(|status| (status.received, id)));
        let answered = answers.clone().count();
        let evacuated = snapshot.evacuated.iter().filter_map(|id| self.statuses.get(id));
        let evacuated = evacuated.map(|status| status.received);
        let held = evacuated.clone().max();
        let answered = answered + evacuated.count();
        let (received, best) = answers.max_by_key(|(received, id)| (*received, (*id).clone()))?;
        let sync = usize::try_from(snapshot.sync_replicas).unwrap_or(usize::MAX);
        let needed =
            if sync == 0 { 1 } else { (snapshot.replicas + 1).saturating_sub(sync).max(1) };
        let all_answered = answered >= snapshot.candidates.len() + snapshot.evacuated.len();
        let may_wait = now < self.entered_at + SURVEY_MIN_WAIT;
        if answered < needed || (!all_answered && may_wait) {
            return None;
        }
        let waited_enough = now >= self.entered_at + CATCH_UP_LIMIT;
        if !waited_enough && held.is_some_and(|held| received < held) {
            return None;
        }
        if let Some((leaving, demoted)) = &self.demoted {
            // Whatever an evacuated primary has acknowledged is still in its log.
            let waited_enough = waited_enough && !snapshot.evacuated.contains(leaving);
            let last = demoted.as_ref().map(|status| status.received);
            if !waited_enough && last.is_none_or(|last| received < last) {
                return None;
            }
        }
        Some(best.clone())
    }

    pub(super) fn await_new_primary(&mut self, now: Timestamp, out: &mut Vec<FailoverEffect>) {
        let Some(chosen) = self.chosen.clone() else { return };
        if now >= self.status_requested_at + STATUS_INTERVAL {
            self.status_requested_at = now;
            out.push(FailoverEffect::Order(chosen, Order::Status));
        }
        let limit =
            if self.promotion_unconfirmed { UNCONFIRMED_SETTLE_LIMIT } else { SETTLE_LIMIT };
        if now >= self.entered_at + limit {
            self.fire(now, FailoverEvent::Failed, out);
        }
    }

    /// Processes the status of an endpoint.
    pub fn on_status(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        status: StatusReport,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        if let Some((demoted, last)) = &mut self.demoted {
            if demoted == endpoint && status.role == Role::Replica {
                *last = Some(status);
            }
        }
        match self.state() {
            FailoverState::Surveying => {
                self.statuses.insert(endpoint.clone(), status);
            }
            FailoverState::Settling
                if self.chosen.as_ref() == Some(endpoint)
                    && status.role == Role::Primary
                    && self.has_taken_over(now, status.term) =>
            {
                self.row_term = self.row_term.max(status.term);
                self.fire(now, FailoverEvent::Leads, &mut out);
            }
            _ => {}
        }
        out
    }

    /// Whether the chosen endpoint, which acts as the primary of `term`, does so because of the
    /// promotion, or was the present primary. One that acted as the primary before may have been
    /// replaced meanwhile and not know it; it has the lead again when the promotion takes effect.
    pub(super) fn has_taken_over(&self, now: Timestamp, term: Term) -> bool {
        let status = self.chosen.as_ref().and_then(|chosen| self.statuses.get(chosen));
        let acted_before =
            status.is_some_and(|status| status.role == Role::Primary && status.term >= term);
        self.proof == LeadProof::Transaction
            || !acted_before
            || now >= self.entered_at + PROMOTION_LIMIT
    }
}
