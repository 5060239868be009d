//! One host's view of a database group: statuses, confirmed positions, freshness anchors, and the
//! endpoints that may serve a request.

mod anchor;
mod eligible;
mod lineage;
mod probe;
mod status;

use std::collections::BTreeMap;

pub use crate::tables::Freshness;
pub use anchor::Anchor;
pub use eligible::{Eligible, Floor, UnservedReason, WaitFor};
pub use lineage::Durability;
pub use probe::{
    DEMAND_DURATION, DEMAND_PROBE_INTERVAL, IDLE_PROBE_INTERVAL, PROBE_ALL_AFTER_SILENCE,
    QUIET_PRIMARY_PROBE_INTERVAL,
};
pub use status::{EndpointStatus, Role, StatusError};

use anchor::Anchors;
use lineage::Lineage;
use probe::ProbeTimes;

use crate::core::promotion::{GroupRecord, Phase};
use crate::types::{DurationMs, EndpointId, FailureDomain, GroupId, Position, Term, Timestamp};

/// An endpoint of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberSpec {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomain,
}

#[derive(Debug, Clone)]
struct Member {
    failure_domain: FailureDomain,
    status: Option<EndpointStatus>,
    heard_at: Option<Timestamp>,
    highest_term: Term,
}

/// The endpoint that was last known as primary, and its progress.
#[derive(Debug, Clone)]
struct LastPrimary {
    endpoint: EndpointId,
    term: Term,
    heard_at: Timestamp,
    confirmed: Position,
    has_unconfirmed: bool,
    progressed_at: Timestamp,
}

/// What one host knows about a group.
#[derive(Debug, Clone)]
pub struct GroupView {
    group: GroupId,
    host_domain: Option<FailureDomain>,
    members: BTreeMap<EndpointId, Member>,
    record: Option<GroupRecord>,
    term: Term,
    last_primary: Option<LastPrimary>,
    first_event_at: Option<Timestamp>,
    fenced_off_since: Option<Timestamp>,
    lineage: Lineage,
    anchors: Anchors,
    probe_times: ProbeTimes,
}

impl GroupView {
    /// Creates a view without any status or record.
    pub fn new(group: GroupId, members: Vec<MemberSpec>) -> Self {
        let member = |spec: MemberSpec| {
            let failure_domain = spec.failure_domain;
            let (status, heard_at, highest_term) = (None, None, Term(0));
            (spec.endpoint, Member { failure_domain, status, heard_at, highest_term })
        };
        Self {
            group,
            host_domain: None,
            members: members.into_iter().map(member).collect(),
            record: None,
            term: Term(0),
            last_primary: None,
            first_event_at: None,
            fenced_off_since: None,
            lineage: Lineage::default(),
            anchors: Anchors::default(),
            probe_times: ProbeTimes::default(),
        }
    }

    /// Sets the failure domain of the host. Replicas in it are preferred.
    pub fn with_host_domain(mut self, host_domain: FailureDomain) -> Self {
        self.host_domain = Some(host_domain);
        self
    }

    /// Handles a status. `probe_sent` is the send time of the probe that it answers, if any. A
    /// status with a lower term than an earlier status of this endpoint is outdated and ignored.
    pub fn on_status(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        status: EndpointStatus,
        probe_sent: Option<Timestamp>,
    ) {
        self.first_event_at.get_or_insert(now);
        let majority = self.majority();
        let Some(member) = self.members.get_mut(endpoint) else { return };
        if status.term < member.highest_term {
            return;
        }
        member.highest_term = status.term;
        member.status = Some(status);
        member.heard_at = Some(now);
        self.term = self.term.max(status.term);
        if status.role == Role::Primary {
            self.lineage.on_confirmed(status.term, status.confirmed);
            self.on_primary_status(now, endpoint, &status);
        }
        if let Some(sent) = probe_sent {
            self.anchors.on_answer(sent, endpoint, &status, majority);
        }
        self.update_fenced_off_since(now);
    }

    /// Handles a connection that the endpoint closed or that broke. The endpoint's status is
    /// unknown until it reports again. The caller must not pass on a status from a connection
    /// opened before the loss, because an endpoint closes its connections before it rewinds its log
    /// or restarts.
    pub fn on_lost(&mut self, now: Timestamp, endpoint: &EndpointId) {
        self.first_event_at.get_or_insert(now);
        if let Some(member) = self.members.get_mut(endpoint) {
            member.status = None;
        }
        self.update_fenced_off_since(now);
    }

    /// Handles the group's record from the platform or a peer. A record of a lower term, or of an
    /// earlier phase of the same term, is outdated and ignored.
    pub fn on_record(&mut self, now: Timestamp, record: &GroupRecord) {
        self.first_event_at.get_or_insert(now);
        let key = |record: &GroupRecord| (record.term, record.phase);
        if self.record.as_ref().is_some_and(|known| key(known) >= key(record)) {
            return;
        }
        self.record = Some(record.clone());
        if record.phase == Phase::Promoted {
            self.lineage.on_start(record.term, record.start);
            self.term = self.term.max(record.term);
            if let Some(primary) = &record.primary {
                self.set_last_primary(now, primary, record.term, Position::default());
            }
            self.update_fenced_off_since(now);
        }
    }

    /// Id of the group.
    pub fn group(&self) -> &GroupId {
        &self.group
    }

