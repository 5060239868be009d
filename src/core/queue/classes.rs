//! Fair queues of several classes of urgency.

use std::collections::BTreeMap;

use crate::error::ErrorKind;
use crate::types::{AccountId, Cost, Priority, Timestamp, Weight};

use super::{FairQueue, QueueBounds, Ticket};

/// A fair queue for each class, so that a backlog of one class neither fills the queue of another
/// nor changes the order of its accounts.
#[derive(Debug)]
pub struct ClassQueue<T> {
    bounds: QueueBounds,
    classes: BTreeMap<Priority, FairQueue<T>>,
}

impl<T> ClassQueue<T> {
    /// Creates an empty queue; `bounds` are those of each class.
    pub fn new(bounds: QueueBounds) -> Self {
        Self { bounds, classes: BTreeMap::new() }
    }

    /// The queue of a class.
    pub fn class(&mut self, priority: Priority) -> &mut FairQueue<T> {
        self.classes.entry(priority).or_insert_with(|| FairQueue::new(self.bounds))
    }

    /// Appends a request of a class with unit weight.
    ///
    /// # Errors
    ///
    /// As [`FairQueue::push`].
    pub fn push(
        &mut self,
        now: Timestamp,
        priority: Priority,
        account: &AccountId,
        cost: Cost,
        deadline: Timestamp,
        item: T,
    ) -> Result<Ticket, ErrorKind> {
        self.class(priority).push(now, account, Weight(1), cost, deadline, item)
    }

    /// The classes with waiting requests, the most urgent first.
    pub fn priorities(&self) -> Vec<Priority> {
        let waiting = self.classes.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(priority, _)| *priority).collect()
    }

    /// Removes the queues of classes that are no longer used, once no request waits in them.
    pub fn retain(&mut self, is_used: impl Fn(Priority) -> bool) {
        self.classes.retain(|priority, queue| !queue.is_empty() || is_used(*priority));
    }

    /// Number of classes that have a queue.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Number of waiting requests of all classes.
    pub fn len(&self) -> usize {
        self.classes.values().map(FairQueue::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
