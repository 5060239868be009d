//! A group of emulated endpoints: replication, orders and faults.

#[path = "support/endpoint.rs"]
mod endpoint;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use endpoint::{group, Endpoint};
use postgres::Client;
use serde_json::{json, Value};
use yare::parameterized;

/// Time in which an endpoint that is cut off would have done what it must not do.
const SILENCE: Duration = Duration::from_millis(50);

fn state(error: &postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}

fn order(client: &mut Client, sql: &str) -> String {
    client.query_one(sql, &[]).expect("the order is obeyed").get(0)
}

fn write(client: &mut Client, text: &str) {
    client.execute("INSERT INTO note (text) VALUES ($1)", &[&text]).expect("the write is accepted");
}

fn group_with_table(arguments: &[&str]) -> ([Endpoint; 3], Client) {
    let mut group = group(arguments);
    let mut client = group[0].connect();
    client
        .batch_execute("CREATE TABLE note (text text PRIMARY KEY)")
        .expect("the table is created");
    for member in &mut group {
        member.wait_field("confirmed", "1:1");
    }
    (group, client)
}

/// Guards against replicas that diverge, accept writes, or do not learn what is confirmed.
#[test]
fn replicas_follow_the_primary() {
    let ([_a, mut b, mut c], mut client) = group_with_table(&[]);
    write(&mut client, "first");
    for replica in [&mut b, &mut c] {
        replica.wait_field("confirmed", "1:2");
        let mut reader = replica.connect();
        let row = reader.query_one("SELECT text FROM note", &[]).expect("a row");
        assert_eq!(row.get::<_, &str>(0), "first");
        let error = reader.execute("DELETE FROM note", &[]).expect_err("no primary");
        assert_eq!(state(&error), "25006");
        let error = reader.batch_execute("BEGIN; DELETE FROM note").expect_err("no primary");
        assert_eq!(state(&error), "25006");
        assert_eq!(replica.entries_with("first"), ["1:2"]);
    }
    assert_eq!(c.status(), "term=1 role=replica position=1:2 confirmed=1:2 fenced=1");
}

/// Guards against `confirmed` that counts what no majority holds, or a lag that is not kept.
#[test]
fn lag_delays_confirmation() {
    let ([mut a, mut b, mut c], mut client) = group_with_table(&[]);
    for replica in [&mut b, &mut c] {
        replica.control(json!({"op": "set", "lag_ms": 3_600_000}));
    }
    write(&mut client, "late");
    assert_eq!(a.field("position"), "1:2");
    assert_eq!(a.field("confirmed"), "1:1");
    assert_eq!(b.field("position"), "1:1");
    b.control(json!({"op": "set", "lag_ms": 20}));
    a.wait_field("confirmed", "1:2");
    assert_eq!(c.field("position"), "1:1");
}

/// Guards against a former primary that keeps entries which were never confirmed, keeps
/// connections over a rewind, or accepts writes after the fence; and against loss of confirmed
/// entries.
#[test]
fn promotion_discards_unconfirmed_entries_only() {
    let ([mut a, mut b, mut c], mut client) = group_with_table(&[]);
    write(&mut client, "kept");
    c.wait_field("confirmed", "1:2");
    a.control(json!({"op": "cut_replication", "members": ["b", "c"]}));
    write(&mut client, "gone");
    assert_eq!(a.field("confirmed"), "1:2");
    let mut open = a.connect();
    open.batch_execute("BEGIN; INSERT INTO note (text) VALUES ('open')").expect("still primary");
    let (mut to_b, mut to_c, mut to_a) = (b.connect(), c.connect(), a.connect());
    for client in [&mut to_b, &mut to_c, &mut to_a] {
        assert!(order(client, "SELECT group_fence('2')").ends_with("fenced=2"));
    }
    let error = client.execute("DELETE FROM note", &[]).expect_err("the primary is fenced");
    assert_eq!(state(&error), "25006");
    let error = open.batch_execute("COMMIT").expect_err("the primary is fenced");
    assert_eq!(state(&error), "25006");
    let promoted = order(&mut to_b, "SELECT group_promote('2')");
    assert_eq!(promoted, "term=2 role=primary position=2:3 confirmed=1:2 fenced=2");
    let follow = format!("SELECT group_follow('2', '{}')", b.postgres);
    order(&mut to_c, &follow);
    b.wait_field("confirmed", "2:3");
    // The cut stays until the answer is read: the rewind closes this connection too.
    let before = order(&mut to_a, &follow);
    assert!(before.starts_with("term=1 role=replica position=1:3"), "{before}");
    a.control(json!({"op": "cut_replication", "members": []}));
    a.wait_field("confirmed", "2:3");
    client.simple_query("SELECT 1").expect_err("the rewind closes connections");
    write(&mut to_b, "new");
    for member in [&mut a, &mut b, &mut c] {
        member.wait_field("position", "2:4");
        assert_eq!(member.entries_with("kept"), ["1:2"]);
        assert_eq!(member.entries_with("gone"), [""; 0]);
        assert_eq!(member.entries_with("new"), ["2:4"]);
    }
    let mut reader = a.connect();
    let rows = reader.query("SELECT text FROM note ORDER BY text", &[]).expect("rows");
    assert_eq!(rows.iter().map(|row| row.get(0)).collect::<Vec<&str>>(), ["kept", "new"]);
}

