//! Tables that passed the check, and look-ups in them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{EndpointState, Freshness, TableFault};
use crate::auth::Verifier;
use crate::types::{
    AccountId, Burst, ConnectionCount, DatabaseName, DurationMs, EndpointId, FailureDomain,
    GroupId, KeyId, PoolName, RatePerS, RouteName, Slots, TableVersion, Weight,
};

/// A checked row of the routes table, without the columns of its account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the row.
    pub name: RouteName,
    /// Database that callers ask for.
    pub database: DatabaseName,
    /// Client account; [`AccountId::OPEN`] on open routes.
    pub account: AccountId,
    /// Pool that serves the route.
    pub pool: PoolName,
    /// Freshness required of reads.
    pub freshness: Freshness,
    /// Longest wait of a request in a queue.
    pub max_wait_ms: DurationMs,
}

/// A key of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Key id; changes with the verifier.
    pub id: KeyId,
    /// SCRAM verifier that a login with the key is checked against.
    pub verifier: Verifier,
}

/// A client account; its settings are the same in all its routes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Keys, which all have the same salt; empty for the open account.
    pub keys: Vec<Key>,
    /// Statements per second over the whole fleet.
    pub rate: RatePerS,
    /// Largest burst of statements over the whole fleet.
    pub burst: Burst,
    /// Weight among the accounts that wait in a queue.
    pub weight: Weight,
}

/// A pool of endpoints of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Name that routes refer to.
    pub name: PoolName,
    /// Database group that all its endpoints belong to.
    pub group: GroupId,
    /// Endpoints in the order of their rows, at least one of them active.
    pub endpoints: Vec<PoolEndpoint>,
}

/// An endpoint in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolEndpoint {
    /// Endpoint id.
    pub endpoint: EndpointId,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Largest number of statements that the endpoint runs concurrently.
    pub slots: Slots,
    /// Largest number of connections from the whole fleet.
    pub connections: ConnectionCount,
    /// Whether the endpoint takes new work.
    pub state: EndpointState,
}

/// Tables that passed the check, indexed for look-ups by request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedTables {
    version: TableVersion,
    routes: BTreeMap<DatabaseName, BTreeMap<AccountId, Route>>,
    accounts: BTreeMap<AccountId, Account>,
    pools: BTreeMap<PoolName, Pool>,
    groups: BTreeMap<GroupId, BTreeMap<EndpointId, PoolEndpoint>>,
    leaving: BTreeSet<EndpointId>,
    warnings: Vec<TableFault>,
}

impl CheckedTables {
    /// Builds the indexes over the parsed rows.
    pub(super) fn build(
        version: TableVersion,
        rows: Vec<(Route, Account)>,
        pools: Vec<Pool>,
        warnings: Vec<TableFault>,
    ) -> Self {
        let mut routes: BTreeMap<DatabaseName, BTreeMap<AccountId, Route>> = BTreeMap::new();
        let mut accounts = BTreeMap::new();
        for (route, account) in rows {
            accounts.insert(route.account.clone(), account);
            let by_account = routes.entry(route.database.clone()).or_default();
            by_account.insert(route.account.clone(), route);
        }
        let mut groups: BTreeMap<GroupId, BTreeMap<EndpointId, PoolEndpoint>> = BTreeMap::new();
        for pool in &pools {
            let members = groups.entry(pool.group.clone()).or_default();
            let endpoints = pool.endpoints.iter();
            members.extend(endpoints.map(|member| (member.endpoint.clone(), member.clone())));
        }
        let members = groups.values().flat_map(BTreeMap::values);
        let leaving = members.filter(|member| member.state == EndpointState::Leaving);
        let leaving = leaving.map(|member| member.endpoint.clone()).collect();
        let pools = pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect();
        Self { version, routes, accounts, pools, groups, leaving, warnings }
    }

    /// Version of the tables.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The route of `account` to `database`, else the open route to `database`.
    pub fn route(&self, database: &DatabaseName, account: &AccountId) -> Option<&Route> {
        let by_account = self.routes.get(database)?;
        by_account.get(account).or_else(|| by_account.get(&AccountId::OPEN))
    }

    /// Every route, ordered by database, then account.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flat_map(BTreeMap::values)
    }

    /// The pool called `name`.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Every pool by name.
    pub fn pools(&self) -> &BTreeMap<PoolName, Pool> {
        &self.pools
    }

    /// Every client account, including the open account if there is an open route.
    pub fn accounts(&self) -> &BTreeMap<AccountId, Account> {
        &self.accounts
    }

    /// Every group with its endpoints. An endpoint in several pools has the slots and connections
    /// of the last of these pools by name.
    pub fn groups(&self) -> &BTreeMap<GroupId, BTreeMap<EndpointId, PoolEndpoint>> {
        &self.groups
    }

    /// Endpoints that take no new work.
    pub fn leaving(&self) -> &BTreeSet<EndpointId> {
        &self.leaving
    }

    /// Whether `key` is a key of `account`.
    pub fn has_key(&self, account: &AccountId, key: &KeyId) -> bool {
        let keys = self.accounts.get(account).map(|account| &account.keys);
        keys.is_some_and(|keys| keys.iter().any(|candidate| candidate.id == *key))
    }

    /// The warnings of the check.
    pub fn warnings(&self) -> &[TableFault] {
        &self.warnings
    }
}
