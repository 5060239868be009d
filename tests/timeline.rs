//! Stamps, segments and queries of the timeline, and the records that a killed host loses.

#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/fleet.rs"]
mod fleet;
mod support;

use std::process::Command;

use fleet::Fleet;
use medlarstile::timeline::{
    merge, read_segment, Clock, Decision, Event, Filter, Record, SegmentWriter, Stamp, WriterLimits,
};
use medlarstile::types::{DurationMs, Incarnation, RequestId, SessionId, Timestamp};
use support::id;
use yare::parameterized;

fn record(clock: &mut Clock, wall_ms: u64, session: u64) -> Record {
    let decision =
        Decision::new(Event::Released).with_session(SessionId(session), Some(RequestId(session)));
    Record { stamp: clock.stamp(wall_ms), decision }
}

/// Guards against an effect that is sorted before its cause because the clocks of two hosts differ.
#[parameterized(
    equal_clocks = { 1_000, 1_000 },
    receiver_behind = { 9_000, 1_000 },
    receiver_ahead = { 1_000, 9_000 },
    receiver_goes_back = { 5_000, 0 },
)]
fn a_received_stamp_sorts_before_later_stamps(sender_ms: u64, receiver_ms: u64) {
    let (mut sender, mut receiver) = (Clock::new(id("h2")), Clock::new(id("h1")));
    let earlier = receiver.stamp(receiver_ms);
    let cause = sender.stamp(sender_ms);
    receiver.observe(receiver_ms, &cause);
    let effect = receiver.stamp(receiver_ms);
    assert!(cause < effect && earlier < effect, "{cause} {earlier} {effect}");
    assert_eq!(effect.to_string().parse::<Stamp>(), Ok(effect));
}

/// Guards against filters that accept other records, and against duplicates from a segment that was
/// stored twice.
#[parameterized(
    all = { Filter::default(), 4 },
    session = { Filter { session: Some(SessionId(2)), ..Filter::default() }, 1 },
    request = { Filter { request: Some(RequestId(3)), ..Filter::default() }, 1 },
    since = { Filter { since_ms: Some(30), ..Filter::default() }, 2 },
    until = { Filter { until_ms: Some(10), ..Filter::default() }, 1 },
    other_account = { Filter { account: Some("other".into()), ..Filter::default() }, 0 },
    other_group = { Filter { group: Some(id("other")), ..Filter::default() }, 0 },
)]
fn merges_and_filters(filter: Filter, expected: usize) {
    let (mut first, mut second) = (Clock::new(id("h1")), Clock::new(id("h2")));
    let left = vec![record(&mut first, 20, 2), record(&mut first, 40, 4)];
    let right = vec![record(&mut second, 10, 1), record(&mut second, 30, 3)];
    let merged = merge(vec![left, right.clone(), right], &filter);
    assert_eq!(merged.len(), expected);
    assert!(merged.windows(2).all(|pair| pair[0].stamp < pair[1].stamp));
}

/// Guards against records that wait longer than a second, and against storing two segments
/// concurrently.
#[test]
fn a_segment_is_due_after_a_second() {
    let mut clock = Clock::new(id("h1"));
    let mut writer = SegmentWriter::new(&id("h1"), Incarnation(7), WriterLimits::default());
    let first = record(&mut clock, 1, 1);
    writer.add(Timestamp(0), &first);
    assert_eq!(writer.due(Timestamp(999_999)), None);
    let segment = writer.due(Timestamp(1_000_000)).expect("one second has passed");
    assert_eq!(segment.name.as_str(), "timeline/h1-7/000000000000");
    assert_eq!(read_segment(&segment.content), Ok(vec![first]));
    writer.add(Timestamp(1_000_000), &record(&mut clock, 2, 2));
    assert_eq!(writer.due(Timestamp(9_000_000)), None, "the first segment is still being stored");
    writer.on_stored(false);
    assert_eq!(
        writer.due(Timestamp(9_000_000)),
        Some(segment),
        "the first segment is stored again"
    );
    writer.on_stored(true);
    assert!(writer.due(Timestamp(9_000_000)).is_some());
}

/// Guards against unbounded memory during an outage of the object store, and against records that
/// are dropped without being counted.
#[test]
fn dropped_records_are_counted() {
    let limits = WriterLimits {
        segment_ms: DurationMs(1_000),
        segment_bytes: 1_000,
        max_unstored_bytes: 5_000,
    };
    let mut clock = Clock::new(id("h1"));
    let mut writer = SegmentWriter::new(&id("h1"), Incarnation(7), limits);
    for number in 0..500 {
        writer.add(Timestamp(0), &record(&mut clock, 1, number));
        assert!(writer.unstored_bytes() <= limits.max_unstored_bytes);
    }
    assert_eq!(writer.take_dropped(), None, "there is no room to record the number");
    let (mut stored, now) = (0, Timestamp(2_000_000));
    while let Some(segment) = writer.due(now) {
        stored += read_segment(&segment.content).expect("readable").len();
        writer.on_stored(true);
    }
    assert_eq!(writer.take_dropped(), Some(500 - stored as u64));
    assert_eq!(writer.take_dropped(), None);
}

fn count_released(platform: &str) -> usize {
    let output = Command::new(env!("CARGO_BIN_EXE_medlarstile"))
        .args(["timeline", "--platform", platform, "--account", "*", "--format", "json"])
        .output()
        .expect("the binary runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let records = read_segment(&output.stdout).expect("the records are readable");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(!text.contains("INSERT"), "no record holds SQL text");
    records.iter().filter(|record| record.decision.event == Event::Released).count()
}

/// Guards against records that stay in memory until the host stops. A killed host may lose only the
/// records since its last stored segment.
#[test]
fn a_killed_host_loses_only_its_last_records() {
    let mut fleet = Fleet::start(&[]);
    fleet.commit();
    let platform = fleet.platform.address.to_string();
    let host = fleet.host("h1", &[]);
    let mut client = host.open();
    client.batch_execute("CREATE TABLE item (id int PRIMARY KEY)").expect("created");
    for id in 0..20 {
        client.batch_execute(&format!("INSERT INTO item VALUES ({id})")).expect("inserted");
    }
    fleet.endpoints[0].wait_until("the records are stored", |_| count_released(&platform) == 21);
    client.batch_execute("INSERT INTO item VALUES (20)").expect("inserted");
    drop(host);
    assert!((21..=22).contains(&count_released(&platform)));
}
