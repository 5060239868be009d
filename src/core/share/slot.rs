//! The state of one share slot, over `charts/share.scxml`.

use std::sync::LazyLock;

use crate::chart::{Chart, Machine};
use crate::chart_names;
use crate::types::{DurationMs, RowVersion, Timestamp};

use super::row::{HeldSlot, Holder, SeenRow, ShareRow, ShareSlot};

/// Name of the chart file, for messages.
pub const CHART_FILE: &str = "charts/share.scxml";

/// Content of the chart file.
pub const CHART_TEXT: &str = include_str!("../../../charts/share.scxml");

/// Time between the last use of a slot by one host and its first use by the next.
///
/// Tokens granted on a slot live for 500 ms at the receiver. A slot that is given back, or taken
/// over from a process that ended, rests longer than that, because its next holder knows nothing
/// of its predecessor's reservations.
pub(super) const SLOT_REST: DurationMs = DurationMs(1_000);

chart_names! {
    /// States of a share slot.
    pub enum ShareState {
        Unread = "unread", Free = "free", Other = "other", Claiming = "claiming", Held = "held",
        Retiring = "retiring", Releasing = "releasing",
    }
    /// Events of a share slot.
    pub enum ShareEvent {
        ReadFree = "read_free", ReadOther = "read_other", ReadOwn = "read_own", Claim = "claim",
        Denied = "denied", Retire = "retire", Release = "release",
    }
    /// Guards of a share slot.
    pub enum ShareGuard { Abandoned = "abandoned" }
    /// Actions of a share slot.
    pub enum ShareAction {
        Watch = "watch", StartLease = "start_lease", ExtendLease = "extend_lease",
        EndLease = "end_lease",
    }
}

/// The compiled chart of a share slot.
pub type ShareChart = Chart<ShareState, ShareEvent, ShareGuard, ShareAction>;

static CHART: LazyLock<ShareChart> = LazyLock::new(|| {
    Chart::load(CHART_FILE, CHART_TEXT).expect("the share chart is valid, a test checks it")
});

/// Use of a slot by this host.
#[derive(Debug, Clone, Copy)]
struct Lease {
    from: Timestamp,
    until: Timestamp,
}

/// One share slot as this host knows it.
#[derive(Debug)]
pub(super) struct Slot {
    machine: Machine<ShareState, ShareEvent, ShareGuard, ShareAction>,
    number: ShareSlot,
    version: Option<RowVersion>,
    row: ShareRow,
    first_seen: Timestamp,
    lease: Option<Lease>,
    retired: Timestamp,
}

impl Slot {
    /// A slot whose row was not read yet.
    pub fn new(number: ShareSlot) -> Self {
        let (row, never) = (ShareRow::default(), Timestamp(0));
        let machine = CHART.start();
        Self { machine, number, version: None, row, first_seen: never, lease: None, retired: never }
    }

    /// Number of the slot.
    pub fn number(&self) -> ShareSlot {
        self.number
    }

    /// Present state.
    pub fn state(&self) -> ShareState {
        self.machine.state()
    }

    /// Row version that a compare-and-set must name; 0 before the first read.
    pub fn version(&self) -> RowVersion {
        self.version.unwrap_or_default()
    }

    /// Row as last seen.
    pub fn row(&self) -> &ShareRow {
        &self.row
    }

    /// When a slot that this host stopped using may be given back.
    pub fn release_at(&self) -> Option<Timestamp> {
        (self.state() == ShareState::Retiring).then_some(self.retired + SLOT_REST)
    }

    /// The slot with its times of use, if this host holds it.
    pub fn held(&self) -> Option<HeldSlot> {
        let lease = self.lease?;
        Some(HeldSlot { slot: self.number, from: lease.from, until: lease.until })
    }

    /// Takes in a row that was read or written. `lease_end` is the end of the lease that the
    /// row gives if this host wrote it. A row older than the known one is ignored, because reads
    /// may be stale.
    pub fn see(
        &mut self,
        now: Timestamp,
        seen: &SeenRow,
        me: &Holder,
        lease_end: Option<Timestamp>,
    ) {
        let same = self.version == Some(seen.version);
        let older = self.version.is_some_and(|known| seen.version < known);
        if older || (same && self.state() != ShareState::Unread) {
            return;
        }
        let event = match &seen.row.holder {
            None => ShareEvent::ReadFree,
            Some(holder) if holder == me => ShareEvent::ReadOwn,
            Some(_) => ShareEvent::ReadOther,
        };
        let step = self.machine.fire(event, |_| false);
        if !same {
            self.version = Some(seen.version);
            self.row = seen.row.clone();
        }
        for action in step.actions {
            self.act(now, *action, !same, lease_end);
        }
    }

    /// Starts a claim if the slot is free, or if `abandoned` says that its holder lost it.
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
            self.retired = now;
            self.lease = None;
        }
    }

    /// Notes that the release of a retired slot was sent.
    pub fn release(&mut self) {
        self.machine.fire(ShareEvent::Release, |_| false);
    }

    /// Notes that a claim or release failed or has an unknown outcome.
    pub fn denied(&mut self) {
        self.machine.fire(ShareEvent::Denied, |_| false);
    }

    /// Whether another host may take the slot: its row was unchanged for `wait` on this host's
    /// clock, or a process with a newer incarnation is bound to the holder's address.
    pub fn abandoned(&self, now: Timestamp, wait: DurationMs, hosts: &[Holder]) -> bool {
        let Some(holder) = &self.row.holder else { return false };
        let replaced =
            |host: &Holder| host.address == holder.address && host.incarnation > holder.incarnation;
        now >= self.first_seen + wait || hosts.iter().any(replaced)
    }

    fn act(
        &mut self,
        now: Timestamp,
        action: ShareAction,
        changed: bool,
        lease_end: Option<Timestamp>,
    ) {
        match action {
            ShareAction::Watch if changed => self.first_seen = now,
            ShareAction::Watch => {}
            ShareAction::EndLease => self.lease = None,
            ShareAction::StartLease => {
                self.lease = lease_end.map(|until| Lease { from: now + SLOT_REST, until });
            }
            ShareAction::ExtendLease => {
                let from = self.lease.map_or(now + SLOT_REST, |lease| lease.from);
                let old = self.lease.map_or(Timestamp(0), |lease| lease.until);
                self.lease =
                    lease_end.map(|end| Lease { from, until: end.max(old) }).or(self.lease);
            }
        }
    }
}
