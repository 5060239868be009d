//! Failover of a group, step by step on a simulated clock.

use medlarstile::core::group::Role;
use medlarstile::core::proxy::failover::{
    Claim, ClaimError, Failover, FailoverEffect, FailoverState, GroupSnapshot, PromoteAnswer,
};
use medlarstile::core::proxy::job::{Order, StatusReport};
use medlarstile::core::proxy::lease::{Evidence, LeadProof};
use medlarstile::types::{
    AttemptId, DurationMs, EndpointId, HostId, Position, RowVersion, StoreEra, Term, Timestamp,
};
use yare::parameterized;

fn host(name: &str) -> HostId {
    name.parse().expect("a host")
}

fn endpoint(name: &str) -> EndpointId {
    name.parse().expect("an endpoint")
}

fn snapshot(sync_replicas: u32) -> GroupSnapshot {
    let candidates = vec![endpoint("b"), endpoint("c")];
    GroupSnapshot {
        candidates,
        evacuated: Vec::new(),
        leaving: None,
        staying: None,
        sync_replicas,
        replicas: 2,
        term: Term(1),
    }
}

fn status(role: Role, term: u64, index: u64) -> StatusReport {
    let received = Position::new(Term(1), index);
    StatusReport { role, term: Term(term), received, lag_ms: DurationMs(0) }
}

struct Rig {
    failover: Failover,
    now: Timestamp,
    snapshot: GroupSnapshot,
    effects_seen: Vec<FailoverEffect>,
}

impl Rig {
    fn new(snapshot: GroupSnapshot) -> Self {
        let failover = Failover::new(host("h1"), LeadProof::Transaction, 0);
        Self { failover, now: Timestamp(1_000_000), snapshot, effects_seen: Vec::new() }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(20) {
            self.now += DurationMs(20);
            let effects = self.failover.tick(self.now, true, &self.snapshot, &Evidence::default());
            self.effects_seen.extend(effects);
        }
    }

    fn status(&mut self, name: &str, status: StatusReport) {
        let effects = self.failover.on_status(self.now, &endpoint(name), status);
        self.effects_seen.extend(effects);
    }

    fn claimed(&mut self, version: u64) {
        let effects = self.failover.on_claimed(self.now, self.now, Ok(RowVersion(version)));
        self.effects_seen.extend(effects);
    }

    fn promotions(&self) -> Vec<(EndpointId, RowVersion)> {
        let promotions = self.effects_seen.iter().filter_map(|effect| match effect {
            FailoverEffect::Promote(endpoint, token) => Some((endpoint.clone(), *token)),
            _ => None,
        });
        promotions.collect()
    }
}

/// Guards against the loss of commits that only one replica has received.
#[test]
fn the_replica_with_the_highest_position_is_promoted() {
    let mut rig = Rig::new(snapshot(0));
    rig.advance(20);
    rig.claimed(7);
    rig.advance(20);
    rig.status("b", status(Role::Replica, 1, 10));
    rig.status("c", status(Role::Replica, 1, 12));
    rig.advance(20);
    assert_eq!(rig.promotions(), [(endpoint("c"), RowVersion(7))]);
}

/// Guards against the return of rolled-back commits: an endpoint that has missed the last promotion
/// is not promoted, however high its position.
#[parameterized(
    has_last_term = { 2, 1 },
    missed_last_term = { 1, 0 },
)]
fn an_endpoint_of_an_older_term_is_not_promoted(term: u64, promotions: usize) {
    let mut rig = Rig::new(snapshot(0));
    let last = Claim {
        holder: host("h2"),
        attempt: AttemptId(9),
        leader: Some(endpoint("a")),
        chosen: None,
        term: Term(2),
    };
    rig.failover.on_row(rig.now, rig.now, RowVersion(5), Some(&last));
    rig.advance(3_320);
    rig.claimed(7);
    rig.advance(20);
    rig.status("b", status(Role::Replica, term, 99));
    rig.advance(1_000);
    assert_eq!(rig.promotions().len(), promotions);
}

/// Guards against the loss of an acknowledged commit that only one replica has received: with one
/// synchronous replica, both replicas have to answer.
#[parameterized(
    asynchronous = { 0, 1 },
    synchronous = { 1, 0 },
)]
fn promotion_waits_for_enough_replicas(sync_replicas: u32, promotions: usize) {
    let mut rig = Rig::new(snapshot(sync_replicas));
    rig.advance(20);
    rig.claimed(7);
    rig.advance(20);
    rig.status("b", status(Role::Replica, 1, 10));
    rig.advance(400);
    assert_eq!(rig.promotions().len(), promotions);
    let pauses = rig
        .effects_seen
        .iter()
        .any(|effect| matches!(effect, FailoverEffect::Order(_, Order::Pause(_))));
    assert_eq!(pauses, sync_replicas > 0);
}

