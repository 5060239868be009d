//! The connection pool: selecting, opening, rolling back and closing connections.

use std::collections::BTreeMap;

use super::connection::{
    Owner, PooledConnection, PooledEvent, PooledState, PreparedStatements, CHART,
};
use super::job::{Job, Order, Setup, Work};
use super::{Proxy, ProxyEffect};
use crate::types::{ConnectionId, EndpointId, GroupId, Timestamp};

impl Proxy {
    /// The most recently used idle connection to an endpoint, of `owner` if one is given.
    pub(super) fn idle_connection(
        &self,
        group: &GroupId,
        endpoint: &EndpointId,
        owner: Option<&Owner>,
    ) -> Option<ConnectionId> {
        let state = self.groups.get(group)?.endpoints.get(endpoint)?;
        let idle = state.connections.iter().filter_map(|id| {
            let found = self.connections.get(id)?;
            let fits = owner.is_none_or(|owner| found.owner == *owner);
            (found.is_idle() && fits).then_some((found.last_used, *id))
        });
        idle.max().map(|(_, id)| id)
    }

    /// Number of connections of `owner` to an endpoint that are being opened.
    pub(super) fn connecting_count(
        &self,
        group: &GroupId,
        endpoint: &EndpointId,
        owner: &Owner,
    ) -> usize {
        let Some(state) = self.groups.get(group).and_then(|group| group.endpoints.get(endpoint))
        else {
            return 0;
        };
        let opening = |id: &&ConnectionId| {
            let found = self.connections.get(id);
            found.is_some_and(|found| found.is_connecting() && found.owner == *owner)
        };
        state.connections.iter().filter(opening).count()
    }

    /// Opens a connection for `owner` unless the endpoint is in its reconnect delay or this host's
    /// share of the endpoint's connections, plus `extra`, is used up.
    pub(super) fn try_connect(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        endpoint: &EndpointId,
        owner: &Owner,
        extra: u64,
    ) -> bool {
        let allowed = self.allowed_connections(now, group_id, endpoint) + extra;
        let Some(state) = self.groups.get(group_id).and_then(|group| group.endpoints.get(endpoint))
        else {
            return false;
        };
        if now < state.connect_after {
            return false;
        }
        if state.connections.len() as u64 >= allowed {
            // Closes a connection for orders, which serves no caller; the next order reopens it.
            let spare = self.idle_connection(group_id, endpoint, Some(&Owner::Host));
            let Some(spare) = spare.filter(|_| *owner != Owner::Host) else { return false };
            self.close_connection(spare);
        }
        self.connect(now, group_id, endpoint, owner);
        true
    }

    /// Number of connections that this host may have at an endpoint now.
    fn allowed_connections(&self, now: Timestamp, group: &GroupId, endpoint: &EndpointId) -> u64 {
        let share = self.connection_share(group);
        let state = self.groups.get(group).and_then(|group| group.endpoints.get(endpoint));
        state.map_or(share, |state| state.allowance.at(now, share))
    }

    /// Opens a connection for `owner`; if this host's share is used up, closes the least recently
    /// used idle connection of another owner first.
    pub(super) fn replace_idle(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        endpoint: &EndpointId,
        owner: &Owner,
    ) -> bool {
        let group = self.groups.get(group_id);
        let state = group.and_then(|group| group.endpoints.get(endpoint));
        let Some(state) = state.filter(|state| now >= state.connect_after) else { return false };
        if state.connections.len() as u64 >= self.allowed_connections(now, group_id, endpoint) {
            let Some(victim) = self.longest_idle(group_id, endpoint, owner) else { return false };
            self.close_connection(victim);
        }
        self.connect(now, group_id, endpoint, owner);
        true
    }

    /// Number of connections of `owner` to an endpoint, in any state.
    pub(super) fn owned_count(
        &self,
        group: &GroupId,
        endpoint: &EndpointId,
        owner: &Owner,
    ) -> usize {
        let state = self.groups.get(group).and_then(|group| group.endpoints.get(endpoint));
        let connections = state.map(|state| state.connections.iter()).into_iter().flatten();
        let of_owner = |id: &&ConnectionId| {
            self.connections.get(id).is_some_and(|found| found.owner == *owner)
        };
        connections.filter(of_owner).count()
    }

    /// The least recently used idle connection of another owner than `owner`.
    fn longest_idle(
        &self,
        group: &GroupId,
        endpoint: &EndpointId,
        owner: &Owner,
    ) -> Option<ConnectionId> {
        let state = self.groups.get(group)?.endpoints.get(endpoint)?;
        let idle = state.connections.iter().filter_map(|id| {
            let found = self.connections.get(id)?;
            (found.is_idle() && found.owner != *owner).then_some((found.last_used, *id))
        });
        idle.min().map(|(_, id)| id)
    }

