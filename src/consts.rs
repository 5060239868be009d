//! Constants that several modules use.

/// Retries that a host allows, as a percentage of the requests to a group. The limit prevents
/// retries from multiplying the load of a failing group.
pub const RETRY_PERCENT: u64 = 10;
