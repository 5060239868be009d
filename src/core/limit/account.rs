//! Limit state of one account at one host: its bucket, received grants and waiting requests.

use std::collections::VecDeque;

use rand_chacha::ChaCha8Rng;

use crate::core::share::HeldSlot;
use crate::error::ErrorKind;
use crate::types::{FailureDomain, HostId, MilliTokens, RequestId, Timestamp};

use super::bucket::Bucket;
use super::demand::{Demand, HORIZON};
use super::grants::Grants;
use super::message::{LimitEffect, LimitPeer, Transfer};
use super::peers::{PeerBook, PlannedAsk, Supply};

/// Limit on the requests of one account that wait for tokens at the same time.
const MAX_WAITING: usize = 256;

/// Interval between two rounds of requests to peers, in microseconds.
const ASK_INTERVAL_US: u64 = 5_000;

/// State of the host that an account needs for its decisions.
#[derive(Debug)]
pub(super) struct Around<'a> {
    pub home: &'a FailureDomain,
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
    pub book: PeerBook,
    demand: Demand,
    waiting: VecDeque<Waiter>,
    next_ask: Timestamp,
}

impl Account {
    /// Creates the state of an account with the given empty bucket.
    pub fn new(bucket: Bucket) -> Self {
        Self {
            bucket,
            grants: Grants::default(),
            book: PeerBook::default(),
            demand: Demand::default(),
            waiting: VecDeque::new(),
            next_ask: Timestamp(0),
        }
    }

    /// Applies refills and expires reservations, grants and open requests up to `now`.
    pub fn settle(&mut self, now: Timestamp, slots: &[HeldSlot]) {
        self.bucket.settle(now, slots);
        self.grants.expire(now);
        self.book.expire(now);
    }

    /// Takes `cost` tokens if no request waits and enough tokens are available.
    pub fn try_take(&mut self, now: Timestamp, cost: MilliTokens, slots: &[HeldSlot]) -> bool {
        self.settle(now, slots);
        self.demand.add(now, cost);
        self.waiting.is_empty() && self.spend(cost)
    }

    /// Time at which this host's own refill covers the waiting requests and `cost` after them;
    /// `None` if it never does.
    pub fn own_time(&self, cost: MilliTokens, slots: &[HeldSlot]) -> Option<Timestamp> {
        let need = self.need() + cost;
        self.bucket.reaches(need.saturating_sub(self.grants.total()), slots)
    }