/// Guards against orders that are obeyed below the fence or against an order of the same term.
#[parameterized(
    fence_below = { "SELECT group_fence('2')" },
    promote_below = { "SELECT group_promote('2')" },
    follow_below = { "SELECT group_follow('2', 'X')" },
    follow_in_own_term = { "SELECT group_follow('3', 'X')" },
    unknown_address = { "SELECT group_follow('4', '127.0.0.1:1')" },
)]
fn orders_are_refused(sql: &str) {
    let ([mut a, b, _c], mut client) = group_with_table(&[]);
    order(&mut client, "SELECT group_promote('3')");
    let before = a.status();
    assert!(before.starts_with("term=3 role=primary position=3:2"), "{before}");
    let error = client.query(&sql.replace('X', &b.postgres), &[]).expect_err("a refusal");
    assert_eq!(state(&error), "55000");
    assert_eq!(order(&mut client, "SELECT group_promote('3')"), before);
}

/// Guards against an answer fault that suppresses the effect, repeats it, or hits another answer.
#[parameterized(
    drop_simple = { json!("drop"), "simple" },
    drop_extended = { json!("drop"), "extended" },
    truncate_simple = { json!({"truncate": 7}), "simple" },
    truncate_extended = { json!({"truncate": 7}), "extended" },
)]
fn lost_answers_leave_their_effect(fault: Value, protocol: &str) {
    let ([mut a, _b, _c], mut client) = group_with_table(&[]);
    let insert = client.prepare("INSERT INTO note (text) VALUES ('once')").expect("prepared");
    a.control(json!({"op": "next_answer", "fault": fault}));
    order(&mut a.connect(), "SHOW group_status");
    match protocol {
        "simple" => client.batch_execute("INSERT INTO note (text) VALUES ('once')").map(drop),
        _ => client.execute(&insert, &[]).map(drop),
    }
    .expect_err("the answer is lost");
    assert_eq!(a.entries_with("once"), ["1:2"]);
    write(&mut a.connect(), "next");
}

/// Guards against a frozen endpoint that answers, or that loses the statement it read.
#[test]
fn a_frozen_endpoint_is_silent() {
    let ([mut a, mut b, _c], mut client) = group_with_table(&[]);
    a.control(json!({"op": "freeze"}));
    let mut raw = TcpStream::connect(&a.postgres).expect("the system accepts");
    raw.write_all(&[0, 0, 0, 8, 4, 210, 22, 47]).expect("an SSL request");
    raw.set_read_timeout(Some(Duration::from_millis(50))).expect("a timeout can be set");
    let error = raw.read(&mut [0; 1]).expect_err("no answer");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    let writer = std::thread::spawn(move || write(&mut client, "thawed"));
    a.idle(SILENCE);
    assert_eq!(a.entries_with("thawed"), [""; 0]);
    a.control(json!({"op": "thaw"}));
    raw.set_read_timeout(None).expect("a timeout can be set");
    let mut answer = [0; 1];
    raw.read_exact(&mut answer).expect("an answer");
    assert_eq!(answer, *b"N");
    writer.join().expect("the write goes through");
    b.wait_field("position", "1:2");
}

