//! Answers that a relaying host gives by itself, and those that the home of the session owes.

use medlarstile::core::proxy::relay::RelayLedger;
use medlarstile::core::proxy::statement::{Access, PreparedStatement, Query, Statement};
use yare::parameterized;

fn query(statement: Statement) -> Query {
    Query { id: "q1".into(), statement, text: "".into() }
}

fn set() -> Statement {
    Statement::Set { name: "v0".into(), value: "1".into() }
}

fn prepare() -> Statement {
    let statement = PreparedStatement { access: Access::Write, text: "q".into() };
    Statement::Prepare { name: "s0".into(), statement }
}

const READ: Statement = Statement::Data(Access::Read);
const BEGIN: Statement = Statement::Begin { read_only: false };

/// A session with these statements relayed, of which the first `answered` have their answers.
fn ledger(relayed: &[Statement], answered: usize, is_idle: bool) -> RelayLedger {
    let mut ledger = RelayLedger::default();
    for statement in relayed {
        let described = ledger.describe(&query(statement.clone()));
        ledger.relay(described);
    }
    for _ in 0..answered {
        ledger.on_answered(is_idle);
    }
    ledger
}

/// Guards against setup statements that wait for two crossings, against an answer that overtakes an
/// earlier one, and against one that a transaction may refuse.
#[parameterized(
    set_first = { &[], 0, true, set(), true },
    prepare_first = { &[], 0, true, prepare(), true },
    close = { &[], 0, true, Statement::Close { name: "s0".into() }, true },
    after_an_answer = { &[READ], 1, true, set(), true },
    before_an_answer = { &[READ], 0, true, set(), false },
    in_a_transaction = { &[BEGIN], 1, false, set(), false },
    after_a_transaction = { &[BEGIN, Statement::Commit], 2, true, prepare(), true },
    needs_admission = { &[], 0, true, BEGIN, false },
    needs_an_endpoint = { &[], 0, true, READ, false },
    may_fail = { &[], 0, true, Statement::Commit, false },
)]
fn setup_is_answered_here(
    relayed: &[Statement],
    answered: usize,
    is_idle: bool,
    next: Statement,
    is_answered: bool,
) {
    assert_eq!(ledger(relayed, answered, is_idle).answers_here(&next), is_answered);
}

/// Guards against a second answer to a statement that was answered here, and against a dropped
/// answer that the caller waits for.
#[test]
fn only_the_answers_to_deferred_statements_are_dropped() {
    let mut ledger = RelayLedger::default();
    ledger.defer();
    ledger.defer();
    assert!(ledger.is_settled() && !ledger.drops_next());
    let described = ledger.describe(&query(READ));
    ledger.relay(described);
    let dropped: Vec<bool> = (0..3)
        .map(|_| {
            let drops = ledger.drops_next();
            ledger.on_answered(true);
            drops
        })
        .collect();
    assert_eq!(dropped, [true, true, false]);
    assert!(ledger.is_settled());
}

/// Guards against a caller that is told "not run" for a write behind a deferred statement when the
/// home is lost.
#[test]
fn a_write_after_setup_may_have_run() {
    let mut ledger = RelayLedger::default();
    ledger.defer();
    let described = ledger.describe(&query(Statement::Data(Access::Write)));
    ledger.relay(described);
    let awaited: Vec<_> = ledger.awaited().collect();
    assert!(awaited.len() == 1 && awaited[0].may_commit && !awaited[0].in_transaction);
}
