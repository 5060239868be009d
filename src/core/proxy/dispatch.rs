//! Dispatch of queued requests to pooled connections.

use std::collections::BTreeMap;

use super::catalog::ReadRule;
use super::connection::{Owner, PooledEvent, Task};
use super::job::{Job, JobPayload, Setup, Work};
use super::placement::Placement;
use super::request::ProxyRequestEvent;
use super::statement::StatementPayload;
use super::{Proxy, ProxyEffect, StatementKind};
use crate::types::{ConnectionId, DurationMs, GroupId, Priority, RequestId, Timestamp};

/// Limit of parked requests of a class: those taken from the fair queue that wait for a connection of
/// their account.
const MAX_PARKED: usize = 64;

/// Time that a request waits before an idle connection of another account is closed to make room
/// for a new one. Opening a connection takes as long as a statement and occupies a slot.
const REPLACE_DELAY: DurationMs = DurationMs(10);
/// The same for an account that has connections already; one of them should become idle soon.
const BUSY_REPLACE_DELAY: DurationMs = DurationMs(60);

impl Proxy {
    /// Dispatches requests in all groups marked as changed.
    pub(super) fn dispatch_changed_groups(&mut self, now: Timestamp) {
        while let Some(group) = self.dirty.pop_first() {
            self.dispatch(now, &group);
        }
    }

    fn dispatch(&mut self, now: Timestamp, group_id: &GroupId) {
        self.send_orders(now);
        loop {
            self.park_waiting(now, group_id);
            let Some(group) = self.groups.get_mut(group_id) else { return };
            let mut waiting = std::mem::take(&mut group.parked);
            self.sort_by_urgency(now, &mut waiting);
            let count = waiting.len();
            for id in waiting {
                self.place_or_park(now, group_id, id);
            }
            let Some(group) = self.groups.get(group_id) else { return };
            if group.queue.is_empty() || group.parked.len() == count {
                return;
            }
        }
    }

    /// Takes requests out of the group's queue and parks them, up to the limit of each class.
    fn park_waiting(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let mut parked: BTreeMap<Priority, usize> = BTreeMap::new();
        for request in group.parked.iter().filter_map(|id| self.requests.get(id)) {
            *parked.entry(request.route.priority).or_default() += 1;
        }
        for priority in group.queue.priorities() {
            for _ in parked.get(&priority).copied().unwrap_or_default()..MAX_PARKED {
                let Some(id) = group.queue.class(priority).pop(now) else { break };
                if let Some(request) = self.requests.get_mut(&id) {
                    request.ticket = None;
                }
                group.parked.push(id);
            }
        }
    }

    fn place_or_park(&mut self, now: Timestamp, group_id: &GroupId, id: RequestId) {
        if !self.requests.contains_key(&id) || self.place(now, group_id, id) {
            return;
        }
        if let Some(group) = self.groups.get_mut(group_id) {
            group.parked.push(id);
        }
    }

    /// Runs a request on an idle connection and returns true; otherwise tries to open a connection
    /// and returns false.
    fn place(&mut self, now: Timestamp, group_id: &GroupId, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        if now < request.not_before {
            return false;
        }
        if let Some(connection) = request.connection {
            self.continue_transaction(now, id, connection);
            return true;
        }
        let Some(group) = self.groups.get(group_id) else { return false };
        let placements = self.placements(now, group, request);
        let owner = Owner::Account(request.account.clone());
        for placement in &placements {
            let idle = self.idle_connection(group_id, &placement.endpoint, Some(&owner));
            if let Some(connection) = idle {
                self.assign_idle_connection(now, id, connection, placement);
                return true;
            }
        }
        self.open_connection_for(now, group_id, id, &placements, &owner);
        false
    }

