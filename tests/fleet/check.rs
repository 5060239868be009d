//! Exact check of the admitted requests against a token bucket of the whole rate and burst.

use std::collections::BTreeMap;

use medlarstile::types::{AccountId, Burst, MilliTokens, RatePerS};

pub type Limits = BTreeMap<AccountId, (RatePerS, Burst)>;

/// The fleet-wide admitted sequence of every account.
#[derive(Debug)]
pub struct Check {
    limits: Limits,
    /// Level in millionths of a milli-token, and its true time.
    buckets: BTreeMap<AccountId, (i128, u64)>,
    /// Timestamps are whole microseconds, so each host may be one microsecond of refill ahead.
    hosts: i128,
}

impl Check {
    pub fn new(limits: &Limits, hosts: usize) -> Self {
        Self { limits: limits.clone(), buckets: BTreeMap::new(), hosts: hosts as i128 }
    }

    /// Takes in one admitted request, in order of true time.
    pub fn admit(&mut self, now: u64, account: &AccountId, cost: MilliTokens) {
        let (rate, burst) = self.limits[account];
        let full = i128::from(burst.0) * 1_000_000_000;
        let per_us = i128::from(rate.0) * 1_000;
        let (level, at) = self.buckets.entry(account.clone()).or_insert((full, now));
        *level = full.min(*level + per_us * i128::from(now - *at));
        *level -= i128::from(cost.0) * 1_000_000;
        *at = now;
        let over = -*level - self.hosts * per_us;
        assert!(
            over <= 0,
            "{account} over its limit by {} milli-tokens at {now} us",
            over / 1_000_000
        );
    }
}
