//! Failover of a group: claims the group, compares the replicas, has one promoted and waits until
//! it is the primary.
//!
//! A claim is written to the group's row in the store by compare-and-set. The version of the row is
//! the fencing token of the promotion: each claim has its own, and a later claim has a higher one,
//! so that a promotion that is carried out late is refused.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use super::job::{Order, StatusReport};
use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::core::group::Role;
use crate::types::{AttemptId, DurationMs, EndpointId, HostId, RowVersion, Term, Timestamp};

/// Time without an answer after which the primary is replaced; longer than its slowest statement
/// under load.
pub const SILENCE_LIMIT: DurationMs = DurationMs(1_000);
/// Time for which connections to the primary must fail before it is replaced.
pub const DOWN_LIMIT: DurationMs = DurationMs(300);
/// Time after which another host may claim a group that is already claimed, whether that failover
/// has ended or not: two hosts that claim within 3 s of each other count as simultaneous holders,
/// and a promotion takes a second to become visible everywhere.
pub const CLAIM_LIMIT: DurationMs = DurationMs(3_300);
/// Longest wait for the positions of the replicas; a healthy replica answers in the time of a few
/// statements.
const SURVEY_LIMIT: DurationMs = DurationMs(600);
/// Time to wait for the positions of all replicas before those that answered are enough.
const SURVEY_MIN_WAIT: DurationMs = DurationMs(150);
/// Longest wait for a replica to reach the final position of a leaving primary.
const CATCH_UP_LIMIT: DurationMs = DurationMs(1_500);
/// Longest wait for the new primary after the platform accepted the promotion, which takes up to a
/// second.
const SETTLE_LIMIT: DurationMs = DurationMs(2_200);
/// Longest wait for the new primary if the promotion call got no answer and may never be carried
/// out; the token of a new claim makes a late promotion harmless.
const UNCONFIRMED_SETTLE_LIMIT: DurationMs = DurationMs(1_400);
/// Longest wait for the outcome of a claim; if the answer is lost, reading the row gives it.
const CLAIM_ANSWER_LIMIT: DurationMs = DurationMs(1_200);
/// Time between two status requests to an endpoint.
const STATUS_INTERVAL: DurationMs = DurationMs(60);
/// Delay before the next attempt after a failed one.
const RETRY_DELAY: DurationMs = DurationMs(400);
/// Difference between the start delays of two hosts, so that one of them claims first.
const STAGGER: DurationMs = DurationMs(40);
/// Number of different start delays.
const STAGGER_STEPS: u64 = 8;

chart_names! {
    /// States of a failover.
    pub enum FailoverState {
        Watching = "watching", Claiming = "claiming", Surveying = "surveying",
        Promoting = "promoting", Settling = "settling",
    }
    /// Events of a failover.
    pub enum FailoverEvent {
        Needed = "needed", Claimed = "claimed", Chosen = "chosen", Ordered = "ordered",
        Leads = "leads", Failed = "failed",
    }
    /// Actions of a failover.
    pub enum FailoverAction {
        Claim = "claim", Survey = "survey", Promote = "promote", Resume = "resume",
        Finish = "finish",
    }
}

/// The compiled chart of failovers.
pub type FailoverChart = Chart<FailoverState, FailoverEvent, NoGuard, FailoverAction>;

/// Compiles the chart of failovers.
///
/// # Errors
///
/// Returns every error found in the chart file.
pub fn chart() -> Result<FailoverChart, Vec<ChartError>> {
    Chart::load("charts/failover.scxml", include_str!("../../../charts/failover.scxml"))
}

static CHART: LazyLock<FailoverChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// Content of a group's row: the current or the last failover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Host that wrote the claim.
    pub holder: HostId,
    /// Distinguishes the claims of one host, so that it recognises its own after a lost answer.
    pub attempt: AttemptId,
    /// The new primary, once it is confirmed.
    pub leader: Option<EndpointId>,
    /// Term of the last completed promotion. An endpoint of a lower term has missed that promotion
    /// and all later commits; promoting it would restore commits that were rolled back.
    pub term: Term,
}

