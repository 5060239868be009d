//! Which positions belong to the group's present log, and which of them survive every failover.

use std::collections::BTreeMap;

use crate::types::{Position, Term};

/// Number of terms remembered, which covers a week at two promotions a day. A position of an older
/// term is reported as [`Durability::Lost`], and the caller is told that the outcome is unknown.
const TERMS_KEPT: usize = 16;

/// What is known about the future of a write at some position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// Neither confirmed nor lost yet.
    Pending,
    /// A majority holds it, and an entry of the confirming primary's own term at or after it. Every
    /// later promotion keeps it.
    Durable,
    /// Not known to be part of the present term's log.
    Lost,
}

#[derive(Debug, Clone, Copy, Default)]
struct TermLog {
    start: Option<Position>,
    durable: Option<Position>,
}

/// Start and highest confirmed position of each recent term.
#[derive(Debug, Clone, Default)]
pub(super) struct Lineage {
    terms: BTreeMap<Term, TermLog>,
}

impl Lineage {
    /// Records that the log of `term` begins with all entries up to `start`.
    pub fn on_start(&mut self, term: Term, start: Position) {
        if start.term < term {
            self.term_log(term).start = Some(start);
        }
    }

    /// Records that a majority holds all entries up to `confirmed`, as the primary of `term`
    /// counts.
    ///
    /// An entry of an earlier term counts only once an entry of `term` itself is confirmed after
    /// it. Until then an endpoint with an unconfirmed entry of a term in between has the higher
    /// position and would be chosen by the next promotion (Raft, section 5.4.2).
    pub fn on_confirmed(&mut self, term: Term, confirmed: Position) {
        if confirmed.term == term {
            let term_log = self.term_log(term);
            term_log.durable = term_log.durable.max(Some(confirmed));
        }
    }

    /// Highest confirmed position of the latest term that has one.
    pub fn confirmed(&self) -> Position {
        self.terms.values().rev().find_map(|log| log.durable).unwrap_or_default()
    }

    /// Whether the start position of `term` is known.
    pub fn knows_start(&self, term: Term) -> bool {
        self.terms.get(&term).is_some_and(|log| log.start.is_some())
    }

    /// What is known about the future of a write at `position` when `current` is the group's term.
    pub fn durability(&self, position: Position, current: Term) -> Durability {
        let mut marks = self.terms.values().filter_map(|log| log.durable);
        if marks.any(|mark| self.includes(mark, position) == Some(true)) {
            return Durability::Durable;
        }
        if position.term >= current {
            return Durability::Pending;
        }
        match self.terms.get(&current).and_then(|log| log.start) {
            // The record of the present term has not been read yet.
            None => Durability::Pending,
            Some(start) if self.includes(start, position) == Some(true) => Durability::Pending,
            Some(_) => Durability::Lost,
        }
    }

    /// Whether the log whose last entry is `end` includes `position`. `None` if the start of a term
    /// between the two is not known.
    fn includes(&self, mut end: Position, position: Position) -> Option<bool> {
        while position.term < end.term {
            end = self.terms.get(&end.term)?.start?;
        }
        Some(position.term == end.term && position.index <= end.index)
    }

    fn term_log(&mut self, term: Term) -> &mut TermLog {
        if !self.terms.contains_key(&term) && self.terms.len() >= TERMS_KEPT {
            self.terms.pop_first();
        }
        self.terms.entry(term).or_default()
    }
}
