//! Validation of the pools table.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use compact_str::format_compact;

use super::check::{Faults, RowCheck};
use super::{EndpointState, Pool, PoolEndpoint, PoolRow, TableName};
use crate::types::{EndpointId, FailureDomain, GroupId, PoolName};

/// Largest number of slots or connections of an endpoint, far above the number of connections that
/// PostgreSQL servers are configured for.
const MAX_CONNECTIONS: u64 = 100_000;

/// Smallest group that keeps a majority when one of its endpoints fails.
const MIN_GROUP: usize = 3;

/// Checks every row and the relations between rows. Returns `None` if a row cannot be parsed.
pub(super) fn check_pools(rows: &[PoolRow], faults: &mut Faults) -> Option<Vec<Pool>> {
    let read: Vec<Option<Pool>> = rows
        .iter()
        .enumerate()
        .map(|(i, row)| check_row(row, &mut start(faults, i, row)))
        .collect();
    let mut earlier = Earlier::default();
    for (index, row) in rows.iter().enumerate() {
        earlier.compare(row, &mut start(faults, index, row));
    }
    check_active(rows, faults);
    check_groups(rows, faults);
    let read: Option<Vec<Pool>> = read.into_iter().collect();
    Some(join(read?))
}

fn start<'a>(faults: &'a mut Faults, index: usize, row: &PoolRow) -> RowCheck<'a> {
    faults.row(TableName::Pools, index, &format_compact!("{}/{}", row.pool, row.endpoint))
}

/// Parses one row into a pool with one endpoint.
fn check_row(row: &PoolRow, check: &mut RowCheck<'_>) -> Option<Pool> {
    let name: Option<PoolName> = check.id("pool", &row.pool);
    let group: Option<GroupId> = check.id("group", &row.group);
    let endpoint: Option<EndpointId> = check.id("endpoint", &row.endpoint);
    let address = check_address(row, check);
    let failure_domain: Option<FailureDomain> = check.id("failure_domain", &row.failure_domain);
    check.range("slots", row.slots.0, 1..=MAX_CONNECTIONS);
    check.range("connections", row.connections.0, 1..=MAX_CONNECTIONS);
    if row.connections.0 > 0 && row.connections.0 < row.slots.0 {
        let allowed = format_compact!("at least the slots, {}", row.slots);
        check.error("connections", row.connections, allowed);
    }
    let state: Option<EndpointState> = check.read("state", &row.state, "active or leaving");
    let endpoint = PoolEndpoint {
        endpoint: endpoint?,
        address: address?,
        failure_domain: failure_domain?,
        slots: row.slots,
        connections: row.connections,
        state: state?,
    };
    Some(Pool { name: name?, group: group?, endpoints: vec![endpoint] })
}

fn check_address(row: &PoolRow, check: &mut RowCheck<'_>) -> Option<SocketAddr> {
    const ALLOWED: &str = "IP:port such as 10.0.0.1:5432 or [fd00::1]:5432, not a host name";
    let address: SocketAddr = check.read("address", &row.address, ALLOWED)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        check.error("address", address, ALLOWED);
    }
    Some(address)
}

/// Index of the rows checked so far: the first row of each pool, endpoint and address, and the
/// pairs of pool and endpoint. With the index, the check of n rows takes O(n log n) steps.
#[derive(Debug, Default)]
struct Earlier<'a> {
    pools: BTreeMap<&'a str, &'a PoolRow>,
    endpoints: BTreeMap<&'a str, &'a PoolRow>,
    pairs: BTreeSet<(&'a str, &'a str)>,
    addresses: BTreeMap<SocketAddr, &'a PoolRow>,
}

impl<'a> Earlier<'a> {
    /// Compares a row with the rows before it and adds it to the index.
    fn compare(&mut self, row: &'a PoolRow, check: &mut RowCheck<'_>) {
        let pool = *self.pools.entry(&row.pool).or_insert(row);
        if pool.group != row.group {
            let allowed = format_compact!("{}, the pool's other group", pool.group);
            check.error("group", &row.group, allowed);
        }
        if !self.pairs.insert((&row.pool, &row.endpoint)) {
            check.error("endpoint", &row.endpoint, "one row for each pool and endpoint");
        }
        let endpoint = *self.endpoints.entry(&row.endpoint).or_insert(row);
        check_same_endpoint(endpoint, row, check);
        let Ok(address) = row.address.parse() else { return };
        let holder = *self.addresses.entry(address).or_insert(row);
        if holder.endpoint != row.endpoint {
            let allowed = format_compact!("an address not used by endpoint {}", holder.endpoint);
            check.error("address", &row.address, allowed);
        }
    }
}

/// Checks that an endpoint listed in several pools has one group, address, failure domain and
/// state, because it is one PostgreSQL server.
fn check_same_endpoint(other: &PoolRow, row: &PoolRow, check: &mut RowCheck<'_>) {
    let columns = [
        ("group", &row.group, &other.group),
        ("address", &row.address, &other.address),
        ("failure_domain", &row.failure_domain, &other.failure_domain),
        ("state", &row.state, &other.state),
    ];
    for (column, value, expected) in columns {
        // `compare` has already reported rows of one pool with different groups.
        let reported = column == "group" && row.pool == other.pool;
        if value != expected && !reported {
            let allowed = format_compact!("{expected}, as in pool {}", other.pool);
            check.error(column, value, allowed);
        }
    }
}

/// Checks that each pool has an active endpoint.
fn check_active(rows: &[PoolRow], faults: &mut Faults) {
    // An invalid state counts as active here, because it has a fault of its own.
    let active = rows.iter().filter(|row| row.state != "leaving");
    let mut served: BTreeSet<&str> = active.map(|row| row.pool.as_str()).collect();
    for (index, row) in rows.iter().enumerate() {
        if served.insert(&row.pool) {
            let allowed = "at least one active endpoint in each pool";
            start(faults, index, row).error("state", &row.state, allowed);
        }
    }
}

/// Warns about small groups and groups with an even number of endpoints. A majority of the group
/// acknowledges each write, so the last endpoint of an even number costs resources but doesn't
/// raise the number of failures that the group tolerates.
fn check_groups(rows: &[PoolRow], faults: &mut Faults) {
    let mut groups: BTreeMap<&str, (usize, BTreeSet<&str>)> = BTreeMap::new();
    for (index, row) in rows.iter().enumerate() {
        let group = groups.entry(&row.group).or_insert((index, BTreeSet::new()));
        group.1.insert(&row.endpoint);
    }
    for (group, (index, endpoints)) in groups {
        let count = endpoints.len();
        if count < MIN_GROUP || count % 2 == 0 {
            let seen = format_compact!("{group} with {count} endpoints");
            let allowed = "a group of 3, 5 or another odd number of endpoints";
            start(faults, index, &rows[index]).warning("group", seen, allowed);
        }
    }
}

/// Merges the pools of single rows into one pool per name.
fn join(read: Vec<Pool>) -> Vec<Pool> {
    let mut pools: BTreeMap<PoolName, Pool> = BTreeMap::new();
    for mut pool in read {
        match pools.get_mut(&pool.name) {
            Some(present) => present.endpoints.append(&mut pool.endpoints),
            None => drop(pools.insert(pool.name.clone(), pool)),
        }
    }
    pools.into_values().collect()
}
