//! Decides when an accepted edit is in force on every host. This is the edit tool's counterpart of
//! `core/view.rs`.
//!
//! The tool polls the rows `hosts/*`. A host is *unconfirmed* as long as its row does not confirm
//! the version of the edit, v. The edit is in force when no host is unconfirmed, or when
//!
//! - (a) some host that has confirmed v is on the member list of every unconfirmed host, because it
//!   registered at or before the commit of that list, and
//! - (b) the rows of the unconfirmed hosts have not changed for [`UNCHANGED_WAIT`] since the tool
//!   first read (a).
//!
//! These conditions suffice because an unconfirmed host serves keyed routes under an older version
//! only with a proof that its tables are current, or with a statement from every member, younger
//! than [`VIEW_MAX_AGE`]. After the wait, a proof from before the edit has expired, and a statement
//! of the host in (a) was made after that host adopted v and so names v or a later version.
//!
//! Rows contain the commit of the member list that the host holds. The commit of a row's renewal
//! can't be used instead, because a host may renew its row before it has read about a member that
//! registered earlier.
//!
//! A row may be deleted only by its own host after that host has stopped serving, and replaced only
//! by a newer incarnation at the same address, which proves that the earlier process has ended. A
//! row that disappears during the wait counts as unconfirmed.

use std::collections::BTreeMap;

use super::view::{Member, VIEW_MAX_AGE};
use crate::types::{CommitSeq, DurationMs, HostId, TableVersion, Timestamp};

/// How long the rows of unconfirmed hosts must stay unchanged: [`VIEW_MAX_AGE`], plus 500 ms for
/// clock rates that differ by 0.1% and for the time between a decision and its use.
pub const UNCHANGED_WAIT: DurationMs = DurationMs(VIEW_MAX_AGE.0 + 500);

/// A row `hosts/<id>` as read by the edit tool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRow {
    /// Host and incarnation that wrote the row.
    pub member: Member,
    /// Commit of the host's first acknowledged write; `None` until a later write stores it.
    pub registered: Option<CommitSeq>,
    /// Commit of the last renewal, which is the row's version.
    pub renewed: CommitSeq,
    /// Commit of the member list that the host held at the last renewal.
    pub members_seen: Option<CommitSeq>,
    /// Version of the tables that the host acts on.
    pub confirmed: Option<TableVersion>,
}

impl HostRow {
    /// Returns the commit from which on every member list contains the host.
    fn listed_from(&self) -> CommitSeq {
        self.registered.unwrap_or(self.renewed)
    }

    /// Returns the commit of the oldest member list that the host may still use. The row's version
    /// can't replace a missing value, because a delayed write may give old content a new version.
    fn oldest_usable_list(&self) -> CommitSeq {
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

/// Tracks one edit until it is in force.
#[derive(Debug)]
pub struct AcceptanceWatch {
    version: TableVersion,
    latest_read: CommitSeq,
    rows: BTreeMap<HostId, HostRow>,
    unchanged_since: Option<Timestamp>,
    in_force: bool,
}

impl AcceptanceWatch {
    /// Tracks the edit to `version` that was committed as `commit_seq`.
    pub fn new(version: TableVersion, commit_seq: CommitSeq) -> Self {
        let rows = BTreeMap::new();
        Self { version, latest_read: commit_seq, rows, unchanged_since: None, in_force: false }
    }

    /// Handles the rows of one read at `commit_seq`, received at `now` on the tool's clock.
    ///
    /// Ignores a read at a commit before the edit or before an earlier read.
    pub fn on_rows(
        &mut self,
        now: Timestamp,
        commit_seq: CommitSeq,
        rows: Vec<HostRow>,
    ) -> Acceptance {
        if commit_seq >= self.latest_read && !self.in_force {
            self.latest_read = commit_seq;
            let changed = self.store_rows(rows);
            self.update(now, changed);
        }
        self.state()
    }

    /// Returns whether the edit is in force, as of the last read.
    pub fn state(&self) -> Acceptance {
        if self.in_force {
            return Acceptance::InForce;
        }
        Acceptance::Waiting(self.unconfirmed().map(|row| row.member.host.clone()).collect())
    }

    /// Stores the rows; returns whether an unconfirmed one differs from the previous read.
    fn store_rows(&mut self, rows: Vec<HostRow>) -> bool {
        let mut changed = false;
        for row in rows {
            let unconfirmed = !self.confirms(&row);
            let before = self.rows.insert(row.member.host.clone(), row.clone());
            changed |= unconfirmed && before.as_ref() != Some(&row);
        }
        changed
    }

    fn update(&mut self, now: Timestamp, changed: bool) {
        if self.rows.is_empty() || self.unconfirmed().next().is_none() {
            self.in_force = true;
        } else if !self.confirming_host_is_listed() {
            self.unchanged_since = None;
        } else if changed || self.unchanged_since.is_none() {
            self.unchanged_since = Some(now);
        } else if let Some(since) = self.unchanged_since {
            self.in_force = now >= since + UNCHANGED_WAIT;
        }
    }

    /// Condition (a): a host that confirmed the version is on the member list of every unconfirmed
    /// host.
    fn confirming_host_is_listed(&self) -> bool {
        let confirming = self.rows.values().filter(|row| self.confirms(row));
        let earliest_listed = confirming.map(HostRow::listed_from).min();
        let oldest_list = self.unconfirmed().map(HostRow::oldest_usable_list).min();
        earliest_listed
            .is_some_and(|earliest_listed| oldest_list.is_none_or(|list| earliest_listed <= list))
    }

    fn unconfirmed(&self) -> impl Iterator<Item = &HostRow> {
        self.rows.values().filter(|row| !self.confirms(row))
    }

    fn confirms(&self, row: &HostRow) -> bool {
        row.confirmed.is_some_and(|confirmed| confirmed >= self.version)
    }
}
