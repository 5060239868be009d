//! Shutdown of a host, tested event by event with a simulated clock. In the rig the notice period
//! takes 2 s, open transactions get 2 s after it, and running requests 1 s after that.

mod proxy_rig;

use std::rc::Rc;

use medlarstile::core::life::LifeState;
use medlarstile::core::proxy::statement::Statement;
use medlarstile::core::proxy::{shutdown, ProxyEffect};
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::ErrorKind;
use medlarstile::types::{DurationMs, SessionId};
use proxy_rig::{catalog, refused, Rig, BEGIN, READ, WRITE};
use yare::parameterized;

/// A rig whose time limits of statements and transactions are longer than a shutdown.
fn patient_rig() -> Rig {
    let mut rig = Rig::new();
    let mut patient = catalog(2);
    for route in patient.routes.values_mut() {
        Rc::make_mut(route).statement_limit_ms = DurationMs(10_000);
    }
    patient.transaction_idle_ms = DurationMs(10_000);
    rig.core.set_catalog(rig.now, patient);
    // Meanwhile the host may open further connections.
    rig.pass(1_000);
    rig
}

/// A session with an open transaction that has written.
fn open_transaction(rig: &mut Rig, number: u64) -> SessionId {
    let session = rig.session(number, "orders");
    rig.send(session, BEGIN);
    rig.send(session, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Open);
    session
}

/// Guards against a host that never ends because a statement of some open transaction runs at every
/// moment, and that the platform kills with statements at work.
#[test]
fn a_host_with_open_transactions_at_work_ends() {
    let mut rig = patient_rig();
    let sessions = [open_transaction(&mut rig, 1), open_transaction(&mut rig, 2)];
    rig.core.stop(rig.now);
    rig.send(sessions[0], WRITE);
    for step in 1..=58 {
        // The next transaction begins a statement before the last one is answered.
        rig.send(sessions[step % 2], WRITE);
        if let Some((connection, _, job)) = rig.jobs.pop_front() {
            rig.succeed(connection, &job, TransactionState::Open);
        }
        rig.pass(100);
    }
    assert_eq!(rig.core.state(), LifeState::Stopped);
}

/// Guards against a host that exits while statements that it relays are at work.
#[test]
fn a_host_waits_for_relayed_statements() {
    let mut rig = Rig::new();
    rig.core.set_relayed_callers(1);
    rig.core.stop(rig.now);
    rig.pass(4_500);
    assert!(!matches!(rig.core.state(), LifeState::Releasing | LifeState::Stopped));
    rig.core.set_relayed_callers(0);
    rig.pass(100);
    assert_eq!(rig.core.state(), LifeState::Stopped);
}

/// Guards against relayed sessions that are not told that the time for their transactions, or for
/// their last statements, is over.
#[test]
fn relayed_sessions_take_part_in_the_shutdown() {
    let mut rig = Rig::new();
    rig.core.set_relayed_callers(1);
    rig.core.stop(rig.now);
    for (wait_ms, effect) in [
        (2_020, ProxyEffect::StopListening),
        (2_000, ProxyEffect::EndRelayedTransactions),
        (1_000, ProxyEffect::AbortRelayedRequests),
    ] {
        assert!(!rig.other.contains(&effect), "{effect:?} is early");
        rig.pass(wait_ms);
        assert!(rig.other.contains(&effect), "{effect:?} is late");
    }
}

/// Guards against a host that exits before its callers have been sent their last answers, and
/// against one that waits forever for a caller that does not read.
#[test]
fn a_host_waits_for_its_last_answers() {
    let mut rig = Rig::new();
    rig.core.set_open_callers(1);
    rig.core.stop(rig.now);
    rig.pass(4_000);
    assert_eq!(rig.core.state(), LifeState::Releasing);
    assert!(rig.other.contains(&ProxyEffect::CloseCallers));
    rig.pass(2_000);
    assert_eq!(rig.core.state(), LifeState::Stopped);
}

/// Guards against a transaction that is given up although its caller only wants to end it, and
/// against one that goes on after its time.
#[parameterized(
    commit = { Statement::Commit, true },
    rollback = { Statement::Rollback, true },
    write = { WRITE, false },
)]
fn a_late_transaction_can_only_be_ended(statement: Statement, runs: bool) {
    let mut rig = patient_rig();
    let session = open_transaction(&mut rig, 1);
    rig.core.stop(rig.now);
    rig.pass(4_100);
    assert_eq!(rig.core.state(), LifeState::Finishing);
    rig.send(session, statement);
    if let Some((connection, _, job)) = rig.jobs.pop_front() {
        rig.succeed(connection, &job, TransactionState::Idle);
    }
    let (_, answer, state) = rig.last_answer();
    let expected = (!runs).then_some(ErrorKind::TransactionLost);
    assert_eq!(refused(answer), expected);
    let expected = if runs { TransactionState::Idle } else { TransactionState::Failed };
    assert_eq!(*state, expected);
    assert!(rig.other.contains(&ProxyEffect::CloseSession(session)));
}

/// Guards against a killed process that leaves requests without an answer, and against an answer
/// that promises more than the host knows.
#[parameterized(
    // It was given up on the silent endpoint and waits for another one.
    read = { false, READ, ErrorKind::HostDraining },
    write = { false, WRITE, ErrorKind::OutcomeUnknown },
    inside = { true, WRITE, ErrorKind::TransactionLost },
    commit = { true, Statement::Commit, ErrorKind::OutcomeUnknown },
)]
fn requests_at_work_are_answered_before_the_end(inside: bool, last: Statement, kind: ErrorKind) {
    let mut rig = patient_rig();
    let session = if inside { open_transaction(&mut rig, 1) } else { rig.session(1, "orders") };
    rig.core.stop(rig.now);
    let sent_after_ms = if last == Statement::Commit { 4_200 } else { 1_900 };
    rig.pass(sent_after_ms);
    rig.send(session, last);
    rig.pass(5_100 - sent_after_ms);
    let (found, answer, _) = rig.last_answer();
    assert_eq!((*found, refused(answer)), (session, Some(kind)));
    assert!(rig.other.contains(&ProxyEffect::CloseSession(session)));
}

/// Guards against a wrong statement of whether a relayed statement whose answer is missing may have
/// had an effect.
#[parameterized(
    commit = { Statement::Commit, true, ErrorKind::OutcomeUnknown },
    write = { WRITE, false, ErrorKind::OutcomeUnknown },
    prepared = { Statement::Execute { name: "s".into(), arguments: "".into() }, false,
        ErrorKind::OutcomeUnknown },
    prepared_inside = { Statement::Execute { name: "s".into(), arguments: "".into() }, true,
        ErrorKind::TransactionLost },
    write_inside = { WRITE, true, ErrorKind::TransactionLost },
    read = { READ, false, ErrorKind::DeadlineExceeded },
)]
fn a_missing_answer_is_reported_truthfully(statement: Statement, inside: bool, kind: ErrorKind) {
    let may_commit = shutdown::may_commit(&statement, inside);
    assert_eq!(shutdown::unanswered(may_commit, inside, "").kind, kind);
}
