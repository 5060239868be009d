//! Backends of one service: a stand-in written from PROTOCOL.md. Lines end with CR LF and nothing else.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Time after which replicas apply a commit.
const LAG: Duration = Duration::from_millis(20);
/// Time that a read, write or commit takes.
const WORK: Duration = Duration::from_millis(3);
/// Largest message.
const MAX_MESSAGE: usize = 1024 * 1024;

#[derive(Clone)]
struct Commit {
    term: u64,
    number: u64,
    at: Instant,
    writes: Vec<(String, Vec<u8>)>,
}

struct Backend {
    id: String,
    log: Vec<Commit>,
}

struct State {
    term: u64,
    primary: usize,
    backends: Vec<Backend>,
    signatures: u64,
}

impl Backend {
    fn position(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |commit| (commit.term, commit.number))
    }
}

/// One service with its backends.
pub struct Group {
    pub service: String,
    pub addresses: Vec<SocketAddr>,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Group {
    /// Starts `count` backends at free ports; the first is the primary.
    pub fn start(service: &str, count: usize, record: &Arc<Record>) -> Arc<Self> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let addresses = listeners.iter().map(|found| found.local_addr().expect("an address"));
        let backends =
            (0..count).map(|index| Backend { id: format!("i-{service}-{index}"), log: Vec::new() });
        let group = Arc::new(Self {
            service: service.into(),
            addresses: addresses.collect(),
            state: Mutex::new(State {
                term: 1,
                primary: 0,
                backends: backends.collect(),
                signatures: 0,
            }),
            record: Arc::clone(record),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || Session::new(group, index, socket).run());
                }
            });
        }
        group
    }

    /// The entries with which the backends register, by id.
    pub fn entries(&self, sequence: u64) -> Vec<(String, String)> {
        let state = self.state.lock().expect("state");
        let entry = |(index, backend): (usize, &Backend)| {
            let role = if index == state.primary { "primary" } else { "replica" };
            let text = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"capacity\":2,\
                 \"state\":\"ready\",\"warmupRemainingMs\":0,\"dbRole\":\"{role}\",\"born\":1700000000000,\"sequence\":{sequence}}}",
                self.service, self.addresses[index]
            );
            (backend.id.clone(), text)
        };
        state.backends.iter().enumerate().map(entry).collect()
    }

    /// Data of the committed writes of an item at the primary, oldest first.
    pub fn written(&self, item: &str) -> Vec<Vec<u8>> {
        let state = self.state.lock().expect("state");
        let log = &state.backends[state.primary].log;
        let writes = log.iter().flat_map(|commit| commit.writes.iter());
        writes.filter(|(of, _)| of == item).map(|(_, data)| data.clone()).collect()
    }
}

impl Group {
    /// All committed writes at the primary, oldest first.
    pub fn all_written(&self) -> Vec<(String, Vec<u8>)> {
        let state = self.state.lock().expect("state");
        let log = &state.backends[state.primary].log;
        log.iter().flat_map(|commit| commit.writes.iter().cloned()).collect()
    }
}

struct Transaction {
    read_only: bool,
    failed: bool,
    writes: Vec<(String, Vec<u8>)>,
}

struct Session {
    group: Arc<Group>,
    index: usize,
    socket: TcpStream,
    who: String,
    transaction: Option<Transaction>,
    prepared: BTreeMap<String, (String, String)>,
}

/// What follows the first `count` blanks of a line.
fn after_blanks(line: &[u8], count: usize) -> &[u8] {
    let blanks = line.iter().enumerate().filter(|(_, byte)| **byte == b' ');
    blanks.map(|(at, _)| &line[at + 1..]).nth(count - 1).unwrap_or_default()
}

enum Answer {
    Done(String),
    Rows(Vec<Vec<u8>>),
    Error(&'static str),
}

impl Session {
    fn new(group: Arc<Group>, index: usize, socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            group,
            index,
            socket,
            who: String::new(),
            transaction: None,
            prepared: BTreeMap::new(),
        }
    }

