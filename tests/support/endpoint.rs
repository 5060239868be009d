//! Emulated endpoints as processes, controlled through their control ports.
// Each test binary uses only part of this module.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use postgres::{Client, NoTls};
use serde_json::{json, Value};

/// Time limit for an answer from the control port.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of checks before a wait fails, about 10 s in all.
const MAX_POLLS: usize = 2_000;

/// A running endpoint process, killed when dropped.
pub struct Endpoint {
    child: Child,
    control: BufReader<TcpStream>,
    pub id: String,
    pub postgres: String,
    pub replication: String,
}

impl Endpoint {
    /// Starts an endpoint with additional arguments.
    pub fn start(id: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_medlarstile"))
            .args(["emulate", "endpoint", "--id", id])
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is a pipe");
        BufReader::new(stdout).read_line(&mut line).expect("the endpoint prints its addresses");
        let address = |name: &str| {
            let part = line.split_whitespace().find_map(|part| part.strip_prefix(name));
            part.unwrap_or_else(|| panic!("no {name} in {line:?}")).to_owned()
        };
        let control = TcpStream::connect(address("control=")).expect("the control port accepts");
        control.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a timeout can be set");
        Self {
            child,
            control: BufReader::new(control),
            id: id.to_owned(),
            postgres: address("postgres="),
            replication: address("replication="),
        }
    }

    /// Starts the primary of a group of one endpoint.
    pub fn single(arguments: &[&str]) -> Self {
        Self::start("a", &[&["--primary", "a"], arguments].concat())
    }

    /// Sends a request to the control port and returns the answer, which must not be an error.
    pub fn control(&mut self, request: Value) -> Value {
        let line = format!("{request}\n");
        self.control.get_mut().write_all(line.as_bytes()).expect("the control port reads");
        let mut answer = String::new();
        self.control.read_line(&mut answer).expect("the control port answers");
        let answer: Value = serde_json::from_str(&answer).expect("the answer is JSON");
        assert_eq!(answer.get("error"), None, "{request}");
        answer
    }

    /// Logs in as the proxy; returns the error if the endpoint refuses.
    pub fn try_connect(&self) -> Result<Client, postgres::Error> {
        let address = &self.postgres;
        let login = "proxy:proxy-password";
        Client::connect(&format!("postgres://{login}@{address}/test?connect_timeout=10"), NoTls)
    }

    /// Logs in as the proxy.
    pub fn connect(&self) -> Client {
        self.try_connect().expect("the endpoint accepts the login")
    }

    /// The status as reported to the proxy.
    pub fn status(&mut self) -> String {
        let answer = self.control(json!({"op": "status"}));
        answer["status"].as_str().expect("a text").to_owned()
    }

    /// Value of one status field.
    pub fn field(&mut self, name: &str) -> String {
        let status = self.status();
        let prefix = format!("{name}=");
        let found = status.split(' ').find_map(|part| part.strip_prefix(&prefix));
        found.expect("the status has the field").to_owned()
    }

    /// Waits until a status field has the value.
    pub fn wait_field(&mut self, name: &str, value: &str) {
        self.wait_until(&format!("{name}={value}"), |endpoint| endpoint.field(name) == value);
    }

    /// Value of one counter.
    pub fn count(&mut self, name: &str) -> u64 {
        self.control(json!({"op": "counts"}))[name].as_u64().expect("a counter")
    }

    /// Positions of the log entries whose changes contain `text`.
    pub fn entries_with(&mut self, text: &str) -> Vec<String> {
        let log = self.control(json!({"op": "log"}));
        let entries = log["entries"].as_array().expect("a list").iter();
        let matching = entries.filter(|entry| entry["changes"].to_string().contains(text));
        matching.map(|entry| entry["position"].as_str().expect("a text").to_owned()).collect()
    }

    /// Sends SIGTERM and waits for the exit code, which is `None` if the signal killed the process.
    pub fn terminate(&mut self) -> Option<i32> {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("it is running");
        let control = self.control.get_ref();
        control.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a timeout can be set");
        let read = self.control.get_mut().read(&mut [0; 1]);
        assert!(!read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock), "it does not end");
        self.child.wait().expect("it ends").code()
    }

    /// Waits by reading from the control port until the read times out.
    pub fn idle(&mut self, time: Duration) {
        let set_timeout = |endpoint: &Self, time| {
            let stream = endpoint.control.get_ref();
            stream.set_read_timeout(Some(time)).expect("a timeout can be set");
        };
        set_timeout(self, time);
        let read = self.control.get_mut().read(&mut [0; 1]);
        let timed_out = read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        assert!(timed_out, "the control port sent data without a request");
        set_timeout(self, ANSWER_TIMEOUT);
    }

    /// Waits until a condition holds, and panics after about 10 s.
    pub fn wait_until(&mut self, description: &str, mut condition: impl FnMut(&mut Self) -> bool) {
        for _ in 0..MAX_POLLS {
            if condition(self) {
                return;
            }
            self.idle(POLL_INTERVAL);
        }
        let status = self.status();
        panic!("{}: {description} did not become true, status {status}", self.id);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        let _ = self.control.get_ref().shutdown(Shutdown::Both);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a group of endpoints a, b and c with a as primary.
pub fn group(arguments: &[&str]) -> [Endpoint; 3] {
    let mut group = ["a", "b", "c"].map(|id| Endpoint::start(id, arguments));
    let members: Vec<String> = group
        .iter()
        .map(|member| format!("{}={}={}", member.id, member.postgres, member.replication))
        .collect();
    for member in &mut group {
        member.control(json!({"op": "members", "members": members, "primary": "a"}));
    }
    group
}
