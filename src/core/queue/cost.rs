//! The expected cost of an account's next request.

use std::collections::BTreeMap;

use crate::types::{AccountId, Cost};

/// Least cost of a request, so that requests that are free in slot time are still queued fairly.
const MIN_COST: Cost = Cost(100);

/// Weight of the earlier average against a new value, which counts once.
const MEMORY: u64 = 7;

/// Moving averages of the slot time that the requests of each account took, in microseconds.
#[derive(Debug, Default)]
pub struct CostAverages(BTreeMap<AccountId, u64>);

impl CostAverages {
    /// Cost to queue the next request of `account` with.
    pub fn cost(&self, account: &AccountId) -> Cost {
        Cost(self.0.get(account).copied().unwrap_or_default()).max(MIN_COST)
    }

    /// Takes in the slot time of a request that has ended.
    pub fn add(&mut self, account: &AccountId, slot_time: Cost) {
        let average = self.0.entry(account.clone()).or_insert(slot_time.0);
        let sum = average.saturating_mul(MEMORY).saturating_add(slot_time.0);
        *average = sum.div_ceil(MEMORY + 1);
    }

    /// Forgets accounts that `keeps` does not name, after a change of the tables.
    pub fn retain(&mut self, keeps: impl Fn(&AccountId) -> bool) {
        self.0.retain(|account, _| keeps(account));
    }
}
