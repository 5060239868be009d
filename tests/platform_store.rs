//! The emulator's table service, object store and host list, called through the blocking client.

mod support;

use std::net::SocketAddr;

use medlarstile::core::rows::{HostRow, HostState};
use medlarstile::core::store::{Check, Commit, ListedState, Row, Transaction, Write};
use medlarstile::types::{AttemptId, CommitSeq, Incarnation, Renewals, RowVersion};
use medlarstile::wire::rows::JsonRow;
use serde_json::{json, Value};
use support::{id, rows, swap, write, Emulator};
use yare::parameterized;

fn conflict(key: &str, version: u64) -> Commit {
    let check = Check { table: id("config"), key: id(key), version: RowVersion(version) };
    Commit::Conflicts(vec![check])
}

/// Guards against a lost update: a write with an outdated version must change nothing.
#[parameterized(
    absent_expected = { 0, Commit::Conflicts(vec![]) },
    older_expected = { 1, Commit::Conflicts(vec![]) },
    newer_expected = { 9, Commit::Conflicts(vec![]) },
    present_expected = { 2, Commit::Committed(CommitSeq(3)) },
)]
fn compare_and_set(expected: u64, outcome: Commit) {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    write(&client, "current", 0, json!("first"));
    write(&client, "current", 1, json!("second"));
    let seen = client.transact(swap("config", "current", expected, json!("third"))).unwrap();
    match outcome {
        Commit::Committed(_) => assert_eq!(seen, outcome),
        Commit::Conflicts(_) => {
            assert_eq!(seen, conflict("current", 2));
            assert_eq!(rows(&client)[0].value, json!("second"));
        }
    }
}

/// Guards against a partly applied transaction: one failed check must prevent every write.
#[test]
fn a_transaction_is_atomic() {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    write(&client, "a", 0, json!(1));
    let mut both = swap("config", "a", 1, json!(2));
    both.checks.push(Check { table: id("config"), key: id("b"), version: RowVersion(7) });
    both.writes.push(Write { table: id("config"), key: id("b"), value: Some(json!(2)) });
    assert_eq!(client.transact(both).unwrap(), conflict("b", 0));
    let read = client.read(&id("config"), None).unwrap();
    assert_eq!(read.commit_seq, CommitSeq(1));
    assert_eq!(read.rows, [Row { key: id("a"), value: json!(1), version: RowVersion(1) }]);
}

/// Guards against a deleted row that still counts as present, and against reused versions.
#[test]
fn a_deleted_row_is_absent() {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    write(&client, "a", 0, json!(1));
    let delete = Transaction::swap(id("config"), id("a"), RowVersion(1), None);
    assert_eq!(client.transact(delete).unwrap(), Commit::Committed(CommitSeq(2)));
    assert!(rows(&client).is_empty());
    assert_eq!(write(&client, "a", 0, json!(2)), CommitSeq(3));
}

/// Guards against rows of other keys or tables in a read.
#[parameterized(all = { None, &["host-1", "host-2", "other"] }, prefix = { Some("host-"), &["host-1", "host-2"] }, one = { Some("other"), &["other"] }, none = { Some("z"), &[] })]
fn reads_by_prefix(prefix: Option<&str>, expected: &[&str]) {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    for key in ["other", "host-2", "host-1"] {
        write(&client, key, 0, json!(key));
    }
    client.transact(swap("groups", "host-9", 0, json!(1))).unwrap();
    let prefix = prefix.map(id);
    let read = client.read(&id("config"), prefix.as_ref()).unwrap();
    let keys: Vec<&str> = read.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, expected);
}

/// Guards against objects that are altered, and against listed names without the prefix.
#[test]
fn objects_are_stored_whole() {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    let segment: Vec<u8> = (0..300_000_u32).map(|n| n as u8).collect();
    client.put_object(&id("timeline/host-1/1"), &segment).unwrap();
    client.put_object(&id("timeline/host-1/1"), &segment[1..]).unwrap();
    client.put_object(&id("other/1"), &[]).unwrap();
    assert_eq!(client.get_object(&id("timeline/host-1/1")).unwrap().unwrap(), segment[1..]);
    assert_eq!(client.get_object(&id("timeline/host-1/2")).unwrap(), None);
    assert_eq!(client.list_objects(Some(&id("timeline/"))).unwrap(), [id("timeline/host-1/1")]);
    assert_eq!(client.list_objects(None).unwrap().len(), 2);
}

fn host_row(state: HostState) -> Value {
    let row = HostRow {
        host: id("host-1"),
        incarnation: Incarnation(5),
        address: id("127.0.0.1:7000"),
        failure_domain: id("east"),
        state,
        confirmed: None,
        renewals: Renewals(0),
        registered: None,
        members_seen: None,
        attempt: AttemptId(u64::MAX),
    };
    JsonRow::from(&row).1
}

/// Guards against an emulated host list without lag, which would hide faults in handling the lag.
#[test]
fn the_host_list_lags() {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    let listed = || client.hosts().unwrap().first().map(|host| (host.address, host.state));
    let address: SocketAddr = id("127.0.0.1:7000");
    client.transact(swap("hosts", "host-1", 0, host_row(HostState::Starting))).unwrap();
    assert_eq!(listed(), None);
    client.transact(swap("hosts", "host-1", 1, host_row(HostState::Live))).unwrap();
    assert_eq!(listed(), Some((address, ListedState::Live)));
    emulator.control(json!({"list_lag_ms": 3_600_000}));
    client.transact(swap("hosts", "host-1", 2, host_row(HostState::Leaving))).unwrap();
    assert_eq!(listed(), Some((address, ListedState::Live)));
    emulator.control(json!({"list_lag_ms": 0}));
    assert_eq!(listed(), Some((address, ListedState::Leaving)));
    emulator.control(json!({"hosts": []}));
    assert_eq!(listed(), None);
}

/// Guards against uncounted calls; capacity figures are derived from the counters.
#[test]
fn counts_calls_by_client() {
    let emulator = Emulator::start();
    let (a, b) = (emulator.client("a"), emulator.client("b"));
    write(&a, "x", 0, json!(1));
    rows(&a);
    rows(&b);
    b.transact(swap("config", "x", 0, json!(2))).unwrap();
    let report = emulator.control(json!({}));
    let count = |client: &str, name: &str| report["clients"][client][name].as_u64().unwrap();
    assert_eq!([count("a", "writes"), count("a", "reads"), count("a", "conflicts")], [1, 1, 0]);
    assert_eq!([count("b", "writes"), count("b", "reads"), count("b", "conflicts")], [0, 1, 1]);
    assert_eq!(report["total"]["reads"], 2);
}
