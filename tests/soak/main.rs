//! Randomized soak: real host processes under faults that come from outside, and a check of the
//! promises from what callers and endpoints see. Endpoints may also send an answer again later, and
//! texts and rows may hold line ends; see `wire.rs`.
//!
//! `MEDLARSTILE_SOAK_SEEDS=1-50` runs these seeds, `MEDLARSTILE_SOAK_JOBS=4` so many at a time.
//! Without the variables, a few seeds and the cases that have failed before are run for a short
//! time. The folder of a run with the hosts' logs stays if a promise was broken.

mod caller;
mod endpoint;
mod host;
mod link;
mod platform;
#[path = "../ports/mod.rs"]
mod ports;
mod wire;
mod world;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use host::Host;
use link::{Link, Mode};
use platform::{Platform, Trouble};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{json, Value};
use wire::Wire;
use world::{Shared, ACCOUNTS, CALM_AFTER, GROUP};

/// Hosts of a run.
const HOSTS: usize = 4;
/// Callers of a run.
const CALLERS: u64 = 18;
/// Seeds that failed before, each with its cause.
const CASES: &[u64] = &[
    // A timer of the links was moved to the past after a pause; hosts ended.
    5,
];
/// Seeds of a run without variables.
const SHORT: std::ops::Range<u64> = 1..3;
/// Time within which requests are served again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time from SIGTERM to SIGKILL, as in the hosts' settings.
const GRACE: Duration = Duration::from_secs(4);
/// Time that a host has to stop, after the end of the fault.
const STOP_LIMIT: Duration = Duration::from_secs(4);
/// Time of faults, in a run without variables and in one with them.
const CHAOS: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(14));

/// One running deployment.
struct Run {
    shared: Shared,
    platform: Platform,
    hosts: Vec<Host>,
    /// Links of each host to the endpoints, then to the platform.
    links: Vec<Vec<Link>>,
    rng: ChaCha8Rng,
    version: u64,
    /// What is to be undone, and when.
    due: Vec<(Instant, Undo)>,
    trace: Vec<String>,
    began: Instant,
    /// Number of times that connections were reset or silenced.
    breaks: u32,
    /// Number of times that the platform misbehaved.
    troubles: u32,
    /// Number of times that the endpoints have written their rows.
    beats: u64,
}

/// The end of a fault.
#[derive(Clone, Debug)]
enum Undo {
    Resume(usize),
    Restart(usize),
    Link(usize, usize),
    Platform(usize),
    Restore(Duration),
    Revive(usize),
    CatchUp(usize),
}

impl Run {
    fn start(seed: u64, wire: &Wire, folder: &std::path::Path) -> Self {
        let shared = Shared::new();
        let platform = Platform::new(&shared);
        let endpoints: Vec<SocketAddr> =
            (0..3).map(|n| endpoint::serve(&shared, n, wire)).collect();
        let (mut hosts, mut links) = (Vec::new(), Vec::new());
        for number in 0..HOSTS {
            let mut own: Vec<Link> = endpoints.iter().map(|address| Link::to(*address)).collect();
            let addresses: Vec<SocketAddr> = own.iter().map(|link| link.address).collect();
            own.push(Link::to(platform.serve(number, &addresses)));
            hosts.push(Host::start(folder, number, own[3].address));
            links.push(own);
        }
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (due, trace, began) = (Vec::new(), Vec::new(), Instant::now());
        let mut run = Self {
            shared,
            platform,
            hosts,
            links,
            rng,
            version: 0,
            due,
            trace,
            began,
            breaks: 0,
            troubles: 0,
            beats: 0,
        };
        run.configure(&[]);
        run
    }

