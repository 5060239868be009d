//! Model of an endpoint: its log, pull-based replication, fencing, promotion and rewinding of the
//! log (assumptions 1 to 8 of the design).

use medlarstile::core::group::{EndpointStatus, Role};
use medlarstile::types::{Position, Term};

use super::{Mechanisms, ENDPOINTS};

/// A log entry. `id` identifies the write, and is 0 for the entry that a promotion appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub id: u64,
}

/// Messages of the replication between endpoints.
#[derive(Debug, Clone)]
pub enum Replication {
    Pull { term: u64, last: Position, durable: usize },
    Append { term: u64, after: Position, entries: Vec<Entry>, confirmed: Position },
    Rewind { term: u64, last: Position, to: usize },
}

#[derive(Debug, Clone)]
pub struct Endpoint {
    pub mechanisms: Mechanisms,
    pub up: bool,
    /// Incremented when the endpoint closes all its connections.
    pub epoch: u64,
    pub log: Vec<Entry>,
    pub durable: usize,
    pub term: u64,
    pub role: Role,
    pub fenced_term: u64,
    pub upstream: Option<(usize, u64)>,
    pub confirmed: Position,
    matched: [usize; ENDPOINTS],
}

impl Endpoint {
    pub fn new(mechanisms: Mechanisms, index: usize) -> Self {
        let role = if index == 0 { Role::Primary } else { Role::Replica };
        Self {
            mechanisms,
            up: true,
            epoch: 0,
            log: vec![Entry { term: 1, id: 0 }],
            durable: 1,
            term: 1,
            role,
            fenced_term: 1,
            upstream: (index != 0).then_some((0, 1)),
            confirmed: Position::new(Term(1), 1),
            matched: [1; ENDPOINTS],
        }
    }

    pub fn position_at(&self, index: usize) -> Position {
        let term = index.checked_sub(1).map_or(0, |slot| self.log[slot].term);
        Position::new(Term(term), index as u64)
    }

    pub fn last(&self) -> Position {
        self.position_at(self.log.len())
    }

    pub fn contains(&self, position: Position, id: u64) -> bool {
        let entry = (position.index as usize).checked_sub(1).and_then(|slot| self.log.get(slot));
        entry == Some(&Entry { term: position.term.0, id })
    }

    pub fn status(&self) -> EndpointStatus {
        EndpointStatus {
            term: Term(self.term),
            role: self.role,
            position: self.last(),
            confirmed: self.confirmed,
            fenced_term: Term(self.fenced_term),
        }
    }

    fn accepts_term(&self, term: u64) -> bool {
        term >= self.fenced_term
    }

    fn leads(&self) -> bool {
        self.role == Role::Primary && self.accepts_term(self.term)
    }

    pub fn write(&mut self, id: u64) -> Option<Position> {
        if !self.leads() {
            return None;
        }
        self.log.push(Entry { term: self.term, id });
        self.durable = self.log.len();
        self.count_confirmed();
        Some(self.last())
    }

    /// Fences the endpoint to `term`. Returns false if it is already fenced to a higher term.
    pub fn fence(&mut self, term: u64) -> bool {
        let accepted = term >= self.fenced_term;
        if accepted {
            self.fenced_term = if self.mechanisms.fencing { term } else { self.fenced_term };
            self.durable = self.log.len();
        }
        accepted
    }

    /// Makes the endpoint the primary of `term`. Returns `Some(false)` if it is that already, and
    /// `None` if it refuses.
    pub fn promote(&mut self, term: u64) -> Option<bool> {
        if term < self.fenced_term || term < self.term {
            return None;
        }
        if self.term == term {
            return (self.role == Role::Primary).then_some(false);
        }
        self.fence(term);
        self.term = term;
        self.role = Role::Primary;
        self.upstream = None;
        self.matched = [0; ENDPOINTS];
        self.log.push(Entry { term, id: 0 });
        self.durable = self.log.len();
        Some(true)
    }

    pub fn follow(&mut self, term: u64, primary: usize) {
        if term >= self.fenced_term && !(self.term == term && self.role == Role::Primary) {
            self.fence(term);
            self.role = Role::Replica;
            self.upstream = Some((primary, term));
        }
    }

    pub fn crash(&mut self) {
        self.up = false;
        self.log.truncate(self.durable);
        self.matched = [0; ENDPOINTS];
    }

    pub fn restart(&mut self) {
        self.up = true;
        self.epoch += 1;
    }

    pub fn pull(&self) -> Option<(usize, Replication)> {
        let (upstream, term) = self.upstream.filter(|(_, term)| self.accepts_term(*term))?;
        Some((upstream, Replication::Pull { term, last: self.last(), durable: self.durable }))
    }

    pub fn on_replication(&mut self, from: usize, message: Replication) -> Option<Replication> {
        match message {
            Replication::Pull { term, last, durable } => self.on_pull(from, term, last, durable),
            Replication::Append { term, after, entries, confirmed } => {
                if self.upstream == Some((from, term))
                    && self.accepts_term(term)
                    && self.last() == after
                {
                    self.log.extend(entries);
                    self.term = term;
                    self.confirmed = confirmed;
                }
                None
            }
            Replication::Rewind { term, last, to } => {
                if self.upstream == Some((from, term))
                    && self.accepts_term(term)
                    && self.last() == last
                {
                    self.epoch += 1;
                    self.log.truncate(to);
                    self.durable = self.durable.min(to);
                }
                None
            }
        }
    }

    fn on_pull(
        &mut self,
        from: usize,
        term: u64,
        last: Position,
        durable: usize,
    ) -> Option<Replication> {
        if term != self.term || !self.leads() {
            return None;
        }
        let index = last.index as usize;
        if index > self.log.len() || self.position_at(index) != last {
            let shared = self.log.iter().take_while(|entry| entry.term <= last.term.0).count();
            return Some(Replication::Rewind { term, last, to: shared.min(index - 1) });
        }
        self.matched[from] = self.matched[from].max(durable);
        self.count_confirmed();
        let entries = self.log[index..].iter().take(50).copied().collect();
        Some(Replication::Append { term, after: last, entries, confirmed: self.confirmed })
    }

    fn count_confirmed(&mut self) {
        let mut matched = self.matched;
        matched.sort_unstable();
        // The primary itself holds every entry, so that one more endpoint makes a majority of
        // three.
        let index = if self.mechanisms.majority { matched[ENDPOINTS - 1] } else { self.log.len() };
        self.confirmed = self.confirmed.max(self.position_at(index));
    }
}
