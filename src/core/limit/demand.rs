//! Short-term estimate of an account's demand at one host.

use crate::types::{DurationMs, MilliTokens, Timestamp};

/// Length of the windows in which demand is counted.
pub(super) const DEMAND_WINDOW: DurationMs = DurationMs(100);

/// Milli-tokens requested in the current and the previous window of [`DEMAND_WINDOW`].
#[derive(Debug, Default)]
pub(super) struct Demand {
    window: u64,
    current: u64,
    previous: u64,
}

impl Demand {
    /// Counts a request that costs `cost`.
    pub fn add(&mut self, now: Timestamp, cost: MilliTokens) {
        self.advance_window(now);
        self.current = self.current.saturating_add(cost.0);
    }

    /// Tokens that requests are expected to cost within one window: the larger count of the current
    /// and the previous window.
    pub fn per_window(&mut self, now: Timestamp) -> MilliTokens {
        self.advance_window(now);
        MilliTokens(self.current.max(self.previous))
    }

    fn advance_window(&mut self, now: Timestamp) {
        let window = now.0 / DEMAND_WINDOW.as_us();
        if window == self.window {
            return;
        }
        self.previous = if window == self.window + 1 { self.current } else { 0 };
        self.current = 0;
        self.window = window;
    }
}
