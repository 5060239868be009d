//! Assignment of client accounts to home hosts.

mod proxy_rig;

use std::collections::BTreeSet;
use std::rc::Rc;

use medlarstile::core::proxy::catalog::{AccountLimit, CallerKey, Route};
use medlarstile::core::proxy::home::HomeCandidate;
use medlarstile::core::proxy::statement::{Access, Statement};
use medlarstile::core::proxy::ProxyEffect;
use medlarstile::core::transaction::TransactionState;
use medlarstile::types::{Burst, ConnectionCount, HostId, MilliCores, RatePerS, SessionId};
use proxy_rig::{catalog, id, Rig};
use yare::parameterized;

/// One host of a fleet of `hosts`, with `accounts` client accounts and endpoints that each accept
/// `connections`.
fn rig(hosts: usize, accounts: usize, connections: u32) -> Rig {
    let mut rig = Rig::new();
    let mut catalog = catalog(2);
    for number in 0..accounts {
        let limit = AccountLimit { rate_per_s: RatePerS(1).into(), burst: Burst(1).into() };
        catalog.accounts.insert(id(&format!("t{number}")), limit);
    }
    if let Some(group) = catalog.groups.get_mut(&id("db")) {
        group.connections = ConnectionCount(connections);
    }
    rig.core.set_catalog(rig.now, catalog);
    set_hosts_present(&mut rig, (2..=hosts).map(|number| candidate(number, 250)).collect());
    rig
}

fn candidate(number: usize, processor: u32) -> HomeCandidate {
    HomeCandidate { host: id(&format!("h{number}")), processor: MilliCores(processor) }
}

fn set_hosts_present(rig: &mut Rig, present: Vec<HomeCandidate>) {
    rig.core.set_hosts(rig.now, present, |_| true);
}

fn homes(rig: &Rig, accounts: usize) -> Vec<Option<HostId>> {
    (0..accounts).map(|number| rig.core.home(&id(&format!("t{number}"))).cloned()).collect()
}

/// Guards against more homes than an endpoint accepts connections for, against an account's rate
/// divided into fractions of an operation, and against relaying in a fleet of few hosts.
#[parameterized(
    few = { 3, 7, 1_000, 0 },
    small_few = { 8, 7, 16, 3 },
    small_many = { 11, 7, 38, 8 },
    large_few = { 59, 71, 32, 7 },
    large_many = { 91, 87, 342, 8 },
    larger = { 300, 87, 10_000, 12 },
    large_plenty = { 30, 7, 10_000, 8 },
)]
fn the_connections_limit_the_number_of_homes(
    hosts: usize,
    accounts: usize,
    connections: u32,
    max_homes: usize,
) {
    let rig = rig(hosts, accounts, connections);
    let found: BTreeSet<HostId> = homes(&rig, accounts).into_iter().flatten().collect();
    assert!(found.len() <= max_homes, "{found:?}");
    assert_eq!(found.is_empty(), max_homes == 0);
}

/// Guards against hosts that disagree about a home because they list the hosts in another order,
/// and against a change of all homes when one host leaves.
#[test]
fn homes_are_stable() {
    let mut rig = rig(59, 71, 32);
    let before = homes(&rig, 71);
    set_hosts_present(&mut rig, (2..=59).rev().map(|number| candidate(number, 250)).collect());
    assert_eq!(homes(&rig, 71), before);
    let gone = before[0].clone().expect("a home");
    let remaining = (2..=59).map(|number| candidate(number, 250));
    set_hosts_present(&mut rig, remaining.filter(|one| one.host != gone).collect());
    let known: BTreeSet<_> = before.iter().flatten().cloned().collect();
    for (old, new) in before.iter().zip(homes(&rig, 71)) {
        // Another host becomes a home instead of the one that left, and takes over accounts of
        // others.
        let newcomer = new.as_ref().is_some_and(|host| !known.contains(host));
        assert!(*old == Some(gone.clone()) || *old == new || newcomer, "{old:?} to {new:?}");
    }
}

/// Guards against homes with a small processor while hosts with a larger one only relay.
#[test]
fn the_strongest_hosts_are_homes() {
    let mut rig = rig(2, 71, 32);
    let present = (2..=59).map(|number| candidate(number, if number < 10 { 500 } else { 120 }));
    set_hosts_present(&mut rig, present.collect());
    let strong: BTreeSet<HostId> = (2..10).map(|number| candidate(number, 500).host).collect();
    let found: BTreeSet<HostId> = homes(&rig, 71).into_iter().flatten().collect();
    assert!(found.len() > 4 && found.is_subset(&strong), "{found:?}");
}

