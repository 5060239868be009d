//! An emulated endpoint that speaks the platform's lines.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::wire::{send_in_pieces, with_line_end, Messages, Wire};
use super::world::{excerpt, At, Rows, Run, Shared, ACCOUNTS, GROUP};

/// Connections that an endpoint accepts.
pub const MAX_CONNECTIONS: usize = 24;
/// Time that a statement takes.
const WORK: Duration = Duration::from_millis(2);

/// Rows of a long answer, and about the length of each.
const LIST: (usize, usize) = (300, 1_000);
/// Longest wait of a connection's sender for an answer while it has none to send again.
const IDLE: Duration = Duration::from_secs(60);

/// An open transaction.
struct Open {
    number: u64,
    read_only: bool,
    failed: bool,
    term: u64,
    writes: Vec<String>,
    /// Caller whose statements run in it.
    caller: Option<String>,
}

struct Connection {
    shared: Shared,
    member: usize,
    account: String,
    open: Option<Open>,
    values: BTreeMap<String, String>,
    /// Access and text of the prepared statements by name.
    shapes: BTreeMap<String, String>,
    /// That of the statement in progress, if it is a prepared one.
    shape: String,
    /// Draws the line ends in rows.
    rng: ChaCha8Rng,
}

/// The task that owns a connection's output. It sends whole answers, and some of them again.
struct Sender {
    member: usize,
    wire: Wire,
    rng: ChaCha8Rng,
    output: TcpStream,
    /// Answers that are sent again, and when.
    late: Vec<(Instant, Vec<u8>)>,
}

impl Sender {
    /// Sends the answers that arrive until the connection's reader ends.
    fn run(mut self, answers: &Receiver<Vec<u8>>) -> std::io::Result<()> {
        loop {
            let next = self.late.iter().map(|(at, _)| *at).min();
            let wait = next.map_or(IDLE, |at| at.saturating_duration_since(Instant::now()));
            match answers.recv_timeout(wait) {
                Ok(answer) => {
                    self.send(&answer)?;
                    if let Some(delay) = self.wire.repeat_after(self.member, &mut self.rng) {
                        self.late.push((Instant::now() + delay, answer));
                    }
                }
                Err(RecvTimeoutError::Timeout) => {
                    let now = Instant::now();
                    let (due, later): (Vec<_>, Vec<_>) =
                        std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
                    self.late = later;
                    due.iter().try_for_each(|(_, answer)| self.send(answer))?;
                }
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    }

    fn send(&mut self, answer: &[u8]) -> std::io::Result<()> {
        if self.wire.answers_in_pieces {
            return send_in_pieces(&mut self.output, answer, &mut self.rng);
        }
        self.output.write_all(answer)
    }
}

/// Starts the endpoint `member`.
pub fn serve(shared: &Shared, member: usize, wire: &Wire) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (shared, wire) = (shared.clone(), wire.clone());
    thread::spawn(move || {
        let streams = listener.incoming().map_while(Result::ok);
        for (number, stream) in (0..).zip(streams) {
            let (shared, wire) = (shared.clone(), wire.clone());
            // Callers use the streams below these.
            let rng = wire.generator(((member as u64 + 1) << 60) + number);
            thread::spawn(move || {
                if !shared.lock().members[member].alive {
                    return;
                }
                shared.lock().members[member].connections += 1;
                // A connection that breaks ends its session, nothing else.
                drop(converse(&shared, member, stream, wire, rng));
                shared.lock().members[member].connections -= 1;
            });
        }
    });
    address
}

fn converse(
    shared: &Shared,
    member: usize,
    stream: TcpStream,
    wire: Wire,
    mut rng: ChaCha8Rng,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    let output = stream.try_clone()?;
    let mut messages = Messages::from(stream);
    let Some(greeting) = messages.next()? else { return Ok(()) };
    let greeting = String::from_utf8_lossy(&greeting);
    let sender_rng = ChaCha8Rng::from_rng(&mut rng);
    let sender = Sender { member, wire, rng: sender_rng, output, late: Vec::new() };
    let (answers, arriving) = channel();
    // A connection that breaks ends its sender.
    thread::spawn(move || drop(sender.run(&arriving)));
    let send = |answer: String| answers.send(answer.into_bytes()).is_ok();
    let words: Vec<&str> = greeting.split(' ').collect();
    let own = shared.lock().members[member].id.clone();
    if words.get(1) != Some(&GROUP) || words.get(3) != Some(&own.as_str()) {
        send(format!("ERROR WRONGNODE {own}\r\n"));
        return Ok(());
    }
    if shared.lock().members[member].connections > MAX_CONNECTIONS {
        send(format!("ERROR CONNLIMIT {own}\r\n"));
        return Ok(());
    }
    let mut connection = Connection {
        shared: shared.clone(),
        member,
        account: words.get(2).unwrap_or(&"").to_string(),
        open: None,
        values: BTreeMap::new(),
        shapes: BTreeMap::new(),
        shape: String::new(),
        rng,
    };
    send(connection.ready());
    while let Some(line) = messages.next()? {
        // A text that is not UTF-8 differs from what callers send.
        let line = String::from_utf8_lossy(&line);
        if ACCOUNTS.iter().any(|(_, key, _)| line.contains(key)) {
            let text = format!("UNASKED: a key reached an endpoint: {}", excerpt(&line));
            shared.lock().violation(text);
        }
        let Some(rest) = line.strip_prefix("QUERY ") else {
            if line != "TERMINATE" {
                let text = format!("UNASKED: an endpoint got {}", excerpt(&line));
                shared.lock().violation(text);
            }
            return Ok(());
        };
        let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let answer = connection.answer(id, text);
        if !shared.lock().members[member].alive {
            return Ok(());
        }
        if !send(format!("{answer}{}", connection.ready())) {
            return Ok(());
        }
    }
    Ok(())
}

impl Connection {
    fn ready(&self) -> String {
        let (term, number) = self.shared.lock().position(self.member);
        let state = match &self.open {
            None => "I",
            Some(Open { failed: true, .. }) => "E",
            Some(_) => "T",
        };
        format!("READY {state} {term}.{number}\r\n")
    }

