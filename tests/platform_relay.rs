//! Sessions of real host processes, on the host that the caller is connected to and relayed to
//! another one: large messages, planned stops and the loss of the host that runs the session.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use yare::parameterized;

#[allow(dead_code)]
mod host_process;
mod line_endpoint_double;
#[allow(dead_code)]
mod platform_store_double;
mod ports;

use host_process::{Host, HostSpec, LIMIT};
use line_endpoint_double::ROW_BYTES;
use platform_store_double::Store;

/// Time limit of a statement on the route.
const STATEMENT_LIMIT: Duration = Duration::from_secs(2);

/// Hosts with the endpoint double. Of four hosts the first runs all sessions, since the endpoint
/// accepts few connections; a single one runs those of its own callers.
fn start_fleet(count: usize) -> Vec<Host> {
    let endpoint = line_endpoint_double::serve();
    let store = Store::default();
    let limit_ms = STATEMENT_LIMIT.as_millis();
    let configuration = format!(
        r#"{{"version":3,"tenants":[],"limits":{{"txIdleMs":3000}},
        "routes":[{{"database":"orders","type":"primary","service":"db","timeoutMs":{limit_ms},
        "targetLatencyMs":1000,"public":true}}],
        "services":[{{"name":"db","maxConnections":4}}]}}"#
    );
    store.put("op", "config", configuration.as_bytes());
    let entry = format!(
        r#"{{"service":"db","address":"{endpoint}","zone":"a","state":"ready",
        "dbRole":"primary","born":5,"sequence":1}}"#
    );
    store.put("servers", "e0", entry.as_bytes());
    let mut hosts: Vec<Host> = (0..count)
        .map(|place| {
            let share = if place == 0 { 1.0 } else { 0.5 };
            HostSpec { share, ..HostSpec::at(store.serve(None)) }.start(&format!("h{place}"))
        })
        .collect();
    for host in &mut hosts {
        let accepted = "host: callers are accepted";
        let home_found = if count > 1 { r#""homes":"h0""# } else { accepted };
        host.wait_for_all(&[accepted, home_found]);
    }
    hosts
}

/// A caller's session.
struct Caller {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

/// A complete answer: the number of rows, its last word, and the state of the session.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    rows: usize,
    result: String,
    state: String,
}

impl Caller {
    fn connect(host: &Host) -> Self {
        let stream = TcpStream::connect(host.front_address).expect("a connection");
        stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
        let lines = BufReader::new(stream.try_clone().expect("a stream"));
        Self { stream, lines }
    }

    fn open(host: &Host) -> Self {
        let mut caller = Self::connect(host);
        caller.send("STARTUP orders anyone\r\n");
        assert_eq!(caller.answer().expect("a session").state, "I");
        caller
    }

    fn send(&mut self, line: &str) {
        self.stream.write_all(line.as_bytes()).expect("the line is sent");
    }

    /// Reads a complete answer; `None` if the connection ends before.
    fn answer(&mut self) -> Option<Answer> {
        let (mut rows, mut result) = (0, String::new());
        loop {
            let mut line = String::new();
            if self.lines.read_line(&mut line).unwrap_or(0) == 0 {
                return None;
            }
            match line.trim_end().split(' ').collect::<Vec<&str>>()[..] {
                ["ROW", row] => rows += usize::from(row.len() == ROW_BYTES),
                ["COMPLETE", word] | ["ERROR", word, ..] => result = word.to_owned(),
                ["READY", state, ..] => {
                    return Some(Answer { rows, result, state: state.to_owned() });
                }
                _ => panic!("{line:?}"),
            }
        }
    }

    fn ask(&mut self, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY q1 {text}\r\n"));
        self.answer()
    }
}

/// Guards against messages that never arrive in full: a read that stops at a limit of the buffer
/// leaves the rest in the socket, for which the poll reports no further event.
#[parameterized(own = { 1 }, relayed = { 4 })]
fn large_messages_arrive_in_full(hosts: usize) {
    let mut hosts = start_fleet(hosts);
    let mut caller = Caller::open(hosts.last_mut().expect("a host"));
    for rows in [200, 800, 5_000] {
        let answer = caller.ask(&format!("READ list-{rows}")).expect("an answer");
        assert_eq!((answer.rows, answer.result.as_str()), (rows, "read"));
    }
    for bytes in [60_000, 70_000, 200_000, 900_000] {
        let answer = caller.ask(&format!("WRITE 1 {}", "x".repeat(bytes))).expect("an answer");
        assert_eq!(answer.result, bytes.to_string());
    }
    // Statements that arrive together, behind one that takes longer.
    let write = format!("QUERY q1 WRITE 1 {}\r\n", "x".repeat(50_000));
    caller.send(&format!("QUERY q1 READ wait-100\r\n{}", write.repeat(4)));
    assert_eq!(caller.answer().expect("an answer").rows, 1);
    for _ in 0..4 {
        assert_eq!(caller.answer().expect("an answer").result, "50000");
    }
    caller.send(&format!("QUERY q1 WRITE 1 {}", "x".repeat(1_100_000)));
    let mut line = String::new();
    caller.lines.read_line(&mut line).expect("an error");
    assert!(line.starts_with("ERROR MALFORMED"), "{line:?}");
}

