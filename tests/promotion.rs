//! Rules of the promotion procedure, each tested alone.

use medlarstile::chart::Names;
use medlarstile::core::group::{EndpointStatus, GroupView, MemberSpec};
use medlarstile::core::promotion::{
    stagger, GroupRecord, Phase, Promotion, PromotionChart, PromotionEffect, ReadFault, State,
    SwapFault, CHART_TEXT,
};
use medlarstile::types::{AttemptId, DurationMs, EndpointId, HostId, RowVersion, Term, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const PRIMARY: &str = "term=3 role=primary position=3:10 confirmed=3:10 fenced=3";
const REPLICA: &str = "term=3 role=replica position=3:10 confirmed=3:10 fenced=3";
const FENCED: &str = "term=3 role=replica position=3:10 confirmed=3:10 fenced=4";

fn id(text: &str) -> EndpointId {
    text.parse().expect("an identifier")
}

fn status(text: &str) -> EndpointStatus {
    text.parse().expect("a status")
}

fn old_record() -> GroupRecord {
    let (attempt, start) = (AttemptId(1), "2:5".parse().expect("a position"));
    let (term, primary, phase) = (Term(3), Some(id("a")), Phase::Promoted);
    GroupRecord { term, primary, start, attempt, phase }
}

/// One host with its view; `ms` is the time, which the tests advance.
struct Host {
    ms: u64,
    view: GroupView,
    promotion: Promotion,
}

impl Host {
    fn new() -> Self {
        let member = |e| MemberSpec { endpoint: id(e), failure_domain: "x".parse().expect("id") };
        let members = ["a", "b", "c"].map(member).to_vec();
        let view = GroupView::new("g".parse().expect("an identifier"), members);
        let host = "h".parse().expect("an identifier");
        Self { ms: 0, view, promotion: Promotion::new(host, ChaCha8Rng::seed_from_u64(1)) }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.ms * 1_000)
    }

    fn report_status(&mut self, endpoint: &str, text: &str) {
        self.view.on_status(self.now(), &id(endpoint), status(text), None);
    }

    fn tick(&mut self) -> Vec<PromotionEffect> {
        let now = self.now();
        let effects = self.promotion.tick(now, &self.view);
        self.update_view();
        effects
    }

    fn update_view(&mut self) {
        let now = self.now();
        if let Some(record) = self.promotion.record() {
            self.view.on_record(now, record);
        }
    }

    fn read(&mut self, version: u64, record: Option<GroupRecord>) -> Vec<PromotionEffect> {
        let row = record.map(|record| (RowVersion(version), record));
        let effects = self.promotion.on_record_read(self.now(), &self.view, Ok(row));
        self.update_view();
        effects
    }

    fn swapped(
        &mut self,
        record: &GroupRecord,
        result: Result<RowVersion, SwapFault>,
    ) -> Vec<PromotionEffect> {
        let effects = self.promotion.on_record_swapped(self.now(), &self.view, record, result);
        self.update_view();
        effects
    }

    /// Advances the time by `span` ms in steps of 50 ms. In each, the host receives `statuses` and
    /// ticks.
    fn advance(&mut self, span_ms: u64, statuses: &[(&str, &str)]) -> Vec<PromotionEffect> {
        let mut effects = Vec::new();
        for _ in 0..span_ms / 50 {
            self.ms += 50;
            statuses.iter().for_each(|(endpoint, text)| self.report_status(endpoint, text));
            effects.extend(self.tick());
        }
        effects
    }

    /// A host that suspects a silent primary, has read version 7 of the row and claims term 4.
    fn claiming() -> (Self, GroupRecord) {
        let mut host = Self::new();
        host.report_status("a", PRIMARY);
        host.tick();
        host.read(7, Some(old_record()));
        host.advance(1_000, &[("b", REPLICA), ("c", REPLICA)]);
        assert_eq!(host.promotion.state(), State::Suspecting);
        host.read(7, Some(old_record()));
        let effects = host.advance(50, &[("b", REPLICA), ("c", REPLICA)]);
        let record = find_swap(&effects).expect("a claim");
        (host, record)
    }
}

fn find_swap(effects: &[PromotionEffect]) -> Option<GroupRecord> {
    effects.iter().find_map(|effect| match effect {
        PromotionEffect::SwapRecord { record, .. } => Some(record.clone()),
        _ => None,
    })
}

fn count_fences(effects: &[PromotionEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, PromotionEffect::Fence { .. })).count()
}

/// Guards against a chart whose names do not match the code, and against states that no transition
/// leaves.
#[test]
fn the_chart_is_valid() {
    let chart = PromotionChart::load("group.scxml", CHART_TEXT).expect("a valid chart");
    for (name, state) in State::NAMES {
        let leaves = |(from, _, _, to): &(State, _, _, State)| from == state && to != state;
        assert!(chart.transitions().iter().any(leaves), "state {name} is never left");
    }
}

