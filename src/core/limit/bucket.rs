//! Token bucket of one account at one host, sized by the share slots that the host holds.

use std::collections::VecDeque;

use crate::core::share::HeldSlot;
use crate::types::{Burst, DurationMs, HostId, Incarnation, MilliTokens, RatePerS, Timestamp};

use super::message::GrantId;

/// Share of the rate that is refilled, in thousandths: a clock may run fast by up to 0.1%.
const REFILL_PERMILLE: u128 = 999;

/// How long a receiver may spend a grant, measured on its own clock from the time at which it sent
/// the request.
pub(super) const GRANT_LIFETIME: DurationMs = DurationMs(500);

/// How long a giver keeps a grant reserved, measured on its own clock from its answer: the
/// receiver's 500 ms plus 0.4%, which is more than two clocks that each deviate by up to 0.1% need.
const RESERVATION_TIME: DurationMs = DurationMs(502);

const US_PER_S: u128 = 1_000_000;

/// A grant of this host that its receiver may still spend.
#[derive(Debug)]
struct Reservation {
    to: HostId,
    to_incarnation: Incarnation,
    request: u64,
    grant: GrantId,
    amount: u64,
    until: Timestamp,
}

/// A grant that this host is about to make.
#[derive(Debug)]
pub(super) struct OutgoingGrant<'a> {
    pub to: &'a HostId,
    pub to_incarnation: Incarnation,
    pub request: u64,
    pub grant: GrantId,
    pub amount: MilliTokens,
}

