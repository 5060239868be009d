//! Tests of the operator commands against a fleet of host processes.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use std::fs;
use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use fleet::{route, sqlstate, Fleet};
use medlarstile::commands::tables::issue_key;
use medlarstile::tables::Tables;
use medlarstile::wire::tables::{read_config, write_toml, Config};
use postgres::Client;
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;
use serde_json::{json, Value};
use support::id;

const BINARY: &str = env!("CARGO_BIN_EXE_medlarstile");

fn with_environment(mut command: Command, fleet: &Fleet, editor: &str) -> Command {
    command
        .env("MEDLARSTILE_LOG", "warn")
        .env("MEDLARSTILE_PLATFORM", fleet.platform.address.to_string())
        .env("MEDLARSTILE_EDITOR", editor)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn run(fleet: &Fleet, arguments: &[&str]) -> Output {
    let mut command = Command::new(BINARY);
    command.args(arguments);
    with_environment(command, fleet, "test").output().expect("the binary runs")
}

/// Runs a command that must succeed and returns its JSON output.
fn run_json(fleet: &Fleet, arguments: &[&str]) -> Value {
    let output = run(fleet, &[arguments, &["--format", "json"]].concat());
    assert!(output.status.success(), "{arguments:?}: {}", text(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("one JSON object")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn write_tables_file(name: &str, tables: &Tables) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("operator_{name}.toml"));
    fs::write(&path, write_toml(tables).expect("the tables can be written")).expect("written");
    path.to_str().expect("a text").to_owned()
}

fn accepted_config(fleet: &Fleet) -> Config {
    let rows = support::rows(&fleet.platform.client("test"));
    read_config(&rows[0].value.to_string()).expect("the row holds tables")
}

/// Guards against an edit reported as in force before every host uses it, against a `key issue`
/// that does not print the key, and against output of `tables show` that `tables edit` rejects.
#[test]
fn an_edit_in_force_is_in_force_on_every_host() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let hosts = [fleet.host("h1", &[]), fleet.host("h2", &[])];
    let key = fleet.add_keyed_route();
    let path = write_tables_file("in_force", &fleet.tables);
    let result = run_json(&fleet, &["tables", "edit", &path, "--yes"]);
    let logins = hosts.each_ref().map(|host| host.keyed(key.expose()).is_ok());
    assert_eq!(logins, [true, true], "{result}");
    assert_eq!((&result["state"], &result["version"]), (&json!("in_force"), &json!(2)));
    let issue = ["key", "issue", "--account", "north", "--label", "second", "--yes"];
    let issued = run_json(&fleet, &issue);
    let second = issued["key"].as_str().expect("the key is printed");
    assert!(hosts.iter().all(|host| host.keyed(second).is_ok()), "{}", issued["state"]);
    let shown = run(&fleet, &["tables", "show"]);
    let path = path.replace("in_force", "shown");
    fs::write(&path, &shown.stdout).expect("written");
    let again = run_json(&fleet, &["tables", "edit", &path, "--yes"]);
    assert_eq!(again, json!({"version": 3, "state": "unchanged"}));
}

/// Sends requests until one is refused; the first one must be answered. Returns how many more were
/// answered. No request sent after `withdrawn` is set may be answered.
fn spawn_load(mut client: Client, withdrawn: Arc<AtomicBool>) -> thread::JoinHandle<u64> {
    client.simple_query("SELECT 1").expect("the key is valid");
    thread::spawn(move || {
        let mut answered = 0;
        loop {
            let is_withdrawn = withdrawn.load(Ordering::SeqCst);
            if client.simple_query("SELECT 1").is_err() {
                return answered;
            }
            assert!(!is_withdrawn, "a request was served after the withdrawal was in force");
            answered += 1;
        }
    })
}

/// Guards against a withdrawn key that still works under load. The command ends when the withdrawal
/// is in force and must do so within 4 s.
#[test]
fn a_withdrawal_under_load_takes_less_than_4_s() {
    let mut fleet = Fleet::start(&[]);
    let key = fleet.add_keyed_route();
    let mut rng = ChaCha20Rng::seed_from_u64(8);
    issue_key(&mut fleet.tables, &id("north"), "other", &mut rng).expect("a second key");
    fleet.commit();
    let hosts = [fleet.host("h1", &[]), fleet.host("h2", &[])];
    let withdrawn = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = hosts
        .iter()
        .flat_map(|host| [host, host])
        .map(|host| spawn_load(host.keyed(key.expose()).expect("valid"), Arc::clone(&withdrawn)))
        .collect();
    let first = fleet.tables.routes[1].keys[0].key.to_string();
    let mut command = Command::new("timeout");
    command.args(["4", BINARY, "key", "withdraw", "--account", "north", "--key", &first, "--yes"]);
    let output = with_environment(command, &fleet, "test").output().expect("timeout runs");
    withdrawn.store(true, Ordering::SeqCst);
    assert!(output.status.success(), "{:?} {}", output.status, text(&output.stderr));
    println!("{}", text(&output.stdout).trim());
    for client in clients {
        let answered = client.join().expect("no request was served late");
        assert!(answered > 0, "there was no load when the key was withdrawn");
    }
    assert!(hosts.iter().all(|host| host.keyed(key.expose()).is_err()));
}

/// Starts an edit that has read the tables and waits for confirmation.
fn start_unconfirmed_edit(fleet: &Fleet, editor: &str, path: &str) -> Child {
    let mut command = Command::new(BINARY);
    command.args(["tables", "edit", path]);
    let mut child = with_environment(command, fleet, editor).spawn().expect("the binary runs");
    let stderr = child.stderr.as_mut().expect("a pipe");
    let mut seen = Vec::new();
    while !seen.ends_with(b"[y/N] ") {
        let mut byte = [0];
        stderr.read_exact(&mut byte).unwrap_or_else(|_| panic!("no question: {}", text(&seen)));
        seen.push(byte[0]);
    }
    child
}

fn confirm(child: &mut Child) {
    child.stdin.take().expect("a pipe").write_all(b"y\n").expect("the editor reads");
}

/// Guards against concurrent edits that are mixed or overwrite each other.
#[test]
fn exactly_one_of_two_concurrent_edits_is_applied() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let editors = ["left", "right"].map(|editor| {
        let mut tables = fleet.tables.clone();
        tables.routes.push(route(editor, editor, "*"));
        (editor, tables)
    });
    let mut children = editors.each_ref().map(|(editor, tables)| {
        start_unconfirmed_edit(&fleet, editor, &write_tables_file(editor, tables))
    });
    children.iter_mut().for_each(confirm);
    let outputs = children.map(|child| child.wait_with_output().expect("the editor ends"));
    let codes = outputs.each_ref().map(|output| output.status.code());
    let (winner, loser) = match codes {
        [Some(0), Some(7)] => (0, 1),
        [Some(7), Some(0)] => (1, 0),
        other => panic!("{other:?}"),
    };
    let present = accepted_config(&fleet);
    let (name, tables) = &editors[winner];
    assert_eq!((present.editor.as_str(), &present.tables.routes), (*name, &tables.routes));
    let expected =
        format!("version 2 by {name} was accepted first and changed:\nroutes {name}: row added\n");
    assert_eq!(text(&outputs[loser].stdout), expected);
}

