//! Limit state of one account at one host: its bucket, received grants and waiting requests.

use std::collections::VecDeque;

use rand_chacha::ChaCha8Rng;

use crate::core::share::HeldSlot;
use crate::error::ErrorKind;
use crate::types::{FailureDomain, HostId, MilliTokens, RequestId, Timestamp};

use super::bucket::Bucket;
use super::demand::{Demand, DEMAND_WINDOW};
use super::grants::Grants;
use super::message::{LimitEffect, LimitPeer, Transfer};
use super::peers::{PeerRequests, PlannedRequest, Supply};

/// Limit on the requests of one account that wait for tokens at the same time.
const MAX_WAITING: usize = 256;

/// Interval between two rounds of requests to peers, in microseconds.
const REQUEST_INTERVAL_US: u64 = 5_000;

/// State of the host that an account needs for its decisions.
#[derive(Debug)]
pub(super) struct HostContext<'a> {
    pub failure_domain: &'a FailureDomain,
    pub slots: &'a [HeldSlot],
    pub peers: &'a [LimitPeer],
    pub rng: &'a mut ChaCha8Rng,
    pub sequence: &'a mut u64,
}

#[derive(Debug)]
struct Waiter {
    request: RequestId,
    cost: MilliTokens,
    deadline: Timestamp,
}

/// Limit state of one account.
#[derive(Debug)]
pub(super) struct Account {
    pub bucket: Bucket,
    pub grants: Grants,
    pub peer_requests: PeerRequests,
    demand: Demand,
    waiting: VecDeque<Waiter>,
    next_request_at: Timestamp,
}

impl Account {
    /// Creates the state of an account with the given empty bucket.
    pub fn new(bucket: Bucket) -> Self {
        Self {
            bucket,
            grants: Grants::default(),
            peer_requests: PeerRequests::default(),
            demand: Demand::default(),
            waiting: VecDeque::new(),
            next_request_at: Timestamp(0),
        }
    }

    /// Applies refills and expires reservations, grants and open requests up to `now`.
    pub fn advance_to(&mut self, now: Timestamp, slots: &[HeldSlot]) {
        self.bucket.advance_to(now, slots);
        self.grants.expire(now);
        self.peer_requests.expire(now);
    }

    /// Takes `cost` tokens if no request waits and enough tokens are available.
    pub fn try_take(&mut self, now: Timestamp, cost: MilliTokens, slots: &[HeldSlot]) -> bool {
        self.advance_to(now, slots);
        self.demand.add(now, cost);
        self.waiting.is_empty() && self.spend(cost)
    }

    /// Time at which this host's own refill covers the waiting requests and `cost` after them;
    /// `None` if it never does.
    pub fn own_refill_time(&self, cost: MilliTokens, slots: &[HeldSlot]) -> Option<Timestamp> {
        let needed = self.waiting_cost() + cost;
        self.bucket.refilled_at(needed.saturating_sub(self.grants.total()), slots)
    }

    /// Appends a request to the queue; returns `false` if the queue is full.
    pub fn enqueue(&mut self, request: RequestId, cost: MilliTokens, deadline: Timestamp) -> bool {
        let room = self.waiting.len() < MAX_WAITING;
        if room {
            self.waiting.push_back(Waiter { request, cost, deadline });
        }
        room
    }

