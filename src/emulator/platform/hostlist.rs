//! The host list: derived from the rows `hosts/*`, published with a lag.

use std::collections::VecDeque;

use medlarstile::core::rows::{HostRow, HostState};
use medlarstile::core::store::{ListedHost, ListedState, Rows};
use serde_json::Value;

/// Number of a derived list, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListNumber(u64);

/// The list that clients see and the newer ones that they do not see yet.
#[derive(Debug)]
pub struct HostList {
    published: Vec<ListedHost>,
    newest: Vec<ListedHost>,
    waiting: VecDeque<(ListNumber, Vec<ListedHost>)>,
    number: ListNumber,
    fixed: Option<Vec<ListedHost>>,
}

impl HostList {
    /// An empty list.
    pub fn new() -> Self {
        Self {
            published: Vec::new(),
            newest: Vec::new(),
            waiting: VecDeque::new(),
            number: ListNumber(0),
            fixed: None,
        }
    }

    /// The list that clients see.
    pub fn published(&self) -> Vec<ListedHost> {
        self.fixed.as_ref().unwrap_or(&self.published).clone()
    }

    /// Derives the list from the rows; returns its number if it changed and waits for publishing.
    pub fn derive(&mut self, rows: &Rows<Value>) -> Option<ListNumber> {
        let list: Vec<ListedHost> = rows.rows.iter().filter_map(|row| listed(row).ok()?).collect();
        if list == self.newest {
            return None;
        }
        self.newest.clone_from(&list);
        self.number = ListNumber(self.number.0 + 1);
        self.waiting.push_back((self.number, list));
        Some(self.number)
    }

    /// Publishes the lists up to `number`.
    pub fn publish(&mut self, number: ListNumber) {
        while self.waiting.front().is_some_and(|(waiting, _)| *waiting <= number) {
            if let Some((_, list)) = self.waiting.pop_front() {
                self.published = list;
            }
        }
    }

    /// Publishes the newest list.
    pub fn publish_newest(&mut self) {
        self.publish(self.number);
    }

    /// Shows a fixed list, or the derived one again.
    pub fn fix(&mut self, list: Option<Vec<ListedHost>>) {
        self.fixed = list;
    }
}

fn listed(
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
