//! The routes and pools tables: rows, the check of the whole table, comparison and look-up.
//!
//! [`Tables`] holds the rows as an operator wrote them, with text in every column that can be
//! wrong, so that [`Tables::check`] reports every fault at once. [`CheckedTables`] is the only
//! form that a host acts on; it holds newtypes.

mod check;
mod check_pools;
mod check_routes;
mod diff;
mod fault;
mod lookup;
mod row;

pub use diff::{diff, Change, ChangeKind};
pub use fault::{Severity, TableFault, TableName};
pub use lookup::{Account, CheckedTables, Key, Pool, PoolEndpoint, Route};
pub use row::{
    EndpointState, EndpointStateError, Freshness, FreshnessError, KeyRow, PoolRow, RouteRow, Tables,
};
