//! Statements by what they do; their texts stay opaque.

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

/// The shape that a prepared name stands for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
    /// What the statement does.
    pub access: Access,
    /// Text of the shape.
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
    /// Ends the transaction and keeps its writes.
    Commit,
    /// Ends the transaction and drops its writes.
    Rollback,
    /// Reads or writes; the text goes to the endpoint unchanged.
    Data(Access),
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: CompactString,
        /// The value.
        value: CompactString,
    },
    /// Gives a name to a shape.
    Prepare {
        /// The name.
        name: CompactString,
        /// The shape.
        shape: Shape,
    },
    /// Runs a prepared shape.
    Execute {
        /// The name.
        name: CompactString,
        /// Arguments, as sent.
        arguments: Bytes,
    },
    /// Drops a prepared name.
    Close {
        /// The name.
        name: CompactString,
    },
}

/// A statement with the caller's id and text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The caller's id, passed on to the endpoint.
    pub id: CompactString,
    /// The statement.
    pub statement: Statement,
    /// The text as sent.
    pub text: Bytes,
}

/// What an endpoint gets for a caller's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Forward {
    /// The caller's text.
    Text(Bytes),
    /// A prepared shape with the caller's arguments.
    Execute(Shape, Bytes),
}
