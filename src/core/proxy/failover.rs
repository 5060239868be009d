//! Replacing the primary of a group: claim, survey, promote, settle.
//!
//! The claim is a row of the store that is written by compare-and-set. Its version is the fencing
//! token of the promotion: no two claims have the same one, and a later claim has a higher one, so
//! that an order that is carried out late is refused.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use super::job::{Order, StatusReport};
use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::core::group::Role;
use crate::types::{AttemptId, DurationMs, EndpointId, HostId, RowVersion, Term, Timestamp};

/// Silence of a primary after which it is replaced; longer than its slowest statement under load.
pub const SILENCE_LIMIT: DurationMs = DurationMs(1_000);
/// Time for which connections to a primary fail before it is replaced.
pub const DOWN_LIMIT: DurationMs = DurationMs(300);
/// Time after which another host may claim a group that one host has claimed, finished or not: two
/// hosts that take turns within 3 s count as two holders at once, and a promotion needs a second
/// before its effect shows everywhere.
pub const CLAIM_LIMIT: DurationMs = DurationMs(3_300);
/// Longest wait for the replicas' positions; a healthy replica answers within a few statements.
const SURVEY_LIMIT: DurationMs = DurationMs(600);
/// Time in which replicas that answered first wait for the others' positions.
const SURVEY_PATIENCE: DurationMs = DurationMs(150);
/// Longest wait for a replica to reach the final position of a leaving primary.
const CATCH_UP_LIMIT: DurationMs = DurationMs(1_500);
/// Longest wait for the new primary, counted from the accepted call; a promotion takes up to a
/// second.
const SETTLE_LIMIT: DurationMs = DurationMs(2_200);
/// Longest wait for the new primary after a call without an answer, which may never be carried
/// out; a new claim makes a late one harmless.
const UNSURE_SETTLE_LIMIT: DurationMs = DurationMs(1_400);
/// Longest wait for the outcome of a claim; after a lost answer the row itself tells.
const CLAIM_ANSWER_LIMIT: DurationMs = DurationMs(1_200);
/// Time between two questions for the status of an endpoint.
const ASK_INTERVAL: DurationMs = DurationMs(60);
/// Pause after a failed attempt.
const RETRY_AFTER: DurationMs = DurationMs(400);
/// Delay between the first tries of two hosts, so that one of them claims first.
const STAGGER: DurationMs = DurationMs(40);
/// Places among which hosts are staggered.
const STAGGER_PLACES: u64 = 8;

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
/// Every fault of the chart file.
pub fn chart() -> Result<FailoverChart, Vec<ChartError>> {
    Chart::load("charts/failover.scxml", include_str!("../../../charts/failover.scxml"))
}

static CHART: LazyLock<FailoverChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// A group's row: who replaces, or last replaced, its primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Host that claimed.
    pub holder: HostId,
    /// Tells the claims of one host apart; recognised after a lost answer.
    pub attempt: AttemptId,
    /// Endpoint that leads, once that is certain.
    pub leader: Option<EndpointId>,
    /// Term of the last finished promotion. An endpoint of a lower term has missed it, and with it
    /// the commits since; promoting it would bring rolled-back commits to life again.
    pub term: Term,
}

/// What the owner is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverEffect {
    /// Write the claim if the row has still this version.
    Claim(RowVersion, Claim),
    /// Send an order to an endpoint.
    Order(EndpointId, Order),
    /// Tell the platform to promote an endpoint under this fencing token.
    Promote(EndpointId, RowVersion),
}

/// Why a claim was not written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimFault {
    /// The row has another version and content.
    Taken(RowVersion, Option<Claim>),
    /// The store did not answer; the claim may have been written.
    Unknown,
    /// The store refused the call; nothing was written.
    Refused,
}

/// What the platform said to a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromoteAnswer {
    /// It is under way.
    Accepted,
    /// A higher token was used, or the endpoint does not run.
    Refused,
    /// Nothing was done; the call may be repeated.
    Unavailable,
    /// No answer arrived; it may be carried out later.
    Unknown,
}

/// What the group looks like to a failover.
#[derive(Debug, Clone)]
pub struct Surroundings {
    /// Endpoints that may be promoted.
    pub candidates: Vec<EndpointId>,
    /// The endpoint that leads but leaves and still answers.
    pub leaving: Option<EndpointId>,
    /// Replicas that hold a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// All replicas of the group, those that do not answer included.
    pub replicas: usize,
    /// Highest term seen.
    pub term: Term,
}

/// This host's part in replacing the primary of one group.
#[derive(Debug)]
pub struct Failover {
    host: HostId,
    place: u64,
    machine: Machine<FailoverState, FailoverEvent, NoGuard, FailoverAction>,
    row: RowVersion,
    row_seen: Timestamp,
    row_open: bool,
    row_mine: bool,
    row_term: Term,
    unsure: bool,
    needed_since: Option<Timestamp>,
    quiet_until: Timestamp,
    attempt: AttemptId,
    entered: Timestamp,
    asked: Timestamp,
    statuses: BTreeMap<EndpointId, StatusReport>,
    demoted: Option<(EndpointId, Option<StatusReport>)>,
    chosen: Option<EndpointId>,
}

