//! Execution slots: at most N jobs run at the same time, the others wait in order.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use medlarstile::types::{RequestId, Timestamp};

/// Running and waiting jobs of one endpoint.
#[derive(Debug)]
pub struct Slots {
    limit: usize,
    running: BTreeMap<RequestId, Timestamp>,
    waiting: VecDeque<(RequestId, Duration)>,
    most_running: usize,
}

impl Slots {
    /// `limit` slots, all free.
    pub fn new(limit: usize) -> Self {
        Self { limit, running: BTreeMap::new(), waiting: VecDeque::new(), most_running: 0 }
    }

    /// Adds a job that occupies a slot for `service`.
    pub fn submit(&mut self, now: Timestamp, job: RequestId, service: Duration) {
        self.waiting.push_back((job, service));
        self.fill(now);
    }

    /// Removes the jobs that are over at `now`, in the order of their ends. A waiting job starts
    /// at the time at which its slot became free, so a late call shifts nothing.
    pub fn take_finished(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut finished = Vec::new();
        while let Some((due, job)) = self.first_due().filter(|(due, _)| *due <= now) {
            self.running.remove(&job);
            finished.push(job);
            self.fill(due);
        }
        finished
    }

    /// When the next job is over.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.first_due().map(|(due, _)| due)
    }

    /// Removes a job wherever it is; whether it was there.
    pub fn cancel(&mut self, now: Timestamp, job: RequestId) -> bool {
        let running = self.running.remove(&job).is_some();
        let before = self.waiting.len();
        self.waiting.retain(|(waiting, _)| *waiting != job);
        self.fill(now);
        running || self.waiting.len() < before
    }

    /// Changes the number of slots; running jobs keep theirs.
    pub fn set_limit(&mut self, now: Timestamp, limit: usize) {
        self.limit = limit;
        self.fill(now);
    }

    /// Removes every job.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Largest number of jobs that ran at the same time.
    pub fn most_running(&self) -> usize {
        self.most_running
    }

    fn first_due(&self) -> Option<(Timestamp, RequestId)> {
        self.running.iter().map(|(job, due)| (*due, *job)).min()
    }

    fn fill(&mut self, now: Timestamp) {
        while self.running.len() < self.limit {
            let Some((job, service)) = self.waiting.pop_front() else { return };
            let us = u64::try_from(service.as_micros()).unwrap_or(u64::MAX);
            self.running.insert(job, Timestamp(now.0.saturating_add(us)));
            self.most_running = self.most_running.max(self.running.len());
        }
    }
}