    fn run(mut self) {
        let mut input = Vec::new();
        let mut chunk = vec![0_u8; 64 * 1024];
        loop {
            while let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = input.drain(..end + 2).collect();
                if !self.handle(&line[..end]) {
                    return;
                }
            }
            if input.len() > MAX_MESSAGE {
                return;
            }
            match self.socket.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => input.extend_from_slice(&chunk[..count]),
            }
        }
    }

    fn send(&mut self, bytes: &[u8]) -> bool {
        self.socket.write_all(bytes).is_ok()
    }

    fn ready(&self) -> String {
        let state = self.group.state.lock().expect("state");
        let (term, number) = state.backends[self.index].position();
        let letter = match &self.transaction {
            None => "I",
            Some(Transaction { failed: true, .. }) => "E",
            Some(_) => "T",
        };
        format!("READY {letter} {term}.{number}\r\n")
    }

    fn handle(&mut self, line: &[u8]) -> bool {
        let text = String::from_utf8_lossy(line).into_owned();
        let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
        match word {
            "STARTUP" => {
                let fields: Vec<&str> = rest.split(' ').collect();
                let id = self.group.state.lock().expect("state").backends[self.index].id.clone();
                let expected = fields.get(2).copied().unwrap_or(&id);
                if fields.first() != Some(&self.group.service.as_str()) || expected != id {
                    self.send(format!("ERROR WRONGNODE {id}\r\n").as_bytes());
                    return false;
                }
                self.who = fields.get(1).copied().unwrap_or("-").to_owned();
                thread::sleep(Duration::from_millis(12));
                let ready = self.ready();
                self.send(ready.as_bytes())
            }
            "QUERY" => {
                let (id, query) = rest.split_once(' ').unwrap_or((rest, ""));
                let answer = self.query(id, query, line);
                let mut out = Vec::new();
                match answer {
                    Answer::Done(signature) => {
                        out.extend(format!("COMPLETE {signature}\r\n").bytes())
                    }
                    Answer::Rows(rows) => {
                        for row in rows {
                            out.extend(b"ROW ");
                            out.extend(row);
                            out.extend(b"\r\n");
                            if out.len() > 256 * 1024 {
                                if !self.send(&out) {
                                    return false;
                                }
                                out.clear();
                            }
                        }
                        let signature = self.signature();
                        out.extend(format!("COMPLETE {signature}\r\n").bytes());
                    }
                    Answer::Error(code) => {
                        if let Some(transaction) = &mut self.transaction {
                            transaction.failed = true;
                        }
                        out.extend(format!("ERROR {code} refused\r\n").bytes());
                    }
                }
                out.extend(self.ready().bytes());
                self.send(&out)
            }
            _ => false,
        }
    }

    fn signature(&self) -> String {
        let mut state = self.group.state.lock().expect("state");
        state.signatures += 1;
        format!("{}.{:x}", state.backends[self.index].id, state.signatures * 7919)
    }

    fn leads(&self) -> bool {
        self.group.state.lock().expect("state").primary == self.index
    }

    fn query(&mut self, id: &str, query: &str, line: &[u8]) -> Answer {
        let mut query = query;
        if let Some(rest) = query.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let needed = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            let state = self.group.state.lock().expect("state");
            let log = &state.backends[self.index].log;
            let is_primary = state.primary == self.index;
            let applied =
                log.iter().rev().find(|commit| is_primary || commit.at + LAG <= Instant::now());
            if applied.map_or((1, 0), |commit| (commit.term, commit.number)) < needed {
                return Answer::Error("LAGGING");
            }
            query = rest;
        }
        let (word, rest) = query.split_once(' ').unwrap_or((query, ""));
        if let Some(transaction) = &self.transaction {
            if transaction.failed && !matches!(word, "ROLLBACK" | "COMMIT") {
                return Answer::Error("MALFORMED");
            }
        }
        match word {
            "BEGIN" if self.transaction.is_some() => Answer::Error("MALFORMED"),
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && !self.leads() {
                    return Answer::Error("READONLY");
                }
                self.transaction =
                    Some(Transaction { read_only, failed: false, writes: Vec::new() });
                Answer::Done("-".into())
            }
            "ROLLBACK" => {
                self.transaction = None;
                Answer::Done("-".into())
            }
            "COMMIT" => {
                let Some(transaction) = self.transaction.take() else {
                    return Answer::Error("MALFORMED");
                };
                if transaction.failed {
                    return Answer::Error("ABORTED");
                }
                self.group.record.line(&format!("backend runs id={id} tenant={} COMMIT", self.who));
                self.commit(transaction.writes)
            }
            "READ" => self.read(id, rest),
            "WRITE" => {
                let item = rest.split(' ').next().unwrap_or("").to_owned();
                self.write(id, &item, after_blanks(line, 4))
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some((access, shape)) = self.prepared.get(name).cloned() else {
                    return Answer::Error("NOSTMT");
                };
                self.group
                    .record
                    .line(&format!("backend runs id={id} the prepared {access} \"{shape}\""));
                let item = arguments.split(' ').next().unwrap_or("");
                if access == "READ" {
                    self.read(id, item)
                } else {
                    let item = item.to_owned();
                    self.write(id, &item, after_blanks(line, 5))
                }
            }
            "PREPARE" => {
                let mut words = rest.splitn(3, ' ');
                let (name, access, shape) = (words.next(), words.next(), words.next());
                let (Some(name), Some(access @ ("READ" | "WRITE")), Some(shape)) =
                    (name, access, shape)
                else {
                    return Answer::Error("MALFORMED");
                };
                self.prepared.insert(name.to_owned(), (access.to_owned(), shape.to_owned()));
                Answer::Done("-".into())
            }
            "SET" | "CLOSE" => Answer::Done("-".into()),
            "RESET" => {
                self.prepared.clear();
                Answer::Done("-".into())
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                let state = self.group.state.lock().expect("state");
                let role = if state.primary == self.index { "primary" } else { "replica" };
                let (term, number) = state.backends[self.index].position();
                Answer::Rows(vec![
                    format!("{role} {} {term}.{number} 0 0 1 4", state.term).into_bytes()
                ])
            }
            _ => Answer::Error("MALFORMED"),
        }
    }

    fn read(&mut self, id: &str, item: &str) -> Answer {
        thread::sleep(WORK);
        self.group.record.line(&format!("backend runs id={id} tenant={} READ {item}", self.who));
        if let Some(count) = item.strip_prefix("rows-") {
            let count: usize = count.parse().unwrap_or(1);
            return Answer::Rows((0..count).map(|_| vec![b'r'; MAX_MESSAGE - 64]).collect());
        }
        let state = self.group.state.lock().expect("state");
        let writes = state.backends[self.index].log.iter().flat_map(|commit| commit.writes.iter());
        let last = writes.filter(|(of, _)| of == item).last().map(|(_, data)| data.clone());
        Answer::Rows(last.into_iter().collect())
    }

    fn write(&mut self, id: &str, item: &str, data: &[u8]) -> Answer {
        thread::sleep(WORK);
        if !self.leads() || self.transaction.as_ref().is_some_and(|open| open.read_only) {
            return Answer::Error("READONLY");
        }
        let shown = data.escape_ascii();
        self.group
            .record
            .line(&format!("backend runs id={id} tenant={} WRITE {item} \"{shown}\"", self.who));
        match &mut self.transaction {
            Some(open) => {
                open.writes.push((item.to_owned(), data.to_vec()));
                Answer::Done(self.signature())
            }
            None => self.commit(vec![(item.to_owned(), data.to_vec())]),
        }
    }

    fn commit(&mut self, writes: Vec<(String, Vec<u8>)>) -> Answer {
        if !writes.is_empty() {
            let mut state = self.group.state.lock().expect("state");
            if state.primary != self.index {
                return Answer::Error("READONLY");
            }
            let (term, primary) = (state.term, state.primary);
            let number = state.backends[primary].position().1 + 1;
            let commit = Commit { term, number, at: Instant::now(), writes };
            for backend in &mut state.backends {
                backend.log.push(commit.clone());
            }
        }
        Answer::Done(self.signature())
    }
}
