//! Differences between two versions of the tables.

use std::collections::BTreeMap;

use compact_str::{format_compact, CompactString, ToCompactString};
use derive_more::Display;

use super::check_routes::key_ids;
use super::{PoolRow, RouteRow, TableName, Tables};

/// One change of a row or of a column.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{table} {row}: {kind}")]
pub struct Change {
    /// Table of the row.
    pub table: TableName,
    /// Route name, or pool and endpoint joined by `/`.
    pub row: CompactString,
    /// What changed.
    pub kind: ChangeKind,
}

/// What changed in a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum ChangeKind {
    /// The row is new.
    #[display("row added")]
    Added,
    /// The row no longer exists.
    #[display("row removed")]
    Removed,
    /// A column has another value.
    #[display("{column} changed from {old} to {new}")]
    Column {
        /// Column name.
        column: &'static str,
        /// Value before.
        old: CompactString,
        /// Value after.
        new: CompactString,
    },
}

/// The columns of a row by name, each as text.
type Columns = Vec<(&'static str, CompactString)>;

/// The changes from `old` to `new`, ordered by table, row and column.
///
/// Rows are matched by name, so both versions should have passed [`Tables::check`], which rejects
/// duplicate names. Keys are compared by id; the id contains the verifier's fingerprint, so that a
/// changed verifier shows as well.
pub fn diff(old: &Tables, new: &Tables) -> Vec<Change> {
    let mut changes = Vec::new();
    compare_rows(TableName::Routes, &route_rows(old), &route_rows(new), &mut changes);
    compare_rows(TableName::Pools, &pool_rows(old), &pool_rows(new), &mut changes);
    changes
}

fn compare_rows(
    table: TableName,
    old: &BTreeMap<CompactString, Columns>,
    new: &BTreeMap<CompactString, Columns>,
    changes: &mut Vec<Change>,
) {
    let mut push =
        |row: &CompactString, kind| changes.push(Change { table, row: row.clone(), kind });
    for (row, columns) in old {
        match new.get(row) {
            None => push(row, ChangeKind::Removed),
            Some(new_columns) => {
                for ((column, old), (_, new)) in columns.iter().zip(new_columns) {
                    if old != new {
                        let (old, new) = (old.clone(), new.clone());
                        push(row, ChangeKind::Column { column, old, new });
                    }
                }
            }
        }
    }
    for row in new.keys().filter(|row| !old.contains_key(*row)) {
        push(row, ChangeKind::Added);
    }
}

fn route_rows(tables: &Tables) -> BTreeMap<CompactString, Columns> {
    tables.routes.iter().map(|row| (row.name.clone(), route_columns(row))).collect()
}

fn route_columns(row: &RouteRow) -> Columns {
    vec![
        ("database", row.database.clone()),
        ("account", row.account.clone()),
        ("keys", format_compact!("[{}]", key_ids(&row.keys))),
        ("rate_per_s", row.rate_per_s.to_compact_string()),
        ("burst", row.burst.to_compact_string()),
        ("weight", row.weight.to_compact_string()),
        ("pool", row.pool.clone()),
        ("freshness", row.freshness.clone()),
        ("max_wait_ms", row.max_wait_ms.0.to_compact_string()),
    ]
}

fn pool_rows(tables: &Tables) -> BTreeMap<CompactString, Columns> {
    let rows = tables.pools.iter();
    rows.map(|row| (format_compact!("{}/{}", row.pool, row.endpoint), pool_columns(row))).collect()
}

fn pool_columns(row: &PoolRow) -> Columns {
    vec![
        ("group", row.group.clone()),
        ("address", row.address.clone()),
        ("failure_domain", row.failure_domain.clone()),
        ("slots", row.slots.to_compact_string()),
        ("connections", row.connections.to_compact_string()),
        ("state", row.state.clone()),
    ]
}
