//! Real host processes in front of one endpoint double, and sessions at them.

use std::net::SocketAddr;

use super::host_process::{Host, HostSpec, LIMIT};
use super::line_caller::LineCaller;
use super::line_endpoint_double::Endpoint;
use super::platform_store_double::Store;

/// Starts hosts before the endpoint. Of four hosts the first runs all sessions, since the endpoint
/// accepts few connections; a single one runs those of its own callers.
pub fn start_hosts(endpoint: &Endpoint, count: usize) -> Vec<Host> {
    let store = Store::default();
    let configuration = r#"{"version":3,"tenants":[],"limits":{"txIdleMs":3000},"routes":[
        {"database":"orders","type":"primary","service":"db","timeoutMs":2000,
        "targetLatencyMs":1000,"public":true}],"services":[{"name":"db","maxConnections":4}]}"#;
    store.put("op", "config", configuration.as_bytes());
    let address = endpoint.address;
    let entry = format!(
        r#"{{"service":"db","address":"{address}","zone":"a","state":"ready",
        "dbRole":"primary","born":5,"sequence":1}}"#
    );
    store.put("servers", "e0", entry.as_bytes());
    let stores: Vec<SocketAddr> = (0..count).map(|_| store.serve(None)).collect();
    let start = |(place, store): (usize, &SocketAddr)| {
        let share = if place == 0 { 1.0 } else { 0.5 };
        HostSpec { share, ..HostSpec::at(*store) }.start(&format!("h{place}"))
    };
    let mut hosts: Vec<Host> = stores.iter().enumerate().map(start).collect();
    for host in &mut hosts {
        let accepted = "host: callers are accepted";
        let home_found = if count > 1 { r#""homes":"h0""# } else { accepted };
        host.wait_for_all(&[accepted, home_found]);
    }
    hosts
}

/// Opens a session at the last host.
pub fn open(hosts: &[Host]) -> LineCaller {
    LineCaller::open(hosts.last().expect("a host").front_address, "orders", LIMIT)
}
