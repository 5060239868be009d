//! Which endpoint may run a request, best first.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::catalog::ReadRule;
use super::group::{EndpointState, GroupState};
use super::request::Request;
use super::session::Session;
use super::{Proxy, ProxyMoment};
use crate::types::{DurationMs, EndpointId, Position, Timestamp};

/// Answer times below this count as equal; they differ by chance.
const EQUAL_LATENCY_US: u64 = 16_000;
/// Part of the target latency after which a read that could run on a replica may use the primary.
const PRIMARY_PATIENCE_DIVISOR: u64 = 4;
/// Time for which an endpoint that leaves still gets work if no other one can do it; well below the
/// time after which the platform forbids it.
const LEAVING_REACH: DurationMs = DurationMs(3_000);

/// How a request is to run on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Placement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Position that its log must hold; none at the primary.
    pub after: Option<Position>,
    /// Whether it runs there as at the primary.
    pub at_primary: bool,
}

impl Proxy {
    /// Endpoints that may run a request now, best first.
    pub(super) fn options(
        &self,
        now: Timestamp,
        group: &GroupState,
        request: &Request,
    ) -> Vec<Placement> {
        let Some(session) = self.sessions.get(&request.session) else { return Vec::new() };
        let read_only = session.transaction.as_ref().is_some_and(|open| open.read_only);
        let usable =
            |id: &&EndpointId| group.endpoints.get(*id).is_some_and(|state| takes_work(now, state));
        let primary = group.leader.as_ref().filter(usable);
        let primary =
            primary.map(|id| Placement { endpoint: id.clone(), after: None, at_primary: true });
        if request.needs_primary(read_only) {
            return primary.into_iter().collect();
        }
        let mut found = match needed(group, request, session) {
            Some(floor) => replicas(now, group, request, floor),
            None => Vec::new(),
        };
        let patience = DurationMs(request.route.target_latency_ms.0 / PRIMARY_PATIENCE_DIVISOR);
        if found.is_empty() || now >= request.arrived + patience {
            found.extend(primary);
        }
        found
    }
}

/// Position that a replica must hold for a request; none if no sample is young enough.
fn needed(group: &GroupState, request: &Request, session: &Session) -> Option<Position> {
    let (max_age, own) = match request.route.rule {
        ReadRule::Primary => return None,
        ReadRule::MaxAge(age) => (age, None),
        ReadRule::OwnWrites(age) => (age, session.committed),
    };
    let floor = group.position_covering(request.began - max_age)?;
    Some(own.map_or(floor, |own| floor.max(own)))
}

fn replicas(
    now: Timestamp,
    group: &GroupState,
    request: &Request,
    floor: Position,
) -> Vec<Placement> {
    let others = group.endpoints.iter().filter(|(id, _)| group.leader.as_ref() != Some(*id));
    let staying = others.clone().any(|(_, state)| !state.entry.leaving && state.is_healthy(now));
    let usable = |id: &EndpointId, state: &EndpointState| {
        let reachable = state.connect_after <= now || !state.connections.is_empty();
        let leaves = state.entry.leaving && staying;
        !request.tried.contains(id) && reachable && !leaves && takes_work(now, state)
    };
    let mut found: Vec<_> = others
        .filter(|(id, state)| usable(id, state))
        .map(|(id, state)| {
            let latency = (state.latency_us / EQUAL_LATENCY_US).clamp(1, 64).ilog2();
            let behind = state.applied < floor;
            let rank = (!state.is_healthy(now), state.entry.leaving, behind, latency);
            (rank, affinity(request, id), id.clone())
        })
        .collect();
    found.sort();
    let option = |endpoint| Placement { endpoint, after: Some(floor), at_primary: false };
    found.into_iter().map(|(_, _, endpoint)| option(endpoint)).collect()
}

/// Whether an endpoint may get new work at all.
fn takes_work(now: Timestamp, state: &EndpointState) -> bool {
    state.leaving_since.is_none_or(|since| now < since + LEAVING_REACH)
}

/// Spreads the client accounts over the replicas, so that each keeps its connections.
fn affinity(request: &Request, endpoint: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (request.account.as_str(), endpoint.as_str()).hash(&mut hasher);
    hasher.finish()
}

impl ProxyMoment {
    /// Whether the statement stands outside of a transaction.
    pub fn is_single(self) -> bool {
        matches!(self, ProxyMoment::SingleRead | ProxyMoment::SingleWrite)
    }
}
