//! Refusals of statements by endpoints: which are tried again, and what the caller is told.

use super::connection::PooledEvent;
use super::job::Refusal;
use super::request::ProxyRequestEvent;
use super::{Answer, Proxy, StatementKind};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{ConnectionId, DurationMs, RequestId, Timestamp};

/// Delay before a request is retried that an endpoint refused because all its slots were occupied.
const BUSY_RETRY_DELAY: DurationMs = DurationMs(15);
/// Delay before a request is retried that needs the primary and was sent to another endpoint.
const NOT_PRIMARY_RETRY_DELAY: DurationMs = DurationMs(10);
/// Maximum number of retries for a read that fails on an endpoint.
const MAX_FAILED_READ_RETRIES: u32 = 2;

impl Proxy {
    pub(super) fn on_refused(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: RequestId,
        refusal: Refusal,
        text: compact_str::CompactString,
        transaction: TransactionState,
    ) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let (statement_kind, starts_transaction) =
            (request.statement_kind, request.starts_transaction);
        let may_retry = request.retries < MAX_FAILED_READ_RETRIES;
        let endpoint = self.connections.get(&id).map(|found| found.endpoint.clone());
        let Some(endpoint) = endpoint else { return };
        let not_run = matches!(
            refusal,
            Refusal::Busy | Refusal::UnknownStatement | Refusal::Lagging | Refusal::ReadOnly
        );
        if refusal == Refusal::UnknownStatement {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.prepared.clear();
            }
        }
        match statement_kind {
            StatementKind::SingleRead | StatementKind::SingleWrite => {
                self.release_or_hold(now, id, request_id, transaction);
                let read = statement_kind == StatementKind::SingleRead;
                if not_run || (read && may_retry && refusal == Refusal::Failed) {
                    self.detach(request_id);
                    return self.requeue_refused(now, request_id, id, &endpoint, refusal);
                }
                self.finish(now, request_id, Answer::EndpointRefused(refusal, text));
            }
            StatementKind::InTransaction
                if refusal == Refusal::Busy && transaction == TransactionState::Open =>
            {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.fire(PooledEvent::Hold);
                }
                self.requeue_refused(now, request_id, id, &endpoint, refusal);
            }
            StatementKind::InTransaction | StatementKind::Commit
                if starts_transaction && not_run =>
            {
                self.release_connection(now, id, transaction);
                self.detach(request_id);
                self.requeue_refused(now, request_id, id, &endpoint, refusal);
            }
            StatementKind::InTransaction => {
                if refusal == Refusal::ReadOnly {
                    self.mark_not_primary(now, id);
                }
                self.release_connection(now, id, transaction);
                self.fail_transaction(request_id);
                let reply = match refusal {
                    Refusal::ReadOnly | Refusal::UnknownStatement => Answer::Refused(Error::new(
                        ErrorKind::TransactionLost,
                        "the endpoint of the transaction is no longer the primary",
                    )),
                    _ => Answer::EndpointRefused(refusal, text),
                };
                self.finish(now, request_id, reply);
            }
            StatementKind::Commit => {
                self.on_commit_refused(now, id, request_id, refusal, text, transaction)
            }
        }
    }

    pub(super) fn on_commit_refused(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request: RequestId,
        refusal: Refusal,
        text: compact_str::CompactString,
        transaction: TransactionState,
    ) {
        if refusal == Refusal::Busy && transaction == TransactionState::Open {
            let endpoint = self.connections.get(&id).map(|found| found.endpoint.clone());
            if let (Some(connection), Some(endpoint)) = (self.connections.get_mut(&id), endpoint) {
                connection.fire(PooledEvent::Hold);
                return self.requeue_refused(now, request, id, &endpoint, refusal);
            }
        }
        if refusal == Refusal::ReadOnly {
            self.mark_not_primary(now, id);
        }
        self.release_connection(now, id, transaction);
        let session = self.requests.get(&request).map(|found| found.session);
        if let Some(session) = session.and_then(|session| self.sessions.get_mut(&session)) {
            session.transaction = None;
        }
        let reply = match refusal {
            Refusal::ReadOnly | Refusal::Busy => Answer::Refused(Error::new(
                ErrorKind::TransactionLost,
                "the endpoint did not commit the transaction",
            )),
            _ => Answer::EndpointRefused(refusal, text),
        };
        self.finish(now, request, reply);
    }

    /// Records that the endpoint of a connection is not the primary.
    pub(super) fn mark_not_primary(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let endpoint = connection.endpoint.clone();
        if let Some(group) = self.groups.get_mut(&connection.group) {
            group.on_not_primary(now, &endpoint);
        }
    }

    /// Requeues a request that its endpoint did not run, or a read that failed there.
    pub(super) fn requeue_refused(
        &mut self,
        now: Timestamp,
        id: RequestId,
        connection: ConnectionId,
        endpoint: &crate::types::EndpointId,
        refusal: Refusal,
    ) {
        if refusal == Refusal::ReadOnly {
            self.mark_not_primary(now, connection);
            let group = self.requests.get(&id).map(|request| request.route.group.clone());
            if let Some(group) = group.and_then(|group| self.groups.get_mut(&group)) {
                group.on_not_primary(now, endpoint);
            }
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.retries += 1;
        if matches!(refusal, Refusal::Lagging | Refusal::Failed) {
            request.tried.push(endpoint.clone());
        }
        let lacked = request.after.filter(|_| refusal == Refusal::Lagging);
        let group = self.groups.get_mut(&request.route.group);
        let state = group.and_then(|group| group.endpoints.get_mut(endpoint));
        if let (Some(position), Some(state)) = (lacked, state) {
            state.gap.on_lagging(now, position);
        }
        tracing::info!(
            request = request.statement_id.as_str(),
            session = request.session.0,
            group = request.route.group.as_str(),
            endpoint = endpoint.as_str(),
            ?refusal,
            after = request.after.as_ref().map(ToString::to_string),
            returns = request.retries,
            "request: refused by the endpoint, retrying"
        );
        let delay = match refusal {
            Refusal::Busy => BUSY_RETRY_DELAY,
            Refusal::ReadOnly => NOT_PRIMARY_RETRY_DELAY,
            _ => DurationMs(0),
        };
        request.not_before = now + delay;
        self.fire(now, id, ProxyRequestEvent::NotRun);
    }

    /// Marks the transaction of a request as failed.
    pub(super) fn fail_transaction(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let session = self.sessions.get_mut(&request.session);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            (transaction.failed, transaction.connection) = (true, None);
        }
    }
}
