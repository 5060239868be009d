//! Decisions about the platform's store: link state, retry delays, lost answers and monotonic
//! reads.

use std::cell::RefCell;
use std::collections::BTreeSet;

use medlarstile::core::cas::{self, Next, Outcome, ReadBack, Swap, SwapState, WriteResult};
use medlarstile::core::link::{self, Backoff, Link, LinkState, MAX_RETRY, MIN_RETRY};
use medlarstile::core::promotion::{GroupRecord, Phase};
use medlarstile::core::rows::{HostRow, HostState, MonotonicRows, StaleRead};
use medlarstile::core::share::{Holder, SeenRow, ShareRow, ShareWrite};
use medlarstile::core::store::{Row, Rows};
use medlarstile::types::{
    AttemptId, CommitSeq, DurationMs, Incarnation, Position, Renewals, RowVersion, ShareSlot,
    TableVersion, Term, Timestamp,
};
use medlarstile::wire::rows::{attempt_of, group_row, JsonRow};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use yare::parameterized;

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// A test runner with a fixed seed.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Guards against chart files with names that the code does not know, which stop a host at
/// start-up.
#[test]
fn the_charts_load() {
    assert!(!link::chart().expect("valid").is_final(LinkState::Unreachable));
    let ends = [SwapState::Applied, SwapState::Conflict, SwapState::NotApplied, SwapState::Unknown];
    let swaps = cas::chart().expect("valid");
    assert!(ends.into_iter().all(|state| swaps.is_final(state)));
}

/// Guards against an outage reported after one slow call, and against one whose begin or end is
/// never reported.
#[parameterized(
    first_answer = { &[(0, 1, true)], LinkState::Reachable },
    one_failure = { &[(0, 1, true), (10, 1_010, false)], LinkState::Suspect },
    short = { &[(0, 1, true), (10, 100, false), (110, 1_900, false)], LinkState::Suspect },
    long = { &[(0, 1, true), (10, 1_010, false), (1_020, 2_020, false)], LinkState::Unreachable },
    never_answered = { &[(0, 1_000, false), (1_050, 2_050, false)], LinkState::Unreachable },
    idle_before = { &[(0, 1, true), (90_000, 90_500, false), (90_600, 91_600, false)], LinkState::Suspect },
    recovered = { &[(0, 1_000, false), (1_050, 2_050, false), (2_100, 2_101, true)], LinkState::Reachable },
    late_answer = { &[(0, 1, true), (500, 600, false), (20, 700, true)], LinkState::Suspect },
)]
fn link_states(results: &[(u64, u64, bool)], expected: LinkState) {
    let mut link = Link::new(Timestamp(0));
    let at = |ms: u64| Timestamp(0) + DurationMs(ms);
    for (sent, now, answered) in results {
        let before = link.state();
        let change = link.on_result(at(*sent), at(*now), *answered);
        assert_eq!(change, (link.state() != before).then(|| link.state()));
    }
    assert_eq!(link.state(), expected);
    let answered = results.iter().filter(|(_, _, answered)| *answered);
    assert_eq!(link.last_answered(), answered.map(|(sent, _, _)| at(*sent)).max());
}

/// Guards against retry delays shorter than 50 ms or longer than 2 s, delays that never grow, and
/// delays that are the same on all hosts.
#[test]
fn retry_times_stay_in_bounds() {
    let strategy = (any::<u64>(), 1_usize..200);
    let property = |(seed, tries): (u64, usize)| {
        let (mut backoff, mut rng) = (Backoff::default(), rng(seed));
        let delays: Vec<DurationMs> = (0..tries).map(|_| backoff.next_delay(&mut rng)).collect();
        prop_assert!(delays.iter().all(|delay| (MIN_RETRY..=MAX_RETRY).contains(delay)));
        prop_assert!(delays[0] <= DurationMs(2 * MIN_RETRY.0));
        prop_assert!(tries < 100 || delays.iter().any(|delay| delay.0 > MAX_RETRY.0 / 2));
        backoff.reset();
        prop_assert!(backoff.next_delay(&mut rng) <= DurationMs(2 * MIN_RETRY.0));
        Ok(())
    };
    runner(200).run(&strategy, property).unwrap();
    let first = |seed| Backoff::default().next_delay(&mut rng(seed));
    assert!((1..20).any(|seed| first(seed) != first(0)));
}

