//! This host's share of each client account's rate and burst.
//!
//! Hosts report to each other the demand of each account, that is the operations requested by their
//! callers. The whole rate is divided in proportion to the demand. A share stays reserved for a
//! host whose reports stop, so that the shares of hosts that are partitioned from each other do not
//! add up to more than the rate.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::AccountLimit;
use crate::types::{AccountId, DurationMs, HostId, MilliTokens, Timestamp};

/// Interval over which demand is measured.
const DEMAND_INTERVAL: DurationMs = DurationMs(500);
/// The latest interval has a weight of 1/n in the moving average of the demand; a host sees few
/// operations of an account in one interval.
const DEMAND_AVERAGE_LENGTH: u64 = 5;
/// Share of the rate that a host keeps without any demand, in thousandths of an equal share.
const FLOOR_PERMILLE: u64 = 250;
/// Share that an account's home keeps without any demand, in thousandths of the rate: at start-up
/// the home gets the account's usual demand before it has measured any.
const HOME_FLOOR_PERMILLE: u64 = 500;
/// Share that a host other than the account's home keeps, in thousandths of an equal share.
const NON_HOME_FLOOR_PERMILLE: u64 = 100;
/// Initial tokens of a starting host, as time at its rate; operations admitted before the start may
/// count in the same window.
const INITIAL_LEVEL: DurationMs = DurationMs(300);
/// Tokens of a host that becomes the home of an account, as time at the account's rate and at most
/// half of its burst. The former home's tokens are lost with it, and this host's part of the rate
/// grows only with the reports.
const TAKEOVER_LEVEL: DurationMs = DurationMs(500);
/// Demand in percent of the rate up to which the burst counts as unspent, so that a part of it may be
/// granted.
const UNSPENT_PERCENT: u64 = 80;
/// Minimum time between two such grants, so that changes of the home do not add up.
const TAKEOVER_INTERVAL: DurationMs = DurationMs(5_000);
/// Time for which the last report of a host counts; after that, an equal share is reserved for the
/// host while it is listed.
const REPORT_LIFETIME: DurationMs = DurationMs(4_000);

/// Number of intervals for each report of an empty demand.
const EMPTY_REPORT_INTERVALS: u64 = 3;

/// Operations per second requested by the callers of a host, in thousandths, by account.
pub type Demand = BTreeMap<AccountId, MilliTokens>;

#[derive(Debug)]
struct Bucket {
    /// Tokens, in thousandths.
    level: u64,
    refilled_at: Timestamp,
    /// When this host last became the account's home.
    taken_over_at: Option<Timestamp>,
    /// Operations requested since the last measurement.
    requested: u64,
    /// Average demand, as reported to the other hosts.
    demand: u64,
    /// Demand that this host's share is computed from. It rises one report later than `demand`,
    /// when the other hosts have reduced their shares.
    granted: u64,
    /// Sum of the other hosts' demands, each at least its floor.
    others_demand: u64,
    /// Minimum demand that this host's share is computed from.
    floor: u64,
    /// This host's share of the rate.
    rate: u64,
    /// This host's share of the burst.
    burst: u64,
}

#[derive(Debug)]
struct Report {
    received_at: Timestamp,
    demand: Demand,
}

/// The token buckets of all accounts on this host, with its shares of their rates.
#[derive(Debug, Default)]
pub struct Quota {
    limits: BTreeMap<AccountId, AccountLimit>,
    buckets: BTreeMap<AccountId, Bucket>,
    reports: BTreeMap<HostId, Report>,
    /// The other listed hosts.
    others: Vec<HostId>,
    /// Home of each account, if homes are used.
    homes: BTreeMap<AccountId, HostId>,
    /// Accounts whose home is this host.
    own_accounts: BTreeSet<AccountId>,
    /// Number of hosts with a recent report, including this one.
    reporting_hosts: u64,
    /// Number of intervals without demand since the last report.
    quiet_intervals: u64,
    /// Whether this host stops. It may hear no other hosts then, and its shares only fall.
    is_leaving: bool,
    measured_at: Timestamp,
}

impl Quota {
    /// Sets the limits of the accounts.
    pub fn set_accounts(&mut self, now: Timestamp, limits: &BTreeMap<AccountId, AccountLimit>) {
        self.limits.clone_from(limits);
        self.buckets.retain(|account, _| limits.contains_key(account));
        self.divide(now);
    }

    /// Sets the other hosts of the fleet.
    pub fn set_hosts(&mut self, now: Timestamp, others: Vec<HostId>) {
        if self.others != others {
            self.reports.retain(|host, _| others.contains(host));
            self.others = others;
            self.divide(now);
        }
    }

