//! Slow start: a bound on the requests that an endpoint gets each second while it is cold.
//!
//! The bound holds for all hosts together, in touch with each other or not. It is divided into equal
//! parts over the hosts that run sessions, as they are chosen from all listed hosts; the part of one
//! that is silent or absent stays unused. Other hosts send nothing to a cold endpoint.

use std::collections::VecDeque;

use super::group::{EndpointState, GroupState};
use super::Proxy;
use crate::types::{ConnectionId, DurationMs, RatePerS, Timestamp};

/// Length of the window in which a host counts its requests. It exceeds the second of the bound by
/// the differences of the times that requests take to the endpoint.
const WINDOW: DurationMs = DurationMs(1_200);
/// Time for which an endpoint counts as cold after connections to it have failed, until its entry
/// tells whether it has restarted; two of its reports.
const RETURN_REPORT_LIMIT: DurationMs = DurationMs(2_500);

/// What the platform allows beyond the operator's rate for a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartMargin {
    /// Factor on the rate, in percent.
    pub overage_percent: u64,
    /// Requests in addition to that.
    pub slack: u64,
}

impl Default for SlowStartMargin {
    fn default() -> Self {
        Self { overage_percent: 100, slack: 0 }
    }
}

impl SlowStartMargin {
    /// Requests that all hosts together may send to a cold endpoint within a second.
    pub fn fleet_bound(&self, rate: RatePerS) -> u64 {
        rate.0.saturating_mul(self.overage_percent) / 100 + self.slack
    }
}

/// Part of `bound` of the host at place `rank` among `sharers`; the first hosts get the remainder.
pub fn part(bound: u64, sharers: u64, rank: Option<u64>) -> u64 {
    let Some(rank) = rank.filter(|_| sharers > 0) else { return 0 };
    bound / sharers + u64::from(rank < bound % sharers)
}

/// Slow start of one endpoint at this host.
#[derive(Debug, Default)]
pub struct SlowStart {
    cold_until: Timestamp,
    /// Times of the latest requests within the window.
    sent: VecDeque<Timestamp>,
}

impl SlowStart {
    /// Whether the endpoint is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Called when the endpoint has reported for how much longer it is cold.
    pub fn on_report(&mut self, now: Timestamp, cold_for: DurationMs) {
        self.cold_until = now + cold_for;
    }

    /// Called when a connection to the endpoint could not be opened: it may be restarting.
    pub fn on_connect_failed(&mut self, now: Timestamp) {
        self.cold_until = self.cold_until.max(now + RETURN_REPORT_LIMIT);
    }

    /// Whether this host may send one more of the `part` requests that it may send in a second.
    pub fn may_send(&self, now: Timestamp, part: u64) -> bool {
        let recent = self.sent.iter().filter(|at| now < **at + WINDOW).count() as u64;
        recent < part
    }

    /// Called when a request was sent to the endpoint.
    pub fn on_sent(&mut self, now: Timestamp) {
        while self.sent.front().is_some_and(|at| now >= *at + WINDOW) {
            self.sent.pop_front();
        }
        if self.is_cold(now) {
            self.sent.push_back(now);
        }
    }
}

impl Proxy {
    /// Whether slow start lets this host send a request to an endpoint now.
    pub(super) fn slow_start_admits(
        &self,
        now: Timestamp,
        group: &GroupState,
        state: &EndpointState,
    ) -> bool {
        let Some(rate) = group.config.slow_start else { return true };
        if !state.slow_start.is_cold(now) {
            return true;
        }
        let bound = self.spec.margins.slow_start.fleet_bound(rate);
        let (sharers, rank) = self.sender_rank();
        state.slow_start.may_send(now, part(bound, sharers, rank))
    }

    /// Counts a request that is sent on a connection.
    pub(super) fn count_slow_start(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let group = self.groups.get_mut(&connection.group);
        let state = group.and_then(|group| group.endpoints.get_mut(&connection.endpoint));
        if let Some(state) = state {
            state.slow_start.on_sent(now);
        }
    }

    /// Number of endpoints that count as cold.
    pub fn cold_endpoints(&self, now: Timestamp) -> usize {
        let configured = self.groups.values().filter(|group| group.config.slow_start.is_some());
        let states = configured.flat_map(|group| group.endpoints.values());
        states.filter(|state| state.slow_start.is_cold(now)).count()
    }
}
