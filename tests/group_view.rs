//! Rules of the group view, each tested alone.

use medlarstile::core::group::{
    Durability, Eligible, EndpointStatus, Floor, Freshness, GroupView, MemberSpec, UnservedReason,
    WaitFor,
};
use medlarstile::core::promotion::{GroupRecord, Phase};
use medlarstile::types::{AttemptId, DurationMs, EndpointId, Position, Term, Timestamp};
use yare::parameterized;

const FLOOR: Floor = Floor::Position(Position { term: Term(0), index: 0 });

fn id(text: &str) -> EndpointId {
    text.parse().expect("an identifier")
}

fn position(text: &str) -> Position {
    text.parse().expect("a position")
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn view() -> GroupView {
    let domain = |text: &str| text.parse().expect("an identifier");
    let member = |(e, d)| MemberSpec { endpoint: id(e), failure_domain: domain(d) };
    let members = [("a", "x"), ("b", "y"), ("c", "z")].map(member).to_vec();
    GroupView::new("g".parse().expect("an identifier"), members).with_host_domain(domain("z"))
}

/// Passes a status to `view` at `ms`. `sent` is the send time in ms of the probe that it answers,
/// if any.
fn report_status(view: &mut GroupView, ms: u64, endpoint: &str, status: &str, sent: Option<u64>) {
    let status = status.parse().expect("a status");
    view.on_status(at(ms), &id(endpoint), status, sent.map(at));
}

fn record(term: u64, primary: &str, start: &str, phase: Phase) -> GroupRecord {
    let (attempt, start) = (AttemptId(term), position(start));
    GroupRecord { term: Term(term), primary: Some(id(primary)), start, attempt, phase }
}

const PRIMARY: &str = "term=3 role=primary position=3:10 confirmed=3:8 fenced=3";
const REPLICA: &str = "term=3 role=replica position=3:9 confirmed=3:7 fenced=3";

fn connected_group() -> GroupView {
    let mut view = view();
    report_status(&mut view, 0, "a", PRIMARY, None);
    report_status(&mut view, 0, "b", REPLICA, None);
    report_status(&mut view, 0, "c", REPLICA, None);
    view
}

/// Guards against a status that changes when it is written as text and parsed.
#[parameterized(
    plain = { PRIMARY },
    replica = { "term=0 role=replica position=0:0 confirmed=0:0 fenced=18446744073709551615" },
)]
fn statuses_read_back(text: &str) {
    assert_eq!(text.parse::<EndpointStatus>().expect("a status").to_string(), text);
}

/// Guards against refusing endpoints that report more fields than this version knows.
#[test]
fn unknown_status_fields_are_skipped() {
    let more = format!("build=9 {PRIMARY} lag_ms=4");
    assert_eq!(more.parse::<EndpointStatus>(), PRIMARY.parse());
}

/// Guards against accepting a malformed status, and against an unspecific message.
#[parameterized(
    empty = { "", "status has no field term" },
    missing = { "term=3 role=primary position=3:1 confirmed=3:1", "status has no field fenced" },
    word = { "term=3 primary", "status field \"primary\" is not written NAME=VALUE" },
    twice = { "term=3 term=4", "status field term occurs twice" },
    role = { "term=3 role=Primary position=3:1 confirmed=3:1 fenced=3", "status field role has the value \"Primary\", which cannot be read" },
    negative = { "term=-3 role=primary position=3:1 confirmed=3:1 fenced=3", "status field term has the value \"-3\", which cannot be read" },
)]
fn refuses_statuses(text: &str, message: &str) {
    assert_eq!(text.parse::<EndpointStatus>().expect_err("malformed").to_string(), message);
}

/// Guards against a primary of an outdated term, and against one that is fenced and so can accept
/// no write.
#[parameterized(
    reported = { PRIMARY, REPLICA, Some("a") },
    fenced = { "term=3 role=primary position=3:9 confirmed=3:8 fenced=4", REPLICA, None },
    replaced = { PRIMARY, "term=4 role=primary position=4:9 confirmed=3:8 fenced=4", Some("b") },
    outdated = { PRIMARY, "term=4 role=replica position=3:9 confirmed=3:8 fenced=4", None },
)]
fn the_primary_is_the_one_of_the_highest_term(a: &str, b: &str, primary: Option<&str>) {
    let mut view = view();
    report_status(&mut view, 0, "a", a, None);
    report_status(&mut view, 0, "b", b, None);
    assert_eq!(view.primary(), primary.map(id).as_ref());
}

