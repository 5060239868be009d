//! Randomised simulations of hosts, platform and edit tool under faults. No host admits a keyed
//! request under an old version after the tool has reported the new one in force, and hosts don't
//! refuse requests that they may serve.

mod history;

use history::{run, Fault, Outcome, Plan, Window, TOOL};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Simulations per test case; the environment variable `VIEW_HISTORIES` overrides it.
const HISTORIES: u64 = 300;

fn window(fault: Fault, from_ms: u64, to_ms: u64) -> Window {
    Window { fault, from_ms, to_ms }
}

/// Plan with random faults and edits, derived from `seed`.
fn random_faults(seed: u64) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x9e37_79b9);
    let domains = rng.random_range(1..=3);
    let count = rng.random_range(2..=5);
    let mut hosts: Vec<(usize, u64)> = (0..count).map(|host| (host % domains, 0)).collect();
    if rng.random_bool(0.5) {
        hosts.push((0, rng.random_range(2_000..20_000)));
    }
    let mut windows = Vec::new();
    for _ in 0..rng.random_range(2..=8) {
        let host = rng.random_range(0..hosts.len());
        let fault = match rng.random_range(0..8) {
            0 => Fault::PlatformDown,
            1 | 2 => Fault::PlatformUnreachable(host),
            3 => Fault::DomainIsolated(rng.random_range(0..domains)),
            4 => Fault::PlatformSlow(host),
            5 => Fault::StaleReads(if rng.random_bool(0.3) { TOOL } else { host }),
            6 => Fault::Pause(host),
            _ => Fault::Crash(host),
        };
        let from_ms = rng.random_range(1_000..25_000);
        windows.push(Window { fault, from_ms, to_ms: from_ms + rng.random_range(300..15_000) });
    }
    let edits_ms = (0..rng.random_range(1..=4)).map(|_| rng.random_range(3_000..28_000)).collect();
    Plan { hosts, windows, edits_ms, end_ms: 40_000, lost_percent: rng.random_range(0..15) }
}

/// Plan in which a host joins, the other hosts lose the connection to the platform at about that
/// time, and an edit follows. The other hosts may not know the host that confirms the edit.
fn joining_host(seed: u64) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x51ed_270b);
    let count = rng.random_range(1..=3);
    let joins_ms = rng.random_range(4_000..8_000);
    let cut_ms = joins_ms + rng.random_range(0..2_500) - 500;
    let mut windows: Vec<Window> =
        (0..count).map(|host| window(Fault::PlatformUnreachable(host), cut_ms, 30_000)).collect();
    if rng.random_bool(0.5) {
        windows.extend(
            (0..count).map(|host| window(Fault::StaleReads(host), joins_ms - 1_000, cut_ms)),
        );
    }
    let mut hosts = vec![(0, 0); count];
    hosts.push((0, joins_ms));
    let edits_ms = vec![cut_ms + rng.random_range(200..6_000)];
    Plan { hosts, windows, edits_ms, end_ms: 25_000, lost_percent: rng.random_range(0..15) }
}

/// Plan in which failure domain 0 is disconnected from the platform and the other failure domains at
/// about the time of an edit, while delayed answers of the platform to some of its hosts are still
/// in transit.
fn isolated_failure_domain(seed: u64) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x2545_f491);
    let inside = rng.random_range(1..=3);
    let cut_ms = rng.random_range(8_000..12_000);
    let mut windows = vec![window(Fault::DomainIsolated(0), cut_ms, 30_000)];
    for host in 0..inside {
        windows.push(window(Fault::PlatformUnreachable(host), cut_ms, 30_000));
        if rng.random_bool(0.5) {
            windows.push(window(Fault::PlatformSlow(host), cut_ms - 4_000, 30_000));
        }
        if rng.random_bool(0.5) {
            windows.push(window(Fault::StaleReads(host), cut_ms - 6_000, 30_000));
        }
        if rng.random_bool(0.2) {
            let from_ms = cut_ms + rng.random_range(0..3_000);
            windows.push(window(Fault::Pause(host), from_ms, from_ms + 4_000));
        }
    }
    let mut hosts = vec![(0, 0); inside];
    hosts.extend((0..rng.random_range(1..=2)).map(|_| (1, 0)));
    let edits_ms = vec![cut_ms + rng.random_range(0..6_000) - 5_000];
    Plan { hosts, windows, edits_ms, end_ms: 25_000, lost_percent: rng.random_range(0..15) }
}

/// Plan in which the host that confirms an edit restarts and can't read the tables again, while the
/// other host is disconnected from the platform.
fn restarting_host(seed: u64) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x1f3d_5b79);
    let edit_ms = rng.random_range(6_000..8_000);
    let crash_ms = edit_ms + rng.random_range(500..3_000);
    let windows = vec![
        window(Fault::PlatformUnreachable(0), edit_ms - rng.random_range(0..1_000), 30_000),
        window(Fault::DomainIsolated(0), edit_ms - 1_000, crash_ms),
        window(Fault::Crash(1), crash_ms, crash_ms + 100),
        window(Fault::PlatformUnreachable(1), crash_ms, 30_000),
    ];
    let hosts = vec![(0, 0), (1, 0)];
    Plan { hosts, windows, edits_ms: vec![edit_ms], end_ms: 20_000, lost_percent: 2 }
}

