//! Hosts that read the store's tables through homes: whom they rely on, and what they ask for.

use medlarstile::core::proxy::follow::{FollowTimes, Readers, TablesRead};
use medlarstile::types::{DurationMs, HostId, RowVersion, Timestamp};
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000);

fn host(number: usize) -> HostId {
    format!("h{number}").parse().expect("a host")
}

/// Readers of a platform where a version has to be in force within 6.2 s; a read counts for 3.6 s.
fn readers() -> Readers {
    Readers::new(FollowTimes::new(DurationMs(6_200)))
}

fn read(rows: u64, age_ms: u64) -> TablesRead {
    TablesRead { rows: RowVersion(rows), age_ms: DurationMs(age_ms) }
}

/// Reports one reader's state to a follower that knows the rows up to version 5.
fn report(readers: &mut Readers, ms: u64, number: usize, read: TablesRead) -> Option<RowVersion> {
    readers.on_report(START + DurationMs(ms), host(number), read, RowVersion(5))
}

/// Pattern: all hosts read the store at once. Guards against a follower that stays without the
/// tables when its readers are lost, cut off from it, frozen, or cut off from the store, and against
/// one that reads the store although a reader is left.
#[parameterized(
    reader_reports = { |_| {}, 1_000, true },
    reader_is_silent = { |_| {}, 1_500, false },
    reader_is_lost = { |readers| readers.on_closed(&host(1)), 100, false },
    reader_is_behind = { |readers| { report(readers, 500, 1, read(5, 3_700)); }, 600, false },
    another_reader_is_left = { |readers| {
        report(readers, 0, 2, read(5, 0));
        readers.on_closed(&host(1));
    }, 100, true },
)]
fn a_follower_relies_on_recent_readers(event: fn(&mut Readers), ms: u64, expected: bool) {
    let mut readers = readers();
    report(&mut readers, 0, 1, read(5, 3_000));
    event(&mut readers);
    assert_eq!(readers.is_any_reading(START + DurationMs(ms)), expected);
}

/// Pattern: many rows change in a short time. Guards against requests to every reader for the same
/// rows, and against a request that is never repeated.
#[parameterized(
    nothing_new = { 5, 0, None },
    newer_rows = { 6, 0, Some(RowVersion(5)) },
    old_read = { 6, 9_000, None },
)]
fn rows_are_requested_once(rows: u64, age_ms: u64, expected: Option<RowVersion>) {
    let mut readers = readers();
    assert_eq!(report(&mut readers, 0, 1, read(rows, age_ms)), expected);
    assert_eq!(report(&mut readers, 10, 2, read(rows, age_ms)), None);
    assert_eq!(report(&mut readers, 900, 1, read(rows, age_ms)), expected);
}

/// Pattern: a new configuration is wanted by all hosts at once. Guards against copies that cross
/// failure domains although a reader is near, and against a host that waits for a lost one.
#[parameterized(
    none_is_near = { &[], 2, true },
    another_is_near = { &[1], 2, false },
    it_is_near = { &[1], 1, true },
    the_near_one_is_lost = { &[3], 2, true },
)]
fn the_configuration_comes_from_a_near_reader(near: &[usize], asked: usize, expected: bool) {
    let mut readers = readers();
    for number in [1, 2] {
        report(&mut readers, 0, number, read(5, 0));
    }
    near.iter().for_each(|number| readers.on_opened(&host(*number), true));
    assert_eq!(readers.is_preferred(START, &host(asked)), expected);
}

/// Interval of the reports between hosts.
const REPORT_INTERVAL_MS: u64 = 500;

/// Guards against a silent connection to the store that is noticed so late that the hosts which
/// follow this one have a version only after the time that the platform states.
#[parameterized(
    small_fleet = { 3_000 },
    large_fleet = { 6_000 },
    strict_platform = { 1_800 },
)]
fn a_silent_connection_is_noticed_within_the_limit(limit_ms: u64) {
    let times = FollowTimes::new(DurationMs(limit_ms));
    let noticed_ms = times.wait_ms.0 + times.answer_limit_ms.0;
    assert!(noticed_ms + REPORT_INTERVAL_MS < limit_ms, "noticed after {noticed_ms} ms");
}
