//! Errors that the emulated endpoint answers with, by SQLSTATE.

use displaydoc::Display;

/// {message} (SQLSTATE {state})
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct SqlError {
    /// SQLSTATE, five characters.
    pub state: &'static str,
    /// Text for the client.
    pub message: String,
    /// Whether the connection ends after the error.
    pub fatal: bool,
}

impl std::error::Error for SqlError {}

impl SqlError {
    /// An error that ends the statement.
    pub fn new(state: &'static str, message: impl Into<String>) -> Self {
        Self { state, message: message.into(), fatal: false }
    }

    /// An error that ends the connection.
    pub fn fatal(state: &'static str, message: impl Into<String>) -> Self {
        Self { state, message: message.into(), fatal: true }
    }

    /// A statement or option outside the emulated subset.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("not supported by the emulated endpoint: {what}"))
    }
}

/// An error whose text does not depend on the case.
#[derive(Debug, Clone, Copy)]
pub struct Fixed {
    state: &'static str,
    message: &'static str,
}

impl Fixed {
    /// The error as an answer.
    pub fn error(self) -> SqlError {
        SqlError::new(self.state, self.message)
    }
}

/// Number does not fit its type.
pub const NUMERIC_OUT_OF_RANGE: Fixed =
    Fixed { state: "22003", message: "numeric value out of range" };
/// Two open transactions wrote to one row.
pub const WRITE_CONFLICT: Fixed =
    Fixed { state: "40001", message: "could not serialize access due to concurrent update" };
/// The endpoint or the transaction accepts no writes; nothing ran.
pub const READ_ONLY: Fixed =
    Fixed { state: "25006", message: "cannot write: this endpoint is not the primary" };
/// The transaction has failed and only its end is accepted.
pub const FAILED_TRANSACTION: Fixed =
    Fixed { state: "25P02", message: "current transaction is aborted" };
/// The client asked to cancel the statement.
pub const CANCELED: Fixed =
    Fixed { state: "57014", message: "canceling statement due to user request" };
