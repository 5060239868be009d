//! Requests: admission, sending, durability and the end.

use compact_str::format_compact;

use super::connection::ConnectionJob;
use super::names::{RequestChart, CHART};
use super::{Broker, BrokerEffect, Outcome, RequestAction, RequestEvent, RequestState};
use crate::chart::{Machine, NoGuard};
use crate::core::classify::{Access, Class};
use crate::core::group::{Durability, Floor};
use crate::core::queue::Ticket;
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{AccountId, ConnectionId, GroupId, Position, RequestId, SessionId, Timestamp};

/// A request that has not ended.
#[derive(Debug)]
pub struct Request {
    /// Session that sent it.
    pub session: SessionId,
    /// Group that it is for.
    pub group: GroupId,
    /// Decision about its statements.
    pub class: Class,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When it last began to wait for an endpoint, after its tokens were taken.
    pub queued: Timestamp,
    /// When it is refused if it still waits.
    pub deadline: Timestamp,
    /// Its place in the chart.
    pub machine: Machine<RequestState, RequestEvent, NoGuard, RequestAction>,
    /// Connection that runs it.
    pub connection: Option<ConnectionId>,
    /// When it was sent to an endpoint.
    pub sent: Timestamp,
    /// Whether its answer is held until the end.
    pub hold: bool,
    /// Position that must be durable before the answer goes out.
    pub position: Option<Position>,
    /// Whether it has been sent a second time.
    pub retried: bool,
    /// What the caller is told if it fails.
    pub error: Option<Error>,
    pub(super) ticket: Option<Ticket>,
    pub(super) transaction: TransactionState,
    pub(super) confirm_by: Timestamp,
}

impl Request {
    /// Whether the request only reads and is outside of a transaction.
    pub fn is_read(&self) -> bool {
        self.replica_may_run() && !self.class.begins
    }

    /// Whether a replica may run the request: a read, or the start of a read-only transaction.
    pub fn replica_may_run(&self) -> bool {
        self.class.access == Access::Read && !self.class.ends
    }

    /// Whether it waits in a queue of its group.
    pub fn is_queued(&self) -> bool {
        self.machine.state() == RequestState::Queued
    }
}

impl Broker {
    /// Takes a request of a session. It waits for [`Broker::admit`], for which its account and
    /// deadline are returned; `None` if it was refused at once.
    pub fn submit(
        &mut self,
        now: Timestamp,
        id: RequestId,
        session_id: SessionId,
        class: Class,
    ) -> Option<(AccountId, Timestamp)> {
        let session = self.sessions.get_mut(&session_id)?;
        let pinned = session.pinned;
        session.request = Some(id);
        let account = session.spec.account.clone();
        let lost = std::mem::take(&mut session.lost_transaction);
        if lost {
            session.transaction = TransactionState::Idle;
        }
        let chart: &'static RequestChart = &CHART;
        let request = Request {
            session: session_id,
            group: session.spec.group.clone(),
            class,
            arrived: now,
            queued: now,
            deadline: now + session.spec.max_wait_ms,
            machine: chart.start(),
            connection: pinned,
            sent: now,
            hold: true,
            position: None,
            retried: false,
            error: None,
            ticket: None,
            transaction: session.transaction,
            confirm_by: now,
        };
        let (group, deadline) = (request.group.clone(), request.deadline);
        self.requests.insert(id, request);
        if let Some(group) = self.groups.get_mut(&group) {
            group.submitted += 1;
        }
        if lost {
            let detail =
                "its transaction was rolled back when the connection to the endpoint was lost";
            self.refuse_kind(now, id, ErrorKind::TransactionLost, detail);
            return None;
        }
        if self.draining && pinned.is_none() {
            self.refuse_kind(now, id, ErrorKind::HostDraining, "no new work is taken");
            return None;
        }
        Some((account, deadline))
    }

    /// The request's tokens are taken; it may run.
    pub fn admit(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (group, session) = (request.group.clone(), request.session);
        if request.connection.is_some() {
            return self.fire(now, id, RequestEvent::Pass);
        }
        self.note_demand(now, &group, session);
        self.fire(now, id, RequestEvent::Admit);
        self.dispatch(now, &group);
    }

    /// The request got no tokens.
    pub fn refuse_admission(&mut self, now: Timestamp, id: RequestId, kind: ErrorKind) {
        self.refuse_kind(now, id, kind, "the client account has no tokens left");
    }

    /// Refuses a request that has not been admitted.
    pub fn refuse_with(&mut self, now: Timestamp, id: RequestId, error: Error) {
        let session = self.requests.get(&id).map(|request| request.session);
        let fatal = error.kind.answer().fatal;
        self.refuse(now, id, error.clone());
        if let (true, Some(session)) = (fatal, session) {
            self.evict(now, session, error);
        }
    }

