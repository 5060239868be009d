//! Hosts are stopped and started in turn while clients read in transactions.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backend::Figures;
use crate::client::{Client, End};
use crate::host::{self, Host};
use crate::{KEYS, ORDERS_DB, World};

const GRACE: Duration = Duration::from_secs(6);
const GRACE_MS: u64 = 6_000;
/// `timeoutMs` of the route.
const TIMEOUT_MS: u64 = 2_000;

/// How a case is played.
pub struct Plan {
    hosts: usize,
    services: usize,
    clients: usize,
    work_ms: u64,
    pause_ms: u64,
    /// Reads of a transaction.
    statements: usize,
    /// Rows of 1 kB in the answer to the last read of a transaction.
    list_rows: Option<usize>,
    /// Hosts that are stopped and started in turn.
    stopped: &'static [usize],
    /// Clients that the platform passes to the first host; the others are spread evenly.
    at_first: usize,
}

/// A fleet in which most sessions are relayed to another host.
pub const RELAYED: Plan = Plan {
    hosts: 4,
    services: 3,
    clients: 100,
    work_ms: 80,
    pause_ms: 500,
    statements: 12,
    list_rows: None,
    stopped: &[0, 1, 2, 3],
    at_first: 0,
};
/// Two hosts, which run the sessions of their own clients.
pub const OWN: Plan = Plan {
    hosts: 2,
    services: 3,
    clients: 90,
    work_ms: 90,
    pause_ms: 450,
    statements: 12,
    list_rows: None,
    stopped: &[0, 0],
    at_first: 70,
};

/// The fleet of [`RELAYED`]; each transaction ends with the read of a long list.
pub const LISTS: Plan = Plan {
    hosts: 4,
    services: 3,
    clients: 130,
    work_ms: 24,
    pause_ms: 500,
    statements: 7,
    list_rows: Some(800),
    stopped: &[0, 1, 2, 3],
    at_first: 0,
};

/// Time for which a host has had the backend's answer when the connection ends, in a case with lists.
const DELIVERY_MS: u64 = 500;

/// A statement whose connection ended without a complete answer.
struct Cut {
    host: String,
    id: String,
    sent: u64,
    ended: u64,
}

/// Reads in one transaction. Returns false if the session has to be closed.
fn transact(client: &mut Client, world: &Shared, who: &str, number: usize, plan: &Plan) -> bool {
    let pause = Duration::from_millis(plan.pause_ms);
    // A client waits for its deadline; with lists it gives up a second after the route's timeout.
    let limit = Duration::from_millis(if plan.list_rows.is_some() { 3_000 } else { 10_000 });
    for step in 0..plan.statements + 2 {
        let text = match step {
            0 => "BEGIN READ".to_owned(),
            step if step > plan.statements => "COMMIT".to_owned(),
            step if step == plan.statements && plan.list_rows.is_some() => {
                format!("READ list{}", plan.list_rows.unwrap_or(0))
            }
            step => format!("READ item{step}"),
        };
        let id = format!("{who}n{number}s{step}");
        let sent = world.record.line(who, &format!("sends {id} {text} to {}", client.host.name));
        match client.query(&id, &text, limit) {
            Ok(answer) => {
                let told = answer.result.as_ref().map_or_else(|code| code.as_str(), |_| "COMPLETE");
                world.record.line(who, &format!("gets {id} {told} {}", answer.state));
                if answer.result.is_err() {
                    return false;
                }
            }
            Err(end) => {
                let ended =
                    world.record.line(who, &format!("gets {id} no complete answer: {end:?}"));
                if end == End::Closed {
                    let host = client.host.name.clone();
                    world.cuts.lock().unwrap().push(Cut { host, id, sent, ended });
                }
                return false;
            }
        }
        if (1..=plan.statements).contains(&step) {
            thread::sleep(pause);
        }
    }
    true
}

