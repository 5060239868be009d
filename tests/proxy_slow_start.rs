//! Bound on the requests to an endpoint that has started recently.

mod proxy_rig;

use medlarstile::core::proxy::home::HomeCandidate;
use medlarstile::core::proxy::slow_start::{part, SlowStart, SlowStartMargin};
use medlarstile::core::transaction::TransactionState;
use medlarstile::types::{DurationMs, MilliCores, RatePerS, RowVersion, Timestamp};
use proxy_rig::{catalog, entry, id, Rig, READ};
use yare::parameterized;

/// Guards against parts that exceed the bound together, with hosts that are silent or not chosen.
#[parameterized(
    even = { 40, 8, 8 },
    remainder = { 35, 8, 8 },
    fewer_than_hosts = { 5, 8, 8 },
    half_is_silent = { 40, 8, 4 },
    no_host_is_chosen = { 40, 0, 0 },
)]
fn the_parts_keep_the_bound(bound: u64, sharers: u64, sending: u64) {
    let chosen = (0..sending).map(|rank| part(bound, sharers, Some(rank))).sum::<u64>();
    let others = part(bound, sharers, None) * 100;
    assert!(chosen + others <= bound, "{chosen} and {others}");
    assert_eq!(chosen == bound, sending == sharers && sharers > 0);
}

/// Guards against more requests within some second than the part, when callers press all the time.
#[parameterized(one = { 1 }, few = { 4 }, many = { 25 })]
fn no_second_has_more_than_the_part(part: u64) {
    let mut endpoint = SlowStart::default();
    endpoint.on_report(Timestamp(0), DurationMs(10_000));
    let mut sent = Vec::new();
    for ms in 0..9_000 {
        let now = Timestamp(ms * 1_000);
        if endpoint.may_send(now, part) {
            endpoint.on_sent(now);
            sent.push(ms);
        }
    }
    let within = |from: u64| sent.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
    let most = sent.iter().map(|from| within(*from)).max();
    assert_eq!(most, usize::try_from(part).ok());
}

#[test]
fn the_margin_is_added_to_the_rate() {
    let margin = SlowStartMargin { overage_percent: 150, slack: 5 };
    assert_eq!(margin.fleet_bound(RatePerS(20)), 35);
}

/// A host among `hosts` with the primary `a` and the replica `b`, which is cold for 5 s; all hosts
/// may send `rate` requests a second to a cold endpoint.
fn rig(hosts: usize, rate: Option<u64>) -> Rig {
    let mut rig = Rig::new();
    let mut catalog = catalog(2);
    if let Some(group) = catalog.groups.get_mut(&id("db")) {
        group.slow_start = rate.map(RatePerS);
    }
    rig.core.set_catalog(rig.now, catalog);
    let candidate = |number: usize| HomeCandidate {
        host: id(&format!("h{number}")),
        processor: MilliCores(100),
    };
    rig.core.set_hosts(rig.now, (2..=hosts).map(candidate).collect(), |_| true);
    let mut cold = entry("b", false);
    (cold.cold_for_ms, cold.version) = (DurationMs(5_000), RowVersion(2));
    rig.core.set_entries(rig.now, vec![entry("a", true), cold]);
    rig.pass(3_100);
    rig
}

/// Number of a second's 40 reads that run on the cold replica.
fn reads_of_a_second(rig: &mut Rig) -> usize {
    let mut on_replica = 0;
    for number in 0..40 {
        let session = rig.session(100 + number, "lookups");
        rig.send(session, READ);
        rig.pass(20);
        while let Some((connection, endpoint, job)) = rig.jobs.pop_front() {
            on_replica += usize::from(endpoint == id("b"));
            rig.succeed(connection, &job, TransactionState::Idle);
        }
        rig.core.close_session(rig.now, session);
    }
    on_replica
}

/// Guards against a host that sends more than its part to a cold endpoint, or that sends less than
/// it may where nothing is configured.
#[parameterized(
    alone = { 1, Some(8), 8 },
    two_hosts = { 2, Some(8), 4 },
    not_configured = { 1, None, 40 },
)]
fn a_cold_replica_gets_the_part_of_this_host(hosts: usize, rate: Option<u64>, most: usize) {
    let mut rig = rig(hosts, rate);
    let count = reads_of_a_second(&mut rig);
    assert!(count <= most && count >= most / 2, "{count}");
}

/// Guards against a bound that outlasts the time for which the endpoint is cold.
#[test]
fn the_bound_ends_with_the_warm_up() {
    let mut rig = rig(1, Some(8));
    rig.pass(2_000);
    assert!(reads_of_a_second(&mut rig) > 30);
}
