//! What a history consists of, and what it showed.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Down,
    Cut(usize),
    Split(usize),
    Slow,
    StaleReads,
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
