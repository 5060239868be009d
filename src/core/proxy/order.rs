//! Sends orders to endpoints and connects each group's failover to the proxy core.

use super::connection::{Owner, Task};
use super::failover::{self, Claim, ClaimError, FailoverEffect, GroupSnapshot, PromoteAnswer};
use super::group::GroupState;
use super::job::{JobAnswer, Order};
use super::lease::LeadProof;
use super::{Proxy, ProxyEffect};
use crate::core::group::Role;
use crate::types::{ConnectionId, EndpointId, GroupId, RowVersion, Timestamp};

impl Proxy {
    /// Queues an order unless the same one is already queued or running.
    pub(super) fn order(&mut self, group: &GroupId, endpoint: &EndpointId, order: Order) {
        let entry = (group.clone(), endpoint.clone(), order);
        let running = self.connections.values().any(|connection| {
            connection.task == Some(Task::Order(order)) && connection.endpoint == *endpoint
        });
        if !running && !self.orders.contains(&entry) {
            self.orders.push(entry);
        }
    }

    /// Sends the queued orders that have an idle connection, and opens connections for the others.
    pub(super) fn send_orders(&mut self, now: Timestamp) {
        for (group, endpoint, order) in std::mem::take(&mut self.orders) {
            let state = self.groups.get(&group).and_then(|group| group.endpoints.get(&endpoint));
            if state.is_none_or(|state| self.is_closed(now, state)) {
                continue;
            }
            if let Some(id) = self.connection_for_order(&group, &endpoint) {
                self.run_order(now, id, order);
                continue;
            }
            if self.connecting_count(&group, &endpoint, &Owner::Host) == 0 {
                self.try_connect(now, &group, &endpoint, &Owner::Host, 1);
            }
            self.orders.push((group, endpoint, order));
        }
    }

    /// An idle connection for an order. Answers to orders have no signature, so at an endpoint that sends
    /// answers again only a new connection can run one.
    fn connection_for_order(
        &mut self,
        group: &GroupId,
        endpoint: &EndpointId,
    ) -> Option<ConnectionId> {
        let state = self.groups.get(group)?.endpoints.get(endpoint)?;
        if !state.repeats_answers {
            return self.idle_connection(group, endpoint, None);
        }
        let id = self.idle_connection(group, endpoint, Some(&Owner::Host))?;
        if self.connections.get(&id)?.uses > 0 {
            self.close_connection(id);
            return None;
        }
        Some(id)
    }

