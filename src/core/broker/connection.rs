//! The core's record of each endpoint connection: its job, its transaction and its last status.

use super::{Broker, BrokerEffect, OrderKind};
use crate::core::group::EndpointStatus;
use crate::types::{ConnectionId, EndpointId, GroupId, RequestId, SessionId, Timestamp};

/// The job that a connection runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionJob {
    /// A caller's request.
    Request(RequestId),
    /// A status probe, sent at the connection's `started` time.
    Probe,
    /// An order of the promotion procedure.
    Order(OrderKind),
}

/// Whether a connection can take work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connect or the login is in progress.
    Connecting,
    /// No job runs on it.
    Idle,
    /// A job runs on it.
    Busy(ConnectionJob),
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    /// Group of the endpoint.
    pub group: GroupId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether it is connecting, idle or busy.
    pub state: ConnectionState,
    /// Session with an open transaction on this connection.
    pub pinned: Option<SessionId>,
    /// When its latest job was sent.
    pub started: Timestamp,
    /// Number of lost connections to the endpoint when this one was opened. Once another one is
    /// lost, this connection's statuses are no longer used, because the endpoint may have rewound
    /// its log since.
    pub epoch: u64,
    /// Its job was cancelled. The connection closes after the job, because a delayed cancel request
    /// could cancel the next one.
    pub cancelled: bool,
    /// Latest endpoint status received on it.
    pub last_status: Option<EndpointStatus>,
    /// When `last_status` was received.
    pub status_at: Timestamp,
}

impl Connection {
    /// Whether it can run a request of any session, a probe or an order.
    pub fn is_free(&self) -> bool {
        self.state == ConnectionState::Idle && self.pinned.is_none() && !self.cancelled
    }

    /// The status that the endpoint reported since the latest job was sent.
    pub(super) fn job_status(&self) -> Option<EndpointStatus> {
        self.last_status.filter(|_| self.status_at >= self.started)
    }

    pub(super) fn start(&mut self, job: ConnectionJob, now: Timestamp) {
        self.state = ConnectionState::Busy(job);
        self.started = now;
    }
}

impl Broker {
    /// Opens another connection to an endpoint.
    pub(super) fn connect(&mut self, now: Timestamp, group_id: &GroupId, endpoint: &EndpointId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let Some(slot) = group.endpoints.get_mut(endpoint) else { return };
        self.next_connection += 1;
        let id = ConnectionId(self.next_connection);
        slot.connections.insert(id);
        slot.connecting += 1;
        let connection = Connection {
            group: group_id.clone(),
            endpoint: endpoint.clone(),
            state: ConnectionState::Connecting,
            pinned: None,
            started: now,
            epoch: slot.epoch,
            cancelled: false,
            last_status: None,
            status_at: now,
        };
        let address = slot.spec.address;
        self.connections.insert(id, connection);
        let endpoint = endpoint.clone();
        self.note_asked(now, group_id, &endpoint);
        self.effects.push(BrokerEffect::Connect { connection: id, endpoint, address });
    }

    pub(super) fn cancel_connection(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.cancelled = true;
            self.effects.push(BrokerEffect::CancelRunning(id));
        }
    }

    /// Closes a connection on this host's initiative. Unlike a loss, this does not count against
    /// the endpoint.
    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        if self.remove_connection(id).is_some() {
            self.effects.push(BrokerEffect::Close(id));
        }
    }

    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(session) = connection.pinned.and_then(|id| self.sessions.get_mut(&id)) {
            session.pinned = None;
        }
        if let Some(group) = self.groups.get_mut(&connection.group) {
            if let Some(slot) = group.endpoints.get_mut(&connection.endpoint) {
                slot.connections.remove(&id);
                if connection.state == ConnectionState::Connecting {
                    slot.connecting -= 1;
                }
            }
        }
        Some(connection)
    }

    /// Closes idle connections that were opened before the endpoint's latest connection loss. Their
    /// statuses are no longer used, so they would take up the connection budget without ever
    /// getting work.
    pub(super) fn close_outdated(&mut self, group: &GroupId, endpoint: &EndpointId) {
        let slot = self.groups.get(group).and_then(|group| group.endpoints.get(endpoint));
        let Some(slot) = slot else { return };
        let outdated = |id: &&ConnectionId| {
            let found = self.connections.get(id);
            found.is_some_and(|found| found.is_free() && found.epoch != slot.epoch)
        };
        let ids: Vec<ConnectionId> = slot.connections.iter().filter(outdated).copied().collect();
        for id in ids {
            self.close_connection(id);
        }
    }

    /// A free connection to an endpoint that was opened after its latest connection loss.
    pub(super) fn free_connection(
        &self,
        group: &GroupId,
        endpoint: &EndpointId,
    ) -> Option<ConnectionId> {
        let slot = self.groups.get(group)?.endpoints.get(endpoint)?;
        let free = |id: &&ConnectionId| {
            let connection = self.connections.get(id);
            connection.is_some_and(|found| found.is_free() && found.epoch == slot.epoch)
        };
        slot.connections.iter().find(free).copied()
    }
}
