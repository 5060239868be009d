//! The broker's state of one database group: endpoints, queues and pending promotion orders.

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

/// Initial delay before a failed connect is retried; doubles with each failure.
pub(super) const RECONNECT_MIN: DurationMs = DurationMs(100);
/// Maximum delay before a failed connect is retried.
pub(super) const RECONNECT_MAX: DurationMs = DurationMs(2_000);

/// An endpoint as the pools table describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Connections that the endpoint accepts in total, from all hosts.
    pub connections: u64,
    /// Whether it is being removed and gets no new requests.
    pub leaving: bool,
}

/// A group as the pools table describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSpec {
    /// Id of the group.
    pub group: GroupId,
    /// Its endpoints.
    pub endpoints: Vec<EndpointSpec>,
}

/// One endpoint and this host's connections to it.
#[derive(Debug)]
pub struct EndpointSlot {
    /// Its entry in the pools table.
    pub spec: EndpointSpec,
    /// Connections of this host, including those still connecting.
    pub connections: BTreeSet<ConnectionId>,
    /// Number of connections still connecting.
    pub connecting: usize,
    /// Number of established connections that were lost.
    pub epoch: u64,
    /// Earliest time of the next connect.
    pub connect_after: Timestamp,
    /// Delay to apply after the next failed connect.
    pub backoff: DurationMs,
    /// When the endpoint last sent anything.
    pub last_heard: Timestamp,
    /// Send time of the oldest connect, probe or order since which the endpoint has sent nothing.
    pub awaiting_since: Option<Timestamp>,
}

/// State of one database group.
pub struct GroupState {
    /// Endpoint statuses, freshness anchors and durability of positions.
    pub view: GroupView,
    /// This host's part in promotions.
    pub promotion: Promotion,
    /// Endpoints by id.
    pub endpoints: BTreeMap<EndpointId, EndpointSlot>,
    pub(super) reads: FairQueue<RequestId>,
    pub(super) writes: FairQueue<RequestId>,
    /// Reads taken from the queue that wait for a freshness anchor, a position or a free replica.
    pub(super) parked: Vec<RequestId>,
    pub(super) awaiting_durability: Vec<RequestId>,
    pub(super) orders: VecDeque<(EndpointId, OrderKind)>,
    /// Latest term for which the connections to earlier primaries were closed.
    pub(super) old_primaries_dropped_term: Term,
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
            awaiting_durability: Vec::new(),
            orders: VecDeque::new(),
            old_primaries_dropped_term: Term(0),
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

    /// Whether an answer of `endpoint` can be released without waiting for durability: a replica
    /// that forms a majority with the primary shows only entries that a majority holds.
    pub(super) fn reads_are_durable_on(&self, endpoint: &EndpointId) -> bool {
        self.view.majority() <= 2 && self.view.primary() != Some(endpoint)
    }

    /// Number of requests that wait to run, including parked reads.
    pub fn waiting(&self) -> usize {
        self.reads.len() + self.writes.len() + self.parked.len()
    }
}

impl Broker {
    /// Applies the groups of a new table version. A group whose endpoints or addresses changed is
    /// replaced by one with empty state: its queued requests are refused, its free and connecting
    /// connections are closed, and its busy ones finish their job.
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
        let existing = self.groups.get(&spec.group);
        let members = |group: &GroupState| -> Vec<(EndpointId, SocketAddr)> {
            let slots = group.endpoints.iter();
            slots.map(|(id, slot)| (id.clone(), slot.spec.address)).collect()
        };
        let mut specified: Vec<_> = spec
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.endpoint.clone(), endpoint.address))
            .collect();
        specified.sort();
        let unchanged = existing.is_some_and(|group| members(group) == specified);
        if !unchanged {
            if existing.is_some() {
                self.drop_group(now, &spec.group);
            }
            let state = GroupState::new(spec, self);
            self.groups.insert(spec.group.clone(), state);
        }
        let Some(group) = self.groups.get_mut(&spec.group) else { return };
        for endpoint in &spec.endpoints {
            let new_slot = || EndpointSlot {
                spec: endpoint.clone(),
                connections: BTreeSet::new(),
                connecting: 0,
                epoch: 0,
                connect_after: now,
                backoff: RECONNECT_MIN,
                last_heard: now,
                awaiting_since: None,
            };
            let slot = group.endpoints.entry(endpoint.endpoint.clone()).or_insert_with(new_slot);
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
            self.refuse_kind(now, id, kind, "an edit of the tables changed or removed the group");
        }
        let closable: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.group == *group_id)
            .filter(|(_, connection)| {
                connection.is_free() || connection.state == ConnectionState::Connecting
            })
            .map(|(id, _)| *id)
            .collect();
        for id in closable {
            self.close_connection(id);
        }
        self.groups.remove(group_id);
    }
}
