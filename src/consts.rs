//! Named constants that several modules share.

/// Retries that a host allows per hundred requests of a group, so that retries cannot multiply the
/// load of a group in trouble.
pub const RETRY_PERCENT: u64 = 10;
