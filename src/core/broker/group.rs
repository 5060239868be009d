//! What the broker holds for one database group.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Broker, ConnectionState, OrderKind};
use crate::core::group::{GroupView, MemberSpec};
use crate::core::promotion::Promotion;
use crate::core::queue::{FairQueue, QueueBounds};
use crate::types::{
    ConnectionId, DurationMs, EndpointId, FailureDomain, GroupId, RequestId, Term, Timestamp,
};

/// First delay before a failed connect is repeated.
pub(super) const RECONNECT_MIN: DurationMs = DurationMs(100);
/// Longest delay before a failed connect is repeated.
pub(super) const RECONNECT_MAX: DurationMs = DurationMs(2_000);

/// An endpoint as the pools table describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Connections that it accepts from all hosts together.
    pub connections: u64,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// A group as the pools table describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSpec {
    /// The group.
    pub group: GroupId,
    /// Its endpoints.
    pub endpoints: Vec<EndpointSpec>,
}

/// One endpoint and this host's connections to it.
#[derive(Debug)]
pub struct EndpointSlot {
    /// Row of the pools table.
    pub spec: EndpointSpec,
    /// Connections, those that are still connecting included.
    pub connections: BTreeSet<ConnectionId>,
    /// How many of them are still connecting.
    pub connecting: usize,
    /// Times that the endpoint's connections were lost.
    pub epoch: u64,
    /// No connect before this time.
    pub connect_after: Timestamp,
    /// Delay after the next failed connect.
    pub backoff: DurationMs,
    /// When it last sent anything.
    pub heard: Timestamp,
    /// When it was asked for something, if it has sent nothing since.
    pub asked: Option<Timestamp>,
}

/// State of one group.
pub struct GroupState {
    /// Statuses, anchors and durability.
    pub view: GroupView,
    /// This host's part in promotions.
    pub promotion: Promotion,
    /// Endpoints by id.
    pub endpoints: BTreeMap<EndpointId, EndpointSlot>,
    pub(super) reads: FairQueue<RequestId>,
    pub(super) writes: FairQueue<RequestId>,
    /// Reads that were taken out of the queue and wait for an anchor, a position or a replica.
    pub(super) parked: Vec<RequestId>,
    pub(super) confirming: Vec<RequestId>,
    pub(super) orders: VecDeque<(EndpointId, OrderKind)>,
    /// Highest term up to which connections to old primaries were dropped.
    pub(super) settled_term: Term,
    pub(super) submitted: u64,
    pub(super) retried: u64,
}

impl GroupState {
    fn new(spec: &GroupSpec, broker: &mut Broker) -> Self {
        let member = |spec: &EndpointSpec| MemberSpec {
            endpoint: spec.endpoint.clone(),
            failure_domain: spec.failure_domain.clone(),
        };
        let members = spec.endpoints.iter().map(member).collect();
        let home = broker.settings.home.clone();
        let rng = ChaCha8Rng::from_rng(&mut broker.rng);
        Self {
            view: GroupView::new(spec.group.clone(), members).with_host_domain(home),
            promotion: Promotion::new(broker.settings.host.clone(), rng),
            endpoints: BTreeMap::new(),
            reads: FairQueue::new(QueueBounds::default()),
            writes: FairQueue::new(QueueBounds::default()),
            parked: Vec::new(),
            confirming: Vec::new(),
            orders: VecDeque::new(),
            settled_term: Term(0),
            submitted: 0,
            retried: 0,
        }
    }

    pub(super) fn queue_mut(&mut self, read: bool) -> &mut FairQueue<RequestId> {
        if read {
            &mut self.reads
        } else {
            &mut self.writes
        }
    }

    /// Whether an answer of `endpoint` shows only entries that a majority holds, because the
    /// endpoint is a replica and forms a majority together with the primary.
    pub(super) fn releases_at_once(&self, endpoint: &EndpointId) -> bool {
        self.view.majority() <= 2 && self.view.primary() != Some(endpoint)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.reads.len() + self.writes.len() + self.parked.len()
    }
}

impl Broker {
    /// Adopts the groups of a table version. A group whose members changed starts with a new view;
    /// connections to endpoints that are gone, or have another address, close when they are free.
    pub fn set_groups(&mut self, now: Timestamp, specs: &[GroupSpec]) {
        let gone: Vec<GroupId> = self
            .groups
            .keys()
            .filter(|group| !specs.iter().any(|spec| spec.group == **group))
            .cloned()
            .collect();
        for group in gone {
            self.drop_group(now, &group);
        }
        for spec in specs {
            self.set_group(now, spec);
        }
    }

    fn set_group(&mut self, now: Timestamp, spec: &GroupSpec) {
        let known = self.groups.get(&spec.group);
        let members = |group: &GroupState| -> Vec<(EndpointId, SocketAddr)> {
            let slots = group.endpoints.iter();
            slots.map(|(id, slot)| (id.clone(), slot.spec.address)).collect()
        };
        let mut wanted: Vec<_> =
            spec.endpoints.iter().map(|end| (end.endpoint.clone(), end.address)).collect();
        wanted.sort();
        let same = known.is_some_and(|group| members(group) == wanted);
        if !same {
            if known.is_some() {
                self.drop_group(now, &spec.group);
            }
            let state = GroupState::new(spec, self);
            self.groups.insert(spec.group.clone(), state);
        }
        let Some(group) = self.groups.get_mut(&spec.group) else { return };
        for endpoint in &spec.endpoints {
            let fresh = || EndpointSlot {
                spec: endpoint.clone(),
                connections: BTreeSet::new(),
                connecting: 0,
                epoch: 0,
                connect_after: now,
                backoff: RECONNECT_MIN,
                heard: now,
                asked: None,
            };
            let slot = group.endpoints.entry(endpoint.endpoint.clone()).or_insert_with(fresh);
            slot.spec = endpoint.clone();
        }
    }

    fn drop_group(&mut self, now: Timestamp, group_id: &GroupId) {
        let requests: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.group == *group_id && request.is_queued())
            .map(|(id, _)| *id)
            .collect();
        for id in requests {
            let kind = crate::error::ErrorKind::NoEndpoint;
            self.refuse_kind(now, id, kind, "the pool was changed by an edit of the tables");
        }
        let free: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.group == *group_id)
            .filter(|(_, connection)| {
                connection.is_free() || connection.state == ConnectionState::Connecting
            })
            .map(|(id, _)| *id)
            .collect();
        for id in free {
            self.close_connection(id);
        }
        self.groups.remove(group_id);
    }
}