impl Failover {
    /// A failover of `host`; `seed` differs between incarnations.
    pub fn new(host: HostId, seed: u64) -> Self {
        Self {
            host,
            place: seed % STAGGER_PLACES,
            machine: CHART.start(),
            row: RowVersion(0),
            row_seen: Timestamp(0),
            row_open: false,
            row_mine: false,
            row_term: Term(0),
            unsure: false,
            needed_since: None,
            quiet_until: Timestamp(0),
            attempt: AttemptId(seed),
            entered: Timestamp(0),
            asked: Timestamp(0),
            statuses: BTreeMap::new(),
            demoted: None,
            chosen: None,
        }
    }

    /// Where this host is in the procedure.
    pub fn state(&self) -> FailoverState {
        self.machine.state()
    }

    /// Endpoint that this host has told the platform to promote.
    pub fn chosen(&self) -> Option<&EndpointId> {
        self.chosen.as_ref()
    }

    /// Whether a promotion by any host is under way.
    pub fn under_way(&self, now: Timestamp) -> bool {
        let other = self.row_open && now < self.row_seen + CLAIM_LIMIT;
        other || self.state() != FailoverState::Watching
    }

    /// Takes the group's row.
    pub fn on_row(&mut self, now: Timestamp, version: RowVersion, claim: Option<&Claim>) {
        if version <= self.row {
            return;
        }
        (self.row, self.row_seen) = (version, now);
        self.row_open = claim.is_some_and(|claim| claim.leader.is_none());
        self.row_mine = claim.is_some_and(|claim| claim.holder == self.host);
        self.row_term = self.row_term.max(claim.map_or(Term(0), |claim| claim.term));
        let mine = self.row_mine && claim.is_some_and(|claim| claim.attempt == self.attempt);
        if mine && self.row_open && self.state() == FailoverState::Claiming {
            self.fire(now, FailoverEvent::Claimed, &mut Vec::new());
        }
        if !mine && self.state() != FailoverState::Watching {
            tracing::info!(token = %version, "failover: another host has claimed the group");
            self.fire(now, FailoverEvent::Failed, &mut Vec::new());
        }
    }

