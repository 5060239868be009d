//! What is recorded, and its form in a segment: one JSON object a line.

use std::fmt;

use compact_str::CompactString;
use derive_more::{Display, FromStr};
use displaydoc::Display as DocDisplay;
use serde::{Deserialize, Serialize};

use super::Stamp;
use crate::types::{AccountId, EndpointId, GroupId, Position, RequestId, SessionId};

/// Kind of a decision.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Event {
    /// The account's limit let a request in.
    Admitted,
    /// A request was given to an endpoint.
    Assigned,
    /// The reply to a write waits until its position is confirmed.
    Held,
    /// The reply was passed on.
    Released,
    /// The caller got an error; the detail is its kind.
    Refused,
    /// The caller was told that the outcome is unknown.
    OutcomeUnknown,
    /// This host asks the table service to fix a group's new primary; the detail is the term.
    Promoting,
    /// A table version is in use; the detail is the version.
    TablesAdopted,
    /// What the host may serve has changed; the detail is the new authority.
    AuthorityChanged,
    /// The share slots in use have changed; the detail is their numbers.
    SharesChanged,
    /// The host's own state has changed; the detail is the state.
    HostState,
    /// Records were dropped for want of room; the detail is their number.
    RecordsDropped,
}

/// A decision without its stamp, as the core makes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Kind.
    pub event: Event,
    /// Session concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<SessionId>,
    /// Request concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Client account of the session.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<CompactString>,
    /// Database group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupId>,
    /// Endpoint that a request was given to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// Log position.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<Position>,
    /// What the kind says it is; never a key and never SQL text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<CompactString>,
}

impl Decision {
    /// A decision that concerns nothing yet.
    pub fn new(event: Event) -> Self {
        Self {
            event,
            session: None,
            request: None,
            account: None,
            group: None,
            endpoint: None,
            position: None,
            detail: None,
        }
    }

    /// Sets session and request.
    pub fn of(mut self, session: SessionId, request: Option<RequestId>) -> Self {
        (self.session, self.request) = (Some(session), request);
        self
    }

    /// Sets the client account.
    pub fn account(mut self, account: &AccountId) -> Self {
        self.account = Some(account.as_str().into());
        self
    }

    /// Sets the detail.
    pub fn detail(mut self, detail: impl std::fmt::Display) -> Self {
        self.detail = Some(compact_str::format_compact!("{detail}"));
        self
    }
}

/// A decision with its stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When and where it was decided.
    pub stamp: Stamp,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// A line of a segment that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum RecordFault {
    /// line {line} is not a record: {detail}
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        detail: String,
    },
}

impl std::error::Error for RecordFault {}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fn field(
            f: &mut fmt::Formatter<'_>,
            name: &str,
            value: Option<impl fmt::Display>,
        ) -> fmt::Result {
            value.map_or(Ok(()), |value| write!(f, " {name}={value}"))
        }
        let decision = &self.decision;
        write!(f, "{} {}", self.stamp, decision.event)?;
        field(f, "session", decision.session)?;
        field(f, "request", decision.request)?;
        field(f, "account", decision.account.as_ref())?;
        field(f, "group", decision.group.as_ref())?;
        field(f, "endpoint", decision.endpoint.as_ref())?;
        field(f, "position", decision.position)?;
        field(f, "detail", decision.detail.as_ref())
    }
}

impl Record {
    /// The record as one line with its line feed.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("a record has plain values");
        line.push(b'\n');
        line
    }
}

/// Reads the records of a segment.
///
/// # Errors
///
/// The first line that is not a record.
pub fn read_segment(content: &[u8]) -> Result<Vec<Record>, RecordFault> {
    let lines = content.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let read = |(number, line): (usize, &[u8])| {
        serde_json::from_slice(line)
            .map_err(|error| RecordFault::Line { line: number + 1, detail: error.to_string() })
    };
    lines.enumerate().map(read).collect()
}
