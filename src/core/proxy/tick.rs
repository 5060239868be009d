//! What becomes due as time passes.

use super::connection::{PooledState, Task};
use super::group::SUSPECT_AFTER;
use super::job::Order;
use super::request::Request;
use super::{Proxy, ProxyEffect, StatementKind};
use crate::error::{Error, ErrorKind};
use crate::types::{
    ConnectionId, DurationMs, EndpointId, GroupId, RequestId, SessionId, Timestamp,
};

/// Time without news of a primary after which it is asked for its status.
const LEADER_QUIET: DurationMs = DurationMs(400);
/// Time between two questions to the endpoints of a group without a healthy primary.
const SEARCH_INTERVAL: DurationMs = DurationMs(150);
/// Longest time for a connect; a healthy endpoint accepts within a few of its slot times.
const CONNECT_LIMIT: DurationMs = DurationMs(1_000);
/// Time after which a job on a silent endpoint is given up together with its connection; the
/// endpoint drops connections with a dark far end after as long.
const JOB_LIMIT: DurationMs = DurationMs(3_000);
/// Time after which an idle connection beyond those in use is closed.
const IDLE_LIMIT: DurationMs = DurationMs(20_000);
/// The same on a host that is no home: the homes need its part of the endpoint's connections.
const STRAY_IDLE_LIMIT: DurationMs = DurationMs(500);
/// Part of the target latency, in percent, for which a request waits for a free connection.
const WAIT_PERCENT: u64 = 30;
/// Shortest such wait; time for a few statements and a new connection.
const LEAST_WAIT: DurationMs = DurationMs(60);
/// Ticks between two decays of the answer times of endpoints without work.
const DECAY_TICKS: u64 = 10;

impl Proxy {
    /// Lets time pass; to be called at least every 25 ms.
    pub fn tick(&mut self, now: Timestamp) {
        self.ticks += 1;
        if let Some(demand) = self.quota.tick(now) {
            self.out.push(ProxyEffect::ReportDemand(demand));
        }
        self.expire_requests(now);
        self.end_resting_transactions(now);
        self.move_sessions(now);
        self.close_overdue(now);
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in &groups {
            self.drop_gone(now, group);
            if self.serves(group) {
                self.ask_leader(now, group);
                self.check_failover(now, group);
            }
        }
        let waiting = |id: &&GroupId| self.groups.get(*id).is_some_and(|group| group.waiting() > 0);
        let waiting: Vec<GroupId> = groups.iter().filter(waiting).cloned().collect();
        self.dirty.extend(waiting);
        self.send_orders(now);
        self.dispatch_changed_groups(now);
        self.check_life(now);
    }

    fn drop_gone(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        for endpoint in group.gone(now) {
            tracing::info!(
                endpoint = endpoint.as_str(),
                group = group_id.as_str(),
                "discovery: endpoint is gone"
            );
            let Some(state) = group.endpoints.remove(&endpoint) else { continue };
            if group.leader.as_ref() == Some(&endpoint) {
                group.set_leader(now, None);
                group.choose_leader(now);
            }
            for id in state.connections {
                if self.connections.get(&id).is_some_and(super::PooledConnection::is_idle) {
                    self.connections.remove(&id);
                    self.out.push(ProxyEffect::Close(id));
                }
            }
        }
        if self.ticks % DECAY_TICKS == 0 {
            let Some(group) = self.groups.get_mut(group_id) else { return };
            for state in group.endpoints.values_mut().filter(|state| state.running == 0) {
                state.latency_us -= state.latency_us / 8;
            }
        }
    }

