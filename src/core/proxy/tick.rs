//! Periodic work of the proxy core: time limits, probes and clean-up.

use super::connection::{PooledState, Task};
use super::group::SUSPECT_AFTER;
use super::job::Order;
use super::request::Request;
use super::{Proxy, ProxyEffect, StatementKind};
use crate::error::{Error, ErrorKind};
use crate::types::{
    ConnectionId, DurationMs, EndpointId, GroupId, RequestId, SessionId, Timestamp,
};

/// Time without an answer or a sample from a primary after which it is probed.
const PRIMARY_PROBE_AFTER: DurationMs = DurationMs(400);
/// Time between two probes of the other endpoints of a group that has no healthy primary.
const PRIMARY_SEARCH_INTERVAL: DurationMs = DurationMs(150);
/// Time limit of a connect; a healthy endpoint accepts within the time of a few slots.
const CONNECT_LIMIT: DurationMs = DurationMs(1_000);
/// Time limit of a job on an endpoint that does not answer, after which its connection is closed;
/// an endpoint drops connections to an unresponsive peer after the same time.
const JOB_LIMIT: DurationMs = DurationMs(3_000);
/// Time after which an unused connection is closed.
const IDLE_LIMIT: DurationMs = DurationMs(20_000);
/// The same on a host that is not a home, since the homes need the endpoint's connections.
const NON_HOME_IDLE_LIMIT: DurationMs = DurationMs(500);
/// Ticks between two decays of the average answer times of idle endpoints.
const DECAY_TICKS: u64 = 10;

impl Proxy {
    /// Does the periodic work. Must be called at least every 25 ms.
    pub fn tick(&mut self, now: Timestamp) {
        self.ticks += 1;
        self.detect_pause(now);
        if let Some(demand) = self.quota.tick(now) {
            if self.quota.is_report_due(&demand) {
                self.out.push(ProxyEffect::ReportDemand(demand));
            }
            self.out.push(ProxyEffect::ReportReads);
        }
        self.renew_lease(now);
        self.expire_requests(now);
        self.end_idle_transactions(now);
        self.close_evacuated(now);
        self.adjust_away_shares(now);
        self.move_sessions(now);
        self.close_overdue(now);
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in &groups {
            self.remove_expired_endpoints(now, group);
            if self.serves(group) {
                self.probe_primary(now, group);
                self.check_failover(now, group);
            }
        }
        let waiting = |id: &&GroupId| self.groups.get(*id).is_some_and(|group| group.waiting() > 0);
        let waiting: Vec<GroupId> = groups.iter().filter(waiting).cloned().collect();
        self.dirty.extend(waiting);
        self.send_orders(now);
        self.dispatch_changed_groups(now);
        self.advance_life(now);
    }

