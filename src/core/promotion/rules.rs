//! Guards of the promotion's state chart.

use std::collections::BTreeMap;

use super::stagger::stagger;
use super::{
    Attempt, EndpointStatus, Facts, GroupRecord, Guard, Phase, ANSWER_TIMEOUT, ATTEMPT_TIMEOUT,
    FENCE_REPEAT_INTERVAL, PAUSE_THRESHOLD, PRIMARY_SILENCE_TIMEOUT, PRIMARY_STALL_TIMEOUT,
};
use crate::core::group::{GroupView, Role};
use crate::types::{DurationMs, EndpointId, Term, Timestamp};

/// Why a group needs a new record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// No status of a primary has arrived for [`PRIMARY_SILENCE_TIMEOUT`].
    Silent,
    /// The primary has confirmed none of its entries for [`PRIMARY_STALL_TIMEOUT`].
    Stalled,
    /// An attempt fenced endpoints, or claimed the row, and was not completed within
    /// [`ATTEMPT_TIMEOUT`].
    Abandoned,
    /// The row does not exist.
    NoRecord,
}

impl Facts {
    pub(super) fn holds(&self, guard: Guard, now: Timestamp, view: &GroupView) -> bool {
        match guard {
            Guard::Suspect => self.suspect(now, view),
            Guard::NoReason => self.reason(now, view).is_none(),
            Guard::ReadDue => self.read_due(now, view),
            Guard::MayBootstrap => {
                self.reason(now, view) == Some(Reason::NoRecord)
                    && self.may_claim(now, view)
                    && self.may_bootstrap(view)
            }
            Guard::MayClaim => {
                self.may_claim(now, view) && self.reason(now, view) != Some(Reason::NoRecord)
            }
            Guard::OwnAttempt => self.own_attempt(),
            Guard::RowUnchanged => self.row_unchanged(),
            Guard::RowTaken => !self.own_attempt() && !self.row_unchanged(),
            Guard::Superseded => self.superseded(view),
            Guard::MajorityFenced => self.majority_fenced(view),
            Guard::AttemptOverdue => {
                self.attempt.as_ref().is_none_or(|a| now >= a.began_at + ATTEMPT_TIMEOUT)
            }
            Guard::FenceDue => self
                .attempt
                .as_ref()
                .is_some_and(|a| now >= a.fences_sent_at + FENCE_REPEAT_INTERVAL),
            Guard::BackoffOver => now >= self.backoff_until,
        }
    }

    /// Why the group needs a promotion or its first record, if it does.
    pub(super) fn reason(&self, now: Timestamp, view: &GroupView) -> Option<Reason> {
        let timed_out = |since: Option<Timestamp>, span: DurationMs| {
            since.is_some_and(|since| now >= since.max(self.resumed_at) + span)
        };
        if timed_out(view.primary_heard_at(), PRIMARY_SILENCE_TIMEOUT) {
            Some(Reason::Silent)
        } else if timed_out(view.fenced_off_since(), ATTEMPT_TIMEOUT)
            || self.row_abandoned(now, view)
        {
            Some(Reason::Abandoned)
        } else if timed_out(view.stalled_since(), PRIMARY_STALL_TIMEOUT) {
            Some(Reason::Stalled)
        } else if self.row.last_read_sent.is_some() && self.row.record.is_none() {
            Some(Reason::NoRecord)
        } else {
            None
        }
    }

    /// Whether there is a reason for a promotion and this host may act on it, which takes answers
    /// from a majority of the endpoints.
    fn suspect(&self, now: Timestamp, view: &GroupView) -> bool {
        let majority_answers =
            view.answering_since(now - PRIMARY_SILENCE_TIMEOUT) >= view.majority();
        majority_answers && self.reason(now, view).is_some()
    }

    fn row_abandoned(&self, now: Timestamp, view: &GroupView) -> bool {
        let fencing =
            |record: &GroupRecord| record.phase == Phase::Fencing && record.term > view.term();
        self.row.record.as_ref().is_some_and(fencing)
            && now >= self.row.first_seen_at + ATTEMPT_TIMEOUT
    }

    fn read_due(&self, now: Timestamp, view: &GroupView) -> bool {
        let overdue = |sent: Option<Timestamp>| sent.is_none_or(|at| now >= at + ANSWER_TIMEOUT);
        let no_call_pending = overdue(self.calls.read_sent_at) && overdue(self.calls.swap_sent_at);
        no_call_pending && now >= self.calls.next_read_at && self.needs_read(now, view)
    }

