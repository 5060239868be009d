//! What the emulated endpoints, the emulated platform and the callers share: logs, runs, promises.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Name of the only group.
pub const GROUP: &str = "db";
/// Client accounts with their keys and rates a second.
pub const ACCOUNTS: [(&str, &str, u64); 3] =
    [("north", "key-north", 2_000), ("south", "key-south", 2_000), ("small", "key-small", 20)];
/// Window and factors of the limit that the users state.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_SLACK: u64 = 20;
/// Time in which a withdrawn key has to stop working on hosts that nothing disturbs.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time without faults after which hosts count as undisturbed.
pub const CALM_AFTER: Duration = Duration::from_secs(4);

/// A position of a log: term and number.
pub type At = (u64, u64);

/// One commit of the log.
#[derive(Clone)]
pub struct Commit {
    pub data: Vec<String>,
    pub acknowledged: Option<Instant>,
    pub session: String,
}

/// An endpoint.
pub struct Member {
    pub id: String,
    pub received: u64,
    pub applied: u64,
    pub term: u64,
    pub alive: bool,
    pub paused: bool,
    pub behind: bool,
    /// Whether it is about to be stopped as planned.
    pub draining: bool,
    pub connections: usize,
}

/// A statement as its caller sent it.
#[derive(Clone)]
pub struct Asked {
    pub session: String,
    pub account: &'static str,
    pub key: &'static str,
    /// Session value that was acknowledged to the caller.
    pub tag: String,
    /// What the caller prepared under the name that it executes; empty for other statements.
    pub shape: String,
    /// The text, as [`comparable`] returns it.
    pub text: String,
    pub sent: Instant,
}

/// One run of a caller's statement at an endpoint.
#[derive(Clone)]
pub struct Run {
    pub query: String,
    pub applied: u64,
    pub commit: Option<u64>,
    /// Number of the transaction that it was part of.
    pub transaction: Option<u64>,
    pub rows: Rows,
}

/// Number and hash of an answer's rows.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Rows {
    count: u64,
    hash: u64,
}

impl Rows {
    pub fn add(&mut self, row: &[u8]) {
        let mut hasher = DefaultHasher::new();
        (self.hash, row).hash(&mut hasher);
        (self.count, self.hash) = (self.count + 1, hasher.finish());
    }
}

/// A statement's text without the name of a prepared statement, which the hosts may change.
pub fn comparable(text: &str) -> String {
    match text.splitn(3, ' ').collect::<Vec<&str>>()[..] {
        [word @ ("PREPARE" | "EXECUTE"), _, rest] => format!("{word} {rest}"),
        _ => text.to_owned(),
    }
}

/// The start of a text, for violations.
pub fn excerpt(text: &str) -> String {
    format!("{:?} ({} bytes)", text.chars().take(80).collect::<String>(), text.len())
}

/// Everything.
pub struct World {
    pub began: Instant,
    pub members: Vec<Member>,
    pub primary: usize,
    pub term: u64,
    /// The log; a replica holds the first `received` of these.
    pub log: Vec<Commit>,
    /// Statements of callers by id.
    pub asked: BTreeMap<String, Asked>,
    /// Texts of the settings and preparations that callers sent; hosts pass them on without the id.
    pub setups: BTreeSet<String>,
    /// Runs by signature.
    pub runs: BTreeMap<String, Run>,
    /// Data of writes that callers were promised not to be kept.
    pub promised: BTreeSet<String>,
    /// Data of all writes that were ever committed.
    pub committed: BTreeSet<String>,
    pub highest_token: u64,
    pub token_holder: String,
    /// Since when nothing is disturbed.
    pub calm_since: Option<Instant>,
    /// Key that was withdrawn, and when the store acknowledged it.
    pub withdrawn: Option<(String, Instant)>,
    pub arrivals: BTreeMap<&'static str, Vec<Instant>>,
    pub violations: Vec<String>,
    pub served: u64,
    pub served_after: u64,
    pub count_after: Option<Instant>,
    pub next_run: u64,
    pub next_transaction: u64,
    /// Statements that an endpoint has run, or begun to run.
    pub passed_on: BTreeSet<String>,
    /// Since when there has been planned work only, with hosts that nothing had disturbed.
    pub planned_since: Option<Instant>,
}

/// Shared by all threads.
#[derive(Clone)]
pub struct Shared(pub Arc<(Mutex<World>, Condvar)>);

impl Shared {
    pub fn new() -> Self {
        let member = |number: usize| Member {
            id: format!("e{number}"),
            received: 0,
            applied: 0,
            term: 1,
            alive: true,
            paused: false,
            behind: false,
            draining: false,
            connections: 0,
        };
        let world = World {
            began: Instant::now(),
            members: (0..3).map(member).collect(),
            primary: 0,
            term: 1,
            log: Vec::new(),
            asked: BTreeMap::new(),
            setups: BTreeSet::new(),
            runs: BTreeMap::new(),
            promised: BTreeSet::new(),
            committed: BTreeSet::new(),
            highest_token: 0,
            token_holder: String::new(),
            calm_since: Some(Instant::now()),
            withdrawn: None,
            arrivals: BTreeMap::new(),
            violations: Vec::new(),
            served: 0,
            served_after: 0,
            count_after: None,
            next_run: 0,
            next_transaction: 0,
            passed_on: BTreeSet::new(),
            planned_since: None,
        };
        Self(Arc::new((Mutex::new(world), Condvar::new())))
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.0 .0.lock().expect("the world")
    }
}

