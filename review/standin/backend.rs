//! Stand-in of the backends of one service: a primary and replicas over one replicated log.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::record::Record;
use crate::store::Store;

/// Figures of a service, as a site file has them.
#[derive(Clone)]
pub struct Figures {
    pub slots: usize,
    pub queue: usize,
    pub connections: usize,
    pub connect_ms: u64,
    pub lag_ms: u64,
    pub promote_ms: u64,
    /// Work of a read or write.
    pub work_ms: u64,
}

pub type Position = (u64, u64);

struct Entry {
    position: Position,
    at: Instant,
    /// Id of the commit or single write.
    id: String,
}

pub struct Member {
    pub id: String,
    address: SocketAddr,
    zone: String,
    born: u128,
    primary: bool,
    draining: bool,
    gone: bool,
    sequence: u64,
    busy: usize,
    waiting: usize,
    connections: usize,
}

/// A statement that a backend ran.
#[derive(Clone)]
pub struct Run {
    pub at: u64,
    pub backend: String,
    pub connection: u64,
    /// Transaction on the backend in which it ran, 0 outside of one.
    pub transaction: u64,
    pub id: String,
    pub text: String,
    pub signature: String,
}

struct State {
    term: u64,
    /// Raised by each change of the lead.
    leads: u64,
    log: Vec<Entry>,
    members: Vec<Member>,
}

pub struct Group {
    pub service: String,
    figures: Figures,
    state: Mutex<State>,
    freed: Condvar,
    pub runs: Mutex<Vec<Run>>,
    /// Ids of the writes that were committed, with the id of the commit.
    pub committed: Mutex<BTreeMap<String, String>>,
    /// Commits that a promotion rolled back.
    pub rolled_back: Mutex<BTreeSet<String>>,
    store: Arc<Store>,
    record: Arc<Record>,
    counter: AtomicU64,
}

struct Transaction {
    number: u64,
    plain: bool,
    leads: u64,
    writes: Vec<String>,
    failed: bool,
}

struct Session {
    member: usize,
    number: u64,
    who: String,
    prepared: BTreeMap<String, String>,
    transaction: Option<Transaction>,
}

