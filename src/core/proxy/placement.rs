//! Placement: the endpoints that may run a request, in order of preference.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::catalog::ReadRule;
use super::domains::Crossing;
use super::group::{EndpointState, GroupState};
use super::request::Request;
use super::session::Session;
use super::{Proxy, StatementKind};
use crate::types::{DurationMs, EndpointId, Position, Timestamp};

/// Latencies are ranked in powers of two of this unit; smaller differences are random.
const LATENCY_UNIT_US: u64 = 16_000;
/// A read that may run on a replica may use the primary after the target latency divided by this.
const PRIMARY_FALLBACK_DIVISOR: u64 = 4;
/// Time for which a leaving endpoint still gets work if no other endpoint can run it. It is well
/// below the time after which the platform forbids such work.
const LEAVING_GRACE: DurationMs = DurationMs(3_000);

/// An endpoint that may run a request, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Placement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Log position that it must have applied; `None` on the primary.
    pub after: Option<Position>,
    /// Whether it is the primary.
    pub at_primary: bool,
    /// Where it lies relative to this host, and why.
    pub crossing: Crossing,
}

impl Proxy {
    /// Endpoints that may run a request now, in order of preference.
    pub(super) fn placements(
        &self,
        now: Timestamp,
        group: &GroupState,
        request: &Request,
    ) -> Vec<Placement> {
        let Some(session) = self.sessions.get(&request.session) else { return Vec::new() };
        let read_only =
            session.transaction.as_ref().is_some_and(|transaction| transaction.read_only);
        let admits = |state: &EndpointState| {
            accepts_work(now, state)
                && !self.is_closed(now, state)
                && self.slow_start_admits(now, group, state)
        };
        let usable = |id: &&EndpointId| group.endpoints.get(*id).is_some_and(admits);
        let primary =
            group.leader.as_ref().filter(usable).filter(|_| self.may_use_primary(now, group));
        let at_primary = |id: &EndpointId| {
            let state = group.endpoints.get(id);
            let is_near = state.is_some_and(|state| state.is_in(&self.spec.failure_domain));
            let crossing = if is_near { Crossing::Near } else { Crossing::NeedsPrimary };
            Placement { endpoint: id.clone(), after: None, at_primary: true, crossing }
        };
        let primary = primary.map(at_primary);
        if request.needs_primary(read_only) {
            return primary.into_iter().collect();
        }
        let mut candidates = match required_position(group, request, session) {
            Some(floor) => self.replicas(now, group, request, floor, &admits),
            None => Vec::new(),
        };
        let fallback_delay =
            DurationMs(request.route.target_latency_ms.0 / PRIMARY_FALLBACK_DIVISOR);
        if candidates.is_empty() || now >= request.arrived + fallback_delay {
            candidates.extend(primary);
        }
        candidates
    }

    /// Replicas that may run a request which needs the log position `floor`, in order of preference.
    fn replicas(
        &self,
        now: Timestamp,
        group: &GroupState,
        request: &Request,
        floor: Position,
        admits: &dyn Fn(&EndpointState) -> bool,
    ) -> Vec<Placement> {
        let replicas = group.endpoints.iter().filter(|(id, _)| group.leader.as_ref() != Some(*id));
        let others_stay =
            replicas.clone().any(|(_, state)| !state.is_leaving() && state.is_healthy(now));
        let primary = group.leader.as_ref().and_then(|id| group.endpoints.get(id));
        let primary_stays =
            primary.is_some_and(|state| !state.is_leaving() && state.is_healthy(now));
        let usable = |id: &EndpointId, state: &EndpointState| {
            let reachable = state.connect_after <= now || !state.connections.is_empty();
            let stays_elsewhere = others_stay || (primary_stays && state.evacuated_since.is_some());
            let leaves = state.is_leaving() && stays_elsewhere;
            let lacks = state.gap.covers(now, state.applied, floor);
            !request.tried.contains(id) && reachable && !leaves && !lacks && admits(state)
        };
        let usable: Vec<_> = replicas.filter(|(id, state)| usable(id, state)).collect();
        let own_domain = &self.spec.failure_domain;
        let near = usable.iter().filter(|(_, state)| state.is_in(own_domain));
        let near: Vec<bool> = near.map(|(_, state)| state.applied < floor).collect();
        let leaves = group.away.includes(&request.account);
        let mut candidates: Vec<_> = usable
            .into_iter()
            .map(|(id, state)| {
                let latency = (state.latency_us / LATENCY_UNIT_US).clamp(1, 64).ilog2();
                let behind = state.applied < floor;
                let is_cold = group.config.slow_start.is_some() && state.slow_start.is_cold(now);
                let is_avoided = state.is_in(own_domain) == leaves;
                let health = (!state.is_healthy(now), state.is_leaving(), is_cold, behind);
                let rank = (health, is_avoided, latency);
                let crossing = self.read_crossing(group, &request.account, state, &near);
                (rank, affinity_hash(request, id), id.clone(), crossing)
            })
            .collect();
        candidates.sort();
        let placement = |(_, _, endpoint, crossing)| Placement {
            endpoint,
            after: Some(floor),
            at_primary: false,
            crossing,
        };
        candidates.into_iter().map(placement).collect()
    }
}

/// Log position that a replica must have applied to run a request; `None` if only the primary may
/// run it or no position of the primary was sampled recently enough.
fn required_position(group: &GroupState, request: &Request, session: &Session) -> Option<Position> {
    let (max_age, own_commit) = match request.route.rule {
        ReadRule::Primary => return None,
        ReadRule::MaxAge(age) => (age, None),
        ReadRule::OwnWrites(age) => (age, session.committed),
    };
    let floor = group.position_covering(request.began - max_age)?;
    Some(own_commit.map_or(floor, |own_commit| floor.max(own_commit)))
}

/// Whether an endpoint may get new work: it does not leave, or began to only recently.
fn accepts_work(now: Timestamp, state: &EndpointState) -> bool {
    let since = state.leaving_since.into_iter().chain(state.evacuated_since).min();
    since.is_none_or(|since| now < since + LEAVING_GRACE)
}

/// Hash that gives each client account its own order of equally good replicas, so that accounts
/// are spread over the replicas and each reuses its connections.
fn affinity_hash(request: &Request, endpoint: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (request.account.as_str(), endpoint.as_str()).hash(&mut hasher);
    hasher.finish()
}

impl StatementKind {
    /// Whether the statement is outside of a transaction.
    pub fn is_single(self) -> bool {
        matches!(self, StatementKind::SingleRead | StatementKind::SingleWrite)
    }
}
