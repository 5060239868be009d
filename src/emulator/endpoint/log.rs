//! The log of committed entries of one endpoint.

use medlarstile::types::{Position, Term};
use serde::{Deserialize, Serialize};

use super::store::Change;

/// One committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Place in the log.
    pub position: Position,
    /// Effects, in the order of execution; empty for the entry that starts a term.
    pub changes: Vec<Change>,
}

/// Entries 1 to n. Entries with the same position are equal on every endpoint of a group, and so
/// is everything before them, because a term has one primary.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<Entry>,
}

impl Log {
    /// All entries.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Position of the last entry, `0:0` without one.
    pub fn last(&self) -> Position {
        self.entries.last().map_or(Position::default(), |entry| entry.position)
    }

    /// Appends `changes` as the next entry of `term`.
    pub fn append(&mut self, term: Term, changes: Vec<Change>) -> Position {
        let position = Position::new(term, self.entries.len() as u64 + 1);
        self.entries.push(Entry { position, changes });
        position
    }

    /// Appends an entry of another log if it is the next one.
    pub fn extend(&mut self, entry: Entry) -> bool {
        let next = entry.position.index == self.entries.len() as u64 + 1;
        if next {
            self.entries.push(entry);
        }
        next
    }

    /// Entries with an index above that of `position`.
    pub fn after(&self, position: Position) -> &[Entry] {
        let skip = usize::try_from(position.index).unwrap_or(usize::MAX);
        self.entries.get(skip..).unwrap_or(&[])
    }

    /// Last position of each term, in order.
    pub fn ends(&self) -> Vec<Position> {
        let chunks = self.entries.chunk_by(|a, b| a.position.term == b.position.term);
        chunks.filter_map(|chunk| chunk.last().map(|entry| entry.position)).collect()
    }

    /// Last position that this log shares with one whose terms end at `ends`.
    pub fn common(&self, ends: &[Position]) -> Position {
        let own = self.ends();
        for theirs in ends.iter().rev() {
            if let Some(mine) = own.iter().find(|end| end.term == theirs.term) {
                return (*mine).min(*theirs);
            }
        }
        Position::default()
    }

    /// Removes every entry after `position`.
    pub fn truncate(&mut self, position: Position) {
        self.entries.truncate(usize::try_from(position.index).unwrap_or(usize::MAX));
    }
}