/// An action that the owner of a failover carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverEffect {
    /// Write the claim if the row still has this version.
    Claim(RowVersion, Claim),
    /// Send an order to an endpoint.
    Order(EndpointId, Order),
    /// Ask the platform to promote an endpoint under this fencing token.
    Promote(EndpointId, RowVersion),
}

/// Why a claim was not written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimError {
    /// The row has another version; its version and content.
    Taken(RowVersion, Option<Claim>),
    /// The store did not answer; the claim may have been written.
    Unknown,
    /// The store refused the write; nothing was written.
    Refused,
}

/// The platform's answer to a promotion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromoteAnswer {
    /// The promotion has started.
    Accepted,
    /// A higher token was used already, or the endpoint is not running.
    Refused,
    /// The call had no effect and may be repeated.
    Unavailable,
    /// No answer arrived; the promotion may still be carried out.
    Unknown,
}

/// The state of a group that a failover decides by.
#[derive(Debug, Clone)]
pub struct GroupSnapshot {
    /// Endpoints that may be promoted.
    pub candidates: Vec<EndpointId>,
    /// The primary, if it is leaving and still answers.
    pub leaving: Option<EndpointId>,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Number of all replicas of the group, including those that do not answer.
    pub replicas: usize,
    /// Highest term seen in the group.
    pub term: Term,
}

/// Failover of one group as this host runs it.
#[derive(Debug)]
pub struct Failover {
    host: HostId,
    /// Number of [`STAGGER`] delays that this host waits before its first attempt.
    stagger_step: u64,
    machine: Machine<FailoverState, FailoverEvent, NoGuard, FailoverAction>,
    /// Highest known version of the group's row.
    row_version: RowVersion,
    /// When this version was first seen.
    row_seen_at: Timestamp,
    /// Whether the row holds a claim without a confirmed primary.
    row_unfinished: bool,
    /// Whether this host wrote the row.
    row_is_own: bool,
    /// Highest known term of a completed promotion.
    row_term: Term,
    /// Whether the promotion call got no answer.
    promotion_unconfirmed: bool,
    needed_since: Option<Timestamp>,
    /// Earliest time of the next attempt.
    retry_at: Timestamp,
    attempt: AttemptId,
    /// When the current state was entered.
    entered_at: Timestamp,
    status_requested_at: Timestamp,
    statuses: BTreeMap<EndpointId, StatusReport>,
    /// The leaving primary that was ordered to become a replica, and its status after that.
    demoted: Option<(EndpointId, Option<StatusReport>)>,
    chosen: Option<EndpointId>,
}

impl Failover {
    /// Creates the failover of a group on `host`. `seed` must differ between incarnations.
    pub fn new(host: HostId, seed: u64) -> Self {
        Self {
            host,
            stagger_step: seed % STAGGER_STEPS,
            machine: CHART.start(),
            row_version: RowVersion(0),
            row_seen_at: Timestamp(0),
            row_unfinished: false,
            row_is_own: false,
            row_term: Term(0),
            promotion_unconfirmed: false,
            needed_since: None,
            retry_at: Timestamp(0),
            attempt: AttemptId(seed),
            entered_at: Timestamp(0),
            status_requested_at: Timestamp(0),
            statuses: BTreeMap::new(),
            demoted: None,
            chosen: None,
        }
    }

    /// State of the failover on this host.
    pub fn state(&self) -> FailoverState {
        self.machine.state()
    }

    /// Endpoint that this host has chosen to be the new primary.
    pub fn chosen(&self) -> Option<&EndpointId> {
        self.chosen.as_ref()
    }

    /// Whether any host has a failover of the group in progress.
    pub fn under_way(&self, now: Timestamp) -> bool {
        let other_host = self.row_unfinished && now < self.row_seen_at + CLAIM_LIMIT;
        other_host || self.state() != FailoverState::Watching
    }

