//! Decisions of one edit of the tables, with a simulated clock.

use medlarstile::core::acceptance::HostRow;
use medlarstile::core::edit::{
    Edit, EditEffect, EditSpec, EditState, SeenConfig, SwapResult, EDIT_LIMIT,
};
use medlarstile::core::view::Member;
use medlarstile::types::{
    AttemptId, CommitSeq, DurationMs, Incarnation, RowVersion, TableVersion, Timestamp,
};
use yare::parameterized;

const OWN_ATTEMPT: AttemptId = AttemptId(77);
const OTHER_ATTEMPT: AttemptId = AttemptId(78);

/// Answer of the platform to one call, or the passage of time.
#[derive(Clone, Copy)]
enum Reply {
    Swap(SwapResult),
    /// Row version, table version and attempt of `config/current`.
    Found(u64, u64, AttemptId),
    ReadFailed,
    /// The clock advances past the limit for getting the edit accepted.
    LimitPassed,
}

use Reply::{Found, LimitPassed, ReadFailed, Swap};

const COMMITTED: Reply = Swap(SwapResult::Committed(CommitSeq(20)));
const LOST: Reply = Swap(SwapResult::Lost);
const CONFLICT: Reply = Swap(SwapResult::Conflict);
const NOT_SENT: Reply = Swap(SwapResult::NotSent);

fn edit(wait: Option<DurationMs>) -> Edit {
    let version = TableVersion(5);
    let spec = EditSpec { version, attempt: OWN_ATTEMPT, expected: RowVersion(10), wait };
    let (edit, effects) = Edit::new(Timestamp(0), spec);
    assert_eq!(effects, [EditEffect::Swap(DurationMs(0))]);
    edit
}

/// Guards against an edit that is reported as refused although it took effect, as accepted although
/// it did not, or as unknown although a read-back shows the outcome.
#[parameterized(
    committed = { &[COMMITTED], EditState::NotAwaited },
    accepted_but_lost = { &[LOST, Found(20, 5, OWN_ATTEMPT)], EditState::NotAwaited },
    lost_before_it_took_effect = { &[LOST, Found(10, 4, OTHER_ATTEMPT), COMMITTED], EditState::NotAwaited },
    repeated_after_it_took_effect = { &[LOST, Found(10, 4, OTHER_ATTEMPT), CONFLICT, Found(20, 5, OWN_ATTEMPT)], EditState::NotAwaited },
    conflict = { &[CONFLICT, Found(20, 5, OTHER_ATTEMPT)], EditState::Conflict },
    conflict_after_a_stale_read = { &[CONFLICT, Found(10, 4, OTHER_ATTEMPT), CONFLICT, Found(20, 5, OTHER_ATTEMPT)], EditState::Conflict },
    conflict_two_versions_later = { &[CONFLICT, Found(30, 6, OTHER_ATTEMPT)], EditState::Conflict },
    lost_answer_and_conflict = { &[LOST, Found(20, 5, OTHER_ATTEMPT)], EditState::Conflict },
    another_edit_on_top = { &[LOST, Found(30, 6, OTHER_ATTEMPT)], EditState::Unknown },
    never_read_back = { &[LOST, ReadFailed, LimitPassed, ReadFailed], EditState::Unknown },
    conflict_never_read_back = { &[CONFLICT, ReadFailed, LimitPassed, ReadFailed], EditState::Conflict },
    never_sent = { &[NOT_SENT, LimitPassed, NOT_SENT], EditState::Unavailable },
    lost_then_never_sent = { &[LOST, Found(10, 4, OTHER_ATTEMPT), LimitPassed, NOT_SENT], EditState::Unknown },
)]
fn ends_with_the_right_state(replies: &[Reply], expected: EditState) {
    let mut edit = edit(None);
    let mut now = Timestamp(0);
    let mut effects = Vec::new();
    for reply in replies {
        assert!(
            !matches!(effects.last(), Some(EditEffect::End(_))),
            "the edit ended before the last reply"
        );
        effects = match *reply {
            Swap(result) => edit.on_swapped(now, result),
            Found(row, version, attempt) => {
                let (row, version) = (RowVersion(row), TableVersion(version));
                edit.on_read_back(now, Some(SeenConfig { row, version, attempt }))
            }
            ReadFailed => edit.on_read_back(now, None),
            LimitPassed => {
                now += EDIT_LIMIT;
                Vec::new()
            }
        };
    }
    assert_eq!(effects.last(), Some(&EditEffect::End(expected)));
}

fn row(host: &str, confirmed: u64) -> HostRow {
    HostRow {
        member: Member { host: host.parse().expect("an id"), incarnation: Incarnation(1) },
        registered: Some(CommitSeq(1)),
        renewed: CommitSeq(15),
        members_seen: Some(CommitSeq(15)),
        confirmed: Some(TableVersion(confirmed)),
    }
}

/// Guards against an edit that is reported as in force although a silent host may act on an older
/// version, and against an endless wait for that host.
#[parameterized(
    all_confirm = { 5, 10_000, &[0], EditState::InForce },
    one_is_silent = { 4, 10_000, &[0, 3_400, 3_500], EditState::InForce },
    wait_is_over = { 4, 1_000, &[0, 900, 1_000], EditState::NotInForce },
)]
fn waits_until_it_is_in_force(
    second_confirmed: u64,
    wait_ms: u64,
    reads_ms: &[u64],
    expected: EditState,
) {
    let mut edit = edit(Some(DurationMs(wait_ms)));
    edit.on_swapped(Timestamp(0), SwapResult::Committed(CommitSeq(20)));
    for (index, read_ms) in reads_ms.iter().enumerate() {
        let now = Timestamp(0) + DurationMs(*read_ms);
        let rows = vec![row("h1", 5), row("h2", second_confirmed)];
        let effects = edit.on_hosts(now, Some((CommitSeq(21), rows)));
        let is_last = index + 1 == reads_ms.len();
        let ended = matches!(effects.last(), Some(EditEffect::End(_)));
        assert_eq!(ended, is_last, "at {read_ms} ms");
        if is_last {
            assert_eq!(effects.last(), Some(&EditEffect::End(expected)));
        }
    }
}
