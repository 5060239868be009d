//! Texts, rows and signatures that hold line feeds and carriage returns, through real host processes:
//! on the host of the caller and relayed to another one, whole and in pieces of a few bytes.

use std::thread;
use std::time::Duration;

use yare::parameterized;

#[allow(dead_code)]
mod host_process;
mod line_caller;
#[allow(dead_code)]
mod line_endpoint_double;
mod line_hosts;
#[allow(dead_code)]
mod platform_store_double;
mod ports;

use line_caller::{LineAnswer, LineCaller};
use line_endpoint_double::Endpoint;
use line_hosts::{open, start_hosts};

/// Bytes that a caller sends at once where messages come in pieces.
const PIECE_BYTES: usize = 3;
/// Time between two pieces of a caller's message, so that the host reads them one by one.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
/// Size limit of a message, including its line end.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// How the messages of a test get to the endpoint and back.
#[derive(Debug, Clone, Copy)]
struct Way {
    /// Number of hosts; with four the session is relayed.
    hosts: usize,
    /// Whether caller and endpoint read and write a few bytes at once.
    in_pieces: bool,
}

/// Sends a statement and reads its answer; `None` if the connection ends before.
fn ask(caller: &mut LineCaller, way: Way, text: &[u8]) -> Option<LineAnswer> {
    if !way.in_pieces {
        return caller.ask(text);
    }
    for piece in [b"QUERY q1 ", text, b"\r\n"].concat().chunks(PIECE_BYTES) {
        caller.send(piece);
        thread::sleep(PIECE_PAUSE);
    }
    caller.answer()
}

/// Statements that carry `text` in one of their fields, and what the endpoint has to get of them: the
/// texts that run, and the ends of those that prepare its connection. The name of a prepared statement
/// may differ there.
struct Carrier {
    name: &'static str,
    statements: Vec<Vec<u8>>,
    set_up: Vec<Vec<u8>>,
    ran: Vec<Vec<u8>>,
}

fn carriers(text: &[u8]) -> [Carrier; 4] {
    let with = |start: &str| [start.as_bytes(), text].concat();
    let plain = |text: &str| text.as_bytes().to_vec();
    let is_execution = plain("EXECUTE p item");
    [
        Carrier {
            name: "WRITE",
            statements: vec![with("WRITE item ")],
            set_up: vec![],
            ran: vec![with("WRITE item ")],
        },
        Carrier {
            name: "EXECUTE",
            statements: vec![plain("PREPARE s WRITE q"), with("EXECUTE s item ")],
            set_up: vec![plain(" WRITE q")],
            ran: vec![with("EXECUTE p item ")],
        },
        Carrier {
            name: "SET",
            statements: vec![with("SET v "), plain("READ name-1")],
            set_up: vec![with("SET v ")],
            ran: vec![plain("READ name-1")],
        },
        Carrier {
            name: "PREPARE",
            statements: vec![with("PREPARE s WRITE "), plain("EXECUTE s item")],
            set_up: vec![with(" WRITE ")],
            ran: vec![is_execution],
        },
    ]
}

/// Replaces the name of the prepared statement in the text of an execution.
fn without_name(text: &[u8]) -> Vec<u8> {
    match text.strip_prefix(b"EXECUTE ") {
        Some(rest) => {
            let name_end = rest.iter().position(|byte| *byte == b' ').unwrap_or(rest.len());
            [b"EXECUTE p", &rest[name_end..]].concat()
        }
        None => text.to_vec(),
    }
}

/// Sends each carrier of `text` on a session of its own, and asserts that the endpoint gets nothing
/// else.
fn assert_arrives(way: Way, text: &str) {
    let endpoint = Endpoint::start("read", None, way.in_pieces);
    let hosts = start_hosts(&endpoint, way.hosts);
    let mut faults = Vec::new();
    for carrier in carriers(text.as_bytes()) {
        let (set_up_before, ran_before) = (endpoint.set_up().len(), endpoint.ran().len());
        let mut caller = open(&hosts);
        let mut answers = Vec::new();
        for statement in &carrier.statements {
            let answer = ask(&mut caller, way, statement);
            answers.push(answer.map_or("no answer".into(), |answer| answer.result));
        }
        let mut set_up = endpoint.set_up();
        let ran: Vec<_> = endpoint.ran()[ran_before..].iter().map(|t| without_name(t)).collect();
        set_up.drain(..set_up_before);
        let is_set_up = set_up.len() == carrier.set_up.len()
            && set_up.iter().zip(&carrier.set_up).all(|(found, end)| found.ends_with(end));
        if !is_set_up || ran != carrier.ran {
            let show = |texts: &[Vec<u8>]| -> Vec<String> {
                texts.iter().map(|text| text.escape_ascii().to_string()).collect()
            };
            let (set_up, ran) = (show(&set_up), show(&ran));
            faults.push(format!("{}: set up {set_up:?}, ran {ran:?}, {answers:?}", carrier.name));
        }
    }
    assert!(faults.is_empty(), "{} of 4 changed:\n{}", faults.len(), faults.join("\n"));
}

