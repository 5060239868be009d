//! The emulated endpoint as a process: protocol, SQL, transactions, limits and slots.

#[path = "support/endpoint.rs"]
mod endpoint;

use endpoint::Endpoint;
use postgres::types::Type;
use postgres::{Client, NoTls, SimpleQueryMessage};
use serde_json::json;
use yare::parameterized;

const TABLE: &str =
    "CREATE TABLE account (id int PRIMARY KEY, owner text NOT NULL, cents bigint, open boolean)";

fn with_accounts(arguments: &[&str]) -> (Endpoint, Client) {
    let endpoint = Endpoint::single(arguments);
    let mut client = endpoint.connect();
    client.batch_execute(TABLE).expect("the table is created");
    let rows = "INSERT INTO account VALUES (1, 'ann', 500, true), (2, 'bob', 70, false)";
    client.batch_execute(rows).expect("the rows are inserted");
    (endpoint, client)
}

fn state(error: &postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}

fn cells(client: &mut Client, sql: &str) -> String {
    let messages = client.simple_query(sql).expect("the query runs");
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            let cells = (0..row.len()).map(|place| row.get(place).unwrap_or("NULL").to_owned());
            Some(cells.collect::<Vec<_>>().join(","))
        }
        _ => None,
    });
    rows.collect::<Vec<_>>().join(";")
}

/// Guards against typed parameters and results that the client library cannot exchange.
#[test]
fn prepared_statements_take_and_return_typed_values() {
    let (_endpoint, mut client) = with_accounts(&[]);
    let insert = client
        .prepare(
            "INSERT INTO account (id, owner, cents, open) VALUES ($1, $2, $3, $4) RETURNING id",
        )
        .expect("the statement is prepared");
    let row = client.query_one(&insert, &[&7_i32, &"cay", &-3_i64, &true]).expect("a row");
    assert_eq!(row.get::<_, i32>(0), 7);
    let none: Option<i64> = None;
    client.execute(&insert, &[&8_i32, &"dan", &none, &false]).expect("NULL is a value");
    let update = "UPDATE account SET cents = cents * 2 + $1 WHERE id = $2 AND open = $3";
    assert_eq!(client.execute(update, &[&10_i64, &7_i32, &true]).expect("an update"), 1);
    let row = client
        .query_one("SELECT id, owner, cents, open, $1::float8 FROM account WHERE id = 7", &[&0.5])
        .expect("a row");
    let read = (row.get(0), row.get(1), row.get(2), row.get(3), row.get(4));
    assert_eq!(read, (7_i32, "cay", 4_i64, true, 0.5_f64));
    let row = client.query_one("SELECT cents FROM account WHERE id = 8", &[]).expect("a row");
    assert_eq!(row.get::<_, Option<i64>>(0), None);
    let deleted = client.execute("DELETE FROM account WHERE id IN ($1, $2)", &[&7_i32, &8_i32]);
    assert_eq!(deleted.expect("a delete"), 2);
}

/// Guards against a portal that loses or repeats rows between two fetches.
#[test]
fn portals_are_fetched_in_parts() {
    let (_endpoint, mut client) = with_accounts(&[]);
    let mut transaction = client.transaction().expect("BEGIN");
    let portal = transaction.bind("SELECT id FROM account ORDER BY id", &[]).expect("a portal");
    let mut ids = Vec::new();
    for rows in [1, 5] {
        let part = transaction.query_portal(&portal, rows).expect("rows");
        ids.extend(part.iter().map(|row| row.get::<_, i32>(0)));
    }
    assert_eq!(ids, [1, 2]);
}

/// Guards against wrong results of the supported SQL.
#[parameterized(
    literals = { "SELECT 1, 'x', NULL, true", "1,x,NULL,t" },
    count = { "SELECT count(*) FROM account WHERE cents > 60 AND open = false", "1" },
    aggregates = { "SELECT sum(cents), min(owner), max(id) FROM account", "570,ann,2" },
    order_and_limit = { "SELECT owner FROM account ORDER BY cents LIMIT 1", "bob" },
    descending = { "SELECT id FROM account ORDER BY id DESC", "2;1" },
    all_columns = { "SELECT * FROM account WHERE id = 2", "2,bob,70,f" },
    comparison_with_text = { "SELECT id FROM account WHERE id = '1'", "1" },
    several_statements = { "SELECT 1; SELECT 2", "1;2" },
    key_changes = { "UPDATE account SET id = 9 WHERE id = 2; SELECT id FROM account", "1;9" },
    returning = { "UPDATE account SET cents = cents - 1 RETURNING id, cents", "1,499;2,69" },
    show = { "SET application_name = 'test'; SHOW application_name", "test" },
    status = { "SHOW group_status", "term=1 role=primary position=1:2 confirmed=1:2 fenced=1" },
)]
fn answers(sql: &str, expected: &str) {
    let (_endpoint, mut client) = with_accounts(&[]);
    assert_eq!(cells(&mut client, sql), expected);
}

