//! Leases of share slots: which slots of the fleet-wide limits this host may use, and until when.
//!
//! A [`ShareKeeper`] has the rows `shares/<n>` as last read and decides which slots to claim,
//! renew, release and take over. Every change is a compare-and-set on the row's version, so a row
//! names one holder at a time. The lease rules make sure that the former holder has stopped using a
//! slot before the next one starts.

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
    chart, ShareAction, ShareChart, ShareEvent, ShareGuard, ShareState, CHART_FILE, CHART_TEXT,
};
