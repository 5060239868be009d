//! Actions of the promotion's state chart.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use rand::Rng;

use super::rules::Reason;
use super::{
    Action, Attempt, Facts, GroupRecord, Phase, PromotionEffect, ORDER_REPEAT_INTERVAL,
    RETRY_DELAY_MAX, RETRY_DELAY_MIN,
};
use crate::core::group::{EndpointStatus, GroupView, Role};
use crate::types::{AttemptId, DurationMs, EndpointId, Position, RowVersion, Term, Timestamp};

type Effects = Vec<PromotionEffect>;

impl Facts {
    pub(super) fn run_action(
        &mut self,
        action: Action,
        now: Timestamp,
        view: &GroupView,
        effects: &mut Effects,
    ) {
        match action {
            Action::StartSuspicion => self.start_suspicion(now, effects),
            Action::Read => self.read(now, effects),
            Action::ReadLater => self.read_later(now),
            Action::Bootstrap => self.bootstrap(now, view),
            Action::Claim => self.claim(now, view),
            Action::Swap => self.swap(now, effects),
            Action::Fence => self.fence(now, view, effects),
            Action::Choose => self.choose(view),
            Action::SendOrders => self.send_orders(now, view, effects),
            Action::BackOff => self.back_off(now),
        }
    }

    fn start_suspicion(&mut self, now: Timestamp, effects: &mut Effects) {
        self.suspected_at = now;
        self.attempt = None;
        if self.calls.read_sent_at.is_none() {
            self.read(now, effects);
        }
    }

    fn read(&mut self, now: Timestamp, effects: &mut Effects) {
        self.calls.read_sent_at = Some(now);
        self.calls.swap_sent_at = None;
        effects.push(PromotionEffect::ReadRecord);
    }

    /// Schedules the next read after a delay with jitter, and doubles the delay up to
    /// [`RETRY_DELAY_MAX`].
    pub(super) fn read_later(&mut self, now: Timestamp) {
        self.calls.swap_sent_at = None;
        let delay = self.calls.retry_delay;
        self.calls.next_read_at = now + self.with_jitter(delay);
        self.calls.retry_delay = DurationMs((delay.0 * 2).min(RETRY_DELAY_MAX.0));
    }

    fn with_jitter(&mut self, delay: DurationMs) -> DurationMs {
        DurationMs(self.rng.random_range(delay.0 / 2..=delay.0))
    }

    /// Stores what a read or a compare-and-set sent at `sent` found. Returns false, and changes
    /// nothing, if `version` is older than the known one.
    pub(super) fn update_row(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        version: RowVersion,
        record: Option<GroupRecord>,
    ) -> bool {
        if version < self.row.version {
            return false;
        }
        if version > self.row.version {
            self.row.version = version;
            self.row.record = record;
            self.row.first_seen_at = now;
        }
        self.row.last_read_sent = self.row.last_read_sent.max(Some(sent));
        true
    }

    fn start_attempt(&mut self, now: Timestamp, record: GroupRecord, excluded: Option<EndpointId>) {
        self.attempt = Some(Attempt {
            record,
            expected_version: self.row.version,
            swaps: 0,
            began_at: now,
            fences_sent_at: now,
            fenced: BTreeMap::new(),
            excluded,
        });
    }

    fn claim(&mut self, now: Timestamp, view: &GroupView) {
        let attempt = AttemptId(self.rng.random());
        let (term, phase) = (self.next_term(view), Phase::Fencing);
        let record =
            GroupRecord { term, primary: None, start: Position::default(), attempt, phase };
        let stalled = self.reason(now, view) == Some(Reason::Stalled);
        let other_endpoints = view.endpoints().count().saturating_sub(1);
        let excluded =
            view.last_primary().filter(|_| stalled && other_endpoints >= view.majority());
        self.start_attempt(now, record, excluded.cloned());
    }

