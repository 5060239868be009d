//! Randomised histories of a group whose old primary leads on: no commit of an old primary is
//! acknowledged, no read lacks a commit that it has to see, and service returns.

mod lead_model;

use lead_model::{Fault, Plan, Simulation, ENDPOINTS, MS};
use medlarstile::core::proxy::lease::LeadProof;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Histories per case; the environment variable `LEAD_HISTORIES` overrides it.
const HISTORIES: u64 = 60;
/// Time after the last fault within which writes succeed again.
const RECOVERY_MS: u64 = 12_000;

type Draw = fn(&mut ChaCha8Rng, usize) -> Fault;

fn any_host(rng: &mut ChaCha8Rng, hosts: usize) -> usize {
    rng.random_range(0..hosts)
}

fn any_endpoint(rng: &mut ChaCha8Rng) -> usize {
    rng.random_range(0..ENDPOINTS.len())
}

fn domain_cut(rng: &mut ChaCha8Rng, hosts: usize) -> Fault {
    Fault::DomainCut(any_host(rng, hosts), 100 + any_endpoint(rng))
}

fn some_cut(rng: &mut ChaCha8Rng, hosts: usize) -> Fault {
    let host = any_host(rng, hosts);
    match rng.random_range(0..3) {
        0 => Fault::Cut(host, any_host(rng, hosts)),
        1 => Fault::Cut(100 + any_endpoint(rng), 100 + any_endpoint(rng)),
        _ => Fault::Cut(host, 100 + any_endpoint(rng)),
    }
}

fn store_fault(rng: &mut ChaCha8Rng, hosts: usize) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::StoreDown,
        1 => Fault::TurnedAway(any_host(rng, hosts)),
        2 => Fault::EndpointCrash(any_endpoint(rng)),
        _ => Fault::LateCalls(any_host(rng, hosts)),
    }
}

fn process_fault(rng: &mut ChaCha8Rng, hosts: usize) -> Fault {
    match rng.random_range(0..3) {
        0 => Fault::Freeze(any_host(rng, hosts)),
        1 => Fault::Restart(any_host(rng, hosts)),
        _ => Fault::EndpointCrash(any_endpoint(rng)),
    }
}

fn restore(rng: &mut ChaCha8Rng, hosts: usize) -> Fault {
    let draws: [Draw; 4] = [some_cut, store_fault, process_fault, domain_cut];
    match rng.random_range(0..2) {
        0 => Fault::Restore(rng.random_range(0..20_000) * MS),
        _ => draws[rng.random_range(0..draws.len())](rng, hosts),
    }
}

fn any_fault(rng: &mut ChaCha8Rng, hosts: usize) -> Fault {
    let draws: [Draw; 4] = [domain_cut, some_cut, store_fault, process_fault];
    draws[rng.random_range(0..draws.len())](rng, hosts)
}

fn plan(seed: u64, draw: Draw, count: usize) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x1ead);
    let hosts = rng.random_range(3..=5);
    let faults: Vec<(u64, u64, Fault)> = (0..count)
        .map(|_| {
            let from = rng.random_range(3_000..12_000) * MS;
            (from, from + rng.random_range(300..6_000) * MS, draw(&mut rng, hosts))
        })
        .collect();
    let last = faults.iter().map(|(_, to, _)| *to).max().unwrap_or_default();
    let (ends, lead_proof) = (last + RECOVERY_MS * MS, LeadProof::Lease);
    Plan { hosts, faults, ends, lead_proof, is_fenced: false }
}

/// Seeds that failed before. Guards against samples of an old primary that were answered after the
/// cut had healed, and against an old primary that counted as promoted before the promotion took
/// effect.
#[parameterized(
    sample_of_an_old_primary = { 5_188 },
    promotion_of_an_old_primary = { 5_675 },
)]
fn a_history_that_failed_holds(seed: u64) {
    let plan = plan(seed, any_fault, 7);
    let world = Simulation::run(seed, plan.clone());
    assert!(world.violations.is_empty(), "{plan:?}: {:?}", world.violations);
}

/// The same where the platform checks fencing tokens, which the hosts rely on.
fn fenced(plan: Plan) -> Plan {
    Plan { lead_proof: LeadProof::Transaction, is_fenced: true, ..plan }
}

/// Guards against two primaries in use at a time, against a token that two hosts use, and against a
/// group that stays without a primary.
#[parameterized(
    domain_is_cut_off = { domain_cut, 1, 1_000, |plan| plan },
    links_are_cut = { some_cut, 4, 2_000, |plan| plan },
    store_fails = { store_fault, 4, 3_000, |plan| plan },
    processes_fail = { process_fault, 4, 4_000, |plan| plan },
    everything_fails = { any_fault, 7, 5_000, |plan| plan },
    store_is_restored = { restore, 6, 6_000, |plan| plan },
    store_is_restored_with_fencing = { restore, 6, 7_000, fenced },
)]
fn only_one_primary_is_used(draw: Draw, count: usize, first_seed: u64, vary: fn(Plan) -> Plan) {
    let histories = std::env::var("LEAD_HISTORIES").ok().and_then(|text| text.parse().ok());
    let mut promotions = 0;
    for seed in first_seed..first_seed + histories.unwrap_or(HISTORIES) {
        let plan = vary(plan(seed, draw, count));
        let world = Simulation::run(seed, plan.clone());
        assert!(world.violations.is_empty(), "seed {seed}, {plan:?}: {:?}", world.violations);
        let recovered = world.last_write_at + 2_000 * MS >= plan.ends;
        assert!(recovered, "seed {seed}, {plan:?}: last write {}", world.last_write_at);
        promotions += world.promotions;
    }
    assert!(promotions > 0, "the histories contain promotions");
}

/// Guards against checks that see nothing: without the lease, the same histories break promises.
#[test]
fn without_a_lease_an_old_primary_is_used() {
    let broken = (1_000..1_020).filter(|seed| {
        let plan = Plan { lead_proof: LeadProof::Transaction, ..plan(*seed, domain_cut, 1) };
        !Simulation::run(*seed, plan).violations.is_empty()
    });
    assert!(broken.count() > 0);
}
