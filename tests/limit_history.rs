//! Generated histories of a simulated fleet: whatever fails, it never admits more than
//! burst + rate·w in a period of length w.

mod fleet;

use std::collections::BTreeSet;

use fleet::check::Limits;
use fleet::store::Mode;
use fleet::{Count, Faults, Fleet};
use medlarstile::core::share::ShareSettings;
use medlarstile::types::{AccountId, Burst, DurationMs, MilliTokens, RatePerS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;

fn account(number: usize) -> AccountId {
    format!("account-{number}").parse().expect("id")
}

fn limits(all: &[(u64, u64)]) -> Limits {
    let limit =
        |(n, (rate, burst)): (usize, &(u64, u64))| (account(n), (RatePerS(*rate), Burst(*burst)));
    all.iter().enumerate().map(limit).collect()
}

/// Kind of faults that a history contains.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    Network,
    Store,
    Restarts,
    All,
}

/// Leases of 4 s instead of 15 min, so that a history of 30 s has many of them.
const SHORT_LEASES: ShareSettings =
    ShareSettings { slots: 16, lease: DurationMs(4_000), margin: DurationMs(400) };

struct History {
    fleet: Fleet,
    rng: ChaCha8Rng,
    /// Index of the latest process of each host.
    newest: Vec<usize>,
    next_port: u16,
    kind: FaultKind,
}

impl History {
    fn new(seed: u64, kind: FaultKind) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // One bucket fills within the lifetime of a grant; the other takes 8 s, so that tokens
        // created by a restart become visible.
        let burst = rng.random_range(16..48);
        let all = limits(&[(burst * rng.random_range(2..8), burst), (burst / 8, burst)]);
        let hosts = rng.random_range(3..=8);
        // A replaced process may keep running beside its successor.
        let mut fleet = Fleet::new(seed, SHORT_LEASES, all, 3 * hosts);
        if !matches!(kind, FaultKind::Store) {
            fleet.faults = Faults { loss: 0.05, duplicate: 0.3, delay: 0.1 };
        }
        let newest = (0..hosts).map(|n| fleet.start(n, 3, 7_000 + n as u16)).collect();
        Self { fleet, rng, newest, next_port: 8_000, kind }
    }

    /// Runs for 30 s of simulated time; demand and faults change at random times.
    fn run(&mut self) {
        let end = 30 * SECOND_US;
        while self.fleet.now < end {
            if self.fleet.now > 3 * SECOND_US {
                self.inject_fault();
            }
            self.demand_round();
        }
    }

    /// One round of demand: an idle time in which the buckets fill; requests at one host that time
    /// out almost at once, so that the host is left with grants it does not need; a second idle
    /// time; and a spike at all processes with far more requests than there are tokens.
    fn demand_round(&mut self) {
        let account = account(self.rng.random_range(0..2));
        let burst = self.fleet.limits[&account].1 .0;
        self.idle(1_000);
        let asker = self.any_process();
        for _ in 0..self.rng.random_range(0..=burst) {
            self.request(&account, asker, 3);
        }
        self.idle(700);
        for _ in 0..burst * 2 {
            let index = self.any_process();
            self.request(&account, index, 0);
        }
        for _ in 0..self.rng.random_range(0..burst) {
            let index = self.any_process();
            self.request(&account, index, 800);
            self.idle(10);
        }
    }

    fn any_process(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.processes.len())
    }

    fn idle(&mut self, longest_ms: u64) {
        let until = self.fleet.now + self.rng.random_range(0..longest_ms * MILLISECOND_US);
        self.fleet.advance(until);
    }

    fn request(&mut self, account: &AccountId, index: usize, wait_ms: u64) {
        let whole_token = self.rng.random_bool(0.8);
        let cost = if whole_token { 1_000 } else { self.rng.random_range(300..2_000) };
        let wait = DurationMs(self.rng.random_range(0..=wait_ms));
        self.fleet.request(index, account, MilliTokens(cost), wait);
    }

    fn inject_fault(&mut self) {
        match self.kind {
            FaultKind::Network => self.network_fault(),
            FaultKind::Store => self.store_fault(),
            FaultKind::Restarts => self.host_fault(),
            FaultKind::All => match self.rng.random_range(0..3) {
                0 => self.network_fault(),
                1 => self.store_fault(),
                _ => self.host_fault(),
            },
        }
    }

    fn network_fault(&mut self) {
        if self.rng.random_bool(0.3) {
            let cut = self.rng.random_range(0..5);
            self.fleet.cut = (cut < 3).then(|| format!("fd-{cut}").parse().expect("id"));
        }
        self.change_tables();
    }

    fn store_fault(&mut self) {
        let modes = [Mode::Up, Mode::Up, Mode::Down, Mode::Slow, Mode::Stale, Mode::Losing];
        self.fleet.store.mode = modes[self.rng.random_range(0..modes.len())];
        self.pause();
    }

    /// Pauses, stops or replaces a process.
    fn host_fault(&mut self) {
        let host = self.rng.random_range(0..self.newest.len());
        let index = self.newest[host];
        let old_port = self.fleet.processes[index].me.address.port();
        self.next_port += 1;
        match self.rng.random_range(0..5) {
            0 => self.pause(),
            replaced @ (1 | 2) => {
                self.fleet.processes[index].ended = true;
                let port = if replaced == 1 { old_port } else { self.next_port };
                self.newest[host] = self.fleet.start(host, 3, port);
            }
            3 => {
                // The old process is only paused and later runs beside its replacement.
                self.fleet.processes[index].paused_until = self.fleet.now + 6 * SECOND_US;
                self.newest[host] = self.fleet.start(host, 3, self.next_port);
            }
            _ => self.fleet.run(index, |process, now, _, out| process.keeper.stop(now, out)),
        }
    }

    fn pause(&mut self) {
        let index = self.any_process();
        let until = self.fleet.now + self.rng.random_range(MILLISECOND_US..7 * SECOND_US);
        self.fleet.processes[index].paused_until = until;
    }

    /// Gives one process new limits, which never exceed the limits that the test checks. Each
    /// process gets its limits at a different time.
    fn change_tables(&mut self) {
        let index = self.any_process();
        let divisor = self.rng.random_range(1..=3);
        let reduced = |(rate, burst): &(RatePerS, Burst)| {
            (RatePerS(rate.0 / divisor), Burst(burst.0 / divisor))
        };
        let tables =
            self.fleet.limits.iter().map(|(id, limit)| (id.clone(), reduced(limit))).collect();
        self.fleet.set_limits(index, &tables);
    }
}

