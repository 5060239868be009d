//! Callers: sessions that read, write and run transactions, and note what they were told.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use medlarstile::platform::line::{read_endpoint, EndpointMessage};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::wire::{send_in_pieces, with_line_end, Messages, Wire};
use super::world::{comparable, excerpt, Asked, Rows, Shared, ACCOUNTS};

/// Databases with the age that their reads may have.
pub const DATABASES: [(&str, Option<u64>); 3] =
    [("orders", None), ("lookups", Some(1_500)), ("plans", Some(2_500))];
/// Longest wait of a caller for an answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// Codes that promise that nothing of the attempt is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"];

/// Probability that a message is sent in pieces.
const PIECES_CHANCE: f64 = 0.2;

/// How a statement ended.
enum End {
    /// A signature, and the rows before it.
    Done(String, Rows),
    /// A code.
    Refused(String),
    /// The connection is gone, or there was no answer.
    Unknown,
}

struct Session {
    shared: Shared,
    name: String,
    account: &'static str,
    key: &'static str,
    database: &'static str,
    max_age: Option<u64>,
    tag: String,
    /// Access and text of the prepared statement.
    shape: String,
    /// Signatures of the statements of the transaction.
    signatures: Vec<String>,
    stream: TcpStream,
    messages: Messages,
    /// Draws the pieces of messages and the line ends in texts.
    wire_rng: ChaCha8Rng,
    next: u64,
}

/// Starts a caller that opens sessions at `hosts` until `stop` is set.
pub fn start(
    shared: &Shared,
    number: u64,
    seed: u64,
    wire: &Wire,
    hosts: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (shared, hosts, stop) = (shared.clone(), hosts.to_vec(), Arc::clone(stop));
    let wire = wire.clone();
    thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
        let mut sessions = 0;
        while !stop.load(Ordering::Relaxed) {
            sessions += 1;
            let name = format!("c{number}-{sessions}");
            let host = hosts.choose(&mut rng).expect("a host");
            let wire_rng = wire.generator(((number + 1) << 32) + sessions);
            match Session::open(&shared, name, number, *host, &mut rng, wire_rng) {
                Some(mut session) => {
                    while !stop.load(Ordering::Relaxed) && session.act(&mut rng) {}
                }
                None => thread::sleep(Duration::from_millis(30)),
            }
        }
    })
}

impl Session {
    fn open(
        shared: &Shared,
        name: String,
        number: u64,
        host: SocketAddr,
        rng: &mut ChaCha8Rng,
        wire_rng: ChaCha8Rng,
    ) -> Option<Self> {
        let (account, key, _) =
            ACCOUNTS[usize::try_from(number).expect("a number") % ACCOUNTS.len()];
        let (database, max_age) = *DATABASES.choose(rng).expect("a database");
        let stream = TcpStream::connect_timeout(&host, PATIENCE).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        let messages = Messages::from(stream.try_clone().ok()?);
        let (shared, tag, shape) = (shared.clone(), String::new(), String::new());
        let mut session = Self {
            shared,
            name,
            account,
            key,
            database,
            max_age,
            tag,
            shape,
            signatures: Vec::new(),
            stream,
            messages,
            wire_rng,
            next: 0,
        };
        session.send(&format!("STARTUP {database} {key}\r\n")).ok()?;
        let answer = read_endpoint(&session.messages.next().ok()??);
        matches!(answer, Ok(EndpointMessage::Ready(..))).then_some(session)
    }

    fn send(&mut self, message: &str) -> std::io::Result<()> {
        if self.wire_rng.random_bool(PIECES_CHANCE) {
            return send_in_pieces(&mut self.stream, message.as_bytes(), &mut self.wire_rng);
        }
        self.stream.write_all(message.as_bytes())
    }

