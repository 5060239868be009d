//! Failures of the primary, of answers and of the platform, seen by a client of a host.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use std::time::{Duration, SystemTime};

use fleet::{sqlstate, Fleet};
use postgres::Client;
use serde_json::json;
use yare::parameterized;

const TABLE: &str = "CREATE TABLE item (id int PRIMARY KEY, name text)";
/// Longest time between the loss of the primary and the next acknowledged write that the target of
/// one deployment allows.
const FAILOVER_TARGET: Duration = Duration::from_secs(3);

fn insert(client: &mut Client, id: i32) -> Result<u64, postgres::Error> {
    client.execute("INSERT INTO item VALUES ($1, $2)", &[&id, &format!("item {id}.")])
}

fn entry_count(fleet: &mut Fleet, endpoint: usize, id: i32) -> usize {
    fleet.endpoints[endpoint].entries_with(&format!("item {id}.")).len()
}

/// Guards against an acknowledged write that is lost in a promotion or runs twice, and against a
/// failover that exceeds its target.
#[parameterized(
    crash = { json!({"op": "crash"}) },
    frozen = { json!({"op": "freeze"}) },
    cut_off_from_replicas = { json!({"op": "partition", "peers": ["b", "c"]}) },
    cut_off_from_all = { json!({"op": "partition", "peers": ["b", "c", "medlarstile"]}) },
)]
fn a_lost_primary_is_replaced(fault: serde_json::Value) {
    let mut fleet = Fleet::start(&["--lag-ms", "5"]);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    client.batch_execute(TABLE).expect("the table is created");
    let mut acknowledged = Vec::new();
    for id in 0..20 {
        insert(&mut client, id).expect("inserted before the loss");
        acknowledged.push(id);
    }
    fleet.endpoints[0].control(fault);
    let lost = SystemTime::now();
    let mut gap = None;
    for id in 100..10_000 {
        if client.is_closed() {
            client = host.open();
        }
        if insert(&mut client, id).is_ok() {
            acknowledged.push(id);
            gap = lost.elapsed().ok();
            break;
        }
    }
    let gap = gap.expect("a write is acknowledged again");
    println!("failover gap {} ms", gap.as_millis());
    let primary = if fleet.endpoints[1].field("role") == "primary" { 1 } else { 2 };
    for id in acknowledged {
        assert_eq!(entry_count(&mut fleet, primary, id), 1, "write {id}");
    }
    assert!(gap < FAILOVER_TARGET, "the failover took {} ms", gap.as_millis());
}

/// Guards against reads that fail, and writes that run although they were refused as not run, while
/// both the platform and the primary are down.
#[test]
fn reads_go_on_without_platform_and_primary() {
    let mut fleet = Fleet::start(&["--lag-ms", "1"]);
    fleet.tables.routes[0].max_wait_ms = medlarstile::types::DurationMs(800);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    client.batch_execute(TABLE).expect("the table is created");
    insert(&mut client, 1).expect("inserted");
    fleet.platform.control(json!({"down": true}));
    fleet.endpoints[0].control(json!({"op": "crash"}));
    for _ in 0..20 {
        let row = client.query_one("SELECT count(*) FROM item", &[]).expect("a replica serves");
        assert_eq!(row.get::<_, i64>(0), 1);
    }
    let refused = insert(&mut client, 2).expect_err("there is no primary");
    assert_eq!(sqlstate(&refused), "57P03");
    fleet.platform.control(json!({"down": false}));
    fleet.endpoints[1]
        .wait_until("a write is acknowledged again", |_| insert(&mut client, 3).is_ok());
    let primary = if fleet.endpoints[1].field("role") == "primary" { 1 } else { 2 };
    assert_eq!(entry_count(&mut fleet, primary, 2), 0, "the refused write has run");
    assert_eq!(entry_count(&mut fleet, primary, 3), 1);
}

/// Guards against an answer that is delivered to another request, and a write that is sent twice,
/// when the endpoint drops or truncates the answer to a write that it has run.
#[parameterized(
    dropped = { json!({"op": "next_answer", "fault": "drop"}) },
    truncated = { json!({"op": "next_answer", "fault": {"truncate": 5}}) },
)]
fn a_lost_answer_is_told_as_unknown(fault: serde_json::Value) {
    let mut fleet = Fleet::start(&[]);
    fleet.tables.routes[0].max_wait_ms = medlarstile::types::DurationMs(2_000);
    fleet.commit();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    client.batch_execute(TABLE).expect("the table is created");
    fleet.endpoints[0].control(fault);
    let error = client.simple_query("INSERT INTO item VALUES (1, 'item 1.')").expect_err("unknown");
    assert_eq!(sqlstate(&error), "08007");
    for id in 2..10 {
        insert(&mut client, id).expect("the next requests have their own answers");
        let row = client.query_one("SELECT name FROM item WHERE id = $1", &[&id]).expect("read");
        assert_eq!(row.get::<_, &str>(0), format!("item {id}."));
    }
    assert_eq!(entry_count(&mut fleet, 0, 1), 1, "the write was not run exactly once");
}