    /// Whether requests wait for tokens.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Removes a request from the queue; returns whether it was waiting.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiter| waiter.request != request);
        self.waiting.len() < before
    }

    /// Refuses every waiting request with the given error.
    pub fn refuse_all(&mut self, kind: ErrorKind, out: &mut Vec<LimitEffect>) {
        out.extend(self.waiting.drain(..).map(|waiter| LimitEffect::Refuse(waiter.request, kind)));
    }

    /// Admits waiting requests in order while tokens are available, and refuses those that can't be
    /// admitted before their deadline. The caller first brings the account up to `now`.
    pub fn admit_waiting(
        &mut self,
        now: Timestamp,
        host: &HostContext<'_>,
        out: &mut Vec<LimitEffect>,
    ) {
        while let Some(first) = self.waiting.front() {
            let (request, cost) = (first.request, first.cost);
            if now >= first.deadline {
                out.push(LimitEffect::Refuse(request, ErrorKind::RateExceeded));
            } else if self.spend(cost) {
                out.push(LimitEffect::Admit(request));
            } else {
                break;
            }
            self.waiting.pop_front();
        }
        self.refuse_late(now, host, out);
    }

    /// Plans requests to peers for the tokens that the waiting requests and the expected demand
    /// lack.
    pub fn plan_requests(
        &mut self,
        now: Timestamp,
        host: &mut HostContext<'_>,
    ) -> Vec<PlannedRequest> {
        if now < self.next_request_at || host.peers.is_empty() {
            return Vec::new();
        }
        let (waiting_cost, shortfall) =
            (self.waiting_cost().0, self.demand_shortfall(now, host.slots).0);
        let expected = self.available().0 + self.peer_requests.in_flight(now);
        if waiting_cost > 0 || expected < shortfall / 2 {
            self.next_request_at = Timestamp(now.0 + REQUEST_INTERVAL_US);
        }
        if expected >= waiting_cost + shortfall / 2 {
            return Vec::new();
        }
        let want = (waiting_cost + shortfall - expected).min(self.bucket.fleet_burst().0);
        let (failure_domain, peers) = (host.failure_domain, host.peers);
        self.peer_requests.plan(now, want, failure_domain, peers, host.sequence, host.rng)
    }

    /// Tokens that this host can give away: those beyond its waiting requests and a quarter of its
    /// expected demand.
    pub fn spare(&mut self, now: Timestamp) -> MilliTokens {
        let reserve = self.waiting_cost() + MilliTokens(self.demand.per_window(now).0 / 4);
        self.bucket.level().saturating_sub(reserve)
    }

    /// Milli-tokens per second that this host gains beyond its own demand.
    pub fn spare_per_s(&mut self, now: Timestamp, slots: &[HeldSlot]) -> MilliTokens {
        let demand = MilliTokens(self.demand.per_window(now).0 * 1_000 / DEMAND_WINDOW.0);
        self.bucket.refill_per_s(slots).saturating_sub(demand)
    }

    /// Handles the answer of a peer to a request for tokens.
    pub fn on_transfer(&mut self, now: Timestamp, from: &HostId, transfer: &Transfer) {
        if let Some(until) = self.peer_requests.on_transfer(now, from, transfer) {
            self.grants.add(from, transfer.grant, transfer.amount, until);
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// Time at which this account next needs processing if no other event comes first; `None` while
    /// no request waits.
    pub fn next_wake(
        &self,
        now: Timestamp,
        slots: &[HeldSlot],
        has_peers: bool,
    ) -> Option<Timestamp> {
        let first = self.waiting.front()?;
        let deadline = self.waiting.iter().map(|waiter| waiter.deadline).min();
        let refill = self.bucket.refilled_at(first.cost.saturating_sub(self.grants.total()), slots);
        let request_at = has_peers.then_some(self.next_request_at);
        let timeout = self.peer_requests.next_timeout(now);
        [deadline, refill, request_at, timeout, self.grants.next_expiry()]
            .into_iter()
            .flatten()
            .min()
    }

    fn available(&self) -> MilliTokens {
        self.grants.total() + self.bucket.level()
    }

    fn waiting_cost(&self) -> MilliTokens {
        self.waiting.iter().map(|waiter| waiter.cost).sum()
    }

    /// Expected demand beyond the refill of this host. Demand beyond the rate of the whole fleet
    /// can't be met, so it is not requested from peers.
    fn demand_shortfall(&mut self, now: Timestamp, slots: &[HeldSlot]) -> MilliTokens {
        let max_demand = self.bucket.fleet_rate_per_s().0 * DEMAND_WINDOW.0 / 1_000;
        let own_refill = self.bucket.refill_per_s(slots).0 * DEMAND_WINDOW.0 / 1_000;
        let demand = self.demand.per_window(now).0.min(max_demand);
        MilliTokens(demand.saturating_sub(own_refill))
    }

    /// Spends received grants before the tokens of the bucket, because only grants expire.
    fn spend(&mut self, cost: MilliTokens) -> bool {
        let enough = self.available() >= cost;
        if enough {
            let remaining = self.grants.spend(cost);
            self.bucket.take(remaining);
        }
        enough
    }

    /// Refuses requests past their deadline, and requests that can't be admitted in time even with
    /// this host's refill and the tokens of the peers, after the requests queued before them.
    fn refuse_late(&mut self, now: Timestamp, host: &HostContext<'_>, out: &mut Vec<LimitEffect>) {
        if self.waiting.is_empty() {
            return;
        }
        let supply = self.supply(now, host);
        let mut cost_ahead = MilliTokens(0);
        let mut kept = VecDeque::with_capacity(self.waiting.len());
        for waiter in std::mem::take(&mut self.waiting) {
            let needed = cost_ahead + waiter.cost;
            let too_late =
                supply.is_some_and(|supply| supply.available_at(now, waiter.deadline) < needed.0);
            if now >= waiter.deadline || too_late {
                out.push(LimitEffect::Refuse(waiter.request, ErrorKind::RateExceeded));
            } else {
                cost_ahead = needed;
                kept.push_back(waiter);
            }
        }
        self.waiting = kept;
    }

    /// Tokens of this host and its peers. `None` while the state of a peer is unknown, or while a
    /// slot that was just claimed may not be used yet.
    fn supply(&self, now: Timestamp, host: &HostContext<'_>) -> Option<Supply> {
        if host.slots.iter().any(|slot| now < slot.from) {
            return None;
        }
        let peers = self.peer_requests.supply(now, host.peers)?;
        let in_flight = self.peer_requests.in_flight(now);
        let present = peers.present.saturating_add(self.available().0).saturating_add(in_flight);
        let per_s = peers.per_s.saturating_add(self.bucket.refill_per_s(host.slots).0);
        Some(Supply { present, per_s })
    }
}
