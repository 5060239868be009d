//! Lease of the lead: when a host may use a primary, and when a failover may replace one.

mod proxy_rig;

use std::collections::BTreeSet;

use medlarstile::core::proxy::failover::Claim;
use medlarstile::core::proxy::home::HomeCandidate;
use medlarstile::core::proxy::lease::{
    Confirmations, Echo, Evidence, Knowledge, LeadProof, StoreRead, CONFIRMATION_WAIT, LEASE,
    LEASE_WAIT, STATEMENT_LIMIT,
};
use medlarstile::core::proxy::statement::{Access, Statement};
use medlarstile::core::proxy::{Answer, ProxyEffect};
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::ErrorKind;
use medlarstile::types::{AttemptId, DurationMs, HostId, MilliCores, RowVersion, Term, Timestamp};
use proxy_rig::{id, Rig};
use yare::parameterized;

const START: Timestamp = Timestamp(50_000_000);

fn read_at(sent_at: Timestamp) -> StoreRead {
    StoreRead { sent_at, received_at: sent_at, store_ms: None }
}

/// A host that may use its primary.
fn leased_rig() -> Rig {
    let mut rig = Rig::with_proof(LeadProof::Lease);
    let other = HomeCandidate { host: id("h2"), processor: MilliCores(250) };
    rig.core.set_hosts(rig.now, vec![other], |_| true);
    rig.core.on_listed();
    rig.core.on_store_read(rig.now, read_at(rig.now));
    rig.pass(20);
    rig
}

fn claim() -> Claim {
    let (holder, attempt) = (id("h2"), AttemptId(9));
    Claim { holder, attempt, leader: None, chosen: None, term: Term(0) }
}

fn learn_claim(rig: &mut Rig) {
    rig.core.on_claim_row(rig.now, &id("db"), RowVersion(7), Some(&claim()));
    rig.settle();
}

fn outcome(rig: &Rig) -> Option<ErrorKind> {
    match &rig.last_answer().1 {
        Answer::Refused(error) => Some(error.kind),
        _ => None,
    }
}

/// Guards against the acknowledgement of a write that an old primary ran after its replacement: the
/// answer counts while the lease lasts, and shortly after a claim has become known.
#[parameterized(
    in_time = { false, 1_000, None },
    after_the_lease = { false, 1_300, Some(ErrorKind::OutcomeUnknown) },
    soon_after_a_claim = { true, 60, None },
    long_after_a_claim = { true, 200, Some(ErrorKind::OutcomeUnknown) },
)]
fn an_answer_counts_while_the_lead_is_proven(claimed: bool, ms: u64, expected: Option<ErrorKind>) {
    let mut rig = leased_rig();
    let session = rig.session(1, "plans");
    rig.send(session, Statement::Data(Access::Write));
    let (connection, _, job) = rig.next_job();
    if claimed {
        learn_claim(&mut rig);
    }
    // The time passes without a tick, which would end the request at its own limit.
    rig.now += DurationMs(ms);
    rig.succeed(connection, &job, TransactionState::Idle);
    assert_eq!(outcome(&rig), expected);
}

/// Guards against requests that are sent to a primary which may have been replaced, or that wait for
/// it although it will not be usable soon.
#[parameterized(
    leased = { 0, false, 1, None },
    lease_is_over = { 1_600, false, 0, Some(ErrorKind::NoPrimary) },
    claim_is_known = { 0, true, 0, None },
)]
fn a_write_needs_the_lease(ms: u64, claimed: bool, sent: usize, expected: Option<ErrorKind>) {
    let mut rig = leased_rig();
    rig.pass(ms);
    if claimed {
        learn_claim(&mut rig);
    }
    let session = rig.session(1, "orders");
    rig.send(session, Statement::Data(Access::Write));
    rig.pass(40);
    assert_eq!(rig.jobs.len(), sent);
    assert_eq!(rig.answers.last().and_then(|_| outcome(&rig)), expected);
}

