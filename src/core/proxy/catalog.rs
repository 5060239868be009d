//! The operator's configuration as the proxy core uses it.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use compact_str::CompactString;

use crate::types::{
    AccountId, Burst, ConnectionCount, DatabaseName, DurationMs, GroupId, RatePerS, TableVersion,
};

/// A caller's key. Its text is never logged and never sent to an endpoint.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerKey(CompactString);

impl CallerKey {
    /// The key with this text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// How fresh the reads of a route are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRule {
    /// Every commit acknowledged before the read.
    Primary,
    /// Every commit acknowledged longer ago than this.
    MaxAge(DurationMs),
    /// The same, and every commit of the session.
    OwnWrites(DurationMs),
}

/// Where the statements of a database go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Group that serves the database.
    pub group: GroupId,
    /// Freshness of reads.
    pub rule: ReadRule,
    /// Longest time for one statement.
    pub statement_limit_ms: DurationMs,
    /// Time in which an operation is to be answered.
    pub target_latency_ms: DurationMs,
    /// Whether callers without a known key are served.
    pub open: bool,
}

/// What the operator says about a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupPlan {
    /// Connections that each endpoint accepts from all hosts.
    pub connections: ConnectionCount,
    /// Replicas that have received a commit before the endpoint acknowledges it.
    pub sync_replicas: u32,
}

/// A client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountPlan {
    /// Operations a second over all hosts.
    pub rate_per_s: RatePerS,
    /// Operations at once over all hosts.
    pub burst: Burst,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version; only goes up.
    pub version: TableVersion,
    /// Routes by the database that callers name.
    pub routes: BTreeMap<DatabaseName, Rc<Route>>,
    /// Groups.
    pub groups: BTreeMap<GroupId, GroupPlan>,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, AccountPlan>,
    /// Owner of each key.
    pub keys: BTreeMap<CallerKey, AccountId>,
    /// Longest time that a transaction may rest.
    pub transaction_idle_ms: DurationMs,
}
