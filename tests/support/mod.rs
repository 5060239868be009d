//! The platform emulator as a process, and shorthands for values that many tests use.
// Each test binary uses only part of this module.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use medlarstile::core::store::{Commit, Row, Transaction};
use medlarstile::net::platform::{PlatformClient, PlatformSettings};
use medlarstile::types::{CommitSeq, DurationMs, RowVersion};
use serde_json::Value;

/// A running platform emulator, killed when dropped.
pub struct Emulator {
    process: Child,
    pub address: SocketAddr,
}

impl Emulator {
    pub fn start() -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_medlarstile"))
            .args(["emulate", "platform", "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = process.stdout.take().expect("stdout is piped");
        BufReader::new(stdout).read_line(&mut line).expect("stdout is text");
        let address = line.trim().strip_prefix("listening platform=").map(id);
        let address = address.expect("the first line names the address");
        Self { process, address }
    }

    /// A client whose time limit of 20 s is far above the duration of a loopback call.
    pub fn client(&self, name: &str) -> PlatformClient {
        self.client_with_limit(name, 20_000)
    }

    pub fn client_with_limit(&self, name: &str, call_limit_ms: u64) -> PlatformClient {
        let settings = PlatformSettings::new(self.address, id(name));
        PlatformClient::new(settings.with_call_limit(DurationMs(call_limit_ms)))
    }

    /// Sets fault injection options and returns the emulator's report.
    pub fn control(&self, body: Value) -> Value {
        let url = format!("http://{}/control", self.address);
        let mut answer = ureq::post(url).send_json(body).expect("control answers");
        answer.body_mut().read_json().expect("a report")
    }
}

impl Drop for Emulator {
    fn drop(&mut self) {
        self.process.kill().expect("the process runs");
        self.process.wait().expect("the process ends");
    }
}

/// Parses an id.
pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid text")
}

/// A transaction that replaces one row if it still has the expected version.
pub fn swap(table: &str, key: &str, expected: u64, value: Value) -> Transaction<Value> {
    Transaction::swap(id(table), id(key), RowVersion(expected), Some(value))
}

/// Writes one row of the table `config` and returns the commit sequence.
pub fn write(client: &PlatformClient, key: &str, expected: u64, value: Value) -> CommitSeq {
    match client.transact(swap("config", key, expected, value)).expect("an answer") {
        Commit::Committed(seq) => seq,
        Commit::Conflicts(conflicts) => panic!("{conflicts:?}"),
    }
}

/// All rows of the table `config`.
pub fn rows(client: &PlatformClient) -> Vec<Row<Value>> {
    client.read(&id("config"), None).expect("an answer").rows
}
