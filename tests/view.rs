//! Unit tests of `TableView`, a host's view of the tables, and of the edit tool's
//! `AcceptanceWatch`.

use std::collections::BTreeSet;
use std::sync::Arc;

use medlarstile::chart::Names;
use medlarstile::core::acceptance::{Acceptance, AcceptanceWatch, HostRow};
use medlarstile::core::view::{
    Authority, Member, Snapshot, TableView, ViewChart, ViewEffect, ViewState, ViewStep,
    VIEW_MAX_AGE,
};
use medlarstile::tables::Tables;
use medlarstile::types::{
    AccountId, CommitSeq, DurationMs, EndpointId, Incarnation, KeyId, TableVersion, Timestamp,
};
use medlarstile::wire::tables::read_toml;
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000);

fn member(host: &str) -> Member {
    Member { host: host.parse().expect("host id"), incarnation: Incarnation(1) }
}

fn tables(version: u64) -> Tables {
    let text = include_str!("../data/example_tables.toml");
    Tables { version: TableVersion(version), ..read_toml("example", text).expect("readable") }
}

fn snapshot(commit: u64, tables: &Tables, hosts: &[&str]) -> Snapshot {
    let members: BTreeSet<Member> = hosts.iter().map(|host| member(host)).collect();
    let tables = Arc::new(tables.check().expect("valid"));
    Snapshot { commit_seq: CommitSeq(commit), tables, members }
}

/// View of host `a`, which registered in commit 5 and holds version 2 as read at commit 6.
fn fresh_view() -> TableView {
    let mut view = TableView::new(member("a"));
    view.on_renewed(START, START, CommitSeq(5));
    view.on_read(START, snapshot(6, &tables(2), &["a", "b"]));
    view
}

/// Guards against a state that no event reaches, and against a chart that does not load.
#[test]
fn every_state_of_the_chart_is_reached() {
    let text = include_str!("../charts/table.scxml");
    let chart =
        ViewChart::load("charts/table.scxml", text).unwrap_or_else(|errors| panic!("{errors:?}"));
    // `held` is a compound state and never the current state.
    let rows = chart.transitions().into_iter().filter(|row| row.0 != ViewState::Held);
    let targets: BTreeSet<ViewState> = rows.map(|row| row.3).collect();
    let leaves = ViewState::NAMES.iter().map(|(_, state)| *state).filter(|s| *s != ViewState::Held);
    assert_eq!(targets, leaves.collect());
    assert!(ViewChart::draw(text).expect("a chart").contains("agreed"));
}

/// Guards against a new host that serves before it has read the tables, or with tables that are
/// older than its registration, which the edit tool does not wait for.
#[test]
fn nothing_is_served_before_the_first_read() {
    let mut view = TableView::new(member("a"));
    assert_eq!(view.authority(START), Authority::None);
    let early = snapshot(4, &tables(2), &["a"]);
    let ignored = ViewEffect::StaleRead { commit_seq: CommitSeq(4), version: TableVersion(2) };
    assert_eq!(view.on_read(START, early.clone()), std::slice::from_ref(&ignored));
    view.on_renewed(START, START, CommitSeq(5));
    assert_eq!(view.on_peer_snapshot(START, START, Some(DurationMs(0)), early), [ignored]);
    assert_eq!(view.authority(START), Authority::None);
    assert_eq!(fresh_view().authority(START), Authority::Full);
}

/// Guards against keyed routes being served longer than `VIEW_MAX_AGE` after the proof, and against
/// open routes stopping with them.
#[test]
fn keyed_routes_are_served_until_the_proof_expires() {
    let mut view = fresh_view();
    let end = START + VIEW_MAX_AGE;
    assert_eq!(view.authority(Timestamp(end.0 - 1)), Authority::Full);
    assert_eq!(view.authority(end), Authority::OpenRoutesOnly);
    view.on_renewed(end, end, CommitSeq(9));
    assert_eq!(
        view.authority(end),
        Authority::OpenRoutesOnly,
        "no snapshot is at or after the renewal's commit"
    );
    view.on_read(end, snapshot(9, &tables(2), &["a", "b"]));
    assert_eq!(view.authority(end), Authority::Full);
}

