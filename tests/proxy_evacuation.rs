//! Evacuation of failure domains.

mod proxy_rig;

use medlarstile::core::proxy::evacuation::{EvacuationOrder, Evacuations};
use medlarstile::core::proxy::ProxyEffect;
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::ErrorKind;
use medlarstile::types::{RowVersion, StoreEra, Timestamp};
use proxy_rig::{entry, id, refused, Rig, BEGIN, READ, WRITE};
use yare::parameterized;

const NOW: Timestamp = Timestamp(1_000_000);

fn order(domain: &str, era: u64, number: u64, is_evacuated: bool) -> EvacuationOrder {
    let version = RowVersion::in_era(StoreEra(era), number).expect("a version");
    EvacuationOrder { failure_domain: id(domain), version, is_evacuated }
}

/// A host with the primary `a` in the domain `a`, and the replicas `b` and `c` in theirs.
fn rig() -> Rig {
    let mut rig = Rig::new();
    let entries = [("a", true), ("b", false), ("c", false)].map(|(name, claims_primary)| {
        let mut entry = entry(name, claims_primary);
        entry.failure_domain = id(name);
        entry
    });
    rig.core.set_entries(rig.now, entries.to_vec());
    rig
}

fn evacuate(rig: &mut Rig, domains: &[&str]) {
    let orders = domains.iter().map(|domain| order(domain, 0, 5, true)).collect();
    rig.core.on_evacuation_rows(rig.now, RowVersion(5), false, orders);
    rig.settle();
}

/// Endpoints that run the reads of several accounts' sessions one after the other.
fn readers(rig: &mut Rig) -> Vec<String> {
    (0..4)
        .map(|number| {
            rig.pass(60);
            let session = rig.session(100 + number, "lookups");
            rig.send(session, READ);
            rig.pass(40);
            let (connection, endpoint, job) = rig.next_job();
            rig.succeed(connection, &job, TransactionState::Idle);
            rig.core.close_session(rig.now, session);
            endpoint.to_string()
        })
        .collect()
}

/// Guards against reads that go on in an evacuated domain, and against a domain that stays unused
/// after it was taken back.
#[parameterized(
    one_replica = { &["b"], &["c"] },
    the_other_replica = { &["c"], &["b"] },
    both_replicas = { &["b", "c"], &["a"] },
)]
fn reads_leave_at_once(domains: &[&str], left: &[&str]) {
    let mut rig = rig();
    let before = readers(&mut rig);
    evacuate(&mut rig, domains);
    let used = readers(&mut rig);
    assert!(used.iter().all(|name| left.contains(&name.as_str())), "{used:?}");
    let orders = domains.iter().map(|domain| order(domain, 0, 9, false)).collect();
    rig.core.on_evacuation_rows(rig.now, RowVersion(9), false, orders);
    rig.pass(4_000);
    assert_eq!(readers(&mut rig), before);
}

/// Guards against an evacuated primary that is not replaced, or that is replaced by an evacuated
/// endpoint.
#[parameterized(
    a_replica_stays = { &["a"], true },
    both_replicas_stay = { &["a", "c"], true },
    nothing_stays = { &["a", "b", "c"], false },
    the_primary_stays = { &["b", "c"], false },
)]
fn an_evacuated_primary_is_replaced(domains: &[&str], replaced: bool) {
    let mut rig = rig();
    evacuate(&mut rig, domains);
    rig.pass(1_000);
    let claims = rig.other.iter().any(|effect| matches!(effect, ProxyEffect::Claim(..)));
    assert_eq!(claims, replaced);
}

/// Guards against requests to an evacuated primary after the time limit, and against requests that
/// are held although nothing else can run them.
#[test]
fn an_evacuated_primary_without_a_replacement_refuses() {
    let mut rig = rig();
    let session = rig.session(1, "orders");
    rig.send(session, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Idle);
    evacuate(&mut rig, &["a", "b", "c"]);
    rig.pass(3_200);
    rig.send(session, WRITE);
    rig.pass(40);
    assert!(rig.jobs.is_empty());
    assert_eq!(refused(&rig.last_answer().1), Some(ErrorKind::NoPrimary));
}

/// Guards against statements of an open transaction that reach an evacuated endpoint after the time
/// limit, and against a transaction that is lost before.
#[parameterized(early = { 500, false }, late = { 3_200, true })]
fn an_open_transaction_ends_in_time(wait_ms: u64, is_lost: bool) {
    let mut rig = rig();
    let session = rig.session(1, "orders");
    rig.send(session, BEGIN);
    rig.send(session, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Open);
    evacuate(&mut rig, &["a", "b", "c"]);
    // The rig's transactions are not idle for longer than the configured limit.
    rig.pass(wait_ms.min(1_500));
    if wait_ms > 1_500 {
        rig.send(session, WRITE);
        let (connection, _, job) = rig.next_job();
        rig.succeed(connection, &job, TransactionState::Open);
        rig.pass(wait_ms - 1_500);
    }
    rig.send(session, WRITE);
    assert_eq!(rig.jobs.is_empty(), is_lost);
    let lost = refused(&rig.last_answer().1) == Some(ErrorKind::TransactionLost);
    assert_eq!((lost, rig.closed.contains(&connection)), (is_lost, is_lost));
}

/// Guards against an order that is forgotten or revived by a restore of the store, missed because
/// the host was behind, or undone by an older one.
#[parameterized(
    row_is_gone = { order("a", 0, 5, true), 0, 9, None, false },
    row_is_listed = { order("a", 0, 5, true), 0, 9, Some(order("a", 0, 5, true)), true },
    lost_by_a_restore = { order("a", 0, 5, true), 1, 4, None, true },
    revived_by_a_restore = { order("a", 0, 8, false), 1, 6, Some(order("a", 1, 5, true)), false },
    ordered_after_a_restore = { order("a", 0, 8, false), 1, 12, Some(order("a", 1, 12, true)), true },
    older_order = { order("a", 0, 8, false), 0, 9, Some(order("a", 0, 5, true)), false },
    newer_order = { order("a", 0, 8, false), 0, 9, Some(order("a", 0, 9, true)), true },
)]
fn all_rows_are_read(
    known: EvacuationOrder,
    era: u64,
    number: u64,
    listed: Option<EvacuationOrder>,
    is_evacuated: bool,
) {
    let mut evacuations = Evacuations::default();
    evacuations.merge(NOW, vec![known]);
    let version = RowVersion::in_era(StoreEra(era), number).expect("a version");
    evacuations.apply(NOW, version, true, listed.into_iter().collect());
    assert_eq!(evacuations.since(&id("a")).is_some(), is_evacuated);
}

/// Guards against a host that cannot read the store and never hears of an order.
#[test]
fn orders_pass_from_host_to_host() {
    let (mut reader, mut other) = (rig(), rig());
    evacuate(&mut reader, &["b"]);
    let announced = reader.other.iter().find_map(|effect| match effect {
        ProxyEffect::AnnounceEvacuations(orders) => Some(orders.clone()),
        _ => None,
    });
    other.core.on_evacuation_orders(other.now, announced.expect("an announcement"));
    other.settle();
    assert!(readers(&mut other).iter().all(|name| name == "c"));
}
