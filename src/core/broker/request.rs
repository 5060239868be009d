//! Life of a request: admission, queueing, sending, durability and its end.

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
    /// Session that sent the request.
    pub session: SessionId,
    /// Database group that it is routed to.
    pub group: GroupId,
    /// Classification of its statements.
    pub class: Class,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// When it last entered the queue, after its account's tokens were taken.
    pub queued: Timestamp,
    /// Time at which it is refused if it still waits.
    pub deadline: Timestamp,
    /// Its state machine, an instance of the request chart.
    pub machine: Machine<RequestState, RequestEvent, NoGuard, RequestAction>,
    /// Connection that it is assigned to.
    pub connection: Option<ConnectionId>,
    /// When it was last sent to an endpoint.
    pub sent: Timestamp,
    /// Whether its answer is buffered until the request ends.
    pub hold: bool,
    /// Position that must be durable before the answer is released.
    pub position: Option<Position>,
    /// Whether it was retried; a request is retried at most once.
    pub retried: bool,
    /// Error for the caller if the request fails.
    pub error: Option<Error>,
    pub(super) ticket: Option<Ticket>,
    pub(super) transaction: TransactionState,
    pub(super) durability_deadline: Timestamp,
}

impl Request {
    /// Whether the request only reads and neither begins nor ends a transaction.
    pub fn is_read(&self) -> bool {
        self.replica_may_run() && !self.class.begins
    }

    /// Whether a replica may run the request, which is then a read or begins a read-only
    /// transaction.
    pub fn replica_may_run(&self) -> bool {
        self.class.access == Access::Read && !self.class.ends
    }

    /// Whether it waits for an endpoint, in a queue of its group or parked.
    pub fn is_queued(&self) -> bool {
        self.machine.state() == RequestState::Queued
    }
}