    /// Keeps this host's shares from rising from now on, because it stops. The other hosts divide
    /// them among themselves while this one still serves its callers.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Sets the home of each account. `own` is this host.
    pub fn set_homes(&mut self, now: Timestamp, own: &HostId, homes: BTreeMap<AccountId, HostId>) {
        if self.homes != homes && !self.is_leaving {
            let own_accounts = homes.iter().filter(|(_, home)| *home == own);
            let own_accounts = own_accounts.map(|(account, _)| account.clone()).collect();
            let before = std::mem::replace(&mut self.own_accounts, own_accounts);
            self.homes = homes;
            self.divide(now);
            self.take_over(now, &before);
        }
    }

    /// Grants tokens for the accounts of which this host has become the home.
    fn take_over(&mut self, now: Timestamp, before: &BTreeSet<AccountId>) {
        for account in self.own_accounts.difference(before) {
            let Some(limit) = self.limits.get(account) else { continue };
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            let reported = self.reports.values().filter_map(|report| report.demand.get(account));
            let demand = bucket.demand + reported.map(|demand| demand.0).sum::<u64>();
            let rate = limit.rate_per_s.0;
            let is_due = bucket.taken_over_at.is_none_or(|at| now >= at + TAKEOVER_INTERVAL);
            if is_due && demand <= rate * UNSPENT_PERCENT / 100 {
                let half_burst = limit.burst.0 / 2;
                bucket.level = bucket.level.max((rate * TAKEOVER_LEVEL.0 / 1_000).min(half_burst));
                bucket.taken_over_at = Some(now);
            }
        }
    }

    /// Processes a demand report of another host.
    pub fn on_report(&mut self, now: Timestamp, host: HostId, demand: Demand) {
        if !self.others.contains(&host) {
            return;
        }
        let old =
            self.reports.insert(host.clone(), Report { received_at: now, demand: demand.clone() });
        let Some(old) = old.filter(|old| now < old.received_at + REPORT_LIFETIME) else {
            self.divide(now);
            tracing::info!(
                peer = host.as_str(),
                known = self.reporting_hosts,
                hosts = self.others.len() + 1,
                "limits: demand reports of a host have started"
            );
            return;
        };
        let hosts = self.others.len() as u64 + 1;
        let accounts: BTreeSet<&AccountId> = old.demand.keys().chain(demand.keys()).collect();
        for account in accounts {
            let Some(limit) = self.limits.get(account) else { continue };
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            let shares = RateShares::new(limit, hosts, self.reporting_hosts);
            let floor = shares.floor(self.homes.get(account).map(|home| *home == host));
            let before = old.demand.get(account).map_or(0, |demand| demand.0).max(floor);
            let after = demand.get(account).map_or(0, |demand| demand.0).max(floor);
            bucket.others_demand = bucket.others_demand.saturating_sub(before) + after;
            bucket.refill(now);
            bucket.set_rate(limit, &shares, self.is_leaving);
        }
    }

    /// Takes a token for one operation. Returns false if none is left.
    pub fn admit(&mut self, now: Timestamp, account: &AccountId) -> bool {
        if !self.limits.contains_key(account) {
            return true;
        }
        if !self.buckets.contains_key(account) {
            self.divide(now);
        }
        let Some(bucket) = self.buckets.get_mut(account) else { return true };
        bucket.refill(now);
        bucket.requested += 1;
        let admitted = bucket.level >= MilliTokens::ONE.0;
        if admitted {
            bucket.level -= MilliTokens::ONE.0;
        }
        admitted
    }

    /// Measures the demand and recomputes the shares at the end of each interval. Returns this
    /// host's demand when it is to be reported.
    pub fn tick(&mut self, now: Timestamp) -> Option<Demand> {
        let elapsed_ms = now.ms_since(self.measured_at).0;
        if elapsed_ms < DEMAND_INTERVAL.0 {
            return None;
        }
        self.measured_at = now;
        for bucket in self.buckets.values_mut() {
            let rate = bucket.requested * MilliTokens::ONE.0 * 1_000 / elapsed_ms;
            let before = bucket.demand;
            bucket.demand = (before * (DEMAND_AVERAGE_LENGTH - 1) + rate) / DEMAND_AVERAGE_LENGTH;
            bucket.granted = bucket.demand.min(before);
            bucket.requested = 0;
        }
        self.divide(now);
        Some(self.demand())
    }

    /// Whether a measured demand is reported to the other hosts. The reports of hosts that only relay
    /// are empty and are the most by number; every third one still comes within the time for
    /// which a report counts.
    pub fn is_report_due(&mut self, demand: &Demand) -> bool {
        if !demand.is_empty() {
            self.quiet_intervals = 0;
            return true;
        }
        self.quiet_intervals += 1;
        self.quiet_intervals % EMPTY_REPORT_INTERVALS == 1
    }