/// Guards against a partition that lets replication or a client of a cut address through.
#[test]
fn a_partitioned_primary_confirms_nothing() {
    let ([mut a, mut b, _c], mut client) = group_with_table(&[]);
    a.control(json!({"op": "partition", "peers": ["b", "c", "far"]}));
    write(&mut client, "cut");
    let url = format!("postgres://proxy:proxy-password@{}/t?application_name=far", a.postgres);
    let far = std::thread::spawn(move || Client::connect(&url, postgres::NoTls).map(drop));
    a.idle(SILENCE);
    assert_eq!((a.field("confirmed"), b.field("position")), ("1:1".into(), "1:1".into()));
    assert_eq!(a.count("connections_admitted"), 1);
    a.control(json!({"op": "partition", "peers": []}));
    far.join().expect("the thread ends").expect("the login goes through");
    b.wait_field("confirmed", "1:2");
}

/// Guards against a restart that loses the log, the fence or the role.
#[test]
fn a_crash_keeps_log_and_fence() {
    let ([mut a, mut b, _c], mut client) = group_with_table(&[]);
    client.batch_execute("BEGIN; INSERT INTO note (text) VALUES ('open')").expect("runs");
    a.control(json!({"op": "crash"}));
    client.simple_query("SELECT 1").expect_err("the connection is closed");
    assert!(a.try_connect().is_err());
    a.control(json!({"op": "start"}));
    let mut client = a.connect();
    write(&mut client, "after");
    b.wait_field("confirmed", "1:2");
    assert_eq!(a.entries_with("open"), [""; 0]);
    order(&mut client, "SELECT group_fence('5')");
    a.control(json!({"op": "crash"}));
    a.control(json!({"op": "start"}));
    assert_eq!(a.status(), "term=1 role=replica position=1:2 confirmed=1:2 fenced=5");
    b.control(json!({"op": "crash"}));
    b.control(json!({"op": "start"}));
    b.wait_field("position", "1:2");
}

/// Guards against a change of the status that idle connections are not told.
#[test]
fn status_is_reported_unprompted() {
    let ([a, mut b, _c], mut client) = group_with_table(&[]);
    let mut raw = TcpStream::connect(&b.postgres).expect("accepted");
    raw.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout can be set");
    let parameters = b"\0\x03\0\0user\0proxy\0\0";
    raw.write_all(&(parameters.len() as u32 + 4).to_be_bytes()).expect("sent");
    raw.write_all(parameters).expect("sent");
    raw.write_all(b"p\0\0\0\x13proxy-password\0").expect("sent");
    let mut seen = Vec::new();
    let mut read_until = |wanted: &[u8]| {
        while !seen.windows(wanted.len()).any(|window| window == wanted) {
            let mut bytes = [0; 1_024];
            let count = raw.read(&mut bytes).expect("the endpoint reports");
            assert_ne!(count, 0, "the connection stays open");
            seen.extend_from_slice(&bytes[..count]);
        }
    };
    read_until(
        b"group_status\0term=1 role=replica position=1:1 confirmed=1:1 fenced=1\0Z\0\0\0\x05I",
    );
    write(&mut client, "news");
    read_until(b"group_status\0term=1 role=replica position=1:2 confirmed=1:2 fenced=1\0");
    b.wait_field("position", "1:2");
    drop(a);
}

/// Guards against a statement that takes its effect while the endpoint is frozen.
#[test]
fn a_running_statement_freezes_too() {
    let ([mut a, _b, _c], mut client) = group_with_table(&[]);
    a.control(json!({"op": "set", "service_time_us": 1_000_000}));
    let sql = "INSERT INTO note (text) VALUES ('slow')";
    let writer = std::thread::spawn(move || client.batch_execute(sql));
    a.wait_until("it runs", |a| a.count("slots_running") == 1);
    a.control(json!({"op": "freeze"}));
    a.idle(Duration::from_millis(1_100));
    assert_eq!(a.entries_with("slow"), [""; 0]);
    a.control(json!({"op": "thaw"}));
    writer.join().expect("the thread ends").expect("the write goes through");
    assert_eq!(a.entries_with("slow"), ["1:2"]);
}
