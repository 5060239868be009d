//! Life of a host: starting, serving, leaving, draining, releasing, stopped.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::types::{DurationMs, Timestamp};

/// Longest wait for the release of share slots; then the lease ends by itself.
const RELEASE_LIMIT: DurationMs = DurationMs(3_000);

chart_names! {
    /// States of a host.
    pub enum LifeState {
        Starting = "starting", Serving = "serving", Leaving = "leaving", Draining = "draining",
        Releasing = "releasing", Stopped = "stopped",
    }
    /// Events of a host.
    pub enum LifeEvent {
        Ready = "ready", Stop = "stop", NoticeOver = "notice_over", Idle = "idle",
        LimitOver = "limit_over", Released = "released",
    }
    /// Actions of a host.
    pub enum LifeAction {
        Listen = "listen", AnnounceLeaving = "announce_leaving",
        RefuseNewWork = "refuse_new_work", RollBack = "roll_back",
        ReleaseShares = "release_shares", Close = "close",
    }
}

type LifeChart = Chart<LifeState, LifeEvent, NoGuard, LifeAction>;

/// Compiles the chart of a host's life.
///
/// # Errors
///
/// Every fault of the chart file.
pub fn chart() -> Result<LifeChart, Vec<ChartError>> {
    Chart::load("charts/host.scxml", include_str!("../../charts/host.scxml"))
}

static CHART: LazyLock<LifeChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// How long a stopping host waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimes {
    /// Time in which new work is still taken, because the platform's host list lags.
    pub notice_ms: DurationMs,
    /// Longest wait for open transactions after that.
    pub limit_ms: DurationMs,
}

/// What the host knows about its remaining work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Remaining {
    /// No request and no transaction is left.
    pub idle: bool,
    /// No request is running, although transactions may be open.
    pub no_request: bool,
    /// All share slots are given back.
    pub released: bool,
}

/// Life of one host.
#[derive(Debug)]
pub struct Life {
    machine: Machine<LifeState, LifeEvent, NoGuard, LifeAction>,
    times: DrainTimes,
    since: Timestamp,
}

impl Life {
    /// A host that starts now.
    pub fn new(times: DrainTimes) -> Self {
        Self { machine: CHART.start(), times, since: Timestamp::default() }
    }

    /// The present state.
    pub fn state(&self) -> LifeState {
        self.machine.state()
    }

    /// Feeds an event; the actions are to be carried out in order.
    pub fn fire(&mut self, now: Timestamp, event: LifeEvent) -> &'static [LifeAction] {
        let step = self.machine.fire(event, |guard| match guard {});
        if step.from != step.to {
            self.since = now;
        }
        step.actions
    }

    /// The event that is due by time or by the end of the remaining work.
    pub fn due(&self, now: Timestamp, remaining: Remaining) -> Option<LifeEvent> {
        let passed = |limit: DurationMs| now >= self.since + limit;
        match self.machine.state() {
            LifeState::Leaving if passed(self.times.notice_ms) => Some(LifeEvent::NoticeOver),
            LifeState::Draining if remaining.idle => Some(LifeEvent::Idle),
            // A request that runs is never cut off; only an idle transaction is rolled back.
            LifeState::Draining if passed(self.times.limit_ms) && remaining.no_request => {
                Some(LifeEvent::LimitOver)
            }
            LifeState::Releasing if remaining.released || passed(RELEASE_LIMIT) => {
                Some(LifeEvent::Released)
            }
            _ => None,
        }
    }
}