    /// Sends a statement and reads its answer; the second value is false if the session is over.
    fn ask(&mut self, text: &str) -> (String, End, bool) {
        self.next += 1;
        let id = format!("{}.{}", self.name, self.next);
        let asked = Asked {
            session: self.name.clone(),
            account: self.account,
            key: self.key,
            tag: self.tag.clone(),
            shape: if text.starts_with("EXECUTE") { self.shape.clone() } else { String::new() },
            text: comparable(text),
            sent: Instant::now(),
        };
        let sent = asked.sent;
        {
            let mut world = self.shared.lock();
            if text.starts_with("SET ") || text.starts_with("PREPARE ") {
                world.setups.insert(asked.text.clone());
            }
            world.asked.insert(id.clone(), asked);
        }
        if self.send(&format!("QUERY {id} {text}\r\n")).is_err() {
            return (id, End::Unknown, false);
        }
        let (mut end, mut rows) = (None, Rows::default());
        loop {
            let Some(message) = self.messages.next().ok().flatten() else {
                self.shared.lock().cut(&id, sent);
                return (id, end.unwrap_or(End::Unknown), false);
            };
            match read_endpoint(&message) {
                Ok(EndpointMessage::Row(row)) => match &mut end {
                    Some(End::Done(_, rows)) => rows.add(&row),
                    _ => rows.add(&row),
                },
                Ok(EndpointMessage::Complete(signature)) => {
                    end = Some(End::Done(signature.to_string(), rows));
                }
                Ok(EndpointMessage::Error(..)) => {
                    let message = String::from_utf8_lossy(&message);
                    end = Some(End::Refused(message.split(' ').nth(1).unwrap_or("").to_owned()));
                }
                Ok(EndpointMessage::Ready(..)) => {
                    return (id, end.unwrap_or(End::Unknown), true);
                }
                Err(error) => {
                    let message = excerpt(&String::from_utf8_lossy(&message));
                    let text = format!("MIXED: {id} was answered with {message}: {error}");
                    self.shared.lock().violation(text);
                    return (id, End::Unknown, false);
                }
            }
        }
    }

    /// One operation; false ends the session.
    fn act(&mut self, rng: &mut ChaCha8Rng) -> bool {
        thread::sleep(Duration::from_millis(rng.random_range(0..15)));
        match rng.random_range(0..100) {
            0..50 => self.read(Instant::now(), false, rng),
            50..75 => self.write(rng),
            75..87 => self.transact(rng, 10),
            // Long, with pauses.
            87..90 => self.transact(rng, 400),
            90..97 => self.set(rng),
            // The session rests, then goes on.
            97 => {
                thread::sleep(Duration::from_millis(300));
                true
            }
            _ => false,
        }
    }

    fn set(&mut self, rng: &mut ChaCha8Rng) -> bool {
        let tag = format!("t{}", rng.random_range(0..4));
        let tag = with_line_end(&tag, &mut self.wire_rng);
        let (_, end, alive) = self.ask(&format!("SET tag {tag}"));
        if matches!(end, End::Done(..)) {
            self.tag = tag;
            return alive;
        }
        false
    }

    /// A read; `began` is the time at which it, or its transaction, was sent.
    fn read(&mut self, began: Instant, inside: bool, rng: &mut ChaCha8Rng) -> bool {
        let prepared = rng.random_bool(0.2);
        let long = rng.random_bool(0.03);
        let item = with_line_end("1", &mut self.wire_rng);
        let text = match (prepared, long) {
            (true, _) => format!("EXECUTE s {item}"),
            (false, true) => "READ list".into(),
            (false, false) => format!("READ {item}"),
        };
        if prepared {
            // Shapes differ, so that the connection of a transaction often lacks one.
            let number = rng.random_range(0..1_000);
            // A shape may hold blanks, and words of the protocol.
            let shape = match number % 4 {
                0 => format!("READ shape{number}"),
                1 => format!("READ shape{number} READ"),
                2 => format!("READ shape{number} WRITE to"),
                _ => format!("READ  {number} "),
            };
            let shape = with_line_end(&shape, &mut self.wire_rng);
            let (_, end, alive) = self.ask(&format!("PREPARE s {shape}"));
            if !alive || !matches!(end, End::Done(..)) {
                return false;
            }
            self.shape = shape;
        }
        let began = if inside { began } else { Instant::now() };
        let (id, end, alive) = self.ask(&text);
        let End::Done(signature, rows) = end else { return alive && !inside };
        if inside {
            self.signatures.push(signature.clone());
        }
        let mut world = self.shared.lock();
        world.served += 1;
        if world.count_after.is_some_and(|after| began > after) {
            world.served_after += 1;
        }
        if let Some(run) = world.check_answer(&id, &signature, rows) {
            let age = Duration::from_millis(self.max_age.unwrap_or(0));
            let own = (self.database == "plans").then_some(self.name.as_str());
            world.check_fresh(&id, run.applied, began, age, own);
        }
        alive
    }

