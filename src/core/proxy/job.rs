//! What a connection to an endpoint is asked to do, and what comes of it.

use bytes::Bytes;
use compact_str::CompactString;

use super::statement::{Forward, Shape};
use crate::core::group::Role;
use crate::core::transaction::TransactionState;
use crate::types::{DurationMs, Position, Term};

/// A step that prepares a connection for a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Setup {
    /// Drops all values and prepared shapes.
    Reset,
    /// Sets a session value.
    Set(CompactString, CompactString),
    /// Prepares a shape.
    Prepare(Shape),
    /// Starts a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// Position that the endpoint's log must hold.
        after: Option<Position>,
    },
}

/// An order to an endpoint of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Report the status; takes a slot.
    Status,
    /// Begin and roll back a transaction that may write, which only a primary does; takes no slot.
    Prove,
    /// Stop receiving, below this term.
    Pause(Term),
    /// Receive again.
    Resume,
    /// Become a replica if the own term is below this one.
    Demote(Term),
}

/// The statement of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A caller's statement.
    Statement {
        /// The caller's id.
        id: CompactString,
        /// Text to run.
        forward: Forward,
        /// Position that the endpoint's log must hold.
        after: Option<Position>,
    },
    /// An order of this host.
    Order(Order),
    /// Nothing but the roll-back.
    Nothing,
}

/// One use of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Steps before the statement; it is sent once they have succeeded.
    pub setup: Vec<Setup>,
    /// The statement.
    pub work: Work,
    /// Whether the transaction is rolled back after it.
    pub rollback: bool,
}

/// Why an endpoint did not do what it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// All slots and the queue are taken; not run.
    Busy,
    /// The prepared name is unknown; not run.
    UnknownStatement,
    /// The log lacks the position asked for; not run.
    Lagging,
    /// The endpoint is not the primary; not run.
    ReadOnly,
    /// Another endpoint answers at the address; not run.
    WrongInstance,
    /// The endpoint has too many connections; not run.
    ConnectionLimit,
    /// It failed after it had started.
    Failed,
    /// It ran out of time after it had started.
    TimedOut,
    /// Another code.
    Other,
}

/// What an endpoint says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusReport {
    /// Part that it plays.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Last position that it has received.
    pub received: Position,
    /// Time by which its applied log is behind.
    pub lag_ms: DurationMs,
}

/// The answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobAnswer {
    /// Rows, as received.
    pub rows: Vec<Bytes>,
    /// Signature of the endpoint, or its refusal with the text.
    pub result: Result<CompactString, (Refusal, CompactString)>,
    /// Transaction state of the connection.
    pub transaction: TransactionState,
    /// Position of the endpoint's log.
    pub position: Option<Position>,
    /// The answer to an order.
    pub status: Option<StatusReport>,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEnd {
    /// The statement was answered.
    Answered(JobAnswer),
    /// A step before the statement was refused; the statement was not sent.
    SetupRefused(Refusal),
    /// The roll-back after the statement is done.
    Cleaned,
}