    /// Writes a configuration without the keys in `withdrawn`.
    fn configure(&mut self, withdrawn: &[&str]) -> Instant {
        self.version += self.rng.random_range(1..4);
        // Numbers have no largest value and may have a fraction; an entry that is not valid must not
        // keep the others from coming into force.
        let priority =
            [json!(1), json!(300), json!(1e30), json!(2.5)][self.version as usize % 4].clone();
        let is_odd = self.version % 3 == 0;
        let odd = |entry: Value| is_odd.then_some(entry);
        let route = |(name, age): &(&str, Option<u64>)| {
            let rule = ["primary", "bounded_staleness", "read_your_writes"]
                [caller::DATABASES.iter().position(|one| one.0 == *name).expect("a database")];
            json!({"database": name, "type": rule, "service": GROUP, "timeoutMs": 1_000.5,
                "targetLatencyMs": 300, "maxStalenessMs": age, "priority": priority,
                "public": false})
        };
        let tenant = |(name, key, rate): &(&str, &str, u64)| {
            let keys: Vec<&str> = [*key].into_iter().filter(|k| !withdrawn.contains(k)).collect();
            json!({"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate})
        };
        let config = json!({
            "version": self.version,
            "routes": odd(json!({"name": "odd", "database": "odd", "type": "later"})).into_iter()
                .chain(caller::DATABASES.iter().map(route)).collect::<Vec<Value>>(),
            "services": [{"name": GROUP, "maxConnections": endpoint::MAX_CONNECTIONS,
                "syncReplicas": 0}],
            "tenants": odd(json!({"name": "a b", "apiKeys": [7]})).into_iter()
                .chain(ACCOUNTS.iter().map(tenant)).collect::<Vec<Value>>(),
            "limits": {"txIdleMs": 3_000},
        });
        self.platform.put("op", "config", &config)
    }

    /// Writes the endpoints' rows, as each of them does at its heartbeat.
    fn beat(&mut self) {
        self.beats += 1;
        self.platform.copy();
        let entries: Vec<(String, Value)> = {
            let world = self.shared.lock();
            let alive = world.members.iter().enumerate().filter(|(_, member)| member.alive);
            let entry = |(place, member): (usize, &world::Member)| {
                let role = if world.primary == place { "primary" } else { "replica" };
                let state = if member.draining { "draining" } else { "ready" };
                let entry = json!({"service": GROUP, "address": place, "zone": format!("z{place}"),
                    "state": state, "dbRole": role, "born": 1, "sequence": self.beats});
                (member.id.clone(), entry)
            };
            alive.map(entry).collect()
        };
        for (id, entry) in entries {
            self.platform.put("servers", &id, &entry);
        }
    }

    /// Brings a fault about; it ends by an [`Undo`].
    fn strike(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let end = Instant::now() + Duration::from_millis(self.rng.random_range(200..3_500));
        let busy = self.due.iter().any(
            |(_, undo)| matches!(undo, Undo::Resume(one) | Undo::Restart(one) if *one == host),
        );
        let kind = self.rng.random_range(0..14);
        let undo = match kind {
            0..=3 if busy => return,
            0 => {
                self.hosts[host].signal(Signal::STOP);
                Undo::Resume(host)
            }
            1 => {
                self.hosts[host].signal(Signal::KILL);
                Undo::Restart(host)
            }
            2 => {
                self.hosts[host].signal(Signal::TERM);
                Undo::Restart(host)
            }
            3 => {
                self.hosts[host].signal(Signal::HUP);
                return self.note(format!("hang-up of h{host}"));
            }
            4..8 => {
                let place = self.rng.random_range(0..4);
                let modes = [Mode::Delay, Mode::Silent, Mode::NoAnswers];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.links[host][place].set(mode);
                self.note(format!("link {place} of h{host}: {mode:?}"));
                Undo::Link(host, place)
            }
            8 => {
                let place = self.rng.random_range(0..4);
                // Alternates without a draw, so that the seeds keep their other faults.
                self.breaks += 1;
                if self.breaks % 2 == 0 {
                    self.links[host][place].reset();
                    return self.note(format!("link {place} of h{host}: reset"));
                }
                for links in &self.links {
                    links[place].silence_open();
                }
                let calm_since = self.due.is_empty().then(Instant::now);
                self.shared.lock().calm_since = calm_since;
                return self.note(format!("link {place} of all hosts: open connections silent"));
            }
            9 | 10 => {
                let refuses = self.rng.random_bool(0.4);
                let late = Duration::from_millis(self.rng.random_range(0..3_000));
                self.troubles += 1;
                // Takes its turn without a draw, so that the seeds keep their other faults.
                if self.troubles % 3 == 1 {
                    self.platform.take_down();
                    Undo::Restore(late * 4)
                } else {
                    let trouble = Trouble { refuses, loses_answers: !refuses, late };
                    self.platform.trouble(host, trouble);
                    Undo::Platform(host)
                }
            }
            11 | 12 => {
                let mut world = self.shared.lock();
                let place = if kind == 11 { world.primary } else { (world.primary + 1) % 3 };
                if world.members.iter().any(|member| !member.alive) {
                    return;
                }
                world.members[place].alive = false;
                Undo::Revive(place)
            }
            _ => {
                let place = self.rng.random_range(0..3);
                self.shared.lock().members[place].behind = true;
                Undo::CatchUp(place)
            }
        };
        if let Undo::Revive(place) = undo {
            // Its connections break.
            self.links.iter().for_each(|links| links[place].reset());
        }
        self.shared.lock().calm_since = None;
        self.note(format!("{undo:?} in {} ms", (end - Instant::now()).as_millis()));
        self.due.push((end, undo));
    }

    fn note(&mut self, text: String) {
        self.trace.push(format!("{:6} ms {text}", self.began.elapsed().as_millis()));
    }

    /// Ends the faults that are due, or all.
    fn undo(&mut self, all: bool) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| all || *at <= now);
        self.due = later;
        for (at, undo) in due {
            match undo {
                Undo::Resume(host) => self.hosts[host].signal(Signal::CONT),
                // The platform kills a host that takes too long to stop.
                Undo::Restart(host) if !self.hosts[host].has_ended() => {
                    let kill = all || now > at + STOP_LIMIT;
                    if kill {
                        self.hosts[host].signal(Signal::KILL);
                        thread::sleep(Duration::from_millis(50));
                    }
                    let again = if kill { now } else { at };
                    self.due.push((again, Undo::Restart(host)));
                }
                Undo::Restart(host) => {
                    if let Some(code) = self.hosts[host].restart() {
                        let text = format!("EXIT: h{host} ended with {code}");
                        self.shared.lock().violation(text);
                    }
                }
                Undo::Link(host, place) => {
                    self.links[host][place].set(Mode::Pass);
                    // What a cut held up is lost with its connections.
                    self.links[host][place].reset();
                }
                Undo::Platform(host) => self.platform.trouble(host, Trouble::default()),
                Undo::Restore(age) => self.platform.restore(age),
                Undo::Revive(place) => self.shared.lock().members[place].alive = true,
                Undo::CatchUp(place) => self.shared.lock().members[place].behind = false,
            }
            if self.due.is_empty() {
                self.shared.lock().calm_since = Some(Instant::now());
            }
        }
    }