/// Guards against excess tokens from a lost, late, duplicated or reordered transfer, from a lease
/// used past its end, from a slot taken over too early, and from restarts and table changes.
#[parameterized(network = { FaultKind::Network }, store = { FaultKind::Store }, restarts = { FaultKind::Restarts }, all = { FaultKind::All })]
fn never_admits_more_than_burst_and_rate(kind: FaultKind) {
    let seeds = std::env::var("MEDLARSTILE_SEEDS").ok().and_then(|text| text.parse().ok());
    let mut total = Count::default();
    for seed in 0..seeds.unwrap_or(50_u64) {
        println!("seed {seed}");
        let mut history = History::new(seed, kind);
        history.run();
        history.fleet.counts.values().for_each(|count| total += *count);
    }
    println!("{kind:?}: {total:?}");
    assert!(total.admitted * 10 > total.asked, "the histories admit too few requests: {total:?}");
}

/// Random arrivals that conform to 95% of the rate and half of the burst.
struct ConformingArrivals {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

impl ConformingArrivals {
    fn new(rate: RatePerS, burst: Burst) -> Self {
        let (rate, burst) = (rate.0 as f64 * 0.95, burst.0 as f64 * 0.5);
        Self { rate, burst, level: burst, at: 0 }
    }

    /// Time of the next request: exponential gaps at the full rate, delayed where needed to
    /// conform.
    fn next(&mut self, rng: &mut ChaCha8Rng) -> u64 {
        let gap = -(1.0 - rng.random::<f64>()).ln() / (self.rate / 0.95);
        let short = (1.0 - self.level - gap * self.rate).max(0.0) / self.rate;
        let step = gap + short;
        self.level = (self.level + step * self.rate).min(self.burst) - 1.0;
        self.at += (step * SECOND_US as f64) as u64;
        self.at
    }
}

/// Multiple of its rate that an account sends, and the host it sends to; `None` for random hosts.
type Load = (u64, Option<usize>);

/// A fleet of eight hosts in four failure domains, run until the buckets are full.
fn warmed_up_fleet(seed: u64, all: Limits) -> Fleet {
    let mut fleet = Fleet::new(seed, ShareSettings::default(), all, 8);
    for host in 0..8 {
        fleet.start(host, 4, 7_000 + host as u16);
    }
    fleet.advance(60 * SECOND_US);
    fleet
}

/// Sends one load per account for `seconds`; requests wait for at most 1 s.
fn send_load(fleet: &mut Fleet, seed: u64, loads: &[Load], seconds: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = fleet.now;
    let mut queue = BTreeSet::new();
    let mut sources: Vec<ConformingArrivals> = Vec::new();
    for (number, load) in loads.iter().enumerate() {
        let (rate, burst) = fleet.limits[&account(number)];
        let mut source = ConformingArrivals::new(RatePerS(rate.0 * load.0), burst);
        queue.insert((source.next(&mut rng), number));
        sources.push(source);
    }
    while let Some((at, number)) = queue.pop_first().filter(|(at, _)| *at < seconds * SECOND_US) {
        fleet.advance(start + at);
        let host = loads[number].1.unwrap_or_else(|| rng.random_range(0..8));
        fleet.request(host, &account(number), MilliTokens::ONE, DurationMs(1_000));
        queue.insert((sources[number].next(&mut rng), number));
    }
    fleet.advance(start + seconds * SECOND_US + 2 * SECOND_US);
}

/// Guards against refusing requests within an account's rate because tokens are not transferred to
/// where the demand is, because leases are lost in an outage of the platform, or because another
/// account exceeds its rate.
#[parameterized(
    even = { Mode::Up, &[(200, 200)], &[(1, None)], 60 },
    skew = { Mode::Up, &[(200, 200)], &[(1, Some(3))], 60 },
    skew_small_burst = { Mode::Up, &[(200, 32)], &[(1, Some(3))], 60 },
    skew_slow_account = { Mode::Up, &[(20, 20)], &[(1, Some(3))], 600 },
    skew_platform_down = { Mode::Down, &[(20, 40)], &[(1, Some(3))], 600 },
    five_times = { Mode::Up, &[(50, 100), (50, 100), (50, 100), (50, 100)], &[(5, None), (1, Some(1)), (1, Some(6)), (1, None)], 75 },
)]
fn nothing_within_the_rate_is_refused(
    mode: Mode,
    all: &[(u64, u64)],
    loads: &[Load],
    seconds: u64,
) {
    let mut fleet = warmed_up_fleet(1, limits(all));
    fleet.store.mode = mode;
    send_load(&mut fleet, 2, loads, seconds);
    let mut total = Count::default();
    for number in (0..loads.len()).filter(|number| loads[*number].0 == 1) {
        total += fleet.counts[&account(number)];
    }
    let Count { asked, refused, .. } = total;
    let per_s = fleet.messages / seconds;
    println!("refused {refused} of {asked}; {per_s} messages per second in the fleet");
    assert!(asked >= 10_000 && refused == 0, "refused {refused} of {asked}");
}

