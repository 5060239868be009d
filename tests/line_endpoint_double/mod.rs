//! Test double of an endpoint that speaks the platform's lines and accepts all work as a primary.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Bytes of a row of a long answer.
pub const ROW_BYTES: usize = 1_000;
/// Bytes that the double reads and writes at once where messages come in pieces.
const PIECE_BYTES: usize = 3;

/// Bytes that are kept of the text of each statement.
const MAX_RECORDED_BYTES: usize = 1_000;

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it accepts connections.
    pub address: SocketAddr,
    signature: &'static str,
    repeat_after: Option<Duration>,
    in_pieces: bool,
    /// Texts of the statements that ran, in their order.
    ran: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Texts of the `SET` and `PREPARE` statements, in their order.
    set_up: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Data of the last write.
    stored: Arc<Mutex<Vec<u8>>>,
    /// Items of the reads that were refused once.
    refused: Arc<Mutex<BTreeSet<String>>>,
}

/// Starts an endpoint, which signs the results of reads with `signature` and a number that rises with
/// each statement, as the platform's endpoints sign no two alike. `READ list-N` is answered with N rows
/// of [`ROW_BYTES`] bytes, `READ wait-N` after N milliseconds, `READ name-N` with its own item,
/// `READ busy-N` likewise once it was refused, `READ stored-0` with the data of the last write, and a
/// write with the length of its text as the signature.
pub fn serve(signature: &'static str) -> SocketAddr {
    Endpoint::start(signature, None, false).address
}

impl Endpoint {
    /// Starts an endpoint that sends each answer again after `repeat_after`, and reads and writes
    /// messages in small pieces if `in_pieces`.
    pub fn start(signature: &'static str, repeat_after: Option<Duration>, in_pieces: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = Self {
            address: listener.local_addr().expect("an address"),
            signature,
            repeat_after,
            in_pieces,
            ran: Arc::default(),
            set_up: Arc::default(),
            stored: Arc::default(),
            refused: Arc::default(),
        };
        let running = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let running = running.clone();
                // A host may close its connection at any time.
                thread::spawn(move || drop(running.converse(stream)));
            }
        });
        endpoint
    }

    /// Texts of the reads, writes and executions that ran, in their order.
    #[allow(dead_code, reason = "not every test looks at them")]
    pub fn ran(&self) -> Vec<Vec<u8>> {
        self.ran.lock().expect("the texts").clone()
    }

    /// Texts of the `SET` and `PREPARE` statements that connections got, in their order.
    #[allow(dead_code, reason = "not every test looks at them")]
    pub fn set_up(&self) -> Vec<Vec<u8>> {
        self.set_up.lock().expect("the texts").clone()
    }

    /// Replaces the data of the last write.
    #[allow(dead_code, reason = "not every test does")]
    pub fn store(&self, data: &[u8]) {
        *self.stored.lock().expect("the data") = data.to_vec();
    }

    fn converse(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let output = Arc::new(Mutex::new(stream.try_clone()?));
        let mut input: Vec<u8> = Vec::new();
        let mut searched = 0;
        let mut state = "I";
        loop {
            let found = input[searched..].windows(2).position(|pair| pair == b"\r\n");
            let Some(end) = found.map(|end| searched + end) else {
                searched = input.len().saturating_sub(1);
                let mut chunk = [0; 16 * 1024];
                let room = if self.in_pieces { PIECE_BYTES } else { chunk.len() };
                match stream.read(&mut chunk[..room])? {
                    0 => return Ok(()),
                    count => input.extend_from_slice(&chunk[..count]),
                }
                continue;
            };
            searched = 0;
            let line: Vec<u8> = input.drain(..end + 2).take(end).collect();
            let words: Vec<&[u8]> = line.splitn(5, |byte| *byte == b' ').collect();
            let answer = match words[..] {
                [b"STARTUP", ..] => Vec::new(),
                [b"QUERY", _, ref words @ ..] => {
                    match words[0] {
                        b"BEGIN" => state = "T",
                        b"COMMIT" | b"ROLLBACK" => state = "I",
                        _ => {}
                    }
                    self.answer(words)
                }
                _ => return Ok(()),
            };
            let ready = format!("READY {state} 1.1\r\n");
            let answer = [answer, ready.into_bytes()].concat();
            self.send(&output, &answer)?;
            if let Some(delay) = self.repeat_after {
                let (endpoint, output) = (self.clone(), Arc::clone(&output));
                thread::spawn(move || {
                    thread::sleep(delay);
                    // The host may have closed the connection.
                    drop(endpoint.send(&output, &answer));
                });
            }
        }
    }

    fn send(&self, output: &Mutex<TcpStream>, answer: &[u8]) -> std::io::Result<()> {
        let mut output = output.lock().expect("the stream");
        let piece = if self.in_pieces { PIECE_BYTES } else { answer.len() };
        answer.chunks(piece).try_for_each(|piece| output.write_all(piece))
    }

    fn answer(&self, words: &[&[u8]]) -> Vec<u8> {
        let row = |row: &[u8]| [b"ROW ", row, b"\r\n"].concat();
        match words {
            [b"READ", item] => {
                let item = String::from_utf8_lossy(item);
                if item.starts_with("busy-") && self.is_first(&item) {
                    return b"ERROR BUSY e0\r\n".to_vec();
                }
                let number = self.record(words);
                let (kind, count) = item.split_once('-').unwrap_or((&item, "0"));
                let count: usize = count.parse().expect("a number");
                if kind == "wait" {
                    thread::sleep(Duration::from_millis(count as u64));
                }
                let rows = match kind {
                    "list" => row("x".repeat(ROW_BYTES).as_bytes()).repeat(count),
                    "name" | "busy" => row(item.as_bytes()),
                    "stored" => row(&self.stored.lock().expect("the data")),
                    _ => row("x".repeat(ROW_BYTES).as_bytes()),
                };
                [rows, format!("COMPLETE {}.{number}\r\n", self.signature).into_bytes()].concat()
            }
            [b"WRITE" | b"EXECUTE", _, data @ ..] => {
                let number = self.record(words);
                let data = data.join(&b' ');
                let signature = format!("COMPLETE {}.{number}\r\n", data.len());
                *self.stored.lock().expect("the data") = data;
                signature.into_bytes()
            }
            [b"COMMIT"] => {
                format!("COMPLETE {}.{}\r\n", self.signature, self.record(words)).into_bytes()
            }
            [b"SET" | b"PREPARE", ..] => {
                self.set_up.lock().expect("the texts").push(words.join(&b' '));
                b"COMPLETE -\r\n".to_vec()
            }
            [b"STATUS"] => b"ROW primary 1 1.1 1 0 0 0\r\nCOMPLETE -\r\n".to_vec(),
            _ => b"COMPLETE -\r\n".to_vec(),
        }
    }

    /// Whether an item is read for the first time.
    fn is_first(&self, item: &str) -> bool {
        self.refused.lock().expect("the items").insert(item.to_owned())
    }

    /// Records the start of the text of a statement; returns how many have run.
    fn record(&self, words: &[&[u8]]) -> usize {
        let mut ran = self.ran.lock().expect("the texts");
        let mut text = words.join(&b' ');
        text.truncate(MAX_RECORDED_BYTES);
        ran.push(text);
        ran.len()
    }
}
