//! Evacuation of failure domains: the operator's orders, and how they apply to endpoints.
//!
//! An order names a failure domain whose endpoints get nothing more until it is taken back. It is
//! kept like the configuration: a host without the store goes on with the orders that it knows, and
//! hosts pass them on to each other. An evacuated endpoint counts as leaving, so that reads and new
//! transactions go elsewhere and a primary is replaced; it only keeps its log, since it goes on
//! running. Shortly before the operator's time limit, whatever is left is ended.

use std::collections::BTreeMap;

use super::group::{EndpointState, GroupState};
use super::request::Request;
use super::{Proxy, ProxyEffect};
use crate::types::{
    ConnectionId, DurationMs, EndpointId, FailureDomain, RowVersion, SessionId, Timestamp,
};

/// Part of the operator's time limit after which nothing is sent to an evacuated endpoint, in
/// percent. The order is known only some time after it was acknowledged, and what was sent before
/// may be on its way for a while.
const CLOSE_PERCENT: u64 = 60;

/// What the operator last ordered for a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Version of the row at the order, or of the store when the row was found missing.
    pub version: RowVersion,
    /// Whether the domain is evacuated; otherwise the order was taken back.
    pub is_evacuated: bool,
}

#[derive(Debug)]
struct KnownOrder {
    version: RowVersion,
    /// Since when this host knows that the domain is evacuated.
    since: Option<Timestamp>,
}

/// The orders that this host knows of.
#[derive(Debug, Default)]
pub struct Evacuations(BTreeMap<FailureDomain, KnownOrder>);

impl Evacuations {
    /// Applies orders that were read from the store at `version`: all of them if `is_complete`,
    /// otherwise the changed ones. Returns whether a domain was evacuated or taken back.
    pub fn apply(
        &mut self,
        now: Timestamp,
        version: RowVersion,
        is_complete: bool,
        orders: Vec<EvacuationOrder>,
    ) -> bool {
        let mut changed = false;
        if is_complete {
            for (domain, known) in &mut self.0 {
                let is_listed = orders.iter().any(|order| order.failure_domain == *domain);
                if is_listed || known.since.is_none() {
                    continue;
                }
                if known.version.era() < version.era() {
                    // The operator has not taken it back: a restore of the store has lost the row.
                    tracing::warn!(domain = domain.as_str(), %version,
                        "evacuation: order was lost by a restore of the store and is kept");
                } else {
                    (known.version, known.since) = (version, None);
                    changed = true;
                }
            }
        }
        self.merge(now, orders) || changed
    }

    /// Adopts orders that are newer than the known ones. Returns whether a domain was evacuated or
    /// taken back.
    pub fn merge(&mut self, now: Timestamp, orders: Vec<EvacuationOrder>) -> bool {
        let mut changed = false;
        for EvacuationOrder { failure_domain, version, is_evacuated } in orders {
            let since = is_evacuated.then_some(now);
            let Some(known) = self.0.get_mut(&failure_domain) else {
                changed |= is_evacuated;
                self.0.insert(failure_domain, KnownOrder { version, since });
                continue;
            };
            // A restored store has orders again that were taken back after the copy was made.
            let is_restored = known.since.is_none()
                && known.version.era() < version.era()
                && version.number() <= known.version.number();
            if version <= known.version || (is_evacuated && is_restored) {
                continue;
            }
            changed |= known.since.is_some() != is_evacuated;
            known.version = version;
            known.since = since.map(|since| known.since.unwrap_or(since));
        }
        changed
    }

    /// Since when this host knows that a failure domain is evacuated; `None` if it is not.
    pub fn since(&self, domain: &FailureDomain) -> Option<Timestamp> {
        self.0.get(domain)?.since
    }

    /// The last known order for each failure domain.
    pub fn orders(&self) -> Vec<EvacuationOrder> {
        let order = |(domain, known): (&FailureDomain, &KnownOrder)| EvacuationOrder {
            failure_domain: domain.clone(),
            version: known.version,
            is_evacuated: known.since.is_some(),
        };
        self.0.iter().map(order).collect()
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.0.iter().filter(|(_, known)| known.since.is_some()).map(|(domain, _)| domain)
    }
}

impl EndpointState {
    /// Whether nothing may be sent to the endpoint any more. `limit` is the operator's time limit of
    /// an evacuation.
    pub fn is_closed(&self, now: Timestamp, limit: DurationMs) -> bool {
        let after = DurationMs(limit.0 * CLOSE_PERCENT / 100);
        self.evacuated_since.is_some_and(|since| now >= since + after)
    }
}

