//! Use of a group's primary: whether it is proven to lead, and what the hosts tell each other about
//! claims.

use std::collections::BTreeSet;

use super::failover::Claim;
use super::group::GroupState;
use super::lease::{ClaimRows, Knowledge, LeadProof, StoreRead};
use super::request::Request;
use super::{Proxy, ProxyEffect};
use crate::types::{DurationMs, EndpointId, GroupId, HostId, RowVersion, Term, Timestamp};

/// Time after the end of the lease, or after a pause of the process, for which a request waits for a
/// new one. An answer of the store or of another host may grant it; a partition lasts longer.
const RENEWAL_WAIT: DurationMs = DurationMs(300);

impl Proxy {
    /// Whether requests may be sent to the group's primary.
    pub(super) fn may_use_primary(&self, now: Timestamp, group: &GroupState) -> bool {
        let allowed = group.leader.as_ref().is_some_and(|leader| group.failover.allows(leader));
        allowed && self.is_leased(now)
    }

    /// Whether an endpoint that acted as the primary of `term` at the time `at` was the only primary
    /// then.
    pub(super) fn was_only_primary(
        &self,
        at: Timestamp,
        group: &GroupState,
        endpoint: &EndpointId,
        term: Term,
    ) -> bool {
        self.is_leased(at) && group.failover.allowed_at(at, endpoint, term)
    }

    pub(super) fn is_leased(&self, at: Timestamp) -> bool {
        self.spec.lead_proof == LeadProof::Transaction || at < self.lease_end
    }

    /// Whether a waiting request can only run on a primary that this host will not be able to use
    /// soon, because it is cut off from the store and from most hosts.
    pub(super) fn lacks_lease(&self, now: Timestamp, request: &Request) -> bool {
        let Some(group) = self.groups.get(&request.route.group) else { return false };
        let has_run = now >= self.running_since + RENEWAL_WAIT;
        let is_lacking = has_run && !self.is_leased(now - RENEWAL_WAIT);
        is_lacking && self.placements(now, group, request).is_empty()
    }

    /// Notes a pause of the process, in which it could not renew its lease.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        if now >= self.ticked_at + RENEWAL_WAIT {
            self.running_since = now;
        }
        self.ticked_at = now;
    }

    /// Renews the lease from what is known.
    pub(super) fn renew_lease(&mut self, now: Timestamp) {
        if self.spec.lead_proof == LeadProof::Transaction {
            return;
        }
        let end = self.evidence.lease_end(now).unwrap_or_default();
        self.lease_end = self.lease_end.max(end);
        let is_leased = self.is_leased(now);
        if self.was_leased != is_leased {
            tracing::info!(is_leased, complete = %self.evidence.complete(),
                age_ms = self.evidence.complete_at().map(|at| now.ms_since(at).0),
                "lease: the use of primaries has begun or ended");
            self.was_leased = is_leased;
            self.dirty.extend(self.groups.keys().cloned());
        }
    }

    /// Called when this host's own row was read from the store.
    pub fn on_listed(&mut self) {
        self.evidence.on_listed();
    }

    /// Processes the time of a read of all changed rows, after the rows themselves.
    pub fn on_store_read(&mut self, now: Timestamp, read: StoreRead) {
        self.evidence.on_store_read(read);
        for group in self.groups.values_mut() {
            group.failover.on_rows_read();
        }
        self.renew_lease(now);
        self.dispatch_changed_groups(now);
    }

    /// Called when the link to a host has opened.
    pub fn on_link_opened(&mut self, now: Timestamp, host: &HostId) {
        self.evidence.on_link_opened(host);
        self.share_knowledge(now, host);
    }

    /// Tells a host what this one knows about claims.
    pub fn share_knowledge(&mut self, now: Timestamp, host: &HostId) {
        if self.spec.lead_proof == LeadProof::Transaction {
            return;
        }
        if let Some(knowledge) = self.evidence.knowledge(now, host) {
            self.out.push(ProxyEffect::ShareKnowledge(host.clone(), knowledge));
        }
    }

    /// Processes what another host knows about claims.
    pub fn on_knowledge(&mut self, now: Timestamp, host: &HostId, knowledge: Knowledge) {
        if let Some(after) = self.evidence.on_knowledge(now, host, knowledge) {
            self.out.push(ProxyEffect::RequestClaims(host.clone(), after));
        }
        self.renew_lease(now);
        self.dispatch_changed_groups(now);
    }

    /// Processes a read of all rows at `version`. A group's row of an earlier era that is not `listed`
    /// was lost by a restore of the store.
    pub fn on_claim_rows_read(
        &mut self,
        now: Timestamp,
        version: RowVersion,
        listed: &BTreeSet<GroupId>,
    ) {
        let is_lost = |(group, (known, _)): &(&GroupId, &(RowVersion, Option<Claim>))| {
            known.era() < version.era() && !listed.contains(*group)
        };
        let lost: Vec<GroupId> =
            self.claims.iter().filter(is_lost).map(|(group, _)| group.clone()).collect();
        for group in lost {
            self.adopt_claim_row(now, &group, version.absent(), None);
        }
    }

    /// Sends a host the groups' rows above a version.
    pub fn on_claims_requested(&mut self, host: HostId, after: RowVersion) {
        let newer = self.claims.iter().filter(|(_, (version, _))| *version > after);
        let row = |(group, (version, claim)): (&GroupId, &(RowVersion, Option<Claim>))| {
            Some((group.clone(), *version, claim.clone()?))
        };
        let rows = newer.filter_map(row).collect();
        let rows = ClaimRows { after, complete: self.evidence.complete(), rows };
        self.out.push(ProxyEffect::SendClaims(host, rows));
    }

    /// Processes groups' rows that another host has passed on.
    pub fn on_claims(&mut self, now: Timestamp, claims: ClaimRows) {
        for (group, version, claim) in &claims.rows {
            self.adopt_claim_row(now, group, *version, Some(claim));
        }
        self.evidence.on_claim_rows(claims.after, claims.complete);
        self.renew_lease(now);
    }

    /// Processes a host's confirmation that it knows this host's claim.
    pub fn on_claim_confirmed(
        &mut self,
        now: Timestamp,
        host: HostId,
        group: &GroupId,
        version: RowVersion,
    ) {
        if let Some(group) = self.groups.get_mut(group) {
            group.failover.on_confirmed(now, host, version, &self.evidence);
        }
    }

    /// Records a group's row, confirms another host's claim and announces one of this host.
    pub(super) fn record_claim(
        &mut self,
        group: &GroupId,
        version: RowVersion,
        claim: Option<&Claim>,
    ) {
        let known = self.claims.get(group).map_or(RowVersion(0), |(version, _)| *version);
        if version <= known {
            return;
        }
        let lost = self.claims.get(group).and_then(|(_, claim)| claim.clone());
        let lost = lost.filter(|lost| version.era() > known.era() && lost.supersedes(claim));
        self.evidence.on_row(version);
        if lost.is_some() {
            self.claims.insert(group.clone(), (version, lost));
            return;
        }
        self.claims.insert(group.clone(), (version, claim.cloned()));
        let Some(claim) = claim.filter(|_| self.spec.lead_proof == LeadProof::Lease) else {
            return;
        };
        if claim.holder == self.spec.host {
            self.out.push(ProxyEffect::AnnounceClaim(group.clone(), version, claim.clone()));
        } else if claim.leader.is_none() {
            let holder = claim.holder.clone();
            self.out.push(ProxyEffect::ConfirmClaim(holder, group.clone(), version));
        }
    }
}
