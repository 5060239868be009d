//! Sessions on pooled connections, tested event by event with a simulated clock.

mod proxy_rig;

use medlarstile::core::proxy::job::{JobEnd, Refusal, Setup, Work};
use medlarstile::core::proxy::statement::{Access, PreparedStatement, Statement};
use medlarstile::core::proxy::{Answer, ProxyEffect};
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::ErrorKind;
use medlarstile::types::{PreparedId, RowVersion};
use proxy_rig::{at, catalog, entry, id, refused, Rig, BEGIN, READ, WRITE};
use yare::parameterized;

/// Guards against stale single reads. An endpoint that is no longer the primary does not refuse a
/// plain read, so a read on the primary must run in a read-write transaction, and a read on a
/// replica must carry the required position.
#[parameterized(
    primary = { "orders", "a", true },
    bounded = { "lookups", "b", false },
    own_writes = { "plans", "b", false },
)]
fn a_single_read_is_protected_against_stale_data(database: &str, endpoint: &str, wrapped: bool) {
    let mut rig = Rig::new();
    let session = rig.session(1, database);
    rig.send(session, READ);
    let (_, found, job) = rig.next_job();
    let begins_transaction = job.setup.contains(&Setup::Begin { read_only: false, after: None });
    assert_eq!((begins_transaction, job.rollback), (wrapped, wrapped));
    let after = match &job.work {
        Work::Statement { after, .. } => *after,
        other => panic!("{other:?}"),
    };
    assert_eq!(after.is_some(), !wrapped);
    let replica = found == id("b") || found == id("c");
    assert_eq!(replica, endpoint == "b", "{found}");
}

/// Guards against a replica read that misses an earlier commit of the same session.
#[test]
fn a_session_reads_its_own_commit() {
    let mut rig = Rig::new();
    let session = rig.session(1, "plans");
    rig.send(session, WRITE);
    let (connection, endpoint, job) = rig.next_job();
    assert_eq!(endpoint, id("a"));
    rig.succeed(connection, &job, TransactionState::Idle);
    rig.send(session, READ);
    let (_, _, job) = rig.next_job();
    assert!(matches!(job.work, Work::Statement { after: Some(after), .. } if after == at(1, 11)));
}

/// Guards against data that is older than the route allows: without a recent sample of the
/// primary's position, a read must not go to a replica.
#[test]
fn a_read_without_a_recent_sample_goes_to_the_primary() {
    let mut rig = Rig::new();
    rig.core.set_entries(rig.now, vec![entry("b", false), entry("c", false)]);
    rig.pass(100);
    // The clock jumps, as after a suspended process, without any sample meanwhile.
    rig.now = medlarstile::types::Timestamp(rig.now.0 + 1_600_000);
    let session = rig.session(1, "lookups");
    rig.send(session, READ);
    let replicas = rig.jobs.iter().filter(|(_, endpoint, _)| *endpoint != id("a")).count();
    assert_eq!(replicas, 0);
}

/// Guards against a second rollback of a read inside a transaction of the host, after its caller
/// has disconnected: the next statement took the answer to that rollback for its own.
#[test]
fn an_abandoned_read_on_the_primary_is_rolled_back_once() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, READ);
    let (connection, _, job) = rig.next_job();
    assert!(job.rollback);
    rig.core.close_session(rig.now, session);
    rig.settle();
    rig.core.on_transaction_began(rig.now, connection, at(1, 10));
    let answer = medlarstile::core::proxy::job::JobAnswer {
        rows: Vec::new(),
        result: Ok("signed".into()),
        transaction: TransactionState::Open,
        position: None,
        status: None,
    };
    rig.core.on_job_end(rig.now, connection, JobEnd::Answered(answer));
    rig.settle();
    assert!(rig.jobs.is_empty(), "a second rollback was sent: {:?}", rig.jobs);
    rig.core.on_job_end(rig.now, connection, JobEnd::RolledBack);
    rig.settle();
    assert!(rig.core.connection(connection).expect("it stays open").is_idle());
}

/// Guards against a write that runs twice: it is retried only if the refusal says that it did not
/// run.
#[parameterized(
    busy = { Refusal::Busy, true },
    not_primary = { Refusal::ReadOnly, true },
    failed = { Refusal::Failed, false },
    timed_out = { Refusal::TimedOut, false },
)]
fn a_single_write_is_sent_again_only_if_it_did_not_run(refusal: Refusal, again: bool) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, WRITE);
    let (connection, _, _) = rig.next_job();
    rig.refuse(connection, refusal, TransactionState::Idle);
    assert_eq!(rig.answers.is_empty(), again, "{:?}", rig.answers);
    if !again {
        rig.pass(200);
        let writes =
            rig.jobs.iter().filter(|(_, _, job)| matches!(job.work, Work::Statement { .. }));
        assert_eq!(writes.count(), 0);
    }
}