    fn needs_read(&self, now: Timestamp, view: &GroupView) -> bool {
        let row = self.row.record.as_ref();
        let promoted = row.filter(|record| record.phase == Phase::Promoted);
        self.row.last_read_sent.is_none()
            || self.reason(now, view).is_some()
            || promoted.is_none_or(|record| record.term < view.term() && !view.knows_start())
    }

    /// Whether this host may claim the next term: it has read the row since the suspicion began,
    /// its staggered delay has passed, and no other host's attempt is under way.
    fn may_claim(&self, now: Timestamp, view: &GroupView) -> bool {
        let row_read = self.row.last_read_sent.is_some_and(|sent| sent >= self.suspected_at);
        let delay = stagger(view.group(), self.next_term(view), &self.host, &self.hosts);
        let delay_passed = now >= self.suspected_at + delay;
        let fencing = self.row.record.as_ref().is_some_and(|r| r.phase == Phase::Fencing);
        let no_other_attempt = !fencing || now >= self.row.first_seen_at + ATTEMPT_TIMEOUT;
        row_read && delay_passed && no_other_attempt && self.suspect(now, view)
    }

    /// Whether the first record may adopt the present primary: the row does not exist, and a
    /// majority of the endpoints is at that primary's term.
    fn may_bootstrap(&self, view: &GroupView) -> bool {
        let in_term =
            |status: &EndpointStatus| status.term == view.term() && !status.is_fenced_off();
        let primary_has_majority =
            view.primary().is_some() && view.count(in_term) >= view.majority();
        primary_has_majority && self.row.record.is_none()
    }

    /// The term that an attempt would claim now.
    pub(super) fn next_term(&self, view: &GroupView) -> Term {
        let row = self.row.record.as_ref().map_or(Term(0), |record| record.term);
        row.max(view.term()).max(view.highest_fence()).next()
    }

    fn own_attempt(&self) -> bool {
        let Some(attempt) = &self.attempt else { return false };
        self.row.record.as_ref().is_some_and(|row| {
            row.attempt == attempt.record.attempt && row.phase == attempt.record.phase
        })
    }

    fn row_unchanged(&self) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|attempt| attempt.expected_version == self.row.version)
    }

    fn superseded(&self, view: &GroupView) -> bool {
        let Some(attempt) = &self.attempt else { return true };
        let term = attempt.record.term;
        let newer_row = self.row.record.as_ref().is_some_and(|row| row.term > term);
        newer_row || view.highest_fence() > term || view.term() >= term || attempt.overtaken()
    }

    fn majority_fenced(&self, view: &GroupView) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.candidates(view).len() >= view.majority())
    }

    pub(super) fn note_tick(&mut self, now: Timestamp) {
        if self.last_tick.is_none_or(|last| now >= last + PAUSE_THRESHOLD) {
            self.resumed_at = now;
        }
        self.last_tick = Some(now);
    }
}

impl Attempt {
    /// Stores the status of an endpoint that is fenced to at least the attempt's term. The
    /// endpoint's log can no longer change until that term has a primary.
    pub(super) fn store_fenced_status(&mut self, endpoint: &EndpointId, status: EndpointStatus) {
        if status.fenced_term >= self.record.term {
            self.fenced.insert(endpoint.clone(), status);
        }
    }

    /// Members fenced to the attempt's term, with the statuses that they answered to the fence
    /// order, or with a later status of a member whose answer was lost.
    pub(super) fn candidates(&self, view: &GroupView) -> BTreeMap<EndpointId, EndpointStatus> {
        let term = self.record.term;
        let mut fenced = self.fenced.clone();
        for endpoint in view.endpoints() {
            if let Some(status) = view.status(endpoint).filter(|s| s.fenced_term == term) {
                fenced.entry(endpoint.clone()).or_insert(*status);
            }
        }
        fenced.retain(|_, status| status.fenced_term == term && status.term < term);
        if let Some(excluded) = &self.excluded {
            fenced.remove(excluded);
        }
        fenced
    }

    fn overtaken(&self) -> bool {
        let term = self.record.term;
        self.fenced.values().any(|status| {
            status.fenced_term > term || (status.term >= term && status.role == Role::Primary)
        })
    }
}
