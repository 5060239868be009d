//! The operator's configuration in the form that the proxy core uses.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use compact_str::CompactString;

use crate::types::{
    AccountId, ConnectionCount, DatabaseName, DurationMs, GroupId, MilliTokens, Priority, RatePerS,
    TableVersion,
};

/// The secret key that a caller authenticates with. It is never logged or sent to an endpoint.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerKey(CompactString);

impl CallerKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// Freshness that the reads of a route guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRule {
    /// A read sees every commit acknowledged before it.
    Primary,
    /// A read sees every commit acknowledged longer ago than this.
    MaxAge(DurationMs),
    /// As `MaxAge`; a read also sees every earlier commit of its session.
    OwnWrites(DurationMs),
}

/// Settings of a database that callers name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Group that serves the database.
    pub group: GroupId,
    /// Freshness of its reads.
    pub rule: ReadRule,
    /// Time limit of a single statement.
    pub statement_limit_ms: DurationMs,
    /// Target latency of an operation.
    pub target_latency_ms: DurationMs,
    /// Urgency of its requests among those that wait.
    pub priority: Priority,
    /// Whether callers without a known key are accepted.
    pub open: bool,
}

/// Settings of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupConfig {
    /// Connections that each endpoint accepts, over all hosts.
    pub connections: ConnectionCount,
    /// Replicas that must have received a commit before the primary acknowledges it.
    pub sync_replicas: u32,
    /// Requests per second that all hosts together may send to a cold endpoint, if that is limited.
    pub slow_start: Option<RatePerS>,
    /// Shortest target latency of the routes whose reads may run on its replicas.
    pub read_target_ms: DurationMs,
}

/// Limits of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountLimit {
    /// Operations per second, over all hosts, in thousandths.
    pub rate_per_s: MilliTokens,
    /// Operations admitted at once, over all hosts, in thousandths.
    pub burst: MilliTokens,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version, which only increases.
    pub version: TableVersion,
    /// Routes by the database that callers name.
    pub routes: BTreeMap<DatabaseName, Rc<Route>>,
    /// Settings of each group.
    pub groups: BTreeMap<GroupId, GroupConfig>,
    /// Client accounts with a limit.
    pub accounts: BTreeMap<AccountId, AccountLimit>,
    /// Client account of each key.
    pub keys: BTreeMap<CallerKey, AccountId>,
    /// Time that a transaction may stay idle; zero means without limit.
    pub transaction_idle_ms: DurationMs,
}
