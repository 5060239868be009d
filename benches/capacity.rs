//! Slopes of the control work of one host: memory and processor time against the number of
//! sessions, database groups, client accounts and peers, and the sizes of tables and messages.
//!
//! `cargo bench --bench capacity` prints one line for each size and the slope between the smallest
//! and the largest one. `docs/CAPACITY.md` quotes its output.

use std::collections::BTreeMap;
use std::fs;
use std::rc::Rc;
use std::time::Instant;

use bytes::BytesMut;
use medlarstile::core::broker::{
    Broker, BrokerEffect, BrokerSettings, EndpointSpec, GroupSpec, JobReport, QueueOrder,
    ReadChoice, SessionSpec,
};
use medlarstile::core::group::{EndpointStatus, Freshness, Role};
use medlarstile::core::limit::{LimitPeer, Limiter};
use medlarstile::core::peer::{Envelope, MessageNumber, PeerMessage};
use medlarstile::core::view::{Member, Statement};
use medlarstile::tables::{PoolRow, RouteRow, Tables};
use medlarstile::types::{
    AccountId, AttemptId, Burst, ConnectionCount, ConnectionId, DurationMs, GroupId, Incarnation,
    Position, RatePerS, SessionId, Slots, TableVersion, Term, Timestamp, Weight,
};
use medlarstile::wire::peer_frame::put_frame;
use medlarstile::wire::tables::{write_config, Config};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time between two ticks of a host.
const TICK_US: u64 = 20_000;
/// Virtual seconds for which groups are run at rest.
const REST_S: u64 = 10;

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid identifier")
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the process has a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line VmRSS");
    let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kib.expect("a number") * 1_024
}

fn broker() -> Broker {
    let settings = BrokerSettings {
        host: id("h1"),
        home: id("fd1"),
        primary_patience_ms: DurationMs(200),
        confirm_limit_ms: DurationMs(10_000),
        retry_percent: 10,
        read_choice: ReadChoice::default(),
        queue_order: QueueOrder::default(),
    };
    Broker::new(settings, ChaCha8Rng::seed_from_u64(1))
}

/// Prints one measured size.
fn line(what: &str, size: u64, value: f64, unit: &str) {
    println!("{what:<24} {size:>8} {value:>14.1} {unit}");
}

/// Prints the slope between the first and the last measured size.
fn slope(what: &str, sizes: &[(u64, f64)], unit: &str) {
    let (first, last) = (sizes[0], sizes[sizes.len() - 1]);
    let per_unit = (last.1 - first.1) / (last.0 - first.0) as f64;
    println!("{what:<24}    slope {per_unit:>14.2} {unit}");
}

fn sessions() {
    let mut measured = Vec::new();
    let mut broker = broker();
    let account: AccountId = id("north");
    let group: GroupId = id("g");
    let endpoints = Rc::new(["a", "b", "c"].map(id).into_iter().collect());
    let mut opened = 0;
    for size in [10_000, 20_000, 40_000, 80_000] {
        while opened < size {
            opened += 1;
            let spec = SessionSpec {
                account: account.clone(),
                key: None,
                group: group.clone(),
                endpoints: Rc::clone(&endpoints),
                freshness: Freshness::Session,
                max_wait_ms: DurationMs(1_000),
                weight: Weight(1),
            };
            broker.open_session(Timestamp(opened), SessionId(opened), spec);
        }
        measured.push((size, resident_bytes() as f64));
        line("session memory", size, resident_bytes() as f64, "bytes resident");
    }
    slope("session memory", &measured, "bytes a session, core only");
}

fn group_specs(count: u64) -> Vec<GroupSpec> {
    let endpoint = |group: u64, member: u64| EndpointSpec {
        endpoint: id(&format!("g{group}-{member}")),
        address: format!("127.0.0.1:{}", 1_024 + (group * 3 + member) % 60_000)
            .parse()
            .expect("an address"),
        failure_domain: id("fd1"),
        connections: 15,
        leaving: false,
    };
    (0..count)
        .map(|group| GroupSpec {
            group: id(&format!("g{group}")),
            endpoints: (0..3).map(|member| endpoint(group, member)).collect(),
        })
        .collect()
}

/// Runs the broker at rest: endpoints answer probes at once, nothing else happens.
fn rest(broker: &mut Broker, connections: &mut BTreeMap<ConnectionId, bool>) -> u64 {
    let mut probes = 0;
    for tick in 0..REST_S * 1_000_000 / TICK_US {
        let now = Timestamp(tick * TICK_US);
        broker.tick(now);
        loop {
            let effects = broker.drain();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    BrokerEffect::Connect { connection, endpoint, .. } => {
                        let primary = endpoint.as_str().ends_with("-0");
                        connections.insert(connection, primary);
                        broker.on_ready(now, connection);
                        broker.on_status(now, connection, status(primary));
                    }
                    BrokerEffect::Probe(connection) => {
                        probes += 1;
                        let primary = connections.get(&connection).copied().unwrap_or_default();
                        broker.on_status(now, connection, status(primary));
                        broker.on_ended(now, connection, JobReport::default());
                    }
                    _ => {}
                }
            }
        }
    }
    probes
}

