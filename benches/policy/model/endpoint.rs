//! A fake endpoint: slots, a connection limit, reports, replication and orders (assumptions 1 to 8
//! of the design). Its log is a position, since the model checks no content.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use medlarstile::core::broker::OrderKind;
use medlarstile::core::group::{EndpointStatus, Role};
use medlarstile::types::{ConnectionId, Position, Term};

/// A connection as an endpoint sees it: host, incarnation and the host's id for it.
pub type Peer = (usize, u64, ConnectionId);

/// What a connection runs.
#[derive(Debug, Clone)]
pub enum Statement {
    Read,
    Write,
}

pub struct Endpoint {
    pub domain: usize,
    pub up: bool,
    /// Changes whenever all connections are closed.
    pub epoch: u64,
    pub slots: usize,
    pub limit: usize,
    pub busy: usize,
    pub queue: VecDeque<(Peer, Statement)>,
    pub connections: BTreeSet<Peer>,
    pub role: Role,
    pub term: Term,
    pub fenced: Term,
    pub position: Position,
    /// Last position before the first entry of the term.
    pub base: Position,
    pub confirmed: Position,
    pub upstream: Option<usize>,
    pub matched: BTreeMap<usize, Position>,
    pub reported: Option<EndpointStatus>,
}

/// What a primary sends to the endpoints that follow it.
#[derive(Debug, Clone, Copy)]
pub struct Append {
    pub term: Term,
    pub base: Position,
    pub position: Position,
    pub confirmed: Position,
}

impl Endpoint {
    pub fn new(domain: usize, primary: Option<usize>, slots: u32, connections: u32) -> Self {
        let start = Position::new(Term(1), 1);
        Self {
            domain,
            up: true,
            epoch: 0,
            slots: slots as usize,
            limit: connections as usize,
            busy: 0,
            queue: VecDeque::new(),
            connections: BTreeSet::new(),
            role: if primary.is_none() { Role::Primary } else { Role::Replica },
            term: Term(1),
            fenced: Term(1),
            position: start,
            base: Position::new(Term(0), 0),
            confirmed: start,
            upstream: primary,
            matched: BTreeMap::new(),
            reported: None,
        }
    }

    pub fn status(&self) -> EndpointStatus {
        EndpointStatus {
            term: self.term,
            role: self.role,
            position: self.position,
            confirmed: self.confirmed,
            fenced_term: self.fenced,
        }
    }

    fn leads(&self) -> bool {
        self.role == Role::Primary && self.term >= self.fenced
    }

    /// Runs a write; the SQLSTATE if it is refused.
    pub fn write(&mut self) -> Option<&'static str> {
        if !self.leads() {
            return Some("25006");
        }
        self.position.index += 1;
        None
    }

    /// Obeys an order; the SQLSTATE if it refuses. `upstream` is the endpoint to follow.
    pub fn order(&mut self, order: &OrderKind, upstream: Option<usize>) -> Option<&'static str> {
        let (OrderKind::Fence(term) | OrderKind::Promote(term) | OrderKind::Follow(term, _)) =
            order;
        if *term < self.fenced {
            return Some("55000");
        }
        self.fenced = *term;
        match order {
            OrderKind::Promote(_) if self.term < *term => {
                self.base = self.position;
                self.term = *term;
                self.position = Position::new(*term, self.position.index + 1);
                self.role = Role::Primary;
                self.upstream = None;
                self.matched.clear();
            }
            OrderKind::Follow(..) if self.term < *term || self.role == Role::Replica => {
                self.role = Role::Replica;
                self.upstream = upstream;
            }
            _ => {}
        }
        None
    }

    pub fn append(&self) -> Option<Append> {
        let (term, base) = (self.term, self.base);
        let append = Append { term, base, position: self.position, confirmed: self.confirmed };
        self.leads().then_some(append)
    }

    /// Takes entries; returns whether it took them and whether the log was rewound first.
    pub fn on_append(&mut self, from: usize, append: &Append) -> (bool, bool) {
        if self.upstream != Some(from) || append.term < self.fenced || append.term < self.term {
            return (false, false);
        }
        let rewinds = self.term < append.term && self.position > append.base;
        self.term = append.term;
        self.base = append.base;
        self.position = if rewinds { append.position } else { self.position.max(append.position) };
        self.confirmed = append.confirmed;
        (true, rewinds)
    }

    /// A follower holds everything up to `position` durably.
    pub fn on_held(&mut self, from: usize, position: Position) {
        if self.leads() && position.term == self.term {
            let matched = self.matched.entry(from).or_default();
            *matched = (*matched).max(position);
            // The primary and one follower are a majority of three.
            let best = self.matched.values().copied().max().unwrap_or_default();
            self.confirmed = self.confirmed.max(best.min(self.position));
        }
    }

    /// Forgets all connections and what they run.
    pub fn close_all(&mut self) -> Vec<Peer> {
        self.epoch += 1;
        self.busy = 0;
        self.queue.clear();
        std::mem::take(&mut self.connections).into_iter().collect()
    }
}
