//! Assigns waiting requests, probes and promotion orders to endpoint connections.

use std::rc::Rc;

use rand::seq::SliceRandom;

use super::connection::ConnectionJob;
use super::{Broker, BrokerEffect, OrderKind, ReadChoice, RequestEvent};
use crate::core::group::{Eligible, UnservedReason};
use crate::core::promotion::PromotionEffect;
use crate::error::ErrorKind;
use crate::types::{ConnectionId, EndpointId, GroupId, RequestId, Timestamp};

/// Maximum reads of a group that were taken from the fair queue but cannot run yet. Later requests
/// of other accounts cannot overtake them, so a higher limit would weaken the queue's fairness.
const MAX_PARKED: usize = 4;

/// Where a read can run now.
enum Placement {
    /// On this free connection.
    On(ConnectionId),
    /// On one of these endpoints, none of which has a free connection.
    Busy(Vec<EndpointId>),
    /// Nowhere yet: no endpoint can serve it at present.
    Later,
    /// Nowhere: it is refused.
    Refuse(ErrorKind),
}

impl Broker {
    /// Starts every order and request of a group that can run now.
    pub(super) fn dispatch(&mut self, now: Timestamp, group: &GroupId) {
        self.dispatch_orders(now, group);
        self.dispatch_writes(now, group);
        self.dispatch_parked(now, group);
        self.dispatch_reads(now, group);
    }

    fn dispatch_orders(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let orders = std::mem::take(&mut group.orders);
        for (endpoint, order) in orders {
            match self.free_connection(group_id, &endpoint) {
                Some(id) => {
                    if let Some(connection) = self.connections.get_mut(&id) {
                        connection.start(ConnectionJob::Order(order.clone()), now);
                        self.effects.push(BrokerEffect::Order(id, order));
                        self.note_asked(now, group_id, &endpoint);
                    }
                }
                None => {
                    self.connect_if_allowed(now, group_id, &endpoint, true);
                    if let Some(group) = self.groups.get_mut(group_id) {
                        group.orders.push_back((endpoint, order));
                    }
                }
            }
        }
    }

    fn dispatch_writes(&mut self, now: Timestamp, group_id: &GroupId) {
        loop {
            let Some(group) = self.groups.get(group_id) else { return };
            let Some(primary) = group.view.primary().cloned() else { return };
            if group.writes.is_empty() || !self.takes_work(group_id, &primary) {
                return;
            }
            let Some(connection) = self.free_connection(group_id, &primary) else {
                return self.connect_if_allowed(now, group_id, &primary, false);
            };
            let next = self.groups.get_mut(group_id).and_then(|group| group.writes.pop(now));
            let Some(id) = next else { return };
            self.assign(now, id, connection);
        }
    }

    /// Retries the placement of the parked reads, in the order in which they left the queue.
    fn dispatch_parked(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let parked = std::mem::take(&mut group.parked);
        for id in parked {
            if self.requests.get(&id).is_some_and(super::Request::is_queued) {
                self.place(now, group_id, id);
            }
        }
    }

    fn dispatch_reads(&mut self, now: Timestamp, group_id: &GroupId) {
        loop {
            let Some(group) = self.groups.get(group_id) else { return };
            if group.reads.is_empty() || group.parked.len() >= MAX_PARKED {
                return;
            }
            if !self.has_free_connection(group_id) {
                return self.connect_for_reads(now, group_id);
            }
            let next = self.groups.get_mut(group_id).and_then(|group| group.reads.pop(now));
            let Some(id) = next else { return };
            self.place(now, group_id, id);
        }
    }

    fn place(&mut self, now: Timestamp, group_id: &GroupId, id: RequestId) {
        match self.placement(now, group_id, id) {
            Placement::On(connection) => self.assign(now, id, connection),
            Placement::Busy(endpoints) => {
                for endpoint in endpoints {
                    self.connect_if_allowed(now, group_id, &endpoint, false);
                }
                self.park(group_id, id);
            }
            Placement::Later => self.park(group_id, id),
            Placement::Refuse(kind) => {
                self.refuse_kind(now, id, kind, "no endpoint can serve the read");
            }
        }
    }

    fn park(&mut self, group_id: &GroupId, id: RequestId) {
        if let Some(group) = self.groups.get_mut(group_id) {
            group.parked.push(id);
        }
    }

    /// Finds a connection for a read. Replicas come first; the primary serves a read that no
    /// replica may serve, or that has waited longer than `primary_patience_ms` for a busy one.
    fn placement(&mut self, now: Timestamp, group_id: &GroupId, id: RequestId) -> Placement {
        let Some(request) = self.requests.get(&id) else { return Placement::Later };
        let Some(session) = self.sessions.get(&request.session) else { return Placement::Later };
        let waits_for_replica = now < request.queued + self.settings.primary_patience_ms;
        let (floor, freshness) = (session.floor, session.spec.freshness);
        let endpoints = Rc::clone(&session.spec.endpoints);
        let Some(group) = self.groups.get_mut(group_id) else {
            return Placement::Refuse(ErrorKind::NoEndpoint);
        };
        let (replicas, primary) = match group.view.eligible(now, &floor, freshness) {
            Eligible::Serve { replicas, primary } => (replicas, primary),
            Eligible::Empty(UnservedReason::Wait(_)) => {
                group.view.on_anchor_demand(now);
                return Placement::Later;
            }
            // An endpoint may return before the deadline. If none does, `expire` reports to the
            // caller what was missing.
            Eligible::Empty(
                UnservedReason::NoPrimary | UnservedReason::NoEndpoint | UnservedReason::Stale,
            ) => {
                return Placement::Later;
            }
        };
        let in_pool = |id: &EndpointId| endpoints.contains(id) && self.takes_work(group_id, id);
        let replicas: Vec<_> = replicas.into_iter().filter(in_pool).collect();
        let primary = primary.filter(|id| self.takes_work(group_id, id));
        if self.settings.read_choice == ReadChoice::AnyAtRandom {
            return self.random_placement(group_id, replicas.into_iter().chain(primary).collect());
        }
        let free = replicas.iter().find_map(|id| self.free_connection(group_id, id));
        if let Some(connection) = free {
            return Placement::On(connection);
        }
        match primary {
            Some(primary) if replicas.is_empty() || !waits_for_replica => {
                match self.free_connection(group_id, &primary) {
                    Some(connection) => Placement::On(connection),
                    None => Placement::Busy(replicas.into_iter().chain([primary]).collect()),
                }
            }
            _ => Placement::Busy(replicas),
        }
    }

