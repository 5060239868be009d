//! Decisions for sessions that share pooled connections to endpoints which acknowledge commits
//! themselves.
//!
//! [`Proxy`] takes events with a time and collects [`ProxyEffect`]s, which [`Proxy::drain`] hands
//! to the owner of the sockets. It knows statements by what they do and never sees an encoding.

pub mod catalog;
pub mod connection;
mod dispatch;
mod events;
pub mod failover;
pub mod group;
pub mod home;
pub mod job;
mod order;
mod placement;
mod pool;
pub mod quota;
pub mod request;
pub mod roster;
pub mod session;
pub mod statement;
pub mod statement_record;
mod tick;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use rand::{Rng, RngCore};
use rand_chacha::ChaCha8Rng;

use catalog::Catalog;
use connection::{Owner, PooledConnection};
pub use events::LossReport;
use failover::{Claim, Failover};
use group::{EndpointEntry, GroupState};
use home::Homes;
use job::{Job, Order, Refusal};
use quota::{Demand, Quota};
use request::Request;
pub use request::StatementKind;
use session::Session;

use crate::core::life::{DrainTimes, Life, LifeAction, LifeEvent, LifeState, Remaining};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{
    ConnectionId, EndpointId, FailureDomain, GroupId, HostId, MilliCores, Position, RequestId,
    RowVersion, SessionId, Timestamp,
};

/// What a host is.
#[derive(Debug, Clone)]
pub struct ProxySpec {
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub home: FailureDomain,
    /// Its processor.
    pub processor: MilliCores,
    /// How long a stop may take.
    pub drain: DrainTimes,
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The host has carried the statement out itself.
    Done,
    /// An endpoint's answer.
    Endpoint {
        /// Rows, as received.
        rows: Vec<Bytes>,
        /// The endpoint's signature.
        signature: CompactString,
        /// Position of the endpoint's log.
        position: Option<Position>,
    },
    /// An endpoint's refusal.
    EndpointRefused(Refusal, CompactString),
    /// This host's refusal.
    Refused(Error),
}

/// One effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProxyEffect {
    /// Open a connection to an endpoint.
    Connect {
        /// Its id.
        connection: ConnectionId,
        /// Group of the endpoint.
        group: GroupId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// Who it is opened for.
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
    /// Note how a statement ended.
    Ended(Box<statement_record::StatementRecord>),
    /// Close a session in which no statement is under way.
    CloseSession(SessionId),
    /// Write a group's row if it has still this version.
    Claim(GroupId, RowVersion, Claim),
    /// Tell the platform to promote an endpoint under a fencing token.
    Promote(GroupId, EndpointId, RowVersion),
    /// Tell the other hosts this host's demand.
    ReportDemand(Demand),
    /// Accept callers.
    Listen,
    /// Report not ready from now on.
    Leave,
    /// Accept no more callers.
    StopListening,
    /// Everything is done.
    Stop,
}

/// The decision core of one host.
pub struct Proxy {
    spec: ProxySpec,
    rng: ChaCha8Rng,
    life: Life,
    catalog: Option<Catalog>,
    entries: Vec<EndpointEntry>,
    discovered: bool,
    quota: Quota,
    /// Whether the hosts of the fleet are known.
    listed_known: bool,
    /// Other hosts that share the endpoints' connections, where homes are not used.
    present: u64,
    homes: Homes,
    /// When the homes changed last.
    homes_since: Timestamp,
    relayed: usize,
    groups: BTreeMap<GroupId, GroupState>,
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
    /// A host that knows nothing yet. `rng` must differ between incarnations.
    pub fn new(spec: ProxySpec, rng: ChaCha8Rng) -> Self {
        Self {
            life: Life::new(spec.drain),
            spec,
            rng,
            catalog: None,
            entries: Vec::new(),
            discovered: false,
            quota: Quota::default(),
            listed_known: false,
            present: 0,
            homes: Homes::default(),
            homes_since: Timestamp(0),
            relayed: 0,
            groups: BTreeMap::new(),
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

    /// Takes the effects collected since the last call.
    pub fn drain(&mut self) -> Vec<ProxyEffect> {
        std::mem::take(&mut self.out)
    }

    /// State of the host's life.
    pub fn state(&self) -> LifeState {
        self.life.state()
    }

    /// Whether new callers are welcome.
    pub fn is_ready(&self) -> bool {
        self.life.state() == LifeState::Serving
    }

    /// The configuration in use.
    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// Number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// All groups.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &GroupState)> {
        self.groups.iter()
    }

    /// An open session.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// A pooled connection.
    pub fn connection(&self, id: ConnectionId) -> Option<&PooledConnection> {
        self.connections.get(&id)
    }

    /// Adopts a version of the configuration; an older one than that in use is ignored.
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
        for (id, plan) in &catalog.groups {
            match self.groups.get_mut(id) {
                Some(group) => group.plan = plan.clone(),
                None => {
                    let failover = Failover::new(self.spec.host.clone(), self.rng.next_u64());
                    let group = GroupState::new(now, plan.clone(), failover);
                    self.groups.insert(id.clone(), group);
                }
            }
        }
        self.catalog = Some(catalog);
        self.close_unlisted_connections();
        self.apply_entries(now);
        self.dispatch_changed_groups(now);
    }

