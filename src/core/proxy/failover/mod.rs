//! Failover of a group: claims the group, compares the replicas, has one promoted and waits until
//! it is the primary.
//!
//! A claim is written to the group's row in the store by compare-and-set. The version of the row is
//! the fencing token of the promotion: each claim has its own, and a later claim has a higher one,
//! so that a promotion that is carried out late is refused.
//!
//! A platform that does not check tokens carries such a promotion out. There the failover waits for
//! the end of the other hosts' leases and names the chosen endpoint in the row before it asks for
//! the promotion; later failovers promote no other endpoint while that promotion may be under way.

mod claim;
mod row;
mod survey;

use std::collections::{BTreeMap, VecDeque};
use std::sync::LazyLock;

pub use claim::{Claim, ClaimError};

use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::core::proxy::job::{Order, StatusReport};
use crate::core::proxy::lease::{Confirmations, Evidence, LeadProof};
use crate::types::{AttemptId, DurationMs, EndpointId, HostId, RowVersion, Term, Timestamp};

/// Time without an answer after which the primary is replaced; longer than its slowest statement
/// under load.
pub const SILENCE_LIMIT: DurationMs = DurationMs(1_000);
/// The same where a failover has to wait for leases anyway. A primary that answers in that time
/// stays, and its group is without one for a few tens of milliseconds only.
pub const LEASED_SILENCE_LIMIT: DurationMs = DurationMs(600);
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
/// Time after its claim was sent within which a host asks for the promotion. Another host may claim
/// [`CLAIM_LIMIT`] after it has read the claim, and the call itself takes up to a second.
const PROMOTION_WINDOW: DurationMs = DurationMs(2_200);
/// Time within which an accepted promotion takes effect.
const PROMOTION_LIMIT: DurationMs = DurationMs(1_500);
/// Time for which a promotion without an answer may still be carried out.
const LATE_PROMOTION_LIMIT: DurationMs = DurationMs(8_000);
/// Time between two attempts to write the new primary to the row.
const FINISH_INTERVAL: DurationMs = DurationMs(300);
/// Time between two attempts to write the row again that a restore of the store has lost.
const REWRITE_INTERVAL: DurationMs = DurationMs(700);
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
        Recording = "recording", Promoting = "promoting", Settling = "settling",
        Finishing = "finishing",
    }
    /// Events of a failover.
    pub enum FailoverEvent {
        Needed = "needed", Claimed = "claimed", Chosen = "chosen", Unrecorded = "unrecorded",
        Recorded = "recorded", Stayed = "stayed", Ordered = "ordered", Leads = "leads", Finished = "finished",
        Failed = "failed",
    }
    /// Actions of a failover.
    pub enum FailoverAction {
        Claim = "claim", Survey = "survey", Record = "record", Promote = "promote",
        Resume = "resume", Finish = "finish",
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
    Chart::load("charts/failover.scxml", include_str!("../../../../charts/failover.scxml"))
}

static CHART: LazyLock<FailoverChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

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
    /// Evacuated endpoints that go on running. They are not promoted, but tell how far the log goes.
    pub evacuated: Vec<EndpointId>,
    /// The primary, if it is healthy and stays.
    pub staying: Option<EndpointId>,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Number of all replicas of the group, including those that do not answer.
    pub replicas: usize,
    /// Highest term seen in the group.
    pub term: Term,
}

/// Which endpoints the group's row allows to be the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Lead {
    /// Any, because no promotion was ever requested.
    Any,
    /// The one that the last failover has confirmed.
    Only(EndpointId),
    /// Unknown, because a failover is in progress or the row cannot be read.
    Unknown,
}

impl Lead {
    fn admits(&self, endpoint: &EndpointId) -> bool {
        match self {
            Lead::Any => true,
            Lead::Only(leader) => leader == endpoint,
            Lead::Unknown => false,
        }
    }
}

/// Consecutive claims of which none has been completed.
#[derive(Debug)]
struct OpenClaim {
    /// Version of the first one.
    first_version: RowVersion,
    /// When the first one became known.
    since: Timestamp,
    /// Primary before it, and until when it was the only one: shortly after the claim became known,
    /// and not beyond the lease, because failovers may have been completed in between.
    former: Lead,
    former_until: Timestamp,
    /// Endpoint whose promotion may be under way, and when that became known.
    pledged: Option<(EndpointId, Timestamp)>,
}