impl Broker {
    /// Registers a request of a session. Returns its account and deadline, for which tokens have to
    /// be taken before [`Broker::admit`], or `None` if the request was refused at once.
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
        let transaction_lost = std::mem::take(&mut session.lost_transaction);
        if transaction_lost {
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
            durability_deadline: now,
        };
        let (group, deadline) = (request.group.clone(), request.deadline);
        self.requests.insert(id, request);
        if let Some(group) = self.groups.get_mut(&group) {
            group.submitted += 1;
        }
        if transaction_lost {
            let detail =
                "the open transaction was rolled back because its endpoint connection was lost";
            self.refuse_kind(now, id, ErrorKind::TransactionLost, detail);
            return None;
        }
        if self.draining && pinned.is_none() {
            self.refuse_kind(now, id, ErrorKind::HostDraining, "the host accepts no new requests");
            return None;
        }
        Some((account, deadline))
    }

    /// Queues a request whose tokens were taken, or sends it at once if it belongs to an open
    /// transaction.
    pub fn admit(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (group, session) = (request.group.clone(), request.session);
        if request.connection.is_some() {
            return self.fire(now, id, RequestEvent::BypassQueue);
        }
        self.note_anchor_demand(now, &group, session);
        self.fire(now, id, RequestEvent::Admit);
        self.dispatch(now, &group);
    }

    /// Refuses a request that got no tokens from its account's rate limit.
    pub fn refuse_admission(&mut self, now: Timestamp, id: RequestId, kind: ErrorKind) {
        self.refuse_kind(now, id, kind, "the client account has no tokens left");
    }

    /// Refuses a request that was not admitted; a fatal error also closes its session.
    pub fn refuse_with(&mut self, now: Timestamp, id: RequestId, error: Error) {
        let session = self.requests.get(&id).map(|request| request.session);
        let fatal = error.kind.answer().fatal;
        self.refuse(now, id, error.clone());
        if let (true, Some(session)) = (fatal, session) {
            self.evict(now, session, error);
        }
    }

    fn note_anchor_demand(&mut self, now: Timestamp, group: &GroupId, session: SessionId) {
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
        let cost = self.expected_cost(&account);
        let (read, deadline) = (request.replica_may_run(), request.deadline);
        let Some(group) = self.groups.get_mut(&request.group) else {
            return self.refuse_kind(
                now,
                id,
                ErrorKind::NoEndpoint,
                "the database group is no longer in the tables",
            );
        };
        let queue_account = self.settings.queue_order.queue_account(&account);
        match group.queue_mut(read).push(now, queue_account, weight, cost, deadline, id) {
            Ok(ticket) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.queued = now;
                    request.ticket = Some(ticket);
                }
            }
            Err(kind) => self.refuse_kind(
                now,
                id,
                kind,
                "the queue is full or cannot serve the request by its deadline",
            ),
        }
    }

    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (ticket, read) = (request.ticket.take(), request.replica_may_run());
        let Some(group) = self.groups.get_mut(&request.group) else { return };
        group.parked.retain(|parked| *parked != id);
        let Some(session) = self.sessions.get(&request.session) else { return };
        if let Some(ticket) = ticket {
            let queue_account = self.settings.queue_order.queue_account(&session.spec.account);
            group.queue_mut(read).remove(queue_account, ticket);
        }
    }

    /// Sends a request over its connection. The answer is streamed to the caller only where no
    /// later event can invalidate it: inside a transaction, and for a read on a replica that forms
    /// a majority with the primary. All other answers are buffered until the request ends.
    pub(super) fn send(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(connection_id) = request.connection else { return };
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let Some(session) = self.sessions.get(&request.session) else { return };
        let in_transaction = session.pinned.is_some() || request.class.begins;
        let group = self.groups.get(&request.group);
        let reads_durable =
            group.is_some_and(|group| group.reads_are_durable_on(&connection.endpoint));
        request.hold =
            if in_transaction { request.class.ends } else { !request.is_read() || !reads_durable };
        request.sent = now;
        request.ticket = None;
        connection.start(ConnectionJob::Request(id), now);
        if request.class.begins {
            connection.pinned = Some(request.session);
        }
        self.effects.push(BrokerEffect::Send {
            connection: connection_id,
            request: id,
            session: request.session,
            hold: request.hold,
        });
    }

    pub(super) fn await_durability(&mut self, now: Timestamp, id: RequestId) {
        let limit = self.settings.confirm_limit_ms;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.durability_deadline = now + limit;
        let group = request.group.clone();
        if let Some(group) = self.groups.get_mut(&group) {
            group.awaiting_durability.push(id);
        }
    }

    /// Ends the requests that wait for durability and now have it, can no longer get it, or have
    /// waited too long.
    pub(super) fn check_durability(&mut self, now: Timestamp, group_id: &GroupId) {
        self.drop_old_primaries(now, group_id);
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let pending = std::mem::take(&mut group.awaiting_durability);
        let mut remaining = Vec::new();
        for id in pending {
            match self.durability_event(now, group_id, id) {
                None => remaining.push(id),
                Some(event) => self.fire(now, id, event),
            }
        }
        if let Some(group) = self.groups.get_mut(group_id) {
            // Requests that began to wait during this loop come after the earlier ones.
            remaining.append(&mut group.awaiting_durability);
            group.awaiting_durability = remaining;
        }
    }

    fn durability_event(
        &mut self,
        now: Timestamp,
        group: &GroupId,
        id: RequestId,
    ) -> Option<RequestEvent> {
        let group = self.groups.get(group)?;
        let request = self.requests.get_mut(&id)?;
        let position = request.position?;
        let overdue = now >= request.durability_deadline;
        match group.view.durability(position) {
            Durability::Durable => Some(RequestEvent::Finish),
            Durability::Pending if !overdue => None,
            // The read showed entries that a promotion discarded, so it runs again.
            Durability::Lost if request.is_read() && !request.retried => {
                request.retried = true;
                Some(RequestEvent::Retry)
            }
            state => {
                let detail = match state {
                    Durability::Lost => "its term ended before a majority confirmed its position",
                    _ => "no majority confirmed its position in time",
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
            self.effects.push(BrokerEffect::Discard { session, request: id });
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
        let error = error.unwrap_or_else(|| {
            Error::new(ErrorKind::Internal, "the request failed without a recorded error")
        });
        self.leave_queue(id);
        self.end(id, Outcome::Fail(error));
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let (session_id, transaction) = (request.session, request.transaction);
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.transaction = transaction;
        }
        self.effects.push(BrokerEffect::End {
            session: session_id,
            request: id,
            transaction,
            outcome,
        });
    }

    /// Removes a request that has ended, and closes its session if an eviction waited for that.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(session) = self.sessions.get_mut(&request.session) else { return };
        if session.request == Some(id) {
            session.request = None;
        }
        if let Some(error) = session.pending_eviction.take() {
            let pinned = session.pinned;
            self.effects.push(BrokerEffect::Evict(request.session, error));
            self.sessions.remove(&request.session);
            if let Some(connection) = pinned {
                self.close_connection(connection);
            }
        }
    }
}
