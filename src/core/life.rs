//! Lifecycle of a host process, from start-up to the end of draining; see `charts/host.scxml`.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::types::{DurationMs, Timestamp};

/// Longest wait for the release of share slots and for callers that have not read their last
/// answer. The leases of slots that are not released by then expire.
const RELEASE_TIMEOUT: DurationMs = DurationMs(3_000);

chart_names! {
    /// States of a host process.
    pub enum LifeState {
        Starting = "starting", Serving = "serving", Leaving = "leaving", Draining = "draining",
        Finishing = "finishing", Releasing = "releasing", Stopped = "stopped",
    }
    /// Events of a host process.
    pub enum LifeEvent {
        Ready = "ready", Stop = "stop", NoticePeriodOver = "notice_period_over", Idle = "idle",
        DrainTimedOut = "drain_timed_out", FinishTimedOut = "finish_timed_out",
        Released = "released",
    }
    /// Actions of a host process.
    pub enum LifeAction {
        Listen = "listen", AnnounceLeaving = "announce_leaving",
        RefuseNewWork = "refuse_new_work", EndTransactions = "end_transactions",
        AbortRequests = "abort_requests", ReleaseShares = "release_shares", Close = "close",
    }
}

impl LifeState {
    /// Whether new sessions are accepted.
    pub fn accepts_sessions(self) -> bool {
        matches!(self, Self::Starting | Self::Serving | Self::Leaving)
    }

    /// Whether statements other than the end of a transaction still run.
    pub fn runs_statements(self) -> bool {
        self.accepts_sessions() || self == Self::Draining
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
    /// Longest wait for running requests after that; `None` if they are never aborted.
    pub finish_ms: Option<DurationMs>,
}

/// Work that a stopping host has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Remaining {
    /// Whether there are no requests and no open transactions, neither of sessions on this host
    /// nor of sessions that it relays.
    pub idle: bool,
    /// Whether all share slots are released and all answers sent.
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
            LifeState::Draining | LifeState::Finishing if remaining.idle => Some(LifeEvent::Idle),
            // Does not wait for a moment without a running request: with many open transactions
            // there is none.
            LifeState::Draining if has_elapsed(self.times.limit_ms) => {
                Some(LifeEvent::DrainTimedOut)
            }
            LifeState::Finishing if self.times.finish_ms.is_some_and(has_elapsed) => {
                Some(LifeEvent::FinishTimedOut)
            }
            LifeState::Releasing if remaining.released || has_elapsed(RELEASE_TIMEOUT) => {
                Some(LifeEvent::Released)
            }
            _ => None,
        }
    }
}