    fn error(&mut self, code: &str) -> String {
        if let Some(open) = &mut self.open {
            open.failed = true;
        }
        format!("ERROR {code} -\r\n")
    }

    fn answer(&mut self, id: &str, mut text: &str) -> String {
        if let Some((wanted, rest)) =
            text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '))
        {
            if self.shared.lock().position(self.member) < position(wanted) {
                return "ERROR LAGGING -\r\n".into();
            }
            text = rest;
        }
        let words: Vec<&str> = text.split(' ').collect();
        let failed = self.open.as_ref().is_some_and(|open| open.failed);
        // Any statement of a transaction is refused after the lead was lost, but for the commit of
        // one that wrote nothing.
        if !failed && self.has_lost_lead() && !matches!(words[0], "COMMIT" | "ROLLBACK") {
            return self.error("READONLY");
        }
        self.shape = match words[..] {
            ["EXECUTE", name, ..] => self.shapes.get(name).cloned().unwrap_or_default(),
            _ => String::new(),
        };
        match words[..] {
            ["ROLLBACK"] => {
                self.open = None;
                "COMPLETE -\r\n".into()
            }
            _ if failed => "ERROR MALFORMED -\r\n".into(),
            ["BEGIN"] => self.begin(false),
            ["BEGIN", "READ"] => self.begin(true),
            ["READ", "list"] => self.read(id, text, LIST),
            ["READ", _] => self.read(id, text, (1, 5)),
            ["WRITE", _, data] => self.write(id, text, data),
            ["EXECUTE", ..] if self.shape.is_empty() => self.error("NOSTMT"),
            ["EXECUTE", _, _] => self.read(id, text, (1, 5)),
            ["EXECUTE", _, _, data] => self.write(id, text, data),
            ["COMMIT"] => self.commit(id),
            ["SET", name, value] => {
                self.shared.lock().check_text(id, text);
                self.values.insert(name.into(), value.into());
                "COMPLETE -\r\n".into()
            }
            ["PREPARE", name, "READ" | "WRITE", ..] => {
                self.shared.lock().check_text(id, text);
                self.shapes.insert(name.into(), words[2..].join(" "));
                "COMPLETE -\r\n".into()
            }
            ["RESET"] => {
                self.values.clear();
                self.shapes.clear();
                "COMPLETE -\r\n".into()
            }
            ["STATUS"] | ["RESUME"] | ["PAUSE" | "DEMOTE", _] => self.status(&words),
            _ => self.error("MALFORMED"),
        }
    }

    fn status(&mut self, words: &[&str]) -> String {
        let mut world = self.shared.lock();
        match words[0] {
            "PAUSE" => world.members[self.member].paused = true,
            "RESUME" => world.members[self.member].paused = false,
            _ => {}
        }
        let role = if world.primary == self.member { "primary" } else { "replica" };
        let (term, _) = world.position(self.member);
        let received = world.members[self.member].received;
        format!("ROW {role} {term} {term}.{received} {term} 0 0 0\r\nCOMPLETE -\r\n")
    }

    fn has_lost_lead(&self) -> bool {
        let world = self.shared.lock();
        self.open.as_ref().is_some_and(|open| {
            !open.read_only && (world.primary != self.member || world.term != open.term)
        })
    }

