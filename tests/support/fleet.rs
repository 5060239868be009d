//! A platform, a group of three endpoints and hosts of the proxy, each a process of its own.
// Each test file uses a part of this module.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use medlarstile::auth::Secret;
use medlarstile::commands::tables::issue_key;
use medlarstile::core::store::{Commit, Transaction};
use medlarstile::tables::{PoolRow, RouteRow, Tables};
use medlarstile::types::{
    AttemptId, Burst, ConnectionCount, DurationMs, RatePerS, RowVersion, Slots, TableVersion,
    Weight,
};
use medlarstile::wire::tables::{write_config, Config};
use postgres::{Client, NoTls};
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;

use crate::endpoint::{group, Endpoint};
use crate::support::{id, Emulator};

/// Database of the open route.
pub const OPEN: &str = "open";
/// Database of the route of the account `north`.
pub const KEYED: &str = "keyed";

/// A running host.
pub struct HostProcess {
    child: Child,
    /// Address for callers.
    pub callers: String,
}

impl HostProcess {
    /// Connection string of `user` to `database` with further options.
    pub fn url(&self, user: &str, database: &str, rest: &str) -> String {
        let (host, port) = self.callers.split_once(':').expect("an address has a port");
        format!("host={host} port={port} user={user} dbname={database} connect_timeout=10 {rest}")
    }

    /// A client of the open route.
    pub fn open(&self) -> Client {
        let client = Client::connect(&self.url("anyone", OPEN, ""), NoTls);
        client.expect("the host accepts a caller of the open route")
    }

    /// A client of the open route that presents a session token.
    pub fn open_at(&self, token: &str) -> Client {
        let options = format!("options='-c medlarstile.position={token}'");
        let client = Client::connect(&self.url("anyone", OPEN, &options), NoTls);
        client.expect("the host accepts the token")
    }

    /// Result of a login with a key.
    pub fn keyed(&self, key: &str) -> Result<Client, postgres::Error> {
        Client::connect(&self.url("north", KEYED, &format!("password={key}")), NoTls)
    }

    /// Asks the host to stop.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().expect("the process ends")
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Everything that a test talks to.
pub struct Fleet {
    pub platform: Emulator,
    pub endpoints: [Endpoint; 3],
    pub tables: Tables,
    version: RowVersion,
}

impl Fleet {
    /// A fleet without hosts, whose tables have an open and a keyed route.
    pub fn start(endpoint_arguments: &[&str]) -> Self {
        let platform = Emulator::start();
        let endpoints = group(endpoint_arguments);
        let tables = Tables {
            version: TableVersion(0),
            routes: vec![route("open", OPEN, "*")],
            pools: endpoints.iter().map(pool).collect(),
        };
        Self { platform, endpoints, tables, version: RowVersion(0) }
    }

    /// Adds the keyed route and returns its key.
    pub fn add_keyed_route(&mut self) -> Secret {
        self.tables.routes.push(route("keyed", KEYED, "north"));
        let mut rng = ChaCha20Rng::seed_from_u64(7);
        let issued = issue_key(&mut self.tables, &id("north"), "first", &mut rng);
        issued.expect("the account has a route").key
    }

    /// Writes the tables to the platform as a new version.
    pub fn commit(&mut self) {
        self.tables.version = self.tables.version.next();
        let tables = self.tables.clone();
        let config = Config { tables, editor: "test".into(), attempt: AttemptId(1) };
        let text = write_config(&config).expect("the tables can be written");
        let value = serde_json::from_str(&text).expect("JSON");
        let (table, key) = (id("config"), id("current"));
        let swap = Transaction::swap(table, key, self.version, Some(value));
        match self.platform.client("test").transact(swap).expect("the platform answers") {
            Commit::Committed(seq) => self.version = RowVersion(seq.0),
            Commit::Conflicts(conflicts) => panic!("{conflicts:?}"),
        }
    }

    /// Starts a host and waits until it accepts callers.
    pub fn host(&self, name: &str, arguments: &[&str]) -> HostProcess {
        let mut child = Command::new(env!("CARGO_BIN_EXE_medlarstile"))
            .args(["--log", "warn", "host", "--host-id", name, "--failure-domain", "fd1"])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--platform", &self.platform.address.to_string()])
            .args(["--endpoint-user", "proxy", "--endpoint-password", "proxy-password"])
            .env("MEDLARSTILE_FLEET_SECRET", "a secret of the tests")
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is a pipe");
        BufReader::new(stdout).read_line(&mut line).expect("the host prints its address");
        let callers = line.trim().strip_prefix("listening callers=");
        let callers = callers.unwrap_or_else(|| panic!("{name} printed {line:?}")).to_owned();
        HostProcess { child, callers }
    }
}

/// A row of the routes table to the pool of the fleet.
pub fn route(name: &str, database: &str, account: &str) -> RouteRow {
    RouteRow {
        name: name.into(),
        database: database.into(),
        account: account.into(),
        keys: Vec::new(),
        rate_per_s: RatePerS(100_000),
        burst: Burst(100_000),
        weight: Weight(1),
        pool: "pool".into(),
        freshness: "session".into(),
        max_wait_ms: DurationMs(8_000),
    }
}

fn pool(endpoint: &Endpoint) -> PoolRow {
    PoolRow {
        pool: "pool".into(),
        group: "group".into(),
        endpoint: endpoint.id.as_str().into(),
        address: endpoint.postgres.as_str().into(),
        failure_domain: "fd1".into(),
        slots: Slots(2),
        connections: ConnectionCount(15),
        state: "active".into(),
    }
}

/// The token that a session would present elsewhere.
pub fn token(client: &mut Client) -> String {
    let rows = client.simple_query("SHOW medlarstile.position").expect("SHOW is answered");
    let row = rows.iter().find_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.expect("one row").to_owned()
}

/// SQLSTATE of an error.
pub fn sqlstate(error: &postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}
