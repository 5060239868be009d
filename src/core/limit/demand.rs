//! Short-term estimate of an account's demand at one host.

use crate::types::{DurationMs, MilliTokens, Timestamp};

/// Length of the windows in which demand is counted.
pub(super) const HORIZON: DurationMs = DurationMs(100);

/// Milli-tokens requested in the current and the previous window of [`HORIZON`].
#[derive(Debug, Default)]
pub(super) struct Demand {
    window: u64,
    present: u64,
    previous: u64,
}

impl Demand {
    /// Counts a request that costs `cost`.
    pub fn add(&mut self, now: Timestamp, cost: MilliTokens) {
        self.turn(now);
        self.present = self.present.saturating_add(cost.0);
    }

    /// Tokens that requests are expected to cost within one window: the larger count of the current
    /// and the previous window.
    pub fn per_horizon(&mut self, now: Timestamp) -> MilliTokens {
        self.turn(now);
        MilliTokens(self.present.max(self.previous))
    }

    fn turn(&mut self, now: Timestamp) {
        let window = now.0 / HORIZON.as_us();
        if window == self.window {
            return;
        }
        self.previous = if window == self.window + 1 { self.present } else { 0 };
        self.present = 0;
        self.window = window;
    }
}
