//! When an accepted edit is in force on every host: the edit tool's side of `core/view.rs`.
//!
//! The tool reads the rows `hosts/*` again and again. An edit to version v is in force when every
//! row confirms v, or when
//!
//! - (a) a host has confirmed v that is on the member list of every silent host (one whose row does
//!   not confirm v), because it was registered at or before the commit of that list, and
//! - (b) the silent hosts' rows have not changed for [`SILENCE`] since the tool first read (a).
//!
//! Why this suffices: a silent host with an older version needs a proof or the word of every member
//! that is younger than [`VIEW_RIGHT`]. A proof from before the edit has expired by then. The word
//! of the host in (a) was given after that host took v, and so names v or a later version.
//!
//! Rows carry the commit of the member list that the host holds. The time of a row's renewal does
//! not say that: a host may renew its row without having read a member that registered just before.
//!
//! A row may be deleted only by its own host after it has stopped serving, and replaced only by a
//! newer incarnation at the same address, which proves that the earlier process is gone. A row that
//! disappears during the wait counts as silent.

use std::collections::BTreeMap;

use super::view::{Member, VIEW_RIGHT};
use crate::types::{CommitSeq, DurationMs, HostId, TableVersion, Timestamp};

/// How long silent rows must stay unchanged: [`VIEW_RIGHT`], and 500 ms for clock rates that differ
/// by 0.1% and for the time between a decision and its use.
pub const SILENCE: DurationMs = DurationMs(VIEW_RIGHT.0 + 500);

/// A row `hosts/<id>` as read by the tool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRow {
    /// The host.
    pub member: Member,
    /// Commit of its first answered write; absent until a later write carries it.
    pub registered: Option<CommitSeq>,
    /// Commit of its last renewal, the row's version.
    pub renewed: CommitSeq,
    /// Commit of the member list that it held at the last renewal.
    pub members_seen: Option<CommitSeq>,
    /// Version that it acts on.
    pub confirmed: Option<TableVersion>,
}

impl HostRow {
    /// Every member list from this commit on names the host.
    fn is_listed_from(&self) -> CommitSeq {
        self.registered.unwrap_or(self.renewed)
    }

    /// The host uses no member list older than this. The row's version does not stand in for a
    /// missing value here, because a delayed write may give an old row a new version.
    fn knows_members_of(&self) -> CommitSeq {
        self.members_seen.or(self.registered).unwrap_or_default()
    }
}

/// Whether an edit is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acceptance {
    /// These hosts may still act on an older version.
    Waiting(Vec<HostId>),
    /// No host acts on an older version for keyed requests.
    InForce,
}

/// Follows one edit until it is in force.
#[derive(Debug)]
pub struct AcceptanceWatch {
    version: TableVersion,
    seen: CommitSeq,
    rows: BTreeMap<HostId, HostRow>,
    silent_since: Option<Timestamp>,
    in_force: bool,
}

impl AcceptanceWatch {
    /// Follows the edit to `version` that was committed as `commit_seq`.
    pub fn new(version: TableVersion, commit_seq: CommitSeq) -> Self {
        let rows = BTreeMap::new();
        Self { version, seen: commit_seq, rows, silent_since: None, in_force: false }
    }

    /// Takes the rows of one read, answered at `now` on the tool's clock.
    ///
    /// A read from before the edit, or older than an earlier read, is ignored.
    pub fn on_rows(
        &mut self,
        now: Timestamp,
        commit_seq: CommitSeq,
        rows: Vec<HostRow>,
    ) -> Acceptance {
        if commit_seq >= self.seen && !self.in_force {
            self.seen = commit_seq;
            let changed = self.replace(rows);
            self.decide(now, changed);
        }
        self.state()
    }

    /// The present answer.
    pub fn state(&self) -> Acceptance {
        if self.in_force {
            return Acceptance::InForce;
        }
        Acceptance::Waiting(self.silent().map(|row| row.member.host.clone()).collect())
    }

    /// Stores the rows; returns whether a silent one differs from the read before.
    fn replace(&mut self, rows: Vec<HostRow>) -> bool {
        let mut changed = false;
        for row in rows {
            let silent = !self.confirms(&row);
            let before = self.rows.insert(row.member.host.clone(), row.clone());
            changed |= silent && before.as_ref() != Some(&row);
        }
        changed
    }

    fn decide(&mut self, now: Timestamp, changed: bool) {
        if self.rows.is_empty() || self.silent().next().is_none() {
            self.in_force = true;
        } else if !self.is_witnessed() {
            self.silent_since = None;
        } else if changed || self.silent_since.is_none() {
            self.silent_since = Some(now);
        } else if let Some(since) = self.silent_since {
            self.in_force = now >= since + SILENCE;
        }
    }

    /// Rule (a): a confirming host is on the member list of every silent host.
    fn is_witnessed(&self) -> bool {
        let confirming = self.rows.values().filter(|row| self.confirms(row));
        let witness = confirming.map(HostRow::is_listed_from).min();
        let oldest_list = self.silent().map(HostRow::knows_members_of).min();
        witness.is_some_and(|witness| oldest_list.is_none_or(|list| witness <= list))
    }

    fn silent(&self) -> impl Iterator<Item = &HostRow> {
        self.rows.values().filter(|row| !self.confirms(row))
    }

    fn confirms(&self, row: &HostRow) -> bool {
        row.confirmed.is_some_and(|confirmed| confirmed >= self.version)
    }
}
