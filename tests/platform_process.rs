//! Runs the process of a host on the platform: its signals, settings, links and relayed sessions.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use yare::parameterized;

#[allow(dead_code)]
mod host_process;
#[path = "soak/link.rs"]
#[allow(dead_code)]
mod link;
#[allow(dead_code)]
mod platform_store_double;
mod ports;

use host_process::{Host, HostSpec, CONTACT_LIMIT, LIMIT};
use link::Link;
use platform_store_double::Store;

/// Guards against a host that SIGHUP kills because the signal has no handler, and against one that
/// does not stop on SIGTERM.
#[test]
fn sighup_reloads_the_settings() {
    let mut host = Host::start("h1", Store::default().serve(None));
    host.wait_for("host: starting");
    host.signal(Signal::HUP);
    host.wait_for("host: settings were read again");
    host.signal(Signal::TERM);
    host.wait_for("host: stopped");
    assert!(host.child.lock().expect("the child").wait().expect("an end").success());
}

/// A configuration without routes.
fn configuration(version: u64) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[],"tenants":[],"limits":{{}}}}"#)
}

/// Guards against a host that keeps an old configuration while the store refuses its reads: with 59
/// hosts, such a home still refused relayed callers with an unknown database 8.5 s after the
/// version that has the database.
#[test]
fn a_host_without_the_configuration_gets_it_from_another_host() {
    let store = Store::default();
    store.put("op", "config", configuration(3).as_bytes());
    let mut reader = Host::start("h1", store.serve(None));
    reader.wait_for("configuration: version is in use");
    let mut refused = Host::start("h2", store.serve(Some("op")));
    let line = refused.wait_for("configuration: version is in use");
    assert!(line.contains(r#""version":"3""#), "{line}");
    store.put("op", "config", configuration(8).as_bytes());
    let line = refused.wait_for("configuration: version is in use");
    assert!(line.contains(r#""version":"8""#), "{line}");
}

/// A configuration with one group whose endpoints accept so few connections that a fleet of four
/// hosts has one home.
fn one_home(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[],"tenants":[],"limits":{{}},
        "services":[{{"name":"db","maxConnections":4}}]}}"#
    )
}

/// Guards against a host that goes on waiting on a connection to the store which has gone silent
/// without a reset, and meanwhile refuses the databases of a newer version.
#[parameterized(
    a_single_host = { 1, false, CONTACT_LIMIT },
    a_home_and_its_followers = { 4, false, CONTACT_LIMIT },
    followers_of_a_lost_home = { 4, true, CONTACT_LIMIT },
    a_host_with_a_limit_that_was_reloaded = { 1, false, 5 * CONTACT_LIMIT },
)]
fn a_version_is_in_force_after_connections_to_the_store_went_silent(
    count: usize,
    lose: bool,
    limit_at_start: Duration,
) {
    let store = Store::default();
    store.put("op", "config", one_home(3).as_bytes());
    let links: Vec<Link> = (0..count).map(|_| Link::to(store.serve(None))).collect();
    let mut hosts: Vec<Host> = Vec::new();
    for (place, link) in links.iter().enumerate() {
        let spec = HostSpec { limit: limit_at_start, ..HostSpec::at(link.address) };
        let share = if place == 0 { 1.0 } else { 0.5 };
        hosts.push(HostSpec { share, ..spec }.start(&format!("h{place}")));
    }
    for (place, host) in hosts.iter_mut().enumerate() {
        let pace = if place == 0 { "Active" } else { "Suspended" };
        host.wait_for(&format!(r#""table":"op","before":"Passive","pace":"{pace}""#));
        if limit_at_start != CONTACT_LIMIT {
            host.set_limit(CONTACT_LIMIT);
            // The reads have begun anew, so that there is a connection to lose.
            host.wait_for(r#""table":"op","before":"Passive","pace":"Active""#);
        }
    }
    links.iter().for_each(Link::silence_open);
    if lose {
        hosts.remove(0);
    }
    let silenced = Instant::now();
    store.put("op", "config", one_home(8).as_bytes());
    for host in &mut hosts {
        let line = host.wait_for("configuration: version is in use");
        assert!(line.contains(r#""version":"8""#), "{line}");
    }
    let took = silenced.elapsed();
    println!("in force after {took:?}");
    assert!(took < CONTACT_LIMIT, "{took:?}");
}

/// Guards against a host that exits, or whose links no longer time out, after another host was
/// paused. The cause was a timer set to a time in the past; the soak test found it with seeds 1, 2
/// and 5.
#[test]
fn hosts_survive_a_pause_of_another_host() {
    let store = Store::default();
    store.put("op", "config", configuration(3).as_bytes());
    let mut hosts = ["h1", "h2", "h3", "h4"].map(|name| Host::start(name, store.serve(None)));
    for host in &mut hosts {
        host.wait_for("peer: connected");
    }
    for pause_ms in [300, 600, 900, 1_500] {
        hosts[0].signal(Signal::STOP);
        std::thread::sleep(Duration::from_millis(pause_ms));
        hosts[0].signal(Signal::CONT);
        std::thread::sleep(Duration::from_millis(250));
    }
    for host in &mut hosts {
        host.signal(Signal::HUP);
        host.wait_for("host: settings were read again");
    }
}

/// Guards against a host that cannot read an answer which the store sends in chunks, as a server may
/// do with a large one, and so stays without the version. The store double does from 32 KB on.
#[test]
fn a_configuration_that_arrives_in_chunks_is_adopted() {
    let store = Store::default();
    store.put("op", "config", one_home(3).as_bytes());
    let mut host = Host::start("h1", store.serve(None));
    host.wait_for("configuration: version is in use");
    let route = |number: usize| {
        format!(
            r#"{{"database":"d{number}","type":"primary","service":"db","timeoutMs":1000,
            "targetLatencyMs":300,"public":true}}"#
        )
    };
    let routes: Vec<String> = (0..1_000).map(route).collect();
    let text =
        one_home(8).replace(r#""routes":[]"#, &format!(r#""routes":[{}]"#, routes.join(",")));
    store.put("op", "config", text.as_bytes());
    let line = host.wait_for("configuration: version is in use");
    assert!(line.contains(r#""version":"8""#) && line.contains(r#""routes":1000"#), "{line}");
}

/// Guards against a host that ends, or no longer follows the store, after another writer has left
/// odd entries among those of the endpoints.
#[test]
fn a_host_survives_odd_entries_of_endpoints() {
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let entry = |address: &str, born: &str| {
        format!(
            r#"{{"service":"db","address":"{address}","zone":"a","state":"ready",
            "dbRole":"primary","born":{born},"extra":{nested}}}"#
        )
    };
    let store = Store::default();
    store.put("op", "config", one_home(3).as_bytes());
    store.put("servers", "i-nested", entry("127.0.0.1:1", "5").as_bytes());
    store.put("servers", "i-port", entry("127.0.0.1:70000", "5").as_bytes());
    let mut host = Host::start("h1", store.serve(None));
    host.wait_for("host: callers are accepted");
    for (version, value) in [
        (8, entry("127.0.0.1:0", "5")),
        (9, entry("127.0.0.1:1", "1e999")),
        (10, nested.clone()),
        (11, r#"{"service":"#.repeat(6_000)),
        (12, "\u{0}\u{1}".to_owned()),
    ] {
        store.put("servers", "i-odd", value.as_bytes());
        host.wait_for("discovery: entry is ignored");
        store.put("op", "config", one_home(version).as_bytes());
        let line = host.wait_for("configuration: version is in use");
        assert!(line.contains(&format!(r#""version":"{version}""#)), "{line}");
    }
    host.signal(Signal::TERM);
    host.wait_for("host: stopped");
}

/// Guards against a home that refuses, under its older configuration, what the caller's host
/// allows: after a network partition a home refused relayed callers with an unknown database for
/// 0.3 s.
#[parameterized(
    older = { 9, "" },
    same = { 3, "ERROR NODB no route for this database and client account\r\n" },
)]
fn a_relayed_caller_is_served_under_no_older_configuration(version: u64, answer: &str) {
    let store = Store::default();
    store.put("op", "config", configuration(3).as_bytes());
    let mut host = Host::start("h1", store.serve(None));
    host.wait_for("host: callers are accepted");
    let mut stream = TcpStream::connect(host.peer_address).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
    let startup = format!("RELAY {version}\r\nSTARTUP orders key\r\n");
    stream.write_all(startup.as_bytes()).expect("the startup is sent");
    let mut received = String::new();
    stream.read_to_string(&mut received).expect("an end");
    assert_eq!(received, answer);
}

/// A configuration with a public route and an account with the key `k-1`.
fn with_key(version: u64) -> String {
    format!(
        r#"{{"version":{version},"services":[{{"name":"db","maxConnections":4}}],"limits":{{}},
        "routes":[{{"name":"r","database":"orders","type":"primary","service":"db",
        "timeoutMs":1000,"priority":1}}],
        "tenants":[{{"name":"north","apiKeys":["k-1"]}},{{"name":"south","apiKeys":["k-2"]}}]}}"#
    )
}

/// What a host answers to a startup.
fn open(host: &Host, key: &str) -> String {
    let mut stream = TcpStream::connect(host.front_address).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
    stream.write_all(format!("STARTUP orders {key}\r\n").as_bytes()).expect("it is sent");
    let mut word = [0; 5];
    stream.read_exact(&mut word).expect("an answer");
    String::from_utf8_lossy(&word).into_owned()
}

/// Guards against a withdrawn key that goes on working, because a value or an entry elsewhere in the
/// version that withdraws it keeps the host from decoding the version.
#[parameterized(
    large_priority = { r#""priority":1"#, r#""priority":1000"# },
    priority_above_64_bits = { r#""priority":1"#, r#""priority":36893488147419103232"# },
    fraction_of_a_millisecond = { r#""timeoutMs":1000"#, r#""timeoutMs":999.5"# },
    many_connections = { r#""maxConnections":4"#, r#""maxConnections":5000000000"# },
    route_of_another_type = { r#""routes":["#, r#""routes":[{"database":"d","type":"new"},"# },
    entry_of_another_writer = { r#""services":["#, r#""services":[7,{"name":"a b"},"# },
    account_with_an_odd_name = { r#""tenants":["#, r#""tenants":[{"name":"a b"},{},"# },
    names_of_other_letters = { r#""name":"south""#, r#""name":"süd/1""# },
)]
fn a_version_with_any_values_withdraws_a_key(found: &str, replacement: &str) {
    let store = Store::default();
    store.put("op", "config", with_key(3).as_bytes());
    let mut host = Host::start("h1", store.serve(None));
    host.wait_for("host: callers are accepted");
    assert_eq!(open(&host, "k-1"), "READY");
    let text = with_key(8).replace(r#"{"name":"north","apiKeys":["k-1"]},"#, "");
    assert!(text.contains(found));
    store.put("op", "config", text.replace(found, replacement).as_bytes());
    let line = host.wait_for("configuration: version is in use");
    assert!(line.contains(r#""version":"8""#), "{line}");
    assert_eq!((open(&host, "k-1"), open(&host, "k-2")), ("ERROR".into(), "READY".into()));
}

/// Guards against a restarted host with a lower incarnation than before: the other hosts take the
/// higher incarnation for the newer one and keep the link to the former process until it times out.
#[test]
fn incarnations_increase_with_each_start() {
    let store = Store::default();
    let incarnations: Vec<u64> = (0..6)
        .map(|_| {
            let mut host = Host::start("h1", store.serve(None));
            let line = host.wait_for("host: starting");
            let (_, rest) = line.split_once(r#""incarnation":"#).expect("a run");
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().expect("a number")
        })
        .collect();
    assert!(incarnations.is_sorted() && incarnations[0] < incarnations[5], "{incarnations:?}");
}

/// Time of day at which a log line was written.
fn time_of_day(line: &str) -> Duration {
    let (_, time) = line.split_once('T').expect("a time");
    let fields: Vec<f64> =
        time[..15].split(':').map(|field| field.parse().expect("a number")).collect();
    Duration::from_secs_f64(fields[0] * 3_600.0 + fields[1] * 60.0 + fields[2])
}

/// Guards against hosts that report their demand only half a second after their link has opened and
/// reserve an equal share of each rate for each other until then: after a start of 59 hosts, homes
/// admitted only a fraction of their callers for 0.4 s.
#[test]
fn hosts_tell_their_demand_when_their_link_opens() {
    let store = Store::default();
    store.put("op", "config", configuration(3).as_bytes());
    let mut first = Host::start("h1", store.serve(None));
    first.wait_for("host: callers are accepted");
    let mut second = Host::start("h2", store.serve(None));
    let opened = time_of_day(&second.wait_for("peer: connected"));
    let heard = time_of_day(&second.wait_for("limits: demand reports of a host have started"));
    let waited = heard.saturating_sub(opened);
    assert!(waited < Duration::from_millis(100), "{waited:?}");
}
