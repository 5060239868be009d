//! Simulates random histories of three endpoints, several hosts and the platform's row under
//! faults.

mod group_model;

use group_model::{Loss, Mechanisms, Options, Report, Simulation, MS};
use yare::parameterized;

/// Number of histories per case; `MEDLARSTILE_HISTORY_SEEDS` overrides it for a longer run.
const SEEDS: u64 = 100;

/// Upper bound of the failover gap that the design aims at, in microseconds.
const GAP_TARGET: u64 = 3_000 * MS;

const ALL_MECHANISMS: Mechanisms = Mechanisms { majority: true, fencing: true };

fn seeds() -> u64 {
    let text = std::env::var("MEDLARSTILE_HISTORY_SEEDS").ok();
    text.map_or(SEEDS, |text| text.parse().expect("a number of seeds"))
}

fn options_with_faults(mechanisms: Mechanisms, hosts: usize) -> Options {
    let faults_until = 12_000 * MS;
    Options { mechanisms, hosts, faults_until, lose_primary_at: None, ends: 17_000 * MS }
}

fn print_gaps(name: &str, reports: &[Report]) -> u64 {
    let mut gaps: Vec<u64> = reports.iter().map(|r| r.gap_us.unwrap_or(u64::MAX)).collect();
    gaps.sort_unstable();
    let at = |percent: usize| gaps[(gaps.len() - 1) * percent / 100] / MS;
    let writes: usize = reports.iter().map(|report| report.writes).sum();
    let reads: u64 = reports.iter().map(|report| report.reads).sum();
    let promotions: usize = reports.iter().map(|report| report.promotions).sum();
    println!(
        "{name}: {} histories, {writes} writes, {reads} reads, {promotions} promotions; gap ms: \
         least {} median {} 90% {} 99% {} most {}",
        reports.len(),
        at(0),
        at(50),
        at(90),
        at(99),
        at(100)
    );
    gaps[gaps.len() - 1]
}

/// Guards against lost or unsafely acknowledged writes, two primaries of one term, reads below the
/// session's floor or older than their bound, and a group that stays without a primary after
/// faults.
#[parameterized(
    first = { 0, 3 },
    second = { 1, 3 },
    third = { 2, 4 },
    fourth = { 3, 4 },
    fifth = { 4, 8 },
)]
fn faults_break_no_promise(part: u64, hosts: usize) {
    let run = |seed: u64| {
        let report =
            Simulation::run(part * 1_000_000 + seed, options_with_faults(ALL_MECHANISMS, hosts));
        assert!(report.violations.is_empty(), "part {part} seed {seed}: {:#?}", report.violations);
        report
    };
    let reports: Vec<Report> = (0..seeds()).map(run).collect();
    let longest = print_gaps(&format!("faults, part {part}"), &reports);
    assert!(longest < GAP_TARGET, "no write was acknowledged for {longest} us after the faults");
}

/// Guards against a failover that takes longer than the target.
#[parameterized(
    crash = { Loss::Crash, 4 },
    isolation = { Loss::Isolation, 4 },
    stall = { Loss::Stall, 4 },
    crash_with_8_hosts = { Loss::Crash, 8 },
)]
fn a_lost_primary_is_replaced_in_time(loss: Loss, hosts: usize) {
    let run = |seed: u64| {
        let lost_at = (2_000 + seed * 37 % 1_000) * MS;
        let lose_primary_at = Some((lost_at, loss));
        let ends = lost_at + 5_000 * MS;
        let report = Simulation::run(
            seed,
            Options { mechanisms: ALL_MECHANISMS, hosts, faults_until: 0, lose_primary_at, ends },
        );
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        report
    };
    let reports: Vec<Report> = (0..seeds()).map(run).collect();
    let longest = print_gaps(&format!("{loss:?}, {hosts} hosts"), &reports);
    assert!(longest < GAP_TARGET, "the gap was {longest} us");
}

fn options_with_partial_loss(mechanisms: Mechanisms) -> Options {
    let lose_primary_at = Some((1_000 * MS, Loss::Partial));
    Options { mechanisms, hosts: 4, faults_until: 0, lose_primary_at, ends: 8_000 * MS }
}

/// Guards against lost writes when half of the hosts still reach the old primary, which goes on
/// confirming writes while the other hosts replace it.
#[test]
fn a_primary_that_some_hosts_reach_loses_nothing() {
    for seed in 0..seeds() {
        let report = Simulation::run(seed, options_with_partial_loss(ALL_MECHANISMS));
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
}

/// Guards against ineffective checks: with one mechanism removed, they must fail in some history.
#[parameterized(
    majority_confirmation = { options_with_faults(Mechanisms { majority: false, fencing: true }, 4) },
    fencing = { options_with_partial_loss(Mechanisms { majority: true, fencing: false }) },
)]
fn the_checks_see_a_missing_mechanism(options: Options) {
    let found = (0..100).find_map(|seed| {
        let report = Simulation::run(seed, options);
        report.violations.first().map(|violation| (seed, violation.clone()))
    });
    println!("{:?}: {found:?}", options.mechanisms);
    assert!(found.is_some());
}
