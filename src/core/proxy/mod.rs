//! Decision core of the proxy: sessions share pooled connections to endpoints that replicate and
//! acknowledge commits on their own.
//!
//! [`Proxy`] takes events with their time and collects [`ProxyEffect`]s, which the task that owns
//! the sockets takes with [`Proxy::take_effects`] and carries out. It knows statements by their
//! kind and never sees how messages are encoded.

pub mod catalog;
pub mod connection;
mod dispatch;
pub mod domains;
pub mod endpoint_answers;
pub mod entries;
pub mod evacuation;
mod events;
pub mod failover;
pub mod follow;
pub mod group;
pub mod home;
pub mod job;
mod lead;
pub mod lease;
pub mod log_gap;
mod order;
mod placement;
mod pool;
pub mod quota;
mod refusals;
pub mod relay;
mod repetition;
pub mod request;
pub mod roster;
pub mod session;
pub mod shutdown;
pub mod slow_start;
pub mod statement;
pub mod statement_record;
mod tick;
pub mod urgency;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use rand::{Rng, RngCore};
use rand_chacha::ChaCha8Rng;

use catalog::Catalog;
use connection::{Owner, PooledConnection};
use evacuation::{EvacuationOrder, Evacuations};
pub use events::LossReport;
use failover::{Claim, Failover};
use group::{EndpointEntry, GroupState};
use home::Homes;
use job::{Job, Order, Refusal};
use lease::{ClaimRows, Evidence, Knowledge, LeadProof};
use quota::{Demand, Quota};
use request::Request;
pub use request::StatementKind;
use session::Session;
use slow_start::SlowStartMargin;

use crate::core::life::{DrainTimes, Life, LifeState};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{
    ConnectionId, DurationMs, EndpointId, FailureDomain, GroupId, HostId, MilliCores, Position,
    Priority, RequestId, RowVersion, SessionId, Timestamp,
};

/// Identity and settings of a host.
#[derive(Debug, Clone)]
pub struct ProxySpec {
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its processor capacity.
    pub processor: MilliCores,
    /// Time limits of a shutdown.
    pub drain: DrainTimes,
    /// How this host knows that an endpoint leads its group.
    pub lead_proof: LeadProof,
    /// What the platform demands about evacuations and cold endpoints, and what a crossing costs.
    pub margins: Margins,
}

/// What the platform demands about evacuations and cold endpoints, and what a crossing costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Margins {
    /// Time from the order to evacuate a failure domain until nothing may be sent to it.
    pub evacuation_limit_ms: DurationMs,
    /// What is allowed beyond the operator's rate for a cold endpoint.
    pub slow_start: SlowStartMargin,
    /// Time that a read has to save to leave the failure domain; measured if the operators state none.
    pub crossing_saving_ms: Option<DurationMs>,
}

impl Default for Margins {
    fn default() -> Self {
        let slow_start = SlowStartMargin::default();
        Self { evacuation_limit_ms: DEFAULT_EVACUATION_LIMIT, slow_start, crossing_saving_ms: None }
    }
}

/// Time limit of an evacuation on a platform that states none.
const DEFAULT_EVACUATION_LIMIT: DurationMs = DurationMs(5_000);

/// The answer to a statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The host carried out the statement itself, without an endpoint.
    Done,
    /// The result that an endpoint returned.
    Endpoint {
        /// Rows as the endpoint encoded them.
        rows: Vec<Bytes>,
        /// Signature that the endpoint sent with the result.
        signature: CompactString,
        /// Log position of the endpoint, if it reported one.
        position: Option<Position>,
    },
    /// An endpoint refused the statement: the reason and the text that it sent.
    EndpointRefused(Refusal, CompactString),
    /// This host refused the statement or failed to get a result.
    Refused(Error),
}

