//! Reads that stay in the failure domain of their host, and reads that leave it.

mod proxy_rig;

use medlarstile::core::proxy::domains::{AwayShare, Crossing, ReplicaTimes};
use medlarstile::core::proxy::ProxyEffect;
use medlarstile::core::transaction::TransactionState;
use medlarstile::types::{AccountId, DurationMs, Timestamp};
use proxy_rig::{entry, id, Rig, READ};
use yare::parameterized;

const TARGET: DurationMs = DurationMs(200);

fn times(near_ms: u64, far_ms: u64, saving_ms: u64) -> ReplicaTimes {
    let us = |ms: u64| ms * 1_000;
    ReplicaTimes { near_us: us(near_ms), far_us: us(far_ms), saving_us: us(saving_ms) }
}

/// Share after `steps` of 100 ms with the same times.
fn share_after(
    share: &mut AwayShare,
    from_ms: u64,
    steps: u64,
    times: Option<ReplicaTimes>,
) -> u64 {
    for step in 1..=steps {
        share.adjust(Timestamp((from_ms + step * 100) * 1_000), times, TARGET);
    }
    share.permille()
}

/// Guards against a crossing that serves no caller better, and against callers that wait at a near
/// replica while a far one is free.
#[parameterized(
    near_keeps_the_target = { Some((90, 20, 6)), 0 },
    near_is_slow = { Some((150, 60, 6)), 1_000 },
    far_is_as_slow = { Some((150, 146, 6)), 0 },
    crossing_costs_more = { Some((150, 60, 100)), 0 },
    nothing_to_choose = { None, 0 },
)]
fn leaving_has_to_pay(given: Option<(u64, u64, u64)>, permille: u64) {
    let times = given.map(|(near, far, saving)| times(near, far, saving));
    assert_eq!(share_after(&mut AwayShare::default(), 0, 30, times), permille);
}

/// Guards against a share that swings between all and nothing.
#[test]
fn the_share_moves_in_steps_and_comes_back_slower() {
    let mut share = AwayShare::default();
    let raised = share_after(&mut share, 0, 4, Some(times(150, 60, 6)));
    let lowered = share_after(&mut share, 400, 4, Some(times(40, 60, 6)));
    assert!(raised == 200 && lowered > raised / 2 && lowered < raised, "{raised} {lowered}");
}

/// Guards against accounts that change places while the share rises, which would open connections.
#[test]
fn accounts_that_have_left_stay_away_while_the_share_rises() {
    let accounts: Vec<AccountId> = (0..200).map(|number| id(&format!("t{number}"))).collect();
    let mut share = AwayShare::default();
    let mut away: Vec<&AccountId> = Vec::new();
    for step in 0..20 {
        share_after(&mut share, step * 100, 1, Some(times(150, 60, 6)));
        assert!(away.iter().all(|account| share.includes(account)));
        away = accounts.iter().filter(|account| share.includes(account)).collect();
    }
    assert_eq!(away.len(), accounts.len());
}

/// A host in the domain `near` with the primary `a` far away. The replica `b` is near and `c` far.
fn rig() -> Rig {
    let mut rig = Rig::new();
    let entries = [("a", true), ("b", false), ("c", false)].map(|(name, claims_primary)| {
        let mut entry = entry(name, claims_primary);
        // The rig's host is in the domain `north`.
        entry.failure_domain = id(if name == "b" { "north" } else { "south" });
        entry
    });
    rig.core.set_entries(rig.now, entries.to_vec());
    rig
}

/// Runs a read that the replica answers after `ms`; returns the replica and the reason.
fn read(rig: &mut Rig, number: u64, ms: u64) -> (String, Option<Crossing>) {
    let session = rig.session(number, "lookups");
    rig.send(session, READ);
    rig.pass(20);
    let (connection, endpoint, job) = rig.next_job();
    rig.pass(ms);
    rig.succeed(connection, &job, TransactionState::Idle);
    rig.core.close_session(rig.now, session);
    let record = rig.other.iter().rev().find_map(|effect| match effect {
        ProxyEffect::Ended(record) => Some(record.crossing),
        _ => None,
    });
    (endpoint.to_string(), record.expect("a record"))
}

/// Guards against reads that cross without need, whatever the hash of their account prefers.
#[test]
fn reads_stay_near_while_the_near_replica_keeps_up() {
    let mut rig = rig();
    for number in 0..10 {
        assert_eq!(read(&mut rig, number, 20), ("b".into(), Some(Crossing::Near)));
    }
}

/// Guards against reads that are held for a near replica that is shut down or gone.
#[test]
fn reads_leave_when_the_near_replica_is_gone() {
    let mut rig = rig();
    let mut leaving = entry("b", false);
    (leaving.failure_domain, leaving.leaving) = (id("north"), true);
    let mut others = [entry("a", true), entry("c", false)];
    for other in &mut others {
        other.failure_domain = id("south");
    }
    let entries = others.into_iter().chain([leaving]).collect();
    rig.core.set_entries(rig.now, entries);
    assert_eq!(read(&mut rig, 1, 20), ("c".into(), Some(Crossing::NearGone)));
}

/// Guards against a host whose group is in one domain and that no longer spreads its accounts.
#[test]
fn equal_distances_change_nothing() {
    let mut plain = Rig::new();
    let before = read(&mut plain, 1, 20);
    assert_eq!(before.1, Some(Crossing::Near));
    let mut far = Rig::new();
    let entries = [("a", true), ("b", false), ("c", false)].map(|(name, claims_primary)| {
        let mut entry = entry(name, claims_primary);
        entry.failure_domain = id("south");
        entry
    });
    far.core.set_entries(far.now, entries.to_vec());
    assert_eq!(read(&mut far, 1, 20), (before.0, Some(Crossing::NearGone)));
}