/// Guards against two hosts that promote at the same time or in turn: two hosts undid each other's
/// promotions every 0.7 s.
#[parameterized(
    under_way = { None },
    finished = { Some("b") },
)]
fn another_hosts_claim_delays_this_hosts_claim(leader: Option<&str>) {
    let mut rig = Rig::new(snapshot(0));
    let leader = leader.map(endpoint);
    let other =
        Claim { holder: host("h2"), attempt: AttemptId(9), leader, chosen: None, term: Term(0) };
    rig.failover.on_row(rig.now, rig.now, RowVersion(5), Some(&other));
    rig.advance(3_000);
    assert!(rig.effects_seen.is_empty(), "{:?}", rig.effects_seen);
    rig.advance(400);
    assert_eq!(rig.failover.state(), FailoverState::Claiming);
}

/// Guards against a host that continues its failover after another host has claimed the group.
#[test]
fn a_newer_claim_ends_this_hosts_attempt() {
    let mut rig = Rig::new(snapshot(0));
    rig.advance(20);
    rig.claimed(7);
    let other = Claim {
        holder: host("h2"),
        attempt: AttemptId(9),
        leader: None,
        chosen: None,
        term: Term(0),
    };
    rig.failover.on_row(rig.now, rig.now, RowVersion(8), Some(&other));
    rig.status("b", status(Role::Replica, 1, 10));
    rig.advance(400);
    assert!(rig.promotions().is_empty());
}

/// Guards against a stop after the store's answer was lost: reading the row shows the claim.
#[test]
fn a_claim_without_an_answer_is_recognised() {
    let mut rig = Rig::new(snapshot(0));
    rig.advance(20);
    let claim = rig.effects_seen.iter().find_map(|effect| match effect {
        FailoverEffect::Claim(_, claim) => Some(claim.clone()),
        _ => None,
    });
    let effects = rig.failover.on_claimed(rig.now, rig.now, Err(ClaimError::Unknown));
    assert!(effects.is_empty());
    rig.failover.on_row(rig.now, rig.now, RowVersion(9), claim.as_ref());
    assert_eq!(rig.failover.state(), FailoverState::Surveying);
}

/// Guards against two promotions under one token: after a promotion without effect, the next
/// attempt makes a new claim, which has a higher token.
#[parameterized(
    refused = { PromoteAnswer::Refused },
    no_answer = { PromoteAnswer::Unknown },
    unavailable = { PromoteAnswer::Unavailable },
)]
fn the_next_attempt_has_a_new_claim(answer: PromoteAnswer) {
    let mut rig = Rig::new(snapshot(0));
    rig.advance(20);
    rig.claimed(7);
    rig.status("b", status(Role::Replica, 1, 10));
    rig.status("c", status(Role::Replica, 1, 10));
    rig.advance(20);
    let effects = rig.failover.on_promoted(rig.now, answer);
    rig.effects_seen.extend(effects);
    rig.advance(2_500);
    let claims =
        rig.effects_seen.iter().filter(|effect| matches!(effect, FailoverEffect::Claim(..)));
    assert!(claims.count() >= 2);
    assert_eq!(rig.promotions().len(), 1, "no second call under the first token");
}

/// Guards against the loss of commits in a planned change of the primary: the leaving primary is
/// demoted first, and a replica is promoted only when it has reached its final position.
#[test]
fn a_leaving_primary_is_replaced_without_loss() {
    let mut snapshot = snapshot(0);
    snapshot.leaving = Some(endpoint("a"));
    let mut rig = Rig::new(snapshot);
    rig.advance(20);
    rig.claimed(7);
    rig.advance(20);
    assert!(rig
        .effects_seen
        .contains(&FailoverEffect::Order(endpoint("a"), Order::Demote(Term(2)))));
    rig.status("a", status(Role::Replica, 1, 20));
    rig.status("b", status(Role::Replica, 1, 18));
    rig.status("c", status(Role::Replica, 1, 19));
    rig.advance(100);
    assert!(rig.promotions().is_empty());
    rig.status("c", status(Role::Replica, 1, 20));
    rig.advance(20);
    assert_eq!(rig.promotions(), [(endpoint("c"), RowVersion(7))]);
}

/// Version of a row in the era before a restore of the store, and in the one after it.
const ERAS: [StoreEra; 2] = [StoreEra(1), StoreEra(2)];

fn version(era: StoreEra, number: u64) -> RowVersion {
    RowVersion::in_era(era, number).expect("a version")
}

/// The row with which a host has confirmed a primary.
fn finished(holder: &str, leader: &str, term: u64) -> Claim {
    Claim {
        holder: host(holder),
        attempt: AttemptId(9),
        leader: Some(endpoint(leader)),
        chosen: None,
        term: Term(term),
    }
}

