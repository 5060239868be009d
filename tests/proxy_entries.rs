//! Entries of endpoints across a restore of the store from an older copy.

use medlarstile::core::proxy::entries::EntryTable;
use medlarstile::core::proxy::group::EndpointEntry;
use medlarstile::types::{DurationMs, RowVersion, StoreEra, Timestamp};
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000);
const KEY: &str = "i-1";

/// The row of an endpoint that has become the primary and is shutting down, or of the time before.
fn entry(
    era: u64,
    version: u64,
    started_ms: u64,
    report: Option<u64>,
    late: bool,
) -> EndpointEntry {
    EndpointEntry {
        endpoint: KEY.parse().expect("an endpoint"),
        group: "db".parse().expect("a group"),
        address: "127.0.0.1:80".parse().expect("an address"),
        failure_domain: "a".parse().expect("a failure domain"),
        leaving: late,
        claims_primary: late,
        started_ms,
        cold_for_ms: DurationMs(0),
        report,
        version: RowVersion::in_era(StoreEra(era), version).expect("a version"),
    }
}

fn known() -> EndpointEntry {
    entry(1, 90, 5, Some(20), true)
}

/// Guards against new work for an endpoint that is shutting down, and against a former primary that
/// counts as the primary, after a restore of the store to a copy from before.
#[parameterized(
    earlier_report = { entry(2, 40, 5, Some(12), false), true },
    earlier_start = { entry(2, 40, 4, Some(70), false), true },
    later_report = { entry(2, 95, 5, Some(21), false), false },
    later_start = { entry(2, 95, 6, Some(1), false), false },
    no_reports_counted = { entry(2, 40, 5, None, false), false },
    same_era = { entry(1, 91, 5, Some(12), false), false },
)]
fn an_earlier_report_does_not_replace_a_later_one(read: EndpointEntry, is_kept: bool) {
    for is_complete in [false, true] {
        let mut table = EntryTable::default();
        table.apply(START, known().version, true, [(KEY.into(), Some(known()))]);
        table.apply(START, read.version, is_complete, [(KEY.into(), Some(read.clone()))]);
        let expected = if is_kept { known() } else { read.clone() };
        assert_eq!(table.iter().collect::<Vec<_>>(), [&expected]);
    }
}

/// Guards against connections to an endpoint that has left, whose address another one may have, and
/// against one that stays unused although it has reported again.
#[parameterized(
    earlier_report = { entry(2, 40, 5, Some(12), false), 1, false },
    last_report = { entry(2, 40, 5, Some(20), true), 1, false },
    later_report = { entry(2, 95, 5, Some(21), false), 1, true },
    later_start = { entry(2, 95, 6, Some(1), false), 1, true },
    same_era = { entry(1, 95, 5, Some(12), false), 1, true },
    long_ago = { entry(2, 40, 5, Some(12), false), 61, true },
)]
fn an_endpoint_that_has_left_stays_away(read: EndpointEntry, seconds: u64, is_listed: bool) {
    for is_complete in [false, true] {
        let mut table = EntryTable::default();
        table.apply(START, known().version, true, [(KEY.into(), Some(known()))]);
        let removal = (!is_complete).then(|| (KEY.into(), None));
        table.apply(START, known().version, is_complete, removal);
        assert_eq!(table.iter().count(), 0);
        let now = Timestamp(START.0 + seconds * 1_000_000);
        table.apply(now, read.version, true, [(KEY.into(), Some(read.clone()))]);
        assert_eq!(table.iter().count(), usize::from(is_listed));
    }
}

/// Guards against an endpoint that stays unused because a restore has lost its row, which it then
/// writes again as it was.
#[test]
fn a_lost_entry_that_is_written_again_counts() {
    let mut table = EntryTable::default();
    table.apply(START, known().version, true, [(KEY.into(), Some(known()))]);
    let again = entry(2, 41, 5, Some(20), true);
    table.apply(START, again.version, true, []);
    table.apply(START, again.version, false, [(KEY.into(), Some(again.clone()))]);
    assert_eq!(table.iter().collect::<Vec<_>>(), [&again]);
}
