//! What a history consists of, and what it showed.

/// The edit tool, where a fault names a host.
pub const TOOL: usize = usize::MAX;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Down,
    Cut(usize),
    Split(usize),
    /// The platform answers this host after up to 8 s.
    Slow(usize),
    /// Reads of this host, or of [`TOOL`], are served from 20 to 40 commits ago.
    StaleReads(usize),
    Pause(usize),
    Crash(usize),
}

#[derive(Debug, Clone)]
pub struct Window {
    pub fault: Fault,
    pub from_ms: u64,
    pub to_ms: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Failure domain and start time of each host.
    pub hosts: Vec<(usize, u64)>,
    pub windows: Vec<Window>,
    pub edits_ms: Vec<u64>,
    pub end_ms: u64,
    /// Share of platform answers that are lost after the effect, and of messages that are delayed.
    pub lost_percent: u32,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub violations: Vec<String>,
    /// Checks of hosts that had served keyed routes before, and those that refused.
    pub checks: usize,
    pub refused: usize,
    /// For each edit, time from its commit until it was reported in force.
    pub in_force_ms: Vec<Option<u64>>,
}