/// Guards against a late status from a closed connection that replaces a newer one, sent after the
/// endpoint rewound its log.
#[test]
fn a_status_of_a_lower_term_is_late() {
    let mut view = connected_group();
    report_status(
        &mut view,
        1,
        "b",
        "term=4 role=replica position=3:5 confirmed=3:5 fenced=4",
        None,
    );
    report_status(&mut view, 2, "b", REPLICA, None);
    assert_eq!(view.status(&id("b")).map(|status| status.term), Some(Term(4)));
}

/// Guards against acknowledging a write that a later promotion may drop.
#[parameterized(
    confirmed = { "3:8", Durability::Durable },
    not_yet = { "3:9", Durability::Pending },
)]
fn durability_within_a_term(written: &str, expected: Durability) {
    assert_eq!(connected_group().durability(position(written)), expected);
}

/// Guards against acknowledging a write that a later promotion may drop (Raft, figure 8), and
/// against a late `Lost`. The promotion starts at 3:9: an entry of the old term that is part of the
/// new log is durable only once an entry of the new term is confirmed.
#[parameterized(
    was_confirmed = { "3:8", "3:9", Durability::Durable },
    kept = { "3:9", "3:9", Durability::Pending },
    kept_and_confirmed = { "3:9", "4:10", Durability::Durable },
    dropped = { "3:10", "3:9", Durability::Lost },
    dropped_despite_new_entries = { "3:10", "4:10", Durability::Lost },
)]
fn durability_after_a_promotion(written: &str, confirmed: &str, expected: Durability) {
    let mut view = connected_group();
    view.on_record(at(1), &record(4, "b", "3:9", Phase::Promoted));
    let status = format!("term=4 role=primary position=4:10 confirmed={confirmed} fenced=4");
    report_status(&mut view, 2, "b", &status, None);
    assert_eq!(view.durability(position(written)), expected);
    assert_eq!(view.read_release(position(written)), expected);
}

/// Guards against calling a write lost or durable while the start of the new term is unknown, or
/// while the promotion is not recorded.
#[parameterized(
    status_only = { None, Durability::Pending },
    fencing = { Some(Phase::Fencing), Durability::Pending },
    promoted = { Some(Phase::Promoted), Durability::Lost },
)]
fn durability_needs_the_record(phase: Option<Phase>, expected: Durability) {
    let mut view = connected_group();
    report_status(
        &mut view,
        1,
        "b",
        "term=4 role=primary position=4:10 confirmed=3:8 fenced=4",
        None,
    );
    if let Some(phase) = phase {
        view.on_record(at(2), &record(4, "b", "3:9", phase));
    }
    assert_eq!(view.durability(position("3:10")), expected);
}

/// Guards against reads that are served below the floor or from another term, or in another failure
/// domain although a replica in the host's own may serve them.
#[parameterized(
    all = { REPLICA, "3:9", &["c", "b"], Some("a") },
    floor = { REPLICA, "3:10", &[], Some("a") },
    other_term = { "term=2 role=replica position=2:99 confirmed=2:9 fenced=3", "2:5", &["c"], Some("a") },
)]
fn eligible_endpoints(b: &str, floor: &str, replicas: &[&str], primary: Option<&str>) {
    let mut view = view();
    report_status(&mut view, 0, "a", PRIMARY, None);
    report_status(&mut view, 0, "b", b, None);
    report_status(&mut view, 0, "c", REPLICA, None);
    let replicas = replicas.iter().map(|text| id(text)).collect();
    let expected = Eligible::Serve { replicas, primary: primary.map(id) };
    let floor = Floor::Position(position(floor));
    assert_eq!(view.eligible(at(1), &floor, Freshness::Session), expected);
}