/// Guards against a withdrawn key or a removed route that still works after the edit tool has
/// reported the edit in force.
#[parameterized(
    any_faults = { random_faults, 150 },
    unknown_joining_host = { joining_host, 30 },
    isolated_domain = { isolated_failure_domain, 150 },
    restarted_confirming_host = { restarting_host, 150 },
)]
fn no_host_acts_on_an_old_version_once_a_new_one_is_in_force(
    plan: fn(u64) -> Plan,
    min_reported: usize,
) {
    let requested = std::env::var("VIEW_HISTORIES").ok().and_then(|text| text.parse().ok());
    let (mut reported, mut checks) = (0, 0);
    for seed in 0..requested.unwrap_or(HISTORIES) {
        let outcome = run(seed, &plan(seed));
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
        reported += outcome.in_force_ms.iter().flatten().count();
        checks += outcome.checks;
    }
    println!("{reported} edits reported in force, {checks} checks");
    assert!(
        reported > min_reported && checks > 10_000,
        "too few edits were in force or too few checks were made"
    );
}

fn plan(windows: &[(Fault, u64, u64)], edits_ms: &[u64]) -> Plan {
    let windows = windows.iter().map(|(fault, from, to)| window(*fault, *from, *to)).collect();
    let hosts = (0..8).map(|host| (host % 4, 0)).collect();
    Plan { hosts, windows, edits_ms: edits_ms.to_vec(), end_ms: 60_000, lost_percent: 0 }
}

fn histories(plan: &Plan) -> Vec<Outcome> {
    (0..20).map(|seed| run(seed, plan)).collect()
}

/// Guards against needless refusals: a host that is fresh or has the statements of all members must
/// serve keyed routes.
#[parameterized(
    connected = { &[] },
    platform_down_for_all = { &[(Fault::PlatformDown, 5_000, 55_000)] },
    platform_reached_through_peers = { &[(Fault::PlatformUnreachable(0), 5_000, 55_000), (Fault::PlatformUnreachable(5), 5_000, 55_000)] },
    through_one_peer = { &[(Fault::PlatformUnreachable(0), 5_000, 55_000), (Fault::PlatformUnreachable(1), 5_000, 55_000), (Fault::PlatformUnreachable(2), 5_000, 55_000), (Fault::PlatformUnreachable(3), 5_000, 55_000), (Fault::PlatformUnreachable(4), 5_000, 55_000), (Fault::PlatformUnreachable(5), 5_000, 55_000), (Fault::PlatformUnreachable(6), 5_000, 55_000)] },
    peers_apart = { &[(Fault::DomainIsolated(1), 5_000, 55_000)] },
)]
fn keyed_routes_are_served(windows: &[(Fault, u64, u64)]) {
    for outcome in histories(&plan(windows, &[])) {
        assert!(outcome.checks > 8_000);
        assert_eq!(outcome.refused, 0, "of {} checks", outcome.checks);
    }
}

/// Guards against an edit that takes longer than the target of 4 s to be in force.
#[parameterized(
    all_connected = { &[], 1_500 },
    one_host_dead = { &[(Fault::Crash(3), 8_000, 70_000)], 4_000 },
    one_host_paused = { &[(Fault::Pause(3), 9_500, 30_000)], 4_000 },
    one_host_cut_off = { &[(Fault::PlatformUnreachable(6), 9_000, 30_000), (Fault::DomainIsolated(2), 9_000, 30_000)], 4_000 },
)]
fn an_edit_is_in_force_in_time(windows: &[(Fault, u64, u64)], limit_ms: u64) {
    let outcomes = histories(&plan(windows, &[10_000]));
    let times: Vec<Option<u64>> = outcomes.iter().flat_map(|o| o.in_force_ms.clone()).collect();
    println!("in force after {times:?} ms");
    assert_eq!(times.len(), 20);
    assert!(times.iter().all(|time| time.is_some_and(|time| time <= limit_ms)), "{times:?}");
}

/// Guards against a host without connections to the platform and its peers that continues to serve
/// keyed routes.
#[test]
fn a_host_on_its_own_stops_serving_keyed_routes() {
    let windows = [
        (Fault::PlatformUnreachable(2), 5_000, 60_000),
        (Fault::DomainIsolated(2), 5_000, 60_000),
        (Fault::PlatformUnreachable(6), 5_000, 60_000),
    ];
    for outcome in histories(&plan(&windows, &[10_000])) {
        assert!(outcome.refused > 1_500, "{}", outcome.refused);
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    }
}