/// Failover of one group as this host runs it.
#[derive(Debug)]
pub struct Failover {
    host: HostId,
    proof: LeadProof,
    /// Number of [`STAGGER`] delays that this host waits before its first attempt.
    stagger_step: u64,
    machine: Machine<FailoverState, FailoverEvent, NoGuard, FailoverAction>,
    /// Highest known version of the group's row.
    row_version: RowVersion,
    /// When this version was first seen.
    row_seen_at: Timestamp,
    /// Whether the row was looked up, so that version 0 means that it does not exist.
    is_row_read: bool,
    /// Content of this version, if it can be read, or the newer one that a restore has lost.
    row: Option<Claim>,
    /// Whether a restore of the store has lost this content.
    is_row_lost: bool,
    /// Earliest time at which this host writes it again.
    rewrite_at: Timestamp,
    /// The claims without a confirmed primary that the row ends with.
    open_claim: Option<OpenClaim>,
    /// Hosts that have confirmed this host's claim.
    confirmations: Confirmations,
    /// Contents of the writes that await their answers, oldest first.
    written: VecDeque<Claim>,
    /// When this host last wrote to the row.
    written_at: Timestamp,
    /// When this host sent its claim.
    claim_sent_at: Timestamp,
    /// Highest known term of a completed promotion.
    row_term: Term,
    /// Whether the promotion call got no answer.
    promotion_unconfirmed: bool,
    needed_since: Option<Timestamp>,
    /// When a failover was last needed while this host was cut off.
    cut_off_at: Timestamp,
    /// Earliest time of the next attempt.
    retry_at: Timestamp,
    attempt: AttemptId,
    /// When the current state was entered.
    entered_at: Timestamp,
    status_requested_at: Timestamp,
    statuses: BTreeMap<EndpointId, StatusReport>,
    /// The leaving primary that was ordered to become a replica, and its status after that.
    demoted: Option<(EndpointId, Option<StatusReport>)>,
    /// Whether that primary goes on running, so that a new one needs all of its log.
    keeps_demoted: bool,
    chosen: Option<EndpointId>,
}

