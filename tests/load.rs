//! The load tool against an emulated endpoint.

#[path = "support/endpoint.rs"]
mod endpoint;

use std::process::{Command, Output};

use endpoint::Endpoint;
use serde_json::Value;
use yare::parameterized;

fn load(target: &str, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarstile"))
        .args(["--log", "error", "load", "--target", target, "--database", "test"])
        .args(["--user", "proxy", "--password", "proxy-password", "--seconds", "1"])
        .args(arguments)
        .output()
        .expect("the binary runs")
}

/// Guards against a report that counts statements that were not served, or misses some. Its count
/// is compared with the endpoint's own counter. The endpoint's may be higher by the two statements
/// of the set-up and, for each connection, by one statement in flight and one whose completion the
/// tool has not counted yet.
#[parameterized(
    read = { &["--mode", "read", "--connections", "3"], 8 },
    write = { &["--mode", "write", "--connections", "2"], 6 },
    mixed_prepared = { &["--mode", "mixed", "--prepared", "--connections", "3"], 8 },
    with_idle_connections = { &["--connections", "2", "--idle", "4"], 6 },
)]
fn counts_what_the_endpoint_served(arguments: &[&str], max_ahead: u64) {
    let mut endpoint = Endpoint::single(&[]);
    let output = load(&endpoint.postgres, &[arguments, &["--format", "json"]].concat());
    let text = String::from_utf8(output.stdout).expect("the result is text");
    let report: Value = serde_json::from_str(text.lines().last().expect("a line")).expect("JSON");
    assert!(output.status.success(), "{text}");
    assert_eq!(report["errors"], serde_json::json!({}));
    let (counted, served) = (report["statements"].as_u64(), endpoint.count("statements"));
    let counted = counted.expect("a number");
    assert!(counted > 100, "{report}");
    assert!((counted..=counted + max_ahead).contains(&served), "{report}, {served} served");
    assert!(report["median_us"].as_u64() <= report["p99_us"].as_u64());
}

/// Guards against errors that are missing from the result.
#[test]
fn reports_errors_by_sqlstate() {
    let endpoint = Endpoint::single(&["--max-connections", "3"]);
    let output = load(&endpoint.postgres, &["--connections", "5"]);
    let text = String::from_utf8(output.stdout).expect("the result is text");
    assert!(text.contains("error 53300       2\n"), "{text}");
}

/// Guards against sending load to another machine.
#[parameterized(
    private_network = { "10.1.0.11:5432" },
    documentation_network = { "192.0.2.1:5432" },
    all_addresses = { "0.0.0.0:5432" },
)]
fn refuses_targets_outside_loopback(target: &str) {
    let output = load(target, &[]);
    let text = String::from_utf8(output.stderr).expect("the error is text");
    assert!(!output.status.success());
    assert!(text.contains("only loopback addresses are allowed"), "{text}");
}
