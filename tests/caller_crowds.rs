//! Crowds of callers that nobody controls, against real host processes with lowered limits: the
//! processes live, stay within their memory and descriptors, and answer an ordinary request.
//!
//! The crowds and the bounds were fixed before the limits of the product.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use yare::parameterized;

#[allow(dead_code)]
mod host_process;
mod line_endpoint_double;
#[allow(dead_code)]
mod platform_store_double;
mod ports;

use host_process::{Host, HostSpec, LIMIT};
use platform_store_double::Store;

/// Memory that a host may use, in megabytes; its settings say so.
const MEMORY_MB: u64 = 64;
/// Descriptors that a host may open; its settings say so.
const DESCRIPTORS: u64 = 300;
/// Number of callers that send or hold large messages.
const LARGE_CROWD: usize = 80;
/// Number of callers that send nothing.
const SILENT_CROWD: usize = 400;
/// Longest message that the protocol allows.
const MESSAGE_BYTES: usize = 1024 * 1024;

/// Crowds run one at a time, since they load the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn exclusive() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What each caller of a crowd does.
#[derive(Clone, Copy)]
struct Crowd {
    callers: usize,
    /// Whether the callers have sessions.
    starts: bool,
    /// Bytes that each caller sends; it reads nothing.
    message: fn() -> Vec<u8>,
    /// Bytes of one piece; the callers take turns.
    piece_bytes: usize,
}

/// A write of `bytes` bytes that does not end.
fn unfinished(bytes: usize) -> Vec<u8> {
    let mut message = b"QUERY q1 WRITE 1 ".to_vec();
    message.resize(bytes, b'x');
    message
}

/// The longest write that the protocol allows.
fn whole() -> Vec<u8> {
    let mut message = unfinished(MESSAGE_BYTES - 2);
    message.extend_from_slice(b"\r\n");
    message
}

const UNFINISHED: Crowd = Crowd {
    callers: LARGE_CROWD,
    starts: true,
    message: || unfinished(MESSAGE_BYTES - 1),
    piece_bytes: MESSAGE_BYTES,
};
const IN_PIECES: Crowd = Crowd { piece_bytes: 32 * 1024, ..UNFINISHED };
const IN_THE_STARTUP: Crowd = Crowd {
    starts: false,
    message: || [&b"STARTUP "[..], &vec![b'x'; MESSAGE_BYTES - 16]].concat(),
    ..UNFINISHED
};
const WHOLE: Crowd = Crowd { message: whole, ..UNFINISHED };
const TOO_LONG: Crowd = Crowd { message: || unfinished(4 * MESSAGE_BYTES), ..UNFINISHED };
/// Statements sent ahead whose answers of 100 KB nobody reads.
const AHEAD: Crowd = Crowd { message: || b"QUERY q1 READ list-100\r\n".repeat(200), ..UNFINISHED };
/// One answer of 1 MB that nobody reads.
const UNREAD: Crowd = Crowd { message: || b"QUERY q1 READ list-1000\r\n".to_vec(), ..UNFINISHED };
const SILENT: Crowd =
    Crowd { callers: SILENT_CROWD, starts: false, message: Vec::new, piece_bytes: 1 };
const STARTED: Crowd = Crowd { starts: true, ..SILENT };

impl Crowd {
    /// Connects the callers and sends what they send, as far as the host takes it. Returns their
    /// connections, which stay open.
    fn press(&self, address: SocketAddr) -> Vec<TcpStream> {
        let connect = || TcpStream::connect(address).expect("a connection");
        let mut callers: Vec<(TcpStream, Vec<u8>)> = (0..self.callers)
            .map(|_| {
                let start: &[u8] = if self.starts { b"STARTUP orders anyone\r\n" } else { b"" };
                (connect(), [start, &(self.message)()].concat())
            })
            .collect();
        let mut is_sending = true;
        while is_sending {
            is_sending = false;
            for (stream, unsent) in &mut callers {
                stream.set_nonblocking(true).expect("a socket option");
                let piece = unsent.len().min(self.piece_bytes);
                match stream.write(&unsent[..piece]) {
                    Ok(count) => {
                        unsent.drain(..count);
                        is_sending |= count > 0;
                    }
                    // The host takes no more for now, or has closed the connection.
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => unsent.clear(),
                }
            }
        }
        callers.into_iter().map(|(stream, _)| stream).collect()
    }
}

