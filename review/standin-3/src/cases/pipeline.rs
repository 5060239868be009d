//! Some clients send valid statements one after the other without a wait, and read the answers.

use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{Deployment, Watch, BROKEN, COULD_NOT_RUN, HELD};
use crate::client::Session;
use crate::fleet::LARGE;

/// Number of such clients.
const PEERS: usize = 16;
/// Highest rate of each of them in bytes a second; the link carries 25,000,000.
const RATE: usize = 1_200_000;
const FLOOD_TIME: Duration = Duration::from_secs(12);
/// Time without any answer of the host from which the rule counts as broken; longer than the
/// deadline of any statement.
const SILENCE: Duration = Duration::from_secs(5);

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let Some(deployment) = Deployment::start(folder, &[LARGE; 2]) else { return COULD_NOT_RUN };
    let record = deployment.record.clone();
    let host = &deployment.hosts[0];
    let address = host.spec.front_address();
    let mut peers = Vec::new();
    for _ in 0..if has_trouble { PEERS } else { 0 } {
        match Session::open(address, "lookup", "key-north") {
            Ok(peer) => peers.push(peer),
            Err(error) => {
                record.note(&format!("a session was refused: {error}"));
                return COULD_NOT_RUN;
            }
        }
    }
    let watch = Watch::start(&record, address, host.spec.probe_address());
    thread::sleep(Duration::from_secs(2));
    let before = host.processor_time();
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, read) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    if has_trouble {
        record.note(&format!("{PEERS} clients begin to send \"QUERY 1 SET a b\" without a wait"));
    }
    let started = Instant::now();
    for peer in peers {
        peer.set_limit(Duration::from_secs(30));
        let mut answers = peer.lines.stream().try_clone().expect("a stream");
        let read = Arc::clone(&read);
        thread::spawn(move || {
            let mut piece = vec![0; 256 * 1024];
            while let Ok(count) = answers.read(&mut piece) {
                if count == 0 {
                    return;
                }
                read.fetch_add(count, Ordering::Relaxed);
            }
        });
        let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
        thread::spawn(move || {
            let mut stream = peer.lines.stream();
            let piece = b"QUERY 1 SET a b\r\n".repeat(2_000);
            let (started, mut own) = (Instant::now(), 0);
            while !stop.load(Ordering::Relaxed) {
                if own as f64 / RATE as f64 > started.elapsed().as_secs_f64() {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                match stream.write(&piece) {
                    Ok(count) => {
                        own += count;
                        sent.fetch_add(count, Ordering::Relaxed);
                    }
                    Err(_) => return,
                }
            }
        });
    }
    thread::sleep(FLOOD_TIME);
    let (silence, unanswered) = watch.end();
    stop.store(true, Ordering::Relaxed);
    let rate = sent.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64() / 1e6;
    record.note(&format!(
        "the clients sent {rate:.1} MB a second and read {:.1} MB",
        read.load(Ordering::Relaxed) as f64 / 1e6
    ));
    record.note(&format!(
        "the host used {:.1?} of processor time in {:.1?}",
        host.processor_time() - before,
        started.elapsed()
    ));
    record.note(&format!(
        "longest time without any answer of the host: {silence:.1?}; statements without an answer: {unanswered}"
    ));
    if silence >= SILENCE {
        BROKEN
    } else {
        HELD
    }
}
