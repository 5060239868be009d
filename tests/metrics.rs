//! Metrics as a statsd server receives them.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use std::net::UdpSocket;
use std::time::Duration;

use fleet::Fleet;

/// Guards against a host that sends no metrics, or sends them in a format that statsd can't parse.
#[test]
fn a_host_reports_requests_and_sessions() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    server.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout can be set");
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let address = server.local_addr().expect("bound").to_string();
    let host = fleet.host("h1", &["--statsd", &address]);
    let mut client = host.open();
    client.simple_query("SELECT 1").expect("served");
    client.simple_query("SELECT * FROM missing").expect_err("there is no such table");
    let wanted = [
        "medlarstile.requests.released:1|c",
        "medlarstile.sessions:1|g",
        "medlarstile.groups.group.waiting:0|g",
    ];
    let mut seen = String::new();
    while !wanted.iter().all(|metric| seen.contains(metric)) {
        let mut buffer = [0; 1_500];
        let length = server.recv(&mut buffer).expect("a metric arrives");
        seen.push_str(&String::from_utf8_lossy(&buffer[..length]));
        seen.push('\n');
    }
}