/// Guards against an error with the wrong SQLSTATE, and against one that breaks the connection or
/// leaves an effect.
#[parameterized(
    syntax = { "SELEC 1", "42601" },
    unknown_table = { "SELECT * FROM nothing", "42P01" },
    unknown_column = { "SELECT nothing FROM account", "42703" },
    duplicate_key = { "INSERT INTO account VALUES (3, 'x', 1, true), (1, 'y', 1, true)", "23505" },
    not_null = { "INSERT INTO account (id) VALUES (5)", "23502" },
    out_of_range = { "UPDATE account SET id = 3000000000 WHERE id = 1", "22003" },
    division_by_zero = { "DELETE FROM account WHERE id / 0 = 1", "22012" },
    unsupported = { "SELECT * FROM account a JOIN account b ON true", "0A000" },
    unknown_setting = { "SET nonsense = 1", "42704" },
    read_only_transaction = { "BEGIN READ ONLY; DELETE FROM account; COMMIT", "25006" },
    second_statement_fails = { "DELETE FROM account; SELECT nothing FROM account", "42703" },
)]
fn refuses(sql: &str, expected: &str) {
    let (_endpoint, mut client) = with_accounts(&[]);
    let error = client.batch_execute(sql).expect_err("an error");
    assert_eq!(state(&error), expected, "{error}");
    client.batch_execute("ROLLBACK").expect("the connection goes on");
    assert_eq!(cells(&mut client, "SELECT id FROM account"), "1;2");
    if !sql.contains(';') {
        assert_eq!(state(&client.execute(sql, &[]).expect_err("an error")), expected);
    }
}

/// Guards against dirty reads, a rollback that leaves effects, and a commit that loses some.
#[parameterized(commit = { "COMMIT", "500;75" }, rollback = { "ROLLBACK", "500;70" })]
fn transactions_are_isolated_until_their_end(end: &str, expected: &str) {
    let (endpoint, mut writer) = with_accounts(&[]);
    let mut reader = endpoint.connect();
    let sql = "SELECT cents FROM account ORDER BY id";
    writer.batch_execute("BEGIN; UPDATE account SET cents = cents + 5 WHERE id = 2").expect("runs");
    assert_eq!(cells(&mut writer, sql), "500;75");
    assert_eq!(cells(&mut reader, sql), "500;70");
    writer.batch_execute(end).expect("the transaction ends");
    assert_eq!(cells(&mut reader, sql), expected);
}

/// Guards against a closed connection whose transaction stays open.
#[test]
fn closing_a_connection_rolls_back() {
    let (mut endpoint, writer) = with_accounts(&[]);
    let mut other = endpoint.connect();
    let mut writer = writer;
    writer.batch_execute("BEGIN; DELETE FROM account").expect("runs");
    drop(writer);
    endpoint.wait_until("one connection", |endpoint| endpoint.count("connections_open") == 1);
    assert_eq!(other.execute("UPDATE account SET cents = 0", &[]).expect("no lock is left"), 2);
}

/// Guards against lost updates between open transactions, and against a failed transaction that
/// goes on or commits.
#[test]
fn write_conflicts_abort_the_second_transaction() {
    let (endpoint, mut first) = with_accounts(&[]);
    let mut second = endpoint.connect();
    let update = "UPDATE account SET cents = cents + 1 WHERE id = 1";
    first.batch_execute(&format!("BEGIN; {update}")).expect("runs");
    let error = second.batch_execute(&format!("BEGIN; {update}")).expect_err("a conflict");
    assert_eq!(state(&error), "40001");
    let error = second.batch_execute("SELECT 1").expect_err("the transaction has failed");
    assert_eq!(state(&error), "25P02");
    second.batch_execute("COMMIT").expect("ends as a rollback");
    first.batch_execute("COMMIT").expect("the first wins");
    second.batch_execute(update).expect("no lock is left");
    assert_eq!(cells(&mut second, "SELECT cents FROM account WHERE id = 1"), "502");
}