/// Guards against statements that arrive together with the startup and are lost, or sent ahead of it,
/// while the home of the session has not accepted it yet.
#[parameterized(own = { 1 }, relayed = { 4 })]
fn statements_sent_with_the_startup_are_answered(hosts: usize) {
    let mut hosts = start_fleet(hosts);
    let mut caller = Caller::connect(hosts.last_mut().expect("a host"));
    caller.send(
        "STARTUP orders anyone\r\nQUERY q1 BEGIN\r\nQUERY q2 READ item\r\nQUERY q3 COMMIT\r\n",
    );
    for state in ["I", "T", "T", "I"] {
        assert_eq!(caller.answer().expect("an answer").state, state);
    }
}

/// Guards against a planned stop that cuts off statements at work, or that does not end by itself,
/// while a caller goes on with its transaction.
#[parameterized(own = { 1 }, relayed = { 4 })]
fn a_stop_answers_every_statement_of_a_transaction(hosts: usize) {
    let mut hosts = start_fleet(hosts);
    let host = hosts.last_mut().expect("a host");
    let mut caller = Caller::open(host);
    assert_eq!(caller.ask("BEGIN").expect("an answer").state, "T");
    host.signal(Signal::TERM);
    let stopped = Instant::now();
    let refused = loop {
        let answer = caller.ask("READ wait-700").expect("a complete answer");
        if answer.result != "read" {
            break answer;
        }
        assert!(stopped.elapsed() < Duration::from_secs(6), "the transaction goes on");
    };
    assert_eq!((refused.result.as_str(), refused.state.as_str()), ("ABORTED", "E"));
    assert!(caller.answer().is_none(), "the session goes on");
    host.wait_for("host: stopped");
    assert!(stopped.elapsed() < Duration::from_secs(6), "the platform would have killed the host");
}

/// Guards against a long answer that a stopping host cuts off because its caller reads slowly.
#[parameterized(own = { 1 }, relayed = { 4 })]
fn a_stop_delivers_a_long_answer_to_a_slow_reader(hosts: usize) {
    let mut hosts = start_fleet(hosts);
    let host = hosts.last_mut().expect("a host");
    let mut caller = Caller::open(host);
    host.signal(Signal::TERM);
    caller.send("QUERY q1 READ list-8000\r\n");
    host.wait_for(r#""state":"Draining""#);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(caller.answer().expect("a complete answer").rows, 8_000);
    host.wait_for("host: stopped");
}

/// Guards against a statement that a stopping host has received but not read when it closes idle
/// sessions: it is slow or was paused for a moment.
#[parameterized(own = { 1 }, relayed = { 4 })]
fn a_stop_answers_a_statement_that_has_arrived(hosts: usize) {
    let mut hosts = start_fleet(hosts);
    let host = hosts.last_mut().expect("a host");
    let mut caller = Caller::open(host);
    host.signal(Signal::TERM);
    host.wait_for(r#""state":"Leaving""#);
    host.signal(Signal::STOP);
    caller.send("QUERY q1 READ item\r\n");
    std::thread::sleep(Duration::from_millis(2_500));
    host.signal(Signal::CONT);
    assert_eq!(caller.answer().expect("a complete answer").result, "read");
    host.wait_for("host: stopped");
}

/// Guards against a statement without an answer when the host that took it and the host that runs
/// it are stopped together.
#[parameterized(
    together = { 0 },
    within_the_notice_period = { 1_000 },
    home_first = { -1_000 },
)]
fn stops_of_both_hosts_answer_every_statement(home_after_ms: i64) {
    let mut hosts = start_fleet(4);
    let mut caller = Caller::open(&hosts[3]);
    assert_eq!(caller.ask("BEGIN").expect("an answer").state, "T");
    let (first, second) = if home_after_ms < 0 { (0, 3) } else { (3, 0) };
    hosts[first].signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(home_after_ms.unsigned_abs()));
    hosts[second].signal(Signal::TERM);
    let code = loop {
        let answer = caller.ask("READ wait-700").expect("a complete answer");
        if answer.result != "read" {
            break answer.result;
        }
    };
    assert_eq!(code, "ABORTED");
    for host in [0, 3] {
        hosts[host].wait_for("host: stopped");
    }
}

/// Guards against a statement that gets no answer when the host that runs the session goes away.
#[parameterized(
    read = { "READ wait-1500", "ABORTED" },
    write = { "WRITE wait x", "INDOUBT" },
)]
fn the_loss_of_the_home_is_answered(text: &str, code: &str) {
    let mut hosts = start_fleet(4);
    let mut caller = Caller::open(&hosts[3]);
    if text.starts_with("WRITE") {
        // A home that is paused has read nothing of the statement when it is killed.
        hosts[0].signal(Signal::STOP);
    }
    caller.send(&format!("QUERY q1 {text}\r\n"));
    std::thread::sleep(Duration::from_millis(200));
    drop(hosts.remove(0));
    let answer = caller.answer().expect("a complete answer");
    assert_eq!(answer.result, code);
}
