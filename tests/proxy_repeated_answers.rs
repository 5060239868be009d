//! What a host does with a connection on which the endpoint may send an answer again.

mod proxy_rig;

use medlarstile::core::proxy::job::{Refusal, Work};
use medlarstile::core::proxy::statement::Statement;
use medlarstile::core::proxy::Answer;
use medlarstile::core::transaction::TransactionState::{Idle, Open};
use medlarstile::error::ErrorKind;
use proxy_rig::{at, id, refused, Rig, BEGIN, READ, WRITE};
use yare::parameterized;

/// Guards against a refusal that the endpoint sends again on a connection which is still in use: it
/// would be taken for the answer to a later statement.
#[parameterized(
    busy = { Refusal::Busy, false, true },
    not_primary = { Refusal::ReadOnly, false, true },
    failed = { Refusal::Failed, false, true },
    lagging = { Refusal::Lagging, false, false },
    lagging_where_answers_were_repeated = { Refusal::Lagging, true, true },
)]
fn a_connection_with_a_refusal_is_closed(refusal: Refusal, repeats: bool, is_closed: bool) {
    let mut rig = Rig::new();
    let session = rig.session(1, "lookups");
    rig.send(session, READ);
    let (connection, _, _) = rig.next_job();
    if repeats {
        rig.core.on_repeated_answer(connection);
    }
    rig.refuse(connection, refusal, Idle);
    assert_eq!(rig.closed.contains(&connection), is_closed);
}

/// Guards against a transaction that is cut off by the refusal of one of its statements, and against a
/// connection that is used again after it.
#[test]
fn a_refusal_closes_the_connection_after_its_transaction() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, BEGIN);
    rig.send(session, WRITE);
    let (connection, _, _) = rig.next_job();
    rig.refuse(connection, Refusal::Busy, Open);
    rig.pass(100);
    let (again, _, job) = rig.next_job();
    assert_eq!(again, connection);
    rig.succeed(connection, &job, Open);
    assert!(!rig.closed.contains(&connection));
    rig.send(session, Statement::Commit);
    let (_, _, job) = rig.next_job();
    rig.succeed(connection, &job, Idle);
    assert!(rig.closed.contains(&connection));
}

/// Guards against an answer that is forgotten before the endpoint sends it again.
#[test]
fn a_connection_is_replaced_after_many_uses() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    let mut replaced = 0;
    for _ in 0..600 {
        // The account's rate allows so many.
        rig.pass(20);
        rig.closed.clear();
        rig.send(session, WRITE);
        let (connection, _, job) = rig.next_job();
        rig.succeed(connection, &job, Idle);
        replaced += usize::from(rig.closed.contains(&connection));
    }
    assert_eq!(rig.answers.len(), 600);
    assert_eq!(replaced, 1);
}

/// Guards against a wrong statement of whether a statement ran whose refusal may be a repeated one, and
/// against a second run of a write.
#[parameterized(
    read = { false, READ, true, None },
    write = { false, WRITE, true, Some(ErrorKind::OutcomeUnknown) },
    write_not_sent = { false, WRITE, false, None },
    first_in_transaction = { true, WRITE, true, None },
)]
fn an_unclear_refusal(begins: bool, statement: Statement, sent: bool, kind: Option<ErrorKind>) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    if begins {
        rig.send(session, BEGIN);
        rig.answers.clear();
    }
    rig.send(session, statement);
    let (connection, _, _) = rig.next_job();
    rig.core.on_unclear_refusal(rig.now, connection, sent, Refusal::Busy);
    rig.settle();
    rig.pass(100);
    match kind {
        Some(kind) => assert_eq!(refused(&rig.last_answer().1), Some(kind)),
        None => assert!(rig.answers.is_empty(), "{:?}", rig.answers),
    }
    let again = rig.jobs.iter().any(|(_, _, job)| matches!(job.work, Work::Statement { .. }));
    assert_eq!(again, kind.is_none());
}

/// Guards against a transaction that goes on although one of its statements may have run or not.
#[test]
fn an_unclear_refusal_ends_a_transaction() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, BEGIN);
    for statement in [READ, WRITE] {
        rig.send(session, statement);
        let (connection, _, job) = rig.next_job();
        if job.setup.is_empty() {
            rig.core.on_unclear_refusal(rig.now, connection, true, Refusal::Busy);
            rig.settle();
        } else {
            rig.succeed(connection, &job, Open);
        }
    }
    assert_eq!(refused(&rig.last_answer().1), Some(ErrorKind::TransactionLost));
}

/// Guards against a statement that ran outside of its transaction, whose result is passed on.
#[parameterized(of_the_host = { false }, of_the_caller = { true })]
fn a_result_from_outside_of_the_transaction_is_not_passed_on(begins: bool) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    if begins {
        rig.send(session, BEGIN);
        rig.answers.clear();
    }
    rig.send(session, READ);
    let (connection, _, job) = rig.next_job();
    rig.core.on_transaction_began(rig.now, connection, at(1, 10));
    rig.succeed_outside(connection);
    let passed_on =
        rig.answers.iter().any(|(_, answer, _)| matches!(answer, Answer::Endpoint { .. }));
    assert!(!passed_on, "{job:?}");
    assert!(rig.closed.contains(&connection));
}

/// Guards against a connection that stays occupied after an endpoint has refused a probe: each probe
/// opened another one.
#[test]
fn a_refused_probe_frees_its_connection() {
    let mut rig = Rig::new();
    rig.leads = id("b");
    rig.pass(2_000);
    let busy = rig.group().endpoints.values().map(|state| state.running).sum::<u32>();
    assert_eq!(busy, 0);
}