    /// Lets time pass: logs move on, endpoints beat, faults end.
    fn pass(&mut self, time: Duration, strikes: bool) {
        let end = Instant::now() + time;
        let mut next_strike = Instant::now();
        let mut next_beat = Instant::now();
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
            self.shared.lock().replicate();
            if Instant::now() >= next_beat {
                next_beat = Instant::now() + Duration::from_millis(300);
                self.beat();
            }
            if strikes && Instant::now() >= next_strike {
                next_strike = Instant::now() + Duration::from_millis(self.rng.random_range(0..900));
                if self.rng.random_bool(0.1) {
                    self.configure(&[]);
                } else {
                    self.strike();
                }
            }
            self.undo(false);
        }
    }
}

impl Run {
    /// Stops and starts two hosts that overlap, or the same one twice, while the primary is replaced as
    /// planned and the configuration changes. Nothing else disturbs the hosts.
    fn planned_work(&mut self) {
        self.shared.lock().planned_since = Some(Instant::now());
        let first = self.rng.random_range(0..HOSTS);
        let second = self.rng.random_range(0..HOSTS);
        let gap = Duration::from_millis(self.rng.random_range(0..2_500));
        self.note(format!("planned: h{first}, {gap:?} later h{second}"));
        let primary = self.shared.lock().primary;
        self.shared.lock().members[primary].draining = true;
        self.hosts[first].signal(Signal::TERM);
        self.pass(gap, false);
        let (_, withdrawn, _) = ACCOUNTS[1];
        self.configure(&[withdrawn]);
        // A second signal to the same host is ignored while it stops.
        self.hosts[second].signal(Signal::TERM);
        self.pass(GRACE.saturating_sub(gap), false);
        self.start_again(first);
        self.shared.lock().members[primary].draining = false;
        self.pass(gap, false);
        if second != first {
            self.start_again(second);
        }
        self.pass(Duration::from_millis(500), false);
        self.shared.lock().planned_since = None;
    }

