//! Rate limiter of one host, for all client accounts.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use crate::core::share::HeldSlot;
use crate::error::ErrorKind;
use crate::types::{
    AccountId, Burst, FailureDomain, HostId, Incarnation, MilliTokens, RatePerS, RequestId,
    Timestamp,
};

use super::account::{Account, HostContext};
use super::bucket::{Bucket, OutgoingGrant};
use super::message::{GrantId, LimitEffect, LimitPeer, Take, TokenRequest, Transfer};

/// Admits requests against the token buckets of all accounts at one host, and exchanges tokens with
/// peers.
#[derive(Debug)]
pub struct Limiter {
    incarnation: Incarnation,
    failure_domain: FailureDomain,
    total_slots: u32,
    rng: ChaCha8Rng,
    slots: Vec<HeldSlot>,
    peers: Vec<LimitPeer>,
    accounts: BTreeMap<AccountId, Account>,
    sequence: u64,
}

impl Limiter {
    /// Creates a limiter without accounts and slots. `total_slots` is the number of slots of the
    /// fleet.
    pub fn new(
        incarnation: Incarnation,
        failure_domain: FailureDomain,
        total_slots: u32,
        rng: ChaCha8Rng,
    ) -> Self {
        let (slots, peers, accounts) = (Vec::new(), Vec::new(), BTreeMap::new());
        Self { incarnation, failure_domain, total_slots, rng, slots, peers, accounts, sequence: 0 }
    }

    /// Sets rate and burst of all accounts from the tables. Neither a change nor a new account
    /// creates tokens. Waiting requests of removed accounts are refused with `no_route`.
    pub fn set_accounts(
        &mut self,
        now: Timestamp,
        limits: &BTreeMap<AccountId, (RatePerS, Burst)>,
        out: &mut Vec<LimitEffect>,
    ) {
        self.accounts.retain(|id, account| {
            let kept = limits.contains_key(id);
            if !kept {
                account.refuse_all(ErrorKind::NoRoute, out);
            }
            kept
        });
        for (id, (rate, burst)) in limits {
            let new_account = || Account::new(Bucket::new(now, *rate, *burst, self.total_slots));
            let account = self.accounts.entry(id.clone()).or_insert_with(new_account);
            account.advance_to(now, &self.slots);
            account.bucket.set_limits(*rate, *burst, &self.slots);
        }
    }

    /// Sets the slots that this host may use, as reported by
    /// [`crate::core::share::ShareEffect::Use`]. A new slot adds capacity and refill but no tokens.
    pub fn set_shares(&mut self, now: Timestamp, slots: &[HeldSlot]) {
        for account in self.accounts.values_mut() {
            account.advance_to(now, &self.slots);
            account.bucket.clamp(slots);
        }
        self.slots = slots.to_vec();
    }

    /// Sets the peers that can be asked for tokens: those with an open connection.
    pub fn set_peers(&mut self, peers: Vec<LimitPeer>) {
        self.peers = peers;
    }

    /// Takes tokens for one request if they are available; the request is not queued.
    pub fn try_take(&mut self, now: Timestamp, account: &AccountId, cost: MilliTokens) -> Take {
        let Some(state) = self.accounts.get_mut(account) else {
            return Take::Refused(ErrorKind::NoRoute);
        };
        if cost > state.bucket.fleet_burst() {
            return Take::Refused(ErrorKind::RateExceeded);
        }
        if state.try_take(now, cost, &self.slots) {
            return Take::Taken;
        }
        Take::Wait { until: state.own_refill_time(cost, &self.slots) }
    }

