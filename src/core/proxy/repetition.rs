//! Connections on which the endpoint may send an answer again.

use super::connection::Task;
use super::job::Refusal;
use super::{Proxy, StatementKind};
use crate::types::{ConnectionId, RequestId, Timestamp};

impl Proxy {
    /// Closes a connection when its job is over, if a refusal on it could be taken for the answer to a
    /// later statement. Replicas refuse many reads as lagging; such a refusal tells the log position,
    /// which mostly differs from the last one, so they keep their connections unless the endpoint is
    /// known to send answers again.
    pub(super) fn spend_on_refusal(&mut self, id: ConnectionId, refusal: Refusal) {
        let repeats = self.repeats_answers(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_spent |= repeats || refusal != Refusal::Lagging;
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
        let Some(connection) = self.remove_connection(id) else { return };
        let endpoint = connection.endpoint.clone();
        let group = self.groups.get_mut(&connection.group);
        if let Some(state) = group.and_then(|group| group.endpoints.get_mut(&endpoint)) {
            state.on_received(now);
        }
        match &connection.task {
            // A second run does no harm, so the refusal is taken at its word.
            Some(Task::Request(request)) if self.may_run_again(*request) => {
                self.detach(*request);
                self.requeue_refused(now, *request, id, &endpoint, refusal);
            }
            _ => self.end_job_of_lost(now, id, connection, sent),
        }
        self.dispatch_changed_groups(now);
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