/// An action that the owner of the sockets carries out for the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProxyEffect {
    /// Open a connection to an endpoint.
    Connect {
        /// Id that the new connection gets.
        connection: ConnectionId,
        /// Group that the endpoint belongs to.
        group: GroupId,
        /// Endpoint to connect to.
        endpoint: EndpointId,
        /// Address of the endpoint.
        address: SocketAddr,
        /// Client account or host that the connection is opened for.
        owner: Owner,
    },
    /// Close a connection; a transaction open on it is rolled back.
    Close(ConnectionId),
    /// Run a job on a connection.
    Run(ConnectionId, Job),
    /// Answer a session's statement.
    Answer {
        /// The session.
        session: SessionId,
        /// The answer.
        answer: Answer,
        /// Transaction state after it.
        state: TransactionState,
    },
    /// Record the outcome of a statement in logs and metrics.
    Ended(Box<statement_record::StatementRecord>),
    /// Close a session, in which no statement is in progress.
    CloseSession(SessionId),
    /// Refuse what [`shutdown::refusal`] refuses in the sessions that other hosts run.
    EndRelayedTransactions,
    /// End the statements in progress of these sessions with an error.
    AbortRelayedRequests,
    /// Close the connections of all callers once their last answers are sent.
    CloseCallers,
    /// Write a claim to a group's row if the row still has this version.
    Claim(GroupId, RowVersion, Claim),
    /// Ask the platform to promote an endpoint under a fencing token.
    Promote(GroupId, EndpointId, RowVersion),
    /// Send this host's demand to the other hosts.
    ReportDemand(Demand),
    /// Tell the other hosts what this one has read from the store and knows about claims.
    ReportReads,
    /// Tell a host what this one knows about the claims in the store.
    ShareKnowledge(HostId, Knowledge),
    /// Pass a claim of this host to the other hosts, some of which the store may not serve.
    AnnounceClaim(GroupId, RowVersion, Claim),
    /// Confirm to a host that this one knows its claim and uses no primary of the group.
    ConfirmClaim(HostId, GroupId, RowVersion),
    /// Ask a host for the groups' rows above a version.
    RequestClaims(HostId, RowVersion),
    /// Pass groups' rows to a host.
    SendClaims(HostId, ClaimRows),
    /// Pass the operator's orders to evacuate failure domains to the other hosts.
    AnnounceEvacuations(Vec<EvacuationOrder>),
    /// Start to accept callers.
    Listen,
    /// Report the host as not ready from now on.
    Leave,
    /// Stop accepting callers.
    StopListening,
    /// Shutdown is complete; the process may exit.
    Stop,
}

/// The decision core of one host.
pub struct Proxy {
    spec: ProxySpec,
    rng: ChaCha8Rng,
    life: Life,
    catalog: Option<Catalog>,
    entries: Vec<EndpointEntry>,
    evacuations: Evacuations,
    discovered: bool,
    quota: Quota,
    /// Whether the list of the fleet's hosts has been received.
    hosts_known: bool,
    /// When all that a host needs to know before it accepts callers was known.
    initialized_at: Option<Timestamp>,
    /// Number of other hosts that share the endpoints' connections, if no homes are used.
    sharing_hosts: u64,
    homes: Homes,
    /// When the set of homes last changed.
    homes_changed_at: Timestamp,
    relayed_callers: usize,
    /// Number of callers whose connections are open.
    open_callers: usize,
    groups: BTreeMap<GroupId, GroupState>,
    /// Rows of all groups, including those that are not in the configuration.
    claims: BTreeMap<GroupId, (RowVersion, Option<Claim>)>,
    evidence: Evidence,
    /// When this host's lease of the lead ends.
    lease_end: Timestamp,
    /// Whether it had not ended when this was last looked at.
    was_leased: bool,
    /// When the process was started, or last resumed after a pause.
    running_since: Timestamp,
    /// Time of the last tick.
    ticked_at: Timestamp,
    sessions: BTreeMap<SessionId, Session>,
    requests: BTreeMap<RequestId, Request>,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    orders: Vec<(GroupId, EndpointId, Order)>,
    dirty: BTreeSet<GroupId>,
    next_connection: u64,
    next_request: u64,
    ticks: u64,
    out: Vec<ProxyEffect>,
}

impl Proxy {
    /// Creates the core of a starting host. `rng` must have another seed in each incarnation.
    pub fn new(spec: ProxySpec, rng: ChaCha8Rng) -> Self {
        Self {
            life: Life::new(spec.drain),
            spec,
            rng,
            catalog: None,
            entries: Vec::new(),
            evacuations: Evacuations::default(),
            discovered: false,
            quota: Quota::default(),
            hosts_known: false,
            initialized_at: None,
            sharing_hosts: 0,
            homes: Homes::default(),
            homes_changed_at: Timestamp(0),
            relayed_callers: 0,
            open_callers: 0,
            groups: BTreeMap::new(),
            claims: BTreeMap::new(),
            evidence: Evidence::default(),
            lease_end: Timestamp(0),
            was_leased: false,
            running_since: Timestamp(0),
            ticked_at: Timestamp(0),
            sessions: BTreeMap::new(),
            requests: BTreeMap::new(),
            connections: BTreeMap::new(),
            orders: Vec::new(),
            dirty: BTreeSet::new(),
            next_connection: 0,
            next_request: 0,
            ticks: 0,
            out: Vec::new(),
        }
    }

