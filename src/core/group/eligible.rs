//! Which endpoints may serve a read.

use super::{EndpointStatus, GroupView, Role};
use crate::tables::Freshness;
use crate::types::{EndpointId, Position, Term, Timestamp};

/// What a session must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Floor {
    /// This position.
    Position(Position),
    /// Every write acknowledged before this time.
    Since(Timestamp),
}

/// Who may serve a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Eligible {
    /// At least one endpoint may.
    Serve {
        /// Replicas, those in the host's failure domain first, then by id.
        replicas: Vec<EndpointId>,
        /// The primary, if it may serve. Its answer is held until
        /// [`GroupView::read_release`] allows it.
        primary: Option<EndpointId>,
    },
    /// No endpoint may at present.
    Nobody(Unserved),
}

/// Why no endpoint may serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unserved {
    /// The read needs a primary and none is known.
    NoPrimary,
    /// No endpoint is connected.
    NoEndpoint,
    /// No anchor is young enough, and none can be sampled at present.
    Stale,
    /// An endpoint may serve the read once this has happened.
    Wait(WaitFor),
}

/// What a read waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitFor {
    /// A freshness anchor; the next round of probes brings it.
    Anchor,
    /// News of this term, which a session's token names and the host does not know yet.
    Term(Term),
    /// An endpoint at or past this position.
    Position(Position),
}

impl GroupView {
    /// Position that a read with `floor` must reflect; `None` until an anchor sampled at or after
    /// the time of a [`Floor::Since`] exists.
    pub fn resolve_floor(&self, floor: &Floor) -> Option<Position> {
        match floor {
            Floor::Position(position) => Some(*position),
            Floor::Since(time) => self.anchors.at_or_after(*time).map(|anchor| anchor.position),
        }
    }

    /// Endpoints that may serve a read now. An endpoint whose status has another term than the
    /// group's may serve nothing.
    pub fn eligible(&self, now: Timestamp, floor: &Floor, freshness: Freshness) -> Eligible {
        let needed = match self.needed(now, floor, freshness) {
            Ok(needed) => needed,
            Err(why) => return Eligible::Nobody(why),
        };
        let serves =
            |status: &EndpointStatus| status.term == self.term() && status.position >= needed;
        let primary = self.primary().filter(|id| self.status(id).is_some_and(serves)).cloned();
        let replicas = match freshness {
            Freshness::Primary => Vec::new(),
            Freshness::Session | Freshness::MaxAge(_) => self.replicas(serves),
        };
        if replicas.is_empty() && primary.is_none() {
            return Eligible::Nobody(self.unserved(needed));
        }
        Eligible::Serve { replicas, primary }
    }

    fn replicas(&self, serves: impl Fn(&EndpointStatus) -> bool) -> Vec<EndpointId> {
        let replica = |status: &EndpointStatus| status.role == Role::Replica && serves(status);
        let mut found: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.status.as_ref().is_some_and(replica))
            .map(|(id, member)| (self.home.as_ref() != Some(&member.failure_domain), id))
            .collect();
        found.sort();
        found.into_iter().map(|(_, id)| id.clone()).collect()
    }

    fn needed(
        &self,
        now: Timestamp,
        floor: &Floor,
        freshness: Freshness,
    ) -> Result<Position, Unserved> {
        let floor = self.resolve_floor(floor).ok_or_else(|| self.no_anchor(Unserved::NoPrimary))?;
        match freshness {
            Freshness::Session | Freshness::Primary => Ok(floor),
            Freshness::MaxAge(max_age) => {
                let anchor = self.anchors.within(now, max_age);
                let anchor = anchor.ok_or_else(|| self.no_anchor(Unserved::Stale))?;
                Ok(floor.max(anchor.position))
            }
        }
    }

    /// Whether probes can bring an anchor, or the read is refused with `otherwise`.
    fn no_anchor(&self, otherwise: Unserved) -> Unserved {
        let joins = |status: &EndpointStatus| status.term == self.term() && !status.is_fenced_off();
        if self.connected() == 0 {
            Unserved::NoEndpoint
        } else if self.primary().is_some() && self.count(joins) >= self.majority() {
            Unserved::Wait(WaitFor::Anchor)
        } else {
            otherwise
        }
    }

    fn unserved(&self, needed: Position) -> Unserved {
        if self.connected() == 0 {
            Unserved::NoEndpoint
        } else if needed.term > self.term() {
            Unserved::Wait(WaitFor::Term(needed.term))
        } else if self.primary().is_none() {
            Unserved::NoPrimary
        } else {
            Unserved::Wait(WaitFor::Position(needed))
        }
    }
}
