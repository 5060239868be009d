//! The demo command: its printed connection strings work with a PostgreSQL client.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use postgres::{Client, NoTls};
use yare::parameterized;

/// The running demo process, killed when dropped.
struct Demo {
    process: Child,
    lines: Vec<String>,
}

impl Demo {
    fn start() -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_medlarstile"))
            .args(["--log", "warn", "demo", "--port", "0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let stdout = process.stdout.take().expect("stdout is a pipe");
        let mut lines = Vec::new();
        for line in BufReader::new(stdout).lines() {
            lines.push(line.expect("stdout is text"));
            if lines.last().is_some_and(|line| line.starts_with("ready")) {
                break;
            }
        }
        Self { process, lines }
    }

    fn value(&self, name: &str) -> &str {
        let found = self.lines.iter().find_map(|line| line.strip_prefix(name));
        found.unwrap_or_else(|| panic!("no {name:?} in {:?}", self.lines)).trim()
    }

    fn connect(&self, host: &str, login: &str) -> Client {
        let address = self.value(&format!("host {host}:"));
        let (ip, port) = address.split_once(':').expect("an address has a port");
        let target = format!("host={ip} port={port} connect_timeout=10 {login}");
        Client::connect(&target, NoTls).expect("the host accepts the login")
    }

    /// Connects with the target and password of a printed `psql` command.
    fn connect_as_printed(&self, prefix: &str) -> Client {
        let line = self.value(prefix);
        let target = line.split('\'').nth(1).expect("the line quotes the target");
        let password = line.split_once("PGPASSWORD=").map_or("", |(_, rest)| rest);
        let password = password.split(' ').next().expect("split gives a part");
        let password = if password.is_empty() { "none" } else { password };
        let target = format!("{target} password={password} connect_timeout=10");
        Client::connect(&target, NoTls).expect("the printed line connects")
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Guards against a demo that does not start, and against a position token that one of its hosts
/// issues and the other does not honor.
#[parameterized(
    from_the_first_to_the_second = { "h1", "h2" },
    from_the_second_to_the_first = { "h2", "h1" },
)]
fn writes_on_one_host_and_reads_on_the_other(first: &str, second: &str) {
    let demo = Demo::start();
    let login = "dbname=demo user=anyone";
    let (mut writer, mut reader) = (demo.connect(first, login), demo.connect(second, login));
    writer.batch_execute("CREATE TABLE item (id int PRIMARY KEY, name text)").expect("created");
    writer.execute("INSERT INTO item VALUES (1, 'first')", &[]).expect("inserted");
    let token = fleet::token(&mut writer);
    reader.batch_execute(&format!("SET medlarstile.position = '{token}'")).expect("token taken");
    let row = reader.query_one("SELECT name FROM item WHERE id = 1", &[]).expect("the row is read");
    assert_eq!(row.get::<_, &str>(0), "first");
}

/// Guards against a printed `psql` command that does not connect when copied.
#[test]
fn printed_psql_commands_connect() {
    let demo = Demo::start();
    for prefix in ["open route:", "keyed route:"] {
        let mut client = demo.connect_as_printed(prefix);
        client.simple_query("SELECT 1").expect("the query is answered");
    }
}
