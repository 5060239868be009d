//! Decisions about the share slots of one host: when to read, claim, renew and release them.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::types::{AttemptId, DurationMs, RowVersion, Timestamp};

use super::attempt::{Attempt, Purpose};
use super::row::{
    HeldSlot, Holder, LiveHost, SeenRow, ShareEffect, ShareRow, ShareSettings, ShareSlot,
    ShareWrite, WriteResult,
};
use super::slot::Slot;
use super::ShareState;

/// Longest interval between two renewals.
const MAX_RENEWAL_INTERVAL: DurationMs = DurationMs(30_000);
/// Renewals per lease: a lease survives nine failed renewals in a row.
const RENEWALS_PER_LEASE: u64 = 10;
/// Interval between two reads of the rows while this host holds its target number of slots.
const READ_INTERVAL: DurationMs = DurationMs(30_000);
/// Interval between two reads while this host holds fewer slots than its target.
const READ_INTERVAL_BELOW_TARGET: DurationMs = DurationMs(5_000);
/// Time without an answer after which a read counts as failed and the outcome of a write as
/// unknown.
const CALL_TIMEOUT: DurationMs = DurationMs(5_000);
/// Delay before the first retry after a failure; doubles with each further failure.
const RETRY_MIN: DurationMs = DurationMs(50);
/// Longest delay before a retry.
const RETRY_MAX: DurationMs = DurationMs(2_000);

/// Manages the share slots of one host: claims, renews and releases them.
#[derive(Debug)]
pub struct ShareKeeper {
    me: Holder,
    settings: ShareSettings,
    rng: ChaCha8Rng,
    slots: Vec<Slot>,
    hosts: Vec<LiveHost>,
    hosts_known: bool,
    attempts: BTreeMap<AttemptId, Attempt>,
    in_use: Vec<HeldSlot>,
    read_at: Timestamp,
    read_sent_at: Option<Timestamp>,
    read_needed: bool,
    renew_at: Timestamp,
    failures: u32,
    stopping: bool,
}

impl ShareKeeper {
    /// Creates the state of the process `me`, which holds no slots and has read no rows yet.
    pub fn new(me: Holder, settings: ShareSettings, rng: ChaCha8Rng) -> Self {
        let unset = Timestamp(0);
        Self {
            slots: (0..settings.slots).map(|n| Slot::new(ShareSlot(n))).collect(),
            hosts: vec![me.clone()],
            hosts_known: false,
            me,
            settings,
            rng,
            attempts: BTreeMap::new(),
            in_use: Vec::new(),
            read_at: unset,
            read_sent_at: None,
            read_needed: true,
            renew_at: unset,
            failures: 0,
            stopping: false,
        }
    }

    /// Sets the registered live processes; this process is added if it is missing. No slot is
    /// claimed before the first call, because the target depends on the number of processes.
    pub fn on_hosts(&mut self, now: Timestamp, hosts: &[LiveHost], out: &mut Vec<ShareEffect>) {
        self.hosts = hosts.to_vec();
        self.hosts_known = true;
        if !self.hosts.contains(&self.me) {
            self.hosts.push(self.me.clone());
        }
        self.hosts.sort_by(|a, b| (&a.host, a.incarnation).cmp(&(&b.host, b.incarnation)));
        if self.held_count() < self.target_count() {
            let read_by = now + self.jitter(READ_INTERVAL_BELOW_TARGET);
            self.read_at = self.read_at.min(read_by);
        }
        self.tick(now, out);
    }

    /// Handles the answer to [`ShareEffect::Read`]: all rows that exist, or `None` if the read
    /// failed.
    pub fn on_rows(
        &mut self,
        now: Timestamp,
        rows: Option<&[SeenRow]>,
        out: &mut Vec<ShareEffect>,
    ) {
        self.read_sent_at = None;
        match rows {
            None => {
                self.failures += 1;
                self.read_at = now + self.retry_delay();
            }
            Some(rows) => {
                self.failures = 0;
                self.read_needed = false;
                self.observe_all(now, rows);
                let interval = if self.held_count() < self.target_count() {
                    READ_INTERVAL_BELOW_TARGET
                } else {
                    READ_INTERVAL
                };
                self.read_at = now + self.jitter(interval);
            }
        }
        self.tick(now, out);
    }

    /// Handles the result of [`ShareEffect::Write`].
    pub fn on_result(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        result: WriteResult,
        out: &mut Vec<ShareEffect>,
    ) {
        match result {
            WriteResult::Applied(version) => self.on_applied(now, attempt, version),
            WriteResult::Conflict | WriteResult::Unknown => self.on_failed(now, attempt),
        }
        self.tick(now, out);
    }

