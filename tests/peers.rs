//! Hosts that get views, table edits and tokens from each other.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use std::net::UdpSocket;
use std::time::Duration;

use fleet::{sqlstate, Fleet, HostProcess};
use medlarstile::auth::Secret;
use medlarstile::chart::Names;
use medlarstile::net::peer::{self, PeerState};
use medlarstile::types::{Burst, DurationMs, RatePerS};
use postgres::Client;
use serde_json::json;

/// SQLSTATE of a keyed request at a host without a valid view.
const VIEW_EXPIRED: &str = "57P03";

/// Waits for the given time, by the read timeout of a socket that receives nothing.
fn pause(ms: u64) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_millis(ms))).expect("a timeout can be set");
    assert!(socket.recv(&mut [0]).is_err(), "nobody sends to this socket");
}

/// Starts two hosts with a keyed route and gives them time to connect. `second` holds additional
/// arguments of the second host.
fn two_hosts(second: &[&str]) -> (Fleet, [HostProcess; 2], Secret) {
    let mut fleet = Fleet::start(&[]);
    let key = fleet.add_keyed_route();
    fleet.commit();
    let hosts = [fleet.host("h1", &[]), fleet.host("h2", second)];
    pause(1_000);
    (fleet, hosts, key)
}

/// Sends requests for 4.5 s, longer than the 3 s for which a view is valid; all must be served.
fn serve_longer_than_a_view_is_valid(client: &mut Client) {
    for round in 0..45 {
        let served = client.simple_query("SELECT 1");
        assert!(served.is_ok(), "round {round}: {served:?}");
        pause(100);
    }
}

/// Guards against a host that stops serving or misses table edits while the platform refuses its
/// calls, although one of its peers has a fresh view.
#[test]
fn a_peer_supplies_the_view_while_the_platform_refuses_a_host() {
    let (mut fleet, [_first, second], key) = two_hosts(&[]);
    fleet.platform.control(json!({ "refuse": ["h2"] }));
    let mut client = second.keyed(key.expose()).expect("the key is valid");
    serve_longer_than_a_view_is_valid(&mut client);
    fleet.tables.routes.pop();
    fleet.commit();
    fleet.endpoints[0].wait_until("the key is withdrawn at the cut-off host", |_| {
        second.keyed(key.expose()).is_err_and(|error| sqlstate(&error) == "28P01")
    });
    assert!(client.simple_query("SELECT 1").is_err(), "the open connection is refused too");
    second.open().simple_query("SELECT 1").expect("the open route is served");
}

/// Guards against hosts that stop serving when the platform is down for all of them.
#[test]
fn hosts_confirm_each_others_views_while_the_platform_is_down() {
    let (fleet, hosts, key) = two_hosts(&[]);
    let mut clients = hosts.each_ref().map(|host| host.keyed(key.expose()).expect("a valid key"));
    fleet.platform.control(json!({ "down": true }));
    serve_longer_than_a_view_is_valid(&mut clients[0]);
    serve_longer_than_a_view_is_valid(&mut clients[1]);
}

/// Guards against a host without the fleet's secret that is accepted as a peer: its statements must
/// not count, and it must not get a view.
#[test]
fn a_host_with_another_secret_is_no_peer() {
    let (mut fleet, [first, second], key) = two_hosts(&["--fleet-secret", "another secret of 16"]);
    let mut clients = [&first, &second].map(|host| host.keyed(key.expose()).expect("a valid key"));
    fleet.platform.control(json!({ "down": true }));
    for client in &mut clients {
        fleet.endpoints[0].wait_until("keyed requests are refused", |_| {
            client.simple_query("SELECT 1").is_err_and(|error| sqlstate(&error) == VIEW_EXPIRED)
        });
    }
    first.open().simple_query("SELECT 1").expect("the open route is served");
}

/// Guards against refused requests of an account whose callers all use one host. 160 callers send
/// about 200 requests per second together. The host's own share is 130 of 260 per second; without
/// tokens from its peer each request would wait about 430 ms, longer than the route allows.
#[test]
fn tokens_follow_the_demand() {
    let mut fleet = Fleet::start(&[]);
    let route = &mut fleet.tables.routes[0];
    (route.rate_per_s, route.burst) = (RatePerS(260), Burst(260));
    route.max_wait_ms = DurationMs(250);
    fleet.commit();
    let hosts = [fleet.host("h1", &[]), fleet.host("h2", &[])];
    pause(2_000);
    // Uses the open route, because a login with a key takes 0.2 s in a test build.
    let clients: Vec<Client> = (0..160).map(|_| hosts[0].open()).collect();
    let callers: Vec<_> = (1..)
        .step_by(5)
        .zip(clients)
        .map(|(first_ms, client)| std::thread::spawn(move || refusals(client, first_ms)))
        .collect();
    let refused: Vec<String> =
        callers.into_iter().flat_map(|caller| caller.join().expect("the caller ends")).collect();
    assert!(refused.is_empty(), "{} of 1,600 refused: {refused:?}", refused.len());
}

/// Sends 10 requests, one every 800 ms, and returns the SQLSTATEs of the refused ones.
fn refusals(mut client: Client, first_ms: u64) -> Vec<String> {
    pause(first_ms);
    let requests = (0..10).map(|_| {
        pause(800);
        client.simple_query("SELECT 1").map(drop)
    });
    requests.filter_map(Result::err).map(|error| sqlstate(&error)).collect()
}

/// Guards against a chart state that cannot be reached or that has no transition to the final
/// state.
#[test]
fn the_chart_reaches_every_state() {
    let chart = peer::chart().expect("a valid chart");
    let transitions = chart.transitions();
    for (name, state) in PeerState::NAMES.iter().skip(1) {
        let reached = transitions.iter().any(|(from, .., to)| to == state && from != state);
        assert!(reached, "{name}");
    }
    let ends = transitions.iter().filter(|(.., to)| chart.is_final(*to));
    assert_eq!(ends.count(), 6, "each of the 3 states has a refused and a lost transition");
}
