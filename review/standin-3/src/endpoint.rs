//! Endpoints: groups of a primary and replicas with one log, over the line protocol of PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Platform;

/// What the members of a group are like.
#[derive(Clone, Copy)]
pub struct GroupSpec {
    pub slots: usize,
    pub connections: usize,
    pub work: Duration,
    pub lag: Duration,
}

struct Log {
    term: u64,
    number: u64,
    primary: usize,
    /// When each commit was made, and its number.
    commits: Vec<(Instant, u64)>,
    data: BTreeMap<String, String>,
}

struct Member {
    id: String,
    address: SocketAddr,
    open: Mutex<usize>,
    busy: Mutex<usize>,
    freed: Condvar,
}

struct State {
    spec: GroupSpec,
    log: Mutex<Log>,
    members: Vec<Member>,
    signatures: AtomicU64,
    record: Record,
    /// Factor on the time of the primary's statements, in percent.
    slowness: AtomicU64,
}

/// A group; clones share its state.
#[derive(Clone)]
pub struct Group {
    pub name: String,
    state: Arc<State>,
}

impl Group {
    /// Starts a primary and two replicas, which report themselves to the platform's store.
    pub fn start(name: &str, spec: GroupSpec, platform: &Platform, record: &Record) -> Self {
        let listeners: Vec<TcpListener> =
            (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let member = |(index, listener): (usize, &TcpListener)| Member {
            id: format!("i-{name}-{index}"),
            address: listener.local_addr().expect("an address"),
            open: Mutex::new(0),
            busy: Mutex::new(0),
            freed: Condvar::new(),
        };
        let members = listeners.iter().enumerate().map(member).collect();
        let log =
            Log { term: 3, number: 0, primary: 0, commits: Vec::new(), data: BTreeMap::new() };
        let state = State {
            spec,
            log: Mutex::new(log),
            members,
            signatures: AtomicU64::new(0),
            record: record.clone(),
            slowness: AtomicU64::new(100),
        };
        let group = Self { name: name.into(), state: Arc::new(state) };
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let group = group.clone();
                    thread::spawn(move || {
                        let _ended = group.converse(index, stream);
                    });
                }
            });
        }
        let (reporting, platform) = (group.clone(), platform.clone());
        reporting.report(&platform, 1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                reporting.report(&platform, sequence);
            }
        });
        group
    }

    fn report(&self, platform: &Platform, sequence: u64) {
        let primary = self.state.log.lock().expect("log").primary;
        for (index, member) in self.state.members.iter().enumerate() {
            let role = if index == primary { "primary" } else { "replica" };
            let row = format!(
                r#"{{"service":"{}","address":"{}","zone":"z{}","version":"v1","capacity":{},"state":"ready","warmupRemainingMs":0,"dbRole":"{role}","sequence":{sequence},"born":1790000000000}}"#,
                self.name,
                member.address,
                index + 1,
                self.state.spec.slots
            );
            platform.put("servers", &member.id, &row);
        }
    }

    pub fn is_running(&self, id: &str) -> bool {
        self.state.members.iter().any(|member| member.id == id)
    }

    /// Makes the primary's statements take `factor` times as long from now on.
    pub fn slow_primary(&self, factor: u64) {
        self.state.slowness.store(factor * 100, Ordering::Relaxed);
    }

    /// Whether a write of this item was committed.
    pub fn has_committed(&self, item: &str) -> bool {
        self.state.log.lock().expect("log").data.contains_key(item)
    }

    /// Makes a member the primary of the next term.
    pub fn promote(&self, id: &str) {
        let mut log = self.state.log.lock().expect("log");
        let Some(index) = self.state.members.iter().position(|member| member.id == id) else {
            return;
        };
        if index != log.primary {
            (log.primary, log.term) = (index, log.term + 1);
        }
    }

    /// Number of the last commit that a member has applied.
    fn applied(&self, log: &Log, index: usize) -> u64 {
        if index == log.primary {
            return log.number;
        }
        let visible = log.commits.iter().rev().find(|(at, _)| at.elapsed() >= self.state.spec.lag);
        visible.map_or(0, |(_, number)| *number)
    }

    fn converse(&self, index: usize, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut lines = Lines::new(stream);
        let startup = lines.next()?;
        let fields: Vec<&str> = startup.split(' ').collect();
        let member = &self.state.members[index];
        let fits = fields.first() == Some(&"STARTUP")
            && fields.get(1) == Some(&self.name.as_str())
            && fields.get(3).is_none_or(|id| *id == member.id);
        if !fits {
            lines.send("ERROR WRONGNODE no\r\n")?;
            return None;
        }
        {
            let mut open = member.open.lock().expect("open");
            if *open >= self.state.spec.connections {
                drop(open);
                lines.send("ERROR CONNLIMIT no\r\n")?;
                return None;
            }
            *open += 1;
        }
        let mut connection = Connection {
            group: self,
            index,
            account: fields.get(2).map(|account| (*account).to_owned()).unwrap_or_default(),
            transaction: None,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        };
        let position = connection.position();
        let mut ended = lines.send(&format!("READY I {position}\r\n"));
        while ended.is_some() {
            let Some(line) = lines.next() else { break };
            if line == "TERMINATE" {
                break;
            }
            let answer = connection.answer(&line);
            ended = lines.send(&answer);
        }
        *member.open.lock().expect("open") -= 1;
        None
    }
}

struct Transaction {
    read_only: bool,
    writes: Vec<(String, String)>,
}

struct Connection<'a> {
    group: &'a Group,
    index: usize,
    account: String,
    transaction: Option<Transaction>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (String, String)>,
}