    fn connect(&mut self, now: Timestamp, group_id: &GroupId, id: &EndpointId, owner: &Owner) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let Some(state) = group.endpoints.get_mut(id) else { return };
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        state.connections.insert(connection);
        state.running += 1;
        state.unanswered_since.get_or_insert(now);
        let pooled = PooledConnection {
            group: group_id.clone(),
            endpoint: id.clone(),
            owner: owner.clone(),
            machine: CHART.start(),
            task: None,
            ends_with_rollback: false,
            session: None,
            started: now,
            last_used: now,
            variables: BTreeMap::new(),
            prepared: PreparedStatements::default(),
            uses: 0,
            must_close: false,
        };
        self.connections.insert(connection, pooled);
        self.out.push(ProxyEffect::Connect {
            connection,
            group: group_id.clone(),
            endpoint: id.clone(),
            address: state.entry.address,
            owner: owner.clone(),
        });
    }

    /// Closes a connection; the health of its endpoint is not affected.
    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        if self.remove_connection(id).is_some() {
            self.out.push(ProxyEffect::Close(id));
        }
    }

    /// Makes a connection idle after its job, or closes it if it must not run another one.
    pub(super) fn make_idle_or_close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.fire(PooledEvent::Answered);
        if connection.is_to_be_closed() {
            self.close_connection(id);
        }
    }

    /// Closes a connection whose job was answered.
    pub(super) fn discard_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.must_close = true;
        self.make_idle_or_close(id);
    }

    /// Removes a connection from the pool without closing its socket.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<PooledConnection> {
        let mut connection = self.connections.remove(&id)?;
        let state = connection.machine.state();
        let running =
            matches!(state, PooledState::Connecting | PooledState::Busy | PooledState::Cleaning);
        connection.fire(PooledEvent::Close);
        if let Some(group) = self.groups.get_mut(&connection.group) {
            if let Some(endpoint) = group.endpoints.get_mut(&connection.endpoint) {
                endpoint.connections.remove(&id);
                if running {
                    endpoint.running = endpoint.running.saturating_sub(1);
                }
                if endpoint.running == 0 {
                    endpoint.unanswered_since = None;
                }
            }
            self.dirty.insert(connection.group.clone());
        }
        Some(connection)
    }

    /// Rolls back the transaction that is open on a connection; the connection is idle afterwards.
    /// A connection that is running a statement is closed instead.
    pub(super) fn roll_back_connection(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.session = None;
        if connection.machine.state() != PooledState::Held {
            return self.close_connection(id);
        }
        connection.fire(PooledEvent::Clean);
        connection.started = now;
        self.expect_answer(now, id);
        let job = Job { setup: Vec::new(), work: Work::Nothing, rollback: true };
        self.out.push(ProxyEffect::Run(id, job));
    }

    /// Sends an order to an endpoint over an idle connection.
    pub(super) fn run_order(&mut self, now: Timestamp, id: ConnectionId, order: Order) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.fire(PooledEvent::Run);
        connection.task = Some(super::connection::Task::Order(order));
        connection.ends_with_rollback = false;
        connection.uses += 1;
        (connection.started, connection.last_used) = (now, now);
        self.expect_answer(now, id);
        let job = match order {
            Order::Prove => Job {
                setup: vec![Setup::Begin { read_only: false, after: None }],
                work: Work::Nothing,
                rollback: true,
            },
            _ => Job { setup: Vec::new(), work: Work::Order(order), rollback: false },
        };
        self.out.push(ProxyEffect::Run(id, job));
    }

    /// Records that an answer is expected on a connection.
    pub(super) fn expect_answer(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let group = self.groups.get_mut(&connection.group);
        let state = group.and_then(|group| group.endpoints.get_mut(&connection.endpoint));
        if let Some(state) = state {
            state.unanswered_since.get_or_insert(now);
            state.running += 1;
        }
    }

    /// Records an answer received on a connection.
    pub(super) fn record_answer(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let group = self.groups.get_mut(&connection.group);
        let state = group.and_then(|group| group.endpoints.get_mut(&connection.endpoint));
        if let Some(state) = state {
            state.on_received(now);
            state.running = state.running.saturating_sub(1);
            if state.running > 0 {
                state.unanswered_since = Some(now);
            }
        }
    }

    /// Closes idle connections to endpoints that are no longer in their group.
    pub(super) fn close_unlisted_connections(&mut self) {
        let known = |pooled: &PooledConnection| {
            let group = self.groups.get(&pooled.group);
            group.is_some_and(|group| group.endpoints.contains_key(&pooled.endpoint))
        };
        let foreign =
            self.connections.iter().filter(|(_, pooled)| pooled.is_idle() && !known(pooled));
        let ids: Vec<ConnectionId> = foreign.map(|(id, _)| *id).collect();
        for id in ids {
            self.connections.remove(&id);
            self.out.push(ProxyEffect::Close(id));
        }
    }
}
