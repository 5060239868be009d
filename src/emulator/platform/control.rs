//! Faults and counters of the emulator, and the bodies of `/control`.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use medlarstile::types::{CommitSeq, DurationMs};
use medlarstile::wire::platform::ListedHostBody;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// How a call that is not served, or whose answer is lost, looks to its client.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureMode {
    /// HTTP status 503 (not served) or 504 (answer lost) at once.
    #[default]
    Status,
    /// The connection stays open and nothing is sent.
    Silent,
}

/// Body of `POST /control`; a member that is absent leaves its setting unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlBody {
    /// Serve no call of any client.
    pub down: Option<bool>,
    /// Serve no call of these clients; replaces the earlier list.
    pub refuse: Option<BTreeSet<CompactString>>,
    /// How unserved calls and lost answers look.
    pub failure_mode: Option<FailureMode>,
    /// Hold every call without effect; turning it off serves the held calls in order.
    pub frozen: Option<bool>,
    /// Delay of every answer after the effect.
    pub slow_ms: Option<DurationMs>,
    /// Lose the answers of the next calls after their effect.
    pub lose_next: Option<u64>,
    /// Probability, in thousandths, that an answer is lost after the effect.
    pub lose_per_mille: Option<u32>,
    /// Seed of the choice of lost answers; restarts the choice.
    pub lose_seed: Option<u64>,
    /// Whether answers to reads are lost too, not only answers to transactions and object puts.
    pub lose_reads: Option<bool>,
    /// Serve reads from this many commits ago, at most 1,000.
    pub stale_commits: Option<u64>,
    /// Lag of the host list behind the rows `hosts/*`; 0 publishes the newest list at once.
    pub list_lag_ms: Option<DurationMs>,
    /// Fixed host list in place of the rows `hosts/*`.
    pub hosts: Option<Vec<ListedHostBody>>,
    /// Derive the host list from the rows again.
    #[serde(default)]
    pub derive_hosts: bool,
    /// Set all counters to zero.
    #[serde(default)]
    pub reset_counters: bool,
}

/// Settings of the faults.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Faults {
    /// See [`ControlBody::down`].
    pub down: bool,
    /// See [`ControlBody::refuse`].
    pub refuse: BTreeSet<CompactString>,
    /// See [`ControlBody::failure_mode`].
    pub failure_mode: FailureMode,
    /// See [`ControlBody::frozen`].
    pub frozen: bool,
    /// See [`ControlBody::slow_ms`].
    pub slow_ms: DurationMs,
    /// See [`ControlBody::lose_next`].
    pub lose_next: u64,
    /// See [`ControlBody::lose_per_mille`].
    pub lose_per_mille: u32,
    /// See [`ControlBody::lose_reads`].
    pub lose_reads: bool,
    /// See [`ControlBody::stale_commits`].
    pub stale_commits: u64,
    /// See [`ControlBody::list_lag_ms`].
    pub list_lag_ms: DurationMs,
}

impl Faults {
    /// Applies the members of `body` that are present.
    pub fn change(&mut self, body: &ControlBody) {
        fn set<T: Clone>(setting: &mut T, wanted: &Option<T>) {
            if let Some(value) = wanted {
                setting.clone_from(value);
            }
        }
        set(&mut self.down, &body.down);
        set(&mut self.refuse, &body.refuse);
        set(&mut self.failure_mode, &body.failure_mode);
        set(&mut self.frozen, &body.frozen);
        set(&mut self.slow_ms, &body.slow_ms);
        set(&mut self.lose_next, &body.lose_next);
        set(&mut self.lose_per_mille, &body.lose_per_mille);
        set(&mut self.lose_reads, &body.lose_reads);
        set(&mut self.stale_commits, &body.stale_commits);
        set(&mut self.list_lag_ms, &body.list_lag_ms);
    }

    /// Whether calls of `client` are not served.
    pub fn refuses(&self, client: &str) -> bool {
        self.down || self.refuse.contains(client)
    }

    /// Whether the answer of a call that took effect is lost.
    pub fn loses(&mut self, is_write: bool, rng: &mut ChaCha8Rng) -> bool {
        if !is_write && !self.lose_reads {
            return false;
        }
        if self.lose_next > 0 {
            self.lose_next -= 1;
            return true;
        }
        self.lose_per_mille > 0 && rng.random_range(0..1_000) < self.lose_per_mille
    }
}

/// The random choice of lost answers for a seed.
pub fn loss_rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// What one client was served.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counters {
    /// Row reads, object reads, lists and host lists.
    pub reads: u64,
    /// Transactions that committed and object puts.
    pub writes: u64,
    /// Transactions whose checks failed.
    pub conflicts: u64,
    /// Calls that were not served.
    pub refused: u64,
    /// Answers that were lost after the effect.
    pub lost: u64,
    /// Bytes of request bodies.
    pub body_bytes_in: u64,
}

/// Answer of `GET /control` and `POST /control`.
#[derive(Debug, Clone, Serialize)]
pub struct ReportBody {
    /// Latest commit.
    pub commit_seq: CommitSeq,
    /// Settings of the faults.
    pub faults: Faults,
    /// Counters by client.
    pub clients: BTreeMap<CompactString, Counters>,
    /// Sum of the counters of all clients.
    pub total: Counters,
}

impl Counters {
    /// Adds the counters of another client.
    pub fn add(&mut self, other: &Counters) {
        self.reads += other.reads;
        self.writes += other.writes;
        self.conflicts += other.conflicts;
        self.refused += other.refused;
        self.lost += other.lost;
        self.body_bytes_in += other.body_bytes_in;
    }
}
