//! Decision records and their encoding in a segment: one JSON object per line.

use std::fmt;

use compact_str::CompactString;
use derive_more::{Display, FromStr};
use displaydoc::Display as DocDisplay;
use serde::{Deserialize, Serialize};

use super::Stamp;
use crate::types::{AccountId, EndpointId, GroupId, Position, RequestId, SessionId};

/// Kind of decision.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Event {
    /// The rate limit of the account admitted a request.
    Admitted,
    /// A request was assigned to an endpoint.
    Assigned,
    /// The reply to a write waits until its position is confirmed.
    Held,
    /// The reply was forwarded to the caller.
    Released,
    /// The caller got an error; the detail is the kind of error.
    Refused,
    /// The caller was told that the outcome is unknown.
    OutcomeUnknown,
    /// This host asks the table service to record the new primary of a group; the detail is the
    /// term.
    Promoting,
    /// The host has started to use a table version; the detail is the version.
    TablesAdopted,
    /// The set of requests that the host may serve has changed; the detail is the new authority.
    AuthorityChanged,
    /// The share slots that the host uses have changed; the detail is their numbers.
    SharesChanged,
    /// The host's own state has changed; the detail is the state.
    HostState,
    /// Records were dropped because the buffer was full; the detail is their number.
    RecordsDropped,
}

/// A decision of the core, without a stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Kind of decision.
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
    /// Endpoint that the request was assigned to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// Log position of the write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<Position>,
    /// Further information, described at each [`Event`]; never a key or SQL text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<CompactString>,
}

impl Decision {
    /// Creates a decision of kind `event` with all other fields empty.
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
    pub fn with_session(mut self, session: SessionId, request: Option<RequestId>) -> Self {
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
    /// Time and host of the decision.
    pub stamp: Stamp,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// A line of a segment that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum RecordFault {
    /// line {line} is not a valid record: {detail}
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Message of the JSON parser.
        detail: String,
    },
}

impl std::error::Error for RecordFault {}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fn write_field(
            f: &mut fmt::Formatter<'_>,
            name: &str,
            value: Option<impl fmt::Display>,
        ) -> fmt::Result {
            value.map_or(Ok(()), |value| write!(f, " {name}={value}"))
        }
        let decision = &self.decision;
        write!(f, "{} {}", self.stamp, decision.event)?;
        write_field(f, "session", decision.session)?;
        write_field(f, "request", decision.request)?;
        write_field(f, "account", decision.account.as_ref())?;
        write_field(f, "group", decision.group.as_ref())?;
        write_field(f, "endpoint", decision.endpoint.as_ref())?;
        write_field(f, "position", decision.position)?;
        write_field(f, "detail", decision.detail.as_ref())
    }
}

impl Record {
    /// Encodes the record as one line of JSON that ends in a line feed.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("a record has plain values");
        line.push(b'\n');
        line
    }
}

/// Parses the records of a segment.
///
/// # Errors
///
/// The first line that is not a valid record.
pub fn read_segment(content: &[u8]) -> Result<Vec<Record>, RecordFault> {
    let lines = content.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let parse_line = |(number, line): (usize, &[u8])| {
        serde_json::from_slice(line)
            .map_err(|error| RecordFault::Line { line: number + 1, detail: error.to_string() })
    };
    lines.enumerate().map(parse_line).collect()
}