/// Guards against a promotion that skips a step, or that chooses an endpoint without the highest
/// position.
#[parameterized(
    tie = { FENCED, FENCED, "b" },
    later = { FENCED, "term=3 role=replica position=3:11 confirmed=3:10 fenced=4", "c" },
    higher_term = { "term=2 role=replica position=2:90 confirmed=2:9 fenced=4", FENCED, "c" },
)]
fn a_silent_primary_is_replaced(b: &str, c: &str, chosen: &str) {
    let (mut host, claim) = Host::claiming();
    assert_eq!((claim.term, claim.phase), (Term(4), Phase::Fencing));
    assert_eq!(count_fences(&host.swapped(&claim, Ok(RowVersion(8)))), 3);
    let now = host.now();
    assert!(host.promotion.on_fenced(now, &host.view, &id("b"), status(b)).is_empty());
    let effects = host.promotion.on_fenced(now, &host.view, &id("c"), status(c));
    let record = find_swap(&effects).expect("a promotion");
    assert_eq!((record.phase, record.primary.clone()), (Phase::Promoted, Some(id(chosen))));
    let orders = host.swapped(&record, Ok(RowVersion(9)));
    let promote = PromotionEffect::Promote { endpoint: id(chosen), term: Term(4) };
    assert!(orders.contains(&promote), "{orders:?}");
}

/// Guards against a suspicion by a host that is itself cut off, or of a primary that sent nothing
/// for less than the timeout.
#[parameterized(
    silent = { 1_000, &["b", "c"], State::Suspecting },
    not_long = { 950, &["b", "c"], State::Idle },
    no_majority = { 1_000, &["b"], State::Idle },
    heard = { 1_000, &["a", "b", "c"], State::Idle },
)]
fn suspicion(span: u64, heard: &[&str], state: State) {
    let mut host = Host::new();
    host.report_status("a", PRIMARY);
    host.tick();
    host.read(7, Some(old_record()));
    let text = |endpoint| if endpoint == "a" { PRIMARY } else { REPLICA };
    let statuses: Vec<(&str, &str)> = heard.iter().map(|e| (*e, text(*e))).collect();
    host.advance(span, &statuses);
    assert_eq!(host.promotion.state(), state);
}

/// Guards against a host that takes the silence during its own pause for a failed primary.
#[test]
fn a_paused_host_suspects_nobody() {
    let mut host = Host::new();
    host.report_status("a", PRIMARY);
    host.tick();
    host.read(7, Some(old_record()));
    host.ms += 10_000;
    host.advance(900, &[("b", REPLICA), ("c", REPLICA)]);
    assert_eq!(host.promotion.state(), State::Idle);
}

/// Guards against a host that takes a lost answer for success or failure, that accepts an outdated
/// read, or that takes another host's claim for its own.
#[parameterized(
    took_effect = { 8, true, State::Fencing },
    taken_by_another = { 8, false, State::BackingOff },
    no_effect_or_stale = { 7, false, State::Claiming },
    older_than_known = { 6, false, State::Claiming },
)]
fn a_lost_answer_is_read_back(version: u64, own: bool, state: State) {
    let (mut host, claim) = Host::claiming();
    assert!(host.swapped(&claim, Err(SwapFault::Unknown)).is_empty());
    assert_eq!(host.promotion.state(), State::Claiming);
    let effects = host.advance(50, &[]);
    assert!(effects.contains(&PromotionEffect::ReadRecord), "{effects:?}");
    let other = GroupRecord { attempt: AttemptId(2), ..claim.clone() };
    let found = match (version, own) {
        (8, true) => claim.clone(),
        (8, false) => other,
        _ => old_record(),
    };
    let effects = host.read(version, Some(found));
    assert_eq!(host.promotion.state(), state);
    assert_eq!(count_fences(&effects) > 0, state == State::Fencing);
    assert_eq!(find_swap(&effects), (version == 7).then_some(claim));
}

/// Guards against an attempt that is given up because its repeated compare-and-set conflicts with
/// its own first call, whose answer was lost.
#[test]
fn a_conflict_with_the_own_first_try_is_read_back() {
    let (mut host, claim) = Host::claiming();
    host.swapped(&claim, Err(SwapFault::Unknown));
    host.advance(50, &[]);
    host.read(7, Some(old_record()));
    host.swapped(&claim, Err(SwapFault::Conflict));
    assert_eq!(host.promotion.state(), State::Claiming);
    host.read(8, Some(claim));
    assert_eq!(host.promotion.state(), State::Fencing);
}