/// Guards against a full bucket for a host that restarts.
#[test]
fn restarts_grant_no_tokens() {
    let mut fleet = warmed_up_fleet(1, limits(&[(4, 64)]));
    for round in 0..3 {
        for n in 0..1_000 {
            let index = fleet.processes.len() - 1 - n % 8;
            fleet.request(index, &account(0), MilliTokens(100), DurationMs(0));
        }
        let admitted = fleet.counts[&account(0)].admitted;
        assert!(admitted >= 600 + 30 * round, "admitted {admitted}");
        for host in 0..8 {
            let old = fleet.processes.len() - 8;
            fleet.processes[old].ended = true;
            fleet.start(host, 4, 7_000 + host as u16);
        }
        fleet.advance(fleet.now + 3 * SECOND_US);
    }
}

/// Guards against a partitioned failure domain that stops admitting requests, or that admits more
/// than the share of its slots.
#[test]
fn a_domain_that_is_cut_off_spends_its_share() {
    let mut fleet = warmed_up_fleet(1, limits(&[(200, 200)]));
    fleet.cut = "fd-0".parse().ok();
    fleet.store.mode = Mode::Down;
    let held: usize = [0, 4].iter().map(|n| fleet.processes[*n].keeper.in_use().len()).sum();
    let (start, seconds) = (fleet.now, 100);
    for step in 0..seconds * 400 {
        fleet.advance(start + step * SECOND_US / 400);
        fleet.request(4 * (step % 2) as usize, &account(0), MilliTokens::ONE, DurationMs(500));
    }
    let admitted = fleet.counts[&account(0)].admitted;
    let share = (200 * seconds + 200) * held as u64 / 16;
    println!("admitted {admitted}, share of {held} slots is {share}");
    assert!(held == 4 && admitted <= share && admitted * 100 >= share * 95);
}
