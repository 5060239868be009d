//! Host processes on the platform, as the tests start and observe them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

use super::ports::free_port;

/// Time after which a host is killed, so that a test does not wait forever.
pub const LIMIT: Duration = Duration::from_secs(20);
/// Time after the loss of its connections within which a host has the latest configuration again:
/// the smallest `contactMs` of the users' deployments.
pub const CONTACT_LIMIT: Duration = Duration::from_secs(4);

/// A running host process. It is killed when it is dropped, or after [`LIMIT`].
pub struct Host {
    pub child: Arc<Mutex<Child>>,
    log: BufReader<ChildStdout>,
    settings: PathBuf,
    /// Address for callers.
    pub front_address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    _watch: Sender<()>,
}

/// What differs between the hosts of the tests.
pub struct HostSpec {
    /// Address of the store.
    pub store: SocketAddr,
    /// Share of a core; the hosts with the largest become homes.
    pub share: f64,
    /// Time within which a version of the configuration has to be in force.
    pub limit: Duration,
    /// Whether the platform checks fencing tokens; a host without leases reads the hosts' rows less
    /// often.
    pub checks_tokens: bool,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    pub descriptors: u64,
}

impl HostSpec {
    pub fn at(store: SocketAddr) -> Self {
        Self {
            store,
            share: 1.0,
            limit: CONTACT_LIMIT,
            checks_tokens: false,
            memory_mb: 260,
            descriptors: 4_200,
        }
    }

    pub fn start(&self, name: &str) -> Host {
        let Self { store, share, limit, checks_tokens, memory_mb, descriptors } = self;
        let limit_ms = limit.as_millis();
        let [front, probe, peer_address, metrics] = [(); 4].map(|()| free_port());
        let text = format!(
            r#"{{"nodeName":"{name}","ip":"127.0.0.1","zone":"a",
            "bindAddrs":{{"frontend":"127.0.0.1:{front}","readiness":"127.0.0.1:{probe}"}},
            "internalPortRange":[{peer_address},{peer_address}],
            "bounds":{{"graceS":6,"contactMs":{limit_ms},"requireFencing":{checks_tokens}}},"limits":{{"cpuShare":{share},"memoryMb":{memory_mb},"maxFds":{descriptors}}},
            "platform":{{"address":"{store}"}},"cloudApi":{{"address":"{store}"}}}}"#
        );
        let settings = std::env::temp_dir().join(format!("medlarstile-{name}-{peer_address}"));
        std::fs::write(&settings, text).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_medlarstile"))
            .args(["--log-format", "json", "--log-output", "stdout", "platform-host"])
            .args(["--metrics-port", &metrics.to_string()])
            .env("MEDLARSTILE_NODE_FILE", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the host starts");
        let log = BufReader::new(child.stdout.take().expect("a log"));
        let child = Arc::new(Mutex::new(child));
        let (watch, ended) = channel::<()>();
        let watched = Arc::clone(&child);
        std::thread::spawn(move || {
            if ended.recv_timeout(LIMIT) == Err(RecvTimeoutError::Timeout) {
                drop(watched.lock().expect("the child").kill());
            }
        });
        let [front_address, peer_address] =
            [front, peer_address].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        Host { child, log, settings, front_address, peer_address, _watch: watch }
    }
}

impl Host {
    /// Starts a host that uses the store at `store`.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        HostSpec::at(store).start(name)
    }

    /// Changes the time within which a version has to be in force, and waits until the host has
    /// read its settings again.
    pub fn set_limit(&mut self, limit: Duration) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        let (start, rest) = text.split_once(r#""contactMs":"#).expect("the limit");
        let rest = rest.trim_start_matches(|digit: char| digit.is_ascii_digit());
        let text = format!(r#"{start}"contactMs":{}{rest}"#, limit.as_millis());
        std::fs::write(&self.settings, text).expect("the settings are written");
        self.signal(Signal::HUP);
        self.wait_for("host: settings were read again");
    }

    /// Reads the log up to the line with `message`; none if the host has ended before.
    pub fn find(&mut self, message: &str) -> Option<String> {
        let mut line = String::new();
        while self.log.read_line(&mut line).expect("text") > 0 {
            if line.contains(message) {
                return Some(line);
            }
            line.clear();
        }
        None
    }

    /// Reads the log up to the line with `message`.
    pub fn wait_for(&mut self, message: &str) -> String {
        self.find(message).unwrap_or_else(|| panic!("the host ended without {message:?}"))
    }

    /// Reads the log until each of `messages` has been seen, in any order.
    pub fn wait_for_all(&mut self, messages: &[&str]) {
        let mut missing = messages.to_vec();
        while !missing.is_empty() {
            let line = self.wait_for("");
            missing.retain(|message| !line.contains(message));
        }
    }

    /// Id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.lock().expect("the child").id()
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.process_id();
        let pid = i32::try_from(id).ok().and_then(Pid::from_raw).expect("a process id");
        kill_process(pid, signal).expect("the signal is sent");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let mut child = self.child.lock().expect("the child");
        drop(child.kill());
        drop(child.wait());
        drop(std::fs::remove_file(&self.settings));
    }
}