    /// Starts to release all slots, and claims no more.
    pub fn stop(&mut self, now: Timestamp, out: &mut Vec<ShareEffect>) {
        self.stopping = true;
        self.tick(now, out);
    }

    /// Whether [`ShareKeeper::stop`] was called and this host holds no slot that it could still
    /// release.
    pub fn is_stopped(&self) -> bool {
        let is_released = |slot: &Slot| {
            matches!(slot.state(), ShareState::Unread | ShareState::Free | ShareState::Other)
        };
        self.stopping && self.slots.iter().all(is_released)
    }

    /// Slots that this host may use, with the period of each.
    pub fn in_use(&self) -> &[HeldSlot] {
        &self.in_use
    }

    /// Takes every action that is due at `now`.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<ShareEffect>) {
        self.fail_overdue(now);
        self.retire_excess(now);
        self.report_in_use(out);
        if !self.read_needed {
            self.renew(now, out);
            self.release(now, out);
            self.claim(now, out);
        }
        if now >= self.read_at && self.read_sent_at.is_none() {
            self.read_sent_at = Some(now);
            out.push(ShareEffect::Read);
        }
    }

    /// Time for the next call of [`ShareKeeper::tick`] if no other event comes first.
    pub fn next_wake(&self) -> Timestamp {
        let read = self.read_sent_at.map_or(self.read_at, |sent| sent + CALL_TIMEOUT);
        let pending = self.attempts.values().filter(|attempt| attempt.pending);
        let overdue = pending.map(|attempt| attempt.sent_at + CALL_TIMEOUT).min();
        let release = self.slots.iter().filter_map(Slot::release_at).min();
        let release = release.filter(|_| !self.is_pending(Purpose::Release));
        let renews = self.held_count() > 0 && !self.is_pending(Purpose::Renew);
        let renew = renews.then_some(self.renew_at);
        let write = [release, renew].into_iter().flatten().min().filter(|_| !self.read_needed);
        [Some(read), overdue, write].into_iter().flatten().min().unwrap_or(read)
    }

    fn observe_all(&mut self, now: Timestamp, rows: &[SeenRow]) {
        let by_slot: BTreeMap<ShareSlot, &SeenRow> =
            rows.iter().map(|seen| (seen.slot, seen)).collect();
        for index in 0..self.slots.len() {
            let slot = self.slots[index].number();
            let absent = SeenRow { slot, version: RowVersion(0), row: ShareRow::default() };
            self.observe(now, by_slot.get(&slot).copied().unwrap_or(&absent));
        }
    }

    fn observe(&mut self, now: Timestamp, seen: &SeenRow) {
        let lease = self.settings.lease;
        let end = self.attempts.get(&seen.row.attempt).map(|attempt| attempt.sent_at + lease);
        if let Some(slot) = self.slots.get_mut(seen.slot.0 as usize) {
            slot.observe(now, seen, &self.me, end);
        }
    }

    fn on_applied(&mut self, now: Timestamp, id: AttemptId, version: RowVersion) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.pending = false;
        for write in attempt.writes.clone() {
            self.observe(now, &SeenRow { slot: write.slot, version, row: write.row });
        }
    }

    /// Requests a read of the rows before anything is retried, because the write may have taken
    /// effect.
    fn on_failed(&mut self, now: Timestamp, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.pending) else {
            return;
        };
        attempt.pending = false;
        if attempt.purpose == Purpose::Renew {
            self.renew_at = now;
        } else {
            let slots: Vec<ShareSlot> = attempt.slots().collect();
            for slot in slots {
                self.slots[slot.0 as usize].write_failed();
            }
        }
        self.failures += 1;
        self.read_needed = true;
        self.read_at = now + self.retry_delay();
    }

    fn fail_overdue(&mut self, now: Timestamp) {
        let is_overdue =
            |attempt: &Attempt| attempt.pending && now >= attempt.sent_at + CALL_TIMEOUT;
        let overdue: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| is_overdue(a)).map(|(id, _)| *id).collect();
        for id in overdue {
            self.on_failed(now, id);
        }
        // The lease of a row that was written by an older attempt has already ended.
        let lease = self.settings.lease;
        self.attempts.retain(|_, attempt| attempt.pending || now < attempt.sent_at + lease);
        if self.read_sent_at.is_some_and(|sent| now >= sent + CALL_TIMEOUT) {
            self.read_sent_at = None;
            self.read_at = now;
        }
    }

    fn retire_excess(&mut self, now: Timestamp) {
        let target = if self.stopping { 0 } else { self.target_count() };
        let mut excess = self.held_count().saturating_sub(target);
        for slot in self.slots.iter_mut().rev() {
            if excess > 0 && slot.state() == ShareState::Held {
                slot.retire(now);
                excess -= 1;
            }
        }
    }

    fn report_in_use(&mut self, out: &mut Vec<ShareEffect>) {
        let held: Vec<HeldSlot> = self.slots.iter().filter_map(Slot::held).collect();
        if held != self.in_use {
            self.in_use.clone_from(&held);
            out.push(ShareEffect::Use(held));
        }
    }

    fn renew(&mut self, now: Timestamp, out: &mut Vec<ShareEffect>) {
        if now < self.renew_at || self.is_pending(Purpose::Renew) {
            return;
        }
        let held = self.slot_numbers(|slot| slot.state() == ShareState::Held);
        if held.is_empty() {
            return;
        }
        let interval = DurationMs(self.settings.lease.0 / RENEWALS_PER_LEASE);
        self.renew_at = now + self.jitter(interval.min(MAX_RENEWAL_INTERVAL));
        self.send(now, Purpose::Renew, &held, out);
    }

    fn release(&mut self, now: Timestamp, out: &mut Vec<ShareEffect>) {
        let due = self.slot_numbers(|slot| slot.release_at().is_some_and(|at| now >= at));
        if due.is_empty() || self.is_pending(Purpose::Release) {
            return;
        }
        for number in &due {
            self.slots[number.0 as usize].release();
        }
        self.send(now, Purpose::Release, &due, out);
    }

    fn claim(&mut self, now: Timestamp, out: &mut Vec<ShareEffect>) {
        let wanted = self.target_count().saturating_sub(self.held_count());
        let ready = self.hosts_known && !self.stopping;
        if !ready || wanted == 0 || self.is_pending(Purpose::Claim) {
            return;
        }
        let wait = DurationMs(self.settings.lease.0 + self.settings.margin.0);
        let mut claimed = Vec::new();
        for number in self.claim_order() {
            let slot = &mut self.slots[number.0 as usize];
            let abandoned = slot.abandoned(now, wait, &self.hosts);
            if claimed.len() < wanted && slot.claim(abandoned) {
                claimed.push(number);
            }
        }
        if !claimed.is_empty() {
            self.send(now, Purpose::Claim, &claimed, out);
        }
    }

    /// Slots in the order in which this host claims them. Each host starts with different slots, so
    /// that hosts that start together rarely conflict.
    fn claim_order(&mut self) -> Vec<ShareSlot> {
        let hosts = self.hosts.len();
        let rank = self.hosts.iter().position(|host| *host == self.me).unwrap_or_default();
        let mut numbers = self.slot_numbers(|_| true);
        numbers.shuffle(&mut self.rng);
        numbers.sort_by_key(|number| number.0 as usize % hosts != rank);
        numbers
    }

    fn send(
        &mut self,
        now: Timestamp,
        purpose: Purpose,
        slots: &[ShareSlot],
        out: &mut Vec<ShareEffect>,
    ) {
        let id = AttemptId(self.rng.random());
        let holder = (purpose != Purpose::Release).then(|| self.me.clone());
        let write = |number: &ShareSlot| {
            let slot = &self.slots[number.0 as usize];
            let counter = slot.row().counter + 1;
            let row = ShareRow { holder: holder.clone(), counter, attempt: id };
            ShareWrite { slot: *number, expected: slot.version(), row }
        };
        let writes: Vec<ShareWrite> = slots.iter().map(write).collect();
        let attempt = Attempt { purpose, sent_at: now, writes: writes.clone(), pending: true };
        self.attempts.insert(id, attempt);
        out.push(ShareEffect::Write { attempt: id, writes });
    }

    fn slot_numbers(&self, selected: impl Fn(&Slot) -> bool) -> Vec<ShareSlot> {
        self.slots.iter().filter(|slot| selected(slot)).map(Slot::number).collect()
    }

    fn held_count(&self) -> usize {
        self.slots.iter().filter(|slot| slot.state() == ShareState::Held).count()
    }

    fn target_count(&self) -> usize {
        self.slots.len().div_ceil(self.hosts.len())
    }

    fn is_pending(&self, purpose: Purpose) -> bool {
        self.attempts.values().any(|attempt| attempt.pending && attempt.purpose == purpose)
    }

    fn retry_delay(&mut self) -> DurationMs {
        let doubled = RETRY_MIN.0 << self.failures.saturating_sub(1).min(6);
        self.jitter(DurationMs(doubled.min(RETRY_MAX.0)))
    }

    /// Random duration between half of `span` and `span`, to spread the load on the platform.
    fn jitter(&mut self, span: DurationMs) -> DurationMs {
        DurationMs(self.rng.random_range(span.0 / 2..=span.0))
    }
}
