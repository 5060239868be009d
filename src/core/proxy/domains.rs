//! Whether a read stays in the failure domain of its host, and how many reads leave it.
//!
//! Answers a burst in one failure domain whose own replicas are too few. Reads stay near while a near
//! replica is expected to keep the target. Beyond that, a share of the client accounts reads from
//! far replicas, as long as these are faster by more than a crossing has to save. The share moves in
//! small steps, and always with the same accounts first, so that their connections are reused.

use std::hash::{DefaultHasher, Hash, Hasher};

use derive_more::Display;

use super::group::{EndpointState, GroupState};
use super::Proxy;
use crate::types::{AccountId, DurationMs, EndpointId, FailureDomain, Timestamp};

/// Time between two changes of the share; a few answers of a busy endpoint.
const ADJUST_INTERVAL: DurationMs = DurationMs(100);
/// Increase of the share in one step, in thousandths. The share rises from nothing to all in 2 s.
const RAISE_PERMILLE: u64 = 50;
/// Decrease in one step. It is slower than the increase, so that accounts do not swing back to an
/// endpoint that has recovered only because they had left.
const LOWER_PERMILLE: u64 = 20;
/// Percentage of the target that one statement may take, since most operations have several.
const STATEMENT_PERCENT: u64 = 50;

/// Where a statement runs relative to its host, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Crossing {
    /// In the failure domain of the host.
    Near,
    /// Elsewhere: only the primary may run it.
    NeedsPrimary,
    /// Elsewhere: no near replica can be used.
    NearGone,
    /// Elsewhere: the near replica has not applied the position that the read needs.
    NearBehind,
    /// Elsewhere: the near replicas are too few.
    NearFull,
}

/// Expected answer times of a group's replicas, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaTimes {
    /// Of the fastest near replica.
    pub near_us: u64,
    /// Of the fastest far one.
    pub far_us: u64,
    /// Time that a crossing has to save.
    pub saving_us: u64,
}

impl ReplicaTimes {
    /// Whether reads that leave the domain are answered sooner, although staying misses `target`.
    fn leaving_pays(&self, target: DurationMs) -> bool {
        let limit_us = target.as_us() * STATEMENT_PERCENT / 100;
        self.near_us > limit_us && self.far_us + self.saving_us < self.near_us
    }
}

/// Share of the client accounts whose reads in one group leave the domain.
#[derive(Debug, Default)]
pub struct AwayShare {
    permille: u64,
    adjusted_at: Timestamp,
}

impl AwayShare {
    /// Moves the share by one step if the last one was long enough ago. `times` is `None` if there is
    /// nothing to choose between.
    pub fn adjust(&mut self, now: Timestamp, times: Option<ReplicaTimes>, target: DurationMs) {
        if now < self.adjusted_at + ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        self.permille = match times {
            Some(times) if times.leaving_pays(target) => {
                (self.permille + RAISE_PERMILLE).min(1_000)
            }
            _ => self.permille.saturating_sub(LOWER_PERMILLE),
        };
    }

    /// The share in thousandths.
    pub fn permille(&self) -> u64 {
        self.permille
    }

    /// Whether the reads of an account leave the domain.
    pub fn includes(&self, account: &AccountId) -> bool {
        let mut hasher = DefaultHasher::new();
        account.as_str().hash(&mut hasher);
        hasher.finish() % 1_000 < self.permille
    }
}

impl EndpointState {
    /// Whether it is in a failure domain.
    pub fn is_in(&self, domain: &FailureDomain) -> bool {
        self.entry.failure_domain == *domain
    }
}

impl GroupState {
    /// Expected answer times of the usable replicas; `None` unless there are near and far ones.
    /// `saving` is the time that a crossing has to save; by default it is the measured difference
    /// between the distances, so that it pays twice.
    fn replica_times(
        &self,
        now: Timestamp,
        domain: &FailureDomain,
        saving: Option<DurationMs>,
    ) -> Option<ReplicaTimes> {
        let is_used = |(id, state): &(&EndpointId, &EndpointState)| {
            self.leader.as_ref() != Some(*id) && state.is_healthy(now) && !state.is_leaving()
        };
        let replicas = || self.endpoints.iter().filter(is_used).map(|(_, state)| state);
        let near = || replicas().filter(|state| state.is_in(domain));
        let far = || replicas().filter(|state| !state.is_in(domain));
        let distance = |states: &mut dyn Iterator<Item = &EndpointState>| {
            states.map(|state| state.best_us).min()
        };
        let (near_best, far_best) = (distance(&mut near())?, distance(&mut far())?);
        let saving_us = saving.map_or(far_best.saturating_sub(near_best), DurationMs::as_us);
        Some(ReplicaTimes {
            near_us: near().map(|state| state.latency_us).min()?,
            far_us: far().map(|state| state.latency_us).min()?,
            saving_us,
        })
    }
}

impl Proxy {
    /// Adjusts the shares of the accounts whose reads leave the domain.
    pub(super) fn adjust_away_shares(&mut self, now: Timestamp) {
        let (domain, saving) = (&self.spec.failure_domain, self.spec.margins.crossing_saving_ms);
        for (id, group) in &mut self.groups {
            let times = group.replica_times(now, domain, saving);
            let before = group.away.permille();
            group.away.adjust(now, times, group.config.read_target_ms);
            let after = group.away.permille();
            if (before == 0) != (after == 0) {
                tracing::info!(
                    group = id.as_str(),
                    leaves = after > 0,
                    near_us = times.map(|times| times.near_us),
                    far_us = times.map(|times| times.far_us),
                    saving_us = times.map(|times| times.saving_us),
                    "domains: reads begin or cease to leave the failure domain"
                );
            }
        }
    }

    /// Where an endpoint that can run a read lies, and why the read would leave the domain.
    pub(super) fn read_crossing(
        &self,
        group: &GroupState,
        account: &AccountId,
        state: &EndpointState,
        near: &[bool],
    ) -> Crossing {
        if state.is_in(&self.spec.failure_domain) {
            Crossing::Near
        } else if near.is_empty() {
            Crossing::NearGone
        } else if near.iter().all(|is_behind| *is_behind) {
            Crossing::NearBehind
        } else if group.away.includes(account) {
            Crossing::NearFull
        } else {
            Crossing::NearGone
        }
    }
}