    fn remove_expired_endpoints(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        for endpoint in group.expired_endpoints(now) {
            tracing::info!(
                endpoint = endpoint.as_str(),
                group = group_id.as_str(),
                "discovery: endpoint was removed"
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

    /// Probes the primary if no other answer has come from it lately, and all endpoints if no
    /// primary is known or the known one is unhealthy.
    fn probe_primary(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get(group_id) else { return };
        let leader = group.leader.as_ref().and_then(|id| Some((id, group.endpoints.get(id)?)));
        let healthy = leader.is_some_and(|(_, state)| state.is_healthy(now));
        let mut probed: Vec<EndpointId> = Vec::new();
        if let Some((id, state)) = leader {
            let quiet = now >= state.received_at + PRIMARY_PROBE_AFTER
                || group.last_sample_at().is_none_or(|at| now >= at + PRIMARY_PROBE_AFTER);
            if quiet || !healthy {
                probed.push(id.clone());
            }
        }
        if !healthy {
            // Another host may have promoted an endpoint. During an outage of the store only the
            // endpoints can tell.
            let due = |state: &super::group::EndpointState| {
                now >= state.received_at + PRIMARY_SEARCH_INTERVAL
            };
            let others = group.endpoints.iter().filter(|(_, state)| due(state));
            probed.extend(others.map(|(id, _)| id.clone()));
        }
        for endpoint in probed {
            self.order(group_id, &endpoint, Order::Prove);
        }
    }

    /// Ends requests at their time limit, and moves reads away from endpoints that do not answer.
    fn expire_requests(&mut self, now: Timestamp) {
        let mut expired = Vec::new();
        let mut stalled = Vec::new();
        for (id, request) in &self.requests {
            if now >= request.deadline || self.has_waited_too_long(now, request) {
                expired.push(*id);
            } else if request.is_running() && self.is_stalled(now, *id) {
                stalled.push(*id);
            }
        }
        for id in expired {
            self.expire_request(now, id);
        }
        for id in stalled {
            self.give_up_read(now, id);
        }
    }

    /// Whether a request has waited so long for a free connection, with a healthy primary, that its
    /// caller should rather retry on this host or another one.
    fn has_waited_too_long(&self, now: Timestamp, request: &Request) -> bool {
        if request.is_running() || request.connection.is_some() {
            return false;
        }
        if self.lacks_lease(now, request) || self.needs_evacuated_primary(now, request) {
            return true;
        }
        self.is_overdue(now, request)
    }

    /// Whether a running request is a read that could be repeated on a healthy endpoint because its
    /// own does not answer.
    fn is_stalled(&self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let read = request.statement_kind == StatementKind::SingleRead
            || (request.statement_kind == StatementKind::InTransaction && !request.at_primary);
        if !read || now < request.sent + SUSPECT_AFTER {
            return false;
        }
        let connection = request.connection.and_then(|id| self.connections.get(&id));
        let Some(connection) = connection else { return false };
        let Some(group) = self.groups.get(&connection.group) else { return false };
        let healthy =
            |id: &EndpointId| group.endpoints.get(id).is_some_and(|state| state.is_healthy(now));
        let alternative =
            group.endpoints.keys().any(|id| *id != connection.endpoint && healthy(id));
        !healthy(&connection.endpoint) && alternative
    }

    /// Cancels a read on an endpoint that does not answer, and retries it on another one.
    fn give_up_read(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(connection) = request.connection else { return };
        let endpoint = self.connections.get(&connection).map(|found| found.endpoint.clone());
        tracing::info!(
            request = request.statement_id.as_str(),
            returns = request.retries,
            endpoint = endpoint.as_ref().map(EndpointId::as_str),
            "request: gives up a read on an endpoint that does not answer"
        );
        request.tried.extend(endpoint);
        self.close_connection(connection);
        self.request_lost(now, id, true);
    }

    fn expire_request(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.is_running() {
            let error = self.deadline_error(now, id);
            let inside = !request.statement_kind.is_single();
            if inside {
                self.end_waiting_transaction(now, id);
            }
            return self.refuse_request(now, id, error);
        }
        let (connection, single_read) =
            (request.connection, request.statement_kind == StatementKind::SingleRead);
        if single_read {
            // The endpoint may still answer, which frees the connection for reuse.
            let error = Error::new(ErrorKind::DeadlineExceeded, "the endpoint has not answered");
            return self.refuse_request(now, id, error);
        }
        if let Some(connection) = connection {
            self.close_connection(connection);
        }
        self.request_lost(now, id, true);
    }

    /// Fails the transaction of a request that got no connection in time, and rolls it back.
    pub(super) fn end_waiting_transaction(&mut self, now: Timestamp, id: RequestId) {
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

    /// Rolls back transactions that have been idle for longer than the configured limit, which
    /// frees their connections.
    fn end_idle_transactions(&mut self, now: Timestamp) {
        let Some(limit) = self.catalog.as_ref().map(|catalog| catalog.transaction_idle_ms) else {
            return;
        };
        if limit.0 == 0 {
            return;
        }
        let idle = self.sessions.iter().filter_map(|(id, session)| {
            let open = session.transaction.as_ref()?;
            let overdue = session.request.is_none() && now >= open.idle_since + limit;
            (overdue && open.connection.is_some()).then_some(*id)
        });
        let ids: Vec<SessionId> = idle.collect();
        for id in ids {
            let open = self.sessions.get_mut(&id).and_then(|found| found.transaction.as_mut());
            let Some(open) = open else { continue };
            open.lost = true;
            tracing::info!(
                session = id.0,
                limit_ms = limit.0,
                "session: an idle transaction was rolled back"
            );
            if let Some(connection) = open.connection.take() {
                self.roll_back_connection(now, connection);
            }
        }
    }

    /// Closes idle connections in excess of this host's share, after the share has become smaller.
    fn close_excess_connections(&mut self) {
        let mut excess_idle = Vec::new();
        for (id, group) in &self.groups {
            let share = usize::try_from(self.connection_share(id)).unwrap_or(usize::MAX);
            for state in group.endpoints.values() {
                let excess = state.connections.len().saturating_sub(share + 1);
                let idle = state.connections.iter().filter(|id| {
                    self.connections.get(id).is_some_and(super::PooledConnection::is_idle)
                });
                excess_idle.extend(idle.take(excess).copied());
            }
        }
        for id in excess_idle {
            self.close_connection(id);
        }
    }

    /// Closes connections whose connect, clean-up or job takes too long, and unused ones.
    fn close_overdue(&mut self, now: Timestamp) {
        let idle_limit = if self.is_home() { IDLE_LIMIT } else { NON_HOME_IDLE_LIMIT };
        let overdue = |connection: &super::PooledConnection| match connection.machine.state() {
            PooledState::Connecting => now >= connection.started + CONNECT_LIMIT,
            PooledState::Cleaning => now >= connection.started + CONNECT_LIMIT,
            PooledState::Busy => {
                let has_request = matches!(&connection.task, Some(Task::Request(id)) if self.requests.contains_key(id));
                !has_request && now >= connection.started + JOB_LIMIT
            }
            PooledState::Idle => now >= connection.last_used + idle_limit,
            PooledState::Held | PooledState::Closed => false,
        };
        let found = self.connections.iter().filter(|(_, connection)| overdue(connection));
        let ids: Vec<ConnectionId> = found.map(|(id, _)| *id).collect();
        self.close_excess_connections();
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
                state.on_connection_failure(now, connecting);
            }
        }
    }
}