fn status(primary: bool) -> EndpointStatus {
    EndpointStatus {
        term: Term(1),
        role: if primary { Role::Primary } else { Role::Replica },
        position: Position::new(Term(1), 7),
        confirmed: Position::new(Term(1), 7),
        fenced_term: Term(1),
    }
}

fn groups() {
    let (mut memory, mut time) = (Vec::new(), Vec::new());
    for size in [100, 200, 400, 800] {
        let before = resident_bytes();
        let mut broker = broker();
        broker.set_groups(Timestamp(0), &group_specs(size));
        let began = Instant::now();
        let probes = rest(&mut broker, &mut BTreeMap::new());
        let spent_us = began.elapsed().as_micros() as f64 / REST_S as f64;
        let grown = resident_bytes().saturating_sub(before) as f64;
        line("group memory", size, grown, "bytes grown");
        line("group processor", size, spent_us, "us a second");
        line("group probes", size, probes as f64 / REST_S as f64, "probes a second");
        memory.push((size, grown));
        time.push((size, spent_us));
        // Kept, so that the next size does not reuse its memory.
        std::mem::forget(broker);
    }
    slope("group memory", &memory, "bytes a group");
    slope("group processor", &time, "us a second a group, all groups probed by this host");
}

fn accounts() {
    let (mut memory, mut time) = (Vec::new(), Vec::new());
    for size in [1_000, 2_000, 4_000, 8_000] {
        let before = resident_bytes();
        let rng = ChaCha8Rng::seed_from_u64(1);
        let mut limiter = Limiter::new(Incarnation(1), id("fd1"), 16, rng);
        let limits: BTreeMap<AccountId, _> = (0..size)
            .map(|number| (id(&format!("account{number}")), (RatePerS(100), Burst(200))))
            .collect();
        let mut out = Vec::new();
        limiter.set_accounts(Timestamp(0), &limits, &mut out);
        limiter.set_peers(vec![LimitPeer { host: id("h2"), failure_domain: id("fd1") }]);
        let grown = resident_bytes().saturating_sub(before) as f64;
        let began = Instant::now();
        for tick in 0..1_000_000 / TICK_US {
            limiter.tick(Timestamp(tick * TICK_US), &mut out);
        }
        let spent_us = began.elapsed().as_micros() as f64;
        line("account memory", size, grown, "bytes grown");
        line("account processor", size, spent_us, "us a second");
        memory.push((size, grown));
        time.push((size, spent_us));
        std::mem::forget((limiter, limits));
    }
    slope("account memory", &memory, "bytes an account, key map included");
    slope("account processor", &time, "us a second an account at rest");
}

fn tables(rows: u64) -> Tables {
    let route = |row: u64| RouteRow {
        name: format!("route{row}").into(),
        database: format!("database{row}").into(),
        account: format!("account{row}").into(),
        keys: Vec::new(),
        rate_per_s: RatePerS(100),
        burst: Burst(200),
        weight: Weight(1),
        pool: format!("pool{row}").into(),
        freshness: "session".into(),
        max_wait_ms: DurationMs(1_000),
    };
    let pool = |row: u64, member: u64| PoolRow {
        pool: format!("pool{row}").into(),
        group: format!("group{row}").into(),
        endpoint: format!("endpoint{row}-{member}").into(),
        address: format!("127.0.{}.{}:5432", row / 200, row % 200).into(),
        failure_domain: "domain1".into(),
        slots: Slots(2),
        connections: ConnectionCount(15),
        state: "active".into(),
    };
    Tables {
        version: TableVersion(1),
        routes: (0..rows).map(route).collect(),
        pools: (0..rows).flat_map(|row| (0..3).map(move |member| pool(row, member))).collect(),
    }
}

fn table_sizes() {
    let mut measured = Vec::new();
    for size in [100, 400, 1_600, 3_100] {
        let tables = tables(size);
        let config = Config { tables, editor: "bench".into(), attempt: AttemptId(1) };
        let text = write_config(&config).expect("the tables can be written");
        line("table size", size, text.len() as f64, "bytes of config/current");
        measured.push((size, text.len() as f64));
    }
    slope("table size", &measured, "bytes a database: one route without keys, three endpoints");
}

fn message_sizes() {
    let member = Member { host: id("host-0001"), incarnation: Incarnation(1_000_000) };
    let version = Some(TableVersion(100_000));
    let statement = Statement { member, version, age: Some(DurationMs(400)) };
    let messages = [
        ("question", PeerMessage::StatementRequest),
        ("statement", PeerMessage::Statement(statement)),
        ("announcement", PeerMessage::Announce(TableVersion(100_000))),
    ];
    for (name, message) in messages {
        let number = MessageNumber(1_000);
        let mut out = BytesMut::new();
        let envelope = Envelope { number, answers: Some(number), message };
        put_frame(&mut out, &envelope).expect("a small message");
        println!("message size {name:<20} {:>14} bytes before QUIC", out.len());
    }
}

fn main() {
    sessions();
    groups();
    accounts();
    table_sizes();
    message_sizes();
}