/// Guards against callers that a host accepts before its first lease, and has to refuse, while other
/// hosts can serve them; and against a host that accepts none because no lease begins.
#[parameterized(
    lease_begins = { 100, true, true },
    lease_may_begin = { 1_400, false, false },
    lease_does_not_begin = { 1_600, false, true },
)]
fn callers_are_accepted_with_the_first_lease(ms: u64, is_granted: bool, expected: bool) {
    let mut rig = Rig::with_proof(LeadProof::Lease);
    rig.pass(ms);
    if is_granted {
        assert!(!rig.core.is_ready());
        rig.core.on_listed();
        rig.core.on_store_read(rig.now, read_at(rig.now));
        rig.pass(20);
    }
    assert_eq!(rig.core.is_ready(), expected);
}

/// Guards against requests that a host refuses after a pause of its process, in which its lease has
/// ended, although a new one begins a moment later.
#[test]
fn requests_wait_for_a_lease_after_a_pause() {
    let mut rig = leased_rig();
    let session = rig.session(1, "orders");
    rig.now += DurationMs(5_000);
    rig.send(session, Statement::Data(Access::Write));
    rig.pass(60);
    assert_eq!(rig.answers, []);
    rig.core.on_store_read(rig.now, read_at(rig.now));
    rig.settle();
    assert_eq!(rig.jobs.len(), 1);
}

/// Guards against a commit that is sent to an old primary: the transaction is rolled back, and the
/// caller is told that nothing of it is kept.
#[test]
fn a_commit_is_not_sent_after_a_claim() {
    let mut rig = leased_rig();
    let session = rig.session(1, "orders");
    rig.send(session, Statement::Begin { read_only: false });
    rig.send(session, Statement::Data(Access::Write));
    let (connection, _, job) = rig.next_job();
    rig.succeed(connection, &job, TransactionState::Open);
    learn_claim(&mut rig);
    rig.send(session, Statement::Commit);
    assert_eq!(outcome(&rig), Some(ErrorKind::TransactionLost));
    assert!(rig.jobs.is_empty());
}

/// Guards against a host that goes on after another host's claim without telling it that it stops.
#[test]
fn a_claim_is_confirmed_once() {
    let mut rig = leased_rig();
    learn_claim(&mut rig);
    learn_claim(&mut rig);
    let confirmed = ProxyEffect::ConfirmClaim(id("h2"), id("db"), RowVersion(7));
    let count = rig.other.iter().filter(|effect| **effect == confirmed).count();
    assert_eq!(count, 1);
}

/// Guards against a row that is lost because it is read before the configuration: the host would
/// take an old primary for the only one there ever was.
#[test]
fn a_row_is_kept_until_its_group_is_configured() {
    let mut rig = leased_rig();
    let other = Claim { leader: Some(id("b")), ..claim() };
    rig.core.on_claim_row(rig.now, &id("later"), RowVersion(5), Some(&other));
    let mut catalog = proxy_rig::catalog(2);
    let config = catalog.groups.values().next().expect("a group").clone();
    catalog.groups.insert(id("later"), config);
    rig.core.set_catalog(rig.now, catalog);
    let later = rig.core.groups().find(|(group, _)| group.as_str() == "later").expect("a group");
    assert!(later.1.failover.excludes(&id("a")));
}

fn others(count: usize) -> BTreeSet<HostId> {
    (2..2 + count).map(|host| id(&format!("h{host}"))).collect()
}

/// A host among five that has read the store at [`START`].
fn evidence() -> Evidence {
    let mut evidence = Evidence::default();
    evidence.set_hosts(others(4));
    evidence.on_listed();
    evidence.on_store_read(read_at(START));
    evidence
}

/// What a host states `ms` after [`START`] in answer to a message of that time.
fn statement(ms: u64, newest: u64, complete: u64, age_ms: u64) -> Knowledge {
    let at = START + DurationMs(ms);
    let (newest, complete) = (RowVersion(newest), RowVersion(complete));
    let echo = Some(Echo { sent_at: at, held_us: 0 });
    Knowledge { sent_at: at, echo, newest, complete, age_us: DurationMs(age_ms).as_us() }
}