impl Failover {
    /// Creates the failover of a group on `host`. `seed` must differ between incarnations.
    pub fn new(host: HostId, proof: LeadProof, seed: u64) -> Self {
        Self {
            host,
            proof,
            stagger_step: seed % STAGGER_STEPS,
            machine: CHART.start(),
            row_version: RowVersion(0),
            row_seen_at: Timestamp(0),
            is_row_read: false,
            row: None,
            is_row_lost: false,
            rewrite_at: Timestamp(0),
            open_claim: None,
            confirmations: Confirmations::default(),
            written: VecDeque::new(),
            written_at: Timestamp(0),
            claim_sent_at: Timestamp(0),
            row_term: Term(0),
            promotion_unconfirmed: false,
            needed_since: None,
            cut_off_at: Timestamp(0),
            retry_at: Timestamp(0),
            attempt: AttemptId(seed),
            entered_at: Timestamp(0),
            status_requested_at: Timestamp(0),
            statuses: BTreeMap::new(),
            demoted: None,
            keeps_demoted: false,
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
        let other_host = self.open_claim.is_some() && now < self.row_seen_at + CLAIM_LIMIT;
        other_host || self.state() != FailoverState::Watching
    }

    /// Whether the group's row allows an endpoint to be used as the primary now.
    pub fn allows(&self, endpoint: &EndpointId) -> bool {
        match self.proof {
            LeadProof::Transaction => true,
            LeadProof::Lease => self.lead().admits(endpoint),
        }
    }

    /// Whether an endpoint that acted as the primary of `term` at the time `at` was the only one that
    /// did.
    pub fn allowed_at(&self, at: Timestamp, endpoint: &EndpointId, term: Term) -> bool {
        match (self.proof, &self.open_claim) {
            (LeadProof::Transaction, _) => true,
            // In an older term it was replaced, and has been promoted again since.
            (LeadProof::Lease, None) => self.lead().admits(endpoint) && term >= self.row_term,
            (LeadProof::Lease, Some(open)) => {
                at <= open.former_until && open.former.admits(endpoint)
            }
        }
    }

    /// Whether the row excludes an endpoint from being the primary, whatever the endpoint says.
    pub fn excludes(&self, endpoint: &EndpointId) -> bool {
        self.proof == LeadProof::Lease
            && matches!(self.lead(), Lead::Only(leader) if leader != *endpoint)
    }

    fn lead(&self) -> Lead {
        match &self.row {
            Some(Claim { leader: Some(leader), .. }) => Lead::Only(leader.clone()),
            None if self.row_version.is_absent() && self.is_row_read => Lead::Any,
            _ => Lead::Unknown,
        }
    }

    /// The newest known version of the group's row, and its content.
    pub fn row(&self) -> (RowVersion, Option<&Claim>) {
        (self.row_version, self.row.as_ref())
    }

    /// Runs the timed steps of the current state. `needed` says whether the primary must be
    /// replaced.
    pub fn tick(
        &mut self,
        now: Timestamp,
        needed: bool,
        snapshot: &GroupSnapshot,
        evidence: &Evidence,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        let needed = needed || self.is_abandoned(now);
        match self.state() {
            FailoverState::Watching => {
                self.rewrite_lost_row(now, &mut out);
                self.start_if_needed(now, needed, snapshot, evidence, &mut out);
            }
            FailoverState::Claiming | FailoverState::Recording => {
                if now >= self.entered_at + CLAIM_ANSWER_LIMIT {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            FailoverState::Surveying => self.survey(now, snapshot, evidence, &mut out),
            FailoverState::Promoting => {
                if now >= self.entered_at + SETTLE_LIMIT {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            FailoverState::Settling => self.await_new_primary(now, &mut out),
            FailoverState::Finishing => {
                if now >= self.entered_at + SETTLE_LIMIT {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                } else if now >= self.written_at + FINISH_INTERVAL && self.written.is_empty() {
                    self.write(now, self.chosen.clone(), &mut out);
                }
            }
        }
        out
    }

    /// Processes the outcome of writing a claim. `lease_end` is the end of this host's lease.
    pub fn on_claimed(
        &mut self,
        now: Timestamp,
        lease_end: Timestamp,
        result: Result<RowVersion, ClaimError>,
    ) -> Vec<FailoverEffect> {
        let mut out = Vec::new();
        let written = self.written.pop_front();
        match result {
            Ok(version) => {
                if version > self.row_version {
                    self.set_row(now, lease_end, version, written);
                }
                if self.row.as_ref().is_some_and(|row| self.is_attempt(row)) {
                    self.on_own_row(now, &mut out);
                }
            }
            Err(ClaimError::Taken(version, claim)) => {
                out.extend(self.on_row(now, lease_end, version, claim.as_ref()));
                if matches!(self.state(), FailoverState::Claiming | FailoverState::Recording) {
                    self.fire(now, FailoverEvent::Failed, &mut out);
                }
            }
            Err(ClaimError::Unknown) => {}
            Err(ClaimError::Refused) => {
                if matches!(self.state(), FailoverState::Claiming | FailoverState::Recording) {
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
                if let Some(open) = &mut self.open_claim {
                    open.pledged = None;
                }
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
            self.run_action(now, *action, out);
        }
        if self.state() == FailoverState::Watching {
            (self.chosen, self.needed_since) = (None, None);
            if event != FailoverEvent::Failed || !self.keeps_demoted {
                self.demoted = None;
            }
            self.statuses.clear();
        }
    }

    fn run_action(
        &mut self,
        now: Timestamp,
        action: FailoverAction,
        out: &mut Vec<FailoverEffect>,
    ) {
        match action {
            FailoverAction::Claim => {
                self.attempt = AttemptId(self.attempt.0.wrapping_add(1));
                self.claim_sent_at = now;
                self.write(now, None, out);
            }
            FailoverAction::Survey => {
                self.status_requested_at = Timestamp(0);
                self.statuses.clear();
            }
            FailoverAction::Record => self.write(now, None, out),
            FailoverAction::Promote => {
                if let Some(chosen) = &self.chosen {
                    out.push(FailoverEffect::Promote(chosen.clone(), self.row_version));
                }
            }
            FailoverAction::Resume => {
                let paused = self.statuses.keys();
                out.extend(paused.map(|id| FailoverEffect::Order(id.clone(), Order::Resume)));
            }
            FailoverAction::Finish => self.write(now, self.chosen.clone(), out),
        }
    }

    /// Writes this host's claim, with the new primary if it is confirmed.
    fn write(&mut self, now: Timestamp, leader: Option<EndpointId>, out: &mut Vec<FailoverEffect>) {
        let pledged = self.open_claim.as_ref().and_then(|open| open.pledged.clone());
        let chosen = self.chosen.clone().or(pledged.map(|(endpoint, _)| endpoint));
        let claim = Claim {
            holder: self.host.clone(),
            attempt: self.attempt,
            chosen: chosen.filter(|_| leader.is_none() && self.proof == LeadProof::Lease),
            leader,
            term: self.row_term,
        };
        self.written.push_back(claim.clone());
        self.written_at = now;
        out.push(FailoverEffect::Claim(self.row_version, claim));
    }
}
