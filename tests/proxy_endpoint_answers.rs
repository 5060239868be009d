//! Which statement an answer of an endpoint belongs to, when endpoints send answers again.

use bytes::Bytes;
use medlarstile::core::proxy::endpoint_answers::{
    AnswerResult, AnswersState, Attribution, EndpointAnswer, EndpointAnswers,
};
use medlarstile::core::proxy::job::{Job, JobPayload, Order, Refusal, Setup, Work};
use medlarstile::core::transaction::TransactionState::{self, Idle, Open};
use medlarstile::types::{Position, Term};
use yare::parameterized;

const BEGIN: Setup = Setup::Begin { read_only: false, after: None };

fn answer(result: AnswerResult, transaction: TransactionState, index: u64) -> EndpointAnswer {
    let rows = Vec::new();
    EndpointAnswer { rows, result, transaction, position: Some(Position::new(Term(1), index)) }
}

/// The answer to a startup message, to a setup step or rollback, a signed result, and a refusal.
fn ready() -> EndpointAnswer {
    answer(AnswerResult::None, Idle, 1)
}

fn done(transaction: TransactionState) -> EndpointAnswer {
    answer(AnswerResult::Done, transaction, 1)
}

fn signed(signature: &str, transaction: TransactionState) -> EndpointAnswer {
    answer(AnswerResult::Signed(signature.into()), transaction, 1)
}

fn refused(refusal: Refusal, transaction: TransactionState) -> EndpointAnswer {
    answer(AnswerResult::Refused(refusal, "e0".into()), transaction, 1)
}

fn status() -> EndpointAnswer {
    EndpointAnswer { rows: vec![Bytes::from("primary 1 1.1 0 0 0 0")], ..done(Idle) }
}

fn statement() -> Work {
    Work::Statement { id: "q1".into(), payload: JobPayload::Text("READ 1".into()), after: None }
}

fn set(value: &str) -> Setup {
    Setup::Set("tag".into(), value.into())
}

/// A connection that has run a job with each of `setup`, whose statement was answered with `first`,
/// and that runs another job with the same setup steps next.
struct Connection {
    answers: EndpointAnswers,
    job: Job,
}

impl Connection {
    fn open() -> Self {
        let mut answers = EndpointAnswers::default();
        assert_eq!(answers.on_answer(&ready()), Attribution::Awaited);
        let job = Job { setup: Vec::new(), work: statement(), rollback: false };
        Self { answers, job }
    }

    /// Runs a job up to the answers of its setup steps.
    fn start(&mut self, setup: Vec<Setup>, work: Work, rollback: bool) {
        self.job = Job { setup, work, rollback };
        self.answers.start(&self.job);
    }

    /// Sends the statement of the job.
    fn send_work(&mut self) {
        if self.job.work == Work::Nothing {
            self.answers.send_rollback();
        } else {
            self.answers.send_work();
        }
    }

    fn expect(&mut self, answer: &EndpointAnswer, attribution: Attribution) {
        assert_eq!(self.answers.on_answer(answer), attribution, "{answer:?}");
    }

    /// A read inside a transaction of the host, which was rolled back.
    fn run_wrapped_read(&mut self, signature: &str) {
        self.start(vec![BEGIN], statement(), true);
        self.expect(&done(Open), Attribution::Awaited);
        self.send_work();
        self.expect(&signed(signature, Open), Attribution::Awaited);
        self.answers.send_rollback();
        self.expect(&done(Idle), Attribution::Awaited);
    }
}

/// Guards against an earlier answer of any kind that is taken for the result of a statement: its
/// caller got rows and a signature that were not its own, or none.
#[parameterized(
    startup = { ready() },
    begin = { done(Open) },
    read = { signed("s1", Open) },
    rollback = { done(Idle) },
    a_status = { status() },
)]
fn an_earlier_answer_is_not_the_result_of_a_statement(earlier: EndpointAnswer) {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    connection.start(Vec::new(), statement(), false);
    connection.send_work();
    connection.expect(&earlier, Attribution::Repeated);
    connection.expect(&signed("s2", Idle), Attribution::Awaited);
    assert_eq!(connection.answers.state(), AnswersState::Idle);
}

/// Guards against an earlier answer that is taken for the answer to a setup step or a rollback, so that
/// a statement runs outside of its transaction or with the values of another session.
#[parameterized(
    startup = { ready() },
    read = { signed("s1", Open) },
    rollback = { done(Idle) },
)]
fn an_earlier_answer_does_not_start_a_transaction(earlier: EndpointAnswer) {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    connection.start(vec![BEGIN], statement(), true);
    connection.expect(&earlier, Attribution::Repeated);
    assert!(connection.answers.awaits_setup());
    connection.expect(&done(Open), Attribution::Awaited);
    assert!(!connection.answers.awaits_setup());
}

/// Guards against an earlier answer that ends a transaction before the endpoint has rolled it back.
#[parameterized(startup = { ready() }, begin = { done(Open) }, read = { signed("s1", Open) })]
fn an_earlier_answer_does_not_end_a_transaction(earlier: EndpointAnswer) {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    connection.start(Vec::new(), Work::Nothing, true);
    connection.send_work();
    connection.expect(&earlier, Attribution::Repeated);
    connection.expect(&done(Idle), Attribution::Awaited);
}