    /// Starts a host again that must have stopped within the time that the platform allows.
    fn start_again(&mut self, host: usize) {
        if !self.hosts[host].has_ended() {
            self.shared.lock().violation(format!("LOST: h{host} has not stopped in time"));
            self.hosts[host].signal(Signal::KILL);
        }
        if let Some(code) = self.hosts[host].restart() {
            self.shared.lock().violation(format!("EXIT: h{host} ended with {code}"));
        }
    }
}

/// Runs a seed; the violations.
fn soak(seed: u64, chaos: Duration) -> Vec<String> {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("medlarstile-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let wire = Wire::of(seed);
    let mut run = Run::start(seed, &wire, &folder);
    run.pass(Duration::from_secs(2), false);
    let stop = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = run.hosts.iter().map(|host| host.front).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| caller::start(&run.shared, number, seed, &wire, &fronts, &stop))
        .collect();
    run.pass(chaos, true);
    while !run.due.is_empty() {
        run.undo(true);
    }
    run.shared.lock().calm_since = Some(Instant::now());
    // Hosts are undisturbed for a while, then a key is withdrawn.
    run.pass(CALM_AFTER + Duration::from_millis(500), false);
    let (_, key, _) = ACCOUNTS[1];
    let at = run.configure(&[key]);
    run.shared.lock().withdrawn = Some((key.to_owned(), at));
    run.pass(RECOVERY.saturating_sub(CALM_AFTER), false);
    run.shared.lock().count_after = Some(Instant::now());
    run.pass(Duration::from_millis(1_500), false);
    let served_after = run.shared.lock().served_after;
    run.planned_work();
    stop.store(true, Ordering::Relaxed);
    for host in 0..HOSTS {
        if run.hosts[host].has_ended() {
            run.shared.lock().violation(format!("EXIT: h{host} ended"));
        }
    }
    let ended: Vec<bool> = callers.into_iter().map(|caller| caller.join().is_ok()).collect();
    let mut world = run.shared.lock();
    if ended.contains(&false) {
        world.violation("a caller of the soak failed".into());
    }
    if served_after < 20 {
        let text = format!("RECOVER: {served_after} served at the end");
        world.violation(text);
    }
    let found = world.violations.clone();
    let mut rules: BTreeMap<&str, u64> = BTreeMap::new();
    for text in &found {
        *rules.entry(text.split(':').next().unwrap_or(text)).or_default() += 1;
    }
    println!(
        "seed {seed}: {} served, term {}, {} restores, {} violations {rules:?}, {wire:?}",
        world.served,
        world.term,
        run.platform.restores(),
        found.len()
    );
    drop(world);
    if found.is_empty() {
        drop(std::fs::remove_dir_all(&folder));
    } else {
        println!("logs: {}\n{}", folder.display(), run.trace.join("\n"));
        println!("{}", found.join("\n"));
    }
    found
}

/// Seeds that the environment asks for: `5`, or `1-50`.
fn wanted() -> Option<Vec<u64>> {
    let text = std::env::var("MEDLARSTILE_SOAK_SEEDS").ok()?;
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.parse::<u64>().expect("a seed, or FIRST-LAST");
    Some((number(first)..=number(last)).collect())
}

/// Guards against broken promises under faults that overlap; see the head of this file.
#[test]
fn promises_hold_under_faults() {
    let jobs = std::env::var("MEDLARSTILE_SOAK_JOBS").map_or(2, |text| text.parse().expect("jobs"));
    let (seeds, chaos) = match wanted() {
        Some(seeds) => (seeds, CHAOS.1),
        None => (SHORT.chain(CASES.iter().copied()).collect(), CHAOS.0),
    };
    let queue = Arc::new(std::sync::Mutex::new(seeds.into_iter()));
    let workers: Vec<_> = (0..jobs)
        .map(|_| {
            let queue = Arc::clone(&queue);
            thread::spawn(move || {
                let mut failed = Vec::new();
                loop {
                    let Some(seed) = queue.lock().expect("the seeds").next() else { return failed };
                    if !soak(seed, chaos).is_empty() {
                        failed.push(seed);
                    }
                }
            })
        })
        .collect();
    let failed: Vec<u64> =
        workers.into_iter().flat_map(|worker| worker.join().expect("a worker")).collect();
    assert!(failed.is_empty(), "seeds that broke a promise: {failed:?}");
}