/// Guards against a return to an older commit or version.
#[parameterized(version = { 9, 1 }, commit = { 5, 2 })]
fn an_older_read_is_ignored_and_recorded(commit: u64, version: u64) {
    let mut view = fresh_view();
    let effects = view.on_read(START, snapshot(commit, &tables(version), &["a"]));
    let (commit_seq, version) = (CommitSeq(commit), TableVersion(version));
    assert_eq!(effects, [ViewEffect::StaleRead { commit_seq, version }]);
    assert_eq!(view.version(), Some(TableVersion(2)));
}

/// Guards against a host that serves although its row is missing, so that the edit tool no longer
/// waits for it.
#[test]
fn a_host_without_a_row_serves_nothing() {
    let mut view = fresh_view();
    view.authority(START);
    let effects = view.on_read(START, snapshot(9, &tables(2), &["b"]));
    assert_eq!(effects, [ViewEffect::Unlisted]);
    assert_eq!(view.authority(START), Authority::None);
    let steps = view.due(START);
    assert!(matches!(&steps[0], ViewStep::Renew(renewal) if renewal.registered.is_none()));
}

/// Guards against a withdrawn key that stays valid, and against work for a leaving endpoint.
#[test]
fn requests_are_checked_against_the_present_version() {
    let mut edited = tables(3);
    let key: KeyId = edited.routes[0].keys[0].key.parse().expect("key id");
    edited.routes.iter_mut().filter(|row| !row.keys.is_empty()).for_each(|row| {
        row.keys.remove(0);
    });
    edited.pools[0].state = "leaving".into();
    let account: AccountId = "north-depot".parse().expect("account");
    let endpoint: EndpointId = "bookings-a".parse().expect("endpoint");
    let mut view = fresh_view();
    assert!(view.key_is_valid(&account, &key) && !view.is_leaving(&endpoint));
    view.on_announced(START, TableVersion(3));
    let effects = view.on_read(START, snapshot(9, &edited, &["a", "b"]));
    let (from, to) = (Some(TableVersion(2)), TableVersion(3));
    assert!(effects.contains(&ViewEffect::Adopted { from, to }));
    assert!(!view.key_is_valid(&account, &key) && view.is_leaving(&endpoint));
}

/// Guards against reporting an edit in force from a read that is older than the edit, or while an
/// unconfirmed host does not yet know the host that confirmed it.
#[test]
fn the_tool_ignores_old_reads_and_waits_for_unconfirmed_hosts() {
    let row = |host: &str, registered: u64, members: u64, version: u64| HostRow {
        member: member(host),
        registered: Some(CommitSeq(registered)),
        renewed: CommitSeq(members),
        members_seen: Some(CommitSeq(members)),
        confirmed: Some(TableVersion(version)),
    };
    let waiting = |host: &str| Acceptance::Waiting(vec![host.parse().expect("host id")]);
    let mut watch = AcceptanceWatch::new(TableVersion(3), CommitSeq(10));
    assert_eq!(watch.on_rows(START, CommitSeq(9), Vec::new()), Acceptance::Waiting(Vec::new()));
    let rows = || vec![row("a", 7, 8, 3), row("b", 2, 6, 2)];
    let later = |ms| START + DurationMs(ms);
    // `b` holds a member list from before `a` registered, so condition (a) does not hold.
    assert_eq!(watch.on_rows(START, CommitSeq(11), rows()), waiting("b"));
    assert_eq!(watch.on_rows(later(9_000), CommitSeq(12), rows()), waiting("b"));
    let rows = || vec![row("a", 5, 8, 3), row("b", 2, 6, 2)];
    assert_eq!(watch.on_rows(later(10_000), CommitSeq(13), rows()), waiting("b"));
    assert_eq!(watch.on_rows(later(13_499), CommitSeq(13), rows()), waiting("b"));
    assert_eq!(watch.on_rows(later(13_500), CommitSeq(13), rows()), Acceptance::InForce);
}
