//! Statements, classified by their effect on the session; their texts are not parsed further.

use bytes::Bytes;
use compact_str::CompactString;

/// Whether a statement changes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes.
    Write,
}

/// A prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// Whether it changes data.
    pub access: Access,
    /// Text of the statement.
    pub text: CompactString,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes; the text goes to the endpoint unchanged.
    Data(Access),
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: CompactString,
        /// Its new value.
        value: CompactString,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// Name chosen by the caller.
        name: CompactString,
        /// The statement.
        statement: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name chosen by the caller.
        name: CompactString,
        /// Arguments, as sent.
        arguments: Bytes,
    },
    /// Removes a prepared statement.
    Close {
        /// Name chosen by the caller.
        name: CompactString,
    },
}

/// A statement with the caller's id and text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Statement id chosen by the caller; it is forwarded to the endpoint.
    pub id: CompactString,
    /// The parsed statement.
    pub statement: Statement,
    /// The text as received.
    pub text: Bytes,
}

/// What a caller's statement runs on an endpoint, whatever the connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementPayload {
    /// The caller's text.
    Text(Bytes),
    /// A prepared statement with the caller's arguments.
    Execute(PreparedStatement, Bytes),
}