/// Asserts that the rows of an answer come back byte for byte.
fn assert_comes_back(way: Way, row: &str) {
    let endpoint = Endpoint::start("read", None, way.in_pieces);
    let hosts = start_hosts(&endpoint, way.hosts);
    endpoint.store(row.as_bytes());
    let mut caller = open(&hosts);
    for number in 1..=2 {
        let answer = ask(&mut caller, way, b"READ stored-0").expect("an answer");
        let signature = format!("read.{number}");
        let expected = LineAnswer { rows: vec![row.into()], result: signature, state: "I".into() };
        assert_eq!(answer, expected);
    }
}

/// Defines the tests of texts and of rows for each way.
macro_rules! on_each_way {
    ($($texts:ident, $rows:ident: $hosts:literal, $in_pieces:literal;)*) => {$(
        /// Guards against a text that is cut off at a line feed or loses a carriage return, and against
        /// its rest that runs as a statement that nobody has sent.
        #[parameterized(
            line_feed = { "a\nb" },
            carriage_return = { "a\rb" },
            line_feed_and_carriage_return = { "a\n\rb" },
            carriage_return_at_the_end = { "a\r" },
            carriage_returns_at_the_end = { "a\r\r" },
            line_feed_at_the_start = { "\na" },
            line_feed_at_the_end = { "a\n" },
            blank_lines = { "a\n\n \n\nb" },
            statements = { "x\nQUERY a3 WRITE invoice twice" },
        )]
        fn $texts(text: &str) {
            assert_arrives(Way { hosts: $hosts, in_pieces: $in_pieces }, text);
        }

        /// Guards against a row that is cut off, that breaks the endpoint's connection, or whose rest is
        /// taken for another message of the answer.
        #[parameterized(
            line_feed = { "a\nb" },
            carriage_return = { "a\rb" },
            line_feed_and_carriage_return = { "a\n\rb" },
            carriage_return_at_the_end = { "a\r" },
            carriage_returns_at_the_end = { "a\r\r" },
            line_feed_at_the_start = { "\na" },
            line_feed_at_the_end = { "a\n" },
            blank_lines = { "a\n\n \n\nb" },
            end_of_an_answer = { "a\nREADY I x" },
            error = { "a\nERROR b" },
            signature = { "a\nCOMPLETE b\nREADY I 1.1" },
        )]
        fn $rows(row: &str) {
            assert_comes_back(Way { hosts: $hosts, in_pieces: $in_pieces }, row);
        }
    )*};
}

on_each_way! {
    texts_arrive, rows_come_back: 1, false;
    texts_arrive_in_pieces, rows_come_back_in_pieces: 1, true;
    relayed_texts_arrive, relayed_rows_come_back: 4, false;
    relayed_texts_arrive_in_pieces, relayed_rows_come_back_in_pieces: 4, true;
}

/// Guards against a signature that is cut off, without which an answer counts for nothing.
#[parameterized(
    own = { Way { hosts: 1, in_pieces: false } },
    own_in_pieces = { Way { hosts: 1, in_pieces: true } },
    relayed = { Way { hosts: 4, in_pieces: false } },
    relayed_in_pieces = { Way { hosts: 4, in_pieces: true } },
)]
fn signatures_come_back(way: Way) {
    let endpoint = Endpoint::start("s\ni\rg\n", None, way.in_pieces);
    let hosts = start_hosts(&endpoint, way.hosts);
    let answer = ask(&mut open(&hosts), way, b"READ name-1").expect("an answer");
    assert_eq!(answer.result, "s\ni\rg\n.1");
}

/// Guards against a message of the largest size that is refused, and a larger one that is passed on; the
/// connection ends after the latter.
#[parameterized(
    own_largest = { 1, 0, true },
    own_too_long = { 1, 1, false },
    relayed_largest = { 4, 0, true },
    relayed_too_long = { 4, 1, false },
)]
fn the_size_limit_counts_the_line_end(hosts: usize, more_bytes: usize, is_accepted: bool) {
    let endpoint = Endpoint::start("read", None, false);
    let hosts = start_hosts(&endpoint, hosts);
    let start = "WRITE item ";
    let data_bytes =
        MAX_MESSAGE_BYTES + more_bytes - "QUERY q1 ".len() - start.len() - "\r\n".len();
    let data = "\n".repeat(data_bytes);
    let answer = open(&hosts).ask([start, &data].concat().as_bytes());
    let expected = is_accepted.then(|| format!("{data_bytes}.1"));
    assert_eq!(answer.map(|answer| answer.result), expected);
    assert_eq!(endpoint.ran().len(), usize::from(is_accepted));
}
