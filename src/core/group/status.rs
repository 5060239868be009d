//! The status that an endpoint reports, and its text form.

use std::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use displaydoc::Display as DocDisplay;

use crate::types::{Position, Term};

/// Role of an endpoint in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Role {
    /// Accepts writes.
    #[display("primary")]
    Primary,
    /// Receives the primary's log.
    #[display("replica")]
    Replica,
}

impl FromStr for Role {
    type Err = StatusError;

    fn from_str(text: &str) -> Result<Self, StatusError> {
        match text {
            "primary" => Ok(Role::Primary),
            "replica" => Ok(Role::Replica),
            other => Err(StatusError::Value { field: "role", value: other.into() }),
        }
    }
}

/// Status that an endpoint reports about itself, in the text form
/// `term=3 role=primary position=3:1042 confirmed=3:1040 fenced=3`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("term={term} role={role} position={position} confirmed={confirmed} fenced={fenced_term}")]
pub struct EndpointStatus {
    /// Term of the primary whose log the endpoint holds a prefix of.
    pub term: Term,
    /// Role of the endpoint.
    pub role: Role,
    /// Last position in its log.
    pub position: Position,
    /// Highest position that a majority holds durably, as the primary counts it. A replica reports
    /// the last value that it received from its primary.
    pub confirmed: Position,
    /// The endpoint refuses orders, writes and replication below this term.
    pub fenced_term: Term,
}

impl EndpointStatus {
    /// Whether the endpoint is fenced to a higher term than its own, and so accepts nothing more at
    /// its own term.
    pub fn is_fenced_off(&self) -> bool {
        self.fenced_term > self.term
    }
}

/// Why a text could not be parsed as a status.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum StatusError {
    /// status field {0:?} is not written NAME=VALUE
    Syntax(CompactString),
    /// status has no field {0}
    Missing(&'static str),
    /// status field {0} occurs twice
    Repeated(&'static str),
    /// status field {field} has the value {value:?}, which cannot be read
    Value {
        /// Name of the field.
        field: &'static str,
        /// Text found.
        value: CompactString,
    },
}

impl std::error::Error for StatusError {}

const FIELDS: [&str; 5] = ["term", "role", "position", "confirmed", "fenced"];

impl FromStr for EndpointStatus {
    type Err = StatusError;

    fn from_str(text: &str) -> Result<Self, StatusError> {
        let mut values = [None; FIELDS.len()];
        for field in text.split_ascii_whitespace() {
            let (name, value) =
                field.split_once('=').ok_or_else(|| StatusError::Syntax(field.into()))?;
            // Unknown names are skipped, so that endpoints can report more than this version reads.
            let Some(index) = FIELDS.iter().position(|known| *known == name) else { continue };
            if values[index].replace(value).is_some() {
                return Err(StatusError::Repeated(FIELDS[index]));
            }
        }
        Ok(Self {
            term: Term(parse_field(&values, 0)?),
            role: parse_field(&values, 1)?,
            position: parse_field(&values, 2)?,
            confirmed: parse_field(&values, 3)?,
            fenced_term: Term(parse_field(&values, 4)?),
        })
    }
}

fn parse_field<T: FromStr>(values: &[Option<&str>; 5], index: usize) -> Result<T, StatusError> {
    let field = FIELDS[index];
    let value = values[index].ok_or(StatusError::Missing(field))?;
    value.parse().map_err(|_| StatusError::Value { field, value: value.into() })
}