/// Token bucket in milli-tokens. Refills are exact: the remainder of each one is carried over to
/// the next.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: RatePerS,
    burst: Burst,
    total_slots: u32,
    level: u64,
    /// Fraction of a milli-token, in units of 1/(total slots · 1,000,000).
    remainder: u128,
    updated_at: Timestamp,
    reserved: VecDeque<Reservation>,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(now: Timestamp, rate: RatePerS, burst: Burst, total_slots: u32) -> Self {
        let reserved = VecDeque::new();
        Self { rate, burst, total_slots, level: 0, remainder: 0, updated_at: now, reserved }
    }

    /// Refills the bucket up to `now`. Slots and reservations that begin or end in between take
    /// effect at their exact times, however late the call is.
    pub fn advance_to(&mut self, now: Timestamp, slots: &[HeldSlot]) {
        while let Some(boundary) = self.next_boundary(now, slots) {
            self.refill(boundary, slots);
            while self.reserved.front().is_some_and(|front| front.until <= boundary) {
                self.reserved.pop_front();
            }
            self.clamp(slots);
        }
        self.refill(now, slots);
    }

    /// Sets rate and burst without creating tokens. The caller first refills up to the time of the
    /// change.
    pub fn set_limits(&mut self, rate: RatePerS, burst: Burst, slots: &[HeldSlot]) {
        self.rate = rate;
        self.burst = burst;
        self.clamp(slots);
    }

    /// Lowers the level to the capacity that the slots and reservations leave.
    pub fn clamp(&mut self, slots: &[HeldSlot]) {
        let capacity = self.capacity(slots);
        if self.level >= capacity {
            self.level = capacity;
            self.remainder = 0;
        }
    }

    /// Tokens available in the bucket.
    pub fn level(&self) -> MilliTokens {
        MilliTokens(self.level)
    }

    /// Burst of the account over the whole fleet.
    pub fn fleet_burst(&self) -> MilliTokens {
        MilliTokens(self.burst.0.saturating_mul(MilliTokens::ONE.0))
    }

    /// Rate of the account over the whole fleet, in milli-tokens per second.
    pub fn fleet_rate_per_s(&self) -> MilliTokens {
        MilliTokens(self.rate.0.saturating_mul(MilliTokens::ONE.0))
    }

    /// Refill of the usable ones of `slots`, in milli-tokens per second.
    pub fn refill_per_s(&self, slots: &[HeldSlot]) -> MilliTokens {
        let per_s = self.units_per_us(slots) / u128::from(self.total_slots.max(1));
        MilliTokens(saturate_u64(per_s))
    }

    /// Removes `amount` from the bucket, or all that it has if that is less.
    pub fn take(&mut self, amount: MilliTokens) {
        self.level = self.level.saturating_sub(amount.0);
    }

    /// Removes a granted amount and reserves its capacity until the receiver can no longer spend
    /// it.
    pub fn reserve_grant(&mut self, now: Timestamp, outgoing: &OutgoingGrant<'_>) {
        self.take(outgoing.amount);
        self.reserved.push_back(Reservation {
            to: outgoing.to.clone(),
            to_incarnation: outgoing.to_incarnation,
            request: outgoing.request,
            grant: outgoing.grant,
            amount: outgoing.amount.0,
            until: now + RESERVATION_TIME,
        });
    }

    /// Whether the request already got a grant that its receiver may still spend.
    pub fn has_answered(&self, to: &HostId, incarnation: Incarnation, request: u64) -> bool {
        let same = |r: &Reservation| (r.to_incarnation, r.request) == (incarnation, request);
        self.reserved.iter().any(|r| same(r) && r.to == *to)
    }

    /// Drops the reservations of grants of which the receiver will spend nothing more.
    pub fn unreserve(&mut self, to: &HostId, settled: &[GrantId]) {
        self.reserved.retain(|r| !(r.to == *to && settled.contains(&r.grant)));
    }

    /// Time at which refill alone brings the level to `need`; `None` if it never does.
    pub fn refilled_at(&self, need: MilliTokens, slots: &[HeldSlot]) -> Option<Timestamp> {
        let missing = u128::from(need.0.saturating_sub(self.level));
        if missing == 0 {
            return Some(self.updated_at);
        }
        let units_per_us = self.units_per_us(slots);
        if units_per_us == 0 || need.0 > self.capacity(slots) {
            return None;
        }
        let units = missing * self.units_per_milli_token() - self.remainder;
        Some(Timestamp(
            self.updated_at.0.saturating_add(saturate_u64(units.div_ceil(units_per_us))),
        ))
    }

    fn next_boundary(&self, now: Timestamp, slots: &[HeldSlot]) -> Option<Timestamp> {
        let slot_boundaries = slots.iter().flat_map(|slot| [slot.from, slot.until]);
        let reservation_end = self.reserved.front().map(|front| front.until);
        slot_boundaries
            .chain(reservation_end)
            .filter(|at| self.updated_at < *at && *at <= now)
            .min()
    }

    fn refill(&mut self, to: Timestamp, slots: &[HeldSlot]) {
        let elapsed = u128::from(to.0.saturating_sub(self.updated_at.0));
        let units = self.remainder + self.units_per_us(slots) * elapsed;
        self.level = self.level.saturating_add(saturate_u64(units / self.units_per_milli_token()));
        self.remainder = units % self.units_per_milli_token();
        self.clamp(slots);
        self.updated_at = self.updated_at.max(to);
    }

    /// Units of the remainder gained in a microsecond. The 1,000 milli-tokens of a token cancel
    /// against the thousandths of [`REFILL_PERMILLE`].
    fn units_per_us(&self, slots: &[HeldSlot]) -> u128 {
        u128::from(self.rate.0) * u128::from(self.usable_slots(slots)) * REFILL_PERMILLE
    }

    fn units_per_milli_token(&self) -> u128 {
        u128::from(self.total_slots.max(1)) * US_PER_S
    }

    fn capacity(&self, slots: &[HeldSlot]) -> u64 {
        let scaled_burst = u128::from(self.fleet_burst().0) * u128::from(self.usable_slots(slots));
        let reserved: u64 = self.reserved.iter().map(|r| r.amount).sum();
        saturate_u64(scaled_burst / u128::from(self.total_slots.max(1))).saturating_sub(reserved)
    }

    fn usable_slots(&self, slots: &[HeldSlot]) -> u32 {
        let usable = slots.iter().filter(|slot| slot.usable(self.updated_at)).count();
        u32::try_from(usable).unwrap_or(u32::MAX).min(self.total_slots)
    }
}

fn saturate_u64(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
