//! The fair queue: per-account queues ordered by start tag.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, From, FromStr, Into};

use crate::error::ErrorKind;
use crate::types::{AccountId, Cost, Timestamp, Weight};

use super::deadline::Deadlines;
use super::service_rate::ServiceRate;

/// Units of virtual time per microsecond of cost at weight 1; large enough to make the rounding
/// error of a division by a weight negligible.
const VIRTUAL_SCALE: u128 = 1 << 20;

/// Id of a waiting request within one queue, ascending in order of arrival.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, From, Into,
)]
pub struct Ticket(pub u64);

/// Maximum numbers of waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Maximum for one account.
    pub per_account: usize,
    /// Maximum for all accounts together.
    pub per_pool: usize,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self { per_account: 256, per_pool: 4_096 }
    }
}

#[derive(Debug)]
struct Entry<T> {
    cost: Cost,
    deadline: Timestamp,
    item: T,
}

/// Waiting requests of one account.
#[derive(Debug)]
struct AccountQueue<T> {
    weight: Weight,
    /// Start tag of the first waiting request, or of the next one to arrive if none waits.
    start_tag: u128,
    entries: BTreeMap<Ticket, Entry<T>>,
    /// Total cost of all entries.
    queued_cost: u128,
}

/// A bounded queue that serves client accounts in proportion to their weights.
#[derive(Debug)]
pub struct FairQueue<T> {
    bounds: QueueBounds,
    accounts: BTreeMap<AccountId, AccountQueue<T>>,
    by_start_tag: BTreeSet<(u128, AccountId)>,
    deadlines: Deadlines,
    service_rate: ServiceRate,
    virtual_time: u128,
    next_ticket: u64,
    waiting: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            accounts: BTreeMap::new(),
            by_start_tag: BTreeSet::new(),
            deadlines: Deadlines::default(),
            service_rate: ServiceRate::default(),
            virtual_time: 0,
            next_ticket: 0,
            waiting: 0,
        }
    }

    /// Appends a request to its account's queue.
    ///
    /// # Errors
    ///
    /// `Overloaded` if a bound is reached or the request is expected to start after its deadline;
    /// `DeadlineExceeded` if the deadline has already passed.
    pub fn push(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        weight: Weight,
        cost: Cost,
        deadline: Timestamp,
        item: T,
    ) -> Result<Ticket, ErrorKind> {
        if now >= deadline {
            return Err(ErrorKind::DeadlineExceeded);
        }
        let account_waiting = self.accounts.get(account).map_or(0, |queue| queue.entries.len());
        let full =
            account_waiting >= self.bounds.per_account || self.waiting >= self.bounds.per_pool;
        let weight = Weight(weight.0.max(1));
        if full || self.expected_start(now, account, weight) > deadline {
            return Err(ErrorKind::Overloaded);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting += 1;
        self.deadlines.add(deadline, ticket, account);
        self.insert_entry(account, weight, ticket, Entry { cost, deadline, item });
        Ok(ticket)
    }

    /// Removes the request to serve next: the one with the lowest start tag whose deadline has not
    /// passed.
    pub fn pop(&mut self, now: Timestamp) -> Option<T> {
        let found = self.by_start_tag.iter().find_map(|(start, account)| {
            let entries = &self.accounts.get(account)?.entries;
            let (ticket, _) = entries.iter().find(|(_, entry)| entry.deadline > now)?;
            Some((*start, account.clone(), *ticket))
        });
        let (start, account, ticket) = found?;
        let entry = self.remove_entry(&account, ticket, true)?;
        self.virtual_time = self.virtual_time.max(start);
        self.remove_idle();
        self.service_rate.on_pop(now, entry.cost, self.waiting > 0);
        Some(entry.item)
    }

    /// Removes all requests whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some((ticket, account)) = self.deadlines.due(now) {
            expired.extend(self.remove_entry(&account, ticket, false).map(|entry| entry.item));
        }
        expired
    }

    /// Removes a request that is no longer to be served, without charging its account.
    pub fn remove(&mut self, account: &AccountId, ticket: Ticket) -> Option<T> {
        self.remove_entry(account, ticket, false).map(|entry| entry.item)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// The earliest deadline, at which [`FairQueue::expire`] next removes a request.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first()
    }

    /// When a request of `account` that arrives at `now` is expected to start: after all waiting
    /// requests with a lower start tag. Returns `now` while the service rate is unknown.
    pub fn expected_start(&self, now: Timestamp, account: &AccountId, weight: Weight) -> Timestamp {
        let per_weight = VIRTUAL_SCALE / u128::from(weight.0.max(1));
        let tag = match self.accounts.get(account) {
            Some(queue) => queue.start_tag + queue.queued_cost * per_weight,
            None => self.virtual_time,
        };
        let cost_before = |queue: &AccountQueue<T>| {
            let until_tag = tag.saturating_sub(queue.start_tag) * u128::from(queue.weight.0);
            queue.queued_cost.min(until_tag / VIRTUAL_SCALE)
        };
        let work = self.accounts.values().map(cost_before).sum();
        Timestamp(now.0.saturating_add(self.service_rate.time_to_serve(work).unwrap_or(0)))
    }

    fn insert_entry(
        &mut self,
        account: &AccountId,
        weight: Weight,
        ticket: Ticket,
        entry: Entry<T>,
    ) {
        // The start tag of an idle account that was not removed yet is ahead of the virtual time
        // and stays.
        let start_tag = self.virtual_time;
        let empty = || AccountQueue { weight, start_tag, entries: BTreeMap::new(), queued_cost: 0 };
        let queue = self.accounts.entry(account.clone()).or_insert_with(empty);
        queue.weight = weight;
        if queue.entries.is_empty() {
            self.by_start_tag.insert((queue.start_tag, account.clone()));
        }
        queue.queued_cost += u128::from(entry.cost.0);
        queue.entries.insert(ticket, entry);
    }

    /// Removes a request; its account's start tag advances only if the request is served.
    fn remove_entry(
        &mut self,
        account: &AccountId,
        ticket: Ticket,
        served: bool,
    ) -> Option<Entry<T>> {
        let queue = self.accounts.get_mut(account)?;
        let entry = queue.entries.remove(&ticket)?;
        self.by_start_tag.remove(&(queue.start_tag, account.clone()));
        queue.queued_cost -= u128::from(entry.cost.0);
        if served {
            queue.start_tag +=
                u128::from(entry.cost.0) * VIRTUAL_SCALE / u128::from(queue.weight.0);
        }
        if !queue.entries.is_empty() {
            self.by_start_tag.insert((queue.start_tag, account.clone()));
        }
        self.waiting -= 1;
        self.deadlines.remove(entry.deadline, ticket, account);
        Some(entry)
    }

    /// Removes idle accounts whose start tag is no longer ahead of the virtual time. When the queue
    /// is empty, the virtual time first advances to the highest tag, so that all accounts start
    /// equal again.
    fn remove_idle(&mut self) {
        if self.waiting == 0 {
            let highest = self.accounts.values().map(|queue| queue.start_tag).max();
            self.virtual_time = self.virtual_time.max(highest.unwrap_or_default());
        }
        let now = self.virtual_time;
        self.accounts.retain(|_, queue| !queue.entries.is_empty() || queue.start_tag > now);
    }
}
