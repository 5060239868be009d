//! The `group_status` text that an endpoint reports.

use derive_more::Display;
use medlarstile::types::{Position, Term};

/// Role in the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ReportedRole {
    /// Accepts writes.
    #[display("primary")]
    Primary,
    /// Refuses writes; also a fenced former primary.
    #[display("replica")]
    Replica,
}

/// Content of `group_status`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("term={term} role={role} position={position} confirmed={confirmed} fenced={fenced}")]
pub struct GroupStatus {
    /// Term of the primary whose log this endpoint holds a prefix of.
    pub term: Term,
    /// Role that decides whether writes are accepted.
    pub role: ReportedRole,
    /// Last entry of the log.
    pub position: Position,
    /// Last position known to be held by a majority.
    pub confirmed: Position,
    /// Orders and replication below this term are refused.
    pub fenced: Term,
}