    fn write(&mut self, rng: &mut ChaCha8Rng) -> bool {
        let length = if rng.random_bool(0.03) { 100_000 } else { 0 };
        let data = format!("{}-{}{}", self.name, rng.random::<u64>(), "d".repeat(length));
        let data = with_line_end(&data, &mut self.wire_rng);
        let (id, end, alive) = self.ask(&format!("WRITE 1 {data}"));
        self.note_commit(&id, &end, &[data]);
        alive
    }

    /// A transaction with pauses of up to `pause_ms` between its statements.
    fn transact(&mut self, rng: &mut ChaCha8Rng, pause_ms: u64) -> bool {
        let began = Instant::now();
        self.signatures.clear();
        let read_only = rng.random_bool(0.4);
        let (_, end, alive) = self.ask(if read_only { "BEGIN READ" } else { "BEGIN" });
        if !alive || !matches!(end, End::Done(..)) {
            return alive;
        }
        let mut data = Vec::new();
        let most = if pause_ms > 100 { 13 } else { 5 };
        for _ in 0..rng.random_range(1..most) {
            thread::sleep(Duration::from_millis(rng.random_range(0..pause_ms)));
            let alive = if read_only || rng.random_bool(0.5) {
                self.read(began, true, rng)
            } else {
                let one = format!("{}-{}", self.name, rng.random::<u64>());
                let one = with_line_end(&one, &mut self.wire_rng);
                let (id, end, alive) = self.ask(&format!("WRITE 1 {one}"));
                data.push(one);
                if let End::Done(signature, rows) = &end {
                    self.shared.lock().check_answer(&id, signature, *rows);
                    self.signatures.push(signature.clone());
                }
                alive && matches!(end, End::Done(..))
            };
            if !alive {
                // The caller leaves; its commit was never asked for.
                self.shared.lock().promised.extend(data);
                return false;
            }
        }
        if rng.random_bool(0.1) {
            self.shared.lock().promised.extend(data);
            return self.ask("ROLLBACK").2;
        }
        let (id, end, alive) = self.ask("COMMIT");
        if let End::Done(signature, _) = &end {
            self.signatures.push(signature.clone());
            let signatures = std::mem::take(&mut self.signatures);
            self.shared.lock().check_pinned(&signatures);
        }
        self.note_commit(&id, &end, &data);
        alive
    }

    /// Notes what the caller was told of a write or commit.
    fn note_commit(&self, id: &str, end: &End, data: &[String]) {
        let mut world = self.shared.lock();
        match end {
            End::Done(signature, rows) => {
                world.served += 1;
                let Some(run) = world.check_answer(id, signature, *rows) else { return };
                let number = run.commit.and_then(|number| usize::try_from(number).ok());
                let now = Instant::now();
                let commit = number.and_then(|number| world.log.get_mut(number - 1));
                // A promotion may have rolled it back already.
                if let Some(commit) = commit.filter(|commit| commit.data == data) {
                    commit.acknowledged = Some(now);
                }
            }
            End::Refused(code) if PROMISES.contains(&code.as_str()) => {
                let kept: Vec<&String> =
                    data.iter().filter(|one| world.committed.contains(*one)).collect();
                if !kept.is_empty() {
                    let text = format!("REFUSED: {id} was answered with {code} but is kept");
                    world.violation(text);
                }
                world.promised.extend(data.iter().cloned());
            }
            End::Refused(_) | End::Unknown => {}
        }
    }
}
