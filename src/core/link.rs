//! Tracks whether the host can reach the platform, and computes the delays of retries.

use std::sync::LazyLock;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::chart::{Chart, ChartError, Machine};
use crate::chart_names;
use crate::types::{DurationMs, Timestamp};

/// Shortest delay before a failed call is retried.
pub const MIN_RETRY: DurationMs = DurationMs(50);

/// Longest delay before a failed call is retried.
pub const MAX_RETRY: DurationMs = DurationMs(2_000);

/// How long calls must fail before the platform counts as unreachable. Two calls with a timeout of
/// 1,000 ms each fit into this time, so a single slow call does not count as an outage.
pub const UNREACHABLE_AFTER: DurationMs = DurationMs(2_000);

chart_names! {
    /// Whether the host can reach the platform.
    pub enum LinkState {
        Reachable = "reachable",
        Suspect = "suspect",
        Unreachable = "unreachable",
    }
    /// Results of calls to the platform.
    pub enum LinkEvent { Answered = "call.answered", Failed = "call.failed" }
    /// Guards of the platform chart.
    pub enum LinkGuard { SentAfterFailure = "sent_after_failure", FailingTooLong = "failing_too_long" }
    /// Actions of the platform chart.
    pub enum LinkAction { SetFailingSince = "set_failing_since" }
}

/// Chart of a [`Link`].
pub type LinkChart = Chart<LinkState, LinkEvent, LinkGuard, LinkAction>;

/// Compiles `charts/platform.scxml`.
///
/// # Errors
///
/// All errors in the chart file.
pub fn chart() -> Result<LinkChart, Vec<ChartError>> {
    Chart::load("charts/platform.scxml", include_str!("../../charts/platform.scxml"))
}

static CHART: LazyLock<LinkChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// Reachability of the platform from a host, derived from the results of calls.
#[derive(Debug)]
pub struct Link {
    machine: Machine<LinkState, LinkEvent, LinkGuard, LinkAction>,
    failing_since: Timestamp,
    last_failed: Timestamp,
    last_answered: Option<Timestamp>,
}

impl Link {
    /// Creates a link on which no call was made yet. It is in state `suspect` until the first
    /// answer.
    pub fn new(now: Timestamp) -> Self {
        let machine = CHART.start();
        Self { machine, failing_since: now, last_failed: Timestamp(0), last_answered: None }
    }

    /// Handles the result, received at `now`, of a call sent at `sent`; `answered` is false for a
    /// failed call. Returns the new state if it changed.
    pub fn on_result(
        &mut self,
        sent: Timestamp,
        now: Timestamp,
        answered: bool,
    ) -> Option<LinkState> {
        let event = if answered { LinkEvent::Answered } else { LinkEvent::Failed };
        let (last_failed, failing_since) = (self.last_failed, self.failing_since);
        let step = self.machine.fire(event, |guard| match guard {
            LinkGuard::SentAfterFailure => sent >= last_failed,
            LinkGuard::FailingTooLong => now.since(failing_since) >= UNREACHABLE_AFTER.to_std(),
        });
        for action in step.actions {
            match action {
                LinkAction::SetFailingSince => self.failing_since = sent,
            }
        }
        if answered {
            self.last_answered = self.last_answered.max(Some(sent));
        } else {
            self.last_failed = self.last_failed.max(sent);
        }
        (step.from != step.to).then_some(step.to)
    }

    /// Returns the current state.
    pub fn state(&self) -> LinkState {
        self.machine.state()
    }

    /// Returns the send time of the latest call that was answered.
    pub fn last_answered(&self) -> Option<Timestamp> {
        self.last_answered
    }
}

/// Exponential backoff with jitter, from [`MIN_RETRY`] to [`MAX_RETRY`].
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the delay before the next retry: a random value between the minimum and a limit that
    /// doubles with each failure. The jitter spreads the retries of hosts that failed at the same
    /// time.
    pub fn next_delay(&mut self, rng: &mut ChaCha8Rng) -> DurationMs {
        self.failures = self.failures.saturating_add(1);
        let max_delay = MIN_RETRY.0.checked_shl(self.failures.min(16)).unwrap_or(MAX_RETRY.0);
        DurationMs(rng.random_range(MIN_RETRY.0..=max_delay.min(MAX_RETRY.0)))
    }

    /// Resets the limit of the delay after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
