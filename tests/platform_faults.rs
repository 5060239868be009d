//! The client's behavior while the platform is down, slow or stale, or loses answers.

mod support;

use std::cell::Cell;

use medlarstile::core::cas::Outcome;
use medlarstile::core::rows::MonotonicRows;
use medlarstile::core::store::CallError;
use medlarstile::net::platform::{PlatformClient, PlatformSettings, SwapRequest};
use medlarstile::types::{AttemptId, CommitSeq, DurationMs, RowVersion};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use support::{id, rows, write, Emulator};
use yare::parameterized;

fn request(attempt: u64, expected: u64) -> SwapRequest {
    let row = (id("current"), json!({"attempt": attempt.to_string()}));
    SwapRequest::new(id("config"), row, RowVersion(expected), AttemptId(attempt))
}

fn swap(client: &PlatformClient, request: &SwapRequest) -> Outcome {
    client.swap(request, &mut ChaCha8Rng::seed_from_u64(1), |_: DurationMs| ())
}

/// Guards against a write that is repeated, or reported as a conflict with itself, when its answer
/// was lost, and against a false claim of success when another writer came first.
#[parameterized(
    no_fault = { json!({}), 0, Outcome::Applied(RowVersion(2)), 2 },
    lost = { json!({"lose_next": 1}), 0, Outcome::Applied(RowVersion(2)), 2 },
    lost_twice = { json!({"lose_next": 2, "lose_reads": true}), 0, Outcome::Applied(RowVersion(2)), 2 },
    stale_for_long = { json!({"lose_next": 1, "stale_commits": 1}), 0, Outcome::Unknown, 2 },
    down = { json!({"down": true}), 0, Outcome::Unknown, 1 },
    conflict = { json!({}), 9, Outcome::Conflict(RowVersion(0)), 1 },
    lost_conflict = { json!({"lose_next": 1}), 9, Outcome::Unknown, 1 },
)]
fn lost_answers(faults: Value, expected: u64, outcome: Outcome, commits: u64) {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    write(&client, "other", 0, json!(1));
    emulator.control(faults);
    assert_eq!(swap(&client, &request(7, expected)), outcome);
    assert_eq!(emulator.control(json!({}))["commit_seq"], json!(commits));
}

/// Guards against a lost answer that a stale read-back turns into a second write or a conflict.
#[test]
fn a_stale_read_back_is_repeated() {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    write(&client, "other", 0, json!(1));
    emulator.control(json!({"lose_next": 1, "stale_commits": 1}));
    let pauses = Cell::new(0);
    let pause = |delay: DurationMs| {
        if delay > DurationMs(0) {
            pauses.set(pauses.get() + 1);
            emulator.control(json!({"stale_commits": 0}));
        }
    };
    let outcome = client.swap(&request(7, 0), &mut ChaCha8Rng::seed_from_u64(1), pause);
    assert_eq!(outcome, Outcome::Applied(RowVersion(2)));
    assert_eq!(pauses.get(), 1);
    assert_eq!(emulator.control(json!({}))["total"]["conflicts"], 1);
}

/// Guards against a call that never ends because the platform does not answer.
#[parameterized(
    slow = { json!({"slow_ms": 600_000}) },
    silent = { json!({"down": true, "failure_mode": "silent"}) },
    frozen = { json!({"frozen": true}) },
    lost = { json!({"lose_next": 1, "lose_reads": true, "failure_mode": "silent"}) },
)]
fn calls_end_at_their_limit(faults: Value) {
    let emulator = Emulator::start();
    emulator.control(faults);
    let client = emulator.client_with_limit("a", 100);
    let error = client.read(&id("config"), None).unwrap_err();
    assert!(matches!(error, CallError::NoAnswer(_)), "{error}");
    assert!(!error.had_no_effect());
}

/// Guards against a call reported as possibly executed although the connection was refused.
#[test]
fn a_closed_port_proves_that_a_call_was_not_sent() {
    let emulator = Emulator::start();
    let settings = PlatformSettings::new(emulator.address, id("a"));
    drop(emulator);
    let client = PlatformClient::new(settings);
    assert!(client.read(&id("config"), None).unwrap_err().had_no_effect());
    assert_eq!(swap(&client, &request(7, 0)), Outcome::NotApplied);
}

/// Guards against a write that a frozen platform executes later although its caller gave it up as
/// not applied.
#[test]
fn a_write_held_by_a_frozen_platform_is_unknown() {
    let emulator = Emulator::start();
    emulator.control(json!({"frozen": true}));
    let client = emulator.client_with_limit("a", 100);
    assert_eq!(swap(&client, &request(7, 0).with_max_calls(1)), Outcome::Unknown);
    emulator.control(json!({"frozen": false}));
    assert_eq!(rows(&emulator.client("a"))[0].version, RowVersion(1));
}

/// Guards against an emulated network partition that affects other clients than the chosen ones.
#[test]
fn a_cut_off_client_is_alone() {
    let emulator = Emulator::start();
    emulator.control(json!({"refuse": ["a"]}));
    let read = |client: &str| emulator.client(client).read(&id("config"), None);
    assert!(matches!(read("a"), Err(CallError::NoAnswer(_))));
    assert!(read("b").is_ok());
    emulator.control(json!({"refuse": []}));
    assert!(read("a").is_ok());
}

/// Guards against a reader that goes back to older rows.
#[test]
fn a_stale_read_is_ignored() {
    let emulator = Emulator::start();
    let client = emulator.client("a");
    write(&client, "x", 0, json!("old"));
    write(&client, "x", 1, json!("new"));
    let mut reader = MonotonicRows::default();
    let mut read = || reader.accept(client.read(&id("config"), None).unwrap());
    assert_eq!(read().unwrap().rows[0].value, json!("new"));
    emulator.control(json!({"stale_commits": 1}));
    let stale = client.read(&id("config"), None).unwrap();
    assert_eq!((stale.commit_seq, &stale.rows[0].value), (CommitSeq(1), &json!("old")));
    assert_eq!(read().unwrap_err().seen, CommitSeq(1));
    emulator.control(json!({"stale_commits": 0}));
    assert_eq!(read().unwrap().commit_seq, CommitSeq(2));
    assert_eq!(reader.ignored(), 1);
}

/// Guards against a misspelled fault that is ignored, and against accepted calls that the interface
/// does not allow.
#[parameterized(
    control = { "/control", json!({"dwon": true}) },
    no_table = { "/v1/transaction", json!({"checks": [], "writes": [{"key": "a", "value": 1}]}) },
    bad_key = { "/v1/transaction", json!({"checks": [], "writes": [{"table": "t", "key": "a b", "value": 1}]}) },
    twice = { "/v1/transaction", json!({"checks": [], "writes": [{"table": "t", "key": "a", "value": 1}, {"table": "t", "key": "a", "value": 2}]}) },
)]
fn refuses_malformed_requests(path: &str, body: Value) {
    let emulator = Emulator::start();
    let answer = ureq::post(format!("http://{}{path}", emulator.address)).send_json(body);
    assert!(matches!(answer, Err(ureq::Error::StatusCode(400))), "{answer:?}");
}
