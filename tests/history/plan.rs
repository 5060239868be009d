//! Plan and outcome of a simulation.

/// Stands for the edit tool in place of a host's index in a fault.
pub const TOOL: usize = usize::MAX;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The platform is down.
    PlatformDown,
    /// This host can't reach the platform.
    PlatformUnreachable(usize),
    /// Hosts of this failure domain and hosts of the other ones can't reach each other.
    DomainIsolated(usize),
    /// The platform answers this host after up to 8 s.
    PlatformSlow(usize),
    /// Reads by this host, or by [`TOOL`], return the state of 20 to 40 commits ago.
    StaleReads(usize),
    /// This host's process is paused.
    Pause(usize),
    /// This host's process crashes and restarts at the end of the window.
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
    /// Percentage of the platform's answers that are lost after the call took effect, and of the
    /// messages between hosts that are delayed.
    pub lost_percent: u32,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub violations: Vec<String>,
    /// Checks of hosts that had served keyed routes before.
    pub checks: usize,
    /// Those of `checks` in which the host refused keyed routes.
    pub refused: usize,
    /// For each edit, the time from its commit until it was reported in force; `None` if it was not.
    pub in_force_ms: Vec<Option<u64>>,
}
