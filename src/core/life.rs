//! Lifecycle of a host process, from start-up to the end of draining; see `charts/host.scxml`.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::types::{DurationMs, Timestamp};

/// Longest wait for the release of share slots. The leases of slots that are not released by then
/// expire.
const RELEASE_TIMEOUT: DurationMs = DurationMs(3_000);

chart_names! {
    /// States of a host process.
    pub enum LifeState {
        Starting = "starting", Serving = "serving", Leaving = "leaving", Draining = "draining",
        Releasing = "releasing", Stopped = "stopped",
    }
    /// Events of a host process.
    pub enum LifeEvent {
        Ready = "ready", Stop = "stop", NoticePeriodOver = "notice_period_over", Idle = "idle",
        DrainTimedOut = "drain_timed_out", Released = "released",
    }
    /// Actions of a host process.
    pub enum LifeAction {
        Listen = "listen", AnnounceLeaving = "announce_leaving",
        RefuseNewWork = "refuse_new_work", RollBack = "roll_back",
        ReleaseShares = "release_shares", Close = "close",
    }
}

type LifeChart = Chart<LifeState, LifeEvent, NoGuard, LifeAction>;

/// Compiles `charts/host.scxml`.
///
/// # Errors
///
/// All errors in the chart file.
pub fn chart() -> Result<LifeChart, Vec<ChartError>> {
    Chart::load("charts/host.scxml", include_str!("../../charts/host.scxml"))
}

static CHART: LazyLock<LifeChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// Wait times of a host that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimes {
    /// How long the host still accepts new work, because callers learn late from the platform's
    /// host list that it is leaving.
    pub notice_ms: DurationMs,
    /// Longest wait for open transactions after the notice period.
    pub limit_ms: DurationMs,
}

/// Work that a stopping host has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Remaining {
    /// Whether there are no requests and no open transactions.
    pub idle: bool,
    /// Whether no request is running; transactions may be open.
    pub no_request: bool,
    /// Whether all share slots are released.
    pub released: bool,
}

/// Lifecycle of one host process.
#[derive(Debug)]
pub struct Life {
    machine: Machine<LifeState, LifeEvent, NoGuard, LifeAction>,
    times: DrainTimes,
    entered_at: Timestamp,
}

impl Life {
    /// Creates the lifecycle of a host in state `starting`.
    pub fn new(times: DrainTimes) -> Self {
        Self { machine: CHART.start(), times, entered_at: Timestamp::default() }
    }

    /// Returns the current state.
    pub fn state(&self) -> LifeState {
        self.machine.state()
    }

    /// Handles an event; the caller carries out the returned actions in order.
    pub fn fire(&mut self, now: Timestamp, event: LifeEvent) -> &'static [LifeAction] {
        let step = self.machine.fire(event, |guard| match guard {});
        if step.from != step.to {
            self.entered_at = now;
        }
        step.actions
    }

    /// Returns the event that a timeout or the end of the remaining work has caused. The caller
    /// passes it to [`Life::fire`].
    pub fn due(&self, now: Timestamp, remaining: Remaining) -> Option<LifeEvent> {
        let has_elapsed = |limit: DurationMs| now >= self.entered_at + limit;
        match self.machine.state() {
            LifeState::Leaving if has_elapsed(self.times.notice_ms) => {
                Some(LifeEvent::NoticePeriodOver)
            }
            LifeState::Draining if remaining.idle => Some(LifeEvent::Idle),
            // A running request is never interrupted; only idle transactions are rolled back.
            LifeState::Draining if has_elapsed(self.times.limit_ms) && remaining.no_request => {
                Some(LifeEvent::DrainTimedOut)
            }
            LifeState::Releasing if remaining.released || has_elapsed(RELEASE_TIMEOUT) => {
                Some(LifeEvent::Released)
            }
            _ => None,
        }
    }
}
