//! The host list, which is derived from the rows `hosts/*` and published after a lag.

use std::collections::VecDeque;

use medlarstile::core::rows::{HostRow, HostState};
use medlarstile::core::store::{ListedHost, ListedState, Rows};
use serde_json::Value;

/// Sequence number of a derived host list, starting at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListNumber(u64);

/// The published host list and the newer lists whose lag has not passed.
#[derive(Debug)]
pub struct HostList {
    published: Vec<ListedHost>,
    newest: Vec<ListedHost>,
    unpublished: VecDeque<(ListNumber, Vec<ListedHost>)>,
    newest_number: ListNumber,
    fixed: Option<Vec<ListedHost>>,
}

impl HostList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self {
            published: Vec::new(),
            newest: Vec::new(),
            unpublished: VecDeque::new(),
            newest_number: ListNumber(0),
            fixed: None,
        }
    }

    /// Returns the list that clients see: the fixed one if set, otherwise the published one.
    pub fn published(&self) -> Vec<ListedHost> {
        self.fixed.as_ref().unwrap_or(&self.published).clone()
    }

    /// Derives the list from `rows` and, if it changed, queues it for publication and returns its
    /// number.
    ///
    /// Rows that cannot be decoded are skipped.
    pub fn derive(&mut self, rows: &Rows<Value>) -> Option<ListNumber> {
        let list: Vec<ListedHost> =
            rows.rows.iter().filter_map(|row| list_entry(row).ok()?).collect();
        if list == self.newest {
            return None;
        }
        self.newest.clone_from(&list);
        self.newest_number = ListNumber(self.newest_number.0 + 1);
        self.unpublished.push_back((self.newest_number, list));
        Some(self.newest_number)
    }

    /// Publishes the queued lists up to and including `number`.
    pub fn publish(&mut self, number: ListNumber) {
        while self.unpublished.front().is_some_and(|(queued, _)| *queued <= number) {
            if let Some((_, list)) = self.unpublished.pop_front() {
                self.published = list;
            }
        }
    }

    /// Publishes the newest derived list.
    pub fn publish_newest(&mut self) {
        self.publish(self.newest_number);
    }

    /// Replaces the published list with a fixed one; `None` removes the fixed list.
    pub fn set_fixed(&mut self, list: Option<Vec<ListedHost>>) {
        self.fixed = list;
    }
}

/// Converts a row to its host list entry; hosts that are still starting have none.
fn list_entry(
    row: &medlarstile::core::store::Row<Value>,
) -> Result<Option<ListedHost>, medlarstile::wire::rows::RowFault> {
    let row = HostRow::try_from(row)?;
    let state = match row.state {
        HostState::Starting => return Ok(None),
        HostState::Live => ListedState::Live,
        HostState::Leaving => ListedState::Leaving,
    };
    Ok(Some(ListedHost { address: row.address, failure_domain: row.failure_domain, state }))
}