/// Guards against a reader that returns to an older version when reads arrive out of order.
#[test]
fn versions_seen_by_a_reader_never_decrease() {
    let property = |commits: Vec<u64>| {
        let mut reader = MonotonicRows::default();
        let mut newest = CommitSeq(0);
        for seen in commits.iter().copied().map(CommitSeq) {
            let read = reader.accept(Rows::<Value> { commit_seq: seen, rows: vec![] });
            match read {
                Ok(read) => prop_assert!(read.commit_seq >= newest),
                Err(stale) => prop_assert_eq!(stale, StaleRead { seen, newest }),
            }
            newest = newest.max(seen);
            prop_assert_eq!(reader.newest(), newest);
        }
        Ok(())
    };
    runner(200).run(&prop::collection::vec(0_u64..50, 0..40), property).unwrap();
}

/// Guards against reads that are older than the reader's own write.
#[test]
fn reads_older_than_an_own_write_are_refused() {
    let mut reader = MonotonicRows::default();
    reader.on_commit(CommitSeq(5));
    assert!(reader.accept(Rows::<Value> { commit_seq: CommitSeq(4), rows: vec![] }).is_err());
    assert_eq!(reader.ignored(), 1);
}

/// Model of one row in a store that loses and delays writes and serves stale reads.
#[derive(Default)]
struct RowModel {
    history: Vec<AttemptId>,
    delayed: Vec<(RowVersion, AttemptId)>,
}

impl RowModel {
    fn version(&self) -> RowVersion {
        RowVersion(self.history.len() as u64)
    }

    fn write(&mut self, expected: RowVersion, attempt: AttemptId) -> WriteResult {
        if self.version() != expected {
            return WriteResult::Conflict(self.version());
        }
        self.history.push(attempt);
        WriteResult::Committed(CommitSeq(self.version().0))
    }

    fn read(&self, back: usize) -> ReadBack {
        let at = self.history.len().saturating_sub(back);
        let attempt = at.checked_sub(1).map(|last| self.history[last]);
        let version = RowVersion(at as u64);
        ReadBack::Row { commit_seq: CommitSeq(at as u64), version, attempt }
    }
}

/// Fault injected into the next call of a writer.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Unsent,
    LostBefore,
    LostAfter,
    Delayed,
    StaleBy(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::Unsent),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        1 => Just(Fault::Delayed),
        2 => (1_usize..3).prop_map(Fault::StaleBy),
    ]
}

fn call(
    model: &mut RowModel,
    swap: &mut Swap,
    next: Next,
    attempt: AttemptId,
    fault: Fault,
) -> Next {
    let mut rng = rng(1);
    match (next, fault) {
        (Next::Write(_), Fault::Unsent) => swap.on_write(WriteResult::Unsent, &mut rng),
        (Next::Write(_), Fault::LostBefore) => swap.on_write(WriteResult::Lost, &mut rng),
        (Next::Write(_), Fault::Delayed) => {
            model.delayed.push((EXPECTED, attempt));
            swap.on_write(WriteResult::Lost, &mut rng)
        }
        (Next::Write(_), fault) => {
            let result = model.write(EXPECTED, attempt);
            let lost = matches!(fault, Fault::LostAfter);
            swap.on_write(if lost { WriteResult::Lost } else { result }, &mut rng)
        }
        (Next::Read(_), Fault::None) => swap.on_read(model.read(0), &mut rng),
        (Next::Read(_), Fault::StaleBy(back)) => swap.on_read(model.read(back), &mut rng),
        (Next::Read(_), _) => swap.on_read(ReadBack::Failed, &mut rng),
        (done, _) => done,
    }
}

const EXPECTED: RowVersion = RowVersion(2);

/// Runs two writers that race for one version, and delivers the delayed writes at the end.
fn race(steps: &[(usize, Fault, bool)], calls: u32) -> (RowModel, [Next; 2]) {
    let mut model = RowModel { history: vec![AttemptId(100), AttemptId(101)], delayed: vec![] };
    let attempts = [AttemptId(0), AttemptId(1)];
    let mut swaps = attempts.map(|attempt| Swap::new(EXPECTED, attempt, calls));
    let mut next = [Next::Write(DurationMs(0)); 2];
    for (writer, fault, deliver) in steps {
        let writer = *writer;
        next[writer] = call(&mut model, &mut swaps[writer], next[writer], attempts[writer], *fault);
        if let Some((expected, attempt)) = model.delayed.pop().filter(|_| *deliver) {
            model.write(expected, attempt);
        }
    }
    for (expected, attempt) in std::mem::take(&mut model.delayed) {
        model.write(expected, attempt);
    }
    (model, next)
}

