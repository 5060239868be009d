//! Which request runs next, and on which connection.

use std::rc::Rc;

use rand::seq::SliceRandom;

use super::connection::ConnectionJob;
use super::{Broker, BrokerEffect, OrderKind, ReadChoice, RequestEvent};
use crate::core::group::{Eligible, UnservedReason};
use crate::core::promotion::PromotionEffect;
use crate::error::ErrorKind;
use crate::types::{ConnectionId, EndpointId, GroupId, RequestId, Timestamp};

/// Reads that may be taken out of the queue while they wait for a busy replica. More would lose
/// the queue's order, because requests of other accounts that arrive later could not overtake.
const MAX_PARKED: usize = 4;

/// What to do with a read now.
enum Placement {
    /// Run it on this connection.
    On(ConnectionId),
    /// An endpoint could serve it, but has no free connection.
    Busy(Vec<EndpointId>),
    /// No endpoint can serve it yet.
    Later,
    /// It is refused.
    Refuse(ErrorKind),
}

impl Broker {
    /// Starts whatever can start in a group.
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
                        self.out.push(BrokerEffect::Order(id, order));
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

    /// Tries the parked reads again, in the order in which they left the queue.
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
            if !self.any_free(group_id) {
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

    /// Replicas come first; the primary serves a read that no replica may serve, or for which the
    /// replicas stayed busy longer than the patience.
    fn placement(&mut self, now: Timestamp, group_id: &GroupId, id: RequestId) -> Placement {
        let Some(request) = self.requests.get(&id) else { return Placement::Later };
        let Some(session) = self.sessions.get(&request.session) else { return Placement::Later };
        let patient = now < request.queued + self.settings.primary_patience_ms;
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
            // The primary or an endpoint may come back before the deadline; `expire` tells the
            // caller which of them was missing if none does.
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
            Some(primary) if replicas.is_empty() || !patient => {
                match self.free_connection(group_id, &primary) {
                    Some(connection) => Placement::On(connection),
                    None => Placement::Busy(replicas.into_iter().chain([primary]).collect()),
                }
            }
            _ => Placement::Busy(replicas),
        }
    }

    /// Any endpoint of `candidates`, a free one if there is one.
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

    /// Whether an endpoint may get new work.
    fn takes_work(&self, group: &GroupId, endpoint: &EndpointId) -> bool {
        let slot = self.groups.get(group).and_then(|group| group.endpoints.get(endpoint));
        slot.is_some_and(|slot| !slot.spec.leaving)
    }

    fn any_free(&self, group_id: &GroupId) -> bool {
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

    /// Connections of one host to an endpoint: its even share, rounded up under load. The endpoint
    /// refuses what is over its limit, which delays the next try.
    fn connect_if_allowed(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        endpoint: &EndpointId,
        order: bool,
    ) {
        let Some(group) = self.groups.get(group_id) else { return };
        let Some(slot) = group.endpoints.get(endpoint) else { return };
        let share = slot.spec.connections.div_ceil(self.live_hosts).max(1);
        // An order must not wait behind a request that hangs on the only connection.
        let allowed = share + u64::from(order);
        let held = slot.connections.len() as u64;
        if slot.connecting == 0 && held < allowed && now >= slot.connect_after {
            self.connect(now, group_id, endpoint);
        }
    }

    /// Keeps one connection to each endpoint, over which its status arrives.
    pub(super) fn keep_warm(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get(group_id) else { return };
        let cold: Vec<EndpointId> = group
            .endpoints
            .iter()
            .filter(|(_, slot)| slot.connections.is_empty() && now >= slot.connect_after)
            .map(|(id, _)| id.clone())
            .collect();
        for endpoint in cold {
            self.connect(now, group_id, &endpoint);
        }
    }

    pub(super) fn probe(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        for endpoint in group.view.due_probes(now) {
            let Some(id) = self.free_connection(group_id, &endpoint) else {
                // Busy with requests: another connection shows whether the endpoint answers.
                self.connect_if_allowed(now, group_id, &endpoint, true);
                continue;
            };
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.start(ConnectionJob::Probe, now);
                self.out.push(BrokerEffect::Probe(id));
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
                    self.out.push(BrokerEffect::ReadRecord(group_id.clone()));
                    continue;
                }
                PromotionEffect::SwapRecord { expected_version, record } => {
                    let group = group_id.clone();
                    self.out.push(BrokerEffect::SwapRecord { group, expected_version, record });
                    continue;
                }
                PromotionEffect::Fence { endpoint, term } => (endpoint, OrderKind::Fence(term)),
                PromotionEffect::Promote { endpoint, term } => (endpoint, OrderKind::Promote(term)),
                PromotionEffect::Follow { endpoint, term, primary } => {
                    let Some(slot) = group.endpoints.get(&primary) else { continue };
                    (endpoint, OrderKind::Follow(term, slot.spec.address))
                }
            };
            // The procedure repeats its orders; one of a kind is enough.
            if !group.orders.contains(&order) {
                group.orders.push_back(order);
            }
        }
        self.dispatch_orders(now, group_id);
    }
}
