//! What a host does with a connection on which the endpoint may send an answer again.

mod proxy_rig;

use medlarstile::core::proxy::job::{Refusal, Setup, Work};
use medlarstile::core::proxy::statement::Statement;
use medlarstile::core::proxy::Answer;
use medlarstile::core::transaction::TransactionState::{self, Idle, Open};
use medlarstile::error::ErrorKind;
use proxy_rig::{id, refused, Rig, BEGIN, READ, WRITE};
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

/// Guards against the result of a statement that ran outside of its transaction, or inside of one that
/// the host does not know, and against a write that runs again or is promised not to be kept then.
#[parameterized(
    read_of_the_host = { false, READ, Idle, None },
    read = { true, READ, Idle, None },
    write = { true, WRITE, Idle, Some(ErrorKind::OutcomeUnknown) },
    single_write = { false, WRITE, Open, Some(ErrorKind::OutcomeUnknown) },
)]
fn a_result_from_elsewhere_is_not_passed_on(
    begins: bool,
    statement: Statement,
    state: TransactionState,
    kind: Option<ErrorKind>,
) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    if begins {
        rig.send(session, BEGIN);
        rig.answers.clear();
    }
    rig.send(session, statement);
    let (connection, _, job) = rig.next_job();
    rig.succeed_in(connection, state);
    let passed_on =
        rig.answers.iter().any(|(_, answer, _)| matches!(answer, Answer::Endpoint { .. }));
    assert!(!passed_on, "{job:?}");
    assert!(rig.closed.contains(&connection));
    assert_eq!(rig.answers.first().and_then(|(_, answer, _)| refused(answer)), kind);
    rig.pass(100);
    let again = rig.jobs.iter().any(|(_, _, job)| matches!(job.work, Work::Statement { .. }));
    assert_eq!(again, kind.is_none());
}

/// Guards against an order whose answer could be an earlier one: at an endpoint that sends answers
/// again each order runs on a connection of its own.
#[test]
fn orders_to_an_endpoint_that_repeats_answers_run_on_new_connections() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.core.on_repeated_answer(connection);
    rig.succeed(connection, &job, Idle);
    rig.closed.clear();
    rig.host_jobs.clear();
    // Without other answers the primary is probed again and again.
    rig.pass(3_000);
    let mut used: Vec<_> = rig.host_jobs.iter().map(|(id, _)| *id).collect();
    let count = used.len();
    assert!(count >= 3, "{count} orders");
    used.sort();
    used.dedup();
    assert_eq!(used.len(), count);
    assert!(!used.contains(&connection));
}

/// Guards against the first read of a read-only transaction that runs at a replica which has refused
/// the transaction: it must not run there either.
#[test]
fn the_first_read_of_a_transaction_names_the_position() {
    let mut rig = Rig::new();
    let session = rig.session(1, "lookups");
    rig.send(session, Statement::Begin { read_only: true });
    rig.send(session, READ);
    let (connection, _, job) = rig.next_job();
    let [Setup::Begin { read_only: true, after: Some(position) }] = job.setup[..] else {
        panic!("{job:?}");
    };
    assert!(matches!(job.work, Work::Statement { after: Some(found), .. } if found == position));
    rig.succeed(connection, &job, Open);
    rig.send(session, READ);
    let (_, _, job) = rig.next_job();
    assert!(matches!(job.work, Work::Statement { after: None, .. }));
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