    fn begin(&mut self, read_only: bool) -> String {
        let mut world = self.shared.lock();
        if !read_only && world.primary != self.member {
            return "ERROR READONLY -\r\n".into();
        }
        let term = world.term;
        let (writes, caller) = (Vec::new(), None);
        world.next_transaction += 1;
        let number = world.next_transaction;
        self.open = Some(Open { number, read_only, failed: false, term, writes, caller });
        "COMPLETE -\r\n".into()
    }

    /// Checks that a caller's statement may run here; a first one of an operation is counted.
    fn admit(&mut self, id: &str, text: &str) -> bool {
        thread::sleep(WORK);
        let mut world = self.shared.lock();
        let Some(asked) = world.asked.get(id).cloned() else {
            world.violation(format!("UNASKED: no caller sent {id}"));
            return false;
        };
        world.passed_on.insert(id.to_owned());
        world.check_text(id, text);
        let first = self.open.as_ref().is_none_or(|open| open.caller.is_none());
        if let Some(open) = &mut self.open {
            let owner = open.caller.get_or_insert_with(|| asked.session.clone());
            if *owner != asked.session {
                world.violation(format!("PINNED: {id} ran in a transaction of {owner}"));
            }
        }
        if asked.account != self.account {
            world.violation(format!("UNASKED: {id} ran for account {}", self.account));
        }
        if asked.tag != self.values.get("tag").map_or("", String::as_str) {
            world.violation(format!("PINNED: {id} ran with the values {:?}", self.values));
        }
        if asked.shape != self.shape {
            world.violation(format!("PINNED: {id} ran {:?}, not {:?}", self.shape, asked.shape));
        }
        if first {
            world.arrive(&asked);
        }
        self.open.as_ref().is_none_or(|open| {
            open.read_only || (world.primary == self.member && world.term == open.term)
        })
    }

    fn signed(&self, id: &str, applied: u64, commit: Option<u64>, rows: Rows) -> String {
        let transaction = self.open.as_ref().map(|open| open.number);
        self.note(Run { query: id.to_owned(), applied, commit, transaction, rows })
    }

    /// Notes a run; its signature, which is unlike all others.
    fn note(&self, run: Run) -> String {
        let mut world = self.shared.lock();
        world.next_run += 1;
        let signature = format!("{}.{}", world.members[self.member].id, world.next_run);
        world.runs.insert(signature.clone(), run);
        signature
    }

    fn read(&mut self, id: &str, text: &str, (count, bytes): (usize, usize)) -> String {
        if !self.admit(id, text) {
            return self.error("READONLY");
        }
        let applied = self.shared.lock().position(self.member).1;
        let (mut rows, mut answer) = (Rows::default(), String::new());
        for number in 0..count {
            let start = with_line_end(&format!("{id}-{number}"), &mut self.rng);
            let row = with_line_end(&format!("{start} {}", "v".repeat(bytes)), &mut self.rng);
            rows.add(row.as_bytes());
            answer.push_str(&format!("ROW {row}\r\n"));
        }
        let signature = self.signed(id, applied, None, rows);
        format!("{answer}COMPLETE {signature}\r\n")
    }

    fn write(&mut self, id: &str, text: &str, data: &str) -> String {
        if !self.admit(id, text) {
            return self.error("READONLY");
        }
        if let Some(open) = &mut self.open {
            open.writes.push(data.to_owned());
            let signature = self.signed(id, 0, None, Rows::default());
            return format!("COMPLETE {signature}\r\n");
        }
        let number = {
            let mut world = self.shared.lock();
            if world.primary != self.member {
                return "ERROR READONLY -\r\n".into();
            }
            world.commit(vec![data.to_owned()], id)
        };
        let signature = self.signed(id, number, Some(number), Rows::default());
        format!("COMPLETE {signature}\r\n")
    }

    fn commit(&mut self, id: &str) -> String {
        let Some(open) = self.open.take() else { return self.error("MALFORMED") };
        thread::sleep(WORK);
        let transaction = Some(open.number);
        let number = {
            let mut world = self.shared.lock();
            world.passed_on.insert(id.to_owned());
            world.check_text(id, "COMMIT");
            let leads = world.primary == self.member && world.term == open.term;
            match (open.writes.is_empty(), leads) {
                (true, _) => None,
                (false, false) => return "ERROR READONLY -\r\n".into(),
                (false, true) => Some(world.commit(open.writes, id)),
            }
        };
        let signature = self.note(Run {
            query: id.to_owned(),
            applied: number.unwrap_or(0),
            commit: number,
            transaction,
            rows: Rows::default(),
        });
        format!("COMPLETE {signature}\r\n")
    }
}

fn position(text: &str) -> At {
    let (term, number) = text.split_once('.').expect("a position");
    (term.parse().expect("a term"), number.parse().expect("a number"))
}