impl World {
    pub fn violation(&mut self, text: String) {
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    /// Position of a member's applied log.
    pub fn position(&self, member: usize) -> At {
        let found = &self.members[member];
        let applied = if member == self.primary { self.log.len() as u64 } else { found.applied };
        (found.term, applied)
    }

    /// Moves the replicas' logs forward; called every few milliseconds.
    pub fn replicate(&mut self) {
        let (length, primary, term) = (self.log.len() as u64, self.primary, self.term);
        let source = self.members[primary].alive;
        for (place, member) in self.members.iter_mut().enumerate() {
            if place == primary {
                (member.received, member.applied) = (length, length);
            } else if member.alive && source && !member.behind {
                member.applied = member.received;
                if !member.paused {
                    (member.received, member.term) = (length, term);
                }
            }
        }
    }

    /// Commits the writes of the statement `id`; returns the commit's number.
    pub fn commit(&mut self, data: Vec<String>, id: &str) -> u64 {
        for one in &data {
            if !self.committed.insert(one.clone()) {
                self.violation(format!("TWICE: {one} was committed twice"));
            }
            if self.promised.contains(one) {
                self.violation(format!("REFUSED: {one} was committed after a promise"));
            }
        }
        let session = self.asked.get(id).map_or_else(String::new, |asked| asked.session.clone());
        self.log.push(Commit { data, acknowledged: None, session });
        self.log.len() as u64
    }

    /// Makes a member the primary of the next term.
    pub fn promote(&mut self, place: usize) {
        if place == self.primary || !self.members[place].alive {
            return;
        }
        let kept = self.members[place].received;
        self.log.truncate(usize::try_from(kept).expect("a length"));
        self.term += 1;
        self.primary = place;
        for member in &mut self.members {
            member.received = member.received.min(kept);
            member.applied = member.applied.min(kept);
        }
        let member = &mut self.members[place];
        (member.term, member.applied, member.paused) = (self.term, kept, false);
    }

    /// Notes a statement without a complete answer: its connection ended, or nothing came in time.
    pub fn cut(&mut self, id: &str, sent: Instant) {
        let planned = self.planned_since.is_some_and(|since| sent > since);
        if planned && self.passed_on.contains(id) {
            let after = sent.elapsed().as_millis();
            self.violation(format!(
                "LOST: {id} got no complete answer, {after} ms after it was sent"
            ));
        }
    }

    /// Checks that a caller sent the text that an endpoint runs under this id.
    pub fn check_text(&mut self, id: &str, text: &str) {
        let found = comparable(text);
        let is_sent = match id {
            "-" => self.setups.contains(&found),
            _ => self.asked.get(id).is_some_and(|asked| asked.text == found),
        };
        if !is_sent {
            self.violation(format!("UNASKED: {id} ran {}", excerpt(text)));
        }
    }

    /// Checks that a successful answer is the one that an endpoint sent for the statement; its run.
    pub fn check_answer(&mut self, id: &str, signature: &str, rows: Rows) -> Option<Run> {
        let run = self.runs.get(signature).cloned().filter(|run| run.query == id);
        let Some(run) = run else {
            self.violation(format!("MIXED: {id} was answered with {signature}"));
            return None;
        };
        if run.rows != rows {
            let sent = run.rows;
            self.violation(format!("MIXED: {id} was answered with {rows:?}, not {sent:?}"));
        }
        Some(run)
    }

    /// Checks that the statements of an acknowledged transaction ran in one at an endpoint.
    pub fn check_pinned(&mut self, signatures: &[String]) {
        let runs = signatures.iter().filter_map(|signature| self.runs.get(signature));
        let found: BTreeSet<Option<u64>> = runs.map(|run| run.transaction).collect();
        if found.len() > 1 {
            self.violation(format!("PINNED: a transaction ran as {found:?}: {signatures:?}"));
        }
    }

    /// Notes a statement that starts an operation and runs.
    pub fn arrive(&mut self, asked: &Asked) {
        let now = Instant::now();
        let arrivals = self.arrivals.entry(asked.account).or_default();
        arrivals.push(now);
        let recent = arrivals.iter().rev().take_while(|at| now - **at < QUOTA_WINDOW).count();
        let found = ACCOUNTS.iter().find(|(name, _, _)| *name == asked.account);
        let rate = found.map_or(0, |found| found.2);
        let most = (rate * QUOTA_WINDOW.as_secs() + rate) * 11 / 10 + QUOTA_SLACK;
        if recent as u64 > most {
            let at = now.duration_since(self.began).as_millis();
            let text = format!("QUOTA: {recent} of {} in 5 s, over {most}, {at} ms", asked.account);
            self.violation(text);
        }
        let Some((key, acknowledged)) = &self.withdrawn else { return };
        let calm = self.calm_since.is_some_and(|since| since + CALM_AFTER < *acknowledged);
        if asked.key == key && calm && asked.sent > *acknowledged + APPLY_LIMIT {
            self.violation(format!("CONFIG: {key} works after its withdrawal"));
        }
    }

    /// Checks the freshness of a read that began at `began` and ran at `applied`. `max_age` is the
    /// bound of its route, `session` the session whose own commits it must see.
    pub fn check_fresh(
        &mut self,
        query: &str,
        applied: u64,
        began: Instant,
        max_age: Duration,
        session: Option<&str>,
    ) {
        let missing = self.log.iter().enumerate().skip(usize::try_from(applied).unwrap_or(0));
        let mut stale = missing.filter(|(_, commit)| {
            let before = commit.acknowledged.is_some_and(|at| at < began);
            let old = commit.acknowledged.is_some_and(|at| at + max_age < began);
            old || (before && session == Some(commit.session.as_str()))
        });
        if let Some((number, _)) = stale.next_back() {
            let text = format!("STALE: {query} ran at {applied} without commit {}", number + 1);
            self.violation(text);
        }
    }
}
