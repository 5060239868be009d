//! A primary is replaced as planned while transactions are open that go on with a prepared
//! statement.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backend::Run;
use crate::client::{Answer, Client};
use crate::host::{self, Host};
use crate::record::Record;
use crate::{KEYS, ORDERS_DB, World};

const SERVICES: usize = 3;
const CLIENTS: usize = 40;
/// Clients that read on replicas, one of each tenant for each service.
const READERS: usize = 24;
const LIMIT: Duration = Duration::from_millis(3_000);

/// A transaction whose commit was acknowledged: ids and signatures of its statements.
type Acknowledged = Vec<(String, String)>;

fn ask(client: &mut Client, record: &Record, who: &str, id: &str, text: &str) -> Option<Answer> {
    record.line(who, &format!("sends {id} {text}"));
    match client.query(id, text, LIMIT) {
        Ok(answer) => {
            let told = match &answer.result {
                Ok(signature) => format!("COMPLETE {signature}"),
                Err(code) => format!("ERROR {code}"),
            };
            record.line(who, &format!("gets {id} {told} {}", answer.state));
            Some(answer)
        }
        Err(end) => {
            record.line(who, &format!("gets {id} no answer: {end:?}"));
            None
        }
    }
}

/// One transaction: a write, a pause, a prepared write, a pause, the commit.
fn transact(
    client: &mut Client,
    record: &Record,
    who: &str,
    number: usize,
) -> Option<Acknowledged> {
    let id = |step: usize| format!("{who}n{number}s{step}");
    let prepare = format!("PREPARE s1 WRITE shape{who}n{number}");
    ask(client, record, who, &id(0), &prepare)?.result.ok()?;
    ask(client, record, who, &id(1), "BEGIN")?.result.ok()?;
    let mut done = Vec::new();
    let first = ask(client, record, who, &id(2), &format!("WRITE a{who} d{number}"))?;
    done.push((id(2), first.result.ok()?));
    thread::sleep(Duration::from_millis(250));
    let second = ask(client, record, who, &id(3), &format!("EXECUTE s1 b{who} d{number}"))?;
    done.push((id(3), second.result.ok()?));
    thread::sleep(Duration::from_millis(100));
    let commit = ask(client, record, who, &id(4), "COMMIT")?;
    done.push((id(4), commit.result.ok()?));
    Some(done)
}

/// Reads one item after the other until `ending`.
fn read(hosts: &[Arc<Host>], record: &Record, place: usize, ending: &AtomicBool) {
    let (who, mut number) = (format!("r{place}"), 0);
    let mut session: Option<Client> = None;
    while !ending.load(Ordering::Relaxed) {
        number += 1;
        let mut client = match session.take() {
            Some(open) if !open.was_closed() => open,
            _ => {
                let host = host::choose(hosts, place + number);
                match Client::open(
                    host,
                    &format!("sheet{}", place / KEYS.len()),
                    KEYS[place % KEYS.len()],
                ) {
                    Some(open) => open,
                    None => {
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    }
                }
            }
        };
        let id = format!("{who}n{number}");
        let answer = ask(&mut client, record, &who, &id, &format!("READ i{number}"));
        if answer.is_some_and(|answer| answer.state == "I") {
            session = Some(client);
        }
        thread::sleep(Duration::from_millis(150));
    }
}

pub fn play(trouble: bool, path: &str) -> Option<bool> {
    let world = World::start(4, SERVICES, &ORDERS_DB)?;
    let ending = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<Vec<Acknowledged>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|place| {
            let (hosts, record) = (world.hosts.clone(), Arc::clone(&world.record));
            let (ending, acknowledged) = (Arc::clone(&ending), Arc::clone(&acknowledged));
            thread::spawn(move || {
                let who = format!("c{place}");
                let mut session: Option<Client> = None;
                let mut number = 0;
                while !ending.load(Ordering::Relaxed) {
                    number += 1;
                    let mut client = match session.take() {
                        Some(open) if !open.was_closed() => open,
                        _ => {
                            let host = host::choose(&hosts, place + number);
                            match Client::open(
                                host,
                                &format!("entry{}", place % SERVICES),
                                KEYS[place % KEYS.len()],
                            ) {
                                Some(open) => open,
                                None => {
                                    thread::sleep(Duration::from_millis(200));
                                    continue;
                                }
                            }
                        }
                    };
                    match transact(&mut client, &record, &who, number) {
                        Some(done) => {
                            acknowledged.lock().unwrap().push(done);
                            session = Some(client);
                        }
                        // An operation that has failed ends the session, which rolls back.
                        None => client.close(),
                    }
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    let readers: Vec<_> = (0..READERS)
        .map(|place| {
            let (hosts, record) = (world.hosts.clone(), Arc::clone(&world.record));
            let ending = Arc::clone(&ending);
            thread::spawn(move || read(&hosts, &record, place, &ending))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for (place, group) in world.groups.iter().enumerate() {
        if trouble {
            // The new backend starts first, the old one drains.
            group.add(&world.backend_ip(place), "a", false);
            thread::sleep(Duration::from_secs(2));
            group.drain_primary();
        }
        thread::sleep(Duration::from_secs(4));
    }
    ending.store(true, Ordering::Relaxed);
    for client in clients.into_iter().chain(readers) {
        let _ = client.join();
    }
    let acknowledged = acknowledged.lock().unwrap();
    if acknowledged.len() < CLIENTS {
        eprintln!("only {} transactions were acknowledged", acknowledged.len());
        return None;
    }
    let (mut runs, mut committed) = (BTreeMap::new(), BTreeMap::new());
    let mut rolled_back = BTreeSet::new();
    for group in &world.groups {
        let ran = group.runs.lock().unwrap().clone();
        runs.extend(ran.into_iter().map(|run| (run.signature.clone(), run)));
        committed.extend(group.committed.lock().unwrap().clone());
        rolled_back.extend(group.rolled_back.lock().unwrap().clone());
    }
    let (mut moved, mut lost, mut mixed) = (0, 0, 0);
    for done in acknowledged.iter() {
        // Each success carries the signature of a run of this very statement.
        let found: Vec<&Run> = done
            .iter()
            .filter_map(|(id, signature)| runs.get(signature).filter(|run| run.id == *id))
            .collect();
        if found.len() < done.len() {
            mixed += 1;
            continue;
        }
        let (first, commit) = (found[0], found[2]);
        if rolled_back.contains(&commit.id) {
            continue;
        }
        let away = found.iter().filter(|run| {
            (&run.backend, run.connection, run.transaction)
                != (&first.backend, first.connection, first.transaction)
        });
        if let Some(run) = away.min_by_key(|run| run.at) {
            moved += 1;
            let kept = committed.get(&first.id) == Some(&commit.id);
            lost += u32::from(!kept);
            world.record.line(
                "check",
                &format!(
                    "PINNED broken: {} ran on connection {} to {}, and {} of the same transaction on connection {} to {}; the commit {} was acknowledged, the first write is {}",
                    first.id, first.connection, first.backend, run.id, run.connection, run.backend,
                    commit.id, if kept { "kept" } else { "not in the log" },
                ),
            );
        }
    }
    let summary = format!(
        "{} transactions acknowledged, {moved} of them ran on two connections, {lost} of them lack their first write, {mixed} with a signature of no run",
        acknowledged.len()
    );
    world.record.line("check", &summary);
    println!("{summary}");
    world.record.write(path);
    Some(moved + mixed > 0)
}
