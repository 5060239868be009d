//! Whether a host may still act on the table version that it holds.
//!
//! A host holds one [`Snapshot`]: tables and member list from one commit of the platform. It serves
//! keyed routes while it can show one of the following, and open routes otherwise.
//!
//! - *Fresh*: the snapshot was current less than [`VIEW_RIGHT`] ago. The platform may answer a read
//!   from an older commit, so the send time of a read proves nothing by itself. The host's own row
//!   renewal does: it got a commit sequence after it was sent, and a snapshot at or past that
//!   sequence was current when the renewal was sent. Peers pass on the age of such a proof.
//! - *Vouched*: every other host of the member list has said, in answer to a question sent less than
//!   [`VIEW_RIGHT`] ago, that it holds no newer version. This is how the fleet goes on serving when
//!   the platform is down for all. The version in the answer is what makes it safe: a host that once
//!   confirmed a newer version may have lost its own fresh view since.
//!
//! `core/acceptance.rs` is the other half: it says when no host can act on an older version.

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

/// How long a proof that the snapshot was current lets the host serve keyed routes.
pub const VIEW_RIGHT: DurationMs = DurationMs(3_000);

chart_names! {
    /// States of the table chart.
    pub enum ViewState { Unread = "unread", Held = "held", Fresh = "fresh", Vouched = "vouched", Expired = "expired" }
    /// Events of the table chart.
    pub enum ViewEvent { Read = "read", Check = "check" }
    /// Guards of the table chart.
    pub enum ViewGuard { Stale = "stale", Listed = "listed", IsFresh = "is_fresh", IsVouched = "is_vouched" }
    /// Actions of the table chart.
    pub enum ViewAction { Adopt = "adopt", Discard = "discard", RecordStale = "record_stale", ServeAll = "serve_all", ServeOpen = "serve_open", ServeNothing = "serve_nothing" }
}

/// The compiled `charts/table.scxml`.
pub type ViewChart = Chart<ViewState, ViewEvent, ViewGuard, ViewAction>;

/// Compiles the chart of the table version.
///
/// # Errors
///
/// Every fault of the chart file.
pub fn chart() -> Result<ViewChart, Vec<ChartError>> {
    Chart::load("charts/table.scxml", include_str!("../../charts/table.scxml"))
}

static CHART: LazyLock<ViewChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// One run of a host process, as registered in `hosts/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{host}#{incarnation}")]
pub struct Member {
    /// Host id, which stands for the host's address.
    pub host: HostId,
    /// Run of the process.
    pub incarnation: Incarnation,
}

/// Tables and member list of one commit of the platform.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Commit that was read.
    pub commit_seq: CommitSeq,
    /// Tables of the row `config/current`.
    pub tables: Arc<CheckedTables>,
    /// Every row `hosts/*`.
    pub members: BTreeSet<Member>,
}

/// What a host tells a peer that asks, true when the question is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The host that speaks.
    pub member: Member,
    /// Version that it holds.
    pub version: Option<TableVersion>,
    /// Time since that version was proven current.
    pub age: Option<DurationMs>,
}

/// The host's row `hosts/<id>` as it is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// The host.
    pub member: Member,
    /// Commit of the first write that was answered; until then the row's version stands for it.
    pub registered: Option<CommitSeq>,
    /// Commit of the member list that the host holds; it will never use an older list.
    pub members_seen: Option<CommitSeq>,
    /// Version that the host acts on.
    pub confirmed: Option<TableVersion>,
}

/// What a host may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Authority {
    /// Nothing: the host holds no tables.
    None,
    /// Open routes.
    OpenRoutesOnly,
    /// Every route.
    Full,
}

/// Something that the host actor carries out or records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewEffect {
    /// Another version is in use; tell the peers.
    Adopted {
        /// Version before.
        from: Option<TableVersion>,
        /// Version now.
        to: TableVersion,
    },
    /// A snapshot was ignored because it is older than the one held or than the registration.
    StaleRead {
        /// Commit of the ignored snapshot.
        commit_seq: CommitSeq,
        /// Version of the ignored snapshot.
        version: TableVersion,
    },
    /// The host's own row is gone: it serves nothing until it has registered again.
    Unlisted,
    /// A peer holds a newer version; ask it for its snapshot.
    WantTables(Member),
    /// What the host may serve has changed.
    AuthorityChanged {
        /// Before.
        from: Authority,
        /// Now.
        to: Authority,
    },
}

/// Something that is due. The send time of each step is the `now` given to [`TableView::due`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewStep {
    /// Write the host's row; answer with [`TableView::on_renewed`] or `on_renewal_failed`.
    Renew(Renewal),
    /// Read `config/current` and `hosts/*` in one call; answer with `on_read` or `on_read_failed`.
    Read,
    /// Ask every peer for its statement.
    AskPeers,
}