/// Guards against an edit that writes part of an invalid table or does not report all its errors.
#[test]
fn a_bad_table_is_refused_with_all_faults() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let mut tables = fleet.tables.clone();
    tables.routes[0].freshness = "soon".into();
    tables.routes[0].pool = "nowhere".into();
    tables.pools[1].address = "localhost".into();
    let path = write_tables_file("bad", &tables);
    let output = run(&fleet, &["tables", "edit", &path, "--yes"]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = text(&output.stderr);
    for (column, value) in [("freshness", "soon"), ("pool", "nowhere"), ("address", "localhost")] {
        let found = |line: &&str| line.contains(column) && line.contains(value);
        assert!(stderr.lines().any(|line| found(&line)), "{column}: {stderr}");
    }
    assert_eq!(accepted_config(&fleet).tables.version.0, 1);
    assert_eq!(run(&fleet, &["tables", "check", &path]).status.code(), Some(2));
}

/// Guards against an edit that is applied twice or reported as failed because the platform's answer
/// was lost.
#[test]
fn an_edit_whose_answer_is_lost_is_applied_once() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    fleet.platform.control(json!({"lose_next": 1}));
    fleet.tables.routes.push(route("new", "new", "*"));
    let path = write_tables_file("lost", &fleet.tables);
    let result = run_json(&fleet, &["tables", "edit", &path, "--yes"]);
    let report = fleet.platform.control(json!({}));
    assert_eq!(report["clients"]["operator"]["lost"], json!(1), "no answer was lost");
    assert_eq!((&result["state"], &result["version"]), (&json!("in_force"), &json!(2)));
    assert_eq!(report["commit_seq"], json!(2), "the edit was made once");
}

