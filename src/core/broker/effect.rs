//! Effects that the broker requests from the task that owns the sockets.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::core::promotion::GroupRecord;
use crate::core::transaction::TransactionState;
use crate::error::Error;
use crate::types::{ConnectionId, EndpointId, GroupId, RequestId, RowVersion, SessionId, Term};

/// Result of a request, as its caller gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint's answer is released to the caller.
    Release {
        /// The session's new position token, after a write.
        token: Option<CompactString>,
    },
    /// The error is sent instead of the endpoint's answer.
    Fail(Error),
}

/// A command of the promotion procedure to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Raise the endpoint's fence to a term, so that it refuses orders of earlier terms.
    Fence(Term),
    /// Make the endpoint the primary of a term.
    Promote(Term),
    /// Make the endpoint replicate from the primary of a term at an address.
    Follow(Term, SocketAddr),
}

/// An action that the socket owner carries out for the broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BrokerEffect {
    /// Open a connection to an endpoint.
    Connect {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Endpoint to connect to.
        endpoint: EndpointId,
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Close a connection; a transaction open on it is rolled back.
    Close(ConnectionId),
    /// Send a request's messages over a connection.
    Send {
        /// Connection that runs the request.
        connection: ConnectionId,
        /// The request.
        request: RequestId,
        /// Session of the request.
        session: SessionId,
        /// Whether the answer is buffered until the request ends.
        hold: bool,
    },
    /// Send a status probe over a connection.
    Probe(ConnectionId),
    /// Send an order of the promotion procedure over a connection.
    Order(ConnectionId, OrderKind),
    /// Cancel the job that a connection runs.
    CancelRunning(ConnectionId),
    /// Discard the buffered part of a request's answer, because the request runs again.
    Discard {
        /// Session of the request.
        session: SessionId,
        /// The request.
        request: RequestId,
    },
    /// End a request and answer its caller.
    End {
        /// Session of the request.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// Transaction state of the session after the request.
        transaction: TransactionState,
        /// Result for the caller.
        outcome: Outcome,
    },
    /// Close a session with an error.
    Evict(SessionId, Error),
    /// Read a group's record from the platform; answered with `on_record_read`.
    ReadRecord(GroupId),
    /// Replace a group's record by compare-and-swap; answered with `on_record_swapped`.
    SwapRecord {
        /// The group.
        group: GroupId,
        /// Version of the row to replace; 0 if the row does not exist.
        expected_version: RowVersion,
        /// New record.
        record: GroupRecord,
    },
}
