//! Malformed caller messages, unsupported statements, leaving endpoints and killed hosts.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use fleet::{sqlstate, Fleet};
use serde_json::json;
use yare::parameterized;

const TABLE: &str = "CREATE TABLE item (id int PRIMARY KEY, name text)";

fn startup() -> Vec<u8> {
    let parameters = b"user\0anyone\0database\0open\0\0";
    let length = u32::try_from(8 + parameters.len()).expect("a short message");
    [&length.to_be_bytes()[..], &196_608_u32.to_be_bytes(), parameters].concat()
}

fn frame(tag: u8, length: u32, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &length.to_be_bytes(), body].concat()
}

/// Sends bytes and returns everything the host sends until it closes the connection.
fn exchange(callers: &str, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(callers).expect("the host accepts");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout can be set");
    stream.write_all(bytes).expect("the host reads");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("the host closes the connection");
    answer
}

/// Guards against malformed messages that crash the host, hang the connection or get no SQLSTATE.
#[parameterized(
    old_protocol = { [&8_u32.to_be_bytes()[..], &131_072_u32.to_be_bytes()].concat(), "08P01" },
    huge_startup = { u32::MAX.to_be_bytes().repeat(2), "08P01" },
    no_user = { [&9_u32.to_be_bytes()[..], &196_608_u32.to_be_bytes(), b"\0"].concat(), "08P01" },
    unknown_message = { [startup(), frame(b'?', 4, b"")].concat(), "08P01" },
    short_length = { [startup(), frame(b'Q', 1, b"")].concat(), "08P01" },
    oversized_message = { [startup(), frame(b'Q', 5_000, b"")].concat(), "54000" },
    truncated_bind = { [startup(), frame(b'B', 6, b"\0\0")].concat(), "08P01" },
    copy_data = { [startup(), frame(b'd', 4, b"")].concat(), "0A000" },
)]
fn malformed_bytes_are_answered_with_an_sqlstate(bytes: Vec<u8>, expected: &str) {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let host = fleet.host("h1", &["--max-message-bytes", "4096"]);
    let answer = String::from_utf8_lossy(&exchange(&host.callers, &bytes)).into_owned();
    assert!(answer.contains(&format!("C{expected}\0")), "{answer:?}");
    host.open().simple_query("SELECT 1").expect("the host serves the next caller");
}

/// Guards against requests that are never read: those that arrived together, and are longer in all
/// than a read of the host takes in, stayed in the socket while the first ones ran.
#[test]
fn requests_that_arrive_together_are_all_answered() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let host = fleet.host("h1", &["--max-message-bytes", "4096"]);
    let text = format!("SELECT 1{}\0", " ".repeat(1_000));
    let query = frame(b'Q', u32::try_from(4 + text.len()).expect("a length"), text.as_bytes());
    let bytes = [startup(), query.repeat(40), frame(b'X', 4, b"")].concat();
    let answer = String::from_utf8_lossy(&exchange(&host.callers, &bytes)).into_owned();
    assert_eq!(answer.matches("SELECT 1\0").count(), 40);
}

/// Guards against a caller's key that is forwarded to an endpoint or accepted there as a password.
#[test]
fn a_key_stays_at_the_caller() {
    let mut fleet = Fleet::start(&[]);
    let key = fleet.add_keyed_route();
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.keyed(key.expose()).expect("the key is valid");
    client.batch_execute(TABLE).expect("the table is created");
    client.execute("INSERT INTO item VALUES (1, 'x')", &[]).expect("inserted");
    for endpoint in &mut fleet.endpoints {
        let log = endpoint.control(json!({"op": "log"})).to_string();
        assert!(!log.contains(key.expose()));
        let login = postgres::Client::connect(
            &format!("postgres://north:{}@{}/test", key.expose(), endpoint.postgres),
            postgres::NoTls,
        );
        assert!(login.is_err(), "an endpoint accepts the key as a password");
    }
}

/// Guards against new requests for an endpoint that an operator marked as leaving. A read counts as
/// sent elsewhere if the endpoint's statement count did not change; 200 such reads in a row pass.
#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let mut fleet = Fleet::start(&["--lag-ms", "1"]);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    client.batch_execute(TABLE).expect("the table is created");
    for pool in fleet.tables.pools.iter_mut().filter(|pool| pool.endpoint == "b") {
        pool.state = "leaving".into();
    }
    fleet.commit();
    let mut reads_elsewhere = 0;
    for _ in 0..4_000 {
        let before = fleet.endpoints[1].count("statements");
        client.query("SELECT id FROM item", &[]).expect("read");
        let unchanged = fleet.endpoints[1].count("statements") == before;
        reads_elsewhere = if unchanged { reads_elsewhere + 1 } else { 0 };
        if reads_elsewhere == 200 {
            return;
        }
    }
    panic!("the leaving endpoint still gets reads");
}

/// Guards against a transaction that is committed although its host was killed before the commit,
/// and against an acknowledged commit that is lost when the host is killed.
#[test]
fn a_host_that_dies_leaves_no_half_transaction() {
    let mut fleet = Fleet::start(&["--lag-ms", "1"]);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    client.batch_execute(TABLE).expect("the table is created");
    let mut transaction = client.transaction().expect("BEGIN");
    transaction.execute("INSERT INTO item VALUES (1, 'first')", &[]).expect("inserted");
    transaction.commit().expect("acknowledged");
    let mut transaction = client.transaction().expect("BEGIN");
    transaction.execute("INSERT INTO item VALUES (2, 'second')", &[]).expect("inserted");
    drop(host);
    assert!(transaction.commit().is_err(), "the commit was acknowledged");
    assert_eq!(fleet.endpoints[0].entries_with("first").len(), 1);
    assert_eq!(fleet.endpoints[0].entries_with("second").len(), 0);
}

/// Guards against statements of two transactions that run on the same endpoint connection.
#[test]
fn transactions_do_not_mix() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let (mut first, mut second) = (host.open(), host.open());
    first.batch_execute(TABLE).expect("the table is created");
    let mut first_transaction = first.transaction().expect("BEGIN");
    first_transaction.execute("INSERT INTO item VALUES (1, 'one')", &[]).expect("inserted");
    let mut second_transaction = second.transaction().expect("BEGIN");
    second_transaction.execute("INSERT INTO item VALUES (2, 'two')", &[]).expect("inserted");
    let row = second_transaction.query_one("SELECT count(*) FROM item", &[]).expect("read");
    assert_eq!(row.get::<_, i64>(0), 1, "an uncommitted row of another transaction is visible");
    first_transaction.rollback().expect("ROLLBACK");
    second_transaction.commit().expect("COMMIT");
    let row = first.query_one("SELECT name FROM item", &[]).expect("one row");
    assert_eq!(row.get::<_, &str>(0), "two");
}

/// Guards against session state that leaks to the next session on the same endpoint connection.
/// Statements that create such state are refused.
#[test]
fn unsupported_statements_are_refused() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    for sql in ["SET work_mem = '1MB'", "COPY item FROM STDIN", "LISTEN news"] {
        let error = client.simple_query(sql).expect_err("the statement is refused");
        assert_eq!(sqlstate(&error), "0A000", "{sql}");
    }
    client.simple_query("SELECT 1").expect("the session goes on");
}
