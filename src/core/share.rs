//! Leases of share slots: which slots of the fleet-wide limits this host may use, and until when.
//!
//! A [`ShareKeeper`] knows the rows `shares/<n>` as last read and decides which to claim, renew,
//! give back and take over. Every change is a compare-and-set on the row's version, so two hosts
//! can't hold a slot at once in the store; the lease rules keep them from using it at once.

mod attempt;
mod keeper;
mod row;
mod slot;

pub use keeper::ShareKeeper;
pub use row::{
    HeldSlot, Holder, LiveHost, SeenRow, ShareEffect, ShareRow, ShareSettings, ShareSlot,
    ShareWrite, WriteResult,
};
pub use slot::{
    ShareAction, ShareChart, ShareEvent, ShareGuard, ShareState, CHART_FILE, CHART_TEXT,
};
