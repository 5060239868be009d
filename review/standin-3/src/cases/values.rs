//! A client on each host sets many long values. The platform ends a process that exceeds its memory.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{Deployment, BROKEN, COULD_NOT_RUN, HELD};
use crate::client::Session;
use crate::fleet::LARGE;

/// Length of a value; a message has at most 1 MiB.
const VALUE_BYTES: usize = 1_000_000;
/// Time between two values of a client; the link carries 25 of them in a second.
const PAUSE: Duration = Duration::from_millis(44);
const PLAY_TIME: Duration = Duration::from_secs(108);
const UNTROUBLED_TIME: Duration = Duration::from_secs(15);
/// Time until the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of a process from which the rule counts it.
const ENDS: usize = 3;

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let Some(mut deployment) = Deployment::start(folder, &[LARGE; 2]) else { return COULD_NOT_RUN };
    let record = deployment.record.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for host in &deployment.hosts {
        let (address, name) = (host.spec.front_address(), host.spec.name.clone());
        if has_trouble {
            let (stop, record, name) = (Arc::clone(&stop), record.clone(), name.clone());
            clients.push(thread::spawn(move || {
                let value = "x".repeat(VALUE_BYTES);
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut peer) = Session::open(address, "lookup", "key-north") else {
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    };
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let text = format!("SET v{number} {value}");
                        if !peer.query(&format!("v{number}"), &text).is_some_and(|answer| answer.is_ok()) {
                            break;
                        }
                        number += 1;
                        thread::sleep(PAUSE);
                    }
                    record.note(&format!(
                        "{name}: {number} values of a client were acknowledged before its session ended"
                    ));
                }
            }));
        }
        let (stop, record) = (Arc::clone(&stop), record.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut session) = Session::open(address, "bookings", "key-south") else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{name}-w{number}");
                    match session.query(&id, &format!("WRITE item{number} data")) {
                        Some(answer) => record.detail(&format!("{id}: {}", answer.result)),
                        None => {
                            record
                                .note(&format!("{id}: a booking of another client got no answer"));
                            break;
                        }
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }));
    }
    let (started, time) = (Instant::now(), if has_trouble { PLAY_TIME } else { UNTROUBLED_TIME });
    let mut ends = vec![0; deployment.hosts.len()];
    let mut most = vec![0; deployment.hosts.len()];
    while started.elapsed() < time && !ends.iter().all(|count| *count >= ENDS) {
        for (index, host) in deployment.hosts.iter_mut().enumerate() {
            let memory = host.memory();
            most[index] = most[index].max(memory / 1_000_000);
            if memory > LARGE.memory_bytes() {
                host.kill();
                let name = &host.spec.name;
                record.note(&format!("{name}: ended by the platform at {} MB", memory / 1_000_000));
            } else if let Some(status) = host.ended() {
                record.note(&format!("{}: ended: {status}", host.spec.name));
            } else {
                continue;
            }
            ends[index] += 1;
            thread::sleep(RESTART_DELAY);
            *host = host.spec.clone().start();
            host.wait_ready(Duration::from_secs(5));
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    record.note(&format!("ends of the processes: {ends:?}; most memory in MB: {most:?}"));
    if ends.iter().all(|count| *count >= ENDS) {
        BROKEN
    } else {
        HELD
    }
}