    pub(super) fn on_order_answered(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        order: Order,
        answer: &JobAnswer,
    ) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (endpoint, group_id) = (connection.endpoint.clone(), connection.group.clone());
        let sent = connection.started;
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        if let Err((refusal, text)) = &answer.result {
            tracing::info!(
                endpoint = endpoint.as_str(),
                ?order,
                ?refusal,
                text = text.as_str(),
                "group: order was refused"
            );
            return;
        }
        let Some(status) = answer.status else { return };
        let before = group.leader.clone();
        if group.failover.under_way(now) {
            tracing::info!(endpoint = endpoint.as_str(), group = group_id.as_str(), ?order,
                role = %status.role, term = status.term.0, received = %status.received,
                lag_ms = status.lag_ms.0, applied = answer.position.as_ref().map(ToString::to_string),
                age_ms = now.ms_since(sent).0, "failover: endpoint status");
        }
        match status.role {
            Role::Primary => {
                group.on_primary_proof(now, &endpoint, status.term);
                self.record_position(sent, &group_id, &endpoint, status.received);
            }
            Role::Replica => {
                if let Some(position) = answer.position {
                    group.on_position(&endpoint, position, None);
                }
                group.on_not_primary(now, &endpoint);
            }
        }
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        if before != group.leader {
            log_leader(&group_id, group, &endpoint);
        }
        let effects = group.failover.on_status(now, &endpoint, status);
        self.failover_effects(&group_id, effects);
    }

    pub(super) fn failover_effects(&mut self, group: &GroupId, effects: Vec<FailoverEffect>) {
        for effect in effects {
            match effect {
                FailoverEffect::Claim(version, claim) => {
                    self.out.push(ProxyEffect::Claim(group.clone(), version, claim));
                }
                FailoverEffect::Order(endpoint, order) => self.order(group, &endpoint, order),
                FailoverEffect::Promote(endpoint, token) => {
                    self.out.push(ProxyEffect::Promote(group.clone(), endpoint, token));
                }
            }
        }
        self.dirty.insert(group.clone());
    }

    /// Processes a row of a group that the store has listed.
    pub fn on_claim_row(
        &mut self,
        now: Timestamp,
        group: &GroupId,
        version: RowVersion,
        claim: Option<&Claim>,
    ) {
        self.evidence.on_listed_row(version);
        self.adopt_claim_row(now, group, version, claim);
    }

    /// Processes a row of a group.
    pub(super) fn adopt_claim_row(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        version: RowVersion,
        claim: Option<&Claim>,
    ) {
        self.record_claim(group_id, version, claim);
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let effects = group.failover.on_row(now, self.lease_end, version, claim);
        group.drop_excluded_leader(now);
        self.failover_effects(group_id, effects);
        let Some(group) = self.groups.get(group_id) else { return };
        if let Some(leader) = claim.and_then(|claim| claim.leader.clone()) {
            if group.leader.as_ref() != Some(&leader) && group.endpoints.contains_key(&leader) {
                // The row only names the endpoint; its status proves that it is the primary.
                self.order(group_id, &leader, Order::Status);
            }
        }
        self.dirty.insert(group_id.clone());
        self.dispatch_changed_groups(now);
    }

    /// Processes the outcome of writing a claim.
    pub fn on_claimed(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        result: Result<RowVersion, ClaimError>,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let effects = group.failover.on_claimed(now, self.lease_end, result);
        group.drop_excluded_leader(now);
        let (version, row) = group.failover.row();
        let row = row.cloned();
        self.record_claim(group_id, version, row.as_ref());
        self.failover_effects(group_id, effects);
        self.check_failover(now, group_id);
        self.dispatch_changed_groups(now);
    }

    /// Processes the platform's answer to a promotion call.
    pub fn on_promoted(&mut self, now: Timestamp, group_id: &GroupId, answer: PromoteAnswer) {
        tracing::info!(group = group_id.as_str(), ?answer, "failover: promotion was answered");
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let effects = group.failover.on_promoted(now, answer);
        self.failover_effects(group_id, effects);
        self.dispatch_changed_groups(now);
    }

    /// Runs the timed steps of a group's failover.
    pub(super) fn check_failover(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let silence = match self.spec.lead_proof {
            LeadProof::Transaction => failover::SILENCE_LIMIT,
            LeadProof::Lease => failover::LEASED_SILENCE_LIMIT,
        };
        let fault = group.primary_fault(now, silence, failover::DOWN_LIMIT);
        let mut snapshot = group_snapshot(now, group);
        if fault.is_none() && self.spec.lead_proof == LeadProof::Lease {
            snapshot.staying.clone_from(&group.leader);
        }
        let before = group.failover.state();
        let effects = group.failover.tick(now, fault.is_some(), &snapshot, &self.evidence);
        if before != group.failover.state() {
            tracing::info!(group = group_id.as_str(), state = ?group.failover.state(), ?fault,
                leader = group.leader.as_ref().map(EndpointId::as_str),
                term = group.term.0, candidates = snapshot.candidates.len(),
                "failover: state changed on a timer");
        }
        self.failover_effects(group_id, effects);
    }
}

fn group_snapshot(now: Timestamp, group: &GroupState) -> GroupSnapshot {
    let leader = group.leader.as_ref();
    let others = group.endpoints.iter().filter(|(id, _)| leader != Some(*id));
    let candidates = others
        .clone()
        .filter(|(_, state)| !state.is_leaving() && state.missing_since.is_none())
        .filter(|(_, state)| state.is_healthy(now))
        .map(|(id, _)| id.clone())
        .collect();
    let leaving = leader.filter(|id| {
        let state = group.endpoints.get(*id);
        state.is_some_and(|state| state.is_leaving() && state.is_healthy(now))
    });
    GroupSnapshot {
        candidates,
        evacuated: group.evacuated(now),
        leaving: leaving.cloned(),
        staying: None,
        sync_replicas: group.config.sync_replicas,
        replicas: others.count(),
        term: group.term,
    }
}

fn log_leader(id: &GroupId, group: &GroupState, endpoint: &EndpointId) {
    tracing::info!(
        group = id.as_str(),
        endpoint = endpoint.as_str(),
        leader = group.leader.as_ref().map(EndpointId::as_str),
        term = group.term.0,
        "group: an endpoint's status changed the leader"
    );
}
