//! Connections to endpoints that accept few of them.

mod proxy_rig;

use medlarstile::core::proxy::job::Refusal;
use medlarstile::core::proxy::statement::{Access, Statement};
use medlarstile::core::proxy::LossReport;
use proxy_rig::Rig;
use yare::parameterized;

/// Pattern: all hosts have lost power at once, and the endpoints still count their former
/// connections. Guards against hosts that all try to open their full shares, of which the endpoints
/// refuse most, and against a host that stays with one connection for good.
#[parameterized(
    at_the_start = { 0, 1 },
    a_little_later = { 400, 3 },
    up_to_its_share = { 4_000, 8 },
)]
fn connections_grow_one_by_one(ms: u64, expected: usize) {
    let mut rig = Rig::new();
    rig.pass(ms);
    for number in 0..20 {
        let session = rig.session(number, "orders");
        rig.send(session, Statement::Data(Access::Write));
    }
    let open = rig.group().endpoints.values().map(|state| state.connections.len()).max();
    assert_eq!(open, Some(expected));
}

/// Guards against a host that goes on trying after an endpoint has refused a connection.
#[test]
fn a_refusal_ends_the_growth_for_a_while() {
    let mut rig = Rig::new();
    rig.pass(4_000);
    let session = rig.session(1, "orders");
    rig.send(session, Statement::Data(Access::Write));
    let (connection, endpoint, _) = rig.next_job();
    let refusal = Some(Refusal::ConnectionLimit);
    let report = LossReport { sent: false, refusal, cause: "refused".into() };
    rig.core.on_lost(rig.now, connection, &report);
    let state = &rig.group().endpoints[&endpoint];
    assert_eq!(state.allowance.at(rig.now, 8), state.connections.len().max(1) as u64);
}
