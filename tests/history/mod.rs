//! Simulation of a fleet: hosts with a `TableView` each, the platform, the edit tool, and faults.
//!
//! Time is simulated, in microseconds. Each host and the tool have a clock of their own, whose rate
//! is off by up to 0.05%.

mod plan;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, LazyLock};

use medlarstile::core::acceptance::{Acceptance, AcceptanceWatch, HostRow};
use medlarstile::core::view::{
    Authority, Member, Renewal, Snapshot, Statement, TableView, ViewEffect, ViewStep,
};
use medlarstile::tables::{CheckedTables, Tables};
use medlarstile::types::{CommitSeq, DurationMs, Incarnation, TableVersion, Timestamp};
use medlarstile::wire::tables::read_toml;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use plan::{Fault, Outcome, Plan, Window, TOOL};

const STEP_US: u64 = 50_000;
const POLL_US: u64 = 100_000;

static TABLES: LazyLock<Vec<Arc<CheckedTables>>> = LazyLock::new(|| {
    let text = include_str!("../../data/example_tables.toml");
    let tables = read_toml("example", text).expect("readable");
    let version = |v| Tables { version: TableVersion(v), ..tables.clone() };
    (0..16).map(|v| Arc::new(version(v).check().expect("valid"))).collect()
});

#[derive(Debug, Clone, Default)]
struct Commit {
    version: usize,
    rows: BTreeMap<usize, HostRow>,
}

/// Event of the simulation. A `usize` is the index of a host, or of a commit in `Rows`.
#[derive(Debug, Clone)]
enum Event {
    Start(usize),
    Stop(usize),
    Step(usize),
    Edit,
    Poll,
    /// A renewal reaches the platform: row, host, send time, and whether the answer arrives.
    Write(Renewal, usize, Timestamp, bool),
    Read(usize),
    /// The edit tool receives the rows of this commit.
    Rows(usize),
    ToHost(usize, Message),
}

#[derive(Debug, Clone)]
enum Message {
    Renewed(Timestamp, CommitSeq),
    RenewalFailed,
    /// Answer to a read, from the commit with this index.
    Snapshot(usize),
    ReadFailed,
    /// Request from a peer for its tables, or for its statement if `tables` is false.
    Ask {
        from: usize,
        run: u64,
        asked_at: Timestamp,
        tables: bool,
    },
    Statement(Timestamp, Statement),
    PeerSnapshot(Timestamp, Option<DurationMs>, Snapshot),
}

struct Host {
    domain: usize,
    run: u64,
    started: u64,
    rate_ppm: u64,
    view: Option<TableView>,
    version: Option<TableVersion>,
    has_served: bool,
}

struct Watch {
    watch: AcceptanceWatch,
    version: usize,
    committed: u64,
}

pub struct World<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    now: u64,
    number: u64,
    queue: BTreeMap<(u64, u64), (u64, Event)>,
    commits: Vec<Commit>,
    hosts: Vec<Host>,
    watches: Vec<Watch>,
    in_force: usize,
    outcome: Outcome,
}

/// Runs one simulation of `plan` with random numbers from `seed`.
pub fn run(seed: u64, plan: &Plan) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let host = |(domain, _): &(usize, u64)| Host {
        domain: *domain,
        run: 0,
        started: 0,
        rate_ppm: rng.random_range(999_500..=1_000_500),
        view: None,
        version: None,
        has_served: false,
    };
    let hosts = plan.hosts.iter().map(host).collect();
    let commits = vec![Commit { version: 1, rows: BTreeMap::new() }];
    let (watches, queue, outcome) = (Vec::new(), BTreeMap::new(), Outcome::default());
    let mut world = World {
        plan,
        rng,
        now: 0,
        number: 0,
        queue,
        commits,
        hosts,
        watches,
        in_force: 0,
        outcome,
    };
    world.schedule_plan();
    world.run()
}