    /// Adopts the list of endpoints.
    pub fn set_entries(&mut self, now: Timestamp, entries: Vec<EndpointEntry>) {
        self.entries = entries;
        self.discovered = true;
        self.apply_entries(now);
        self.dispatch_changed_groups(now);
    }

    fn apply_entries(&mut self, now: Timestamp) {
        for (id, group) in &mut self.groups {
            let own = self.entries.iter().filter(|entry| entry.group == *id);
            let own: Vec<EndpointEntry> = own.cloned().collect();
            let before = group.leader.clone();
            for endpoint in group.set_entries(now, &own) {
                tracing::info!(endpoint = endpoint.as_str(), "discovery: endpoint started anew");
                if let Some(state) = group.endpoints.get_mut(&endpoint) {
                    state.connect_after = now;
                }
            }
            if before != group.leader {
                tracing::info!(
                    group = id.as_str(),
                    before = before.as_ref().map(EndpointId::as_str),
                    leader = group.leader.as_ref().map(EndpointId::as_str),
                    "discovery: another endpoint claims the lead"
                );
            }
            self.dirty.insert(id.clone());
        }
    }

    /// Sets the number of callers whose sessions run on other hosts.
    pub fn set_relayed(&mut self, callers: usize) {
        self.relayed = callers;
    }

    /// Takes the demand at another host.
    pub fn on_demand(&mut self, now: Timestamp, host: HostId, demand: Demand) {
        self.quota.on_report(now, host, demand);
    }

    /// The demand at this host, as it was measured last.
    pub fn demand(&self) -> Demand {
        self.quota.demand()
    }

    /// The operator, or the system, asks the host to stop.
    pub fn stop(&mut self, now: Timestamp) {
        self.live(now, LifeEvent::Stop);
    }

    fn live(&mut self, now: Timestamp, event: LifeEvent) {
        let before = self.life.state();
        for action in self.life.fire(now, event) {
            match action {
                LifeAction::Listen => self.out.push(ProxyEffect::Listen),
                LifeAction::AnnounceLeaving => self.out.push(ProxyEffect::Leave),
                LifeAction::RefuseNewWork => {
                    self.out.push(ProxyEffect::StopListening);
                    self.end_idle_sessions();
                }
                LifeAction::RollBack => self.end_all_sessions(now),
                LifeAction::ReleaseShares => {}
                LifeAction::Close => {
                    // The others take over this host's part at once.
                    self.out.push(ProxyEffect::ReportDemand(Demand::new()));
                    self.out.push(ProxyEffect::Stop);
                }
            }
        }
        if before != self.life.state() {
            tracing::info!(state = ?self.life.state(), before = ?before,
                sessions = self.sessions.len(), "host: state changed");
        }
    }

    /// Moves along the host's life by what is known and what is left to do.
    fn check_life(&mut self, now: Timestamp) {
        let informed = self.catalog.is_some() && self.discovered && self.listed_known;
        if self.life.state() == LifeState::Starting && informed {
            self.live(now, LifeEvent::Ready);
        }
        let remaining = Remaining {
            idle: self.sessions.is_empty() && self.relayed == 0,
            no_request: self.requests.is_empty(),
            released: true,
        };
        if let Some(event) = self.life.due(now, remaining) {
            self.live(now, event);
        }
    }

    fn end_idle_sessions(&mut self) {
        let mut idle = Vec::new();
        for (id, session) in &mut self.sessions {
            session.closing = true;
            if session.request.is_none() && session.transaction.is_none() {
                idle.push(*id);
            }
        }
        self.out.extend(idle.into_iter().map(ProxyEffect::CloseSession));
    }

    fn end_all_sessions(&mut self, now: Timestamp) {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in ids {
            self.close_session(now, id);
            self.out.push(ProxyEffect::CloseSession(id));
        }
    }

    fn random_delay_us(&mut self, most: u64) -> u64 {
        self.rng.random_range(0..=most)
    }

    fn no_group() -> Error {
        Error::new(ErrorKind::NoEndpoint, "the group is not in the configuration")
    }
}