/// Guards against a wrong reason why no endpoint may serve, which decides between waiting and an
/// error.
#[parameterized(
    nobody = { &[], FLOOR, Freshness::Session, UnservedReason::NoEndpoint },
    behind = { &["a", "b"], Floor::Position(position("3:11")), Freshness::Session, UnservedReason::Wait(WaitFor::Position(position("3:11"))) },
    new_term = { &["a", "b"], Floor::Position(position("4:1")), Freshness::Session, UnservedReason::Wait(WaitFor::Term(Term(4))) },
    no_primary = { &["b", "c"], FLOOR, Freshness::Primary, UnservedReason::NoPrimary },
    no_anchor = { &["a", "b"], FLOOR, Freshness::MaxAge(DurationMs(500)), UnservedReason::Wait(WaitFor::Anchor) },
    cut_off = { &["a"], FLOOR, Freshness::MaxAge(DurationMs(500)), UnservedReason::Stale },
    new_session = { &["a", "b"], Floor::Since(at(0)), Freshness::Session, UnservedReason::Wait(WaitFor::Anchor) },
)]
fn reasons_not_to_serve(
    connected: &[&str],
    floor: Floor,
    freshness: Freshness,
    expected: UnservedReason,
) {
    let mut view = connected_group();
    for endpoint in ["a", "b", "c"].iter().filter(|endpoint| !connected.contains(endpoint)) {
        view.on_lost(at(0), &id(endpoint));
    }
    assert_eq!(view.eligible(at(1), &floor, freshness), Eligible::Empty(expected));
}

/// Guards against an anchor that an isolated, outdated primary could produce.
#[parameterized(
    primary_alone = { &[], None },
    earlier_probe = { &[("b", REPLICA, 9)], None },
    majority = { &[("b", REPLICA, 10)], Some(position("3:10")) },
    later_probe = { &[("b", REPLICA, 12)], Some(position("3:10")) },
    fenced = { &[("b", "term=3 role=replica position=3:9 confirmed=3:7 fenced=4", 10)], None },
    other_term = { &[("b", "term=2 role=replica position=2:9 confirmed=2:7 fenced=3", 10)], None },
)]
fn anchors(answers: &[(&str, &str, u64)], floor: Option<Position>) {
    let mut view = view();
    report_status(&mut view, 11, "a", PRIMARY, Some(10));
    for (endpoint, status, sent) in answers {
        report_status(&mut view, 13, endpoint, status, Some(*sent));
    }
    assert_eq!(view.resolve_floor(&Floor::Since(at(10))), floor);
    assert_eq!(view.resolve_floor(&Floor::Since(at(11))), None);
}

/// Guards against data older than the bound by any host's clock, which may run 0.1% faster.
#[parameterized(young = { 1_000, true }, at_the_bound = { 1_009, true }, drifted = { 1_010, false })]
fn age_bounds(now: u64, served: bool) {
    let mut view = view();
    report_status(&mut view, 11, "a", PRIMARY, Some(10));
    report_status(
        &mut view,
        11,
        "b",
        "term=3 role=replica position=3:10 confirmed=3:8 fenced=3",
        Some(10),
    );
    let found = view.eligible(at(now), &FLOOR, Freshness::MaxAge(DurationMs(1_000)));
    assert_eq!(matches!(found, Eligible::Serve { .. }), served, "{found:?}");
}

/// Guards against probes that are too rare for the reads that need anchors, or too frequent for an
/// idle group.
#[parameterized(
    idle = { None, 2_000, 2, 6 },
    demand = { Some(0), 2_000, 20, 0 },
)]
fn probe_rounds(demand: Option<u64>, until: u64, rounds: usize, primary_alone: usize) {
    let mut view = connected_group();
    if let Some(demand) = demand {
        view.on_anchor_demand(at(demand));
    }
    let (mut all, mut single) = (0, 0);
    for ms in (0..until).step_by(10) {
        match view.due_probes(at(ms)).len() {
            0 => continue,
            1 => single += 1,
            _ => all += 1,
        }
        report_status(&mut view, ms + 1, "a", PRIMARY, Some(ms));
    }
    assert_eq!((all, single), (rounds, primary_alone));
}
