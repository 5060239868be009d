//! Limit of the connections that a host accepts, within the descriptors that it may open.
//!
//! Answers crowds that connect and send nothing, which would leave no descriptor for anybody else.
//! At the limit the oldest connection without a session makes room for a new one, and after those
//! the oldest session, which is ended as soon as nothing is in progress.

use std::collections::BTreeSet;

use crate::types::{DescriptorCount, SessionId};

/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Percentage of the others for callers and relayed sessions; the rest is for endpoints, links,
/// probes and the store.
const CALLER_PERCENT: u64 = 75;

/// Number of sockets for callers and relayed sessions on a host with this many descriptors.
pub fn socket_limit(descriptors: DescriptorCount) -> usize {
    let sockets = descriptors.0.saturating_sub(FILE_DESCRIPTORS) * CALLER_PERCENT / 100;
    usize::try_from(sockets).unwrap_or(usize::MAX).max(1)
}

/// A connection that makes room for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Displaced {
    /// It has no session and is closed.
    Starting(SessionId),
    /// Its session is ended once nothing is in progress.
    Session(SessionId),
}

/// The connections of callers to a host.
#[derive(Debug)]
pub struct ConnectionLimit {
    limit: usize,
    /// Connections without a session.
    starting: BTreeSet<SessionId>,
    /// Connections with a session that was not displaced.
    sessions: BTreeSet<SessionId>,
}

impl ConnectionLimit {
    /// No connections, and at most `limit` sockets.
    pub fn new(limit: usize) -> Self {
        Self { limit, starting: BTreeSet::new(), sessions: BTreeSet::new() }
    }

    /// Called when a connection was accepted. `relays` is the number of sockets of relayed sessions.
    /// Returns the connection that makes room for it.
    pub fn on_accepted(&mut self, id: SessionId, relays: usize) -> Option<Displaced> {
        let used = self.starting.len() + self.sessions.len() + relays;
        let displaced = if used < self.limit {
            None
        } else if let Some(oldest) = self.starting.pop_first() {
            Some(Displaced::Starting(oldest))
        } else {
            self.sessions.pop_first().map(Displaced::Session)
        };
        self.starting.insert(id);
        displaced
    }

    /// Called when the caller of a connection has asked for its session.
    pub fn on_started(&mut self, id: SessionId) {
        if self.starting.remove(&id) {
            self.sessions.insert(id);
        }
    }

    /// Called when a connection is closed.
    pub fn remove(&mut self, id: SessionId) {
        self.starting.remove(&id);
        self.sessions.remove(&id);
    }
}
