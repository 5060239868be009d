//! Events of pooled connections: opened, job ended, connection lost.

use super::connection::{Owner, PooledConnection, PooledEvent, Task};
use super::job::{JobAnswer, JobEnd, Order, Refusal};
use super::request::{ProxyRequestEvent, Request};
use super::{Answer, Proxy, StatementKind};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{
    ConnectionId, DurationMs, EndpointId, GroupId, Position, RequestId, SessionId, Term, Timestamp,
};

/// Delay before the next connect to an endpoint that has reached its connection limit. A random
/// delay of up to the same length is added, so that the hosts do not retry all at once.
const CONNECTION_LIMIT_RETRY_DELAY: DurationMs = DurationMs(150);

/// How a connection was lost, as reported by the task that owns its socket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LossReport {
    /// Whether the statement of its job was sent.
    pub sent: bool,
    /// The endpoint's refusal of the connection, if it sent one.
    pub refusal: Option<Refusal>,
    /// Description of the cause, for the log.
    pub cause: String,
}

impl Proxy {
    /// Handles a connection that was opened.
    pub fn on_opened(&mut self, now: Timestamp, id: ConnectionId) {
        self.record_answer(now, id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.fire(PooledEvent::Opened);
        connection.last_used = now;
        self.dirty.insert(connection.group.clone());
        self.dispatch_changed_groups(now);
    }

    /// Handles the start of a read-write transaction. It proves that the endpoint is the primary and
    /// that its log holds every commit acknowledged before the job was sent.
    pub fn on_transaction_began(&mut self, now: Timestamp, id: ConnectionId, position: Position) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (group_id, endpoint) = (connection.group.clone(), connection.endpoint.clone());
        let started = connection.started;
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        if position.term < group.term && group.failover.excludes(&endpoint) {
            // It missed its replacement and would go on as a primary until it reaches the new one.
            let order = Order::Demote(group.term);
            self.order(&group_id, &endpoint, order);
            return;
        }
        group.on_primary_proof(now, &endpoint, position.term);
        self.record_position(started, &group_id, &endpoint, position);
    }

    /// Records the log position that an endpoint reported as the primary in answer to something sent
    /// at the time `sent`.
    pub(super) fn record_position(
        &mut self,
        sent: Timestamp,
        group_id: &GroupId,
        endpoint: &EndpointId,
        position: Position,
    ) {
        let Some(group) = self.groups.get(group_id) else { return };
        let proven = self.was_only_primary(sent, group, endpoint, position.term);
        if let Some(group) = self.groups.get_mut(group_id) {
            group.on_position(endpoint, position, proven.then_some(sent));
        }
    }

    /// Handles the result of a job.
    pub fn on_job_end(&mut self, now: Timestamp, id: ConnectionId, end: JobEnd) {
        self.record_answer(now, id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        self.dirty.insert(connection.group.clone());
        match end {
            JobEnd::RolledBack => {
                let was_probe = matches!(connection.task.take(), Some(Task::Order(_)));
                // A repeated begin could be taken for the answer to the next probe.
                if was_probe && self.repeats_answers(id) {
                    self.discard_connection(id);
                    return self.dispatch_changed_groups(now);
                }
                self.make_idle_or_close(id);
            }
            JobEnd::SetupRefused(refusal) => self.on_setup_refused(now, id, refusal),
            JobEnd::Answered(answer) => match connection.task.take() {
                Some(Task::Order(order)) => {
                    // A repeated status could be taken for the answer to the next order.
                    connection.must_close = true;
                    self.on_order_answered(now, id, order, &answer);
                    self.make_idle_or_close(id);
                }
                Some(Task::Request(request)) => self.on_answered(now, id, request, answer),
                None => tracing::warn!(connection = id.0, "pool: answer without a job"),
            },
        }
        self.dispatch_changed_groups(now);
    }

    /// Handles a refused setup step. The statement was not sent.
    fn on_setup_refused(&mut self, now: Timestamp, id: ConnectionId, refusal: Refusal) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let request = match connection.task.take() {
            Some(Task::Request(request)) => request,
            _ => {
                if refusal != Refusal::ReadOnly {
                    return self.discard_connection(id);
                }
                self.mark_not_primary(now, id);
                if self.repeats_answers(id) {
                    return self.discard_connection(id);
                }
                return self.make_idle_or_close(id);
            }
        };
        if self.requests.get(&request).is_some_and(Request::continues_transaction) {
            return self.refuse_in_transaction(now, id, request, refusal);
        }
        self.close_after_refusal(id, refusal);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let endpoint = connection.endpoint.clone();
        connection.session = None;
        // A refused BEGIN leaves the connection unchanged. After any other refused step the state
        // of the connection is unknown.
        if matches!(refusal, Refusal::Lagging | Refusal::ReadOnly) {
            self.make_idle_or_close(id);
        } else {
            self.discard_connection(id);
        }
        self.detach(request);
        tracing::debug!(endpoint = endpoint.as_str(), ?refusal, "pool: setup step was refused");
        self.requeue_refused(now, request, id, &endpoint, refusal);
    }

