//! Prepared statements from the caller's message to the lines that the endpoint gets.

mod proxy_rig;

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use medlarstile::core::proxy::statement::Statement;
use medlarstile::core::transaction::TransactionState;
use medlarstile::platform::line::{self, CallerMessage, MAX_LINE_BYTES};
use medlarstile::types::SessionId;
use proxy_rig::Rig;
use yare::parameterized;

/// Bytes of a statement's text that stays within the limit of a message, but not if it is sent twice.
const LONG_BYTES: usize = 600 * 1024;

/// An endpoint that splits lines into fields as the protocol says: at single blanks, and the last
/// field extends to the end of the line.
#[derive(Default)]
struct Endpoint {
    prepared: BTreeMap<String, String>,
}

impl Endpoint {
    /// Processes the lines of a job; returns the access and text of the statement that an `EXECUTE`
    /// runs, and its arguments.
    fn run(&mut self, lines: &str) -> Option<(String, String)> {
        let mut executed = None;
        for line in lines.split_terminator("\r\n") {
            assert!(line.len() < MAX_LINE_BYTES, "a line of {} bytes", line.len());
            let (_, text) = line.strip_prefix("QUERY ")?.split_once(' ')?;
            let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
            let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            match word {
                "PREPARE" => drop(self.prepared.insert(name.into(), rest.into())),
                "EXECUTE" => executed = Some((self.prepared.get(name)?.clone(), rest.into())),
                "RESET" => self.prepared.clear(),
                _ => {}
            }
        }
        executed
    }
}

fn statement(text: &str) -> Statement {
    let line = Bytes::from(format!("QUERY q1 {text}"));
    match line::read_caller(&line) {
        Ok(CallerMessage::Query(Ok(query))) => query.statement,
        other => panic!("{other:?}"),
    }
}

/// Prepares `shape` and executes it; returns what the endpoint runs.
fn run(
    rig: &mut Rig,
    endpoint: &mut Endpoint,
    session: SessionId,
    shape: &str,
) -> Option<(String, String)> {
    rig.send(session, statement(&format!("PREPARE s1 {shape}")));
    rig.send(session, statement("EXECUTE s1 plate-17 done"));
    let (connection, _, job) = rig.next_job();
    let mut lines = BytesMut::new();
    for step in &job.setup {
        line::write_setup(&mut lines, step);
    }
    line::write_work(&mut lines, &job.work);
    rig.succeed(connection, &job, TransactionState::Idle);
    endpoint.run(std::str::from_utf8(&lines).expect("text"))
}

/// Guards against a prepared statement whose text is taken for other fields of a message, so that the
/// endpoint runs another statement than the caller prepared.
#[parameterized(
    plain = { "WRITE q2" },
    access_word_inside = { "WRITE sign WRITE off" },
    other_access_word_inside = { "WRITE sign READ off" },
    other_word_inside = { "WRITE sign plate off" },
    blank_at_the_start = { "WRITE  q2" },
    blank_at_the_end = { "WRITE q2 " },
    only_a_blank = { "WRITE  " },
    empty = { "WRITE " },
    tab = { "WRITE sign\toff" },
    other_letters = { "WRITE Prüfung – geprüft" },
    long = { &format!("WRITE {}", "x".repeat(LONG_BYTES)) },
)]
fn an_endpoint_runs_the_statement_that_was_prepared(shape: &str) {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    let found = run(&mut rig, &mut Endpoint::default(), session, shape);
    assert!(found == Some((shape.into(), "plate-17 done".into())), "{:.200}", format!("{found:?}"));
}

/// Guards against two statements that get the same name on a connection that several sessions use,
/// also after the endpoint has dropped its statements.
#[test]
fn statements_of_one_connection_keep_apart() {
    let mut rig = Rig::new();
    let mut endpoint = Endpoint::default();
    let shapes = ["WRITE off", "WRITE sign WRITE off", "READ off", "WRITE off WRITE", "WRITE p1"];
    for (number, shape) in (1..).zip(shapes.iter().chain(&shapes).chain(&shapes)) {
        let session = rig.session(number, "orders");
        if number == 8 {
            // The next session has no variable, so the connection is reset for it.
            rig.send(session, statement("SET v 1"));
        }
        let found = run(&mut rig, &mut endpoint, session, shape);
        assert_eq!(found, Some(((*shape).into(), "plate-17 done".into())), "use {number}");
    }
}
