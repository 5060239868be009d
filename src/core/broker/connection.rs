//! Connections to endpoints as the core sees them.

use super::{Broker, BrokerEffect, OrderKind};
use crate::core::group::EndpointStatus;
use crate::types::{ConnectionId, EndpointId, GroupId, RequestId, SessionId, Timestamp};

/// What a connection runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionJob {
    /// A caller's request.
    Request(RequestId),
    /// A probe; its send time is the connection's `started`.
    Probe,
    /// An order of the promotion procedure.
    Order(OrderKind),
}

/// Whether a connection can take work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionState {
    /// The login is under way.
    Connecting,
    /// Nothing runs on it.
    Idle,
    /// It runs a job.
    Busy(ConnectionJob),
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    /// Group of the endpoint.
    pub group: GroupId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it does.
    pub state: ConnectionState,
    /// Session whose transaction is open on it.
    pub pinned: Option<SessionId>,
    /// When its job was sent.
    pub started: Timestamp,
    /// Losses of the endpoint's connections before this one was opened. A status from before a
    /// later loss is not trusted, because the endpoint may have rewound its log meanwhile.
    pub epoch: u64,
    /// Its job was cancelled; it closes after the job, since a late cancel could hit the next one.
    pub cancelled: bool,
    /// Latest status that arrived over it.
    pub last_status: Option<EndpointStatus>,
    /// When it arrived.
    pub status_at: Timestamp,
}

impl Connection {
    /// Whether it can take a job.
    pub fn is_free(&self) -> bool {
        self.state == ConnectionState::Idle && self.pinned.is_none() && !self.cancelled
    }

    /// The status that the endpoint reported while it answered the present job.
    pub(super) fn job_status(&self) -> Option<EndpointStatus> {
        self.last_status.filter(|_| self.status_at >= self.started)
    }

    pub(super) fn start(&mut self, job: ConnectionJob, now: Timestamp) {
        self.state = ConnectionState::Busy(job);
        self.started = now;
    }
}

impl Broker {
    /// Opens one more connection to an endpoint.
    pub(super) fn connect(&mut self, now: Timestamp, group_id: &GroupId, endpoint: &EndpointId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let Some(member) = group.endpoints.get_mut(endpoint) else { return };
        self.next_connection += 1;
        let id = ConnectionId(self.next_connection);
        member.connections.insert(id);
        member.connecting += 1;
        let connection = Connection {
            group: group_id.clone(),
            endpoint: endpoint.clone(),
            state: ConnectionState::Connecting,
            pinned: None,
            started: now,
            epoch: member.epoch,
            cancelled: false,
            last_status: None,
            status_at: now,
        };
        let address = member.spec.address;
        self.connections.insert(id, connection);
        let endpoint = endpoint.clone();
        self.note_asked(now, group_id, &endpoint);
        self.out.push(BrokerEffect::Connect { connection: id, endpoint, address });
    }

    pub(super) fn cancel_connection(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.cancelled = true;
            self.out.push(BrokerEffect::CancelRunning(id));
        }
    }

    /// Closes a connection by the host's own decision; that says nothing about the endpoint.
    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        if self.remove_connection(id).is_some() {
            self.out.push(BrokerEffect::Close(id));
        }
    }

    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(session) = connection.pinned.and_then(|id| self.sessions.get_mut(&id)) {
            session.pinned = None;
        }
        if let Some(group) = self.groups.get_mut(&connection.group) {
            if let Some(member) = group.endpoints.get_mut(&connection.endpoint) {
                member.connections.remove(&id);
                if connection.state == ConnectionState::Connecting {
                    member.connecting -= 1;
                }
            }
        }
        Some(connection)
    }

    /// Closes idle connections from before the latest loss. Their status is not trusted any more,
    /// so that they would take up the connection budget without ever getting work.
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

    /// A free connection to an endpoint that is trusted to report the endpoint's present state.
    pub(super) fn free_connection(
        &self,
        group: &GroupId,
        endpoint: &EndpointId,
    ) -> Option<ConnectionId> {
        let member = self.groups.get(group)?.endpoints.get(endpoint)?;
        let free = |id: &&ConnectionId| {
            let connection = self.connections.get(id);
            connection.is_some_and(|found| found.is_free() && found.epoch == member.epoch)
        };
        member.connections.iter().find(free).copied()
    }
}
