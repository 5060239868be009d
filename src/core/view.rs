//! Decides whether a host may still act on the version of the tables that it holds.
//!
//! A host holds one [`Snapshot`]: tables and member list from one commit of the platform. It serves
//! all routes while one of the following conditions holds, and only open routes otherwise.
//!
//! - *Fresh*: the snapshot is proven to have been current less than [`VIEW_MAX_AGE`] ago. The
//!   platform may answer a read from an older commit, so the send time of a read proves nothing.
//!   The proof is a renewal of the host's own row: its commit was made after the renewal was sent,
//!   so a snapshot at or after that commit was current at the send time. Peers tell each other the
//!   age of their proofs.
//! - *Agreed*: every other host of the member list has stated, in answer to a request sent less
//!   than [`VIEW_MAX_AGE`] ago, that it holds no newer version. With this condition the fleet
//!   continues to serve while no host can reach the platform. The statement has to name the version
//!   that the peer holds, because a peer that confirmed a newer version may no longer be fresh
//!   itself.
//!
//! `core/acceptance.rs` is the counterpart in the edit tool: it decides when no host can act on an
//! older version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, LazyLock};

use derive_more::Display;

use super::view_schedule::Schedule;
use crate::chart::{Chart, ChartError, Machine};
use crate::chart_names;
use crate::tables::CheckedTables;
use crate::types::{
    AccountId, CommitSeq, DurationMs, EndpointId, HostId, Incarnation, KeyId, TableVersion,
    Timestamp,
};

/// Longest age of a proof that the snapshot was current, and of a peer's statement, with which the
/// host may serve keyed routes.
pub const VIEW_MAX_AGE: DurationMs = DurationMs(3_000);

chart_names! {
    /// States of the table chart.
    pub enum ViewState { Unread = "unread", Held = "held", Fresh = "fresh", Agreed = "agreed", Expired = "expired" }
    /// Events of the table chart.
    pub enum ViewEvent { Read = "read", Check = "check" }
    /// Guards of the table chart.
    pub enum ViewGuard { Stale = "stale", Listed = "listed", IsFresh = "is_fresh", PeersAgree = "peers_agree" }
    /// Actions of the table chart.
    pub enum ViewAction { Adopt = "adopt", Discard = "discard", RecordStale = "record_stale", ServeAll = "serve_all", ServeOpen = "serve_open", ServeNothing = "serve_nothing" }
}

/// Chart of a [`TableView`].
pub type ViewChart = Chart<ViewState, ViewEvent, ViewGuard, ViewAction>;

/// Compiles `charts/table.scxml`.
///
/// # Errors
///
/// All errors in the chart file.
pub fn chart() -> Result<ViewChart, Vec<ChartError>> {
    Chart::load("charts/table.scxml", include_str!("../../charts/table.scxml"))
}

static CHART: LazyLock<ViewChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// One incarnation of a host, as registered in the row `hosts/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{host}#{incarnation}")]
pub struct Member {
    /// Host id; each id belongs to one address.
    pub host: HostId,
    /// Incarnation of the host process.
    pub incarnation: Incarnation,
}

/// Tables and member list of one commit of the platform.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Commit at which the rows were read.
    pub commit_seq: CommitSeq,
    /// Tables of the row `config/current`.
    pub tables: Arc<CheckedTables>,
    /// Hosts of all rows `hosts/*`.
    pub members: BTreeSet<Member>,
}

/// Answer of a host to a peer's request for its version, true at the time of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Host that makes the statement.
    pub member: Member,
    /// Version of the tables that it holds.
    pub version: Option<TableVersion>,
    /// Time since that version was last proven current; `None` without such a proof.
    pub age: Option<DurationMs>,
}

/// The host's row `hosts/<id>` as it will be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// Host that writes the row.
    pub member: Member,
    /// Commit of the first acknowledged write; while it is `None`, readers use the row's version.
    pub registered: Option<CommitSeq>,
    /// Commit of the member list that the host holds; the host never uses an older list afterwards.
    pub members_seen: Option<CommitSeq>,
    /// Version of the tables that the host acts on.
    pub confirmed: Option<TableVersion>,
}