/// Guards against a wrong statement of whether a write ran, after its connection was lost.
#[parameterized(
    write_sent = { false, true, ErrorKind::OutcomeUnknown },
    commit_of_a_write = { true, true, ErrorKind::OutcomeUnknown },
    commit_of_a_read = { true, false, ErrorKind::TransactionLost },
)]
fn a_lost_connection_is_refused_with_the_right_error(commit: bool, writes: bool, kind: ErrorKind) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    if commit {
        rig.send(session, BEGIN);
        rig.send(session, if writes { WRITE } else { READ });
        let (connection, _, job) = rig.next_job();
        rig.succeed(connection, &job, TransactionState::Open);
        rig.send(session, Statement::Commit);
    } else {
        rig.send(session, WRITE);
    }
    let (connection, _, _) = rig.next_job();
    rig.lose(connection, true);
    let (_, answer, state) = rig.last_answer();
    assert_eq!((refused(answer), *state), (Some(kind), TransactionState::Idle));
}

/// Guards against a transaction that continues on another connection after its own was lost between
/// two statements.
#[test]
fn a_transaction_ends_with_its_connection() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, BEGIN);
    rig.send(session, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Open);
    rig.lose(connection, false);
    rig.send(session, WRITE);
    let (_, answer, state) = rig.last_answer();
    assert_eq!(refused(answer), Some(ErrorKind::TransactionLost));
    assert_eq!(*state, TransactionState::Failed);
    assert!(rig.jobs.is_empty());
    rig.send(session, Statement::Rollback);
    assert_eq!(rig.last_answer().2, TransactionState::Idle);
}

/// Guards against a transaction that goes on at another primary, without its first write, after its
/// endpoint has refused a setup step of a later statement: the commit was acknowledged.
#[parameterized(
    prepare = { false, Refusal::ReadOnly },
    variable_of_a_commit = { true, Refusal::ReadOnly },
    busy = { false, Refusal::Busy },
    lagging = { false, Refusal::Lagging },
    other = { true, Refusal::Other },
)]
fn a_transaction_ends_with_a_refused_setup_step(commit: bool, refusal: Refusal) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    let statement = PreparedStatement { access: Access::Write, text: "q".into() };
    rig.send(session, Statement::Prepare { name: "s".into(), statement });
    rig.send(session, BEGIN);
    rig.send(session, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Open);
    let next = if commit {
        rig.send(session, Statement::Set { name: "v".into(), value: "1".into() });
        Statement::Commit
    } else {
        Statement::Execute { name: "s".into(), arguments: "1 x".into() }
    };
    rig.send(session, next);
    let (again, _, job) = rig.next_job();
    assert_eq!((again, job.setup.len()), (connection, 1));
    rig.core.on_job_end(rig.now, connection, JobEnd::SetupRefused(refusal));
    rig.settle();
    rig.pass(400);
    let (_, answer, state) = rig.last_answer();
    assert_eq!(refused(answer), Some(ErrorKind::TransactionLost));
    let expected = if commit { TransactionState::Idle } else { TransactionState::Failed };
    assert_eq!(*state, expected);
    assert!(rig.closed.contains(&connection), "a transaction may still be open on it");
    assert!(rig.jobs.is_empty(), "{:?}", rig.jobs);
}

/// Guards against a statement that waits until its time limit on a connection that is lost: it had
/// been refused because all slots were occupied. The first statement of a transaction runs elsewhere.
#[parameterized(first = { true }, later = { false })]
fn a_statement_that_waits_for_a_slot_notices_the_loss_of_its_connection(first: bool) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, BEGIN);
    rig.send(session, WRITE);
    if !first {
        let (connection, _, job) = rig.next_job();
        rig.succeed(connection, &job, TransactionState::Open);
        rig.send(session, WRITE);
    }
    let (connection, _, _) = rig.next_job();
    rig.refuse(connection, Refusal::Busy, TransactionState::Open);
    rig.lose(connection, false);
    rig.pass(300);
    if first {
        let (again, _, job) = rig.next_job();
        assert!(again != connection && job.setup.len() == 1, "{job:?}");
    } else {
        assert_eq!(refused(&rig.last_answer().1), Some(ErrorKind::TransactionLost));
    }
}

/// Guards against session variables of one session that are visible in another.
#[test]
fn a_connection_is_set_to_the_variables_of_each_session() {
    let mut rig = Rig::new();
    let (one, two) = (rig.session(1, "orders"), rig.session(2, "orders"));
    rig.send(one, Statement::Set { name: "v".into(), value: "1".into() });
    rig.send(one, WRITE);
    let (connection, _, job) = rig.next_job();
    assert_eq!(job.setup, [Setup::Set("v".into(), "1".into())]);
    rig.succeed(connection, &job, TransactionState::Idle);
    rig.send(two, WRITE);
    let (again, _, job) = rig.next_job();
    assert_eq!((again, job.setup), (connection, vec![Setup::Reset]));
}

