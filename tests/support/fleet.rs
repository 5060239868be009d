//! A fleet of processes: the platform emulator, a group of three endpoints, and hosts.
// Each test binary uses only part of this module.
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

/// Database of the route that needs no key.
pub const OPEN: &str = "open";
/// Database of the route that needs a key of the account `north`.
pub const KEYED: &str = "keyed";

/// A running host process, killed when dropped.
pub struct HostProcess {
    child: Child,
    /// Address for callers.
    pub callers: String,
}

impl HostProcess {
    /// Connection string of `user` for `database`, with additional options in `rest`.
    pub fn url(&self, user: &str, database: &str, rest: &str) -> String {
        let (host, port) = self.callers.split_once(':').expect("an address has a port");
        format!("host={host} port={port} user={user} dbname={database} connect_timeout=10 {rest}")
    }

    /// Connects through the open route.
    pub fn open(&self) -> Client {
        let client = Client::connect(&self.url("anyone", OPEN, ""), NoTls);
        client.expect("the host accepts a caller of the open route")
    }

    /// Connects through the open route with a position token.
    pub fn open_at(&self, token: &str) -> Client {
        let options = format!("options='-c medlarstile.position={token}'");
        let client = Client::connect(&self.url("anyone", OPEN, &options), NoTls);
        client.expect("the host accepts the token")
    }

    /// Connects through the keyed route with `key` as password.
    pub fn keyed(&self, key: &str) -> Result<Client, postgres::Error> {
        Client::connect(&self.url("north", KEYED, &format!("password={key}")), NoTls)
    }

    /// Requests a graceful stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal to the host process.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the process has ended.
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

/// The processes that hosts connect to, and the tables.
pub struct Fleet {
    pub platform: Emulator,
    pub endpoints: [Endpoint; 3],
    pub tables: Tables,
    version: RowVersion,
}

impl Fleet {
    /// Starts a fleet without hosts, whose tables have the open route. The tables are written by
    /// [`Fleet::commit`].
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

    /// Starts a host with additional arguments and waits until it accepts callers.
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

/// A route of `account` from `database` to the fleet's pool.
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

/// The position token of a session.
pub fn token(client: &mut Client) -> String {
    let rows = client.simple_query("SHOW medlarstile.position").expect("SHOW is answered");
    let row = rows.iter().find_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.expect("one row").to_owned()
}

/// SQLSTATE of an error, empty if the error has none.
pub fn sqlstate(error: &postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}
