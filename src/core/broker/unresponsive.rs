//! Closes the connections to endpoints that no longer answer and to primaries of earlier terms.
//!
//! A frozen or partitioned endpoint does not close its connections, so requests on them would
//! wait forever.

use super::connection::ConnectionJob;
use super::{Broker, BrokerEffect, ConnectionState, LossReport};
use crate::types::{ConnectionId, DurationMs, EndpointId, GroupId, Timestamp};

/// Time after which an endpoint counts as unresponsive if it sent nothing since a connect, a probe
/// or an order. Long enough for a paused process or a lost packet, and short enough for a failover
/// in under 3 s.
const ENDPOINT_ANSWER_TIMEOUT: DurationMs = DurationMs(2_000);

impl Broker {
    /// Records that an endpoint sent something over one of its connections.
    pub(super) fn note_heard(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let Some(group) = self.groups.get_mut(&connection.group) else { return };
        if let Some(slot) = group.endpoints.get_mut(&connection.endpoint) {
            slot.last_heard = now;
            slot.awaiting_since = None;
        }
    }

    /// Records that an endpoint owes an answer to a connect, a probe or an order.
    pub(super) fn note_asked(&mut self, now: Timestamp, group: &GroupId, endpoint: &EndpointId) {
        let Some(group) = self.groups.get_mut(group) else { return };
        if let Some(slot) = group.endpoints.get_mut(endpoint) {
            slot.awaiting_since.get_or_insert(now);
        }
    }

    /// Closes all connections to endpoints that have not answered for [`ENDPOINT_ANSWER_TIMEOUT`].
    pub(super) fn drop_unresponsive(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get(group_id) else { return };
        let unresponsive: Vec<EndpointId> = group
            .endpoints
            .iter()
            .filter(|(_, slot)| {
                slot.awaiting_since.is_some_and(|since| now >= since + ENDPOINT_ANSWER_TIMEOUT)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for endpoint in unresponsive {
            tracing::warn!("endpoint: {endpoint} does not answer; closing its connections");
            self.drop_connections(now, group_id, &endpoint, |_| true);
            if let Some(group) = self.groups.get_mut(group_id) {
                if let Some(slot) = group.endpoints.get_mut(&endpoint) {
                    slot.awaiting_since = None;
                }
            }
        }
    }

    /// After a promotion, closes the connections to primaries of earlier terms that run a request or
    /// hold a transaction, because their writes can no longer become durable.
    pub(super) fn drop_old_primaries(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let term = group.view.term();
        if group.view.primary().is_none() || group.old_primaries_dropped_term >= term {
            return;
        }
        group.old_primaries_dropped_term = term;
        let endpoints: Vec<EndpointId> = group.endpoints.keys().cloned().collect();
        for endpoint in endpoints {
            self.drop_connections(now, group_id, &endpoint, |connection| {
                let runs_request =
                    matches!(connection.state, ConnectionState::Busy(ConnectionJob::Request(_)));
                let is_old_primary = |status: crate::core::group::EndpointStatus| {
                    status.term < term && status.role == crate::core::group::Role::Primary
                };
                (runs_request || connection.pinned.is_some())
                    && connection.last_status.is_some_and(is_old_primary)
            });
        }
    }

    fn drop_connections(
        &mut self,
        now: Timestamp,
        group: &GroupId,
        endpoint: &EndpointId,
        is_affected: impl Fn(&super::Connection) -> bool,
    ) {
        let found: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.group == *group)
            .filter(|(_, connection)| connection.endpoint == *endpoint && is_affected(connection))
            .map(|(id, _)| *id)
            .collect();
        for id in found {
            self.effects.push(BrokerEffect::Close(id));
            // The core does not know whether part of a streamed answer already reached the caller;
            // it assumes so, and the read is not retried.
            let passed = self.streams_answer(id);
            self.on_lost(now, id, &LossReport { refused: None, passed });
        }
    }

    fn streams_answer(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else { return false };
        match connection.state {
            ConnectionState::Busy(ConnectionJob::Request(request)) => {
                self.requests.get(&request).is_some_and(|request| !request.hold)
            }
            _ => false,
        }
    }
}
