//! Memory for the bytes that connections hold: what has arrived and is not processed yet, what a
//! statement at work consists of, and what was not sent.
//!
//! Answers crowds of callers that send long messages without an end, or do not read their answers.
//! A connection holds a small part without asking. For a longer message it asks for room, which a few
//! connections have at a time; the others are not read meanwhile. What is held without room is
//! bounded in sum: when it is too much, the connection that holds most for longest without a change
//! is closed, unless its statement is at work.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{ByteCount, DurationMs, SessionId, Timestamp};

/// Bytes that a connection may hold without asking for room; statements have a few hundred.
pub const OWN_PART: ByteCount = ByteCount(8 * 1024);
/// Memory for a connection with room: a message of 1 MiB in a buffer that has grown by doubling, and
/// the copy on its way to an endpoint or a home.
const ROOM_COST: ByteCount = ByteCount(4 * 1024 * 1024);
/// Divisor of the host's memory for connections with room.
const ROOM_DIVISOR: u64 = 4;
/// Divisor of the host's memory for what is held without room.
const HELD_DIVISOR: u64 = 8;
/// Time for which a connection keeps its room while others wait and its message does not end; a
/// message of 1 MiB takes a second on the slowest link of the users.
const ROOM_LIMIT: DurationMs = DurationMs(5_000);

/// How much connections may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferLimits {
    /// Connections that have room at the same time.
    pub rooms: usize,
    /// Bytes held by the others.
    pub held: ByteCount,
}

impl BufferLimits {
    /// The limits on a host with this much memory.
    pub fn within(memory: ByteCount) -> Self {
        let rooms = memory.0 / ROOM_DIVISOR / ROOM_COST.0;
        Self {
            rooms: usize::try_from(rooms).unwrap_or(usize::MAX).max(1),
            held: ByteCount(memory.0 / HELD_DIVISOR),
        }
    }
}

/// A decision about a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferDecision {
    /// The connection may read a long message.
    GiveRoom(SessionId),
    /// The connection is to be closed; it holds this much.
    Close(SessionId, ByteCount),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    NotAsked,
    Waiting,
    Given(Timestamp),
}

#[derive(Debug)]
struct Holding {
    bytes: ByteCount,
    is_busy: bool,
    changed_at: Timestamp,
    room: Room,
}

impl Holding {
    fn counted(&self) -> u64 {
        if matches!(self.room, Room::Given(_)) {
            0
        } else {
            self.bytes.0
        }
    }
}

/// What the connections of a host hold.
#[derive(Debug)]
pub struct Buffers {
    limits: BufferLimits,
    holdings: BTreeMap<SessionId, Holding>,
    /// Connections that wait for room, in order; some may have left.
    waiting: VecDeque<SessionId>,
    rooms_given: usize,
    /// Sum over the connections without room.
    held: u64,
}

impl Buffers {
    /// No connections hold anything.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            holdings: BTreeMap::new(),
            waiting: VecDeque::new(),
            rooms_given: 0,
            held: 0,
        }
    }

    /// Called when a connection needs room for a long message.
    pub fn ask(&mut self, now: Timestamp, id: SessionId) {
        let holding = self.holding(now, id);
        if holding.room == Room::NotAsked {
            holding.room = Room::Waiting;
            self.waiting.push_back(id);
        }
    }

    /// Called when what a connection holds has changed; `is_busy` tells whether its statement is at
    /// work. A connection that holds less than its own part returns its room; one that waits for room holds
    /// all of it.
    pub fn on_held(&mut self, now: Timestamp, id: SessionId, bytes: ByteCount, is_busy: bool) {
        let holding = self.holding(now, id);
        let (before, room) = (holding.counted(), holding.room);
        (holding.bytes, holding.is_busy, holding.changed_at) = (bytes, is_busy, now);
        let returns = bytes < OWN_PART && matches!(room, Room::Given(_));
        if returns {
            holding.room = Room::NotAsked;
        }
        let after = holding.counted();
        self.held = self.held - before + after;
        self.rooms_given -= usize::from(returns);
        if bytes.0 == 0 && self.holdings.get(&id).is_some_and(|left| left.room == Room::NotAsked) {
            self.holdings.remove(&id);
        }
    }

    /// Called when a connection is closed.
    pub fn remove(&mut self, id: SessionId) {
        let Some(holding) = self.holdings.remove(&id) else { return };
        self.held -= holding.counted();
        self.rooms_given -= usize::from(matches!(holding.room, Room::Given(_)));
    }

    /// What is to be done now. A connection that is to be closed no longer counts.
    pub fn decide(&mut self, now: Timestamp) -> Vec<BufferDecision> {
        let mut decisions = Vec::new();
        self.close_overdue(now, &mut decisions);
        while self.rooms_given < self.limits.rooms {
            let Some(id) = self.waiting.pop_front() else { break };
            let Some(holding) = self.holdings.get_mut(&id) else { continue };
            if holding.room == Room::Waiting {
                self.held -= holding.counted();
                holding.room = Room::Given(now);
                self.rooms_given += 1;
                decisions.push(BufferDecision::GiveRoom(id));
            }
        }
        while self.held > self.limits.held.0 {
            let Some(id) = self.heaviest(now) else { break };
            self.close(id, &mut decisions);
        }
        decisions
    }

    /// Closes connections whose message has not ended in time, as many as others wait.
    fn close_overdue(&mut self, now: Timestamp, decisions: &mut Vec<BufferDecision>) {
        let waits = |id: &&SessionId| {
            self.holdings.get(*id).is_some_and(|holding| holding.room == Room::Waiting)
        };
        let free = self.limits.rooms.saturating_sub(self.rooms_given);
        let lacking = self.waiting.iter().filter(waits).count().saturating_sub(free);
        let is_overdue = |holding: &Holding| match holding.room {
            Room::Given(at) => now >= at + ROOM_LIMIT && !holding.is_busy,
            Room::NotAsked | Room::Waiting => false,
        };
        let overdue = self.holdings.iter().filter(|(_, holding)| is_overdue(holding));
        let overdue: Vec<SessionId> = overdue.map(|(id, _)| *id).take(lacking).collect();
        for id in overdue {
            self.close(id, decisions);
        }
    }

    /// The connection without room that holds most for longest.
    fn heaviest(&self, now: Timestamp) -> Option<SessionId> {
        let weight = |holding: &Holding| {
            u128::from(holding.counted()) * u128::from(now.ms_since(holding.changed_at).0 + 1)
        };
        let idle =
            self.holdings.iter().filter(|(_, holding)| !holding.is_busy && holding.counted() > 0);
        idle.max_by_key(|(_, holding)| weight(holding)).map(|(id, _)| *id)
    }

    fn close(&mut self, id: SessionId, decisions: &mut Vec<BufferDecision>) {
        let bytes = self.holdings.get(&id).map_or(ByteCount(0), |holding| holding.bytes);
        self.remove(id);
        decisions.push(BufferDecision::Close(id, bytes));
    }

    fn holding(&mut self, now: Timestamp, id: SessionId) -> &mut Holding {
        self.holdings.entry(id).or_insert(Holding {
            bytes: ByteCount(0),
            is_busy: false,
            changed_at: now,
            room: Room::NotAsked,
        })
    }

    /// Bytes that connections without room hold.
    pub fn held(&self) -> ByteCount {
        ByteCount(self.held)
    }

    /// Number of connections that have room.
    pub fn rooms_given(&self) -> usize {
        self.rooms_given
    }
}