    fn bootstrap(&mut self, now: Timestamp, view: &GroupView) {
        let attempt = AttemptId(self.rng.random());
        let (term, phase, primary) = (view.term(), Phase::Promoted, view.primary().cloned());
        let record = GroupRecord { term, primary, start: Position::default(), attempt, phase };
        self.start_attempt(now, record, None);
    }

    fn swap(&mut self, now: Timestamp, effects: &mut Effects) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.swaps += 1;
        self.calls.swap_sent_at = Some(now);
        self.calls.next_read_at = now;
        let (expected_version, record) = (attempt.expected_version, attempt.record.clone());
        effects.push(PromotionEffect::SwapRecord { expected_version, record });
    }

    fn fence(&mut self, now: Timestamp, view: &GroupView, effects: &mut Effects) {
        self.calls.swap_sent_at = None;
        let Some(attempt) = &mut self.attempt else { return };
        attempt.fences_sent_at = now;
        let term = attempt.record.term;
        let missing = view.endpoints().filter(|id| !attempt.fenced.contains_key(id));
        let fence_order = |id: &EndpointId| PromotionEffect::Fence { endpoint: id.clone(), term };
        effects.extend(missing.map(fence_order));
    }

    /// Chooses the fenced member with the highest position; ties go to the lowest id.
    fn choose(&mut self, view: &GroupView) {
        let Some(attempt) = &mut self.attempt else { return };
        let candidates = attempt.candidates(view);
        let preference = |(id, status): &(&EndpointId, &EndpointStatus)| {
            (status.position, Reverse((*id).clone()))
        };
        let Some((id, status)) = candidates.iter().max_by_key(preference) else { return };
        attempt.record.primary = Some(id.clone());
        attempt.record.start = status.position;
        attempt.record.phase = Phase::Promoted;
        attempt.expected_version = self.row.version;
        attempt.swaps = 0;
    }

    fn back_off(&mut self, now: Timestamp) {
        self.attempt = None;
        self.calls.swap_sent_at = None;
        self.calls.next_read_at = now;
        self.row.last_read_sent = None;
        self.backoff_until = now + self.with_jitter(RETRY_DELAY_MIN);
    }

    fn send_orders(&mut self, now: Timestamp, view: &GroupView, effects: &mut Effects) {
        self.calls.swap_sent_at = None;
        self.orders_sent_at = now;
        self.push_orders(view, effects);
    }

    /// Sends the orders of a promoted record again to the members that do not match it, if
    /// [`ORDER_REPEAT_INTERVAL`] has passed.
    pub(super) fn repeat_orders(&mut self, now: Timestamp, view: &GroupView, out: &mut Effects) {
        let due = now >= self.orders_sent_at.max(self.row.first_seen_at) + ORDER_REPEAT_INTERVAL;
        if due {
            self.orders_sent_at = now;
            self.push_orders(view, out);
        }
    }

    fn push_orders(&self, view: &GroupView, effects: &mut Effects) {
        let records = [self.row.record.as_ref(), view.record()].into_iter().flatten();
        let Some(record) = records.max_by_key(|record| (record.term, record.phase)) else { return };
        let Some(primary) = &record.primary else { return };
        for endpoint in view.endpoints() {
            let Some(status) = view.status(endpoint) else { continue };
            effects.extend(corrective_order(endpoint, status, record.term, primary));
        }
    }
}

/// The order that makes a member match the promoted record. `None` if the member matches already,
/// or is at or fenced to a higher term.
fn corrective_order(
    endpoint: &EndpointId,
    status: &EndpointStatus,
    term: Term,
    primary: &EndpointId,
) -> Option<PromotionEffect> {
    if status.fenced_term > term || status.term > term {
        return None;
    }
    let endpoint = endpoint.clone();
    if endpoint == *primary {
        let is_primary = status.term == term && status.role == Role::Primary;
        return (!is_primary).then_some(PromotionEffect::Promote { endpoint, term });
    }
    let is_replica = status.term == term && status.role == Role::Replica;
    let primary = primary.clone();
    (!is_replica).then_some(PromotionEffect::Follow { endpoint, term, primary })
}