/// Guards against a transaction inside of which a session's values are set, and whose answers are taken
/// for repeated ones.
#[test]
fn setup_steps_are_answered_inside_a_transaction() {
    let mut connection = Connection::open();
    connection.start(vec![set("a"), BEGIN], statement(), false);
    connection.expect(&done(Idle), Attribution::Awaited);
    connection.expect(&done(Open), Attribution::Awaited);
    connection.send_work();
    connection.expect(&signed("s1", Open), Attribution::Awaited);
    connection.start(vec![set("b")], statement(), false);
    connection.expect(&done(Open), Attribution::Awaited);
    connection.send_work();
    connection.expect(&signed("s2", Idle), Attribution::Awaited);
    connection.start(vec![set("c")], statement(), false);
    connection.expect(&done(Open), Attribution::Repeated);
    connection.expect(&done(Idle), Attribution::Awaited);
}

/// Guards against a repeated acceptance of an earlier transaction that proves the lead of an endpoint
/// which has refused the present one.
#[parameterized(refused_read = { statement() }, refused_probe = { Work::Nothing })]
fn a_repeated_begin_proves_nothing(work: Work) {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    assert!(connection.answers.take_begin().is_some());
    connection.start(vec![BEGIN], work, true);
    connection.expect(&done(Open), Attribution::Awaited);
    connection.send_work();
    connection.expect(&refused(Refusal::ReadOnly, Idle), Attribution::Awaited);
    assert_eq!(connection.answers.take_begin(), None);
}

/// Guards against a proof that is lost although the endpoint has accepted the transaction.
#[parameterized(read = { statement(), signed("s2", Open) }, probe = { Work::Nothing, done(Idle) })]
fn an_accepted_begin_is_proven_by_the_next_answer(work: Work, next: EndpointAnswer) {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    assert!(connection.answers.take_begin().is_some());
    connection.start(vec![BEGIN], work, true);
    connection.expect(&done(Open), Attribution::Awaited);
    assert_eq!(connection.answers.take_begin(), None, "it may be the earlier one");
    connection.send_work();
    connection.expect(&next, Attribution::Awaited);
    assert!(connection.answers.take_begin().is_some());
}

/// Guards against an answer that is not recognized when it comes again, because a repeated one had been
/// taken for it the first time: it would prove a lead at a time that is long over.
#[test]
fn an_answer_that_was_displaced_is_remembered() {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    assert!(connection.answers.take_begin().is_some());
    connection.start(vec![BEGIN], statement(), true);
    connection.expect(&done(Open), Attribution::Awaited);
    connection.send_work();
    // The endpoint's answer to this begin, whose place was taken.
    connection.expect(&answer(AnswerResult::Done, Open, 2), Attribution::Repeated);
    connection.expect(&signed("s2", Open), Attribution::Awaited);
    assert_eq!(connection.answers.take_begin(), None);
    connection.answers.send_rollback();
    connection.expect(&done(Idle), Attribution::Awaited);
    connection.start(vec![BEGIN], statement(), true);
    connection.expect(&answer(AnswerResult::Done, Open, 2), Attribution::Awaited);
    assert_eq!(connection.answers.take_begin(), None, "it may be the earlier one");
}

/// Guards against a statement that waits for its time limit because the endpoint's answer fits nothing
/// and is dropped.
#[parameterized(
    success_without_a_signature = { statement(), answer(AnswerResult::Done, Idle, 9) },
    no_result = { statement(), answer(AnswerResult::None, Idle, 9) },
    order_without_a_row = { Work::Order(Order::Status), answer(AnswerResult::Done, Idle, 9) },
)]
fn an_unknown_answer_is_not_dropped(work: Work, found: EndpointAnswer) {
    let mut connection = Connection::open();
    connection.start(Vec::new(), work, false);
    connection.send_work();
    connection.expect(&found, Attribution::Unexpected);
}

/// Guards against a refusal that is accepted although the endpoint may have sent it before:
/// the statement would run twice, or its caller would be told that it did not run.
#[parameterized(
    busy = { Refusal::Busy },
    lagging = { Refusal::Lagging },
    not_primary = { Refusal::ReadOnly },
    failed = { Refusal::Failed },
)]
fn an_equal_refusal_is_unclear(refusal: Refusal) {
    let mut connection = Connection::open();
    for attribution in [Attribution::Awaited, Attribution::Unclear(refusal)] {
        connection.start(Vec::new(), statement(), false);
        connection.send_work();
        connection.expect(&refused(refusal, Idle), attribution);
    }
    let mut connection = Connection::open();
    for index in 1..3 {
        connection.start(Vec::new(), statement(), false);
        connection.send_work();
        let result = AnswerResult::Refused(refusal, "e0".into());
        connection.expect(&answer(result, Idle, index), Attribution::Awaited);
    }
}

/// Guards against an answer without a request that is attributed to a later statement, and against a
/// connection that is closed for an answer which changes nothing.
#[parameterized(
    startup = { ready(), Attribution::Repeated },
    begin = { done(Open), Attribution::Repeated },
    read = { signed("s1", Open), Attribution::Repeated },
    rollback = { done(Idle), Attribution::Repeated },
    unknown_result = { signed("s9", Idle), Attribution::Unexpected },
    unknown_refusal = { refused(Refusal::Busy, Idle), Attribution::Unexpected },
    unknown_transaction = { answer(AnswerResult::Done, Open, 9), Attribution::Unexpected },
)]
fn an_idle_connection_drops_only_known_answers(found: EndpointAnswer, attribution: Attribution) {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    connection.expect(&found, attribution);
}

/// Guards against the answer to a setup step that is taken for the status of an endpoint.
#[test]
fn an_order_is_answered_with_a_row() {
    let mut connection = Connection::open();
    connection.run_wrapped_read("s1");
    connection.start(Vec::new(), Work::Order(Order::Status), false);
    connection.send_work();
    for earlier in [done(Idle), done(Open), signed("s1", Open), ready()] {
        connection.expect(&earlier, Attribution::Repeated);
    }
    connection.expect(&status(), Attribution::Awaited);
}
