//! Decisions of the emulated endpoint, driven without sockets and with a paused clock.

// The modules are parts of the binary and each test uses some of their functions.
#![allow(dead_code)]

#[path = "../src/emulator/endpoint/error.rs"]
mod error;
#[path = "../src/emulator/endpoint/log.rs"]
mod log;
#[path = "../src/emulator/endpoint/login.rs"]
mod login;
#[path = "../src/emulator/endpoint/member.rs"]
mod member;
#[path = "../src/emulator/endpoint/role.rs"]
mod role;
#[path = "../src/emulator/endpoint/slots.rs"]
mod slots;
#[path = "../src/emulator/endpoint/status.rs"]
mod status;
#[path = "../src/emulator/endpoint/store.rs"]
mod store;
#[path = "../src/emulator/endpoint/value.rs"]
mod value;

use std::time::Duration;

use login::{Phase, PhaseEvent};
use medlarstile::types::{EndpointId, Position, RequestId, Term, Timestamp};
use member::{Member, MemberSpec, Refusal};
use role::Role;
use slots::Slots;
use yare::parameterized;

/// Guards against a slot that starts its next job late, out of order, or for a canceled job.
#[parameterized(
    one_slot = { 1, None, &[(1, 100), (2, 300), (3, 600)] },
    two_slots = { 2, None, &[(1, 100), (2, 200), (3, 400)] },
    canceled_while_waiting = { 1, Some(2), &[(1, 100), (3, 400)] },
    canceled_while_running = { 1, Some(1), &[(2, 200), (3, 500)] },
)]
fn slots_run_jobs_in_order(limit: usize, canceled: Option<u64>, expected: &[(u64, u64)]) {
    let mut slots = Slots::new(limit);
    for job in 1..=3 {
        slots.submit(Timestamp(0), RequestId(job), Duration::from_micros(job * 100));
    }
    if let Some(job) = canceled {
        assert!(slots.cancel(Timestamp(0), RequestId(job)));
    }
    let mut finished = Vec::new();
    while let Some(due) = slots.next_due() {
        assert!(slots.take_finished(Timestamp(due.0 - 1)).is_empty());
        finished.extend(slots.take_finished(due).into_iter().map(|job| (job.0, due.0)));
    }
    assert_eq!(finished, expected);
}

/// Guards against a late timer that shifts the jobs after it.
#[test]
fn a_late_call_finishes_jobs_in_the_order_of_their_ends() {
    let mut slots = Slots::new(1);
    for job in 1..=3 {
        slots.submit(Timestamp(0), RequestId(job), Duration::from_micros(10));
    }
    assert_eq!(slots.take_finished(Timestamp(25)), [RequestId(1), RequestId(2)]);
    assert_eq!(slots.next_due(), Some(Timestamp(30)));
}

fn member(id: &str) -> Member {
    let spec = |id: &str| format!("{id}={id}:1={id}:2").parse::<MemberSpec>().expect("a member");
    let mut member = Member::new(id.parse().expect("an id"));
    let primary: EndpointId = "a".parse().expect("an id");
    member.set_members(vec![spec("a"), spec("b"), spec("c")], &primary);
    member
}

/// Copies the log of `primary` to `replica`, as the actors do.
fn replicate(primary: &mut Member, replica: &mut Member, id: &str) {
    let term = primary.term();
    let common = primary.on_hello(term, &replica.log().ends()).expect("accepted");
    replica.on_accept(term, common).expect("it follows this primary");
    let entries = primary.log().after(common).to_vec();
    replica.on_entries(term, entries, primary.confirmed()).expect("it follows this primary");
    primary.on_acknowledge(id.parse().expect("an id"), replica.log().last());
}

