//! What the broker asks the owner of the sockets to do.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::core::promotion::GroupRecord;
use crate::core::transaction::TransactionState;
use crate::error::Error;
use crate::types::{ConnectionId, EndpointId, GroupId, RequestId, RowVersion, SessionId, Term};

/// How a request ends for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint's answer is passed on.
    Release {
        /// The session's new token, after a write.
        token: Option<CompactString>,
    },
    /// The error is sent instead of the endpoint's answer.
    Fail(Error),
}

/// An order of the promotion procedure to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Fence the endpoint to a term.
    Fence(Term),
    /// Make the endpoint the primary of a term.
    Promote(Term),
    /// Make the endpoint follow the primary at an address.
    Follow(Term, SocketAddr),
}

/// One effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BrokerEffect {
    /// Open a connection.
    Connect {
        /// Its id.
        connection: ConnectionId,
        /// Endpoint to connect to.
        endpoint: EndpointId,
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Close a connection; a transaction open on it is rolled back.
    Close(ConnectionId),
    /// Send a request's batch over a connection.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: RequestId,
        /// Session of the request.
        session: SessionId,
        /// Whether the answer is held until the request ends.
        hold: bool,
    },
    /// Ask an endpoint for its status.
    Probe(ConnectionId),
    /// Send an order to an endpoint.
    Order(ConnectionId, OrderKind),
    /// Cancel what a connection runs.
    CancelRunning(ConnectionId),
    /// Drop the part of the answer that is held; the request runs again.
    Discard {
        /// Session of the request.
        session: SessionId,
        /// The request.
        request: RequestId,
    },
    /// End a request.
    End {
        /// Session of the request.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// Transaction state of the session after the request.
        transaction: TransactionState,
        /// What the caller is told.
        outcome: Outcome,
    },
    /// Close a session with an error.
    Evict(SessionId, Error),
    /// Read a group's row.
    ReadRecord(GroupId),
    /// Compare-and-set a group's row.
    SwapRecord {
        /// The group.
        group: GroupId,
        /// Version that is replaced, 0 if the row is absent.
        expected_version: RowVersion,
        /// New value.
        record: GroupRecord,
    },
}