    /// Ends a transaction in which the endpoint refused a setup step of a statement. Its earlier
    /// statements have run on this connection only, so the statement must not run on another one.
    fn refuse_in_transaction(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request: RequestId,
        refusal: Refusal,
    ) {
        if refusal == Refusal::ReadOnly {
            self.mark_not_primary(now, id);
        }
        // Which variables and statements the connection has is unknown; closing it rolls back.
        self.discard_connection(id);
        self.end_waiting_transaction(now, request);
        tracing::info!(?refusal, "request: a setup step was refused in an open transaction");
        let detail = "the endpoint of the transaction refused a setup step of the statement";
        self.refuse_request(now, request, Error::new(ErrorKind::TransactionLost, detail));
    }

    /// Detaches a request from its connection: its transaction is not open on any endpoint. Must not
    /// be called for a request that continues a transaction.
    pub(super) fn detach(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.connection = None;
        let session = self.sessions.get_mut(&request.session);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            (transaction.connection, transaction.wrote, transaction.at_primary) =
                (None, false, false);
        }
    }

    fn on_answered(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: RequestId,
        answer: JobAnswer,
    ) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (endpoint, group_id) = (connection.endpoint.clone(), connection.group.clone());
        let latency_us = now.0.saturating_sub(connection.started.0);
        if let Err((refusal, _)) = &answer.result {
            self.close_after_refusal(id, *refusal);
        }
        let Some(request) = self.requests.get(&request_id) else {
            return self.release_connection(now, id, answer.transaction);
        };
        let ok = answer.result.is_ok();
        if ok && request.ran_elsewhere(answer.transaction) {
            return self.on_ran_elsewhere(now, id, request_id);
        }
        let proves_primary = ok
            && (request.wrapped_in_transaction
                || request.statement_kind == StatementKind::SingleWrite
                || (request.statement_kind == StatementKind::InTransaction && request.at_primary));
        let sent = request.sent;
        if let Some(group) = self.groups.get_mut(&group_id) {
            if let Some(state) = group.endpoints.get_mut(&endpoint) {
                state.on_latency(latency_us);
            }
            match answer.position {
                Some(position) if proves_primary => {
                    group.on_primary_proof(now, &endpoint, position.term);
                    self.record_position(sent, &group_id, &endpoint, position);
                }
                Some(position) => group.on_position(&endpoint, position, None),
                None => {}
            }
        }
        match answer.result.clone() {
            Ok(_) if self.commit_is_in_doubt(now, request_id, &endpoint, answer.position) => {
                self.release_connection(now, id, answer.transaction);
                self.refuse_commit(now, request_id, "the endpoint may have been replaced before");
            }
            Ok(signature) => {
                self.release_or_hold(now, id, request_id, answer.transaction);
                self.record_commit(now, request_id, answer.position);
                let (rows, position) = (answer.rows, answer.position);
                let reply = Answer::Endpoint { rows, signature, position };
                self.finish(now, request_id, reply);
            }
            Err((refusal, text)) => {
                self.on_refused(now, id, request_id, refusal, text, answer.transaction);
            }
        }
    }

    /// Whether the endpoint that ran a commit may have been replaced before, so that the commit may
    /// be lost.
    fn commit_is_in_doubt(
        &self,
        now: Timestamp,
        id: RequestId,
        endpoint: &EndpointId,
        position: Option<Position>,
    ) -> bool {
        let term = position.map_or(Term(0), |position| position.term);
        let Some(request) = self.requests.get(&id) else { return false };
        let group = self.groups.get(&request.route.group);
        self.commits(request)
            && group.is_some_and(|group| !self.was_only_primary(now, group, endpoint, term))
    }

    /// Whether a request makes writes durable if it succeeds.
    pub(super) fn commits(&self, request: &Request) -> bool {
        let transaction =
            self.sessions.get(&request.session).and_then(|session| session.transaction.as_ref());
        match request.statement_kind {
            StatementKind::SingleWrite => true,
            StatementKind::Commit => transaction.is_some_and(|transaction| transaction.wrote),
            StatementKind::SingleRead | StatementKind::InTransaction => false,
        }
    }

    /// Ends a write or a commit whose outcome is unknown.
    pub(super) fn refuse_commit(&mut self, now: Timestamp, id: RequestId, detail: &str) {
        let session = self.requests.get(&id).map(|request| request.session);
        if let Some(session) = session.and_then(|session| self.sessions.get_mut(&session)) {
            session.transaction = None;
        }
        self.refuse_request(now, id, Error::new(ErrorKind::OutcomeUnknown, detail));
    }

    /// Makes a connection idle after a statement, or holds it for the session's open transaction.
    pub(super) fn release_or_hold(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request: RequestId,
        transaction: TransactionState,
    ) {
        let in_transaction = self
            .requests
            .get(&request)
            .is_some_and(|found| found.statement_kind == StatementKind::InTransaction);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_used = now;
        if connection.ends_with_rollback {
            return self.await_roll_back(now, id);
        }
        if transaction == TransactionState::Idle {
            connection.session = None;
            self.make_idle_or_close(id);
        } else if in_transaction {
            connection.fire(PooledEvent::Hold);
        } else {
            tracing::warn!(
                connection = id.0,
                "pool: endpoint reports a transaction that this host did not begin"
            );
            self.discard_connection(id);
        }
    }

    /// Waits for the rollback that ends a connection's job.
    fn await_roll_back(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.fire(PooledEvent::Clean);
        connection.started = now;
        self.expect_answer(now, id);
    }

    /// Releases a connection whose transaction, if any, is no longer needed; an open one is rolled
    /// back.
    pub(super) fn release_connection(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        state: TransactionState,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.session = None;
        if connection.ends_with_rollback {
            return self.await_roll_back(now, id);
        }
        if state == TransactionState::Idle {
            self.make_idle_or_close(id);
        } else {
            connection.fire(PooledEvent::Hold);
            self.roll_back_connection(now, id);
        }
    }

    /// Records a commit in the session, so that its later reads see it, and the time of an answer in
    /// the open transaction.
    fn record_commit(&mut self, now: Timestamp, id: RequestId, position: Option<Position>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(session) = self.sessions.get_mut(&request.session) else { return };
        let commits = match request.statement_kind {
            StatementKind::SingleWrite => true,
            StatementKind::Commit => {
                session.transaction.take().is_some_and(|transaction| transaction.wrote)
            }
            StatementKind::SingleRead => false,
            StatementKind::InTransaction => {
                if let Some(transaction) = &mut session.transaction {
                    transaction.idle_since = now;
                }
                false
            }
        };
        if commits {
            session.committed = session.committed.max(position);
        }
    }

    /// Ends a request with the answer of its endpoint.
    pub(super) fn finish(&mut self, now: Timestamp, id: RequestId, answer: Answer) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.answer = Some(answer);
        }
        self.fire(now, id, ProxyRequestEvent::Finish);
    }

    /// Handles a connection that was lost or could not be opened.
    pub fn on_lost(&mut self, now: Timestamp, id: ConnectionId, report: &LossReport) {
        let Some(connection) = self.connections.get(&id) else { return };
        let connecting = connection.is_connecting();
        let delay_us = self.random_delay_us(CONNECTION_LIMIT_RETRY_DELAY.as_us());
        let Some(connection) = self.remove_connection(id) else { return };
        self.record_loss(now, &connection, connecting, delay_us, report);
        self.end_job_of_lost(now, id, connection, report.sent);
        self.dispatch_changed_groups(now);
    }

    /// Ends what ran on a connection that is gone.
    pub(super) fn end_job_of_lost(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        connection: PooledConnection,
        sent: bool,
    ) {
        match connection.task {
            Some(Task::Request(request)) if self.requests.contains_key(&request) => {
                self.request_lost(now, request, sent);
            }
            Some(Task::Request(_) | Task::Order(_)) => {}
            None => {
                if let Some(session) = connection.session {
                    self.held_connection_lost(now, id, session);
                }
            }
        }
    }

    /// Handles the loss of a connection on which the transaction of a session is open. A statement
    /// that waits there for a retry is answered now, and others when they arrive.
    fn held_connection_lost(&mut self, now: Timestamp, id: ConnectionId, session: SessionId) {
        let Some(session) = self.sessions.get_mut(&session) else { return };
        let Some(transaction) = &mut session.transaction else { return };
        let request =
            session.request.and_then(|request| Some((request, self.requests.get(&request)?)));
        match request.filter(|(_, request)| request.connection == Some(id)) {
            None => (transaction.lost, transaction.connection) = (true, None),
            Some((request, found)) if found.continues_transaction() => {
                self.end_waiting_transaction(now, request);
                let detail = "the connection to the endpoint was lost before the statement ran";
                self.refuse_request(now, request, Error::new(ErrorKind::TransactionLost, detail));
            }
            Some((request, _)) => self.detach(request),
        }
    }

    /// Logs the loss of a connection and records it for its endpoint.
    fn record_loss(
        &mut self,
        now: Timestamp,
        connection: &PooledConnection,
        connecting: bool,
        delay_us: u64,
        report: &LossReport,
    ) {
        tracing::info!(
            endpoint = connection.endpoint.as_str(),
            group = connection.group.as_str(),
            account = match &connection.owner {
                Owner::Account(account) => account.as_str(),
                Owner::Host => "-",
            },
            connecting, sent = report.sent, refusal = ?report.refusal,
            cause = report.cause.as_str(), "pool: connection lost"
        );
        let Some(group) = self.groups.get_mut(&connection.group) else { return };
        let Some(state) = group.endpoints.get_mut(&connection.endpoint) else { return };
        match report.refusal {
            Some(Refusal::ConnectionLimit) => {
                state.on_received(now);
                let delay = DurationMs(CONNECTION_LIMIT_RETRY_DELAY.0 + delay_us / 1_000);
                state.allowance.on_refused(now, state.connections.len() as u64, delay);
                state.connect_after = now + delay;
            }
            _ => state.on_connection_failure(now, connecting),
        }
    }

    /// Handles the loss of the connection of a running request. The request is retried if it was not
    /// sent or if a second run does no harm; otherwise it is refused.
    pub(super) fn request_lost(&mut self, now: Timestamp, id: RequestId, sent: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let wrote = self
            .sessions
            .get(&request.session)
            .and_then(|session| session.transaction.as_ref())
            .is_some_and(|transaction| transaction.wrote);
        let may_retry = !sent
            || request.statement_kind == StatementKind::SingleRead
            || (request.statement_kind == StatementKind::InTransaction
                && request.starts_transaction);
        if may_retry && (request.statement_kind.is_single() || request.starts_transaction) {
            request.retries += 1;
            self.detach(id);
            return self.fire(now, id, ProxyRequestEvent::NotRun);
        }
        let detail = "the connection to the endpoint was lost while the statement ran";
        let unknown = sent
            && (request.statement_kind == StatementKind::SingleWrite
                || (request.statement_kind == StatementKind::Commit && wrote));
        let kind = if unknown { ErrorKind::OutcomeUnknown } else { ErrorKind::TransactionLost };
        let commit = request.statement_kind == StatementKind::Commit;
        let session = request.session;
        if commit {
            if let Some(session) = self.sessions.get_mut(&session) {
                session.transaction = None;
            }
        } else {
            self.fail_transaction(id);
        }
        self.refuse_request(now, id, Error::new(kind, detail));
    }
}