/// Routes that a host may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Authority {
    /// No routes, because the host holds no tables.
    None,
    /// Only open routes.
    OpenRoutesOnly,
    /// All routes.
    Full,
}

/// Effect that the host carries out or records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewEffect {
    /// Another version is in use; announce it to the peers.
    Adopted {
        /// Previous version.
        from: Option<TableVersion>,
        /// New version.
        to: TableVersion,
    },
    /// A snapshot was ignored because it is older than the one in use or than the host's
    /// registration.
    StaleRead {
        /// Commit of the ignored snapshot.
        commit_seq: CommitSeq,
        /// Version of the ignored snapshot.
        version: TableVersion,
    },
    /// The host's own row is missing; the host serves nothing until it has registered again.
    Unlisted,
    /// A peer holds a newer version; request its snapshot.
    WantTables(Member),
    /// The set of routes that the host may serve has changed.
    AuthorityChanged {
        /// Previous authority.
        from: Authority,
        /// New authority.
        to: Authority,
    },
}

/// Call or request that is due. Its send time is the `now` passed to [`TableView::due`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewStep {
    /// Write the host's row; the result is passed to [`TableView::on_renewed`] or
    /// [`TableView::on_renewal_failed`].
    Renew(Renewal),
    /// Read `config/current` and `hosts/*` in one call; the result is passed to
    /// [`TableView::on_read`] or [`TableView::on_read_failed`].
    Read,
    /// Request a statement from every peer.
    AskPeers,
}

/// Latest statement of a peer, with the send time of the request that it answers.
#[derive(Debug)]
struct LatestStatement {
    asked_at: Timestamp,
    version: Option<TableVersion>,
}

/// The tables that one host holds, with the evidence that they are current.
#[derive(Debug)]
pub struct TableView {
    own: Member,
    machine: Machine<ViewState, ViewEvent, ViewGuard, ViewAction>,
    authority: Authority,
    held: Option<Snapshot>,
    registered: Option<CommitSeq>,
    proven_at: Option<Timestamp>,
    renewals: Vec<(Timestamp, CommitSeq)>,
    statements: BTreeMap<Member, LatestStatement>,
    schedule: Schedule,
}

