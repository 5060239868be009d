//! Answers of endpoints that answer twice, and texts with line ends, through real host processes.

use std::time::Duration;

use yare::parameterized;

#[allow(dead_code)]
mod host_process;
mod line_caller;
#[allow(dead_code)]
mod line_endpoint_double;
mod line_hosts;
#[allow(dead_code)]
mod platform_store_double;
mod ports;

use line_caller::LineAnswer;
use line_endpoint_double::Endpoint;
use line_hosts::{open, start_hosts};

/// Asserts that an answer of the double holds this row and the double's own signature.
fn assert_own(answer: &LineAnswer, row: &str) {
    let rows: Vec<_> = answer.rows.iter().map(|row| String::from_utf8_lossy(row)).collect();
    assert_eq!(rows, [row]);
    assert!(answer.result.starts_with("read."), "{}", answer.result);
}

/// Guards against an answer that is taken for the answer to a later statement, because the endpoint
/// has sent it again: a caller gets rows and a signature that are not its own.
#[parameterized(
    during_the_next_statement = { 1, 20 },
    several_statements_later = { 1, 170 },
    relayed = { 4, 20 },
)]
fn a_repeated_answer_is_not_taken_for_another_statement(hosts: usize, repeat_after_ms: u64) {
    let repeat_after = Some(Duration::from_millis(repeat_after_ms));
    let endpoint = Endpoint::start("read", repeat_after, false);
    let hosts = start_hosts(&endpoint, hosts);
    let mut caller = open(&hosts);
    let long_row = "x".repeat(line_endpoint_double::ROW_BYTES);
    for number in 0..10 {
        let item = format!("name-{number}");
        let answer = caller.ask(format!("READ {item}").as_bytes()).expect("an answer");
        assert_own(&answer, &item);
        // Earlier answers arrive again while this statement runs.
        assert_own(&caller.ask(b"READ wait-60").expect("an answer"), &long_row);
    }
}

/// Guards against a transaction whose statements or commit get the answers of earlier ones, and
/// against one that is ended because an earlier answer has arrived again.
#[parameterized(own = { 1 }, relayed = { 4 })]
fn a_transaction_goes_on_beside_repeated_answers(hosts: usize) {
    let endpoint = Endpoint::start("read", Some(Duration::from_millis(20)), false);
    let mut hosts = start_hosts(&endpoint, hosts);
    let mut caller = open(&hosts);
    for number in 0..5 {
        assert_eq!(caller.ask(b"BEGIN").expect("an answer").state, "T");
        let item = format!("name-{number}");
        let answer = caller.ask(format!("READ {item}").as_bytes()).expect("an answer");
        assert_own(&answer, &item);
        caller.ask(b"SET tag x").expect("an answer");
        let written = caller.ask(b"WRITE item 12345").expect("an answer");
        assert!(written.result.starts_with("5."), "{written:?}");
        // Earlier answers arrive while the transaction is idle.
        std::thread::sleep(Duration::from_millis(30));
        let committed = caller.ask(b"COMMIT").expect("an answer");
        assert!(committed.result.starts_with("read."), "{committed:?}");
        assert_eq!(committed.state, "I");
    }
    hosts[0].wait_for("endpoint: dropped a repeated answer");
}

/// Guards against a refusal that is taken for the answer to another caller's statement, or repeated
/// answers that reach other callers of the same account.
#[parameterized(own_soon = { 1, 3 }, own_late = { 1, 25 }, relayed = { 4, 25 })]
fn refusals_beside_repeated_answers(hosts: usize, repeat_after_ms: u64) {
    let repeat_after = Some(Duration::from_millis(repeat_after_ms));
    let endpoint = Endpoint::start("read", repeat_after, false);
    let hosts = start_hosts(&endpoint, hosts);
    std::thread::scope(|scope| {
        for number in 0..4 {
            let mut caller = open(&hosts);
            scope.spawn(move || {
                for item in 0..40 {
                    let kind = if item % 3 == 0 { "busy" } else { "name" };
                    let item = format!("{kind}-{}", number * 100 + item);
                    let answer = caller.ask(format!("READ {item}").as_bytes());
                    assert_own(&answer.expect("an answer"), &item);
                }
            });
        }
    });
}
