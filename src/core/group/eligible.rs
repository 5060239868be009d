//! Which endpoints may serve a read.

use super::{EndpointStatus, GroupView, Role};
use crate::tables::Freshness;
use crate::types::{EndpointId, Position, Term, Timestamp};

/// Lower bound of the state that a read must reflect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Floor {
    /// Every entry up to this position.
    Position(Position),
    /// Every write acknowledged before this time.
    Since(Timestamp),
}

/// Endpoints that may serve a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Eligible {
    /// At least one endpoint may serve it.
    Serve {
        /// Replicas that may serve it: first those in the host's failure domain, each part in the
        /// order of ids.
        replicas: Vec<EndpointId>,
        /// The primary, if it may serve it. Its answer is held back until
        /// [`GroupView::read_release`] allows it.
        primary: Option<EndpointId>,
    },
    /// No endpoint may serve it at present.
    Empty(UnservedReason),
}

/// Why no endpoint may serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnservedReason {
    /// The read needs a primary and none is known.
    NoPrimary,
    /// No endpoint is connected.
    NoEndpoint,
    /// No anchor is recent enough, and probes cannot yield a new one at present.
    Stale,
    /// An endpoint may serve the read once the host has learned this.
    Wait(WaitFor),
}

/// What a read waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitFor {
    /// A freshness anchor, which the next round of probes yields.
    Anchor,
    /// A status or record of this term, which the session's token names and the host does not know
    /// yet.
    Term(Term),
    /// An endpoint at or past this position.
    Position(Position),
}

impl GroupView {
    /// Position that a read with `floor` must reflect. `None` if `floor` is a [`Floor::Since`] and
    /// no anchor is known whose probe was sent at or after that time.
    pub fn resolve_floor(&self, floor: &Floor) -> Option<Position> {
        match floor {
            Floor::Position(position) => Some(*position),
            Floor::Since(time) => self.anchors.at_or_after(*time).map(|anchor| anchor.position),
        }
    }

    /// Endpoints that may serve a read now. An endpoint whose status has another term than the
    /// group's may serve nothing.
    pub fn eligible(&self, now: Timestamp, floor: &Floor, freshness: Freshness) -> Eligible {
        let needed_position = match self.needed_position(now, floor, freshness) {
            Ok(needed_position) => needed_position,
            Err(why) => return Eligible::Empty(why),
        };
        let serves = |status: &EndpointStatus| {
            status.term == self.term() && status.position >= needed_position
        };
        let primary = self.primary().filter(|id| self.status(id).is_some_and(serves)).cloned();
        let replicas = match freshness {
            Freshness::Primary => Vec::new(),
            Freshness::Session | Freshness::MaxAge(_) => self.replicas(serves),
        };
        if replicas.is_empty() && primary.is_none() {
            return Eligible::Empty(self.unserved_reason(needed_position));
        }
        Eligible::Serve { replicas, primary }
    }

    fn replicas(&self, serves: impl Fn(&EndpointStatus) -> bool) -> Vec<EndpointId> {
        let replica = |status: &EndpointStatus| status.role == Role::Replica && serves(status);
        let mut found: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.status.as_ref().is_some_and(replica))
            .map(|(id, member)| (self.host_domain.as_ref() != Some(&member.failure_domain), id))
            .collect();
        found.sort();
        found.into_iter().map(|(_, id)| id.clone()).collect()
    }

    fn needed_position(
        &self,
        now: Timestamp,
        floor: &Floor,
        freshness: Freshness,
    ) -> Result<Position, UnservedReason> {
        let floor = self
            .resolve_floor(floor)
            .ok_or_else(|| self.reason_without_anchor(UnservedReason::NoPrimary))?;
        match freshness {
            Freshness::Session | Freshness::Primary => Ok(floor),
            Freshness::MaxAge(max_age) => {
                let anchor = self.anchors.within_age(now, max_age);
                let anchor =
                    anchor.ok_or_else(|| self.reason_without_anchor(UnservedReason::Stale))?;
                Ok(floor.max(anchor.position))
            }
        }
    }

    /// Why a read that lacks an anchor cannot be served. `otherwise` is the reason if probes cannot
    /// yield an anchor although endpoints are connected.
    fn reason_without_anchor(&self, otherwise: UnservedReason) -> UnservedReason {
        let in_term =
            |status: &EndpointStatus| status.term == self.term() && !status.is_fenced_off();
        if self.connected_count() == 0 {
            UnservedReason::NoEndpoint
        } else if self.primary().is_some() && self.count(in_term) >= self.majority() {
            UnservedReason::Wait(WaitFor::Anchor)
        } else {
            otherwise
        }
    }

    fn unserved_reason(&self, needed_position: Position) -> UnservedReason {
        if self.connected_count() == 0 {
            UnservedReason::NoEndpoint
        } else if needed_position.term > self.term() {
            UnservedReason::Wait(WaitFor::Term(needed_position.term))
        } else if self.primary().is_none() {
            UnservedReason::NoPrimary
        } else {
            UnservedReason::Wait(WaitFor::Position(needed_position))
        }
    }
}