    /// Tokens of an account on this host, and this host's share of its rate per second.
    pub fn share(&self, account: &AccountId) -> Option<(MilliTokens, MilliTokens)> {
        let bucket = self.buckets.get(account)?;
        Some((MilliTokens(bucket.level), MilliTokens(bucket.rate)))
    }

    /// This host's demand, without idle accounts.
    pub fn demand(&self) -> Demand {
        let active = self.buckets.iter().filter(|(_, bucket)| bucket.demand > 0);
        active.map(|(account, bucket)| (account.clone(), MilliTokens(bucket.demand))).collect()
    }

    /// Recomputes the shares of all accounts from the recent reports.
    fn divide(&mut self, now: Timestamp) {
        let hosts = self.others.len() as u64 + 1;
        let recent: Vec<(&HostId, &Demand)> = self
            .others
            .iter()
            .filter_map(|host| Some((host, self.reports.get(host)?)))
            .filter(|(_, report)| now < report.received_at + REPORT_LIFETIME)
            .map(|(host, report)| (host, &report.demand))
            .collect();
        self.reporting_hosts = recent.len() as u64 + 1;
        for (account, limit) in &self.limits {
            let shares = RateShares::new(limit, hosts, self.reporting_hosts);
            let home = self.homes.get(account);
            let demand_of = |(host, demand): &(&HostId, &Demand)| {
                let floor = shares.floor(home.map(|home| home == *host));
                demand.get(account).map_or(0, |demand| demand.0).max(floor)
            };
            let others = recent.iter().map(demand_of).sum();
            let bucket = self.buckets.entry(account.clone()).or_insert_with(|| Bucket {
                level: shares.equal * INITIAL_LEVEL.0 / 1_000 + MilliTokens::ONE.0,
                refilled_at: now,
                taken_over_at: None,
                requested: 0,
                demand: 0,
                granted: 0,
                others_demand: 0,
                floor: 0,
                rate: shares.equal,
                burst: 0,
            });
            bucket.floor = shares.floor(home.map(|_| self.own_accounts.contains(account)));
            bucket.refill(now);
            bucket.others_demand = others;
            bucket.set_rate(limit, &shares, self.is_leaving);
        }
    }
}

/// Division of an account's rate, in thousandths of an operation per second.
struct RateShares {
    rate: u64,
    /// Share of each host if all had the same.
    equal: u64,
    /// Rate left for the hosts with a recent report.
    free: u64,
}

impl RateShares {
    fn new(limit: &AccountLimit, hosts: u64, reporting_hosts: u64) -> Self {
        let rate = limit.rate_per_s.0;
        let equal = rate / hosts;
        let reserved = equal * hosts.saturating_sub(reporting_hosts);
        let free = rate.saturating_sub(reserved).max(equal);
        Self { rate, equal, free }
    }

    /// Minimum share of a host. `is_home` says whether it is the account's home, if there is one.
    fn floor(&self, is_home: Option<bool>) -> u64 {
        match is_home {
            None => self.equal * FLOOR_PERMILLE / 1_000,
            Some(true) => self.rate * HOME_FLOOR_PERMILLE / 1_000,
            Some(false) => self.equal * NON_HOME_FLOOR_PERMILLE / 1_000,
        }
    }
}

impl Bucket {
    /// Sets this host's share of the rate and the burst; that of a leaving host does not rise.
    fn set_rate(&mut self, limit: &AccountLimit, shares: &RateShares, is_leaving: bool) {
        let own_demand = self.granted.max(self.floor);
        let total = own_demand + self.others_demand;
        // The unused rate is divided by demand too, since a small demand varies most.
        let rate = scale(shares.free, own_demand, total);
        self.rate = if is_leaving { rate.min(self.rate) } else { rate };
        let burst = scale(limit.burst.0, self.rate, shares.rate);
        self.burst = burst.max(MilliTokens::ONE.0);
        if self.taken_over_at.is_none_or(|at| self.refilled_at >= at + TAKEOVER_INTERVAL) {
            self.level = self.level.min(self.burst);
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_us = now.0.saturating_sub(self.refilled_at.0);
        let gained = u128::from(self.rate) * u128::from(elapsed_us) / 1_000_000;
        if gained > 0 {
            self.refilled_at = now;
            let gained = u64::try_from(gained).unwrap_or(u64::MAX);
            self.level = self.level.saturating_add(gained).min(self.burst.max(self.level));
        }
    }
}

/// `amount * part / whole`.
fn scale(amount: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
