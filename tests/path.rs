//! End-to-end tests: PostgreSQL clients against hosts, endpoints and the platform as processes.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use fleet::{sqlstate, token, Fleet};
use postgres::Client;

const TABLE: &str = "CREATE TABLE item (id int PRIMARY KEY, name text)";

fn count(client: &mut Client, id: i32) -> i64 {
    let row = client.query_one("SELECT count(*) FROM item WHERE id = $1", &[&id]);
    row.expect("the count is read").get(0)
}

/// Guards against lost, duplicated or reordered client messages, with simple queries, prepared
/// statements on changing connections, transactions and endpoint errors.
#[test]
fn serves_a_client_end_to_end() {
    let mut fleet = Fleet::start(&["--lag-ms", "3"]);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    client.batch_execute(TABLE).expect("the table is created");
    let insert = client.prepare("INSERT INTO item VALUES ($1, $2)").expect("prepared");
    for id in 1..=20_i32 {
        client.execute(&insert, &[&id, &format!("item {id}")]).expect("inserted");
        assert_eq!(count(&mut client, id), 1, "its own write is read");
    }
    let mut transaction = client.transaction().expect("BEGIN");
    transaction.execute("INSERT INTO item VALUES (50, 'fifty')", &[]).expect("inserted");
    let row = transaction.query_one("SELECT name FROM item WHERE id = 50", &[]).expect("read");
    assert_eq!(row.get::<_, &str>(0), "fifty");
    transaction.rollback().expect("ROLLBACK");
    assert_eq!(count(&mut client, 50), 0);
    let error = client.execute(&insert, &[&1_i32, &"twice"]).expect_err("a duplicate key");
    assert_eq!(sqlstate(&error), "23505");
    assert_eq!(fleet.endpoints[0].entries_with("item 7").len(), 1);
}

/// Guards against reads on another host that miss the caller's earlier writes.
#[test]
fn reads_its_writes_on_another_host() {
    let mut fleet = Fleet::start(&["--lag-ms", "150"]);
    fleet.commit();
    let (first, second) = (fleet.host("h1", &[]), fleet.host("h2", &[]));
    let mut writer = first.open();
    writer.batch_execute(TABLE).expect("the table is created");
    for id in 1..=5_i32 {
        writer.execute("INSERT INTO item VALUES ($1, 'x')", &[&id]).expect("inserted");
        let mut reader = second.open_at(&token(&mut writer));
        assert_eq!(count(&mut reader, id), 1, "a reader with the token");
        assert_eq!(count(&mut second.open(), id), 1, "a reader without a token");
    }
}

/// Guards against callers being admitted without a key or with a withdrawn one, and against table
/// edits that do not reach every host.
#[test]
fn keys_and_table_edits_reach_every_host() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let hosts = [fleet.host("h1", &[]), fleet.host("h2", &[])];
    let key = fleet.add_keyed_route();
    for host in &hosts {
        let error = host.keyed(key.expose()).err().expect("the route does not exist yet");
        assert_eq!(sqlstate(&error), "28P01");
    }
    fleet.commit();
    fleet.endpoints[0].wait_until("every host accepts the key", |_| {
        hosts.iter().all(|host| host.keyed(key.expose()).is_ok())
    });
    let wrong = hosts[0].keyed("another-key").err().expect("a wrong key");
    assert_eq!(sqlstate(&wrong), "28P01");
    let mut open_before = hosts[1].keyed(key.expose()).expect("the key is valid");
    open_before.simple_query("SELECT 1").expect("it is served");
    fleet.tables.routes.pop();
    fleet.commit();
    fleet.endpoints[0].wait_until("the open connection is refused", |_| {
        open_before.simple_query("SELECT 1").is_err()
    });
    fleet.endpoints[0].wait_until("no host accepts the key", |_| {
        hosts.iter().all(|host| host.keyed(key.expose()).is_err())
    });
}

/// Guards against a graceful stop that aborts an open transaction or loses its commit.
#[test]
fn a_stop_lets_a_transaction_end() {
    let mut fleet = Fleet::start(&["--lag-ms", "20"]);
    fleet.commit();
    let mut host = fleet.host("h1", &["--drain-notice-ms", "300"]);
    let mut client = host.open();
    client.batch_execute(TABLE).expect("the table is created");
    let mut idle = host.open();
    let mut transaction = client.transaction().expect("BEGIN");
    transaction.execute("INSERT INTO item VALUES (1, 'first')", &[]).expect("inserted");
    host.terminate();
    fleet.endpoints[0].wait_until("an idle caller is disconnected because the host stops", |_| {
        idle.simple_query("SELECT 1").is_err()
    });
    transaction.execute("INSERT INTO item VALUES (2, 'second')", &[]).expect("inserted");
    transaction.commit().expect("the commit is acknowledged");
    assert!(host.wait().success());
    assert_eq!(fleet.endpoints[0].entries_with("second").len(), 1);
}