    /// Asks the primary for a proof when nothing else brings news of it, and every endpoint when no
    /// primary is known or the known one does not answer.
    fn ask_leader(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get(group_id) else { return };
        let leader = group.leader.as_ref().and_then(|id| Some((id, group.endpoints.get(id)?)));
        let well = leader.is_some_and(|(_, state)| state.is_well(now));
        let mut asked: Vec<EndpointId> = Vec::new();
        if let Some((id, state)) = leader {
            let quiet = now >= state.heard + LEADER_QUIET
                || group.sampled_at().is_none_or(|at| now >= at + LEADER_QUIET);
            if quiet || !well {
                asked.push(id.clone());
            }
        }
        if !well {
            // Another host may have promoted an endpoint; without the store only the endpoints
            // themselves tell.
            let due = |state: &super::group::EndpointState| now >= state.heard + SEARCH_INTERVAL;
            let others = group.endpoints.iter().filter(|(_, state)| due(state));
            asked.extend(others.map(|(id, _)| id.clone()));
        }
        for endpoint in asked {
            self.order(group_id, &endpoint, Order::Prove);
        }
    }

    /// Gives up requests at their time limit, and moves reads away from silent endpoints.
    fn expire_requests(&mut self, now: Timestamp) {
        let mut late = Vec::new();
        let mut stuck = Vec::new();
        for (id, request) in &self.requests {
            if now >= request.deadline || self.is_hopeless(now, request) {
                late.push(*id);
            } else if request.is_running() && self.is_stuck(now, *id) {
                stuck.push(*id);
            }
        }
        for id in late {
            self.expire_request(now, id);
        }
        for id in stuck {
            self.leave_endpoint(now, id);
        }
    }

    /// Whether a request has waited so long for a free connection to a healthy endpoint that its
    /// caller is served better by trying again, on this host or another one.
    fn is_hopeless(&self, now: Timestamp, request: &Request) -> bool {
        if request.is_running() || request.connection.is_some() {
            return false;
        }
        let Some(group) = self.groups.get(&request.route.group) else { return false };
        let part = DurationMs(request.route.target_latency_ms.0 * WAIT_PERCENT / 100);
        let patience = part.max(LEAST_WAIT);
        let leader = group.leader.as_ref().and_then(|id| group.endpoints.get(id));
        leader.is_some_and(|leader| leader.is_well(now)) && now >= request.arrived + patience
    }

    /// Whether a request could end earlier elsewhere because its endpoint is silent.
    fn is_stuck(&self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let read = request.statement_kind == StatementKind::SingleRead
            || (request.statement_kind == StatementKind::InTransaction && !request.at_primary);
        if !read || now < request.sent + SUSPECT_AFTER {
            return false;
        }
        let connection = request.connection.and_then(|id| self.connections.get(&id));
        let Some(connection) = connection else { return false };
        let Some(group) = self.groups.get(&connection.group) else { return false };
        let well =
            |id: &EndpointId| group.endpoints.get(id).is_some_and(|state| state.is_well(now));
        let other = group.endpoints.keys().any(|id| *id != connection.endpoint && well(id));
        !well(&connection.endpoint) && other
    }

    /// Takes a read away from a silent endpoint.
    fn leave_endpoint(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(connection) = request.connection else { return };
        let endpoint = self.connections.get(&connection).map(|found| found.endpoint.clone());
        tracing::info!(
            request = request.statement_id.as_str(),
            returns = request.retries,
            endpoint = endpoint.as_ref().map(EndpointId::as_str),
            "request: leaves an endpoint that does not answer"
        );
        request.tried.extend(endpoint);
        self.close_connection(connection);
        self.request_lost(now, id, true);
    }

    fn expire_request(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.is_running() {
            let error = self.deadline_error(id);
            let inside = !request.statement_kind.is_single();
            if inside {
                self.end_waiting_transaction(now, id);
            }
            return self.refuse_request(now, id, error);
        }
        let (connection, single_read) =
            (request.connection, request.statement_kind == StatementKind::SingleRead);
        if single_read {
            // The endpoint may still answer; the connection is free again then.
            let error = Error::new(ErrorKind::DeadlineExceeded, "the endpoint has not answered");
            return self.refuse_request(now, id, error);
        }
        if let Some(connection) = connection {
            self.close_connection(connection);
        }
        self.request_lost(now, id, true);
    }

