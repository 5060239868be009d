//! The group's row in the table service, and what a promotion asks for.

use derive_more::{Display, FromStr};
use displaydoc::Display as DocDisplay;

use crate::types::{AttemptId, EndpointId, Position, RowVersion, Term};

/// How far the promotion of a term has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
pub enum Phase {
    /// A host is fencing a majority; the term has no primary yet.
    Fencing,
    /// The term's primary and start position are fixed.
    Promoted,
}

/// The group's row. Each term has one attempt, because a row in phase fencing is only replaced by
/// its own promotion or by a higher term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRecord {
    /// Term that is being, or was, promoted.
    pub term: Term,
    /// The primary, in phase promoted.
    pub primary: Option<EndpointId>,
    /// Last position before the first entry of the term, in phase promoted. Zero for the first
    /// record of a group, which adopts a primary that the group had before.
    pub start: Position,
    /// The attempt that wrote the row.
    pub attempt: AttemptId,
    /// How far the attempt has come.
    pub phase: Phase,
}

/// What a promotion asks the host to do.
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

/// Why a compare-and-set of the row has no version to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DocDisplay)]
pub enum SwapFault {
    /// the row has another version
    Conflict,
    /// the answer was lost, the change may have taken effect
    Unknown,
}

impl std::error::Error for SwapFault {}

/// the group's record could not be read
#[derive(Debug, Clone, Copy, PartialEq, Eq, DocDisplay)]
pub struct ReadFault;

impl std::error::Error for ReadFault {}
