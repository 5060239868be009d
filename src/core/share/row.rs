//! Rows, write results, effects and settings of the share leases.

use std::net::SocketAddr;

pub use crate::types::ShareSlot;
use crate::types::{AttemptId, DurationMs, HostId, Incarnation, RowVersion, Timestamp};

/// The process that holds a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Id of its host.
    pub host: HostId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address that the process is bound to.
    pub address: SocketAddr,
}

/// Content of a row `shares/<n>`; an absent row is the default value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareRow {
    /// Holder; `None` for a free slot.
    pub holder: Option<Holder>,
    /// Incremented with each write of the row.
    pub counter: u64,
    /// Attempt that wrote the row.
    pub attempt: AttemptId,
}

impl Default for ShareRow {
    fn default() -> Self {
        Self { holder: None, counter: 0, attempt: AttemptId(0) }
    }
}

/// A row as read from the store, with its version; the version of an absent row is 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRow {
    /// Slot of the row.
    pub slot: ShareSlot,
    /// Version of the row.
    pub version: RowVersion,
    /// Content of the row.
    pub row: ShareRow,
}

/// A live process that is registered in the rows `hosts/<id>`.
pub type LiveHost = Holder;

/// A slot that this host may use from `from` (inclusive) to `until` (exclusive), on its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSlot {
    /// Number of the slot.
    pub slot: ShareSlot,
    /// Earliest time at which the slot may be used.
    pub from: Timestamp,
    /// Time from which the slot may no longer be used.
    pub until: Timestamp,
}

impl HeldSlot {
    /// Whether the slot may be used at `now`.
    pub fn usable(&self, now: Timestamp) -> bool {
        self.from <= now && now < self.until
    }
}

/// One row of a compare-and-set transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareWrite {
    /// Slot of the row.
    pub slot: ShareSlot,
    /// Version that the row must have for the write to take effect.
    pub expected: RowVersion,
    /// New content of the row.
    pub row: ShareRow,
}

/// Result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// All rows were written and now have this version.
    Applied(RowVersion),
    /// A row did not have the expected version; nothing was written.
    Conflict,
    /// The answer was lost; the rows may have been written, or may still be written later.
    Unknown,
}

/// Effect that the owner of a [`super::ShareKeeper`] must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShareEffect {
    /// Read all rows `shares/*` and report them, or report that the read failed.
    Read,
    /// Write all rows in one transaction and report the result.
    Write {
        /// Attempt id that the rows carry.
        attempt: AttemptId,
        /// Rows to write, with their expected versions.
        writes: Vec<ShareWrite>,
    },
    /// Use exactly these slots from now on.
    Use(Vec<HeldSlot>),
}

/// Settings of the share leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareSettings {
    /// Number of slots of the deployment; at least twice the number of hosts.
    pub slots: u32,
    /// How long a holder may use a slot, measured from the time at which it sent its last
    /// successful renewal.
    pub lease: DurationMs,
    /// How long another host waits beyond the lease before it takes over a slot whose row did not
    /// change.
    pub margin: DurationMs,
}

impl Default for ShareSettings {
    fn default() -> Self {
        let minute_ms = 60_000;
        Self { slots: 16, lease: DurationMs(15 * minute_ms), margin: DurationMs(minute_ms) }
    }
}