    /// The transaction of a request that has waited in vain is over; nothing of it is kept.
    fn end_waiting_transaction(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let commit = request.statement_kind == StatementKind::Commit;
        let Some(session) = self.sessions.get_mut(&request.session) else { return };
        let Some(open) = &mut session.transaction else { return };
        open.failed = true;
        let connection = open.connection.take();
        if commit {
            session.transaction = None;
        }
        if let Some(connection) = connection {
            self.roll_back_connection(now, connection);
        }
    }

    /// Ends transactions that have rested for longer than the configuration allows, while others
    /// wait for a connection.
    fn end_resting_transactions(&mut self, now: Timestamp) {
        let Some(limit) = self.catalog.as_ref().map(|catalog| catalog.transaction_idle_ms) else {
            return;
        };
        if limit.0 == 0 {
            return;
        }
        let resting = self.sessions.iter().filter_map(|(id, session)| {
            let open = session.transaction.as_ref()?;
            let rests = session.request.is_none() && now >= open.idle_since + limit;
            (rests && open.connection.is_some()).then_some(*id)
        });
        let ids: Vec<SessionId> = resting.collect();
        for id in ids {
            let open = self.sessions.get_mut(&id).and_then(|found| found.transaction.as_mut());
            let Some(open) = open else { continue };
            open.lost = true;
            tracing::info!(
                session = id.0,
                limit_ms = limit.0,
                "session: a transaction that rested too long was rolled back"
            );
            if let Some(connection) = open.connection.take() {
                self.roll_back_connection(now, connection);
            }
        }
    }

    /// Closes idle connections beyond this host's part, which has become smaller.
    fn close_beyond_share(&mut self) {
        let mut beyond = Vec::new();
        for (id, group) in &self.groups {
            let share = usize::try_from(self.share(id)).unwrap_or(usize::MAX);
            for state in group.endpoints.values() {
                let excess = state.connections.len().saturating_sub(share + 1);
                let idle = state.connections.iter().filter(|id| {
                    self.connections.get(id).is_some_and(super::PooledConnection::is_idle)
                });
                beyond.extend(idle.take(excess).copied());
            }
        }
        for id in beyond {
            self.close_connection(id);
        }
    }

    /// Closes connections whose connect or job takes too long, and those that nobody uses.
    fn close_overdue(&mut self, now: Timestamp) {
        let idle_limit = if self.is_home() { IDLE_LIMIT } else { STRAY_IDLE_LIMIT };
        let overdue = |connection: &super::PooledConnection| match connection.machine.state() {
            PooledState::Connecting => now >= connection.started + CONNECT_LIMIT,
            PooledState::Cleaning => now >= connection.started + CONNECT_LIMIT,
            PooledState::Busy => {
                let owned = matches!(&connection.task, Some(Task::Request(id)) if self.requests.contains_key(id));
                !owned && now >= connection.started + JOB_LIMIT
            }
            PooledState::Idle => now >= connection.last_used + idle_limit,
            PooledState::Held | PooledState::Closed => false,
        };
        let found = self.connections.iter().filter(|(_, connection)| overdue(connection));
        let ids: Vec<ConnectionId> = found.map(|(id, _)| *id).collect();
        self.close_beyond_share();
        for id in ids {
            let connecting =
                self.connections.get(&id).is_some_and(super::PooledConnection::is_connecting);
            let busy = self.connections.get(&id).is_some_and(|found| !found.is_idle());
            let Some(connection) = self.remove_connection(id) else { continue };
            self.out.push(ProxyEffect::Close(id));
            let group = self.groups.get_mut(&connection.group);
            let state = group.and_then(|group| group.endpoints.get_mut(&connection.endpoint));
            if let (true, Some(state)) = (busy, state) {
                tracing::info!(
                    endpoint = connection.endpoint.as_str(),
                    connecting,
                    started_ms = now.ms_since(connection.started).0,
                    "pool: closed a connection that does not answer"
                );
                state.on_down(now, connecting);
            }
        }
    }
}
