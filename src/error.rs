//! Error kinds, and the answer that `data/answers.toml` assigns to each kind.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use compact_str::CompactString;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Kind of an error that is reported to a caller or an operator.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// start-up message is malformed
    BadStartup,
    /// message does not follow the protocol
    BadMessage,
    /// message is larger than the limit
    MessageTooLarge,
    /// feature is not supported
    FeatureNotSupported,
    /// prepared statement does not exist
    UnknownStatement,
    /// the open transaction was lost
    TransactionLost,
    /// session position is malformed
    BadPosition,
    /// no route for this database and client account
    NoRoute,
    /// key is not valid for this client account
    WrongKey,
    /// key was withdrawn
    KeyWithdrawn,
    /// the host's view of the tables is too old to serve this request
    ViewExpired,
    /// client account is over its rate
    RateExceeded,
    /// too many requests are waiting
    Overloaded,
    /// request waited past its deadline
    DeadlineExceeded,
    /// group has no reachable primary
    NoPrimary,
    /// no endpoint can serve the request
    NoEndpoint,
    /// no endpoint is as fresh as the route asks
    Stale,
    /// host is stopping
    HostDraining,
    /// request was cancelled before it ran
    Canceled,
    /// the outcome of the request is unknown
    OutcomeUnknown,
    /// setting is not valid
    BadSetting,
    /// table is not valid
    BadTable,
    /// another edit was accepted first
    EditConflict,
    /// edit was accepted but is not in force everywhere yet
    NotInForce,
    /// platform does not answer
    PlatformUnavailable,
    /// internal error
    Internal,
}

impl ErrorKind {
    /// All kinds, in declaration order.
    pub const ALL: [ErrorKind; 26] = [
        ErrorKind::BadStartup,
        ErrorKind::BadMessage,
        ErrorKind::MessageTooLarge,
        ErrorKind::FeatureNotSupported,
        ErrorKind::UnknownStatement,
        ErrorKind::TransactionLost,
        ErrorKind::BadPosition,
        ErrorKind::NoRoute,
        ErrorKind::WrongKey,
        ErrorKind::KeyWithdrawn,
        ErrorKind::ViewExpired,
        ErrorKind::RateExceeded,
        ErrorKind::Overloaded,
        ErrorKind::DeadlineExceeded,
        ErrorKind::NoPrimary,
        ErrorKind::NoEndpoint,
        ErrorKind::Stale,
        ErrorKind::HostDraining,
        ErrorKind::Canceled,
        ErrorKind::OutcomeUnknown,
        ErrorKind::BadSetting,
        ErrorKind::BadTable,
        ErrorKind::EditConflict,
        ErrorKind::NotInForce,
        ErrorKind::PlatformUnavailable,
        ErrorKind::Internal,
    ];

    /// Returns the row of the answer table for this kind.
    pub fn answer(self) -> &'static Answer {
        ANSWERS.get(&self).expect("the answer table is complete, a test checks it")
    }
}

/// Whether the request that failed with an error has had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No part of the request had an effect.
    NotRun,
    /// The request may or may not have had its effect.
    Unknown,
    /// The request had its effect.
    Ran,
}

/// One row of the answer table.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Answer {
    /// Error kind.
    pub kind: ErrorKind,
    /// SQLSTATE of the `ErrorResponse` message, five characters.
    pub sqlstate: CompactString,
    /// Whether the request has had an effect.
    pub ran: Ran,
    /// Exit code of a command that fails with this kind.
    pub exit_code: u8,
    /// Whether the caller's connection is closed after the answer.
    pub fatal: bool,
    /// Advice to the caller or operator.
    pub hint: CompactString,
}

/// {kind}: {detail}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Error {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Description of this case: the value found and the values allowed.
    pub detail: CompactString,
}

impl std::error::Error for Error {}

impl Error {
    /// Creates an error of `kind` with a description of this case.
    pub fn new(kind: ErrorKind, detail: impl Into<CompactString>) -> Self {
        Self { kind, detail: detail.into() }
    }
}

#[derive(Deserialize)]
struct AnswerFile {
    answer: Vec<Answer>,
}

static ANSWERS: LazyLock<BTreeMap<ErrorKind, Answer>> = LazyLock::new(|| {
    let file: AnswerFile = toml::from_str(include_str!("../data/answers.toml"))
        .expect("the answer table is valid, a test checks it");
    file.answer.into_iter().map(|answer| (answer.kind, answer)).collect()
});