impl Proxy {
    /// Adopts orders read from the store, as [`Evacuations::apply`] does.
    pub fn on_evacuation_rows(
        &mut self,
        now: Timestamp,
        version: RowVersion,
        is_complete: bool,
        orders: Vec<EvacuationOrder>,
    ) {
        if self.evacuations.apply(now, version, is_complete, orders) {
            self.apply_evacuations(now);
        }
    }

    /// Adopts orders that another host knows of.
    pub fn on_evacuation_orders(&mut self, now: Timestamp, orders: Vec<EvacuationOrder>) {
        if self.evacuations.merge(now, orders) {
            self.apply_evacuations(now);
        }
    }

    /// The evacuations that this host knows of.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    fn apply_evacuations(&mut self, now: Timestamp) {
        let domains: Vec<&str> = self.evacuations.domains().map(FailureDomain::as_str).collect();
        tracing::info!(domains = domains.join(" "), "evacuation: evacuated domains changed");
        self.out.push(ProxyEffect::AnnounceEvacuations(self.evacuations.orders()));
        for (id, group) in &mut self.groups {
            group.set_evacuations(&self.evacuations);
            self.dirty.insert(id.clone());
        }
        self.dispatch_changed_groups(now);
    }

    /// Whether nothing may be sent to an endpoint because its failure domain is evacuated.
    pub(super) fn is_closed(&self, now: Timestamp, state: &EndpointState) -> bool {
        state.is_closed(now, self.spec.margins.evacuation_limit_ms)
    }

    /// Whether nothing may be sent on a connection because its endpoint is evacuated.
    pub(super) fn is_connection_closed(&self, now: Timestamp, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else { return false };
        let group = self.groups.get(&connection.group);
        let state = group.and_then(|group| group.endpoints.get(&connection.endpoint));
        state.is_some_and(|state| self.is_closed(now, state))
    }

    /// Whether a waiting request needs a primary that is evacuated and that no failover replaces, so
    /// that waiting is pointless.
    pub(super) fn needs_evacuated_primary(&self, now: Timestamp, request: &Request) -> bool {
        let Some(group) = self.groups.get(&request.route.group) else { return false };
        let primary = group.leader.as_ref().and_then(|id| group.endpoints.get(id));
        primary.is_some_and(|state| self.is_closed(now, state))
            && !group.failover.under_way(now)
            && self.placements(now, group, request).is_empty()
    }

    /// Ends what is still open at endpoints that nothing may be sent to: idle connections, and
    /// transactions without a statement in progress. Closing a connection rolls back without
    /// sending anything.
    pub(super) fn close_evacuated(&mut self, now: Timestamp) {
        if self.evacuations.domains().next().is_none() {
            return;
        }
        let idle = self
            .connections
            .iter()
            .filter(|(id, pooled)| pooled.is_idle() && self.is_connection_closed(now, **id));
        let idle: Vec<ConnectionId> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.close_connection(id);
        }
        let held = self.sessions.iter().filter_map(|(id, session)| {
            let connection = session.transaction.as_ref()?.connection?;
            let is_over = session.request.is_none() && self.is_connection_closed(now, connection);
            is_over.then_some((*id, connection))
        });
        let held: Vec<(SessionId, ConnectionId)> = held.collect();
        for (session, connection) in held {
            tracing::info!(
                session = session.0,
                connection = connection.0,
                "evacuation: a transaction at an evacuated endpoint was ended"
            );
            let open = self.sessions.get_mut(&session).and_then(|found| found.transaction.as_mut());
            if let Some(open) = open {
                (open.lost, open.connection) = (true, None);
            }
            self.close_connection(connection);
        }
    }
}

impl GroupState {
    /// Marks the endpoints of evacuated failure domains.
    pub fn set_evacuations(&mut self, evacuations: &Evacuations) {
        for state in self.endpoints.values_mut() {
            state.evacuated_since = evacuations.since(&state.entry.failure_domain);
        }
    }

    /// Evacuated endpoints that go on running.
    pub fn evacuated(&self, now: Timestamp) -> Vec<EndpointId> {
        let evacuated = self.endpoints.iter().filter(|(_, state)| {
            let runs = state.is_healthy(now) && state.missing_since.is_none();
            state.evacuated_since.is_some() && runs
        });
        evacuated.map(|(id, _)| id.clone()).collect()
    }
}