    /// The endpoint that reports itself as primary at the highest known term and is not fenced to a
    /// higher one.
    pub fn primary(&self) -> Option<&EndpointId> {
        let leads = |status: &EndpointStatus| {
            status.role == Role::Primary && status.term == self.term && !status.is_fenced_off()
        };
        let mut members = self.members.iter();
        members.find(|(_, member)| member.status.as_ref().is_some_and(leads)).map(|(id, _)| id)
    }

    /// Highest known term for which a primary was promoted.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Latest record, from the platform or a peer.
    pub fn record(&self) -> Option<&GroupRecord> {
        self.record.as_ref()
    }

    /// Latest status of an endpoint since its last lost connection.
    pub fn status(&self, endpoint: &EndpointId) -> Option<&EndpointStatus> {
        self.members.get(endpoint)?.status.as_ref()
    }

    /// Endpoints of the group in the order of their ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.members.keys()
    }

    /// Highest position known to survive every failover.
    pub fn confirmed(&self) -> Position {
        self.lineage.confirmed()
    }

    /// What is known about the future of a write at `position`.
    pub fn durability(&self, position: Position) -> Durability {
        self.lineage.durability(position, self.term)
    }

    /// Whether the answer of a read that the primary served outside a transaction may be sent to
    /// the caller. `position` is the primary's position when it answered: the answer may show
    /// entries up to it. [`Durability::Lost`] means that the read has to be repeated.
    pub fn read_release(&self, position: Position) -> Durability {
        self.durability(position)
    }

    /// Whether the start position of the present term is known.
    pub fn knows_start(&self) -> bool {
        self.lineage.knows_start(self.term)
    }

    /// The latest freshness anchor.
    pub fn anchor(&self) -> Option<&Anchor> {
        self.anchors.latest()
    }

    /// Number of endpoints that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Number of endpoints that sent a status after `since`.
    pub fn answering_since(&self, since: Timestamp) -> usize {
        let heard_since = |member: &&Member| member.heard_at.is_some_and(|at| at > since);
        self.members.values().filter(heard_since).count()
    }

    /// The endpoint last known as primary, whether or not it still reports so.
    pub fn last_primary(&self) -> Option<&EndpointId> {
        self.last_primary.as_ref().map(|last| &last.endpoint)
    }

    /// When the group last had a primary: the time of the last status of an endpoint that reported
    /// itself as primary at the highest known term. Before that, the time of the record that named
    /// the primary, or of the first event.
    pub fn primary_heard_at(&self) -> Option<Timestamp> {
        self.last_primary.as_ref().map(|last| last.heard_at).or(self.first_event_at)
    }

    /// Time since [`GroupView::primary_heard_at`].
    pub fn primary_silence(&self, now: Timestamp) -> DurationMs {
        self.primary_heard_at().map_or(DurationMs(0), |at| now.ms_since(at))
    }

    /// Since when the primary has had entries to confirm without confirming any; `None` if it has
    /// none. Only this reveals a primary that reaches the hosts but not its replicas.
    pub fn stalled_since(&self) -> Option<Timestamp> {
        let last_primary = self.last_primary.as_ref()?;
        let status = self.status(self.primary()?)?;
        (status.position > status.confirmed).then_some(last_primary.progressed_at)
    }

    /// Since when some endpoint has been fenced to a term above [`GroupView::term`].
    pub fn fenced_off_since(&self) -> Option<Timestamp> {
        self.fenced_off_since
    }

    /// Highest term to which an endpoint is known to be fenced.
    pub fn highest_fence(&self) -> Term {
        let fences = self.members.values().filter_map(|member| member.status);
        fences.map(|status| status.fenced_term).max().unwrap_or_default()
    }

    /// Number of endpoints whose status satisfies `wanted`.
    pub fn count(&self, wanted: impl Fn(&EndpointStatus) -> bool) -> usize {
        let statuses = self.members.values().filter_map(|member| member.status.as_ref());
        statuses.filter(|status| wanted(status)).count()
    }

    fn connected_count(&self) -> usize {
        self.count(|_| true)
    }

    fn on_primary_status(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        status: &EndpointStatus,
    ) {
        if status.term < self.term || status.is_fenced_off() {
            return;
        }
        self.set_last_primary(now, endpoint, status.term, status.confirmed);
        if let Some(last_primary) = &mut self.last_primary {
            last_primary.heard_at = now;
            if status.confirmed > last_primary.confirmed || !last_primary.has_unconfirmed {
                last_primary.confirmed = status.confirmed;
                last_primary.progressed_at = now;
            }
            last_primary.has_unconfirmed = status.position > status.confirmed;
        }
    }

    fn set_last_primary(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        term: Term,
        confirmed: Position,
    ) {
        if self.last_primary.as_ref().is_some_and(|last| last.term >= term) {
            return;
        }
        let endpoint = id.clone();
        let (heard_at, progressed_at, has_unconfirmed) = (now, now, false);
        self.last_primary = Some(LastPrimary {
            endpoint,
            term,
            heard_at,
            confirmed,
            has_unconfirmed,
            progressed_at,
        });
    }

    fn update_fenced_off_since(&mut self, now: Timestamp) {
        if self.highest_fence() <= self.term {
            self.fenced_off_since = None;
        } else {
            self.fenced_off_since.get_or_insert(now);
        }
    }
}