type Reply = (Vec<String>, Result<String, &'static str>);

impl Group {
    pub fn start(
        service: &str,
        ip: &str,
        zones: &[&str],
        figures: Figures,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let log = vec![Entry {
            position: (1, 1),
            at: Instant::now() - Duration::from_secs(10),
            id: String::new(),
        }];
        let group = Arc::new(Self {
            service: service.to_owned(),
            figures,
            state: Mutex::new(State { term: 1, leads: 1, log, members: Vec::new() }),
            freed: Condvar::new(),
            runs: Mutex::default(),
            committed: Mutex::default(),
            rolled_back: Mutex::default(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            counter: AtomicU64::new(0),
        });
        store.add_group(&group);
        for (place, zone) in zones.iter().enumerate() {
            group.add(ip, zone, place == 0);
        }
        group
    }

    /// Starts a backend with the log of the service.
    pub fn add(self: &Arc<Self>, ip: &str, zone: &str, primary: bool) -> usize {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a backend");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let mut state = self.state.lock().unwrap();
        let member = state.members.len();
        let prefix = ["7f3a", "b1c9", "c9d0", "2e4d"][member % 4];
        let id = format!("i-{prefix}{}{member}", self.service);
        state.members.push(Member {
            id,
            address,
            zone: zone.to_owned(),
            born: born.map_or(0, |time| time.as_millis()),
            primary,
            draining: false,
            gone: false,
            sequence: 0,
            busy: 0,
            waiting: 0,
            connections: 0,
        });
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = Arc::clone(&group);
                thread::spawn(move || group.serve(member, stream));
            }
        });
        let group = Arc::clone(self);
        thread::spawn(move || {
            while group.beat(member) {
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        member
    }

    /// Writes the entry of a backend; returns false once it has left.
    fn beat(&self, member: usize) -> bool {
        let mut state = self.state.lock().unwrap();
        let found = &mut state.members[member];
        if found.gone {
            return false;
        }
        found.sequence += 1;
        let text = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","capacity":{},"state":"{}","warmupRemainingMs":0,"dbRole":"{}","sequence":{},"born":{}}}"#,
            self.service,
            found.address,
            found.zone,
            self.figures.slots,
            if found.draining { "draining" } else { "ready" },
            if found.primary { "primary" } else { "replica" },
            found.sequence,
            found.born,
        );
        self.store.put("servers", &found.id, &text);
        true
    }

    /// Begins the planned replacement of the primary: a new replica has started before, the old
    /// primary reports that it drains.
    pub fn drain_primary(&self) {
        let mut state = self.state.lock().unwrap();
        let Some(member) = state.members.iter().position(|member| member.primary) else { return };
        state.members[member].draining = true;
        self.record.line(
            "operator",
            &format!("{} is to be replaced and drains", state.members[member].id),
        );
        drop(state);
        self.beat(member);
    }

    /// Makes a backend the primary of the next term, with what it has received by then.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let Some(member) = state.members.iter().position(|member| member.id == id && !member.gone)
        else {
            return false;
        };
        if state.members[member].primary {
            return true;
        }
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(group.figures.promote_ms));
            let mut state = group.state.lock().unwrap();
            let received = state.received(member);
            for lost in state.log.iter().filter(|entry| entry.position > received) {
                group.rolled_back.lock().unwrap().insert(lost.id.clone());
            }
            state.log.retain(|entry| entry.position <= received);
            state.term += 1;
            state.leads += 1;
            let position = (state.term, received.1 + 1);
            let at = Instant::now() - Duration::from_secs(1);
            state.log.push(Entry { position, at, id: String::new() });
            for (place, found) in state.members.iter_mut().enumerate() {
                found.primary = place == member;
            }
            let count = state.members.len();
            group.record.line(
                "platform",
                &format!("{} leads term {}", state.members[member].id, state.term),
            );
            drop(state);
            (0..count).for_each(|place| {
                group.beat(place);
            });
        });
        true
    }

    fn demote(&self, member: usize, term: u64) {
        let mut state = self.state.lock().unwrap();
        if state.members[member].primary && state.term < term {
            state.members[member].primary = false;
            state.leads += 1;
            self.record.line(&state.members[member].id, &format!("DEMOTE {term}: is a replica"));
            drop(state);
            self.beat(member);
        }
    }

    fn serve(self: Arc<Self>, member: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut lines = BufReader::new(stream);
        let mut next = move || {
            let mut line = String::new();
            let count = lines.read_line(&mut line).ok()?;
            (count > 0).then(|| line.trim_end_matches(['\r', '\n']).to_owned())
        };
        let Some(startup) = next() else { return };
        let words: Vec<&str> = startup.split(' ').collect();
        let refusal = {
            let mut state = self.state.lock().unwrap();
            let found = &mut state.members[member];
            if words.len() < 3 || words[0] != "STARTUP" {
                Some("MALFORMED")
            } else if words[1] != self.service || words.get(3).is_some_and(|id| *id != found.id) {
                Some("WRONGNODE")
            } else if found.connections >= self.figures.connections {
                Some("CONNLIMIT")
            } else {
                found.connections += 1;
                None
            }
        };
        if let Some(code) = refusal {
            let _ = output.write_all(format!("ERROR {code} -\r\n").as_bytes());
            return;
        }
        let mut session = Session {
            member,
            number: self.counter.fetch_add(1, Ordering::Relaxed) + 1,
            who: words[2].to_owned(),
            prepared: BTreeMap::new(),
            transaction: None,
        };
        self.occupy(member, self.figures.connect_ms);
        let mut alive =
            output.write_all(format!("READY I {}\r\n", self.position(member)).as_bytes()).is_ok();
        while alive {
            let Some(line) = next() else { break };
            let Some((id, text)) =
                line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
            else {
                break;
            };
            let (rows, result) = self.run(&mut session, id, text);
            let mut answer: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
            match &result {
                Ok(signature) => answer += &format!("COMPLETE {signature}\r\n"),
                Err(code) => answer += &format!("ERROR {code} {}\r\n", self.id_of(member)),
            }
            let state = match &session.transaction {
                None => "I",
                Some(open) if open.failed => "E",
                Some(_) => "T",
            };
            answer += &format!("READY {state} {}\r\n", self.position(member));
            if id != "-" || result.is_err() || text.starts_with("DEMOTE") {
                let told = result.as_ref().map_or_else(|code| *code, |_| "COMPLETE");
                self.record.line(
                    &self.id_of(member),
                    &format!(
                        "connection {} of {}: {id} {text} -> {told} {state}",
                        session.number, session.who
                    ),
                );
            }
            alive = output.write_all(answer.as_bytes()).is_ok();
        }
        self.state.lock().unwrap().members[member].connections -= 1;
    }

    fn id_of(&self, member: usize) -> String {
        self.state.lock().unwrap().members[member].id.clone()
    }

    fn position(&self, member: usize) -> String {
        let (term, number) = self.state.lock().unwrap().applied(member, self.figures.lag_ms);
        format!("{term}.{number}")
    }

    /// Occupies a slot for some time; returns false if too many wait for one.
    fn occupy(&self, member: usize, ms: u64) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.members[member].waiting >= self.figures.queue {
            return false;
        }
        state.members[member].waiting += 1;
        let slots = self.figures.slots;
        let mut state =
            self.freed.wait_while(state, |state| state.members[member].busy >= slots).unwrap();
        state.members[member].waiting -= 1;
        state.members[member].busy += 1;
        drop(state);
        thread::sleep(Duration::from_millis(ms));
        self.state.lock().unwrap().members[member].busy -= 1;
        self.freed.notify_all();
        true
    }

    fn run(&self, session: &mut Session, id: &str, text: &str) -> Reply {
        let member = session.member;
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '))
        {
            Some((position, rest)) => (parse_position(position), rest),
            None => (None, text),
        };
        let words: Vec<&str> = text.split(' ').collect();
        let (primary, leads) = {
            let state = self.state.lock().unwrap();
            (state.members[member].primary, state.leads)
        };
        let done = || (Vec::new(), Ok("-".to_owned()));
        let refuse = |code: &'static str| (Vec::new(), Err(code));
        let ends = words[0] == "ROLLBACK" || words[0] == "COMMIT";
        if let Some(open) = &mut session.transaction {
            if open.failed && !ends {
                return refuse("MALFORMED");
            }
            // A backend that has lost the lead refuses every statement of a plain transaction.
            let reads_only = words[0] == "COMMIT" && open.writes.is_empty();
            if open.plain
                && open.leads != leads
                && !reads_only
                && words[0] != "ROLLBACK"
                && !open.failed
            {
                open.failed = true;
                if words[0] == "COMMIT" {
                    session.transaction = None;
                }
                return refuse("READONLY");
            }
        }
        match words[0] {
            "BEGIN" => {
                let reads = words.get(1) == Some(&"READ");
                if session.transaction.is_some() {
                    return refuse("MALFORMED");
                }
                if !reads && !primary {
                    return refuse("READONLY");
                }
                if after.is_some_and(|after| self.is_behind(member, after)) {
                    return refuse("LAGGING");
                }
                let number = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
                session.transaction = Some(Transaction {
                    number,
                    plain: !reads,
                    leads,
                    writes: Vec::new(),
                    failed: false,
                });
                done()
            }
            "ROLLBACK" => {
                session.transaction = None;
                done()
            }
            "SET" | "CLOSE" => done(),
            "RESET" => {
                session.prepared.clear();
                done()
            }
            "PREPARE" => {
                session.prepared.insert(words[1].to_owned(), words[2..].join(" "));
                done()
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                if words[0] == "DEMOTE" {
                    self.demote(
                        member,
                        words.get(1).and_then(|term| term.parse().ok()).unwrap_or(0),
                    );
                }
                if !self.occupy(member, 1) {
                    return refuse("BUSY");
                }
                (vec![self.status(member)], Ok("-".to_owned()))
            }
            "COMMIT" => {
                let Some(open) = session.transaction.take() else { return refuse("MALFORMED") };
                if open.failed {
                    return refuse("ABORTED");
                }
                if !self.occupy(member, self.figures.work_ms.min(8)) {
                    session.transaction = Some(open);
                    return refuse("BUSY");
                }
                if !open.writes.is_empty() && !self.commit(member, open.leads, id, &open.writes) {
                    return refuse("READONLY");
                }
                self.note(session, open.number, id, text)
            }
            "READ" | "WRITE" | "EXECUTE" => {
                let shape = match words[0] {
                    "EXECUTE" => match session.prepared.get(words[1]) {
                        Some(shape) => shape.clone(),
                        None => return refuse("NOSTMT"),
                    },
                    _ => words[0].to_owned(),
                };
                let writes = shape.starts_with("WRITE");
                if writes && !primary {
                    return refuse("READONLY");
                }
                if after.is_some_and(|after| self.is_behind(member, after)) {
                    return refuse("LAGGING");
                }
                if !self.occupy(member, self.figures.work_ms) {
                    return refuse("BUSY");
                }
                let number = session.transaction.as_ref().map_or(0, |open| open.number);
                match &mut session.transaction {
                    Some(open) if writes => open.writes.push(id.to_owned()),
                    Some(_) => {}
                    None if writes && !self.commit(member, leads, id, &[id.to_owned()]) => {
                        return refuse("READONLY");
                    }
                    None => {}
                }
                let (rows, result) = self.note(session, number, id, text);
                if writes {
                    return (rows, result);
                }
                let list = words.get(1).and_then(|item| item.strip_prefix("list")?.parse().ok());
                (
                    list.map_or_else(
                        || vec![format!("row-{id}")],
                        |rows| vec!["x".repeat(1_000); rows],
                    ),
                    result,
                )
            }
            _ => refuse("MALFORMED"),
        }
    }

    fn note(&self, session: &Session, transaction: u64, id: &str, text: &str) -> Reply {
        let signature =
            format!("{}.s{}", self.service, self.counter.fetch_add(1, Ordering::Relaxed) + 1);
        self.runs.lock().unwrap().push(Run {
            at: self.record.now_ms(),
            backend: self.id_of(session.member),
            connection: session.number,
            transaction,
            id: id.to_owned(),
            text: text.to_owned(),
            signature: signature.clone(),
        });
        (Vec::new(), Ok(signature))
    }

    fn commit(&self, member: usize, leads: u64, id: &str, writes: &[String]) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.members[member].primary || state.leads != leads {
            return false;
        }
        let last = state.log.last().map_or(0, |entry| entry.position.1);
        let position = (state.term, last + 1);
        state.log.push(Entry { position, at: Instant::now(), id: id.to_owned() });
        let mut committed = self.committed.lock().unwrap();
        committed.extend(writes.iter().map(|write| (write.clone(), id.to_owned())));
        true
    }

    fn is_behind(&self, member: usize, after: Position) -> bool {
        self.state.lock().unwrap().applied(member, self.figures.lag_ms) < after
    }

    fn status(&self, member: usize) -> String {
        let state = self.state.lock().unwrap();
        let found = &state.members[member];
        let role = if found.primary { "primary" } else { "replica" };
        let (term, number) = state.received(member);
        let (held, lag) = (state.term, self.figures.lag_ms);
        format!(
            "{role} {} {term}.{number} {held} {lag} {} {}",
            state.term, found.busy, found.connections
        )
    }

    /// When a backend ran the statement with this id.
    pub fn ran_at(&self, id: &str) -> Option<u64> {
        self.runs.lock().unwrap().iter().find(|run| run.id == id).map(|run| run.at)
    }
}

impl State {
    fn received(&self, member: usize) -> Position {
        self.applied(member, 1)
    }

    /// Last position that a backend has; a replica is some time behind.
    fn applied(&self, member: usize, lag_ms: u64) -> Position {
        let lag = if self.members[member].primary { 0 } else { lag_ms };
        let now = Instant::now();
        let arrived =
            |entry: &&Entry| now.saturating_duration_since(entry.at) >= Duration::from_millis(lag);
        self.log.iter().rev().find(arrived).map_or((1, 1), |entry| entry.position)
    }
}

fn parse_position(text: &str) -> Option<Position> {
    let (term, number) = text.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}
