//! State of one share slot at one host, driven by the chart `charts/share.scxml`.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError, Machine};
use crate::chart_names;
use crate::types::{DurationMs, RowVersion, Timestamp};

use super::row::{HeldSlot, Holder, SeenRow, ShareRow, ShareSlot};

/// Path of the chart file, for error messages.
pub const CHART_FILE: &str = "charts/share.scxml";

/// Content of the chart file.
pub const CHART_TEXT: &str = include_str!("../../../charts/share.scxml");

/// Minimum time between the last use of a slot by one host and its first use by the next.
///
/// Tokens that were granted from a slot can be spent at the receiver for 500 ms. A slot that was
/// released, or taken over from a process that ended, stays unused for longer than that, because
/// its next holder has no record of its predecessor's reservations.
pub(super) const SLOT_COOLDOWN: DurationMs = DurationMs(1_000);

chart_names! {
    /// States of a share slot.
    pub enum ShareState {
        Unread = "unread", Free = "free", Other = "other", Claiming = "claiming", Held = "held",
        Retiring = "retiring", Releasing = "releasing",
    }
    /// Events of a share slot.
    pub enum ShareEvent {
        ReadFree = "read_free", ReadOther = "read_other", ReadOwn = "read_own", Claim = "claim",
        WriteFailed = "write_failed", Retire = "retire", Release = "release",
    }
    /// Guards of a share slot.
    pub enum ShareGuard { Abandoned = "abandoned" }
    /// Actions of a share slot.
    pub enum ShareAction {
        ResetTakeoverTimer = "reset_takeover_timer", StartLease = "start_lease",
        ExtendLease = "extend_lease", EndLease = "end_lease",
    }
}

/// Compiled chart of a share slot.
pub type ShareChart = Chart<ShareState, ShareEvent, ShareGuard, ShareAction>;

/// Compiles the chart of a share slot.
///
/// # Errors
///
/// All errors in the chart file.
pub fn chart() -> Result<ShareChart, Vec<ChartError>> {
    Chart::load(CHART_FILE, CHART_TEXT)
}

static CHART: LazyLock<ShareChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// Period in which this host may use a slot.
#[derive(Debug, Clone, Copy)]
struct Lease {
    from: Timestamp,
    until: Timestamp,
}

/// Local state of one share slot.
#[derive(Debug)]
pub(super) struct Slot {
    machine: Machine<ShareState, ShareEvent, ShareGuard, ShareAction>,
    number: ShareSlot,
    version: Option<RowVersion>,
    row: ShareRow,
    unchanged_since: Timestamp,
    lease: Option<Lease>,
    retired_at: Timestamp,
}

impl Slot {
    /// Creates a slot whose row has not been read yet.
    pub fn new(number: ShareSlot) -> Self {
        let (row, unset) = (ShareRow::default(), Timestamp(0));
        let machine = CHART.start();
        Self {
            machine,
            number,
            version: None,
            row,
            unchanged_since: unset,
            lease: None,
            retired_at: unset,
        }
    }

    /// Number of the slot.
    pub fn number(&self) -> ShareSlot {
        self.number
    }

    /// Current state.
    pub fn state(&self) -> ShareState {
        self.machine.state()
    }

    /// Row version that a compare-and-set must check; 0 before the first read.
    pub fn version(&self) -> RowVersion {
        self.version.unwrap_or_default()
    }

    /// Row as last read or written.
    pub fn row(&self) -> &ShareRow {
        &self.row
    }

    /// Earliest time to release a slot that this host has stopped using; `None` in other states.
    pub fn release_at(&self) -> Option<Timestamp> {
        (self.state() == ShareState::Retiring).then_some(self.retired_at + SLOT_COOLDOWN)
    }

    /// The slot with its period of use, if this host holds it.
    pub fn held(&self) -> Option<HeldSlot> {
        let lease = self.lease?;
        Some(HeldSlot { slot: self.number, from: lease.from, until: lease.until })
    }

    /// Handles a row that was read or written. `lease_end` is the end of the lease that the row
    /// grants if this process wrote it. A row older than the last one is ignored, because reads may
    /// be stale.
    pub fn observe(
        &mut self,
        now: Timestamp,
        seen: &SeenRow,
        me: &Holder,
        lease_end: Option<Timestamp>,
    ) {
        let same_version = self.version == Some(seen.version);
        let outdated = self.version.is_some_and(|known| seen.version < known);
        if outdated || (same_version && self.state() != ShareState::Unread) {
            return;
        }
        let event = match &seen.row.holder {
            None => ShareEvent::ReadFree,
            Some(holder) if holder == me => ShareEvent::ReadOwn,
            Some(_) => ShareEvent::ReadOther,
        };
        let step = self.machine.fire(event, |_| false);
        if !same_version {
            self.version = Some(seen.version);
            self.row = seen.row.clone();
        }
        for action in step.actions {
            self.run_action(now, *action, !same_version, lease_end);
        }
    }

    /// Starts a claim if the slot is free, or if another host holds it and `abandoned` is set.
    /// Returns whether a claim was started.
    pub fn claim(&mut self, abandoned: bool) -> bool {
        let holds = |guard| match guard {
            ShareGuard::Abandoned => abandoned,
        };
        self.machine.fire(ShareEvent::Claim, holds).handled
    }

    /// Ends the use of a held slot.
    pub fn retire(&mut self, now: Timestamp) {
        let step = self.machine.fire(ShareEvent::Retire, |_| false);
        if step.handled {
            self.retired_at = now;
            self.lease = None;
        }
    }

    /// Records that the release of a retired slot was sent.
    pub fn release(&mut self) {
        self.machine.fire(ShareEvent::Release, |_| false);
    }

    /// Records that a claim or release failed or has an unknown outcome.
    pub fn write_failed(&mut self) {
        self.machine.fire(ShareEvent::WriteFailed, |_| false);
    }

    /// Whether this host may take the slot over from its holder: the row has not changed for `wait`
    /// on this host's clock, or a process with a newer incarnation is bound to the holder's
    /// address, so the holder must have ended.
    pub fn abandoned(&self, now: Timestamp, wait: DurationMs, hosts: &[Holder]) -> bool {
        let Some(holder) = &self.row.holder else { return false };
        let replaced =
            |host: &Holder| host.address == holder.address && host.incarnation > holder.incarnation;
        now >= self.unchanged_since + wait || hosts.iter().any(replaced)
    }

    fn run_action(
        &mut self,
        now: Timestamp,
        action: ShareAction,
        changed: bool,
        lease_end: Option<Timestamp>,
    ) {
        match action {
            ShareAction::ResetTakeoverTimer if changed => self.unchanged_since = now,
            ShareAction::ResetTakeoverTimer => {}
            ShareAction::EndLease => self.lease = None,
            ShareAction::StartLease => {
                self.lease = lease_end.map(|until| Lease { from: now + SLOT_COOLDOWN, until });
            }
            ShareAction::ExtendLease => {
                let from = self.lease.map_or(now + SLOT_COOLDOWN, |lease| lease.from);
                let old_until = self.lease.map_or(Timestamp(0), |lease| lease.until);
                self.lease =
                    lease_end.map(|end| Lease { from, until: end.max(old_until) }).or(self.lease);
            }
        }
    }
}
