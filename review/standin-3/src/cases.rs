//! The cases, and what they share.

mod ahead;
mod flood;
mod partial;
mod pipeline;
mod values;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::Session;
use crate::endpoint::{Group, GroupSpec};
use crate::fleet::{probe, Host, HostSpec, Machine};
use crate::record::Record;
use crate::store::Platform;

pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;

/// Name, key, rate and burst of the client accounts.
pub const TENANTS: [(&str, &str, u64, u64); 2] =
    [("north", "key-north", 197, 197), ("south", "key-south", 197, 197)];

pub fn run(name: &str, folder: &str, has_trouble: bool) -> i32 {
    match name {
        "pipeline" => pipeline::run(folder, has_trouble),
        "flood" => flood::run(folder, has_trouble),
        "values" => values::run(folder, has_trouble),
        "partial" => partial::run(folder, has_trouble),
        "ahead" => ahead::run(folder, has_trouble),
        _ => {
            eprintln!("unknown case {name}");
            COULD_NOT_RUN
        }
    }
}

/// A small deployment: a platform, a group of three endpoints and some hosts.
pub struct Deployment {
    pub record: Record,
    pub hosts: Vec<Host>,
    pub group: Group,
    folder: PathBuf,
}

/// A route of each type, one service and the client accounts, with the figures of Stimmwerk's grown site.
fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, timeout: u64, target: u64, priority: u64, extra: &str| {
        format!(
            r#"{{"name":"r-{name}","database":"{name}","prefix":"/","type":"{kind}","timeoutMs":{timeout},"targetLatencyMs":{target},"priority":{priority},"service":"s1","maxAttempts":2{extra},"public":false}}"#
        )
    };
    let routes = [
        route("bookings", "primary", 800, 100, 1, ""),
        route("lookup", "bounded_staleness", 1_200, 300, 2, r#","maxStalenessMs":1500"#),
        route("plan", "read_your_writes", 800, 200, 2, r#","maxStalenessMs":2500"#),
    ];
    let tenant = |(name, key, rate, burst): &(&str, &str, u64, u64)| {
        format!(
            r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1,"ratePerS":{rate},"burst":{burst}}}"#
        )
    };
    let tenants: Vec<String> = TENANTS.iter().map(tenant).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s1","healthCheckPath":"/health","maxConnections":32,"protocol":"h1","tls":false,"syncReplicas":0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.join(",")
    )
}

impl Deployment {
    /// Starts the platform, the group and a host on each of the machines, and waits until all
    /// are ready.
    pub fn start(folder: &str, machines: &[Machine]) -> Option<Self> {
        let record = Record::create(&format!("{folder}/record.txt"));
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).ok()?;
        let platform = Platform::new();
        let spec = GroupSpec {
            slots: 2,
            connections: 32,
            work: Duration::from_millis(3),
            lag: Duration::from_millis(20),
        };
        let group = Group::start("s1", spec, &platform, &record);
        platform.add_group(group.clone());
        platform.put("op", "config", &configuration(3));
        let store = platform.serve();
        let hosts = machines.iter().enumerate().map(|(index, machine)| {
            let (name, zone) = (format!("h{}", index + 1), format!("z{}", index % 3 + 1));
            HostSpec::new(&name, &zone, *machine, store, &temporary).start()
        });
        let hosts: Vec<Host> = hosts.collect();
        let deployment = Self { record, hosts, group, folder: temporary };
        let limit = Duration::from_secs(10);
        if !deployment.hosts.iter().all(|host| host.wait_ready(limit)) {
            deployment.record.note("a host is not ready");
            return None;
        }
        // The hosts link to each other, which takes up to four seconds when all start at once.
        thread::sleep(Duration::from_secs(6));
        deployment.record.note(&format!("{} hosts are ready", deployment.hosts.len()));
        Some(deployment)
    }

    /// Whether a host relays the sessions of the first client account: a message that is none is
    /// rejected, with a line in the log, by the host that runs the session.
    pub fn relays(&self, host: &Host) -> Option<bool> {
        let mut session = Session::open(host.spec.front_address(), "lookup", TENANTS[0].1).ok()?;
        session.lines.send("NOTHING\r\n")?;
        thread::sleep(Duration::from_millis(500));
        let path = self.folder.join(format!("{}.log", host.spec.name));
        let log = std::fs::read_to_string(path).ok()?;
        Some(!log.contains("caller: message cannot be decoded"))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Observes a host from outside: a client that behaves, and the readiness probe.
pub struct Watch {
    stop: Arc<AtomicBool>,
    answered: Arc<Mutex<Answered>>,
    unanswered: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

struct Answered {
    last: Instant,
    /// Longest time without an answer to the client or the probe.
    longest: Duration,
}

impl Answered {
    fn note(&mut self) {
        self.longest = self.longest.max(self.last.elapsed());
        self.last = Instant::now();
    }
}

impl Watch {
    /// Begins to observe. The client reads each 200 ms and gives a statement up after 4 s, the
    /// deadline of Stimmwerk's look-ups; the probe asks each 250 ms and waits for 2 s.
    pub fn start(record: &Record, front: SocketAddr, readiness: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered =
            Arc::new(Mutex::new(Answered { last: Instant::now(), longest: Duration::ZERO }));
        let unanswered = Arc::new(AtomicUsize::new(0));
        let client = {
            let (stop, answered, unanswered) = (stop.clone(), answered.clone(), unanswered.clone());
            let record = record.clone();
            thread::spawn(move || {
                let (mut session, mut number) = (None, 0);
                while !stop.load(Ordering::Relaxed) {
                    let Some(open) = &mut session else {
                        match Session::open(front, "lookup", "key-south") {
                            Ok(opened) => session = Some(opened),
                            Err(error) => record.note(&format!("client: no session: {error}")),
                        }
                        continue;
                    };
                    open.set_limit(Duration::from_secs(4));
                    number += 1;
                    let sent = Instant::now();
                    match open.query(&format!("q{number}"), "READ item") {
                        Some(answer) => {
                            answered.lock().expect("the times").note();
                            record
                                .detail(&format!("client: q{number} READ item: {}", answer.result));
                        }
                        None => {
                            unanswered.fetch_add(1, Ordering::Relaxed);
                            let took = sent.elapsed();
                            record.note(&format!(
                                "client: q{number} READ item: no answer in {took:.1?}"
                            ));
                            session = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            })
        };
        let prober = {
            let (stop, answered, record) = (stop.clone(), answered.clone(), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    match probe(readiness, Duration::from_secs(2)) {
                        Some(_) => answered.lock().expect("the times").note(),
                        None => record.note("readiness probe: no answer in 2 s"),
                    }
                    thread::sleep(Duration::from_millis(250));
                }
            })
        };
        Self { stop, answered, unanswered, threads: vec![client, prober] }
    }

    /// Ends the observation. Returns the longest time without any answer, and the number of
    /// statements without one.
    pub fn end(self) -> (Duration, usize) {
        self.stop.store(true, Ordering::Relaxed);
        let longest = {
            let answered = self.answered.lock().expect("the times");
            answered.longest.max(answered.last.elapsed())
        };
        for thread in self.threads {
            drop(thread.join());
        }
        (longest, self.unanswered.load(Ordering::Relaxed))
    }
}
