//! Schedules the requests and transactions of one host: admission, queueing, assignment to an
//! endpoint connection, durability confirmation and the final answer.
//!
//! The broker holds the sessions, the requests, the core's record of each endpoint connection and
//! one [`GroupState`] per database group. It does no I/O: its methods take events with their time
//! and queue [`BrokerEffect`]s, which the task that owns the sockets collects with
//! [`Broker::drain`] and carries out.

mod connection;
mod dispatch;
mod effect;
mod events;
mod group;
mod names;
mod request;
mod session;
mod unresponsive;

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

pub use connection::{Connection, ConnectionState};
pub use effect::{BrokerEffect, OrderKind, Outcome};
pub use events::{JobReport, LossReport};
pub use group::{EndpointSpec, GroupSpec, GroupState};
pub use names::{chart, RequestAction, RequestEvent, RequestState};
pub use request::Request;
pub use session::{Session, SessionSpec};

use crate::error::{Error, ErrorKind};
use crate::types::{
    AccountId, ConnectionId, Cost, DurationMs, FailureDomain, GroupId, HostId, RequestId,
    SessionId, Timestamp,
};

/// Minimum cost of a request, so that nearly free statements are still queued fairly.
const MIN_COST: Cost = Cost(100);
/// Cost assumed for an account without a measurement.
const FIRST_COST: Cost = Cost(1_000);
/// The latest measurement enters an account's moving average of cost with a weight of 1/n.
const COST_AVERAGE_WINDOW: u64 = 8;

/// Request scheduling policy of one host.
#[derive(Debug, Clone)]
pub struct BrokerSettings {
    /// Id of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub home: FailureDomain,
    /// Time a read waits for a busy replica before it may run on the primary.
    pub primary_patience_ms: DurationMs,
    /// Longest wait for a majority to confirm an answer, counted from the endpoint's answer.
    pub confirm_limit_ms: DurationMs,
    /// Retry budget: retries allowed per hundred requests of a group.
    pub retry_percent: u64,
    /// How a read is assigned to one of the endpoints that may serve it.
    pub read_choice: ReadChoice,
    /// Order in which waiting requests run.
    pub queue_order: QueueOrder,
}

/// How a read is assigned to one of the endpoints that may serve it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReadChoice {
    /// Replicas first; the primary only after `primary_patience_ms` or if no replica may serve it.
    #[default]
    ReplicasFirst,
    /// A random endpoint, including the primary.
    AnyAtRandom,
}

/// Order in which waiting requests run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Fair queueing over client accounts by weight and cost.
    #[default]
    Fair,
    /// In order of arrival.
    Arrival,
}

impl QueueOrder {
    /// Account under which a request of `account` is queued; one common account for `Arrival`.
    fn queue_account(self, account: &AccountId) -> &AccountId {
        static ALL: AccountId = AccountId::OPEN;
        match self {
            QueueOrder::Fair => account,
            QueueOrder::Arrival => &ALL,
        }
    }
}

/// Decides which request runs when and on which connection, and when its answer is released.
pub struct Broker {
    settings: BrokerSettings,
    rng: ChaCha8Rng,
    live_hosts: u64,
    groups: BTreeMap<GroupId, GroupState>,
    sessions: BTreeMap<SessionId, Session>,
    requests: BTreeMap<RequestId, Request>,
    connections: BTreeMap<ConnectionId, Connection>,
    costs: BTreeMap<AccountId, Cost>,
    next_connection: u64,
    draining: bool,
    effects: Vec<BrokerEffect>,
}

impl Broker {
    /// Creates a broker without groups and sessions.
    pub fn new(settings: BrokerSettings, rng: ChaCha8Rng) -> Self {
        Self {
            settings,
            rng,
            live_hosts: 1,
            groups: BTreeMap::new(),
            sessions: BTreeMap::new(),
            requests: BTreeMap::new(),
            connections: BTreeMap::new(),
            costs: BTreeMap::new(),
            next_connection: 0,
            draining: false,
            effects: Vec::new(),
        }
    }

    /// Takes the effects collected since the last call.
    pub fn drain(&mut self) -> Vec<BrokerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Sets the live hosts, which divide the endpoint connections among them and stagger their
    /// promotion attempts.
    pub fn set_hosts(&mut self, hosts: &[HostId]) {
        self.live_hosts = (hosts.len() as u64).max(1);
        for group in self.groups.values_mut() {
            group.promotion.set_hosts(hosts.to_vec());
        }
    }

    /// Refuses all further requests that are not part of an open transaction.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Whether no request is left and no transaction is open.
    pub fn is_drained(&self) -> bool {
        self.requests.is_empty() && self.sessions.values().all(|session| session.pinned.is_none())
    }

    /// Number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// State of a group, if the tables have it.
    pub fn group(&self, group: &GroupId) -> Option<&GroupState> {
        self.groups.get(group)
    }

    /// All groups with their states.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &GroupState)> {
        self.groups.iter()
    }

    /// An endpoint connection by its id.
    pub fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// The session that sent a request; `None` once the request has ended.
    pub fn session_of(&self, request: RequestId) -> Option<SessionId> {
        self.requests.get(&request).map(|request| request.session)
    }

    /// An open session by its id.
    pub fn session(&self, session: SessionId) -> Option<&Session> {
        self.sessions.get(&session)
    }

    /// Runs everything that is due by time; must be called at least every 50 ms.
    pub fn tick(&mut self, now: Timestamp) {
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            self.expire(now, &group);
            self.drop_unresponsive(now, &group);
            self.keep_connected(now, &group);
            self.probe(now, &group);
            self.promote(now, &group);
            self.check_durability(now, &group);
            self.dispatch(now, &group);
        }
    }

    /// Expected cost of the next request of `account`.
    fn expected_cost(&self, account: &AccountId) -> Cost {
        self.costs.get(account).copied().unwrap_or(FIRST_COST)
    }

    fn update_cost(&mut self, account: &AccountId, spent_us: u64) {
        let spent = spent_us.max(MIN_COST.0);
        let old = self.expected_cost(account).0;
        let new = (old * (COST_AVERAGE_WINDOW - 1) + spent) / COST_AVERAGE_WINDOW;
        self.costs.insert(account.clone(), Cost(new.max(MIN_COST.0)));
    }

    /// Ends a request with an error and removes it.
    fn refuse(&mut self, now: Timestamp, request: RequestId, error: Error) {
        if let Some(found) = self.requests.get_mut(&request) {
            found.error = Some(error);
        }
        self.fire(now, request, RequestEvent::Refuse);
    }

    fn refuse_kind(&mut self, now: Timestamp, request: RequestId, kind: ErrorKind, detail: &str) {
        self.refuse(now, request, Error::new(kind, detail));
    }

    /// Passes an event to a request's state chart and runs the resulting actions.
    fn fire(&mut self, now: Timestamp, id: RequestId, event: RequestEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let step = request.machine.fire(event, |guard| match guard {});
        for action in step.actions {
            self.run_action(now, id, *action);
        }
        let done = self.requests.get(&id).is_some_and(|request| request.machine.is_done());
        if done {
            self.remove_request(id);
        }
    }

    fn run_action(&mut self, now: Timestamp, id: RequestId, action: RequestAction) {
        match action {
            RequestAction::Enqueue => self.enqueue(now, id),
            RequestAction::Send => self.send(now, id),
            RequestAction::AwaitDurability => self.await_durability(now, id),
            RequestAction::Discard => self.discard(id),
            RequestAction::Release => self.release(id),
            RequestAction::Fail => self.fail(id),
        }
    }
}
