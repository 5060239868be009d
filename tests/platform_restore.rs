//! Hosts on the platform after its store was restored from an older copy: what was written since is
//! gone, and versions are given out again.

use std::time::{Duration, Instant};

use yare::parameterized;

#[allow(dead_code)]
mod host_process;
#[allow(dead_code)]
mod platform_store_double;
mod ports;

use host_process::{Host, HostSpec, CONTACT_LIMIT};
use platform_store_double::{Rows, Store};

/// Versions of the configuration that are lost.
const LOST: std::ops::Range<u64> = 4..24;
/// Version that the operator writes after the restore.
const NEXT: u64 = 24;

/// A configuration with one group whose endpoints accept so few connections that a fleet of four
/// hosts has one home.
fn configuration(version: u64) -> Vec<u8> {
    let text = format!(
        r#"{{"version":{version},"routes":[],"tenants":[],"limits":{{}},
        "services":[{{"name":"db","maxConnections":4}}]}}"#
    );
    text.into_bytes()
}

/// Starts one home and hosts that follow it, and waits until each of them is what it will be.
fn start(store: &Store, count: usize) -> Vec<Host> {
    let start = |place: usize| {
        let share = if place == 0 { 1.0 } else { 0.5 };
        HostSpec { share, ..HostSpec::at(store.serve(None)) }.start(&format!("h{place}"))
    };
    let mut hosts: Vec<Host> = (0..count).map(start).collect();
    for (place, host) in hosts.iter_mut().enumerate() {
        let pace = if place == 0 { "Active" } else { "Suspended" };
        host.wait_for(&format!(r#""table":"op","before":"Passive","pace":"{pace}""#));
    }
    hosts
}

/// Reads the log of a host up to the use of a version; false if the host has ended before.
fn uses(host: &mut Host, version: u64) -> bool {
    let wanted = format!(r#""version":"{version}""#);
    while let Some(line) = host.find("configuration: version is in use") {
        if line.contains(&wanted) {
            return true;
        }
    }
    false
}

/// The operator's next version alone, after which fewer rows were written than were lost.
fn next(rows: &mut Rows, _: u64) {
    rows.put("op", "config", &configuration(NEXT));
}

/// The same, and so many rows of endpoints that the versions of all rows are given out again.
fn next_and_more(rows: &mut Rows, lost: u64) {
    next(rows, lost);
    while rows.version() <= lost {
        rows.put("servers", "i-1", b"{}");
    }
}

/// Guards against a host that learns of a restore only when its read of a table ends, which waits 3 s
/// for a change of the hosts' rows, and so names hosts and claims that the store does not have.
#[test]
fn all_tables_are_read_again_at_once() {
    let store = Store::default();
    store.put("op", "config", &configuration(3));
    let copy = store.copy();
    let spec = HostSpec { checks_tokens: true, ..HostSpec::at(store.serve(None)) };
    let mut host = spec.start("h0");
    host.wait_for(r#""table":"medlarstile","before":"Passive","pace":"Active""#);
    store.set_wait(Duration::from_secs(10));
    // The reads that wait for the shorter time end first.
    std::thread::sleep(Duration::from_millis(500));
    let lost = store.copy().version();
    store.restore(&copy, |rows| next_and_more(rows, lost));
    let restored = Instant::now();
    host.wait_for("store: row of this host was lost");
    println!("noticed after {:?}", restored.elapsed());
    assert!(restored.elapsed() < CONTACT_LIMIT / 4, "{:?}", restored.elapsed());
}

/// Guards against hosts that are listed no more after a restore of the store, or whose fleet has no
/// secret any more: hosts that start later find none of them.
#[parameterized(
    nothing_is_left = { |_| {}, 1 },
    earlier_runs_are_left = { |rows| {
        for host in ["host.h0", "host.h1"] {
            let row = br#"{"address":"127.0.0.1:1","incarnation":1,"processor":250}"#;
            rows.put("medlarstile", host, row);
        }
    }, 4 },
    followers_are_lost_too = { |_| {}, 4 },
)]
fn hosts_are_listed_again_after_a_restore(older: fn(&mut Rows), count: usize) {
    let store = Store::default();
    store.put("op", "config", &configuration(3));
    let mut copy = store.copy();
    older(&mut copy);
    let hosts = start(&store, count);
    store.restore(&copy, |_| {});
    let restored = Instant::now();
    let is_listed = |(place, host): (usize, &Host)| {
        let row = store.get("medlarstile", &format!("host.h{place}")).unwrap_or_default();
        String::from_utf8_lossy(&row).contains(&host.peer_address.to_string())
    };
    while !hosts.iter().enumerate().all(is_listed) {
        assert!(restored.elapsed() < CONTACT_LIMIT, "the hosts are not listed");
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("listed again after {:?}", restored.elapsed());
}

/// Guards against a fleet whose secret a restore of the store has lost, so that hosts which start
/// later agree on another one and cannot be reached by the others.
#[parameterized(
    own_secret_is_first = { None },
    another_secret_is_first = { Some("5e".repeat(32)) },
)]
fn a_host_that_starts_after_a_restore_is_linked(other: Option<String>) {
    let store = Store::default();
    store.put("op", "config", &configuration(3));
    let copy = store.copy();
    let mut hosts = start(&store, 4);
    store.restore(&copy, |rows| {
        if let Some(other) = &other {
            rows.put("medlarstile", "fleet.secret", other.as_bytes());
        }
    });
    hosts[0].wait_for("store: row of this host was lost");
    let mut late = HostSpec::at(store.serve(None)).start("h9");
    late.wait_for("peer: connected");
    hosts[0].wait_for("h9");
}

/// Guards against a host that keeps the configuration from before a restore of the store: it ignored
/// rows below the highest version that it had seen, and missed those below its own mark.
#[parameterized(
    fewer_writes_than_lost = { 1, next },
    versions_given_out_again = { 1, next_and_more },
    a_home_and_its_followers = { 4, next },
)]
fn a_version_is_in_force_after_a_restore(count: usize, write: fn(&mut Rows, u64)) {
    let store = Store::default();
    store.put("op", "config", &configuration(3));
    let mut hosts = start(&store, count);
    let copy = store.copy();
    for version in LOST {
        store.put("op", "config", &configuration(version));
    }
    for host in &mut hosts {
        assert!(uses(host, NEXT - 1));
    }
    let lost = store.copy().version();
    store.restore(&copy, |rows| write(rows, lost));
    let restored = Instant::now();
    let all = hosts.iter_mut().all(|host| uses(host, NEXT));
    let took = restored.elapsed();
    println!("in force after {took:?}");
    assert!(all && took < CONTACT_LIMIT, "in force on all hosts: {all}, after {took:?}");
}