    /// Returns the effects collected since the last call.
    pub fn take_effects(&mut self) -> Vec<ProxyEffect> {
        std::mem::take(&mut self.out)
    }

    /// Lifecycle state of the host.
    pub fn state(&self) -> LifeState {
        self.life.state()
    }

    /// Whether the host accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.life.state() == LifeState::Serving
    }

    /// The configuration in use, if one has been received.
    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// Number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// All configured groups.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &GroupState)> {
        self.groups.iter()
    }

    /// Looks up an open session.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// Looks up a pooled connection.
    pub fn connection(&self, id: ConnectionId) -> Option<&PooledConnection> {
        self.connections.get(&id)
    }

    /// Adopts a version of the configuration, unless it is older than the one in use.
    pub fn set_catalog(&mut self, now: Timestamp, catalog: Catalog) {
        let before = self.catalog.as_ref().map(|known| known.version);
        if before.is_some_and(|known| known >= catalog.version) {
            return;
        }
        tracing::info!(version = %catalog.version, before = ?before.map(|known| known.0),
            routes = catalog.routes.len(), accounts = catalog.accounts.len(),
            "configuration: version is in use");
        self.quota.set_accounts(now, &catalog.accounts);
        self.groups.retain(|group, _| catalog.groups.contains_key(group));
        let priorities: BTreeSet<Priority> =
            catalog.routes.values().map(|route| route.priority).collect();
        for group in self.groups.values_mut() {
            group.queue.retain(|priority| priorities.contains(&priority));
        }
        for (id, config) in &catalog.groups {
            match self.groups.get_mut(id) {
                Some(group) => group.config = config.clone(),
                None => {
                    let (host, proof) = (self.spec.host.clone(), self.spec.lead_proof);
                    let failover = Failover::new(host, proof, self.rng.next_u64());
                    let mut group = GroupState::new(now, config.clone(), failover);
                    if self.evidence.complete_at().is_some() {
                        group.failover.on_rows_read();
                    }
                    if let Some((version, claim)) = self.claims.get(id) {
                        group.failover.on_row(now, self.lease_end, *version, claim.as_ref());
                    }
                    self.groups.insert(id.clone(), group);
                }
            }
        }
        self.catalog = Some(catalog);
        self.close_unlisted_connections();
        self.apply_entries(now);
        self.dispatch_changed_groups(now);
    }

    /// Replaces the list of registered endpoints.
    pub fn set_entries(&mut self, now: Timestamp, entries: Vec<EndpointEntry>) {
        self.entries = entries;
        self.discovered = true;
        self.apply_entries(now);
        self.dispatch_changed_groups(now);
    }

    fn apply_entries(&mut self, now: Timestamp) {
        for (id, group) in &mut self.groups {
            let members = self.entries.iter().filter(|entry| entry.group == *id);
            let members: Vec<EndpointEntry> = members.cloned().collect();
            let before = group.leader.clone();
            let restarted = group.set_entries(now, &members);
            group.set_evacuations(&self.evacuations);
            for endpoint in restarted {
                tracing::info!(
                    endpoint = endpoint.as_str(),
                    "discovery: endpoint restarted or moved"
                );
                if let Some(state) = group.endpoints.get_mut(&endpoint) {
                    state.connect_after = now;
                }
            }
            if before != group.leader {
                tracing::info!(
                    group = id.as_str(),
                    before = before.as_ref().map(EndpointId::as_str),
                    leader = group.leader.as_ref().map(EndpointId::as_str),
                    "discovery: another endpoint claims to be the primary"
                );
            }
            self.dirty.insert(id.clone());
        }
    }

    /// Sets the number of connected callers whose sessions run on other hosts.
    pub fn set_relayed_callers(&mut self, callers: usize) {
        self.relayed_callers = callers;
    }

    /// Sets the number of callers whose connections are open, with or without a session.
    pub fn set_open_callers(&mut self, callers: usize) {
        self.open_callers = callers;
    }

    /// Processes a demand report of another host.
    pub fn on_demand_report(&mut self, now: Timestamp, host: HostId, demand: Demand) {
        self.quota.on_report(now, host, demand);
    }

    /// The latest measured demand at this host.
    pub fn demand(&self) -> Demand {
        self.quota.demand()
    }

    fn random_delay_us(&mut self, max_us: u64) -> u64 {
        self.rng.random_range(0..=max_us)
    }

    fn no_group() -> Error {
        Error::new(ErrorKind::NoEndpoint, "the group is not in the configuration")
    }
}