/// The signature of an ordinary read, or what came instead. There is one attempt.
fn ordinary_read(address: SocketAddr) -> Result<String, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(address).map_err(failed)?;
    stream.set_read_timeout(Some(LIMIT)).expect("a socket option");
    stream.write_all(b"STARTUP orders anyone\r\nQUERY q2 READ x\r\n").map_err(failed)?;
    for line in BufReader::new(stream).lines() {
        let line = line.map_err(failed)?;
        // A number makes each signature of the double a different one.
        let signature = line.strip_prefix("COMPLETE ").and_then(|word| word.rsplit_once('.'));
        if let Some((name, _)) = signature {
            return Ok(name.to_owned());
        }
        if line.starts_with("ERROR ") {
            return Err(line);
        }
    }
    Err("the connection was closed".into())
}

/// Highest resident memory of a process so far, in megabytes.
fn peak_memory_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    peak.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") / 1024
}

fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).expect("the process").count()
}

/// Starts hosts with lowered limits; the first one runs all sessions if there are several.
fn start_hosts(count: usize) -> Vec<Host> {
    let endpoint = line_endpoint_double::serve("read");
    let store = Store::default();
    let configuration = r#"{"version":3,"tenants":[],"limits":{"txIdleMs":3000},"routes":[
        {"database":"orders","type":"primary","service":"db","timeoutMs":2000,
        "targetLatencyMs":1000,"public":true}],"services":[{"name":"db","maxConnections":4}]}"#;
    store.put("op", "config", configuration.as_bytes());
    let entry = format!(
        r#"{{"service":"db","address":"{endpoint}","zone":"a","state":"ready",
        "dbRole":"primary","born":5,"sequence":1}}"#
    );
    store.put("servers", "e0", entry.as_bytes());
    let address = store.serve(None);
    let mut hosts: Vec<Host> = (0..count)
        .map(|place| {
            let share = if place == 0 { 1.0 } else { 0.5 };
            let spec = HostSpec {
                share,
                memory_mb: MEMORY_MB,
                descriptors: DESCRIPTORS,
                ..HostSpec::at(address)
            };
            spec.start(&format!("h{place}"))
        })
        .collect();
    for host in &mut hosts {
        let accepted = "host: callers are accepted";
        let home_found = if count > 1 { r#""homes":"h0""# } else { accepted };
        host.wait_for_all(&[accepted, home_found]);
    }
    hosts
}

/// Presses a crowd on the last of `count` hosts and checks all of them.
fn endure(count: usize, crowd: Crowd) {
    let _guard = exclusive();
    let hosts = start_hosts(count);
    let entry = hosts.last().expect("a host");
    assert_eq!(ordinary_read(entry.front_address).as_deref(), Ok("read"));
    let callers = crowd.press(entry.front_address);
    // The first ones are read after what the crowd had sent before.
    let answers: Vec<Result<String, String>> = (0..3)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(300));
            ordinary_read(entry.front_address)
        })
        .collect();
    for host in &hosts {
        let process = host.process_id();
        let (memory, descriptors) = (peak_memory_mb(process), open_descriptors(process));
        assert!(memory <= MEMORY_MB, "{memory} MB");
        assert!(descriptors as u64 <= DESCRIPTORS, "{descriptors} descriptors");
    }
    assert_eq!(answers, vec![Ok("read".to_owned()); 3]);
    drop(callers);
}

/// Guards against callers that run a host out of memory or descriptors.
#[parameterized(
    unfinished_messages = { UNFINISHED },
    unfinished_messages_in_pieces = { IN_PIECES },
    unfinished_startups = { IN_THE_STARTUP },
    whole_messages = { WHOLE },
    messages_that_are_too_long = { TOO_LONG },
    statements_sent_ahead = { AHEAD },
    unread_answers = { UNREAD },
    silent_connections = { SILENT },
    silent_sessions = { STARTED },
)]
fn a_host_endures(crowd: Crowd) {
    endure(1, crowd);
}

/// Guards against the same on a host that relays, and on the home of the sessions.
#[parameterized(
    unfinished_messages = { UNFINISHED },
    whole_messages = { WHOLE },
    statements_sent_ahead = { AHEAD },
    unread_answers = { UNREAD },
)]
fn a_relaying_host_and_the_home_endure(crowd: Crowd) {
    endure(4, crowd);
}

/// Guards against a limit that refuses the longest message that the protocol allows.
#[parameterized(alone = { 1 }, relayed = { 4 })]
fn a_single_message_of_full_size_is_served(hosts: usize) {
    let _guard = exclusive();
    let hosts = start_hosts(hosts);
    let address = hosts.last().expect("a host").front_address;
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a socket option");
    stream.write_all(b"STARTUP orders anyone\r\n").expect("the host reads");
    stream.write_all(&whole()).expect("the host reads");
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.starts_with("COMPLETE 10")));
}