    /// A random endpoint of `candidates`, preferably one with a free connection.
    fn random_placement(
        &mut self,
        group_id: &GroupId,
        mut candidates: Vec<EndpointId>,
    ) -> Placement {
        candidates.shuffle(&mut self.rng);
        let free = candidates.iter().find_map(|id| self.free_connection(group_id, id));
        free.map_or(Placement::Busy(candidates), Placement::On)
    }

    fn assign(&mut self, now: Timestamp, id: RequestId, connection: ConnectionId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.connection = Some(connection);
        }
        self.fire(now, id, RequestEvent::Assign);
    }

    /// Whether an endpoint may get new requests, which a leaving one may not.
    fn takes_work(&self, group: &GroupId, endpoint: &EndpointId) -> bool {
        let slot = self.groups.get(group).and_then(|group| group.endpoints.get(endpoint));
        slot.is_some_and(|slot| !slot.spec.leaving)
    }

    fn has_free_connection(&self, group_id: &GroupId) -> bool {
        let Some(group) = self.groups.get(group_id) else { return false };
        group.endpoints.keys().any(|endpoint| self.free_connection(group_id, endpoint).is_some())
    }

    fn connect_for_reads(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get(group_id) else { return };
        let primary = group.view.primary();
        let replicas: Vec<_> =
            group.endpoints.keys().filter(|id| Some(*id) != primary).cloned().collect();
        for endpoint in replicas {
            self.connect_if_allowed(now, group_id, &endpoint, false);
        }
    }

    /// Opens a connection unless one is being opened, the reconnect delay has not passed or this
    /// host uses its share. The share is the endpoint's connections divided by the live hosts,
    /// rounded up; the shares may therefore exceed the endpoint's limit, in which case it refuses
    /// the connection and the next attempt is delayed.
    fn connect_if_allowed(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        endpoint: &EndpointId,
        allow_extra: bool,
    ) {
        let Some(group) = self.groups.get(group_id) else { return };
        let Some(slot) = group.endpoints.get(endpoint) else { return };
        let share = slot.spec.connections.div_ceil(self.live_hosts).max(1);
        // One extra connection, so that an order or a probe does not wait behind a request that
        // hangs on the only one.
        let allowed = share + u64::from(allow_extra);
        let open = slot.connections.len() as u64;
        if slot.connecting == 0 && open < allowed && now >= slot.connect_after {
            self.connect(now, group_id, endpoint);
        }
    }

    /// Keeps at least one connection to each endpoint open, so that its status is received.
    pub(super) fn keep_connected(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get(group_id) else { return };
        let unconnected: Vec<EndpointId> = group
            .endpoints
            .iter()
            .filter(|(_, slot)| slot.connections.is_empty() && now >= slot.connect_after)
            .map(|(id, _)| id.clone())
            .collect();
        for endpoint in unconnected {
            self.connect(now, group_id, &endpoint);
        }
    }

    pub(super) fn probe(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        for endpoint in group.view.due_probes(now) {
            let Some(id) = self.free_connection(group_id, &endpoint) else {
                // All connections are busy with requests; another one shows whether the endpoint
                // still answers.
                self.connect_if_allowed(now, group_id, &endpoint, true);
                continue;
            };
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.start(ConnectionJob::Probe, now);
                self.effects.push(BrokerEffect::Probe(id));
                self.note_asked(now, group_id, &endpoint);
            }
        }
    }

    pub(super) fn promote(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let effects = group.promotion.tick(now, &group.view);
        self.promotion_effects(now, group_id, effects);
    }

    pub(super) fn promotion_effects(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        effects: Vec<PromotionEffect>,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        if let Some(record) = group.promotion.record().cloned() {
            group.view.on_record(now, &record);
        }
        for effect in effects {
            let order = match effect {
                PromotionEffect::ReadRecord => {
                    self.effects.push(BrokerEffect::ReadRecord(group_id.clone()));
                    continue;
                }
                PromotionEffect::SwapRecord { expected_version, record } => {
                    let group = group_id.clone();
                    self.effects.push(BrokerEffect::SwapRecord { group, expected_version, record });
                    continue;
                }
                PromotionEffect::Fence { endpoint, term } => (endpoint, OrderKind::Fence(term)),
                PromotionEffect::Promote { endpoint, term } => (endpoint, OrderKind::Promote(term)),
                PromotionEffect::Follow { endpoint, term, primary } => {
                    let Some(slot) = group.endpoints.get(&primary) else { continue };
                    (endpoint, OrderKind::Follow(term, slot.spec.address))
                }
            };
            // The promotion procedure repeats its orders; each is queued only once.
            if !group.orders.contains(&order) {
                group.orders.push_back(order);
            }
        }
        self.dispatch_orders(now, group_id);
    }
}