impl TableView {
    /// Creates the view of a host that has read nothing yet.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            machine: CHART.start(),
            authority: Authority::None,
            held: None,
            registered: None,
            proven_at: None,
            renewals: Vec::new(),
            statements: BTreeMap::new(),
            schedule: Schedule::default(),
        }
    }

    /// Returns which routes the host may serve at `now`. Recomputed on each call, so that a late
    /// timer or a pause of the process can't extend the authority.
    pub fn authority(&mut self, now: Timestamp) -> Authority {
        self.check(now);
        self.authority
    }

    /// Recomputes the authority at `now` and returns an effect if it changed.
    pub fn check(&mut self, now: Timestamp) -> Option<ViewEffect> {
        let from = self.authority;
        let (fresh, agreed) = (self.is_fresh(now), self.peers_agree(now));
        let step = self.machine.fire(ViewEvent::Check, |guard| match guard {
            ViewGuard::IsFresh => fresh,
            ViewGuard::PeersAgree => agreed,
            ViewGuard::Stale | ViewGuard::Listed => false,
        });
        step.actions.iter().for_each(|action| self.set_authority(*action));
        let to = self.authority;
        (from != to).then_some(ViewEffect::AuthorityChanged { from, to })
    }

    /// Returns the tables in use.
    pub fn tables(&self) -> Option<&Arc<CheckedTables>> {
        self.held.as_ref().map(|held| &held.tables)
    }

    /// Returns the snapshot in use, for peers that request it.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.held.as_ref()
    }

    /// Returns the version in use.
    pub fn version(&self) -> Option<TableVersion> {
        self.tables().map(|tables| tables.version())
    }

    /// Returns the time since the version in use was last proven current.
    pub fn age(&self, now: Timestamp) -> Option<DurationMs> {
        self.proven_at.map(|proven_at| now.ms_since(proven_at))
    }

    /// Whether `key` is a key of `account` in the tables in use; checked for every request.
    pub fn key_is_valid(&self, account: &AccountId, key: &KeyId) -> bool {
        self.tables().is_some_and(|tables| tables.has_key(account, key))
    }

    /// Whether `endpoint` is marked as leaving and gets no new work.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.tables().is_some_and(|tables| tables.leaving().contains(endpoint))
    }

    /// Returns the answer to a peer's [`super::peer::PeerMessage::StatementRequest`] at `now`.
    pub fn statement(&self, now: Timestamp) -> Statement {
        Statement { member: self.own.clone(), version: self.version(), age: self.age(now) }
    }

    /// Handles the answer that the host's row, sent at `sent_at`, was written in commit
    /// `commit_seq`.
    pub fn on_renewed(&mut self, now: Timestamp, sent_at: Timestamp, commit_seq: CommitSeq) {
        self.registered.get_or_insert(commit_seq);
        self.renewals.push((sent_at, commit_seq));
        self.schedule.on_renewed(now);
        self.update_proof();
    }

    /// Handles a snapshot read from the platform.
    pub fn on_read(&mut self, now: Timestamp, snapshot: Snapshot) -> Vec<ViewEffect> {
        self.schedule.reading = false;
        let mut effects = Vec::new();
        self.apply(snapshot, &mut effects);
        effects.extend(self.check(now));
        effects
    }

    /// Handles a renewal without an answer; it may have taken effect.
    pub fn on_renewal_failed(&mut self) {
        self.schedule.renewing = false;
    }

    /// Handles a read without an answer.
    pub fn on_read_failed(&mut self) {
        self.schedule.reading = false;
    }

    /// Handles a peer's snapshot, received in answer to a request sent at `asked_at`. The peer
    /// stated `age` as the time since the snapshot was last proven current.
    pub fn on_peer_snapshot(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        age: Option<DurationMs>,
        snapshot: Snapshot,
    ) -> Vec<ViewEffect> {
        let version = snapshot.tables.version();
        let mut effects = Vec::new();
        self.apply(snapshot, &mut effects);
        self.use_peer_proof(asked_at, Some(version), age);
        effects.extend(self.check(now));
        effects
    }

    /// Handles a peer's statement in answer to a request sent at `asked_at`.
    ///
    /// Unsolicited statements must not be passed in, because their transmission time is unknown.
    pub fn on_statement(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        statement: Statement,
    ) -> Vec<ViewEffect> {
        let Statement { member, version, age } = statement;
        let mut effects = Vec::new();
        self.use_peer_proof(asked_at, version, age);
        if version > self.version() {
            effects.push(ViewEffect::WantTables(member.clone()));
        }
        let latest = self.statements.entry(member).or_insert(LatestStatement { asked_at, version });
        latest.asked_at = latest.asked_at.max(asked_at);
        latest.version = latest.version.max(version);
        effects.extend(self.check(now));
        effects
    }

    /// Handles a peer's announcement of `version`: schedules a read if the version is newer. The
    /// authority does not change.
    pub fn on_announced(&mut self, now: Timestamp, version: TableVersion) {
        if Some(version) > self.version() {
            self.schedule.read_at = now;
        }
    }

    /// Returns the steps that are due at `now`. A renewal or read that is still waiting for its
    /// answer is not repeated.
    pub fn due(&mut self, now: Timestamp) -> Vec<ViewStep> {
        let mut steps = Vec::new();
        if self.schedule.start_due_renewal(now, self.version()) {
            steps.push(ViewStep::Renew(Renewal {
                member: self.own.clone(),
                registered: self.registered,
                members_seen: self.held.as_ref().map(|held| held.commit_seq),
                confirmed: self.version(),
            }));
        }
        if self.schedule.start_due_read(now) {
            steps.push(ViewStep::Read);
        }
        if self.schedule.start_due_peer_request(now) {
            steps.push(ViewStep::AskPeers);
        }
        steps
    }

    /// Returns when to call [`TableView::due`] and [`TableView::check`] next.
    pub fn next_due(&self) -> Timestamp {
        let expiry = self.proven_at.map(|proven_at| proven_at + VIEW_MAX_AGE);
        let expiry = expiry.filter(|_| self.machine.state() == ViewState::Fresh);
        expiry.into_iter().fold(self.schedule.next_due(), Timestamp::min)
    }

    fn apply(&mut self, snapshot: Snapshot, effects: &mut Vec<ViewEffect>) {
        let stale = self.is_stale(&snapshot);
        let listed = snapshot.members.contains(&self.own);
        let step = self.machine.fire(ViewEvent::Read, |guard| match guard {
            ViewGuard::Stale => stale,
            ViewGuard::Listed => listed,
            ViewGuard::IsFresh | ViewGuard::PeersAgree => false,
        });
        let version = snapshot.tables.version();
        let commit_seq = snapshot.commit_seq;
        let mut snapshot = Some(snapshot);
        for action in step.actions {
            match action {
                ViewAction::Adopt => effects.extend(self.adopt(snapshot.take())),
                ViewAction::Discard => effects.extend(self.discard()),
                ViewAction::RecordStale => {
                    effects.push(ViewEffect::StaleRead { commit_seq, version });
                }
                other => self.set_authority(*other),
            }
        }
    }

    /// Whether the snapshot is older than the one in use or than the host's registration. Before
    /// the registration the edit tool does not know this host, and may report an edit in force that
    /// the snapshot does not contain.
    fn is_stale(&self, snapshot: &Snapshot) -> bool {
        let unregistered =
            self.registered.is_none_or(|registered| snapshot.commit_seq < registered);
        let older = self.held.as_ref().is_some_and(|held| {
            snapshot.commit_seq < held.commit_seq
                || snapshot.tables.version() < held.tables.version()
        });
        unregistered || older
    }

    fn adopt(&mut self, snapshot: Option<Snapshot>) -> Option<ViewEffect> {
        let snapshot = snapshot?;
        let (from, to) = (self.version(), snapshot.tables.version());
        self.statements.retain(|member, _| snapshot.members.contains(member));
        self.held = Some(snapshot);
        self.update_proof();
        (from != Some(to)).then_some(ViewEffect::Adopted { from, to })
    }

    fn discard(&mut self) -> Option<ViewEffect> {
        self.held = None;
        self.registered = None;
        self.proven_at = None;
        self.renewals.clear();
        self.statements.clear();
        Some(ViewEffect::Unlisted)
    }

    fn set_authority(&mut self, action: ViewAction) {
        match action {
            ViewAction::ServeAll => self.authority = Authority::Full,
            ViewAction::ServeOpen => self.authority = Authority::OpenRoutesOnly,
            ViewAction::ServeNothing => self.authority = Authority::None,
            ViewAction::Adopt | ViewAction::Discard | ViewAction::RecordStale => {}
        }
    }

    /// Sets the time of the proof to the send time of the last renewal at or before the snapshot's
    /// commit.
    fn update_proof(&mut self) {
        let Some(held) = &self.held else { return };
        let covered = self.renewals.iter().filter(|(_, commit)| *commit <= held.commit_seq);
        let sent_at = covered.map(|(sent_at, _)| *sent_at).max();
        self.proven_at = self.proven_at.max(sent_at);
        self.renewals.retain(|(_, commit)| *commit > held.commit_seq);
    }

    /// Uses the proof of a peer that holds the same version. Adds 0.1% and 1 ms to its age, because
    /// the peer's clock may run slow by 0.1% and the age is rounded down to a millisecond.
    fn use_peer_proof(
        &mut self,
        asked_at: Timestamp,
        version: Option<TableVersion>,
        age: Option<DurationMs>,
    ) {
        let Some(age) = age.filter(|_| self.held.is_some() && version == self.version()) else {
            return;
        };
        let age_us = age.as_us().saturating_add(age.0).saturating_add(1_000);
        let proven_at = asked_at.0.checked_sub(age_us).map(Timestamp);
        self.proven_at = self.proven_at.max(proven_at);
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.proven_at.is_some_and(|proven_at| now < proven_at + VIEW_MAX_AGE)
    }

    fn peers_agree(&self, now: Timestamp) -> bool {
        let Some(held) = &self.held else { return false };
        let version = Some(held.tables.version());
        let mut others = held.members.iter().filter(|member| **member != self.own);
        others.all(|member| {
            let latest = self.statements.get(member);
            latest.is_some_and(|latest| {
                now < latest.asked_at + VIEW_MAX_AGE && latest.version <= version
            })
        })
    }
}
