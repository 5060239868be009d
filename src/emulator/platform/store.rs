//! In-memory store of the table service: versioned rows, transactions and recent history.

use std::collections::{BTreeMap, BTreeSet};

use medlarstile::core::store::{Check, Commit, Row, Rows, Transaction};
use medlarstile::types::{CommitSeq, RowKey, RowVersion, TableName};
use serde_json::Value;

/// Maximum number of commits by which a stale read can lag behind the latest one.
const HISTORY_COMMITS: u64 = 1_000;

/// One version of a row; a version without a value marks a deleted row.
#[derive(Debug)]
struct Version {
    commit_seq: CommitSeq,
    value: Option<Value>,
}

/// All rows, each with the versions that a stale read can still see, oldest first.
#[derive(Debug, Default)]
pub struct Store {
    latest: CommitSeq,
    tables: BTreeMap<TableName, BTreeMap<RowKey, Vec<Version>>>,
}

impl Store {
    /// Returns the sequence number of the latest commit.
    pub fn latest(&self) -> CommitSeq {
        self.latest
    }

    /// Reads the rows of a table whose keys start with `prefix`, as of `commits_back` commits ago.
    ///
    /// `commits_back` is capped at [`HISTORY_COMMITS`].
    pub fn read(
        &self,
        table: &TableName,
        prefix: Option<&RowKey>,
        commits_back: u64,
    ) -> Rows<Value> {
        let as_of = CommitSeq(self.latest.0.saturating_sub(commits_back.min(HISTORY_COMMITS)));
        let key_prefix = prefix.map_or("", RowKey::as_str);
        let rows = self.tables.get(table).into_iter().flat_map(|rows| match prefix {
            Some(prefix) => rows.range(prefix..),
            None => rows.range::<RowKey, _>(..),
        });
        let selected = rows.take_while(|(key, _)| key.as_str().starts_with(key_prefix));
        let rows = selected.filter_map(|(key, versions)| {
            let version = versions.iter().rev().find(|version| version.commit_seq <= as_of)?;
            let value = version.value.clone()?;
            Some(Row { key: key.clone(), value, version: RowVersion(version.commit_seq.0) })
        });
        Rows { commit_seq: as_of, rows: rows.collect() }
    }

    /// Checks all row versions and, if they match, writes all rows in one commit.
    ///
    /// A transaction without writes takes no commit number.
    pub fn transact(&mut self, transaction: Transaction<Value>) -> Commit {
        let failed: Vec<Check> =
            transaction.checks.into_iter().filter_map(|check| self.find_conflict(check)).collect();
        if !failed.is_empty() {
            return Commit::Conflicts(failed);
        }
        if transaction.writes.is_empty() {
            return Commit::Committed(self.latest);
        }
        self.latest = self.latest.next();
        for write in transaction.writes {
            let versions =
                self.tables.entry(write.table).or_default().entry(write.key).or_default();
            versions.push(Version { commit_seq: self.latest, value: write.value });
            prune_versions(versions, CommitSeq(self.latest.0.saturating_sub(HISTORY_COMMITS)));
        }
        Commit::Committed(self.latest)
    }

    /// Returns the check with the current version of its row if the two versions differ.
    fn find_conflict(&self, check: Check) -> Option<Check> {
        let versions = self.tables.get(&check.table).and_then(|rows| rows.get(&check.key));
        let newest = versions.and_then(|versions| versions.last());
        let current = newest.filter(|version| version.value.is_some());
        let current = current.map_or(RowVersion(0), |version| RowVersion(version.commit_seq.0));
        (current != check.version).then_some(Check { version: current, ..check })
    }
}

/// Removes the versions that no read as of commit `oldest` or later can see.
fn prune_versions(versions: &mut Vec<Version>, oldest: CommitSeq) {
    let visible = versions.iter().rposition(|version| version.commit_seq <= oldest);
    versions.drain(..visible.unwrap_or(0));
}

/// Whether a transaction writes a row more than once, which the table service rejects.
pub fn has_duplicate_writes(transaction: &Transaction<Value>) -> bool {
    let rows: BTreeSet<_> =
        transaction.writes.iter().map(|write| (&write.table, &write.key)).collect();
    rows.len() != transaction.writes.len()
}