impl Connection<'_> {
    fn position(&self) -> String {
        let log = self.group.state.log.lock().expect("log");
        format!("{}.{}", log.term, self.group.applied(&log, self.index))
    }

    fn leads(&self) -> bool {
        self.group.state.log.lock().expect("log").primary == self.index
    }

    fn ready(&self, text: &str) -> String {
        let state = if self.transaction.is_some() { "T" } else { "I" };
        format!("{text}READY {state} {}\r\n", self.position())
    }

    fn signature(&self) -> String {
        let number = self.group.state.signatures.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number:x}", self.group.state.members[self.index].id)
    }

    /// Occupies a slot for the time of a statement.
    fn work(&self) {
        let member = &self.group.state.members[self.index];
        let mut busy = member.busy.lock().expect("busy");
        while *busy >= self.group.state.spec.slots {
            busy = member.freed.wait(busy).expect("busy");
        }
        *busy += 1;
        drop(busy);
        let percent =
            if self.leads() { self.group.state.slowness.load(Ordering::Relaxed) } else { 100 };
        thread::sleep(self.group.state.spec.work * percent as u32 / 100);
        *member.busy.lock().expect("busy") -= 1;
        member.freed.notify_one();
    }

    fn answer(&mut self, line: &str) -> String {
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
        else {
            return self.ready("ERROR MALFORMED no\r\n");
        };
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '))
        {
            Some((after, rest)) => (Some(after), rest),
            None => (None, text),
        };
        if let Some(after) = after {
            let place = |text: &str| {
                let (term, number) = text.split_once('.')?;
                Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
            };
            if place(&self.position()) < place(after) {
                return self.ready("ERROR LAGGING no\r\n");
            }
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && !self.leads() {
                    return self.ready("ERROR READONLY no\r\n");
                }
                self.transaction = Some(Transaction { read_only, writes: Vec::new() });
                self.ready("COMPLETE -\r\n")
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.ready("COMPLETE -\r\n")
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.into(), value.into());
                self.ready("COMPLETE -\r\n")
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                self.ready("COMPLETE -\r\n")
            }
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let mut field = || fields.next().unwrap_or("").to_owned();
                let (name, access, shape) = (field(), field(), field());
                self.prepared.insert(name, (access, shape));
                self.ready("COMPLETE -\r\n")
            }
            "CLOSE" => {
                self.prepared.remove(rest);
                self.ready("COMPLETE -\r\n")
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                let log = self.group.state.log.lock().expect("log");
                let role = if log.primary == self.index { "primary" } else { "replica" };
                let received = self.group.applied(&log, self.index);
                let row = format!(
                    "ROW {role} {} {}.{received} 0 0 0 1\r\nCOMPLETE -\r\n",
                    log.term, log.term
                );
                drop(log);
                self.ready(&row)
            }
            "READ" | "WRITE" | "EXECUTE" | "COMMIT" => self.run(id, text, word, rest),
            _ => self.ready("ERROR MALFORMED no\r\n"),
        }
    }

    fn run(&mut self, id: &str, text: &str, word: &str, rest: &str) -> String {
        let (access, arguments) = match word {
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name) {
                    Some((access, _)) => (access.clone(), arguments),
                    None => return self.ready("ERROR NOSTMT no\r\n"),
                }
            }
            _ => (word.to_owned(), rest),
        };
        let plain = self.transaction.as_ref().is_some_and(|open| !open.read_only);
        let writes = access == "WRITE";
        let kept = self.transaction.as_ref().is_some_and(|open| !open.writes.is_empty());
        let needs_lead = writes || (plain && (word != "COMMIT" || kept));
        if needs_lead && !self.leads() {
            self.transaction = None;
            return self.ready("ERROR READONLY no\r\n");
        }
        self.work();
        self.group.state.record.ran(
            &self.group.state.members[self.index].id,
            &self.account,
            id,
            text,
        );
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let mut rows = String::new();
        if word == "COMMIT" {
            let writes = self.transaction.take().map(|open| open.writes).unwrap_or_default();
            if !writes.is_empty() {
                self.commit(writes);
            }
        } else if writes {
            match &mut self.transaction {
                Some(open) => open.writes.push((item.into(), data.into())),
                None => self.commit(vec![(item.into(), data.into())]),
            }
        } else {
            let log = self.group.state.log.lock().expect("log");
            rows = format!("ROW {}\r\n", log.data.get(item).map_or("none", String::as_str));
        }
        let signature = self.signature();
        self.ready(&format!("{rows}COMPLETE {signature}\r\n"))
    }

    fn commit(&self, writes: Vec<(String, String)>) {
        let mut log = self.group.state.log.lock().expect("log");
        log.number += 1;
        let number = log.number;
        log.commits.push((Instant::now(), number));
        let items: Vec<&str> = writes.iter().map(|(item, _)| item.as_str()).collect();
        self.group.state.record.detail(&format!("commit {number}: {}", items.join(" ")));
        log.data.extend(writes);
    }
}

/// Lines of a connection.
pub struct Lines {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, input: Vec::new() }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The next line, without its line end; none if the connection has ended or its time limit passed.
    pub fn next(&mut self) -> Option<String> {
        let mut piece = [0; 16 * 1024];
        let mut searched = 0;
        loop {
            if let Some(end) = self.input[searched..].windows(2).position(|pair| pair == b"\r\n") {
                let end = searched + end;
                let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 2);
                return Some(line);
            }
            searched = self.input.len().saturating_sub(1);
            match self.stream.read(&mut piece) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.input.extend_from_slice(&piece[..count]),
            }
        }
    }

    pub fn send(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }
}
