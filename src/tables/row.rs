//! Rows as operators write them, and the types of the `freshness` and `state` columns.

use std::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use displaydoc::Display as DocDisplay;

use crate::auth::Secret;
use crate::types::{Burst, ConnectionCount, DurationMs, RatePerS, Slots, TableVersion, Weight};

/// Both tables, which share one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tables {
    /// Version that the accepted edit got; 0 for tables that are not accepted yet.
    pub version: TableVersion,
    /// Rows of the routes table, in file order.
    pub routes: Vec<RouteRow>,
    /// Rows of the pools table, in file order.
    pub pools: Vec<PoolRow>,
}

/// A row of the routes table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRow {
    /// Unique name of the row.
    pub name: CompactString,
    /// Database that callers ask for.
    pub database: CompactString,
    /// Client account, or `*` for all callers.
    pub account: CompactString,
    /// Keys of the account; empty on an open route.
    pub keys: Vec<KeyRow>,
    /// Statements per second of the account over the whole fleet.
    pub rate_per_s: RatePerS,
    /// Largest burst of statements of the account over the whole fleet.
    pub burst: Burst,
    /// Weight of the account among the accounts that wait in a queue.
    pub weight: Weight,
    /// Pool that serves the route.
    pub pool: CompactString,
    /// `session`, `primary` or `age:<ms>`.
    pub freshness: CompactString,
    /// Longest wait of a request in a queue, in milliseconds.
    pub max_wait_ms: DurationMs,
}

/// A key in a row of the routes table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRow {
    /// Key id: a label, a dot and the verifier's fingerprint.
    pub key: CompactString,
    /// SCRAM-SHA-256 verifier in PostgreSQL's text form.
    pub verifier: Secret,
}

/// A row of the pools table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolRow {
    /// Name that routes refer to.
    pub pool: CompactString,
    /// Database group that the endpoint belongs to.
    pub group: CompactString,
    /// Endpoint id.
    pub endpoint: CompactString,
    /// IP address and port.
    pub address: CompactString,
    /// Failure domain of the endpoint.
    pub failure_domain: CompactString,
    /// Largest number of statements that the endpoint runs concurrently.
    pub slots: Slots,
    /// Largest number of connections from the whole fleet.
    pub connections: ConnectionCount,
    /// `active` or `leaving`.
    pub state: CompactString,
}

/// Freshness required of the reads of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Freshness {
    /// Data that includes the session's own writes.
    #[display("session")]
    Session,
    /// The current state of the primary, which serves the read.
    #[display("primary")]
    Primary,
    /// Data of at most this age that includes the session's own writes.
    #[display("age:{}", _0.0)]
    MaxAge(DurationMs),
}

/// Largest age that a route may ask for, in milliseconds: one day.
const MAX_AGE_MS: u64 = 86_400_000;

/// Error of parsing a [`Freshness`].
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum FreshnessError {
    /// a freshness is session, primary or age:MS with 1 to 86400000 ms
    Syntax,
}

impl std::error::Error for FreshnessError {}

impl FromStr for Freshness {
    type Err = FreshnessError;

    fn from_str(text: &str) -> Result<Self, FreshnessError> {
        match text {
            "session" => return Ok(Freshness::Session),
            "primary" => return Ok(Freshness::Primary),
            _ => {}
        }
        let age = text.strip_prefix("age:").and_then(|ms| ms.parse().ok());
        match age {
            Some(ms) if (1..=MAX_AGE_MS).contains(&ms) => Ok(Freshness::MaxAge(DurationMs(ms))),
            _ => Err(FreshnessError::Syntax),
        }
    }
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum EndpointState {
    /// Takes new work.
    #[display("active")]
    Active,
    /// Takes no new work; transactions in progress may finish.
    #[display("leaving")]
    Leaving,
}

/// Error of parsing an [`EndpointState`].
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum EndpointStateError {
    /// an endpoint state is active or leaving
    Syntax,
}

impl std::error::Error for EndpointStateError {}

impl FromStr for EndpointState {
    type Err = EndpointStateError;

    fn from_str(text: &str) -> Result<Self, EndpointStateError> {
        match text {
            "active" => Ok(EndpointState::Active),
            "leaving" => Ok(EndpointState::Leaving),
            _ => Err(EndpointStateError::Syntax),
        }
    }
}
