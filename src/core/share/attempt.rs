//! Write attempts whose result, or late effect, may still be reported.

use crate::types::Timestamp;

use super::row::{ShareSlot, ShareWrite};

/// What an attempt wants to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Make this host the holder of free or abandoned slots.
    Claim,
    /// Increment the counters of this host's slots.
    Renew,
    /// Make slots of this host free.
    Release,
}

/// A transaction that was sent.
#[derive(Debug)]
pub(super) struct Attempt {
    pub purpose: Purpose,
    pub sent: Timestamp,
    pub writes: Vec<ShareWrite>,
    /// Whether the result is still awaited.
    pub open: bool,
}

impl Attempt {
    /// The slots of the attempt.
    pub fn slots(&self) -> impl Iterator<Item = ShareSlot> + '_ {
        self.writes.iter().map(|write| write.slot)
    }
}
