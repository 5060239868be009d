//! Connections on which the endpoint may send an answer again.

use super::connection::{PooledEvent, Task};
use super::job::Refusal;
use super::request::Request;
use super::{Proxy, StatementKind};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{ConnectionId, RequestId, Timestamp};

impl Request {
    /// Whether the transaction state that an endpoint reports with a result shows that the statement did
    /// not run where it was to.
    pub(super) fn ran_elsewhere(&self, transaction: TransactionState) -> bool {
        let is_open = transaction != TransactionState::Idle;
        match self.statement_kind {
            StatementKind::SingleRead => is_open != self.wrapped_in_transaction,
            StatementKind::InTransaction => !is_open,
            StatementKind::SingleWrite | StatementKind::Commit => is_open,
        }
    }
}

impl Proxy {
    /// Closes a connection when its job is over, if a refusal on it could be taken for the answer to a
    /// later statement. Replicas refuse many reads as lagging; such a refusal tells the log position,
    /// which mostly differs from the last one, so they keep their connections unless the endpoint is
    /// known to send answers again.
    pub(super) fn close_after_refusal(&mut self, id: ConnectionId, refusal: Refusal) {
        let repeats = self.repeats_answers(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.must_close |= repeats || refusal != Refusal::Lagging;
    }

    /// Whether the endpoint of a connection has sent an answer again.
    pub(super) fn repeats_answers(&self, id: ConnectionId) -> bool {
        let endpoint = self.connections.get(&id).and_then(|connection| {
            self.groups.get(&connection.group)?.endpoints.get(&connection.endpoint)
        });
        endpoint.is_some_and(|endpoint| endpoint.repeats_answers)
    }

    /// Records that an endpoint has sent an answer again.
    pub fn on_repeated_answer(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let group = self.groups.get_mut(&connection.group);
        let endpoint = group.and_then(|group| group.endpoints.get_mut(&connection.endpoint));
        if let Some(endpoint) = endpoint {
            endpoint.repeats_answers = true;
        }
    }

    /// Handles a connection that was closed because a refusal on it may be one that the endpoint has
    /// sent before. `sent` tells whether the statement of its job was sent; if so, it may have run.
    pub fn on_unclear_refusal(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        sent: bool,
        refusal: Refusal,
    ) {
        self.record_answer(now, id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.fire(PooledEvent::Answered);
        let Some(connection) = self.remove_connection(id) else { return };
        let endpoint = connection.endpoint.clone();
        match &connection.task {
            // A second run does no harm, so the refusal is accepted.
            Some(Task::Request(request)) if self.may_run_again(*request) => {
                self.detach(*request);
                self.requeue_refused(now, *request, id, &endpoint, refusal);
            }
            _ => self.end_job_of_lost(now, id, connection, sent),
        }
        self.dispatch_changed_groups(now);
    }

    /// Handles a statement that the endpoint has run outside of its transaction or inside of one that
    /// this host does not know. Closing the connection rolls back what is open.
    pub(super) fn on_ran_elsewhere(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request: RequestId,
    ) {
        let Some(found) = self.requests.get(&request) else { return };
        tracing::warn!(
            request = found.statement_id.as_str(),
            endpoint = self.connections.get(&id).map(|found| found.endpoint.as_str()),
            "pool: a statement ran outside of its transaction"
        );
        let (kind, may_be_kept) = (found.statement_kind, found.writes || self.commits(found));
        self.discard_connection(id);
        let detail = "the endpoint has run the statement outside of its transaction";
        match kind {
            StatementKind::InTransaction if may_be_kept => {
                self.fail_transaction(request);
                let error = Error::new(ErrorKind::OutcomeUnknown, detail);
                self.refuse_request(now, request, error);
            }
            StatementKind::SingleWrite | StatementKind::Commit if may_be_kept => {
                self.refuse_commit(now, request, detail);
            }
            _ => self.request_lost(now, request, true),
        }
    }

    /// Whether a statement changes nothing, and its transaction, if any, has run nothing before it.
    fn may_run_again(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            request.statement_kind == StatementKind::SingleRead
                || (request.statement_kind == StatementKind::InTransaction
                    && request.starts_transaction)
        })
    }
}
