//! This host's part of each client account's rate and burst.
//!
//! Hosts tell each other how many operations of each account were asked for. Every host takes the
//! part of the rate that its callers ask for; what nobody asks for is divided equally. A host that
//! is not heard keeps its last part reserved, so that the parts of hosts that are cut off from
//! each other do not add up to more than the rate.

use std::collections::BTreeMap;

use super::catalog::AccountPlan;
use crate::types::{AccountId, DurationMs, HostId, MilliTokens, Timestamp};

/// Span over which demand is measured.
const DEMAND_SPAN: DurationMs = DurationMs(500);
/// Part of the rate that a host keeps although nobody asks for it there, in thousandths of an
/// equal part.
const FLOOR_PERMILLE: u64 = 250;
/// Tokens that a starting host has, as time at its rate; what the account used before the start
/// may count in the same window.
const FIRST_LEVEL: DurationMs = DurationMs(300);
/// Time for which the last report of a silent host counts; after it, the host's equal part is
/// reserved while it is listed.
const REPORT_LIFE: DurationMs = DurationMs(4_000);

/// Operations a second, in thousandths, that callers of a host ask for.
pub type Demand = BTreeMap<AccountId, MilliTokens>;

#[derive(Debug)]
struct Bucket {
    level: u64,
    settled: Timestamp,
    asked: u64,
    demand: u64,
    rate: u64,
    burst: u64,
}

#[derive(Debug)]
struct Report {
    at: Timestamp,
    demand: Demand,
}

/// Parts of the rates that this host may use.
#[derive(Debug, Default)]
pub struct Quota {
    plans: BTreeMap<AccountId, AccountPlan>,
    buckets: BTreeMap<AccountId, Bucket>,
    reports: BTreeMap<HostId, Report>,
    /// Other hosts that are listed.
    others: Vec<HostId>,
    measured: Timestamp,
}

impl Quota {
    /// Adopts the accounts of a configuration.
    pub fn set_accounts(&mut self, now: Timestamp, plans: &BTreeMap<AccountId, AccountPlan>) {
        self.plans.clone_from(plans);
        self.buckets.retain(|account, _| plans.contains_key(account));
        self.divide(now);
    }

    /// Sets the other hosts of the fleet.
    pub fn set_hosts(&mut self, now: Timestamp, others: Vec<HostId>) {
        self.reports.retain(|host, _| others.contains(host));
        self.others = others;
        self.divide(now);
    }

    /// Takes the demand at another host.
    pub fn on_report(&mut self, now: Timestamp, host: HostId, demand: Demand) {
        self.reports.insert(host, Report { at: now, demand });
    }

    /// Takes one operation's token; false if there is none left.
    pub fn admit(&mut self, now: Timestamp, account: &AccountId) -> bool {
        if !self.plans.contains_key(account) {
            return true;
        }
        if !self.buckets.contains_key(account) {
            self.divide(now);
        }
        let Some(bucket) = self.buckets.get_mut(account) else { return true };
        bucket.settle(now);
        bucket.asked += 1;
        let enough = bucket.level >= MilliTokens::ONE.0;
        if enough {
            bucket.level -= MilliTokens::ONE.0;
        }
        enough
    }

    /// Measures the demand and divides the rates anew; returns this host's demand when it is due.
    pub fn tick(&mut self, now: Timestamp) -> Option<Demand> {
        let spent = now.ms_since(self.measured).0;
        if spent < DEMAND_SPAN.0 {
            return None;
        }
        self.measured = now;
        for bucket in self.buckets.values_mut() {
            let rate = bucket.asked * MilliTokens::ONE.0 * 1_000 / spent;
            bucket.demand = (bucket.demand + rate) / 2;
            bucket.asked = 0;
        }
        self.divide(now);
        Some(self.demand())
    }

    /// This host's demand.
    pub fn demand(&self) -> Demand {
        let busy = self.buckets.iter().filter(|(_, bucket)| bucket.demand > 0);
        busy.map(|(account, bucket)| (account.clone(), MilliTokens(bucket.demand))).collect()
    }

    fn divide(&mut self, now: Timestamp) {
        let hosts = self.others.len() as u64 + 1;
        for (account, plan) in &self.plans {
            let rate = plan.rate_per_s.0 * MilliTokens::ONE.0;
            let equal = rate / hosts;
            let floor = equal * FLOOR_PERMILLE / 1_000;
            let wanted = |demand: u64| demand.max(floor);
            let (mut known, mut asked, mut reserved) = (1, 0, 0);
            for host in &self.others {
                match self.reports.get(host) {
                    Some(report) if now < report.at + REPORT_LIFE => {
                        known += 1;
                        asked += wanted(report.demand.get(account).map_or(0, |demand| demand.0));
                    }
                    _ => reserved += equal,
                }
            }
            let free = rate.saturating_sub(reserved).max(equal);
            let bucket = self.buckets.entry(account.clone()).or_insert_with(|| Bucket {
                level: equal * FIRST_LEVEL.0 / 1_000 + MilliTokens::ONE.0,
                settled: now,
                asked: 0,
                demand: 0,
                rate: equal,
                burst: 0,
            });
            bucket.settle(now);
            let own = wanted(bucket.demand);
            let total = own + asked;
            bucket.rate = if total <= free {
                own + (free - total) / known
            } else {
                u64::try_from(u128::from(free) * u128::from(own) / u128::from(total.max(1)))
                    .unwrap_or(free)
            };
            let burst = u128::from(plan.burst.0 * MilliTokens::ONE.0);
            let part = burst * u128::from(bucket.rate) / u128::from(rate.max(1));
            bucket.burst = u64::try_from(part).unwrap_or(0).max(MilliTokens::ONE.0);
            bucket.level = bucket.level.min(bucket.burst);
        }
    }
}

impl Bucket {
    fn settle(&mut self, now: Timestamp) {
        let spent_us = now.0.saturating_sub(self.settled.0);
        let gained = u128::from(self.rate) * u128::from(spent_us) / 1_000_000;
        if gained > 0 {
            self.settled = now;
            let gained = u64::try_from(gained).unwrap_or(u64::MAX);
            self.level = self.level.saturating_add(gained).min(self.burst.max(self.level));
        }
    }
}