/// Guards against a group that keeps its failed primary after a restore of the store, because each
/// claim expects a version that the store no longer has, and against promotions without a claim
/// in the store, or under a token below one that was used.
#[parameterized(
    row_is_absent = { 0, None, false },
    row_is_older = { 40, Some(finished("h2", "a", 1)), false },
    row_is_an_earlier_term = { 40, Some(finished("h2", "a", 0)), false },
    row_is_as_known = { 60, None, true },
)]
fn a_failover_goes_on_after_a_restore(number: u64, read: Option<Claim>, is_kept: bool) {
    let mut rig = Rig::new(snapshot(0));
    let former = finished("h2", "a", 1);
    rig.failover.on_row(rig.now, rig.now, version(ERAS[0], 50), Some(&former));
    rig.advance(3_400);
    let effects = rig.failover.on_claimed(rig.now, rig.now, Ok(version(ERAS[0], 97)));
    rig.effects_seen.extend(effects);
    assert_eq!(rig.failover.state(), FailoverState::Surveying);
    let own = rig.failover.row().1.cloned();
    let read = if is_kept { own } else { read };
    rig.failover.on_row(rig.now, rig.now, version(ERAS[1], number), read.as_ref());
    rig.effects_seen.clear();
    let token = if is_kept { version(ERAS[1], number) } else { version(ERAS[1], number + 1) };
    if !is_kept {
        rig.advance(500);
        let expected = rig.effects_seen.iter().find_map(|effect| match effect {
            FailoverEffect::Claim(expected, _) => Some(*expected),
            _ => None,
        });
        assert_eq!(expected, Some(version(ERAS[1], number)));
        let effects = rig.failover.on_claimed(rig.now, rig.now, Ok(token));
        rig.effects_seen.extend(effects);
    }
    rig.status("b", status(Role::Replica, 1, 10));
    rig.status("c", status(Role::Replica, 1, 11));
    rig.advance(20);
    assert_eq!(rig.promotions(), [(endpoint("c"), token)]);
}

/// Guards against the promotion of an endpoint that missed an earlier one, by a host that starts
/// after a restore of the store has lost the term of that promotion.
#[parameterized(
    absent = { 0, None, true },
    earlier_term = { 40, Some(finished("h2", "a", 2)), true },
    own_claim_before_it_was_finished = { 40, Some(Claim { leader: None, ..finished("h2", "b", 3) }), true },
    the_same = { 40, Some(finished("h2", "b", 3)), false },
    a_later_claim = { 40, Some(finished("h3", "c", 4)), false },
)]
fn the_last_promotion_is_written_again(number: u64, read: Option<Claim>, is_written: bool) {
    let mut rig = Rig::new(snapshot(0));
    let known = finished("h2", "b", 3);
    rig.failover.on_row(rig.now, rig.now, version(ERAS[0], 97), Some(&known));
    rig.failover.on_row(rig.now, rig.now, version(ERAS[1], number), read.as_ref());
    let writes = |rig: &mut Rig| {
        rig.now += DurationMs(20);
        rig.failover.tick(rig.now, false, &rig.snapshot, &Evidence::default())
    };
    let expected = FailoverEffect::Claim(version(ERAS[1], number), known.clone());
    assert_eq!(writes(&mut rig), if is_written { vec![expected] } else { Vec::new() });
    rig.failover.on_row(rig.now, rig.now, version(ERAS[1], 98), Some(&known));
    assert_eq!(writes(&mut rig), []);
}

/// Guards against the loss of what an evacuated primary has acknowledged and goes on holding, when no
/// replica catches up in the time of one attempt.
#[parameterized(evacuated = { true, 0 }, shuts_down = { false, 1 })]
fn the_log_of_an_evacuated_primary_is_kept(is_evacuated: bool, promotions: usize) {
    let mut snapshot = snapshot(0);
    snapshot.leaving = Some(endpoint("a"));
    if is_evacuated {
        snapshot.evacuated = vec![endpoint("a")];
    }
    let mut rig = Rig::new(snapshot);
    rig.advance(20);
    rig.claimed(7);
    rig.advance(20);
    rig.status("a", status(Role::Replica, 1, 20));
    for version in [8, 9] {
        rig.status("b", status(Role::Replica, 1, 18));
        rig.status("c", status(Role::Replica, 1, 19));
        rig.advance(3_500);
        rig.claimed(version);
    }
    assert_eq!(rig.promotions().len(), promotions);
    rig.status("c", status(Role::Replica, 1, 20));
    rig.status("b", status(Role::Replica, 1, 18));
    rig.advance(500);
    assert_eq!(rig.promotions().last().map(|(chosen, _)| chosen.as_str()), Some("c"));
}