/// Guards against links between all hosts of a large fleet, whose reports to each other were most
/// of the traffic between failure domains.
#[test]
fn only_homes_keep_links_to_all() {
    let mut rig = rig(2, 71, 32);
    let listed: Vec<HomeCandidate> = (2..=59).map(|number| candidate(number, 500)).collect();
    let links = rig.core.set_hosts(rig.now, listed, |_| true);
    assert_eq!(links.len(), 7, "h1 is weaker and relays");
    let listed: Vec<HomeCandidate> = (2..=59).map(|number| candidate(number, 120)).collect();
    let links = rig.core.set_hosts(rig.now, listed, |_| true);
    assert_eq!(links.len(), 58, "h1 is the strongest host and a home");
}

/// Guards against a part of the fleet that is partitioned from all homes and chooses none itself.
#[test]
fn an_isolated_part_chooses_its_own_homes() {
    let mut rig = rig(2, 71, 32);
    let listed: Vec<HomeCandidate> = (2..=59).map(|number| candidate(number, 500)).collect();
    let unreachable = rig.core.set_hosts(rig.now, listed.clone(), |_| true);
    rig.core.set_hosts(rig.now, listed, |host| !unreachable.contains(host));
    let found: BTreeSet<HostId> = homes(&rig, 71).into_iter().flatten().collect();
    assert!(!found.is_empty() && found.iter().all(|home| !unreachable.contains(home)), "{found:?}");
}

/// Guards against a stopping host that has closed its links and takes itself for the home of every
/// account, with half of each rate.
#[test]
fn a_stopping_host_does_not_become_a_home() {
    let mut rig = rig(8, 7, 38);
    let before = homes(&rig, 7);
    rig.core.stop(rig.now);
    let listed = (2..=8).map(|number| candidate(number, 250)).collect();
    rig.core.set_hosts(rig.now, listed, |_| false);
    assert_eq!(homes(&rig, 7), before);
}

/// Guards against sessions that stay on the host where a disruption left them: after a restart of
/// all hosts, 59 of them held connections to endpoints that accept 32, and a quarter of the
/// operations was refused for the rest of the day.
#[test]
fn an_idle_session_moves_to_its_home() {
    let mut rig = Rig::new();
    rig.leads = id("a");
    let session = rig.session(1, "orders");
    let busy = rig.session(2, "orders");
    let strong = |number| candidate(number, 500);
    rig.core.set_hosts(rig.now, (2..=59).map(strong).collect(), |_| true);
    let moved = |rig: &Rig, id| rig.other.contains(&ProxyEffect::CloseSession(id));
    rig.pass(1_400);
    assert!(!moved(&rig, session), "the homes may change again");
    rig.send(busy, Statement::Data(Access::Write));
    rig.pass(200);
    assert!(moved(&rig, session));
    assert!(!moved(&rig, busy), "its statement is under way");
}

/// Guards against sessions of open routes and of accounts without a limit that never move because
/// only accounts with a limit are looked up.
#[parameterized(open_route = { "notes", "nobody" }, no_limit = { "orders", "k-south" })]
fn a_session_of_an_account_without_a_limit_moves(database: &str, key: &str) {
    let mut rig = Rig::new();
    let mut catalog = catalog(2);
    let mut route = Route::clone(&catalog.routes[&id("orders")]);
    route.open = true;
    catalog.routes.insert(id("notes"), Rc::new(route));
    catalog.keys.insert(CallerKey::new("k-south"), id("south"));
    rig.core.set_catalog(rig.now, catalog);
    let session = SessionId(1);
    rig.core.open_session(rig.now, session, database, key).expect("the session is open");
    rig.core.set_hosts(rig.now, (2..=59).map(|number| candidate(number, 500)).collect(), |_| true);
    rig.pass(1_600);
    assert!(rig.other.contains(&ProxyEffect::CloseSession(session)));
}

/// Guards against a host that is no longer a home and keeps its connections in use by probing the
/// primary over them: after a restart of the fleet, endpoints refused 79 connects per second for as
/// long as hosts held such connections.
#[test]
fn a_host_that_is_not_a_home_closes_its_connections() {
    let mut rig = Rig::new();
    let session = rig.session(1, "orders");
    rig.send(session, Statement::Data(Access::Write));
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Idle);
    rig.core.set_hosts(rig.now, (2..=59).map(|number| candidate(number, 500)).collect(), |_| true);
    rig.core.close_session(rig.now, session);
    rig.pass(2_000);
    assert!(rig.core.connection(connection).is_none(), "it is still open");
}
