//! Estimates the service rate of a queue.

use crate::types::{Cost, Timestamp};

/// Number of served requests in one sample.
const SAMPLE_POPS: u32 = 8;

/// Maximum time between two pops, in addition to twice the cost of the last request, that counts
/// as service time. A longer gap is an interruption such as a failover and not part of the service
/// rate.
const MAX_GAP_US: u64 = 100_000;

/// Cost served per time while requests wait, as a moving average of samples.
#[derive(Debug, Default)]
pub(super) struct ServiceRate {
    last_pop: Option<Timestamp>,
    last_cost: u64,
    busy_us: u64,
    served: u64,
    pops: u32,
    estimate: Option<(u64, u64)>,
}

impl ServiceRate {
    /// Counts a request that is served at `now`; `waiting` tells whether other requests still wait.
    pub fn on_pop(&mut self, now: Timestamp, cost: Cost, waiting: bool) {
        if let Some(last) = self.last_pop {
            let longest = MAX_GAP_US + self.last_cost.saturating_mul(2);
            self.busy_us += now.0.saturating_sub(last.0).min(longest);
            self.served = self.served.saturating_add(cost.0);
            self.pops += 1;
        }
        self.last_pop = waiting.then_some(now);
        self.last_cost = cost.0;
        if self.pops >= SAMPLE_POPS {
            self.update_estimate();
        }
    }

    /// Time in microseconds to serve requests of the total cost `work`; `None` before the first
    /// estimate.
    pub fn time_to_serve(&self, work: u128) -> Option<u64> {
        let (served, busy_us) = self.estimate?;
        let us = work.saturating_mul(u128::from(busy_us)) / u128::from(served.max(1));
        Some(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// Updates the estimate to the mean of the previous estimate and the current sample.
    fn update_estimate(&mut self) {
        let (served, busy) = self.estimate.unwrap_or((self.served, self.busy_us));
        self.estimate = Some((served.midpoint(self.served), busy.midpoint(self.busy_us)));
        (self.served, self.busy_us, self.pops) = (0, 0, 0);
    }
}
