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
const MIN_GROUP_ENDPOINTS: usize = 3;

/// Checks every row and the relations between rows. Returns `None` if a row cannot be parsed.
pub(super) fn check_pools(rows: &[PoolRow], faults: &mut Faults) -> Option<Vec<Pool>> {
    let parsed: Vec<Option<Pool>> = rows
        .iter()
        .enumerate()
        .map(|(i, row)| check_row(row, &mut begin_pool_row(faults, i, row)))
        .collect();
    let mut checked_rows = CheckedRows::default();
    for (index, row) in rows.iter().enumerate() {
        checked_rows.compare_and_add(row, &mut begin_pool_row(faults, index, row));
    }
    check_active_endpoints(rows, faults);
    check_group_sizes(rows, faults);
    let parsed: Option<Vec<Pool>> = parsed.into_iter().collect();
    Some(merge_pools(parsed?))
}

fn begin_pool_row<'a>(faults: &'a mut Faults, index: usize, row: &PoolRow) -> RowCheck<'a> {
    faults.begin_row(TableName::Pools, index, &format_compact!("{}/{}", row.pool, row.endpoint))
}

/// Parses one row into a pool with one endpoint.
fn check_row(row: &PoolRow, check: &mut RowCheck<'_>) -> Option<Pool> {
    let name: Option<PoolName> = check.parse_id("pool", &row.pool);
    let group: Option<GroupId> = check.parse_id("group", &row.group);
    let endpoint: Option<EndpointId> = check.parse_id("endpoint", &row.endpoint);
    let address = check_address(row, check);
    let failure_domain: Option<FailureDomain> =
        check.parse_id("failure_domain", &row.failure_domain);
    check.check_range("slots", row.slots.0, 1..=MAX_CONNECTIONS);
    check.check_range("connections", row.connections.0, 1..=MAX_CONNECTIONS);
    if row.connections.0 > 0 && row.connections.0 < row.slots.0 {
        let allowed = format_compact!("at least the slots, {}", row.slots);
        check.error("connections", row.connections, allowed);
    }
    let state: Option<EndpointState> = check.parse("state", &row.state, "active or leaving");
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
    let address: SocketAddr = check.parse("address", &row.address, ALLOWED)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        check.error("address", address, ALLOWED);
    }
    Some(address)
}

/// Index of the rows checked so far: the first row of each pool, endpoint and address, and the
/// pairs of pool and endpoint. With the index, the check of n rows takes O(n log n) steps.
#[derive(Debug, Default)]
struct CheckedRows<'a> {
    pools: BTreeMap<&'a str, &'a PoolRow>,
    endpoints: BTreeMap<&'a str, &'a PoolRow>,
    pairs: BTreeSet<(&'a str, &'a str)>,
    addresses: BTreeMap<SocketAddr, &'a PoolRow>,
}

impl<'a> CheckedRows<'a> {
    /// Compares a row with the rows before it and adds it to the index.
    fn compare_and_add(&mut self, row: &'a PoolRow, check: &mut RowCheck<'_>) {
        let first_of_pool = *self.pools.entry(&row.pool).or_insert(row);
        if first_of_pool.group != row.group {
            let allowed = format_compact!("{}, the pool's other group", first_of_pool.group);
            check.error("group", &row.group, allowed);
        }
        if !self.pairs.insert((&row.pool, &row.endpoint)) {
            check.error("endpoint", &row.endpoint, "one row for each pool and endpoint");
        }
        let first_of_endpoint = *self.endpoints.entry(&row.endpoint).or_insert(row);
        check_same_endpoint(first_of_endpoint, row, check);
        let Ok(address) = row.address.parse() else { return };
        let first_with_address = *self.addresses.entry(address).or_insert(row);
        if first_with_address.endpoint != row.endpoint {
            let allowed =
                format_compact!("an address not used by endpoint {}", first_with_address.endpoint);
            check.error("address", &row.address, allowed);
        }
    }
}

/// Checks that an endpoint listed in several pools has one group, address, failure domain and
/// state, because it is one PostgreSQL server.
fn check_same_endpoint(first: &PoolRow, row: &PoolRow, check: &mut RowCheck<'_>) {
    let columns = [
        ("group", &row.group, &first.group),
        ("address", &row.address, &first.address),
        ("failure_domain", &row.failure_domain, &first.failure_domain),
        ("state", &row.state, &first.state),
    ];
    for (column, value, expected) in columns {
        // `compare_and_add` has already reported rows of one pool with different groups.
        let reported = column == "group" && row.pool == first.pool;
        if value != expected && !reported {
            let allowed = format_compact!("{expected}, as in pool {}", first.pool);
            check.error(column, value, allowed);
        }
    }
}

/// Checks that each pool has an active endpoint.
fn check_active_endpoints(rows: &[PoolRow], faults: &mut Faults) {
    // An invalid state counts as active here, because it has a fault of its own.
    let active = rows.iter().filter(|row| row.state != "leaving");
    let mut active_pools: BTreeSet<&str> = active.map(|row| row.pool.as_str()).collect();
    for (index, row) in rows.iter().enumerate() {
        if active_pools.insert(&row.pool) {
            let allowed = "at least one active endpoint in each pool";
            begin_pool_row(faults, index, row).error("state", &row.state, allowed);
        }
    }
}

/// Warns about small groups and groups with an even number of endpoints. A majority of the group
/// acknowledges each write, so the last endpoint of an even number costs resources but doesn't
/// raise the number of failures that the group tolerates.
fn check_group_sizes(rows: &[PoolRow], faults: &mut Faults) {
    let mut groups: BTreeMap<&str, (usize, BTreeSet<&str>)> = BTreeMap::new();
    for (index, row) in rows.iter().enumerate() {
        let group = groups.entry(&row.group).or_insert((index, BTreeSet::new()));
        group.1.insert(&row.endpoint);
    }
    for (group, (index, endpoints)) in groups {
        let count = endpoints.len();
        if count < MIN_GROUP_ENDPOINTS || count % 2 == 0 {
            let seen = format_compact!("{group} with {count} endpoints");
            let allowed = "a group of 3, 5 or another odd number of endpoints";
            begin_pool_row(faults, index, &rows[index]).warning("group", seen, allowed);
        }
    }
}

/// Merges the pools of single rows into one pool per name.
fn merge_pools(single_row_pools: Vec<Pool>) -> Vec<Pool> {
    let mut pools: BTreeMap<PoolName, Pool> = BTreeMap::new();
    for mut pool in single_row_pools {
        match pools.get_mut(&pool.name) {
            Some(merged) => merged.endpoints.append(&mut pool.endpoints),
            None => drop(pools.insert(pool.name.clone(), pool)),
        }
    }
    pools.into_values().collect()
}
