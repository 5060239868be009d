//! Sessions of real host processes, on the host that the caller is connected to and relayed to
//! another one: large messages, planned stops and the loss of the host that runs the session.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use yare::parameterized;

#[allow(dead_code)]
mod host_process;
mod line_endpoint_double;
#[path = "soak/link.rs"]
#[allow(dead_code)]
mod link;
#[allow(dead_code)]
mod platform_store_double;
mod ports;

use host_process::{Host, HostSpec, CONTACT_LIMIT, LIMIT};
use line_endpoint_double::ROW_BYTES;
use link::Link;
use platform_store_double::Store;

/// Time limit of a statement on the route.
const STATEMENT_LIMIT: Duration = Duration::from_secs(2);

/// A configuration with a public route for each database.
fn configuration(version: u64, databases: &[&str]) -> String {
    let limit_ms = STATEMENT_LIMIT.as_millis();
    let route = |database: &&str| {
        format!(
            r#"{{"database":"{database}","type":"primary","service":"db","timeoutMs":{limit_ms},
            "targetLatencyMs":1000,"public":true}}"#
        )
    };
    let routes: Vec<String> = databases.iter().map(route).collect();
    format!(
        r#"{{"version":{version},"tenants":[],"limits":{{"txIdleMs":3000}},"routes":[{}],
        "services":[{{"name":"db","maxConnections":4}}]}}"#,
        routes.join(",")
    )
}

/// The row of an endpoint.
fn entry(address: SocketAddr, role: &str, state: &str, sequence: u64) -> String {
    format!(
        r#"{{"service":"db","address":"{address}","zone":"a","state":"{state}",
        "dbRole":"{role}","born":5,"sequence":{sequence}}}"#
    )
}

/// Hosts with the endpoint double. Of four hosts the first runs all sessions, since the endpoint
/// accepts few connections; a single one runs those of its own callers.
fn start_fleet(count: usize) -> Vec<Host> {
    let endpoint = line_endpoint_double::serve("read");
    let store = Store::default();
    store.put("op", "config", configuration(3, &["orders"]).as_bytes());
    store.put("servers", "e0", entry(endpoint, "primary", "ready", 1).as_bytes());
    let stores = (0..count).map(|_| store.serve(None)).collect();
    start_hosts(stores)
}

/// Starts a host for each address of the store.
fn start_hosts(stores: Vec<SocketAddr>) -> Vec<Host> {
    let count = stores.len();
    let mut hosts: Vec<Host> = (0..count)
        .map(|place| {
            let share = if place == 0 { 1.0 } else { 0.5 };
            HostSpec { share, ..HostSpec::at(stores[place]) }.start(&format!("h{place}"))
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

/// A complete answer: the number of rows, its signature or error code, the text of the error, and the
/// state of the session.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    rows: usize,
    result: String,
    error: String,
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
        Self::try_open(host, "orders").expect("a session")
    }

    /// Opens a session; `None` if it is refused.
    fn try_open(host: &Host, database: &str) -> Option<Self> {
        let mut caller = Self::connect(host);
        caller.send(&format!("STARTUP {database} anyone\r\n"));
        caller.answer().filter(|answer| answer.state == "I").map(|_| caller)
    }

    fn send(&mut self, line: &str) {
        self.stream.write_all(line.as_bytes()).expect("the line is sent");
    }

    /// Reads a complete answer; `None` if the connection ends before.
    fn answer(&mut self) -> Option<Answer> {
        let (mut rows, mut result, mut error) = (0, String::new(), String::new());
        loop {
            let mut line = String::new();
            if self.lines.read_line(&mut line).unwrap_or(0) == 0 {
                return None;
            }
            match line.trim_end().split(' ').collect::<Vec<&str>>()[..] {
                ["ROW", row] => rows += usize::from(row.len() == ROW_BYTES),
                // The number that makes each signature of the double a different one.
                ["COMPLETE", word] => {
                    result = word.rsplit_once('.').map_or(word, |(name, _)| name).to_owned();
                }
                ["ERROR", word, ref text @ ..] => {
                    (result, error) = (word.to_owned(), text.join(" "))
                }
                ["READY", state, ..] => {
                    return Some(Answer { rows, result, error, state: state.to_owned() });
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

/// Guards against hosts that do not notice a new route, or an endpoint that leaves, after their
/// connections to the store went silent without a reset, and against statements that get no answer
/// meanwhile. The users' day `unanswered` has this order of events.
#[parameterized(own = { 1 }, relayed = { 4 })]
fn a_planned_replacement_after_silence_of_the_store_answers_everyone(count: usize) {
    let endpoints = ["e0", "e1"].map(line_endpoint_double::serve);
    let store = Store::default();
    store.put("op", "config", configuration(3, &["orders"]).as_bytes());
    for (name, address, role) in [("e0", endpoints[0], "primary"), ("e1", endpoints[1], "replica")]
    {
        store.put("servers", name, entry(address, role, "ready", 1).as_bytes());
    }
    let links: Vec<Link> = (0..count).map(|_| Link::to(store.serve(None))).collect();
    let hosts = start_hosts(links.iter().map(|link| link.address).collect());
    let host = hosts.last().expect("a host");
    let mut caller = Caller::open(host);
    let first = caller.ask("READ item").expect("an answer");
    assert_eq!(first.result, "e0", "{first:?}");
    links.iter().for_each(Link::silence_open);
    store.put("op", "config", configuration(8, &["orders", "plans"]).as_bytes());
    store.put("servers", "e0", entry(endpoints[0], "replica", "draining", 2).as_bytes());
    store.put("servers", "e1", entry(endpoints[1], "primary", "ready", 2).as_bytes());
    let changed = Instant::now();
    let mut has_route = false;
    loop {
        let answer = caller.ask("READ item").expect("a complete answer");
        has_route = has_route || Caller::try_open(host, "plans").is_some();
        if answer.result == "e1" && has_route {
            break;
        }
        let waited = changed.elapsed();
        assert!(waited < CONTACT_LIMIT, "{answer:?}, new route: {has_route}, after {waited:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against statements that get no answer because they cross the loss of the home: they arrive
/// while the relaying host learns of it, or shortly after.
#[parameterized(together = { 0 }, after = { 20 })]
fn statements_that_cross_the_loss_of_the_home_are_answered(wait_ms: u64) {
    let hosts = start_fleet(4);
    let mut callers: Vec<Caller> = (0..8).map(|_| Caller::open(&hosts[3])).collect();
    hosts[3].signal(Signal::STOP);
    hosts[0].signal(Signal::KILL);
    let send = |callers: &mut Vec<Caller>| {
        for caller in callers {
            caller.send("QUERY q1 READ x\r\n");
        }
    };
    if wait_ms == 0 {
        send(&mut callers);
    }
    hosts[3].signal(Signal::CONT);
    if wait_ms > 0 {
        std::thread::sleep(Duration::from_millis(wait_ms));
        send(&mut callers);
    }
    assert!(callers.iter_mut().all(|caller| caller.answer().is_some()));
}