    /// Processes a read of the group's row.
    pub fn on_row(&mut self, now: Timestamp, version: RowVersion, claim: Option<&Claim>) {
        if version <= self.row_version {
            return;
        }
        (self.row_version, self.row_seen_at) = (version, now);
        self.row_unfinished = claim.is_some_and(|claim| claim.leader.is_none());
        self.row_is_own = claim.is_some_and(|claim| claim.holder == self.host);
        self.row_term = self.row_term.max(claim.map_or(Term(0), |claim| claim.term));
        let mine = self.row_is_own && claim.is_some_and(|claim| claim.attempt == self.attempt);
        if mine && self.row_unfinished && self.state() == FailoverState::Claiming {
            self.fire(now, FailoverEvent::Claimed, &mut Vec::new());
        }
        if !mine && self.state() != FailoverState::Watching {
            tracing::info!(token = %version, "failover: another host has claimed the group");
            self.fire(now, FailoverEvent::Failed, &mut Vec::new());
        }
    }

    /// Runs the timed steps of the current state. `needed` says whether the primary must be
    /// replaced.
    pub fn tick(
        &mut self,
        now: Timestamp,
        needed: bool,
        snapshot: &GroupSnapshot,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        match self.state() {
            FailoverState::Watching => self.start_if_needed(now, needed, snapshot, &mut out),
            FailoverState::Claiming => {
                if now >= self.entered_at + CLAIM_ANSWER_LIMIT {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            FailoverState::Surveying => self.survey(now, snapshot, &mut out),
            FailoverState::Promoting => {
                if now >= self.entered_at + SETTLE_LIMIT {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            FailoverState::Settling => self.await_new_primary(now, &mut out),
        }
        out
    }

    fn start_if_needed(
        &mut self,
        now: Timestamp,
        needed: bool,
        snapshot: &GroupSnapshot,
        out: &mut Vec<FailoverEffect>,
    ) {
        if !needed || snapshot.candidates.is_empty() {
            self.needed_since = None;
            return;
        }
        let since = *self.needed_since.get_or_insert(now);
        let stagger_elapsed = now >= since + DurationMs(STAGGER.0 * self.stagger_step);
        let claimed_by_other = self.row_version > RowVersion(0) && !self.row_is_own;
        let taken = claimed_by_other && now < self.row_seen_at + CLAIM_LIMIT;
        if stagger_elapsed && !taken && now >= self.retry_at {
            self.fire(now, FailoverEvent::Needed, out);
        }
    }

    /// Requests the positions of the candidates until enough have answered.
    fn survey(&mut self, now: Timestamp, snapshot: &GroupSnapshot, out: &mut Vec<FailoverEffect>) {
        if self.demoted.is_none() {
            if let Some(leaving) = &snapshot.leaving {
                self.demoted = Some((leaving.clone(), None));
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
            out.extend(
                snapshot.candidates.iter().map(|id| FailoverEffect::Order(id.clone(), order)),
            );
        }
        match self.choose_candidate(now, snapshot) {
            Some(chosen) => {
                self.chosen = Some(chosen);
                self.fire(now, FailoverEvent::Chosen, out);
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
    fn choose_candidate(&self, now: Timestamp, snapshot: &GroupSnapshot) -> Option<EndpointId> {
        let answers = snapshot.candidates.iter().filter_map(|id| {
            let status = self.statuses.get(id)?;
            (status.term >= self.row_term).then_some((status.received, id))
        });
        let answered = answers.clone().count();
        let (received, best) = answers.max_by_key(|(received, id)| (*received, (*id).clone()))?;
        let sync = usize::try_from(snapshot.sync_replicas).unwrap_or(usize::MAX);
        let needed =
            if sync == 0 { 1 } else { (snapshot.replicas + 1).saturating_sub(sync).max(1) };
        let all_answered = answered >= snapshot.candidates.len();
        let may_wait = now < self.entered_at + SURVEY_MIN_WAIT;
        if answered < needed || (!all_answered && may_wait) {
            return None;
        }
        if let Some((_, demoted)) = &self.demoted {
            let waited_enough = now >= self.entered_at + CATCH_UP_LIMIT;
            let last = demoted.as_ref().map(|status| status.received);
            if !waited_enough && last.is_none_or(|last| received < last) {
                return None;
            }
        }
        Some(best.clone())
    }

    fn await_new_primary(&mut self, now: Timestamp, out: &mut Vec<FailoverEffect>) {
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
                if self.chosen.as_ref() == Some(endpoint) && status.role == Role::Primary =>
            {
                self.row_term = self.row_term.max(status.term);
                self.fire(now, FailoverEvent::Leads, &mut out);
            }
            _ => {}
        }
        out
    }

    /// Processes the outcome of writing a claim.
    pub fn on_claimed(
        &mut self,
        now: Timestamp,
        result: Result<RowVersion, ClaimError>,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        let claiming = self.state() == FailoverState::Claiming;
        match result {
            Ok(version) => {
                self.row_version = self.row_version.max(version);
                self.row_seen_at = now;
                (self.row_unfinished, self.row_is_own) = (claiming, true);
                if claiming {
                    self.fire(now, FailoverEvent::Claimed, &mut out);
                }
            }
            Err(ClaimError::Taken(version, Some(claim)))
                if claiming && claim.holder == self.host && claim.attempt == self.attempt =>
            {
                (self.row_version, self.row_seen_at, self.row_unfinished) = (version, now, true);
                self.row_is_own = true;
                self.fire(now, FailoverEvent::Claimed, &mut out);
            }
            Err(ClaimError::Taken(version, claim)) => {
                self.on_row(now, version, claim.as_ref());
                if self.state() == FailoverState::Claiming {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            Err(ClaimError::Unknown) => {}
            Err(ClaimError::Refused) => {
                if claiming {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
        }
        out
    }

    /// Processes the platform's answer to the promotion call.
    pub fn on_promoted(&mut self, now: Timestamp, answer: PromoteAnswer) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        if self.state() != FailoverState::Promoting {
            return out;
        }
        match answer {
            PromoteAnswer::Accepted | PromoteAnswer::Unknown => {
                self.promotion_unconfirmed = answer == PromoteAnswer::Unknown;
                self.fire(now, FailoverEvent::Ordered, &mut out);
            }
            PromoteAnswer::Unavailable | PromoteAnswer::Refused => {
                self.fire(now, FailoverEvent::Failed, &mut out);
            }
        }
        out
    }

    fn fire(&mut self, now: Timestamp, event: FailoverEvent, out: &mut Vec<FailoverEffect>) {
        let step = self.machine.fire(event, |guard| match guard {});
        if !step.handled {
            return;
        }
        tracing::info!(from = ?step.from, to = ?step.to, token = %self.row_version,
            chosen = self.chosen.as_ref().map(EndpointId::as_str), "failover: state changed");
        self.entered_at = now;
        if event == FailoverEvent::Failed {
            self.retry_at = now + RETRY_DELAY;
        }
        for action in step.actions {
            self.run_action(*action, out);
        }
        if self.state() == FailoverState::Watching {
            (self.demoted, self.chosen, self.needed_since) = (None, None, None);
            self.statuses.clear();
        }
    }

    fn run_action(&mut self, action: FailoverAction, out: &mut Vec<FailoverEffect>) {
        match action {
            FailoverAction::Claim => {
                self.attempt = AttemptId(self.attempt.0.wrapping_add(1));
                out.push(FailoverEffect::Claim(self.row_version, self.new_claim(None)));
            }
            FailoverAction::Survey => {
                self.status_requested_at = Timestamp(0);
                self.statuses.clear();
            }
            FailoverAction::Promote => {
                if let Some(chosen) = &self.chosen {
                    out.push(FailoverEffect::Promote(chosen.clone(), self.row_version));
                }
            }
            FailoverAction::Resume => {
                let paused = self.statuses.keys();
                out.extend(paused.map(|id| FailoverEffect::Order(id.clone(), Order::Resume)));
            }
            FailoverAction::Finish => {
                out.push(FailoverEffect::Claim(
                    self.row_version,
                    self.new_claim(self.chosen.clone()),
                ));
            }
        }
    }

    fn new_claim(&self, leader: Option<EndpointId>) -> Claim {
        Claim { holder: self.host.clone(), attempt: self.attempt, leader, term: self.row_term }
    }
}