impl World<'_> {
    fn schedule_plan(&mut self) {
        for (host, (_, start_ms)) in self.plan.hosts.iter().enumerate() {
            self.at(start_ms * 1_000, Event::Start(host));
        }
        for window in &self.plan.windows {
            if let Fault::Crash(host) = window.fault {
                self.at(window.from_ms * 1_000, Event::Stop(host));
                self.at(window.to_ms * 1_000, Event::Start(host));
            }
        }
        for edit_ms in &self.plan.edits_ms {
            self.at(edit_ms * 1_000, Event::Edit);
        }
        self.at(0, Event::Poll);
    }

    fn run(mut self) -> Outcome {
        while let Some(((now, _), (run, event))) = self.queue.pop_first() {
            self.now = now;
            if now > self.plan.end_ms * 1_000 || !self.outcome.violations.is_empty() {
                break;
            }
            self.on_event(run, event);
        }
        for watch in self.watches.drain(..) {
            if watch.version > self.in_force {
                self.outcome.in_force_ms.push(None);
            }
        }
        self.outcome
    }

    /// Queues an event; an event for a host is addressed to its current run.
    fn at(&mut self, at: u64, event: Event) {
        let run = match event {
            Event::Step(host) | Event::ToHost(host, _) => self.hosts[host].run,
            _ => 0,
        };
        self.at_run(at, run, event);
    }

    fn at_run(&mut self, at: u64, run: u64, event: Event) {
        self.number += 1;
        self.queue.insert((at.max(self.now), self.number), (run, event));
    }

    fn active(&self, wanted: impl Fn(Fault) -> bool) -> Option<u64> {
        let now_ms = self.now / 1_000;
        let windows = self.plan.windows.iter();
        let windows =
            windows.filter(|w| wanted(w.fault) && w.from_ms <= now_ms && now_ms < w.to_ms);
        windows.map(|window| window.to_ms * 1_000).max()
    }

    fn clock(&self, host: usize) -> Timestamp {
        Timestamp((self.now - self.hosts[host].started) * self.hosts[host].rate_ppm / 1_000_000)
    }

    fn on_event(&mut self, run: u64, event: Event) {
        match event {
            Event::Start(host) => self.start(host),
            Event::Stop(host) => self.hosts[host].view = None,
            Event::Step(host) | Event::ToHost(host, _) => self.run_on_host(host, run, event),
            Event::Edit => self.edit(),
            Event::Poll => self.poll(),
            Event::Write(renewal, host, sent_at, answered) => {
                self.write(run, renewal, host, sent_at, answered);
            }
            Event::Read(host) => self.read(run, host),
            Event::Rows(commit) => self.on_rows(commit),
        }
    }

    fn start(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.run += 1;
        host.started = self.now;
        host.version = None;
        host.has_served = false;
        let member = member(index, host.run);
        host.view = Some(TableView::new(member));
        self.at(self.now, Event::Step(index));
    }

    fn run_on_host(&mut self, host: usize, run: u64, event: Event) {
        if run != self.hosts[host].run || self.hosts[host].view.is_none() {
            return;
        }
        if let Some(end) = self.active(|fault| fault == Fault::Pause(host)) {
            return self.at_run(end, run, event);
        }
        match event {
            Event::ToHost(_, message) => self.on_message(host, message),
            _ => {
                self.step(host);
                self.at(self.now + STEP_US, Event::Step(host));
            }
        }
        self.check(host);
    }

    fn view(&mut self, host: usize) -> &mut TableView {
        self.hosts[host].view.as_mut().expect("the host runs")
    }

    fn step(&mut self, host: usize) {
        let now = self.clock(host);
        for step in self.view(host).due(now) {
            match step {
                ViewStep::Renew(renewal) => self.send_renewal(host, now, renewal),
                ViewStep::Read => self.send_read(host),
                ViewStep::AskPeers => {
                    for peer in self.known_peers(host) {
                        self.ask(host, peer, now, false);
                    }
                }
            }
        }
    }

    /// Returns the members that the host knows; it sends requests to no others.
    fn known_peers(&mut self, host: usize) -> Vec<usize> {
        let members = self.view(host).snapshot().map(|held| held.members.clone());
        members.iter().flatten().map(index_of).collect()
    }

    fn platform_latency(&mut self, host: usize) -> u64 {
        let slow = self.active(|fault| fault == Fault::PlatformSlow(host)).is_some();
        self.rng.random_range(1..=if slow { 4_000 } else { 10 }) * 1_000
    }

    fn reaches_platform(&self, host: usize) -> bool {
        self.active(|fault| {
            fault == Fault::PlatformDown || fault == Fault::PlatformUnreachable(host)
        })
        .is_none()
    }

    fn send_renewal(&mut self, host: usize, sent_at: Timestamp, renewal: Renewal) {
        let timeout = self.now + 1_000_000;
        let lost = self.rng.random_range(0..100) < self.plan.lost_percent;
        let latency = self.platform_latency(host);
        if !self.reaches_platform(host) || lost || latency > 1_000_000 {
            self.at(timeout, Event::ToHost(host, Message::RenewalFailed));
        }
        if self.reaches_platform(host) {
            let answered = !lost && latency <= 1_000_000;
            let run = self.hosts[host].run;
            self.at_run(self.now + latency, run, Event::Write(renewal, host, sent_at, answered));
        }
    }

    fn write(
        &mut self,
        run: u64,
        renewal: Renewal,
        host: usize,
        sent_at: Timestamp,
        answered: bool,
    ) {
        if !self.reaches_platform(host) {
            if answered {
                self.at_run(self.now, run, Event::ToHost(host, Message::RenewalFailed));
            }
            return;
        }
        let commit_seq = CommitSeq(self.commits.len() as u64);
        let mut commit = self.commits.last().cloned().unwrap_or_default();
        let Renewal { member, registered, members_seen, confirmed } = renewal;
        let row = HostRow { member, registered, renewed: commit_seq, members_seen, confirmed };
        commit.rows.insert(host, row);
        self.commits.push(commit);
        if answered {
            let at = self.now + self.platform_latency(host);
            self.at_run(at, run, Event::ToHost(host, Message::Renewed(sent_at, commit_seq)));
        }
    }

    fn send_read(&mut self, host: usize) {
        let run = self.hosts[host].run;
        if self.reaches_platform(host) {
            let at = self.now + self.platform_latency(host);
            self.at_run(at, run, Event::Read(host));
        } else {
            self.at(self.now + 1_000_000, Event::ToHost(host, Message::ReadFailed));
        }
    }

    /// Returns the index of the commit from which a read is answered.
    fn served_commit(&mut self, reader: usize) -> usize {
        let last = self.commits.len() - 1;
        let lag = match self.active(|fault| fault == Fault::StaleReads(reader)) {
            Some(_) => self.rng.random_range(20..40),
            None => 0,
        };
        last.saturating_sub(lag)
    }

    fn read(&mut self, run: u64, host: usize) {
        let commit = self.served_commit(host);
        let lost = self.rng.random_range(0..100) < self.plan.lost_percent;
        let message = match self.reaches_platform(host) && !lost {
            true => Message::Snapshot(commit),
            false => Message::ReadFailed,
        };
        let at = self.now + self.platform_latency(host);
        self.at_run(at, run, Event::ToHost(host, message));
    }

    fn peers_reach(&self, one: usize, other: usize) -> bool {
        let (one, other) = (self.hosts[one].domain, self.hosts[other].domain);
        let cut = |fault| matches!(fault, Fault::DomainIsolated(domain) if (one == domain) != (other == domain));
        self.active(cut).is_none()
    }

    fn ask(&mut self, from: usize, to: usize, asked_at: Timestamp, tables: bool) {
        let run = self.hosts[from].run;
        if from != to {
            self.send_to_peer(from, to, None, Message::Ask { from, run, asked_at, tables });
        }
    }

    /// Sends a message between hosts, with a latency of 1 to 4 ms, or of up to 4 s for
    /// `lost_percent` of the messages.
    fn send_to_peer(&mut self, from: usize, to: usize, run: Option<u64>, message: Message) {
        if self.peers_reach(from, to) {
            let delayed = self.rng.random_range(0..100) < self.plan.lost_percent;
            let latency = self.rng.random_range(1..=if delayed { 4_000 } else { 4 }) * 1_000;
            let run = run.unwrap_or(self.hosts[to].run);
            self.at_run(self.now + latency, run, Event::ToHost(to, message));
        }
    }

    fn on_message(&mut self, host: usize, message: Message) {
        let now = self.clock(host);
        let snapshot = |commits: &[Commit], at: usize| Snapshot {
            commit_seq: CommitSeq(at as u64),
            tables: TABLES[commits[at].version].clone(),
            members: commits[at]
                .rows
                .values()
                .map(|row| row.member.clone())
                .collect::<BTreeSet<_>>(),
        };
        let read = match &message {
            Message::Snapshot(commit) => Some(snapshot(&self.commits, *commit)),
            _ => None,
        };
        let view = self.view(host);
        let mut effects = Vec::new();
        match message {
            Message::Renewed(sent_at, commit_seq) => view.on_renewed(now, sent_at, commit_seq),
            Message::RenewalFailed => view.on_renewal_failed(),
            Message::ReadFailed => view.on_read_failed(),
            Message::Snapshot(_) => effects = view.on_read(now, read.expect("made above")),
            Message::Statement(asked_at, statement) => {
                effects = view.on_statement(now, asked_at, statement);
            }
            Message::PeerSnapshot(asked_at, age, snapshot) => {
                effects = view.on_peer_snapshot(now, asked_at, age, snapshot);
            }
            Message::Ask { from, run, asked_at, tables: false } => {
                let statement = view.statement(now);
                self.send_to_peer(host, from, Some(run), Message::Statement(asked_at, statement));
            }
            Message::Ask { from, run, asked_at, tables: true } => {
                if let Some(snapshot) = view.snapshot().cloned() {
                    let answer = Message::PeerSnapshot(asked_at, view.age(now), snapshot);
                    self.send_to_peer(host, from, Some(run), answer);
                }
            }
        }
        for effect in effects {
            if let ViewEffect::WantTables(peer) = effect {
                self.ask(host, index_of(&peer), now, true);
            }
        }
    }

    /// Records violations of the rules that every simulation must keep, and counts refusals.
    fn check(&mut self, index: usize) {
        let now = self.clock(index);
        let authority = self.view(index).authority(now);
        let version = self.view(index).version();
        let host = &mut self.hosts[index];
        let in_force = TableVersion(self.in_force as u64);
        if authority == Authority::Full && version < Some(in_force) {
            let text = format!(
                "host {index} admits keyed requests under version {version:?} at {} ms, \
                 after version {in_force} was reported in force",
                self.now / 1_000
            );
            self.outcome.violations.push(text);
        }
        // A host whose row is missing holds no version and serves nothing until its next read.
        let violates =
            if version.is_none() { authority != Authority::None } else { version < host.version };
        if violates {
            let text = format!(
                "host {index} went from version {:?} to {version:?} and serves {authority}",
                host.version
            );
            self.outcome.violations.push(text);
        }
        host.version = host.version.max(version);
        host.has_served |= authority == Authority::Full;
        self.outcome.checks += usize::from(host.has_served);
        self.outcome.refused += usize::from(host.has_served && authority != Authority::Full);
    }

    fn edit(&mut self) {
        if self.active(|fault| fault == Fault::PlatformDown).is_some() {
            return self.at(self.now + 200_000, Event::Edit);
        }
        let mut commit = self.commits.last().cloned().unwrap_or_default();
        commit.version += 1;
        let version = commit.version;
        let commit_seq = CommitSeq(self.commits.len() as u64);
        self.commits.push(commit);
        let watch = AcceptanceWatch::new(TableVersion(version as u64), commit_seq);
        self.watches.push(Watch { watch, version, committed: self.now });
    }

    fn poll(&mut self) {
        self.at(self.now + POLL_US, Event::Poll);
        if self.active(|fault| fault == Fault::PlatformDown).is_none() {
            let commit = self.served_commit(TOOL);
            let at = self.now + self.rng.random_range(1_000..=10_000);
            self.at(at, Event::Rows(commit));
        }
    }

    fn on_rows(&mut self, commit: usize) {
        // The tool's clock runs fast, which is the worst case because it shortens the wait.
        let now = Timestamp(self.now * 1_000_500 / 1_000_000);
        let rows: Vec<HostRow> = self.commits[commit].rows.values().cloned().collect();
        let (at, in_force) = (self.now, &mut self.in_force);
        let outcome = &mut self.outcome;
        self.watches.retain_mut(|watch| {
            let state = watch.watch.on_rows(now, CommitSeq(commit as u64), rows.clone());
            if state == Acceptance::InForce {
                *in_force = watch.version.max(*in_force);
                outcome.in_force_ms.push(Some((at - watch.committed) / 1_000));
            }
            state != Acceptance::InForce
        });
    }
}

fn index_of(member: &Member) -> usize {
    member.host.as_str()[1..].parse().expect("a host of the test")
}

fn member(index: usize, run: u64) -> Member {
    let host = format!("h{index}").parse().expect("a host id");
    Member { host, incarnation: Incarnation(run) }
}