/// Guards against an edit reported as in force while a paused host may still use the old tables,
/// and against a resumed host that serves a request with a key before it has read the new tables.
#[test]
fn an_edit_waits_for_a_paused_host_that_then_serves_nothing_old() {
    let mut fleet = Fleet::start(&[]);
    let key = fleet.add_keyed_route();
    fleet.commit();
    let (_first, paused) = (fleet.host("h1", &[]), fleet.host("h2", &[]));
    let mut client = paused.keyed(key.expose()).expect("the key is valid");
    paused.signal("-STOP");
    let waiting = thread::spawn(move || client.simple_query("SELECT 1").map(drop));
    let issue = ["key", "issue", "--account", "north", "--label", "second", "--yes"];
    let result = run_json(&fleet, &issue);
    let elapsed_ms = result["elapsed_ms"].as_u64().expect("a number");
    assert!((3_500..5_000).contains(&elapsed_ms), "in force after {elapsed_ms} ms");
    println!("in force after {elapsed_ms} ms with one paused host");
    let status = run_json(&fleet, &["status", "--watch-ms", "1500"]);
    let renews = |index: usize| status["hosts"][index]["renews"].clone();
    assert_eq!((renews(0), renews(1)), (json!(true), json!(false)), "{status}");
    paused.signal("-CONT");
    let error = waiting.join().expect("an answer").expect_err("the host has old tables");
    assert_eq!(sqlstate(&error), "57P03");
    let second = result["key"].as_str().expect("the key is printed");
    fleet.endpoints[0].wait_until("the new key works", |_| paused.keyed(second).is_ok());
}

/// Guards against `hosts forget` removing a running host or failing to remove one that has ended.
#[test]
fn only_a_host_that_is_gone_can_be_forgotten() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let (_first, mut second) = (fleet.host("h1", &[]), fleet.host("h2", &[]));
    second.signal("-KILL");
    second.wait();
    assert_eq!(run(&fleet, &["hosts", "forget", "h1", "--yes"]).status.code(), Some(2));
    let unconfirmed = run(&fleet, &["hosts", "forget", "h2"]);
    assert_eq!(unconfirmed.status.code(), Some(5), "{}", text(&unconfirmed.stderr));
    let removed = run_json(&fleet, &["hosts", "forget", "h2", "--yes"]);
    assert_eq!(removed, json!({"removed": "h2"}));
    let rows = fleet.platform.client("test").read(&id("hosts"), None).expect("an answer").rows;
    assert_eq!(rows.iter().map(|row| row.key.as_str()).collect::<Vec<_>>(), ["h1"]);
}