    /// Appends a request to the queue; returns `false` if the queue is full.
    pub fn wait(&mut self, request: RequestId, cost: MilliTokens, deadline: Timestamp) -> bool {
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
    pub fn serve(&mut self, now: Timestamp, around: &Around<'_>, out: &mut Vec<LimitEffect>) {
        while let Some(head) = self.waiting.front() {
            let (request, cost) = (head.request, head.cost);
            if now >= head.deadline {
                out.push(LimitEffect::Refuse(request, ErrorKind::RateExceeded));
            } else if self.spend(cost) {
                out.push(LimitEffect::Admit(request));
            } else {
                break;
            }
            self.waiting.pop_front();
        }
        self.refuse_late(now, around, out);
    }

    /// Plans requests to peers for the tokens that the waiting requests and the expected demand
    /// lack.
    pub fn plan_asks(&mut self, now: Timestamp, around: &mut Around<'_>) -> Vec<PlannedAsk> {
        if now < self.next_ask || around.peers.is_empty() {
            return Vec::new();
        }
        let (need, ahead) = (self.need().0, self.ahead(now, around.slots).0);
        let have = self.available().0 + self.book.in_flight(now);
        if need > 0 || have < ahead / 2 {
            self.next_ask = Timestamp(now.0 + ASK_INTERVAL_US);
        }
        if have >= need + ahead / 2 {
            return Vec::new();
        }
        let want = (need + ahead - have).min(self.bucket.whole_burst().0);
        let (home, peers) = (around.home, around.peers);
        self.book.plan(now, want, home, peers, around.sequence, around.rng)
    }

    /// Tokens that this host can give away: those beyond its waiting requests and a quarter of its
    /// expected demand.
    pub fn spare(&mut self, now: Timestamp) -> MilliTokens {
        let keep = self.need() + MilliTokens(self.demand.per_horizon(now).0 / 4);
        self.bucket.level().saturating_sub(keep)
    }

    /// Milli-tokens per second that this host gains beyond its own demand.
    pub fn spare_per_s(&mut self, now: Timestamp, slots: &[HeldSlot]) -> MilliTokens {
        let demand = MilliTokens(self.demand.per_horizon(now).0 * 1_000 / HORIZON.0);
        self.bucket.refill_per_s(slots).saturating_sub(demand)
    }

    /// Handles the answer of a peer to a request for tokens.
    pub fn on_transfer(&mut self, now: Timestamp, from: &HostId, transfer: &Transfer) {
        if let Some(until) = self.book.on_transfer(now, from, transfer) {
            self.grants.add(from, transfer.grant, transfer.amount, until);
            self.next_ask = self.next_ask.min(now);
        }
    }

    /// Time at which this account next needs processing if no other event comes first; `None` while
    /// no request waits.
    pub fn next_wake(&self, now: Timestamp, slots: &[HeldSlot], peers: bool) -> Option<Timestamp> {
        let head = self.waiting.front()?;
        let deadline = self.waiting.iter().map(|waiter| waiter.deadline).min();
        let refill = self.bucket.reaches(head.cost.saturating_sub(self.grants.total()), slots);
        let ask = peers.then_some(self.next_ask);
        let timeout = self.book.next_timeout(now);
        [deadline, refill, ask, timeout, self.grants.next_end()].into_iter().flatten().min()
    }

    fn available(&self) -> MilliTokens {
        self.grants.total() + self.bucket.level()
    }

    fn need(&self) -> MilliTokens {
        self.waiting.iter().map(|waiter| waiter.cost).sum()
    }

    /// Expected demand beyond the refill of this host. Demand beyond the rate of the whole fleet
    /// can't be met, so it is not requested from peers.
    fn ahead(&mut self, now: Timestamp, slots: &[HeldSlot]) -> MilliTokens {
        let whole = self.bucket.rate_per_s().0 * HORIZON.0 / 1_000;
        let own = self.bucket.refill_per_s(slots).0 * HORIZON.0 / 1_000;
        let demand = self.demand.per_horizon(now).0.min(whole);
        MilliTokens(demand.saturating_sub(own))
    }

    /// Spends received grants before the tokens of the bucket, because only grants expire.
    fn spend(&mut self, cost: MilliTokens) -> bool {
        let enough = self.available() >= cost;
        if enough {
            let rest = self.grants.spend(cost);
            self.bucket.take(rest);
        }
        enough
    }

    /// Refuses requests past their deadline, and requests that can't be admitted in time even with
    /// this host's refill and the tokens of the peers, after the requests queued before them.
    fn refuse_late(&mut self, now: Timestamp, around: &Around<'_>, out: &mut Vec<LimitEffect>) {
        if self.waiting.is_empty() {
            return;
        }
        let supply = self.supply(now, around);
        let mut ahead = MilliTokens(0);
        let mut kept = VecDeque::with_capacity(self.waiting.len());
        for waiter in std::mem::take(&mut self.waiting) {
            let need = ahead + waiter.cost;
            let late = supply.is_some_and(|supply| supply.by(now, waiter.deadline) < need.0);
            if now >= waiter.deadline || late {
                out.push(LimitEffect::Refuse(waiter.request, ErrorKind::RateExceeded));
            } else {
                ahead = need;
                kept.push_back(waiter);
            }
        }
        self.waiting = kept;
    }

    /// Tokens of this host and its peers. `None` while the state of a peer is unknown, or while a
    /// slot that was just claimed may not be used yet.
    fn supply(&self, now: Timestamp, around: &Around<'_>) -> Option<Supply> {
        if around.slots.iter().any(|slot| now < slot.from) {
            return None;
        }
        let peers = self.book.supply(now, around.peers)?;
        let flying = self.book.in_flight(now);
        let present = peers.present.saturating_add(self.available().0).saturating_add(flying);
        let per_s = peers.per_s.saturating_add(self.bucket.refill_per_s(around.slots).0);
        Some(Supply { present, per_s })
    }
}
