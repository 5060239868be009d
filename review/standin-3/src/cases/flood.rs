//! A client sends a message that is none, and statements after it without a wait. When its session
//! ends, it opens another one.

use std::io::{ErrorKind, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{Deployment, Watch, BROKEN, COULD_NOT_RUN, HELD};
use crate::client::Session;
use crate::fleet::{Host, LARGE};
use crate::record::Record;

/// Highest rate of the client in bytes a second; the link carries 25,000,000.
const RATE: usize = 24_000_000;
const FLOOD_TIME: Duration = Duration::from_secs(12);
/// Time without any answer of the host from which the rule counts as broken; longer than the
/// deadline of any statement.
const SILENCE: Duration = Duration::from_secs(5);

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let Some(deployment) = Deployment::start(folder, &[LARGE; 4]) else { return COULD_NOT_RUN };
    let record = deployment.record.clone();
    let relays = |host: &&Host| deployment.relays(host) == Some(true);
    let Some(host) = deployment.hosts.iter().find(relays) else { return COULD_NOT_RUN };
    let _quota = host.limit_processor();
    let address = host.spec.front_address();
    let watch = Watch::start(&record, address, host.spec.probe_address());
    thread::sleep(Duration::from_secs(2));
    let before = host.processor_time();
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let mut client = None;
    if has_trouble {
        record.note(&format!(
            "a client at {} sends \"GARBAGE\" and then \"QUERY 1 ROLLBACK\" without a wait",
            host.spec.name
        ));
        let (stop, record) = (Arc::clone(&stop), record.clone());
        client = Some(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                if let Ok(peer) = Session::open(address, "lookup", "key-north") {
                    send(&peer, &stop, &record);
                }
            }
        }));
    }
    let mut most = 0;
    while started.elapsed() < FLOOD_TIME {
        let memory = host.memory();
        if memory / 100_000_000 > most / 100_000_000 {
            record.note(&format!("memory of the host: {} MB", memory / 1_000_000));
        }
        most = most.max(memory);
        thread::sleep(Duration::from_millis(20));
    }
    let (silence, unanswered) = watch.end();
    stop.store(true, Ordering::Relaxed);
    if let Some(client) = client {
        drop(client.join());
    }
    record.note(&format!(
        "the host used {:.1?} of processor time in {:.1?}; most memory: {} MB",
        host.processor_time() - before,
        started.elapsed(),
        most / 1_000_000
    ));
    record.note(&format!(
        "longest time without any answer of the host: {silence:.1?}; statements without an answer: {unanswered}"
    ));
    if silence >= SILENCE || most > LARGE.memory_bytes() {
        BROKEN
    } else {
        HELD
    }
}

fn send(peer: &Session, stop: &AtomicBool, record: &Record) {
    let mut stream = peer.lines.stream();
    drop(stream.set_write_timeout(Some(Duration::from_secs(1))));
    drop(stream.write_all(b"GARBAGE\r\n"));
    let piece = b"QUERY 1 ROLLBACK\r\n".repeat(4_000);
    let (started, mut sent) = (Instant::now(), 0);
    let end = loop {
        if stop.load(Ordering::Relaxed) {
            break "it stopped".to_owned();
        }
        if sent as f64 / RATE as f64 > started.elapsed().as_secs_f64() {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        match stream.write(&piece) {
            Ok(count) => sent += count,
            // The host does not read; the client waits on.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => break error.to_string(),
        }
    };
    let rate = sent as f64 / started.elapsed().as_secs_f64() / 1e6;
    record.note(&format!("a client sent {sent} bytes, {rate:.1} MB a second; {end}"));
}