/// Guards against collisions between prepared statements of two sessions with the same name.
#[test]
fn names_of_prepared_statements_belong_to_their_session() {
    let mut rig = Rig::new();
    let (one, two) = (rig.session(1, "orders"), rig.session(2, "orders"));
    let statements =
        ["q1", "q2"].map(|text| PreparedStatement { access: Access::Write, text: text.into() });
    for (session, statement) in [one, two].into_iter().zip(statements.clone()) {
        rig.send(session, Statement::Prepare { name: "s".into(), statement });
    }
    for (session, (number, statement)) in [one, two].into_iter().zip((1..).zip(statements)) {
        let arguments = "1 x".into();
        rig.send(session, Statement::Execute { name: "s".into(), arguments });
        let (connection, _, job) = rig.next_job();
        assert!(job.setup.contains(&Setup::Prepare(PreparedId(number), statement)));
        rig.succeed(connection, &job, TransactionState::Idle);
    }
}

/// Guards against reads on a leaving replica, whose idle connections are still in the pool.
#[test]
fn a_leaving_replica_gets_no_reads() {
    let mut rig = Rig::new();
    let sessions: Vec<_> = (1..=8).map(|number| rig.session(number, "lookups")).collect();
    for session in &sessions {
        rig.send(*session, READ);
    }
    while let Some((connection, _, job)) = rig.jobs.pop_front() {
        rig.succeed(connection, &job, TransactionState::Idle);
    }
    let mut leaving = entry("b", false);
    leaving.leaving = true;
    leaving.version = RowVersion(2);
    rig.core.set_entries(rig.now, vec![entry("a", true), leaving, entry("c", false)]);
    for session in &sessions {
        rig.send(*session, READ);
    }
    rig.pass(40);
    assert!(!rig.jobs.is_empty());
    assert!(rig.jobs.iter().all(|(_, endpoint, _)| *endpoint != id("b")));
}

/// Guards against a key or route that still works after a newer configuration removed it, and
/// against a return to an older configuration.
#[test]
fn an_operation_follows_the_newest_configuration() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    let mut without_keys = catalog(2);
    without_keys.keys.clear();
    rig.core.set_catalog(rig.now, without_keys);
    rig.core.set_catalog(rig.now, catalog(1));
    rig.send(session, WRITE);
    assert_eq!(refused(&rig.last_answer().1), Some(ErrorKind::WrongKey));
    let mut without_routes = catalog(3);
    without_routes.routes.clear();
    rig.core.set_catalog(rig.now, without_routes);
    rig.send(session, WRITE);
    assert_eq!(refused(&rig.last_answer().1), Some(ErrorKind::NoRoute));
}

/// Guards against a stop that interrupts work: idle sessions are closed after the notice period, an
/// open transaction may continue until its commit.
#[test]
fn a_stop_lets_a_transaction_end() {
    let mut rig = Rig::new();
    let (idle, busy) = (rig.session(1, "orders"), rig.session(2, "orders"));
    rig.send(busy, BEGIN);
    rig.send(busy, WRITE);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Open);
    rig.core.stop(rig.now);
    rig.settle();
    assert!(!rig.core.is_ready());
    rig.pass(2_020);
    assert!(rig.other.contains(&ProxyEffect::CloseSession(idle)));
    assert!(!rig.other.contains(&ProxyEffect::CloseSession(busy)));
    rig.send(busy, Statement::Commit);
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Idle);
    assert!(matches!(rig.last_answer().1, Answer::Endpoint { .. }));
    assert!(rig.other.contains(&ProxyEffect::CloseSession(busy)));
}

/// Guards against requests that wait for a busy primary until their callers time out.
#[test]
fn a_request_without_a_free_connection_is_refused_in_time() {
    let mut rig = Rig::new();
    // The host tries to have one more connection each 0.2 s until it has its full share of 8.
    rig.pass(4_000);
    for number in 1..=12 {
        let session = rig.session(number, "orders");
        rig.send(session, WRITE);
    }
    rig.pass(100);
    let kinds: Vec<_> = rig.answers.iter().map(|(_, answer, _)| refused(answer)).collect();
    assert_eq!(kinds, vec![Some(ErrorKind::Overloaded); 4], "8 connections run 8 of 12 writes");
    assert!(ErrorKind::Overloaded.answer().ran == medlarstile::error::Ran::NotRun);
}

/// Guards against a host without the store that keeps a failed primary after another host has
/// promoted a replica: it must learn the new primary from the endpoints.
#[test]
fn a_host_without_the_store_finds_the_new_primary() {
    let mut rig = Rig::new();
    rig.leads = id("b");
    rig.unresponsive.push(id("a"));
    rig.pass(2_000);
    assert_eq!(rig.group().leader, Some(id("b")));
    let session = rig.session(1, "orders");
    rig.send(session, WRITE);
    let (_, endpoint, _) = rig.next_job();
    assert_eq!(endpoint, id("b"));
}