/// Guards against a login that accepts any password.
#[parameterized(password = { "proxy:wrong" }, user = { "nobody:proxy-password" })]
fn wrong_credentials_are_refused(login: &str) {
    let endpoint = Endpoint::single(&[]);
    let url = format!("postgres://{login}@{}/test", endpoint.postgres);
    let error = Client::connect(&url, NoTls).err().expect("the login is refused");
    assert_eq!(state(&error), "28P01");
}

/// Guards against a limit that is not enforced, or that counts closed connections.
#[test]
fn connections_over_the_limit_are_refused() {
    let mut endpoint = Endpoint::single(&["--max-connections", "2", "--accept-delay-ms", "3"]);
    let kept = [endpoint.connect(), endpoint.connect()];
    let error = endpoint.try_connect().err().expect("the third is refused");
    assert_eq!(state(&error), "53300");
    assert_eq!(endpoint.count("connections_refused"), 1);
    drop(kept);
    endpoint.wait_until("no connection", |endpoint| endpoint.count("connections_open") == 0);
    endpoint.connect();
}

/// Guards against more statements at a time than slots, a queue out of order, and a cancel that
/// hits the wrong statement.
#[test]
fn statements_wait_for_slots_and_can_be_canceled() {
    let (mut endpoint, client) = with_accounts(&["--slots", "2"]);
    let sleeper = |endpoint: &Endpoint| {
        let mut client = endpoint.connect();
        let token = client.cancel_token();
        let run = move || client.batch_execute("SELECT pg_sleep(60)").expect_err("canceled");
        (token, std::thread::spawn(run))
    };
    let sleepers = [sleeper(&endpoint), sleeper(&endpoint)];
    endpoint.wait_until("two run", |endpoint| endpoint.count("slots_running") == 2);
    let mut waiting = client;
    let waiter = std::thread::spawn(move || cells(&mut waiting, "SELECT count(*) FROM account"));
    endpoint.wait_until("one waits", |endpoint| endpoint.count("slots_waiting") == 1);
    // The status takes no slot.
    assert!(cells(&mut endpoint.connect(), "SHOW group_status").starts_with("term=1"));
    for (token, thread) in sleepers {
        token.cancel_query(NoTls).expect("the cancel request is sent");
        let error = thread.join().expect("the thread ends");
        assert_eq!(state(&error), "57014");
    }
    assert_eq!(waiter.join().expect("the thread ends"), "2");
    assert_eq!(endpoint.count("most_slots_running"), 2);
    assert_eq!(endpoint.count("canceled"), 2);
}

/// Guards against a settings change that is not in force for the next statement.
#[test]
fn settings_change_while_running() {
    let (mut endpoint, mut client) = with_accounts(&[]);
    endpoint.control(json!({"op": "set", "service_time_us": 60_000_000, "slots": 1}));
    let token = client.cancel_token();
    let run = std::thread::spawn(move || client.batch_execute("SELECT 1").expect_err("canceled"));
    endpoint.wait_until("it runs", |endpoint| endpoint.count("slots_running") == 1);
    token.cancel_query(NoTls).expect("the cancel request is sent");
    assert_eq!(state(&run.join().expect("the thread ends")), "57014");
    endpoint.control(json!({"op": "set", "service_time_us": 150}));
    endpoint.connect().batch_execute("SELECT 1").expect("runs");
}

/// Guards against a signal that kills the process, or that the event loop does not see.
#[test]
fn sigterm_ends_the_process_in_order() {
    let (mut endpoint, _client) = with_accounts(&[]);
    assert_eq!(endpoint.terminate(), Some(0));
}

/// Guards against drivers whose integer parameters have the type int2, as psycopg's do: the first
/// one was refused as a type that is not known.
#[test]
fn small_integers_are_parameters() {
    let (_endpoint, mut client) = with_accounts(&[]);
    let sql = "SELECT owner FROM account WHERE id = $1";
    let select = client.prepare_typed(sql, &[Type::INT2]).expect("the statement is prepared");
    let row = client.query_one(&select, &[&2_i32]).expect("a row");
    assert_eq!(row.get::<_, &str>(0), "bob");
}
