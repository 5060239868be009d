//! Rules of the limiter and of the share leases that the generated histories of `limit_history`
//! rarely exercise.

use std::collections::BTreeMap;

use medlarstile::core::limit::{LimitEffect, LimitPeer, Limiter, Take, TokenRequest};
use medlarstile::core::share::{
    HeldSlot, Holder, SeenRow, ShareEffect, ShareKeeper, ShareRow, ShareSettings, ShareSlot,
    ShareWrite, WriteResult,
};
use medlarstile::error::ErrorKind;
use medlarstile::types::{
    AccountId, AttemptId, Burst, DurationMs, HostId, Incarnation, MilliTokens, RatePerS, RequestId,
    RowVersion, Timestamp,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const SECOND_US: u64 = 1_000_000;
const LEASE: DurationMs = DurationMs(15 * 60_000);

fn account() -> AccountId {
    "account".parse().expect("id")
}

fn set(limiter: &mut Limiter, now: u64, rate: u64, burst: u64) {
    let limits = BTreeMap::from([(account(), (RatePerS(rate), Burst(burst)))]);
    limiter.set_accounts(Timestamp(now), &limits, &mut Vec::new());
}

/// A limiter that has held `held` of 16 slots since time 0.
fn limiter(incarnation: u64, held: u32, rate: u64, burst: u64) -> Limiter {
    let (home, rng) = ("fd-0".parse().expect("id"), ChaCha8Rng::seed_from_u64(1));
    let mut limiter = Limiter::new(Incarnation(incarnation), home, 16, rng);
    set(&mut limiter, 0, rate, burst);
    let (from, until) = (Timestamp(0), Timestamp(u64::MAX));
    let slots: Vec<HeldSlot> =
        (0..held).map(|n| HeldSlot { slot: ShareSlot(n), from, until }).collect();
    limiter.set_shares(Timestamp(0), &slots);
    limiter
}

fn take_all(limiter: &mut Limiter, now: u64) -> u64 {
    let take = |limiter: &mut Limiter| limiter.try_take(Timestamp(now), &account(), MilliTokens(1));
    (0..100_000).take_while(|_| take(limiter) == Take::Taken).count() as u64
}

/// Guards against rounding errors that add up: many small refills must give exactly as many tokens
/// as one large refill.
#[parameterized(every_333_us = { 333 }, every_7_ms = { 7_001 }, once = { 20 * SECOND_US })]
fn refill_does_not_drift(step: u64) {
    let mut limiter = limiter(1, 3, 7, 1_000);
    let taken: u64 = (1..=20 * SECOND_US / step).map(|n| take_all(&mut limiter, n * step)).sum();
    assert_eq!(taken, 7 * 3 * 999 * (20 * SECOND_US / step * step) / (16 * SECOND_US));
}

/// Guards against tokens that are created when the tables change or an account is added.
#[test]
fn table_changes_create_no_tokens() {
    let mut limiter = limiter(1, 16, 100, 10);
    assert_eq!(take_all(&mut limiter, 0), 0);
    take_all(&mut limiter, 5 * SECOND_US);
    set(&mut limiter, 5 * SECOND_US, 100, 1_000);
    set(&mut limiter, 5 * SECOND_US, 100_000, 5);
    assert_eq!(take_all(&mut limiter, 5 * SECOND_US), 0);
    set(&mut limiter, 6 * SECOND_US, 100, 2);
    assert_eq!(take_all(&mut limiter, 6 * SECOND_US), 2_000);
}

/// Guards against spending tokens that an earlier incarnation of the host requested, against two
/// answers to a duplicated request, and against spending a duplicated answer twice.
#[parameterized(same_incarnation = { 1, 1 }, later_incarnation = { 2, 0 })]
fn answers_are_bound_to_the_incarnation_that_asked(incarnation: u64, accepted: u64) {
    let (giver, asker): (HostId, HostId) = ("a".parse().expect("id"), "b".parse().expect("id"));
    let ask = |limiter: &mut Limiter| -> TokenRequest {
        limiter.set_peers(vec![LimitPeer {
            host: giver.clone(),
            failure_domain: "fd".parse().expect("id"),
        }]);
        let (now, mut out) = (Timestamp(10 * SECOND_US), Vec::new());
        let end = now + DurationMs(900);
        limiter.admit(now, RequestId(1), &account(), MilliTokens(2_000), end, &mut out);
        limiter.cancel(&account(), RequestId(1));
        let Some(LimitEffect::Ask(_, request)) = out.pop() else { panic!("no request in {out:?}") };
        request
    };
    let mut peer = limiter(9, 8, 100, 100);
    let request = ask(&mut limiter(1, 0, 100, 100));
    let mut receiver = limiter(incarnation, 0, 100, 100);
    assert_eq!(ask(&mut receiver).sequence, request.sequence);
    let transfer = peer.on_request(Timestamp(10 * SECOND_US), &asker, &request).expect("an answer");
    assert_eq!(peer.on_request(Timestamp(10 * SECOND_US), &asker, &request), None);
    for _ in 0..2 {
        receiver.on_transfer(Timestamp(10 * SECOND_US), &giver, &transfer, &mut Vec::new());
    }
    assert_eq!(take_all(&mut receiver, 10 * SECOND_US), accepted * transfer.amount.0);
}

/// Guards against queueing requests that can't be admitted in time, and against refusing those that
/// can.
#[parameterized(in_time = { 1_000, 400, Some(Ok(())) }, too_late = { 1_000, 200, Some(Err(ErrorKind::RateExceeded)) }, above_burst = { 11_000, 900, Some(Err(ErrorKind::RateExceeded)) })]
fn waits_for_own_refill_only_if_in_time(
    cost: u64,
    wait_ms: u64,
    expected: Option<Result<(), ErrorKind>>,
) {
    let (mut limiter, mut out) = (limiter(1, 8, 10, 10), Vec::new());
    let (id, at, now) = (RequestId(1), Timestamp(0) + DurationMs(wait_ms), Timestamp(0));
    let outcome = match limiter.admit(now, id, &account(), MilliTokens(cost), at, &mut out) {
        Take::Taken => Some(Ok(())),
        Take::Refused(kind) => Some(Err(kind)),
        Take::Wait { .. } => {
            let wake = limiter.next_wake(now).expect("a waiting request");
            limiter.tick(wake, &mut out);
            (out == [LimitEffect::Admit(id)]).then_some(Ok(()))
        }
    };
    assert_eq!(outcome, expected);
}

fn holder(host: &str, incarnation: u64, port: u16) -> Holder {
    let address = ([127, 0, 0, 1], port).into();
    Holder { host: host.parse().expect("id"), incarnation: Incarnation(incarnation), address }
}

fn keeper(me: &Holder) -> ShareKeeper {
    let settings = ShareSettings { slots: 2, ..ShareSettings::default() };
    let mut keeper = ShareKeeper::new(me.clone(), settings, ChaCha8Rng::seed_from_u64(1));
    keeper.on_hosts(Timestamp(0), &[], &mut Vec::new());
    keeper
}

fn take_write(out: &mut Vec<ShareEffect>) -> Option<(AttemptId, Vec<ShareWrite>)> {
    out.drain(..).find_map(|effect| match effect {
        ShareEffect::Write { attempt, writes } => Some((attempt, writes)),
        _ => None,
    })
}

/// Guards against taking a slot over from a process that is only paused: before the lease and its
/// margin are over, only a newer process at the same address proves that the holder ended.
#[parameterized(same_address = { 7, 2, true }, other_address = { 8, 2, false }, older = { 7, 0, false })]
fn takes_over_only_from_a_process_that_has_ended(port: u16, incarnation: u64, takes: bool) {
    let me = holder("a", incarnation, port);
    let (mut keeper, mut out) = (keeper(&me), Vec::new());
    let row = ShareRow { holder: Some(holder("a", 1, 7)), counter: 4, attempt: AttemptId(9) };
    let seen =
        [0, 1].map(|n| SeenRow { slot: ShareSlot(n), version: RowVersion(5), row: row.clone() });
    keeper.on_rows(Timestamp(0), Some(&seen), &mut out);
    assert_eq!(take_write(&mut out).is_some(), takes);
    let wait = Timestamp(0) + LEASE + DurationMs(59_999);
    keeper.tick(wait, &mut out);
    assert!(take_write(&mut out).is_none());
    keeper.tick(wait + DurationMs(1), &mut out);
    assert_eq!(take_write(&mut out).is_some(), !takes);
}

/// Guards against losing a claim that took effect but whose answer was lost, against using a slot
/// before the grants of its previous holder have expired, and against releasing a slot in use.
#[test]
fn a_lost_answer_is_read_back_and_a_slot_stays_unused_between_holders() {
    let (mut keeper, mut out) = (keeper(&holder("a", 1, 7)), Vec::new());
    keeper.on_rows(Timestamp(SECOND_US), Some(&[]), &mut out);
    let (attempt, claim) = take_write(&mut out).expect("a claim");
    keeper.on_result(Timestamp(2 * SECOND_US), attempt, WriteResult::Unknown, &mut out);
    assert!(keeper.in_use().is_empty() && take_write(&mut out).is_none());
    let seen = |write: &ShareWrite| SeenRow {
        slot: write.slot,
        version: RowVersion(1),
        row: write.row.clone(),
    };
    let rows: Vec<SeenRow> = claim.iter().map(seen).collect();
    keeper.on_rows(Timestamp(3 * SECOND_US), Some(&rows), &mut out);
    let (from, until) = (Timestamp(4 * SECOND_US), Timestamp(SECOND_US) + LEASE);
    assert_eq!(keeper.in_use(), [0, 1].map(|n| HeldSlot { slot: ShareSlot(n), from, until }));
    let renewal = take_write(&mut out).expect("a renewal");
    assert_eq!(renewal.1.len(), 2);
    keeper.on_result(
        Timestamp(3 * SECOND_US),
        renewal.0,
        WriteResult::Applied(RowVersion(2)),
        &mut out,
    );
    keeper.stop(Timestamp(5 * SECOND_US), &mut out);
    assert!(keeper.in_use().is_empty() && take_write(&mut out).is_none());
    keeper.tick(Timestamp(6 * SECOND_US), &mut out);
    let (attempt, release) = take_write(&mut out).expect("a release");
    assert!(release.iter().all(|write| write.row.holder.is_none()) && !keeper.is_stopped());
    keeper.on_result(
        Timestamp(6 * SECOND_US),
        attempt,
        WriteResult::Applied(RowVersion(3)),
        &mut out,
    );
    assert!(keeper.is_stopped());
}