/// Guards against a position that is reported as confirmed and lost by a later promotion: an entry
/// of an earlier term counts only with an entry of the present term after it.
#[test]
fn an_entry_of_an_earlier_term_is_not_confirmed_alone() {
    let [mut a, mut b, mut c] = ["a", "b", "c"].map(member);
    a.append(Vec::new());
    let first = a.log().last();
    b.promote(Term(2)).expect("b is primary of term 2");
    a.promote(Term(3)).expect("a is primary of term 3");
    c.follow(Term(3), "a:1").expect("c follows a");
    let common = a.on_hello(Term(3), &c.log().ends()).expect("accepted");
    c.on_accept(Term(3), common).expect("c follows a");
    let old = a.log().entries()[..1].to_vec();
    c.on_entries(Term(3), old, a.confirmed()).expect("c follows a");
    a.on_acknowledge("c".parse().expect("an id"), c.log().last());
    assert_eq!(c.log().last(), first);
    // A majority holds the entry, yet b has a higher last term than c and may win next.
    assert!(b.log().last() > c.log().last());
    assert_eq!(a.confirmed(), Position::default());
    replicate(&mut a, &mut c, "c");
    assert_eq!(a.confirmed(), a.log().last());
}

/// Guards against a diverged log that keeps an entry of the former primary.
#[test]
fn a_former_primary_rewinds_to_the_common_position() {
    let [mut a, mut b, _] = ["a", "b", "c"].map(member);
    a.append(Vec::new());
    replicate(&mut a, &mut b, "b");
    a.append(Vec::new());
    b.promote(Term(2)).expect("b is primary");
    b.append(Vec::new());
    a.follow(Term(2), "b:1").expect("a follows b");
    assert_eq!(a.status().to_string(), "term=1 role=replica position=1:2 confirmed=1:1 fenced=2");
    replicate(&mut b, &mut a, "a");
    assert_eq!(a.log().entries(), b.log().entries());
    assert_eq!(a.status().to_string(), "term=2 role=replica position=2:3 confirmed=1:1 fenced=2");
}

/// Guards against an order that has another effect when it is repeated, as hosts do.
#[test]
fn repeated_orders_change_nothing() {
    let mut c = member("c");
    let first = c.follow(Term(2), "b:1").expect("obeyed");
    assert!(!first.is_empty());
    assert!(c.follow(Term(2), "b:1").expect("obeyed").is_empty());
    assert!(c.fence(Term(2)).expect("obeyed").is_empty());
    assert_eq!((c.role(), c.leader().map(|(term, _)| term)), (Role::Replica, Some(Term(2))));
    assert_eq!(c.promote(Term(2)), Err(Refusal::Contradiction(Term(2))));
    assert_eq!(c.fence(Term(1)), Err(Refusal::BelowFence(Term(1), Term(2))));
}

/// Guards against replication from a primary below the fence.
#[test]
fn a_fenced_replica_takes_no_entries() {
    let [mut a, mut b] = ["a", "b"].map(member);
    a.append(Vec::new());
    replicate(&mut a, &mut b, "b");
    a.append(Vec::new());
    b.fence(Term(2)).expect("obeyed");
    let entries = a.log().after(b.log().last()).to_vec();
    assert_eq!(b.on_entries(Term(1), entries, a.confirmed()), None);
    assert_eq!(b.on_accept(Term(1), Position::default()), None);
    assert_eq!(b.log().last(), Position::new(Term(1), 1));
}

/// Guards against a login chart that cannot be left, or that is ready without a password.
#[test]
fn a_login_passes_every_phase() {
    let mut phase = login::start();
    let events = [
        (PhaseEvent::PasswordMatches, Phase::Negotiating),
        (PhaseEvent::Negotiated, Phase::Startup),
        (PhaseEvent::Started, Phase::Admission),
        (PhaseEvent::Thawed, Phase::Admission),
        (PhaseEvent::Settled, Phase::Admission),
        (PhaseEvent::Admitted, Phase::Password),
        (PhaseEvent::PasswordMatches, Phase::Settling),
        (PhaseEvent::Settled, Phase::Ready),
        (PhaseEvent::Close, Phase::Closed),
    ];
    for (event, expected) in events {
        phase.fire(event, |guard| match guard {});
        assert_eq!(phase.state(), expected);
    }
    assert!(phase.is_done());
}
