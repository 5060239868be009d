//! The list of hosts: which count as present, and whose rows are removed.

use std::collections::BTreeSet;

use medlarstile::core::proxy::follow::HostRow;
use medlarstile::core::proxy::roster::Roster;
use medlarstile::types::{HostId, Incarnation, MilliCores, RowVersion, Timestamp};
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000);
const SECOND_US: u64 = 1_000_000;
const HOUR_US: u64 = 3_600 * SECOND_US;

fn host(name: &str) -> HostId {
    name.parse().expect("a host")
}

fn after_start(us: u64) -> Timestamp {
    Timestamp(START.0 + us)
}

/// A roster with the host `h2`, whose row has version 5.
fn roster() -> Roster {
    let mut roster = Roster::default();
    roster.insert(START, host("h2"), RowVersion(5), &row(1));
    roster
}

/// The row that a run of the host `h2` writes.
fn row(incarnation: u64) -> HostRow {
    HostRow {
        address: "127.0.0.1:7000".parse().expect("an address"),
        incarnation: Incarnation(incarnation),
        processor: MilliCores(250),
    }
}

/// Guards against a removed host that counts as present forever, and against a starting host that
/// does not count as present until its link is open.
#[parameterized(
    expected = { |_| {}, 2, true },
    link_never_opened = { |_| {}, 4, false },
    link_open = { |roster| roster.on_opened(host("h2")), 60, true },
    did_not_accept = { |roster| {
        roster.on_opened(host("h2"));
        roster.on_unreachable(START, &host("h2"));
    }, 2, false },
    accepts_again = { |roster| {
        roster.on_unreachable(START, &host("h2"));
        roster.on_opened(host("h2"));
    }, 2, true },
    link_lost = { |roster| { roster.on_opened(host("h2")); roster.on_closed(START, &host("h2")) }, 1, false },
    restarted = { |roster| {
        roster.on_closed(START, &host("h2"));
        roster.insert(after_start(SECOND_US), host("h2"), RowVersion(9), &row(2));
    }, 2, true },
    lost_and_row_written_again = { |roster| {
        roster.on_closed(START, &host("h2"));
        roster.insert(after_start(SECOND_US), host("h2"), RowVersion(9), &row(1));
    }, 2, false },
    unlisted = { |roster| roster.remove(&host("h2")), 1, false },
)]
fn host_presence(prepare: fn(&mut Roster), seconds: u64, expected: bool) {
    let mut roster = roster();
    roster.is_present(START, &host("h2"));
    prepare(&mut roster);
    assert_eq!(roster.is_present(after_start(seconds * SECOND_US), &host("h2")), expected);
}

/// Guards against rows of removed hosts that stay in the store, since each reserves a share of
/// every account's rate, and against the removal of a host that is partitioned for only an hour.
#[parameterized(
    an_hour = { |_| {}, 1, false },
    two_hours = { |_| {}, 2, true },
    link_open = { |roster| roster.on_opened(host("h2")), 5, false },
    closed_recently = { |roster| roster.on_closed(after_start(HOUR_US), &host("h2")), 2, false },
    restarted = { |roster| {
        roster.insert(after_start(HOUR_US), host("h2"), RowVersion(9), &row(2));
    }, 2, false },
)]
fn rows_of_absent_hosts_are_removed(prepare: fn(&mut Roster), hours: u64, removed: bool) {
    let mut roster = roster();
    prepare(&mut roster);
    let expired = roster.expired_hosts(after_start(hours * HOUR_US));
    assert_eq!(expired, if removed { vec![(host("h2"), RowVersion(5))] } else { Vec::new() });
}

/// Guards against hosts that stay listed if their rows were deleted while the store was not
/// watched.
#[test]
fn a_full_read_removes_hosts_without_a_row() {
    let mut roster = roster();
    roster.insert(START, host("h3"), RowVersion(6), &row(1));
    roster.retain(&BTreeSet::from([host("h3")]));
    let listed: Vec<HostId> = roster.candidates().into_iter().map(|one| one.host).collect();
    assert_eq!(listed, [host("h3")]);
}