#[derive(Debug)]
struct Word {
    asked_at: Timestamp,
    version: Option<TableVersion>,
}

/// One host's view of the tables.
#[derive(Debug)]
pub struct TableView {
    me: Member,
    machine: Machine<ViewState, ViewEvent, ViewGuard, ViewAction>,
    authority: Authority,
    held: Option<Snapshot>,
    registered: Option<CommitSeq>,
    proven_at: Option<Timestamp>,
    renewals: Vec<(Timestamp, CommitSeq)>,
    words: BTreeMap<Member, Word>,
    schedule: Schedule,
}

impl TableView {
    /// The view of a host that has read nothing yet.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            machine: CHART.start(),
            authority: Authority::None,
            held: None,
            registered: None,
            proven_at: None,
            renewals: Vec::new(),
            words: BTreeMap::new(),
            schedule: Schedule::default(),
        }
    }

    /// What the host may serve at `now`. Computed anew by each call, so that a late timer or a
    /// process pause cannot extend a right.
    pub fn authority(&mut self, now: Timestamp) -> Authority {
        self.check(now);
        self.authority
    }

    /// Like [`TableView::authority`], reports a change.
    pub fn check(&mut self, now: Timestamp) -> Option<ViewEffect> {
        let from = self.authority;
        let (fresh, vouched) = (self.is_fresh(now), self.is_vouched(now));
        let step = self.machine.fire(ViewEvent::Check, |guard| match guard {
            ViewGuard::IsFresh => fresh,
            ViewGuard::IsVouched => vouched,
            ViewGuard::Stale | ViewGuard::Listed => false,
        });
        step.actions.iter().for_each(|action| self.serve(*action));
        let to = self.authority;
        (from != to).then_some(ViewEffect::AuthorityChanged { from, to })
    }

    /// The tables in use.
    pub fn tables(&self) -> Option<&Arc<CheckedTables>> {
        self.held.as_ref().map(|held| &held.tables)
    }

    /// The snapshot in use, for peers that ask for it.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.held.as_ref()
    }

    /// The version in use.
    pub fn version(&self) -> Option<TableVersion> {
        self.tables().map(|tables| tables.version())
    }

    /// Time since the version in use was proven current.
    pub fn age(&self, now: Timestamp) -> Option<DurationMs> {
        self.proven_at.map(|proven_at| now.ms_since(proven_at))
    }

    /// Whether `key` is still a key of `account`; asked for every request.
    pub fn key_is_valid(&self, account: &AccountId, key: &KeyId) -> bool {
        self.tables().is_some_and(|tables| tables.has_key(account, key))
    }

    /// Whether `endpoint` takes no new work.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.tables().is_some_and(|tables| tables.leaving().contains(endpoint))
    }

    /// What to answer to a peer that asks at `now`.
    pub fn statement(&self, now: Timestamp) -> Statement {
        Statement { member: self.me.clone(), version: self.version(), age: self.age(now) }
    }

    /// The host's row was written by a transaction sent at `sent_at` and committed as `commit_seq`.
    pub fn on_renewed(&mut self, now: Timestamp, sent_at: Timestamp, commit_seq: CommitSeq) {
        self.registered.get_or_insert(commit_seq);
        self.renewals.push((sent_at, commit_seq));
        self.schedule.on_renewed(now);
        self.prove();
    }

    /// A snapshot read from the platform.
    pub fn on_read(&mut self, now: Timestamp, snapshot: Snapshot) -> Vec<ViewEffect> {
        self.schedule.reading = false;
        let mut effects = Vec::new();
        self.take(snapshot, &mut effects);
        effects.extend(self.check(now));
        effects
    }

    /// The renewal has no answer; it may have taken effect.
    pub fn on_renewal_failed(&mut self) {
        self.schedule.renewing = false;
    }

    /// The read has no answer.
    pub fn on_read_failed(&mut self) {
        self.schedule.reading = false;
    }

    /// A peer's snapshot, of an age that the peer stated in answer to a question sent at `asked_at`.
    pub fn on_peer_snapshot(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        age: Option<DurationMs>,
        snapshot: Snapshot,
    ) -> Vec<ViewEffect> {
        let version = snapshot.tables.version();
        let mut effects = Vec::new();
        self.take(snapshot, &mut effects);
        self.prove_by_peer(asked_at, Some(version), age);
        effects.extend(self.check(now));
        effects
    }

    /// A peer's statement in answer to a question sent at `asked_at`.
    ///
    /// Unsolicited statements must not be passed in: the time that they spent on the way is unknown.
    pub fn on_statement(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        statement: Statement,
    ) -> Vec<ViewEffect> {
        let Statement { member, version, age } = statement;
        let mut effects = Vec::new();
        self.prove_by_peer(asked_at, version, age);
        if version > self.version() {
            effects.push(ViewEffect::WantTables(member.clone()));
        }
        let word = self.words.entry(member).or_insert(Word { asked_at, version });
        word.asked_at = word.asked_at.max(asked_at);
        word.version = word.version.max(version);
        effects.extend(self.check(now));
        effects
    }

    /// A peer has announced `version`. A hint to read soon, without effect on the authority.
    pub fn on_announced(&mut self, now: Timestamp, version: TableVersion) {
        if Some(version) > self.version() {
            self.schedule.read_at = now;
        }
    }

    /// What is due at `now`. A renewal and a read that have no answer yet are not repeated.
    pub fn due(&mut self, now: Timestamp) -> Vec<ViewStep> {
        let mut steps = Vec::new();
        if self.schedule.renew(now, self.version()) {
            steps.push(ViewStep::Renew(Renewal {
                member: self.me.clone(),
                registered: self.registered,
                members_seen: self.held.as_ref().map(|held| held.commit_seq),
                confirmed: self.version(),
            }));
        }
        if self.schedule.read(now) {
            steps.push(ViewStep::Read);
        }
        if self.schedule.ask(now) {
            steps.push(ViewStep::AskPeers);
        }
        steps
    }

    /// When to call [`TableView::due`] and [`TableView::check`] again.
    pub fn next_due(&self) -> Timestamp {
        let expiry = self.proven_at.map(|proven_at| proven_at + VIEW_RIGHT);
        let expiry = expiry.filter(|_| self.machine.state() == ViewState::Fresh);
        expiry.into_iter().fold(self.schedule.next(), Timestamp::min)
    }

    fn take(&mut self, snapshot: Snapshot, effects: &mut Vec<ViewEffect>) {
        let stale = self.is_stale(&snapshot);
        let listed = snapshot.members.contains(&self.me);
        let step = self.machine.fire(ViewEvent::Read, |guard| match guard {
            ViewGuard::Stale => stale,
            ViewGuard::Listed => listed,
            ViewGuard::IsFresh | ViewGuard::IsVouched => false,
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
                other => self.serve(*other),
            }
        }
    }

    /// Older than what is held, or than the registration: before it the edit tool does not know of
    /// this host, and might report an edit in force that the snapshot lacks.
    fn is_stale(&self, snapshot: &Snapshot) -> bool {
        let unknown = self.registered.is_none_or(|registered| snapshot.commit_seq < registered);
        let older = self.held.as_ref().is_some_and(|held| {
            snapshot.commit_seq < held.commit_seq
                || snapshot.tables.version() < held.tables.version()
        });
        unknown || older
    }

    fn adopt(&mut self, snapshot: Option<Snapshot>) -> Option<ViewEffect> {
        let snapshot = snapshot?;
        let (from, to) = (self.version(), snapshot.tables.version());
        self.words.retain(|member, _| snapshot.members.contains(member));
        self.held = Some(snapshot);
        self.prove();
        (from != Some(to)).then_some(ViewEffect::Adopted { from, to })
    }

    fn discard(&mut self) -> Option<ViewEffect> {
        self.held = None;
        self.registered = None;
        self.proven_at = None;
        self.renewals.clear();
        self.words.clear();
        Some(ViewEffect::Unlisted)
    }

    fn serve(&mut self, action: ViewAction) {
        match action {
            ViewAction::ServeAll => self.authority = Authority::Full,
            ViewAction::ServeOpen => self.authority = Authority::OpenRoutesOnly,
            ViewAction::ServeNothing => self.authority = Authority::None,
            ViewAction::Adopt | ViewAction::Discard | ViewAction::RecordStale => {}
        }
    }

    /// Moves the proof to the send time of the last renewal that the snapshot covers.
    fn prove(&mut self) {
        let Some(held) = &self.held else { return };
        let covered = self.renewals.iter().filter(|(_, commit)| *commit <= held.commit_seq);
        let sent_at = covered.map(|(sent_at, _)| *sent_at).max();
        self.proven_at = self.proven_at.max(sent_at);
        self.renewals.retain(|(_, commit)| *commit > held.commit_seq);
    }

    /// A peer that holds the same version lends its proof. The peer's clock may run slow by 0.1%,
    /// and its age is rounded down to a millisecond.
    fn prove_by_peer(
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
        self.proven_at.is_some_and(|proven_at| now < proven_at + VIEW_RIGHT)
    }

    fn is_vouched(&self, now: Timestamp) -> bool {
        let Some(held) = &self.held else { return false };
        let version = Some(held.tables.version());
        let mut others = held.members.iter().filter(|member| **member != self.me);
        others.all(|member| {
            let word = self.words.get(member);
            word.is_some_and(|word| now < word.asked_at + VIEW_RIGHT && word.version <= version)
        })
    }
}