    /// Takes tokens for `request`, or queues it until `deadline`. A queued request ends with
    /// [`LimitEffect::Admit`] or [`LimitEffect::Refuse`] unless it is cancelled.
    pub fn admit(
        &mut self,
        now: Timestamp,
        request: RequestId,
        account: &AccountId,
        cost: MilliTokens,
        deadline: Timestamp,
        out: &mut Vec<LimitEffect>,
    ) -> Take {
        let take = self.try_take(now, account, cost);
        if matches!(take, Take::Refused(_)) {
            return take;
        }
        let waits = matches!(take, Take::Wait { .. });
        if waits
            && !self.accounts.get_mut(account).is_some_and(|a| a.enqueue(request, cost, deadline))
        {
            return Take::Refused(ErrorKind::RateExceeded);
        }
        let first_new = out.len();
        self.process_account(now, account, out);
        let result_of = |effect: &LimitEffect| match effect {
            LimitEffect::Admit(id) if *id == request => Some(Take::Taken),
            LimitEffect::Refuse(id, kind) if *id == request => Some(Take::Refused(*kind)),
            _ => None,
        };
        let found = out.iter().skip(first_new).position(|effect| result_of(effect).is_some());
        found.and_then(|index| result_of(&out.remove(first_new + index))).unwrap_or(take)
    }

    /// Removes a waiting request, for example because its client disconnected. Returns whether it
    /// was waiting.
    pub fn cancel(&mut self, account: &AccountId, request: RequestId) -> bool {
        self.accounts.get_mut(account).is_some_and(|state| state.cancel(request))
    }

    /// Answers a peer's request for tokens; `None` for an unknown account or a duplicate request.
    pub fn on_request(
        &mut self,
        now: Timestamp,
        from: &HostId,
        request: &TokenRequest,
    ) -> Option<Transfer> {
        let account = self.accounts.get_mut(&request.account)?;
        account.advance_to(now, &self.slots);
        account.bucket.unreserve(from, &request.settled);
        if account.bucket.has_answered(from, request.incarnation, request.sequence) {
            return None;
        }
        let amount = account.spare(now).min(request.amount);
        self.sequence += 1;
        let grant = GrantId { incarnation: self.incarnation, sequence: self.sequence };
        if amount.0 > 0 {
            let (to_incarnation, request) = (request.incarnation, request.sequence);
            account.bucket.reserve_grant(
                now,
                &OutgoingGrant { to: from, to_incarnation, request, grant, amount },
            );
        }
        Some(Transfer {
            account: request.account.clone(),
            amount,
            grant,
            to_incarnation: request.incarnation,
            request: request.sequence,
            left: account.spare(now),
            spare_per_s: account.spare_per_s(now, &self.slots),
        })
    }

    /// Handles a peer's answer to a request for tokens. Tokens that arrive too late, twice, or for
    /// an earlier incarnation of this host are dropped.
    pub fn on_transfer(
        &mut self,
        now: Timestamp,
        from: &HostId,
        transfer: &Transfer,
        out: &mut Vec<LimitEffect>,
    ) {
        if transfer.to_incarnation != self.incarnation {
            return;
        }
        let Some(account) = self.accounts.get_mut(&transfer.account) else { return };
        account.advance_to(now, &self.slots);
        account.on_transfer(now, from, transfer);
        self.process_account(now, &transfer.account, out);
    }

    /// Processes the accounts with waiting requests: admits, refuses and asks peers as of `now`.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LimitEffect>) {
        let waiting = self.accounts.iter().filter(|(_, account)| account.is_waiting());
        let ids: Vec<AccountId> = waiting.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.process_account(now, &id, out);
        }
    }

    /// Time for the next call of [`Limiter::tick`] if no other event comes first; `None` while no
    /// request waits.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let has_peers = !self.peers.is_empty();
        let wakes = self.accounts.values().map(|a| a.next_wake(now, &self.slots, has_peers));
        wakes.flatten().min()
    }

    fn process_account(&mut self, now: Timestamp, id: &AccountId, out: &mut Vec<LimitEffect>) {
        let Some(account) = self.accounts.get_mut(id) else { return };
        account.advance_to(now, &self.slots);
        let mut host = HostContext {
            failure_domain: &self.failure_domain,
            slots: &self.slots,
            peers: &self.peers,
            rng: &mut self.rng,
            sequence: &mut self.sequence,
        };
        account.admit_waiting(now, &host, out);
        for planned in account.plan_requests(now, &mut host) {
            let request = TokenRequest {
                account: id.clone(),
                amount: planned.amount,
                incarnation: self.incarnation,
                sequence: planned.sequence,
                settled: account.grants.take_settled(&planned.host),
            };
            out.push(LimitEffect::Ask(planned.host, request));
        }
    }
}
