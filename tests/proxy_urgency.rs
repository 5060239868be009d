//! Order and refusal of requests that compete for connections.

mod proxy_rig;

use std::rc::Rc;

use medlarstile::core::proxy::statement::Statement;
use medlarstile::core::proxy::urgency::{effective_priority, in_time_wait, is_hopeless};
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::ErrorKind;
use medlarstile::types::{ConnectionCount, DurationMs, Priority, SessionId};
use proxy_rig::{catalog, id, refused, Rig, WRITE};
use yare::parameterized;

/// Guards against a class that waits forever behind more urgent ones.
#[parameterized(
    fresh = { 2, 0, 2 },
    below_its_target = { 2, 99, 2 },
    past_its_target = { 2, 100, 1 },
    past_it_twice = { 2, 250, 0 },
    most_urgent = { 0, 900, 0 },
    of_many_classes = { 1_000, 250, 998 },
)]
fn waiting_raises_the_class(priority: u64, waited_ms: u64, expected: u64) {
    let found = effective_priority(Priority(priority), DurationMs(waited_ms), DurationMs(100));
    assert_eq!(found, Priority(expected));
}

/// Guards against requests that are held although they cannot be answered in time, and against the
/// refusal of those that can.
#[parameterized(
    nobody_ahead = { 0, 200, 20, false },
    short_queue = { 80, 200, 20, false },
    long_queue = { 90, 200, 20, true },
    slow_endpoint = { 60, 200, 100, true },
    slower_than_the_target = { 29, 200, 900, false },
)]
fn a_hopeless_request_is_refused_at_arrival(
    ahead_ms: u64,
    target_ms: u64,
    service_ms: u64,
    expected: bool,
) {
    let limit = in_time_wait(DurationMs(target_ms), DurationMs(service_ms));
    assert_eq!(is_hopeless(DurationMs(ahead_ms), limit), expected);
}

/// A host that may have one connection to each endpoint. The database `urgent` has the most urgent
/// class, `patient` a less urgent one with a long target; both write to the same primary.
fn rig() -> Rig {
    let mut rig = Rig::new();
    let mut catalog = catalog(2);
    for (name, priority, target_ms) in [("urgent", 0, 400), ("patient", 2, 900)] {
        let mut route = (*catalog.routes[&id("orders")]).clone();
        (route.priority, route.target_latency_ms) = (Priority(priority), DurationMs(target_ms));
        catalog.routes.insert(id(name), Rc::new(route));
    }
    if let Some(group) = catalog.groups.get_mut(&id("db")) {
        group.connections = ConnectionCount(1);
    }
    rig.core.set_catalog(rig.now, catalog);
    rig
}

/// Sends a write in a session of its own.
fn write(rig: &mut Rig, number: u64, database: &str) -> SessionId {
    let session = rig.session(number, database);
    rig.send(session, WRITE);
    session
}

fn serve_next(rig: &mut Rig) {
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Idle);
}

/// Guards against urgent requests that wait behind a burst of a less urgent class, or are refused
/// with it while the endpoint serves others.
#[test]
fn a_burst_of_a_less_urgent_class_does_not_delay_urgent_requests() {
    let mut rig = rig();
    for number in 0..100 {
        write(&mut rig, 100 + number, "patient");
    }
    let urgent: Vec<SessionId> = (0..3).map(|number| write(&mut rig, number, "urgent")).collect();
    for _ in 0..4 {
        serve_next(&mut rig);
        rig.pass(20);
    }
    let served: Vec<SessionId> = rig
        .answers
        .iter()
        .filter(|(_, answer, _)| refused(answer).is_none())
        .map(|a| a.0)
        .collect();
    assert!(urgent.iter().all(|session| served.contains(session)), "{served:?}");
}

/// Guards against requests of an overloaded account that are held before they are refused, and
/// against the refusal of a more urgent class because of a backlog of a less urgent one.
#[parameterized(same_class = { "patient", true }, more_urgent = { "urgent", false })]
fn a_backlog_refuses_newcomers_at_once(database: &str, is_refused: bool) {
    let mut rig = rig();
    for number in 0..3 {
        write(&mut rig, 100 + number, "patient");
    }
    rig.pass(500);
    let session = write(&mut rig, 1, database);
    let answer = rig.answers.iter().find(|(answered, _, _)| *answered == session);
    let kind = answer.and_then(|(_, answer, _)| refused(answer));
    assert_eq!(kind, is_refused.then_some(ErrorKind::Overloaded));
}

/// Guards against a statement of an open transaction that waits behind new work.
#[test]
fn an_open_transaction_goes_first() {
    let mut rig = rig();
    let session = rig.session(1, "patient");
    rig.send(session, Statement::Begin { read_only: false });
    rig.send(session, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Open);
    write(&mut rig, 2, "urgent");
    rig.send(session, WRITE);
    assert_eq!(rig.next_job().0, connection);
}

/// Guards against queues of former classes that are kept for as long as the host runs: each version
/// of the configuration may bring classes of its own.
#[test]
fn classes_of_former_versions_are_removed() {
    let mut rig = rig();
    for version in 3..40 {
        let mut next = catalog(version);
        for route in next.routes.values_mut() {
            Rc::make_mut(route).priority = Priority(version);
        }
        rig.core.set_catalog(rig.now, next);
        write(&mut rig, version, "orders");
        serve_next(&mut rig);
    }
    assert_eq!(rig.group().queue.class_count(), 1);
}