/// Guards against a lease from statements of too few hosts, of hosts that know of a claim, or of no
/// definite time; and against hosts without the store that stop although others vouch for them.
#[parameterized(
    another_host_has_the_store = { 1, statement(900, 0, 0, 100), 800 },
    most_state_it = { 2, statement(900, 0, 0, 20_000), 900 },
    too_few_state_it = { 1, statement(900, 0, 0, 20_000), 0 },
    they_know_of_a_claim = { 3, statement(900, 5, 0, 20_000), 0 },
    they_have_read_more = { 3, statement(900, 5, 5, 100), 0 },
    no_echo = { 3, Knowledge { echo: None, ..statement(900, 0, 0, 100) }, 0 },
)]
fn other_hosts_extend_the_lease(count: usize, knowledge: Knowledge, extended_ms: u64) {
    let mut evidence = evidence();
    let now = START + DurationMs(1_000);
    for host in others(count) {
        evidence.on_knowledge(now, &host, knowledge);
    }
    let end = evidence.lease_end(now).expect("a lease");
    assert_eq!(end, START + DurationMs(extended_ms) + LEASE);
}

/// Guards against a lease from before the moment at which the store answered a long call, and
/// against one that is counted from the answer's arrival.
#[parameterized(
    clock_is_known = { Some(7_450), 449 },
    clock_is_not_sent = { None, 0 },
    clock_has_jumped = { Some(9_000), 0 },
)]
fn the_stores_clock_dates_an_answer(store_ms: Option<u64>, expected_ms: u64) {
    let mut evidence = Evidence::default();
    let first = StoreRead { sent_at: START, received_at: START, store_ms: Some(7_000) };
    evidence.on_store_read(first);
    let received_at = START + DurationMs(500);
    evidence.on_store_read(StoreRead { sent_at: START, received_at, store_ms });
    let at = evidence.complete_at().expect("an answer");
    assert_eq!(at.ms_since(START).0, expected_ms.saturating_sub(1));
}

/// Guards against a promotion while another host still uses the old primary.
#[parameterized(
    all_confirmed = { 4, true, CONFIRMATION_WAIT },
    list_may_be_old = { 4, false, LEASE_WAIT },
    most_confirmed = { 2, true, LEASE_WAIT },
    few_confirmed = { 1, true, DurationMs(STATEMENT_LIMIT.0 + LEASE_WAIT.0) },
)]
fn a_failover_waits_for_the_leases(confirmed: usize, is_list_current: bool, wait: DurationMs) {
    let (others, mut confirmations) = (others(4), Confirmations::default());
    for host in others.iter().take(confirmed) {
        confirmations.insert(START, host.clone(), &others);
    }
    let complete_at = is_list_current.then_some(START);
    let mut are_over = |ms| {
        let now = START + DurationMs(ms);
        confirmations.are_leases_over(now, START, complete_at, &others)
    };
    assert!(!are_over(wait.0 - 1));
    assert!(are_over(wait.0));
}

/// Guards against a host that takes the primary from all others as soon as a partition has healed,
/// because it has not heard from the primary for a while.
#[parameterized(
    just_healed = { 100, 0 },
    primary_stays_silent = { 1_200, 1 },
)]
fn a_host_that_was_cut_off_does_not_claim_at_once(ms: u64, claims: usize) {
    let mut rig = leased_rig();
    rig.unresponsive.push(id("a"));
    rig.pass(5_000);
    let healed = rig.now;
    while rig.now < healed + DurationMs(ms) {
        rig.core.on_store_read(rig.now, read_at(rig.now));
        let (newest, complete) = (RowVersion(0), RowVersion(0));
        let echo = None;
        let knowledge = Knowledge { sent_at: rig.now, echo, newest, complete, age_us: 0 };
        rig.core.on_knowledge(rig.now, &id("h2"), knowledge);
        rig.pass(20);
    }
    let claimed = rig.other.iter().filter(|effect| matches!(effect, ProxyEffect::Claim(..)));
    assert_eq!(claimed.count(), claims);
}
