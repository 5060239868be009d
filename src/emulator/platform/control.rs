//! Injected faults, request counters, and the request and response bodies of `/control`.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use medlarstile::types::{CommitSeq, DurationMs};
use medlarstile::wire::platform::ListedHostBody;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What a client observes when its call is refused or the response is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureMode {
    /// An immediate response with HTTP status 503 (refused) or 504 (response lost).
    #[default]
    Status,
    /// The connection stays open, but no response is sent.
    Silent,
}

/// Body of `POST /control`; settings whose members are absent keep their values.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlBody {
    /// Refuse the calls of all clients.
    pub down: Option<bool>,
    /// Refuse the calls of these clients; replaces the previous set.
    pub refuse: Option<BTreeSet<CompactString>>,
    /// What clients observe on refused calls and lost responses.
    pub failure_mode: Option<FailureMode>,
    /// Queue all calls without executing them; `false` executes the queued calls in order.
    pub frozen: Option<bool>,
    /// Delay in milliseconds between the execution of a call and its response.
    pub slow_ms: Option<DurationMs>,
    /// Number of next calls that are executed but whose responses are lost.
    pub lose_next: Option<u64>,
    /// Probability, in thousandths, that the response of an executed call is lost.
    pub lose_per_mille: Option<u32>,
    /// Seed of the generator that selects lost responses; restarts the generator.
    pub lose_seed: Option<u64>,
    /// Whether responses to reads can be lost too, not only those to transactions and object puts.
    pub lose_reads: Option<bool>,
    /// Serve row reads as of this many commits ago, at most 1,000.
    pub stale_commits: Option<u64>,
    /// Lag of the host list behind the rows `hosts/*`, in milliseconds; 0 publishes the newest
    /// list immediately.
    pub list_lag_ms: Option<DurationMs>,
    /// Fixed host list that replaces the one derived from the rows `hosts/*`.
    pub hosts: Option<Vec<ListedHostBody>>,
    /// Remove the fixed host list and return to the one derived from the rows.
    #[serde(default)]
    pub derive_hosts: bool,
    /// Reset the counters of all clients.
    #[serde(default)]
    pub reset_counters: bool,
}

/// Current settings of the injected faults.
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
    /// Applies the fault settings that are present in `body`.
    pub fn apply(&mut self, body: &ControlBody) {
        fn set<T: Clone>(setting: &mut T, new_value: &Option<T>) {
            if let Some(value) = new_value {
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

    /// Whether calls of `client` are refused.
    pub fn refuses(&self, client: &str) -> bool {
        self.down || self.refuse.contains(client)
    }

    /// Decides whether the response of an executed call is lost, and counts `lose_next` down.
    pub fn loses_response(&mut self, is_write: bool, rng: &mut ChaCha8Rng) -> bool {
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

/// Creates the generator that selects lost responses.
pub fn new_loss_rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Request counters of one client.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counters {
    /// Row reads, object reads, object listings, host list reads and invalid transactions.
    pub reads: u64,
    /// Committed transactions and object puts.
    pub writes: u64,
    /// Transactions rejected because a version check failed.
    pub conflicts: u64,
    /// Calls refused because of `down` or `refuse`.
    pub refused: u64,
    /// Executed calls whose responses were lost.
    pub lost: u64,
    /// Total size of the request bodies of calls that were not refused, in bytes.
    pub body_bytes_in: u64,
}

/// Response body of `GET /control` and `POST /control`.
#[derive(Debug, Clone, Serialize)]
pub struct ReportBody {
    /// Sequence number of the latest commit.
    pub commit_seq: CommitSeq,
    /// Current settings of the injected faults.
    pub faults: Faults,
    /// Counters by client name.
    pub clients: BTreeMap<CompactString, Counters>,
    /// Sum of the counters of all clients.
    pub total: Counters,
}

impl Counters {
    /// Adds `other` to these counters.
    pub fn add(&mut self, other: &Counters) {
        self.reads += other.reads;
        self.writes += other.writes;
        self.conflicts += other.conflicts;
        self.refused += other.refused;
        self.lost += other.lost;
        self.body_bytes_in += other.body_bytes_in;
    }
}