struct Shared {
    record: Arc<crate::record::Record>,
    hosts: Vec<Arc<Host>>,
    cuts: Mutex<Vec<Cut>>,
    ending: AtomicBool,
}

pub fn play(plan: &'static Plan, trouble: bool, path: &str) -> Option<bool> {
    let figures = Figures { work_ms: plan.work_ms, ..ORDERS_DB };
    let world = World::start(plan.hosts, plan.services, &figures)?;
    let shared = Arc::new(Shared {
        record: Arc::clone(&world.record),
        hosts: world.hosts.clone(),
        cuts: Mutex::default(),
        ending: AtomicBool::new(false),
    });
    let (services, at_first) = (plan.services, plan.at_first);
    let clients: Vec<_> = (0..plan.clients)
        .map(|place| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(place as u64 * 97 % 4_000));
                let (who, mut number) = (format!("c{place}"), 0);
                let mut session: Option<Client> = None;
                while !shared.ending.load(Ordering::Relaxed) {
                    number += 1;
                    let mut client = match session.take() {
                        Some(open) if !open.was_closed() => open,
                        _ => {
                            let first = if place < at_first { 0 } else { place + number };
                            let host = host::choose(&shared.hosts, first);
                            let (database, key) =
                                (format!("sheet{}", place % services), KEYS[place % KEYS.len()]);
                            match Client::open(host, &database, key) {
                                Some(open) => open,
                                None => {
                                    thread::sleep(Duration::from_millis(200));
                                    continue;
                                }
                            }
                        }
                    };
                    if transact(&mut client, &shared, &who, number, plan) {
                        session = Some(client);
                    } else {
                        client.close();
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    let mut stops: Vec<(String, u64)> = Vec::new();
    if trouble {
        for host in plan.stopped.iter().map(|place| &world.hosts[*place]) {
            stops.push((host.name.clone(), host.stop(GRACE)));
            thread::sleep(Duration::from_millis(300));
            host.run();
            if !host::wait_until_ready(std::slice::from_ref(host), Duration::from_secs(10)) {
                eprintln!("{} did not become ready again", host.name);
                return None;
            }
            thread::sleep(Duration::from_secs(6));
        }
    } else {
        thread::sleep(Duration::from_secs(10));
    }
    shared.ending.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let mut lost = 0;
    for cut in shared.cuts.lock().unwrap().iter() {
        let stop = stops.iter().rev().find(|(host, at)| *host == cut.host && *at <= cut.ended);
        let Some((_, at)) = stop.filter(|(_, at)| cut.ended <= at + GRACE_MS + 1_000) else {
            continue;
        };
        let ran = world.groups.iter().find_map(|group| group.ran_at(&cut.id));
        // With lists only those count that the host had in full for some time.
        let passed_on = match plan.list_rows {
            None => ran.is_some(),
            Some(_) => ran.is_some_and(|at| at + DELIVERY_MS <= cut.ended),
        };
        let timed_out = cut.ended - cut.sent >= TIMEOUT_MS;
        let excused = cut.sent <= at + 3_000 && cut.ended >= at + GRACE_MS * 5 / 6;
        if passed_on && !timed_out && !excused {
            lost += 1;
            world.record.line(
                "check",
                &format!(
                    "LOST broken: {} was sent to {} {} ms after its SIGTERM and was passed on to a backend; the connection ended {} ms after the SIGTERM, {} ms after the request, without a complete answer",
                    cut.id, cut.host, cut.sent.saturating_sub(*at), cut.ended - at, cut.ended - cut.sent,
                ),
            );
        }
    }
    let runs: usize = world.groups.iter().map(|group| group.runs.lock().unwrap().len()).sum();
    let summary =
        format!("{runs} statements run, {} hosts stopped, {lost} requests lost", stops.len());
    world.record.line("check", &summary);
    println!("{summary}");
    world.record.write(path);
    Some(lost > 0)
}
