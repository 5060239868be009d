//! Requests and transactions of one host: admit, queue, assign, run, confirm, release or refuse.
//!
//! The broker owns the sessions, the requests, the endpoint connections as the core sees them and
//! one [`GroupState`] per database group. It takes events with a time and collects
//! [`BrokerEffect`]s, which [`Broker::drain`] hands to the owner of the sockets.

mod connection;
mod dispatch;
mod effect;
mod events;
mod group;
mod names;
mod request;
mod session;
mod silence;

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

/// Least cost of a request, so that free statements do not escape fairness.
const MIN_COST: Cost = Cost(100);
/// Cost that is assumed before an account has a measured one.
const FIRST_COST: Cost = Cost(1_000);
/// Weight of the latest measurement in the moving average of an account's cost, as 1/n.
const COST_AVERAGE: u64 = 8;

/// Policy of one host.
#[derive(Debug, Clone)]
pub struct BrokerSettings {
    /// This host.
    pub host: HostId,
    /// Failure domain of this host.
    pub home: FailureDomain,
    /// Longest wait for a busy replica before a free primary may serve a read.
    pub primary_patience_ms: DurationMs,
    /// Longest wait for a write's durability, counted from the endpoint's answer.
    pub confirm_limit_ms: DurationMs,
    /// Retries allowed per hundred requests of a group.
    pub retry_percent: u64,
    /// Which of the endpoints that may serve a read gets it.
    pub read_choice: ReadChoice,
    /// Order of the requests that wait.
    pub queue_order: QueueOrder,
}

/// Which of the endpoints that may serve a read gets it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReadChoice {
    /// A replica; the primary after `primary_patience_ms`.
    #[default]
    ReplicasFirst,
    /// Any endpoint, the primary included.
    AnyAtRandom,
}

/// Order of the requests that wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Fair to client accounts by weight and cost.
    #[default]
    Fair,
    /// In order of arrival.
    Arrival,
}

impl QueueOrder {
    /// Line of the queue in which a request of `account` waits.
    fn line(self, account: &AccountId) -> &AccountId {
        static ALL: AccountId = AccountId::OPEN;
        match self {
            QueueOrder::Fair => account,
            QueueOrder::Arrival => &ALL,
        }
    }
}

/// The decision core for requests.
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
    out: Vec<BrokerEffect>,
}

impl Broker {
    /// A broker without groups and sessions.
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
            out: Vec::new(),
        }
    }

    /// Takes the effects collected since the last call.
    pub fn drain(&mut self) -> Vec<BrokerEffect> {
        std::mem::take(&mut self.out)
    }

    /// Sets the live hosts, which share endpoint connections and stagger promotions.
    pub fn set_hosts(&mut self, hosts: &[HostId]) {
        self.live_hosts = (hosts.len() as u64).max(1);
        for group in self.groups.values_mut() {
            group.promotion.set_hosts(hosts.to_vec());
        }
    }

    /// Refuses new work outside of open transactions from now on.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Whether no request and no transaction is left.
    pub fn is_drained(&self) -> bool {
        self.requests.is_empty() && self.sessions.values().all(|session| session.pinned.is_none())
    }

    /// Whether no request is left; transactions may be open.
    pub fn no_requests(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// State of a group.
    pub fn group(&self, group: &GroupId) -> Option<&GroupState> {
        self.groups.get(group)
    }

    /// All groups.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &GroupState)> {
        self.groups.iter()
    }

    /// A connection to an endpoint.
    pub fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// The session of a request.
    pub fn session_of(&self, request: RequestId) -> Option<SessionId> {
        self.requests.get(&request).map(|request| request.session)
    }

    /// An open session.
    pub fn session(&self, session: SessionId) -> Option<&Session> {
        self.sessions.get(&session)
    }

    /// Lets time pass; to be called at least every 50 ms.
    pub fn tick(&mut self, now: Timestamp) {
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            self.expire(now, &group);
            self.drop_silent(now, &group);
            self.keep_warm(now, &group);
            self.probe(now, &group);
            self.promote(now, &group);
            self.settle(now, &group);
            self.dispatch(now, &group);
        }
    }

    /// Cost of the next request of `account`.
    fn cost_of(&self, account: &AccountId) -> Cost {
        self.costs.get(account).copied().unwrap_or(FIRST_COST)
    }

    fn learn_cost(&mut self, account: &AccountId, spent_us: u64) {
        let spent = spent_us.max(MIN_COST.0);
        let old = self.cost_of(account).0;
        let new = (old * (COST_AVERAGE - 1) + spent) / COST_AVERAGE;
        self.costs.insert(account.clone(), Cost(new.max(MIN_COST.0)));
    }

    /// Ends a request with an error and forgets it.
    fn refuse(&mut self, now: Timestamp, request: RequestId, error: Error) {
        if let Some(found) = self.requests.get_mut(&request) {
            found.error = Some(error);
        }
        self.fire(now, request, RequestEvent::Refuse);
    }

    fn refuse_kind(&mut self, now: Timestamp, request: RequestId, kind: ErrorKind, detail: &str) {
        self.refuse(now, request, Error::new(kind, detail));
    }

    /// Feeds an event to a request's chart and carries out the actions.
    fn fire(&mut self, now: Timestamp, id: RequestId, event: RequestEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let step = request.machine.fire(event, |guard| match guard {});
        for action in step.actions {
            self.act(now, id, *action);
        }
        let done = self.requests.get(&id).is_some_and(|request| request.machine.is_done());
        if done {
            self.forget(id);
        }
    }

    fn act(&mut self, now: Timestamp, id: RequestId, action: RequestAction) {
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