    /// Lets time pass. `needed` says whether the primary has to be replaced.
    pub fn tick(
        &mut self,
        now: Timestamp,
        needed: bool,
        around: &Surroundings,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        match self.state() {
            FailoverState::Watching => self.watch(now, needed, around, &mut out),
            FailoverState::Claiming => {
                if now >= self.entered + CLAIM_ANSWER_LIMIT {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            FailoverState::Surveying => self.survey(now, around, &mut out),
            FailoverState::Promoting => {
                if now >= self.entered + SETTLE_LIMIT {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            FailoverState::Settling => self.settle(now, &mut out),
        }
        out
    }

    fn watch(
        &mut self,
        now: Timestamp,
        needed: bool,
        around: &Surroundings,
        out: &mut Vec<FailoverEffect>,
    ) {
        if !needed || around.candidates.is_empty() {
            self.needed_since = None;
            return;
        }
        let since = *self.needed_since.get_or_insert(now);
        let staggered = now >= since + DurationMs(STAGGER.0 * self.place);
        let claimed = self.row > RowVersion(0) && !self.row_mine;
        let taken = claimed && now < self.row_seen + CLAIM_LIMIT;
        if staggered && !taken && now >= self.quiet_until {
            self.fire(now, FailoverEvent::Needed, out);
        }
    }

    /// Asks the candidates for their positions until enough have answered.
    fn survey(&mut self, now: Timestamp, around: &Surroundings, out: &mut Vec<FailoverEffect>) {
        if self.demoted.is_none() {
            if let Some(leaving) = &around.leaving {
                self.demoted = Some((leaving.clone(), None));
                out.push(FailoverEffect::Order(leaving.clone(), Order::Demote(around.term.next())));
            }
        }
        if now >= self.asked + ASK_INTERVAL {
            self.asked = now;
            let order = match around.sync_replicas {
                0 => Order::Status,
                _ => Order::Pause(around.term.next()),
            };
            out.extend(around.candidates.iter().map(|id| FailoverEffect::Order(id.clone(), order)));
        }
        match self.choice(now, around) {
            Some(chosen) => {
                self.chosen = Some(chosen);
                self.fire(now, FailoverEvent::Chosen, out);
            }
            None => {
                let limit = if self.demoted.is_some() { CATCH_UP_LIMIT } else { SURVEY_LIMIT };
                if now >= self.entered + limit + CATCH_UP_LIMIT {
                    self.fire(now, FailoverEvent::Failed, out);
                }
            }
        }
    }

    /// The candidate with the highest position, once the answers suffice: every commit that was
    /// acknowledged after a replica had received it is on one of the answering replicas, and a
    /// leaving primary's last position has arrived.
    fn choice(&self, now: Timestamp, around: &Surroundings) -> Option<EndpointId> {
        let answers = around.candidates.iter().filter_map(|id| {
            let status = self.statuses.get(id)?;
            (status.term >= self.row_term).then_some((status.received, id))
        });
        let count = answers.clone().count();
        let (received, best) = answers.max_by_key(|(received, id)| (*received, (*id).clone()))?;
        let sync = usize::try_from(around.sync_replicas).unwrap_or(usize::MAX);
        let needed = if sync == 0 { 1 } else { (around.replicas + 1).saturating_sub(sync).max(1) };
        let all = count >= around.candidates.len();
        let patient = now < self.entered + SURVEY_PATIENCE;
        if count < needed || (!all && patient) {
            return None;
        }
        if let Some((_, demoted)) = &self.demoted {
            let waited = now >= self.entered + CATCH_UP_LIMIT;
            let last = demoted.as_ref().map(|status| status.received);
            if !waited && last.is_none_or(|last| received < last) {
                return None;
            }
        }
        Some(best.clone())
    }

    fn settle(&mut self, now: Timestamp, out: &mut Vec<FailoverEffect>) {
        let Some(chosen) = self.chosen.clone() else { return };
        if now >= self.asked + ASK_INTERVAL {
            self.asked = now;
            out.push(FailoverEffect::Order(chosen, Order::Status));
        }
        let limit = if self.unsure { UNSURE_SETTLE_LIMIT } else { SETTLE_LIMIT };
        if now >= self.entered + limit {
            self.fire(now, FailoverEvent::Failed, out);
        }
    }

    /// Takes the status of an endpoint.
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

    /// Takes the outcome of writing the claim.
    pub fn on_claimed(
        &mut self,
        now: Timestamp,
        result: Result<RowVersion, ClaimFault>,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        let claiming = self.state() == FailoverState::Claiming;
        match result {
            Ok(version) => {
                self.row = self.row.max(version);
                self.row_seen = now;
                (self.row_open, self.row_mine) = (claiming, true);
                if claiming {
                    self.fire(now, FailoverEvent::Claimed, &mut out);
                }
            }
            Err(ClaimFault::Taken(version, Some(claim)))
                if claiming && claim.holder == self.host && claim.attempt == self.attempt =>
            {
                (self.row, self.row_seen, self.row_open) = (version, now, true);
                self.row_mine = true;
                self.fire(now, FailoverEvent::Claimed, &mut out);
            }
            Err(ClaimFault::Taken(version, claim)) => {
                self.on_row(now, version, claim.as_ref());
                if self.state() == FailoverState::Claiming {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            Err(ClaimFault::Unknown) => {}
            Err(ClaimFault::Refused) => {
                if claiming {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
        }
        out
    }

    /// Takes the platform's answer to the promotion.
    pub fn on_promoted(&mut self, now: Timestamp, answer: PromoteAnswer) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        if self.state() != FailoverState::Promoting {
            return out;
        }
        match answer {
            PromoteAnswer::Accepted | PromoteAnswer::Unknown => {
                self.unsure = answer == PromoteAnswer::Unknown;
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
        tracing::info!(from = ?step.from, to = ?step.to, token = %self.row,
            chosen = self.chosen.as_ref().map(EndpointId::as_str), "failover: step");
        self.entered = now;
        if event == FailoverEvent::Failed {
            self.quiet_until = now + RETRY_AFTER;
        }
        for action in step.actions {
            self.act(*action, out);
        }
        if self.state() == FailoverState::Watching {
            (self.demoted, self.chosen, self.needed_since) = (None, None, None);
            self.statuses.clear();
        }
    }

    fn act(&mut self, action: FailoverAction, out: &mut Vec<FailoverEffect>) {
        match action {
            FailoverAction::Claim => {
                self.attempt = AttemptId(self.attempt.0.wrapping_add(1));
                out.push(FailoverEffect::Claim(self.row, self.claim(None)));
            }
            FailoverAction::Survey => {
                self.asked = Timestamp(0);
                self.statuses.clear();
            }
            FailoverAction::Promote => {
                if let Some(chosen) = &self.chosen {
                    out.push(FailoverEffect::Promote(chosen.clone(), self.row));
                }
            }
            FailoverAction::Resume => {
                let paused = self.statuses.keys();
                out.extend(paused.map(|id| FailoverEffect::Order(id.clone(), Order::Resume)));
            }
            FailoverAction::Finish => {
                out.push(FailoverEffect::Claim(self.row, self.claim(self.chosen.clone())));
            }
        }
    }

    fn claim(&self, leader: Option<EndpointId>) -> Claim {
        Claim { holder: self.host.clone(), attempt: self.attempt, leader, term: self.row_term }
    }
}