    fn note_demand(&mut self, now: Timestamp, group: &GroupId, session: SessionId) {
        let Some(session) = self.sessions.get(&session) else { return };
        let bounded = matches!(session.spec.freshness, crate::core::group::Freshness::MaxAge(_));
        let unresolved = matches!(session.floor, Floor::Since(_));
        if let (true, Some(group)) = (bounded || unresolved, self.groups.get_mut(group)) {
            group.view.on_anchor_demand(now);
        }
    }

    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(session) = self.sessions.get(&request.session) else { return };
        let (account, weight) = (session.spec.account.clone(), session.spec.weight);
        let cost = self.cost_of(&account);
        let (read, deadline) = (request.replica_may_run(), request.deadline);
        let Some(group) = self.groups.get_mut(&request.group) else {
            return self.refuse_kind(now, id, ErrorKind::NoEndpoint, "the pool is gone");
        };
        let line = self.settings.queue_order.line(&account);
        match group.queue_mut(read).push(now, line, weight, cost, deadline, id) {
            Ok(ticket) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.queued = now;
                    request.ticket = Some(ticket);
                }
            }
            Err(kind) => self.refuse_kind(now, id, kind, "the queue of the pool is full"),
        }
    }

    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (ticket, read) = (request.ticket.take(), request.replica_may_run());
        let Some(group) = self.groups.get_mut(&request.group) else { return };
        group.parked.retain(|parked| *parked != id);
        let Some(session) = self.sessions.get(&request.session) else { return };
        if let Some(ticket) = ticket {
            let line = self.settings.queue_order.line(&session.spec.account);
            group.queue_mut(read).remove(line, ticket);
        }
    }

    /// Sends the request over its connection. The answer is passed on while it arrives only where
    /// nothing can make it wrong afterwards: inside a transaction, and from a replica of a group in
    /// which the replica and the primary are a majority.
    pub(super) fn send(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(connection_id) = request.connection else { return };
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let Some(session) = self.sessions.get(&request.session) else { return };
        let in_transaction = session.pinned.is_some() || request.class.begins;
        let group = self.groups.get(&request.group);
        let from_replica = group.is_some_and(|group| group.releases_at_once(&connection.endpoint));
        request.hold =
            if in_transaction { request.class.ends } else { !request.is_read() || !from_replica };
        request.sent = now;
        request.ticket = None;
        connection.start(ConnectionJob::Request(id), now);
        if request.class.begins {
            connection.pinned = Some(request.session);
        }
        self.out.push(BrokerEffect::Send {
            connection: connection_id,
            request: id,
            session: request.session,
            hold: request.hold,
        });
    }

    pub(super) fn await_durability(&mut self, now: Timestamp, id: RequestId) {
        let limit = self.settings.confirm_limit_ms;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.confirm_by = now + limit;
        let group = request.group.clone();
        if let Some(group) = self.groups.get_mut(&group) {
            group.confirming.push(id);
        }
    }

    /// Ends what waits for durability and has it, or will never have it.
    pub(super) fn settle(&mut self, now: Timestamp, group_id: &GroupId) {
        self.drop_old_primaries(now, group_id);
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let waiting = std::mem::take(&mut group.confirming);
        let mut left = Vec::new();
        for id in waiting {
            match self.settled(now, group_id, id) {
                None => left.push(id),
                Some(event) => self.fire(now, id, event),
            }
        }
        if let Some(group) = self.groups.get_mut(group_id) {
            // Requests that were held meanwhile come after those that waited before.
            left.append(&mut group.confirming);
            group.confirming = left;
        }
    }

    fn settled(&mut self, now: Timestamp, group: &GroupId, id: RequestId) -> Option<RequestEvent> {
        let group = self.groups.get(group)?;
        let request = self.requests.get_mut(&id)?;
        let position = request.position?;
        let overdue = now >= request.confirm_by;
        match group.view.durability(position) {
            Durability::Durable => Some(RequestEvent::Finish),
            Durability::Pending if !overdue => None,
            // A read that showed entries which a promotion dropped is repeated.
            Durability::Lost if request.is_read() && !request.retried => {
                request.retried = true;
                Some(RequestEvent::Retry)
            }
            state => {
                let detail = match state {
                    Durability::Lost => "its term ended before a majority confirmed it",
                    _ => "no majority confirmed it in time",
                };
                let kind =
                    if request.is_read() { ErrorKind::Stale } else { ErrorKind::OutcomeUnknown };
                request.error = Some(Error::new(kind, detail));
                Some(RequestEvent::Refuse)
            }
        }
    }

    pub(super) fn discard(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.connection = None;
            let session = request.session;
            self.out.push(BrokerEffect::Discard { session, request: id });
        }
    }

    pub(super) fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let wrote = request.hold && !request.is_read() && request.error.is_none();
        let (session_id, position) = (request.session, request.position);
        let mut token = None;
        if let (true, Some(position), Some(session)) =
            (wrote, position, self.sessions.get_mut(&session_id))
        {
            session.floor = match session.floor {
                Floor::Position(old) => Floor::Position(old.max(position)),
                Floor::Since(_) => Floor::Position(position),
            };
            token = Some(format_compact!("{}={position}", session.spec.group));
        }
        self.end(id, Outcome::Release { token });
    }

    pub(super) fn fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let error = request.error.take();
        let error = error.unwrap_or_else(|| Error::new(ErrorKind::Internal, "no cause was given"));
        self.leave_queue(id);
        self.end(id, Outcome::Fail(error));
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let (session_id, transaction) = (request.session, request.transaction);
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.transaction = transaction;
        }
        self.out.push(BrokerEffect::End { session: session_id, request: id, transaction, outcome });
    }

    /// Drops a request that has ended, and its session if that waited for the end.
    pub(super) fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(session) = self.sessions.get_mut(&request.session) else { return };
        if session.request == Some(id) {
            session.request = None;
        }
        if let Some(error) = session.evict.take() {
            let pinned = session.pinned;
            self.out.push(BrokerEffect::Evict(request.session, error));
            self.sessions.remove(&request.session);
            if let Some(connection) = pinned {
                self.close_connection(connection);
            }
        }
    }
}
