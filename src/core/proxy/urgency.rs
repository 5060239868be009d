//! Who waits, and who is refused at once, while requests compete for connections and slots.
//!
//! Answers two loads. In a burst of a less urgent class, urgent requests are served first, but no
//! class waits forever: a request counts as one class more urgent each time that it has waited for
//! its target latency. For an account that asks for more than its connections carry, requests that
//! could not be answered in time are refused when they arrive, instead of after they were held.

use super::group::GroupState;
use super::request::Request;
use super::Proxy;
use crate::types::{DurationMs, EndpointId, Priority, RequestId, Timestamp};

/// Minimum wait before a request is refused; enough for a few statements and a new connection.
const MIN_WAIT: DurationMs = DurationMs(60);

/// Place of a waiting request among the others; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Whether no transaction of it is open; an open one holds a connection that others need.
    is_new: bool,
    /// Its class, after what it has gained by waiting.
    priority: Priority,
    /// Its id, which ascends with the arrival.
    id: RequestId,
}

/// The class that a request counts in after it has waited.
pub fn effective_priority(priority: Priority, waited: DurationMs, target: DurationMs) -> Priority {
    let gained = waited.0 / target.0.max(1);
    Priority(priority.0.saturating_sub(gained))
}

/// Time for which a request may wait and still be answered within `target` by an endpoint that needs
/// `service`.
pub fn in_time_wait(target: DurationMs, service: DurationMs) -> DurationMs {
    DurationMs(target.0.saturating_sub(service.0)).max(MIN_WAIT)
}

/// Whether a request is refused at its arrival because one that was there before has waited for
/// `wait_ahead` and still does. The new one would wait longer than that, so there is no point in
/// holding it if even half of its own time is over by then.
pub fn is_hopeless(wait_ahead: DurationMs, in_time_wait: DurationMs) -> bool {
    wait_ahead.0 * 2 >= in_time_wait.0
}

impl Request {
    fn place(&self, now: Timestamp, id: RequestId) -> Place {
        let waited = now.ms_since(self.arrived);
        let route = &self.route;
        Place {
            is_new: self.connection.is_none(),
            priority: effective_priority(route.priority, waited, route.target_latency_ms),
            id,
        }
    }
}

impl Proxy {
    /// Sorts waiting requests into the order in which they are served.
    pub(super) fn sort_by_urgency(&self, now: Timestamp, waiting: &mut [RequestId]) {
        waiting.sort_by_cached_key(|id| self.requests.get(id).map(|found| found.place(now, *id)));
    }

    /// Whether a request that has just arrived is refused: one of its account that is no less urgent
    /// has waited too long for the same endpoints, although these are healthy.
    pub(super) fn is_hopeless(&self, now: Timestamp, request: &Request) -> bool {
        let Some(group) = self.groups.get(&request.route.group) else { return false };
        let is_ahead = |other: &&Request| {
            other.account == request.account
                && other.route.priority <= request.route.priority
                && other.runs_on_primary() == request.runs_on_primary()
        };
        let waiting = group.parked.iter().filter_map(|id| self.requests.get(id));
        let ahead = waiting.filter(is_ahead).map(|other| now.ms_since(other.arrived)).max();
        let Some(ahead) = ahead.filter(|_| has_healthy_primary(now, group)) else { return false };
        is_hopeless(ahead, wait_limit(now, group, request))
    }

    /// Whether a waiting request can no longer be answered in time, although the group's primary is
    /// healthy, so that its caller should rather retry on this host or another one.
    pub(super) fn is_overdue(&self, now: Timestamp, request: &Request) -> bool {
        let Some(group) = self.groups.get(&request.route.group) else { return false };
        has_healthy_primary(now, group) && now >= request.arrived + wait_limit(now, group, request)
    }
}

/// Time for which a request may wait for the group's endpoints.
fn wait_limit(now: Timestamp, group: &GroupState, request: &Request) -> DurationMs {
    let is_used = |id: &EndpointId| !request.runs_on_primary() || group.leader.as_ref() == Some(id);
    let usable = group.endpoints.iter().filter(|(id, state)| is_used(id) && state.is_healthy(now));
    let service_us = usable.map(|(_, state)| state.latency_us).min().unwrap_or_default();
    in_time_wait(request.route.target_latency_ms, DurationMs(service_us / 1_000))
}

fn has_healthy_primary(now: Timestamp, group: &GroupState) -> bool {
    let leader = group.leader.as_ref().and_then(|id| group.endpoints.get(id));
    leader.is_some_and(|leader| leader.is_healthy(now))
}
