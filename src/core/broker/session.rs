//! Caller sessions: position tokens, cancellation and eviction.

use std::collections::BTreeSet;
use std::rc::Rc;

use compact_str::{format_compact, CompactString};

use super::{Broker, BrokerEffect, RequestEvent};
use crate::core::broker::RequestState;
use crate::core::group::{Floor, Freshness};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{
    AccountId, ConnectionId, DurationMs, EndpointId, GroupId, KeyId, Position, RequestId,
    SessionId, Timestamp, Weight,
};

/// Route and account settings with which a session is opened.
#[derive(Debug, Clone)]
pub struct SessionSpec {
    /// Client account of the route.
    pub account: AccountId,
    /// Key that authenticated the caller; `None` on an open route.
    pub key: Option<KeyId>,
    /// Database group that the route leads to.
    pub group: GroupId,
    /// Endpoints of the route's pool; replica reads run only on these.
    pub endpoints: Rc<BTreeSet<EndpointId>>,
    /// Required freshness of reads.
    pub freshness: Freshness,
    /// Longest wait of a request before it is refused.
    pub max_wait_ms: DurationMs,
    /// Weight of the account in fair queueing.
    pub weight: Weight,
}

/// An open session.
#[derive(Debug)]
pub struct Session {
    /// Its current route and account settings.
    pub spec: SessionSpec,
    /// Writes that the session's reads must reflect; raised by its own writes and by tokens.
    pub floor: Floor,
    /// Connection that runs the session's open transaction.
    pub pinned: Option<ConnectionId>,
    /// Transaction state last reported to the caller.
    pub transaction: TransactionState,
    /// Request that has not ended; a session has at most one.
    pub request: Option<RequestId>,
    /// The connection with the open transaction was lost between requests; the next request fails
    /// with `transaction_lost`.
    pub(super) lost_transaction: bool,
    /// Error with which to close the session once its running request has ended.
    pub(super) pending_eviction: Option<Error>,
}

impl Broker {
    /// Opens a session. Until it has a token, its reads reflect every write acknowledged before
    /// `now`.
    pub fn open_session(&mut self, now: Timestamp, id: SessionId, spec: SessionSpec) {
        let session = Session {
            spec,
            floor: Floor::Since(now),
            pinned: None,
            transaction: TransactionState::Idle,
            request: None,
            lost_transaction: false,
            pending_eviction: None,
        };
        self.sessions.insert(id, session);
    }

    /// Raises the session's floor to a position token of the form `GROUP=TERM:INDEX`.
    ///
    /// # Errors
    ///
    /// `bad_position` when the token is malformed or names another group.
    pub fn set_position(&mut self, id: SessionId, text: &str) -> Result<(), Error> {
        let Some(session) = self.sessions.get_mut(&id) else { return Ok(()) };
        let malformed = || Error::new(ErrorKind::BadPosition, format_compact!("{text:?}"));
        let (group, position) = text.split_once('=').ok_or_else(malformed)?;
        if group != session.spec.group.as_str() {
            let expected = &session.spec.group;
            let detail =
                format_compact!("token is for group {group:?}, the route leads to {expected:?}");
            return Err(Error::new(ErrorKind::BadPosition, detail));
        }
        let position: Position = position.parse().map_err(|_| malformed())?;
        session.floor = match session.floor {
            Floor::Position(old) => Floor::Position(old.max(position)),
            Floor::Since(_) => Floor::Position(position),
        };
        Ok(())
    }

    /// The session's position token; empty while it has none.
    pub fn position(&self, id: SessionId) -> CompactString {
        match self.sessions.get(&id) {
            Some(Session { spec, floor: Floor::Position(position), .. }) => {
                format_compact!("{}={position}", spec.group)
            }
            _ => CompactString::default(),
        }
    }

    /// Closes a session whose caller disconnected. Its waiting request is dropped; a running read is
    /// cancelled, and a running write is left to finish.
    pub fn close_session(&mut self, now: Timestamp, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let (pinned, request) = (session.pinned, session.request);
        if let Some(request) = request {
            self.abandon(now, request);
        }
        if let Some(connection) = pinned {
            self.close_connection(connection);
        }
        self.sessions.remove(&id);
    }

    fn abandon(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let running = request.machine.state() == RequestState::Running;
        let (read, connection) = (request.is_read(), request.connection);
        self.leave_queue(id);
        self.fire(now, id, RequestEvent::Abandon);
        // A write is not cancelled: whether it had already run could not be told.
        if let (true, true, Some(connection)) = (running, read, connection) {
            self.cancel_connection(connection);
        }
    }

    /// Handles a cancel request of the caller.
    pub fn cancel(&mut self, now: Timestamp, id: SessionId) {
        let Some(request) = self.sessions.get(&id).and_then(|session| session.request) else {
            return;
        };
        let Some(found) = self.requests.get(&request) else { return };
        match found.machine.state() {
            RequestState::Admitting | RequestState::Queued => {
                self.refuse_kind(now, request, ErrorKind::Canceled, "cancelled while waiting");
            }
            RequestState::Running => {
                if let Some(connection) = found.connection {
                    self.cancel_connection(connection);
                }
            }
            RequestState::Confirming | RequestState::Orphaned | RequestState::Done => {}
        }
    }

    /// Closes every session for which `refusal` returns an error, as [`Broker::evict`] does. Open
    /// transactions are rolled back.
    pub fn evict_sessions(&mut self, now: Timestamp, refusal: impl Fn(&Session) -> Option<Error>) {
        let found: Vec<(SessionId, Error)> = self
            .sessions
            .iter()
            .filter_map(|(id, session)| Some((*id, refusal(session)?)))
            .collect();
        for (id, error) in found {
            self.evict(now, id, error);
        }
    }

    /// Applies new route settings to an open session. A session that moves to another group reads
    /// every write acknowledged there before `now`. An open transaction stays on its connection.
    pub fn update_session(&mut self, now: Timestamp, id: SessionId, spec: SessionSpec) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.spec.group != spec.group {
            session.floor = Floor::Since(now);
        }
        session.spec = spec;
    }

    /// Closes a session with an error: at once if it is idle or its request still waits, otherwise
    /// after the running request.
    pub fn evict(&mut self, now: Timestamp, id: SessionId, error: Error) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let waiting = |request: &RequestId| {
            let state = self.requests.get(request).map(|request| request.machine.state());
            matches!(state, Some(RequestState::Admitting | RequestState::Queued))
        };
        match session.request {
            Some(request) if !waiting(&request) => session.pending_eviction = Some(error),
            _ => {
                self.effects.push(BrokerEffect::Evict(id, error));
                self.close_session(now, id);
            }
        }
    }
}