/// Guards against two hosts that both believe their write has succeeded, and against a wrong report
/// to a writer that its value was, or was not, written.
#[test]
fn racing_writers_with_lost_answers_never_both_win() {
    let step = (0_usize..2, fault(), any::<bool>());
    let seen = RefCell::new(BTreeSet::new());
    let property = |(steps, calls): (Vec<(usize, Fault, bool)>, u32)| {
        let (model, next) = race(&steps, calls);
        let won = next.iter().filter(|n| matches!(n, Next::Done(Outcome::Applied(_)))).count();
        prop_assert!(won <= 1);
        for (attempt, next) in [AttemptId(0), AttemptId(1)].into_iter().zip(next) {
            let written = model.history.contains(&attempt);
            match next {
                Next::Done(Outcome::Applied(version)) => {
                    prop_assert!(written && version == RowVersion(3));
                }
                Next::Done(Outcome::Conflict(_) | Outcome::NotApplied) => prop_assert!(!written),
                _ => (),
            }
            if let Next::Done(outcome) = next {
                seen.borrow_mut().insert(format!("{outcome:?}"));
            }
        }
        Ok(())
    };
    let strategy = (prop::collection::vec(step, 0..30), 1_u32..9);
    runner(2_000).run(&strategy, property).unwrap();
    let outcomes = ["Applied(RowVersion(3))", "Conflict(RowVersion(3))", "NotApplied", "Unknown"];
    assert!(seen.into_inner().iter().eq(outcomes));
}

fn written(row: JsonRow) -> Row<Value> {
    Row { key: row.0, value: row.1, version: RowVersion(3) }
}

fn host_row() -> HostRow {
    HostRow {
        host: "host-1".parse().expect("valid"),
        incarnation: Incarnation(u64::MAX),
        address: "127.0.0.1:7000".parse().expect("valid"),
        failure_domain: "east".parse().expect("valid"),
        state: HostState::Live,
        confirmed: Some(TableVersion(4)),
        renewals: Renewals(9),
        registered: Some(CommitSeq(12)),
        members_seen: Some(CommitSeq(11)),
        attempt: AttemptId(u64::MAX - 1),
    }
}

/// Guards against rows that change when they are written and read back, in particular large attempt
/// ids.
#[test]
fn rows_read_back() {
    let host = host_row();
    let (host_id, incarnation, address) = (host.host.clone(), host.incarnation, host.address);
    let holder = Some(Holder { host: host_id, incarnation, address });
    let content = ShareRow { holder, counter: 9, attempt: host.attempt };
    let write = ShareWrite { slot: ShareSlot(3), expected: RowVersion(2), row: content.clone() };
    let share = SeenRow { slot: ShareSlot(3), version: RowVersion(3), row: content };
    let record = GroupRecord {
        term: Term(4),
        primary: Some("e2".parse().unwrap()),
        start: Position::new(Term(3), 1042),
        attempt: host.attempt,
        phase: Phase::Promoted,
    };
    let row = written((&host).into());
    assert_eq!(attempt_of(&row), (RowVersion(3), Some(host.attempt)));
    assert_eq!(HostRow::try_from(&row), Ok(host));
    assert_eq!(SeenRow::try_from(&written((&write).into())), Ok(share));
    let row = written(group_row(&"g1".parse().unwrap(), &record));
    assert_eq!(GroupRecord::try_from(&row), Ok(record));
}

/// Guards against a malformed row that is accepted as valid.
#[parameterized(
    address = { "address", json!("somewhere") },
    state = { "state", json!("gone") },
    attempt = { "attempt", json!("-1") },
    missing = { "renewals", Value::Null },
    number = { "incarnation", json!(5) },
)]
fn refuses_malformed_rows(member: &str, value: Value) {
    let mut row = written((&host_row()).into());
    row.value[member] = value;
    assert!(HostRow::try_from(&row).is_err());
}
