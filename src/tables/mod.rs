//! The routes and pools tables: rows, validation, comparison and look-up.
//!
//! [`Tables`] holds the rows as an operator wrote them. Columns that need parsing are kept as text,
//! so that [`Tables::check`] reports every fault at once instead of only the first.
//! [`CheckedTables`] holds parsed values and is the only form that a host uses.

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
