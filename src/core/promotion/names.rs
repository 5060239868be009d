//! States, events, guards and actions of `charts/group.scxml`.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError};
use crate::chart_names;

chart_names! {
    /// States of a promotion.
    pub enum State {
        Idle = "idle",
        Suspecting = "suspecting",
        Claiming = "claiming",
        Fencing = "fencing",
        Choosing = "choosing",
        Recording = "recording",
        SendingOrders = "sending_orders",
        BackingOff = "backing_off",
    }
    /// Events of a promotion.
    pub enum Event {
        Tick = "tick",
        RecordRead = "record_read",
        Swapped = "swapped",
        Conflict = "conflict",
        Uncertain = "uncertain",
        Fenced = "fenced",
        Chosen = "chosen",
    }
    /// Guards of a promotion.
    pub enum Guard {
        Suspect = "suspect",
        NoReason = "no_reason",
        ReadDue = "read_due",
        MayBootstrap = "may_bootstrap",
        MayClaim = "may_claim",
        OwnAttempt = "own_attempt",
        RowUnchanged = "row_unchanged",
        RowTaken = "row_taken",
        Superseded = "superseded",
        MajorityFenced = "majority_fenced",
        AttemptOverdue = "attempt_overdue",
        FenceDue = "fence_due",
        BackoffOver = "backoff_over",
    }
    /// Actions of a promotion.
    pub enum Action {
        StartSuspicion = "start_suspicion",
        Read = "read",
        ReadLater = "read_later",
        Bootstrap = "bootstrap",
        Claim = "claim",
        Swap = "swap",
        Fence = "fence",
        Choose = "choose",
        SendOrders = "send_orders",
        BackOff = "back_off",
    }
}

/// State chart of a promotion.
pub type PromotionChart = Chart<State, Event, Guard, Action>;

/// Text of the chart file.
pub const CHART_TEXT: &str = include_str!("../../../charts/group.scxml");

/// Compiles the chart of a promotion.
///
/// # Errors
///
/// Returns every error found in the chart file.
pub fn chart() -> Result<PromotionChart, Vec<ChartError>> {
    Chart::load("charts/group.scxml", CHART_TEXT)
}

/// The compiled chart.
pub(super) static CHART: LazyLock<PromotionChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));
