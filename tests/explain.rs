//! Tests that the cause of a failed request can be found by its id from log lines alone.

mod proxy_rig;

use std::io::Write;
use std::sync::{Arc, Mutex};

use medlarstile::commands::explain::{chain, describe, LogLine};
use medlarstile::core::proxy::job::Refusal;
use medlarstile::core::proxy::statement::{Access, Statement};
use medlarstile::core::proxy::ProxyEffect;
use medlarstile::core::transaction::TransactionState;
use medlarstile::logs::{bounded, LineBudget};
use medlarstile::net::proxy::report::Report;
use proxy_rig::{id, Rig};
use tracing_subscriber::fmt::MakeWriter;
use yare::parameterized;

const WRITE: Statement = Statement::Data(Access::Write);
const READ: Statement = Statement::Data(Access::Read);

/// Collects log lines in memory.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Log lines that a host writes during `run`.
fn log_of(run: impl FnOnce(&mut Rig)) -> Vec<LogLine> {
    let lines = Lines::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_span_list(false)
        .with_writer(lines.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let span = tracing::info_span!("host", host = "h1", incarnation = 1);
        let _entered = span.enter();
        let mut rig = Rig::new();
        run(&mut rig);
        let report = Report::new();
        for effect in &rig.other {
            if let ProxyEffect::Ended(ended) = effect {
                report.on_ended(ended);
            }
        }
    });
    let bytes = lines.0.lock().expect("the lines").clone();
    String::from_utf8(bytes).expect("text").lines().filter_map(LogLine::read).collect()
}

fn refused_without_a_primary(rig: &mut Rig) {
    rig.unresponsive = vec![id("a"), id("b"), id("c")];
    rig.pass(3_000);
    let session = rig.session(1, "orders");
    rig.send(session, WRITE);
    rig.pass(1_200);
}

fn unknown_after_a_lost_connection(rig: &mut Rig) {
    let session = rig.session(1, "orders");
    rig.send(session, WRITE);
    let (connection, _, _) = rig.next_job();
    rig.lose(connection, true);
}

fn late_after_lagging_replicas(rig: &mut Rig) {
    let session = rig.session(1, "lookups");
    rig.send(session, READ);
    for _ in 0..2 {
        let (connection, _, _) = rig.next_job();
        rig.now = medlarstile::types::Timestamp(rig.now.0 + 60_000);
        rig.refuse(connection, Refusal::Lagging, TransactionState::Idle);
    }
    let (connection, _, job) = rig.next_job();
    rig.now = medlarstile::types::Timestamp(rig.now.0 + 60_000);
    rig.succeed(connection, &job, TransactionState::Idle);
}

/// Guards against a failed request whose cause cannot be found by its id: the chain of log lines
/// must contain the end of the request and the line that names the injected fault.
#[parameterized(
    refused = {
        refused_without_a_primary, "outcome=Overloaded", "closed a connection that does not answer"
    },
    unknown = { unknown_after_a_lost_connection, "outcome=OutcomeUnknown", "cause=reset" },
    late = { late_after_lagging_replicas, "outcome=answered", "refusal=Lagging" },
)]
fn the_chain_contains_the_fault(run: fn(&mut Rig), outcome: &str, fault: &str) {
    let lines = log_of(run);
    let text: Vec<String> = chain(lines, "q1").iter().map(describe).collect();
    let has = |part: &str| text.iter().any(|line| line.contains(part));
    assert!(has(outcome) && has("request=q1"), "{text:#?}");
    assert!(has(fault), "{text:#?}");
}

/// Guards against log lines without their host's name and against caller keys in the log.
#[test]
fn every_line_names_its_host_and_no_key() {
    let lines = log_of(refused_without_a_primary);
    assert!(!lines.is_empty());
    for line in &lines {
        let text = describe(line);
        assert!(text.contains(" h1 "), "{text}");
        assert!(!text.contains(proxy_rig::KEY), "{text}");
    }
}

/// Guards against a flood of log lines: each module may write a limited number per second.
#[test]
fn lines_are_limited_per_module_and_second() {
    let budget = LineBudget::default();
    let written = |second, module| (0..1_000).filter(|_| budget.take(second, module)).count();
    assert_eq!((written(1, "pool"), written(1, "request")), (100, 100));
    assert_eq!((written(1, "pool"), written(2, "pool")), (0, 100));
}

/// A log output that blocks because nobody reads it.
struct BlockedOutput(std::sync::mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        // Returns only when the test ends.
        Err(self.0.recv().map_or_else(std::io::Error::other, |()| std::io::Error::other("ended")))
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a blocked log output that delays requests: lines are dropped and counted instead.
#[test]
fn a_blocked_output_drops_lines_without_delay() {
    let (end_test, blocked) = std::sync::mpsc::channel();
    let (mut writer, guard) = bounded(BlockedOutput(blocked));
    let dropped = writer.error_counter();
    for _ in 0..100_000 {
        writer.write_all(b"{}\n").expect("a lossy writer takes every line");
    }
    assert!(dropped.dropped_lines() > 90_000, "{}", dropped.dropped_lines());
    drop(end_test);
    drop(guard);
}
