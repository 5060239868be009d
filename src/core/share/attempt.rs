//! Write attempts that may still be answered, or whose rows may still be read back later.

use crate::types::Timestamp;

use super::row::{ShareSlot, ShareWrite};

/// Purpose of a write attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Makes this host the holder of free or abandoned slots.
    Claim,
    /// Increments the counters of this host's slots.
    Renew,
    /// Frees slots of this host.
    Release,
}

/// A sent transaction.
#[derive(Debug)]
pub(super) struct Attempt {
    pub purpose: Purpose,
    pub sent_at: Timestamp,
    pub writes: Vec<ShareWrite>,
    /// Whether the result is still awaited.
    pub pending: bool,
}

impl Attempt {
    /// The slots of the attempt.
    pub fn slots(&self) -> impl Iterator<Item = ShareSlot> + '_ {
        self.writes.iter().map(|write| write.slot)
    }
}
