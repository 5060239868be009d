//! Estimates the cost of an account's next request.

use std::collections::BTreeMap;

use crate::types::{AccountId, Cost};

/// Minimum cost of a request, so that requests that take nearly no slot time are still queued
/// fairly.
const MIN_COST: Cost = Cost(100);

/// Weight of the previous average relative to a new value, whose weight is 1.
const PREVIOUS_WEIGHT: u64 = 7;

/// Moving average, per account, of the slot time of its requests in microseconds.
#[derive(Debug, Default)]
pub struct CostAverages(BTreeMap<AccountId, u64>);

impl CostAverages {
    /// Expected cost of the next request of `account`.
    pub fn cost(&self, account: &AccountId) -> Cost {
        Cost(self.0.get(account).copied().unwrap_or_default()).max(MIN_COST)
    }

    /// Adds the slot time of a completed request to its account's average.
    pub fn add(&mut self, account: &AccountId, slot_time: Cost) {
        let average = self.0.entry(account.clone()).or_insert(slot_time.0);
        let sum = average.saturating_mul(PREVIOUS_WEIGHT).saturating_add(slot_time.0);
        *average = sum.div_ceil(PREVIOUS_WEIGHT + 1);
    }

    /// Removes the accounts for which `keeps` returns false, after a change of the tables.
    pub fn retain(&mut self, keeps: impl Fn(&AccountId) -> bool) {
        self.0.retain(|account, _| keeps(account));
    }
}
