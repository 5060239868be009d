//! Rows, results and effects of the share leases.

use std::net::SocketAddr;

use derive_more::{Display, From, FromStr, Into};

use crate::types::{AttemptId, DurationMs, HostId, Incarnation, RowVersion, Timestamp};

/// Number of a share slot, counted from 0; its row is `shares/<n>`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, From, Into,
)]
pub struct ShareSlot(pub u32);

/// The process that holds a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Host.
    pub host: HostId,
    /// Run of the host's process.
    pub incarnation: Incarnation,
    /// Address that the process is bound to.
    pub address: SocketAddr,
}

/// Content of a row `shares/<n>`; an absent row is the default value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareRow {
    /// Holder, none for a free slot.
    pub holder: Option<Holder>,
    /// Goes up with each write of the row.
    pub counter: u64,
    /// The attempt that wrote the row.
    pub attempt: AttemptId,
}

impl Default for ShareRow {
    fn default() -> Self {
        Self { holder: None, counter: 0, attempt: AttemptId(0) }
    }
}

/// A row as read, with its version; version 0 for an absent row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRow {
    /// Slot of the row.
    pub slot: ShareSlot,
    /// Version of the row.
    pub version: RowVersion,
    /// Content of the row.
    pub row: ShareRow,
}

/// A registered process, from the rows `hosts/<id>`.
pub type LiveHost = Holder;

/// A slot that this host may use from `from` until before `until`, on its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSlot {
    /// Slot.
    pub slot: ShareSlot,
    /// First time at which the slot may be used.
    pub from: Timestamp,
    /// First time at which the slot may no longer be used.
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
    /// Version that the row must still have.
    pub expected: RowVersion,
    /// New content.
    pub row: ShareRow,
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// All rows were written and have this version.
    Applied(RowVersion),
    /// A row had another version; nothing was written.
    Conflict,
    /// The answer was lost; the rows may or may not be written, now or later.
    Unknown,
}

/// What the owner of a [`super::ShareKeeper`] must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShareEffect {
    /// Read all rows `shares/*` and report them, or that the read failed.
    Read,
    /// Write all rows in one transaction and report the result.
    Write {
        /// Attempt that the rows carry.
        attempt: AttemptId,
        /// Rows with their expected versions.
        writes: Vec<ShareWrite>,
    },
    /// From now on use exactly these slots.
    Use(Vec<HeldSlot>),
}

/// Settings of the leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareSettings {
    /// Number of slots of the deployment, at least twice the number of hosts.
    pub slots: u32,
    /// How long a holder uses a slot after it sent its last successful renewal.
    pub lease: DurationMs,
    /// How much longer than the lease another host waits before it takes the slot over.
    pub margin: DurationMs,
}

impl Default for ShareSettings {
    fn default() -> Self {
        let minute_ms = 60_000;
        Self { slots: 16, lease: DurationMs(15 * minute_ms), margin: DurationMs(minute_ms) }
    }
}