    /// Opens a connection to the first of `placements` that allows one, unless enough connections for
    /// this request and the earlier parked ones of its account are being opened already.
    fn open_connection_for(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        id: RequestId,
        placements: &[Placement],
        owner: &Owner,
    ) {
        let is_earlier_of_account = |request: &RequestId| {
            let both = self.requests.get(request).zip(self.requests.get(&id));
            *request < id && both.is_some_and(|(earlier, this)| earlier.account == this.account)
        };
        let Some(group) = self.groups.get(group_id) else { return };
        let ahead = group.parked.iter().filter(|parked| is_earlier_of_account(parked)).count();
        let opening: usize = placements
            .iter()
            .map(|placement| self.connecting_count(group_id, &placement.endpoint, owner))
            .sum();
        if opening > ahead {
            return;
        }
        for placement in placements {
            if self.try_connect(now, group_id, &placement.endpoint, owner, 0) {
                return;
            }
        }
        let owned: usize = placements
            .iter()
            .map(|placement| self.owned_count(group_id, &placement.endpoint, owner))
            .sum();
        let delay = if owned > 0 { BUSY_REPLACE_DELAY } else { REPLACE_DELAY };
        let waited = self.requests.get(&id).map(|request| now.ms_since(request.queued));
        if waited.is_some_and(|waited| waited >= delay) {
            for placement in placements {
                if self.replace_idle(now, group_id, &placement.endpoint, owner) {
                    return;
                }
            }
        }
    }

    /// Assigns an idle connection to a request whose transaction, if any, is not open on an endpoint
    /// yet.
    fn assign_idle_connection(
        &mut self,
        now: Timestamp,
        id: RequestId,
        connection: ConnectionId,
        placement: &Placement,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let single = request.statement_kind.is_single();
        request.wrapped_in_transaction =
            request.statement_kind == StatementKind::SingleRead && placement.at_primary;
        request.starts_transaction = !single;
        request.after = placement.after;
        request.at_primary = placement.at_primary;
        request.crossing = Some(placement.crossing);
        request.connection = Some(connection);
        self.fire(now, id, ProxyRequestEvent::Assign);
    }

    /// Assigns a request to the connection on which its transaction is open.
    pub(super) fn assign(&mut self, now: Timestamp, id: RequestId, connection: ConnectionId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.connection = Some(connection);
        request.starts_transaction = false;
        request.after = None;
        self.fire(now, id, ProxyRequestEvent::Assign);
    }

    /// Sends a request to the endpoint of its assigned connection.
    pub(super) fn send(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(connection_id) = request.connection else { return };
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let Some(session) = self.sessions.get_mut(&request.session) else { return };
        request.sent = now;
        let mut setup = connection.adapt(&session.variables);
        let payload = match &request.payload {
            StatementPayload::Text(text) => JobPayload::Text(text.clone()),
            StatementPayload::Execute(statement, arguments) => {
                let (id, step) = connection.prepared.prepare(statement);
                setup.extend(step);
                JobPayload::Execute(id, arguments.clone())
            }
        };
        let begins_read_only = request.starts_transaction
            && !request.at_primary
            && request.route.rule != ReadRule::Primary;
        if request.wrapped_in_transaction || request.starts_transaction {
            let after = request.after.filter(|_| begins_read_only);
            setup.push(Setup::Begin { read_only: begins_read_only, after });
        }
        connection.fire(PooledEvent::Run);
        connection.uses += 1;
        connection.task = Some(Task::Request(id));
        connection.ends_with_rollback = request.wrapped_in_transaction;
        (connection.started, connection.last_used) = (now, now);
        if !request.statement_kind.is_single() {
            connection.session = Some(request.session);
            if let Some(transaction) = &mut session.transaction {
                transaction.connection = Some(connection_id);
                transaction.wrote |= request.writes;
                transaction.at_primary |= request.at_primary;
            }
        }
        // A transaction's first read names the position too, in case an earlier answer is taken for the
        // one to the begin, which the endpoint refuses.
        let names_position = match request.statement_kind {
            StatementKind::SingleRead => true,
            StatementKind::InTransaction => begins_read_only,
            StatementKind::SingleWrite | StatementKind::Commit => false,
        };
        let after = request.after.filter(|_| names_position);
        let work = Work::Statement { id: request.statement_id.clone(), payload, after };
        let job = Job { setup, work, rollback: request.wrapped_in_transaction };
        self.expect_answer(now, connection_id);
        self.count_slow_start(now, connection_id);
        self.out.push(ProxyEffect::Run(connection_id, job));
    }
}