/// Guards against two hosts that promote at the same time, and against a group that waits forever
/// for a host that failed during its attempt.
#[parameterized(young = { 1_300, None }, abandoned = { 1_900, Some(Term(5)) })]
fn an_abandoned_attempt_is_taken_over(span: u64, claimed: Option<Term>) {
    let (mut host, claim) = Host::claiming();
    host.swapped(&claim, Err(SwapFault::Conflict));
    let other = GroupRecord { attempt: AttemptId(2), ..claim };
    let mut found = None;
    for _ in 0..span / 50 {
        let effects = host.advance(50, &[("b", REPLICA), ("c", REPLICA)]);
        found = found.or(find_swap(&effects).map(|record| record.term));
        if effects.contains(&PromotionEffect::ReadRecord) {
            host.read(8, Some(other.clone()));
        }
    }
    assert_eq!(found, claimed);
}

/// Guards against hosts that, during an outage of the platform, retry without delay or fence
/// endpoints without a claim.
#[test]
fn without_the_platform_nothing_is_fenced() {
    let (mut host, claim) = Host::claiming();
    host.swapped(&claim, Err(SwapFault::Unknown));
    let (mut reads, mut fenced) = (0, 0);
    for _ in 0..400 {
        let effects = host.advance(50, &[("b", REPLICA), ("c", REPLICA)]);
        fenced += count_fences(&effects);
        if effects.contains(&PromotionEffect::ReadRecord) {
            reads += 1;
            let now = host.now();
            host.promotion.on_record_read(now, &host.view, Err(ReadFault));
        }
    }
    assert_eq!(fenced, 0);
    assert!((10..=30).contains(&reads), "{reads} reads in 20 s");
}

/// Guards against a promotion that chooses the stalled primary again because it has the highest
/// position.
#[test]
fn a_stalled_primary_is_no_candidate() {
    let stalled = "term=3 role=primary position=3:12 confirmed=3:10 fenced=3";
    let mut host = Host::new();
    host.report_status("a", PRIMARY);
    host.tick();
    host.read(7, Some(old_record()));
    let statuses = [("a", stalled), ("b", REPLICA), ("c", REPLICA)];
    host.advance(1_550, &statuses);
    host.read(7, Some(old_record()));
    let claim = find_swap(&host.advance(50, &statuses)).expect("a claim");
    host.swapped(&claim, Ok(RowVersion(8)));
    let now = host.now();
    let fenced = status("term=3 role=primary position=3:12 confirmed=3:10 fenced=4");
    host.promotion.on_fenced(now, &host.view, &id("a"), fenced);
    host.promotion.on_fenced(now, &host.view, &id("b"), status(FENCED));
    assert_eq!(host.promotion.state(), State::Fencing);
    let effects = host.promotion.on_fenced(now, &host.view, &id("c"), status(FENCED));
    assert_eq!(find_swap(&effects).and_then(|record| record.primary), Some(id("b")));
}

/// Guards against a first record that adopts a primary which a majority does not follow.
#[parameterized(
    majority = { REPLICA, Some(Term(3)) },
    other_term = { "term=2 role=replica position=2:5 confirmed=2:5 fenced=2", None },
)]
fn the_first_record_adopts_the_primary(b: &str, term: Option<Term>) {
    let mut host = Host::new();
    host.tick();
    host.read(0, None);
    host.advance(50, &[("a", PRIMARY), ("b", b)]);
    host.read(0, None);
    let effects = host.advance(50, &[("a", PRIMARY), ("b", b)]);
    let record = find_swap(&effects);
    assert_eq!(record.as_ref().map(|record| record.term), term);
    assert!(record.is_none_or(|r| r.phase == Phase::Promoted && r.primary == Some(id("a"))));
}

/// Guards against a member that never follows the primary because its order was lost, and against
/// orders to a member that a later attempt has fenced.
#[parameterized(
    lagging = { "term=2 role=replica position=2:5 confirmed=2:5 fenced=2", 1 },
    in_line = { REPLICA, 0 },
    fenced_higher = { "term=2 role=replica position=2:5 confirmed=2:5 fenced=4", 0 },
)]
fn orders_are_repeated(b: &str, orders: usize) {
    let mut host = Host::new();
    host.tick();
    host.read(7, Some(old_record()));
    let effects = host.advance(950, &[("a", PRIMARY), ("b", b), ("c", REPLICA)]);
    let (endpoint, term, primary) = (id("b"), Term(3), id("a"));
    let follow = PromotionEffect::Follow { endpoint, term, primary };
    assert_eq!(effects.iter().filter(|effect| **effect == follow).count(), orders);
}

/// Guards against hosts that attempt a promotion at the same time, and against a delay above the
/// limit.
#[test]
fn attempts_are_staggered() {
    let hosts: Vec<HostId> = (0..6).map(|n| format!("h{n}").parse().expect("an id")).collect();
    let group = "g".parse().expect("an identifier");
    let delay = |host| stagger(&group, Term(4), host, &hosts);
    let mut delays: Vec<DurationMs> = hosts.iter().map(delay).collect();
    delays.sort();
    assert_eq!(delays, [0, 150, 300, 450, 450, 450].map(DurationMs));
}
