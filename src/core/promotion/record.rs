//! The group's row in the table service, and the effects that a promotion requests.

use derive_more::{Display, FromStr};
use displaydoc::Display as DocDisplay;

use crate::types::{AttemptId, EndpointId, Position, RowVersion, Term};

/// Progress of the promotion of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
pub enum Phase {
    /// A host is fencing a majority; the term has no primary yet.
    Fencing,
    /// The term's primary and start position are fixed.
    Promoted,
}

/// Contents of the group's row. Each term has only one attempt, because a row in phase fencing is
/// replaced only by the promoted row of the same attempt or by a row of a higher term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRecord {
    /// Term that is being promoted, or has been.
    pub term: Term,
    /// Primary of the term; set in phase promoted.
    pub primary: Option<EndpointId>,
    /// Last position before the first entry of the term; set in phase promoted. Zero in the first
    /// record of a group, which adopts the primary that the group already has.
    pub start: Position,
    /// The attempt that wrote the row.
    pub attempt: AttemptId,
    /// Progress of the attempt.
    pub phase: Phase,
}

/// Call or order that a promotion requests from its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionEffect {
    /// Read the group's row; the answer goes to `on_record_read`.
    ReadRecord,
    /// Replace the row if it still has `expected_version`; the answer goes to `on_record_swapped`.
    SwapRecord {
        /// Version that is replaced, 0 if the row is absent.
        expected_version: RowVersion,
        /// New value.
        record: GroupRecord,
    },
    /// Fence an endpoint; the answer goes to `on_fenced`.
    Fence {
        /// The endpoint.
        endpoint: EndpointId,
        /// Term to fence to.
        term: Term,
    },
    /// Make an endpoint the primary of `term`.
    Promote {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its new term.
        term: Term,
    },
    /// Make an endpoint follow the primary of `term`.
    Follow {
        /// The endpoint.
        endpoint: EndpointId,
        /// Term to follow.
        term: Term,
        /// The term's primary.
        primary: EndpointId,
    },
}

/// Why a compare-and-set of the row returned no new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DocDisplay)]
pub enum SwapFault {
    /// the row has another version
    Conflict,
    /// the answer was lost; the change may have taken effect
    Unknown,
}

impl std::error::Error for SwapFault {}

/// the group's record could not be read
#[derive(Debug, Clone, Copy, PartialEq, Eq, DocDisplay)]
pub struct ReadFault;

impl std::error::Error for ReadFault {}
