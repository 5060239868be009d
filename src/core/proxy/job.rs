//! Jobs that run on connections to endpoints, and their results.

use bytes::Bytes;
use compact_str::CompactString;

use super::statement::PreparedStatement;
use crate::core::group::Role;
use crate::core::transaction::TransactionState;
use crate::types::{DurationMs, Position, PreparedId, Term};

/// A setup step that prepares a connection for a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Setup {
    /// Drops all session variables and prepared statements.
    Reset,
    /// Sets a session variable to a value.
    Set(CompactString, CompactString),
    /// Prepares a statement under an id.
    Prepare(PreparedId, PreparedStatement),
    /// Starts a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// Log position that the endpoint must have applied.
        after: Option<Position>,
    },
}

/// An order to an endpoint of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Report the status; occupies a slot of the endpoint.
    Status,
    /// Begin and roll back a read-write transaction, which proves that the endpoint is the primary;
    /// occupies no slot.
    Prove,
    /// Stop receiving the log from primaries of a term below this one.
    Pause(Term),
    /// Resume receiving the log.
    Resume,
    /// Become a replica if the endpoint's term is below this one.
    Demote(Term),
}

/// Form in which a caller's statement is sent on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobPayload {
    /// The caller's text.
    Text(Bytes),
    /// A statement that is prepared on the connection, with the caller's arguments.
    Execute(PreparedId, Bytes),
}

/// What a job runs after its setup steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A caller's statement.
    Statement {
        /// Statement id chosen by the caller.
        id: CompactString,
        /// What the endpoint is to run.
        payload: JobPayload,
        /// Log position that the endpoint must have applied.
        after: Option<Position>,
    },
    /// An order of this host to the endpoint.
    Order(Order),
    /// Nothing; the job consists of its setup steps and its rollback.
    Nothing,
}

/// A unit of work on a connection: setup steps, a statement or order, and an optional rollback.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Setup steps; the statement is sent once they have all succeeded.
    pub setup: Vec<Setup>,
    /// The statement or order.
    pub work: Work,
    /// Whether the transaction is rolled back afterwards.
    pub rollback: bool,
}

/// Reason for which an endpoint refused or failed a statement, an order or a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// All slots are occupied and the queue is full; not run.
    Busy,
    /// The prepared name is unknown; not run.
    UnknownStatement,
    /// The required log position has not been applied yet; not run.
    Lagging,
    /// The endpoint is not the primary; not run.
    ReadOnly,
    /// Another endpoint answers at the address; not run.
    WrongInstance,
    /// The endpoint has too many connections; not run.
    ConnectionLimit,
    /// The statement failed after it had started.
    Failed,
    /// The statement timed out after it had started.
    TimedOut,
    /// Any other error code.
    Other,
}

/// Status that an endpoint reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusReport {
    /// Its role in the group.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Last log position that it has received.
    pub received: Position,
    /// Replication lag of its applied log in milliseconds.
    pub lag_ms: DurationMs,
}

/// The answer to a statement or an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobAnswer {
    /// Rows, as received.
    pub rows: Vec<Bytes>,
    /// Signature of the endpoint, or its refusal with the error text.
    pub result: Result<CompactString, (Refusal, CompactString)>,
    /// Transaction state of the connection afterwards.
    pub transaction: TransactionState,
    /// Log position of the endpoint.
    pub position: Option<Position>,
    /// Status reported in answer to an order.
    pub status: Option<StatusReport>,
}

/// Result of a job; a job with a rollback gives `Answered` and then `RolledBack`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEnd {
    /// The statement was answered.
    Answered(JobAnswer),
    /// A setup step was refused; the statement was not sent.
    SetupRefused(Refusal),
    /// The rollback is done.
    RolledBack,
}
