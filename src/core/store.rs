//! Calls to the platform and their answers, as plain data: versioned rows, transactions, objects
//! and the host list.
//!
//! The type parameter `V` is the value of a row: JSON as exchanged with the platform, or one of the
//! structs of [`super::rows`] after decoding.

use std::net::SocketAddr;

use compact_str::CompactString;
use displaydoc::Display;

use crate::types::{CommitSeq, FailureDomain, ObjectName, RowKey, RowVersion, TableName};

/// One row of the table service.
#[derive(Debug, Clone, PartialEq)]
pub struct Row<V> {
    /// Key within its table.
    pub key: RowKey,
    /// Value of the row.
    pub value: V,
    /// Commit that wrote the row.
    pub version: RowVersion,
}

/// Result of one read: rows as of a single commit.
#[derive(Debug, Clone, PartialEq)]
pub struct Rows<V> {
    /// Commit at which the rows were read.
    pub commit_seq: CommitSeq,
    /// Rows in the order of their keys.
    pub rows: Vec<Row<V>>,
}

/// Condition of a transaction: the row has this version. Version 0 means that the row is absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Table of the row.
    pub table: TableName,
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have.
    pub version: RowVersion,
}

/// Change of one row.
#[derive(Debug, Clone, PartialEq)]
pub struct Write<V> {
    /// Table of the row.
    pub table: TableName,
    /// Key of the row.
    pub key: RowKey,
    /// New value; `None` deletes the row.
    pub value: Option<V>,
}

/// Writes that take effect together if every check holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction<V> {
    /// Conditions that must all hold.
    pub checks: Vec<Check>,
    /// Changes, at most one per row.
    pub writes: Vec<Write<V>>,
}

impl<V> Transaction<V> {
    /// Creates a transaction that replaces one row if it still has version `expected`.
    pub fn swap(table: TableName, key: RowKey, expected: RowVersion, value: Option<V>) -> Self {
        let check = Check { table: table.clone(), key: key.clone(), version: expected };
        Self { checks: vec![check], writes: vec![Write { table, key, value }] }
    }
}

/// Answer to a transaction that reached the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// All checks held and the writes took effect in this commit.
    Committed(CommitSeq),
    /// Nothing was written. Lists the rows whose check failed, with their current versions.
    Conflicts(Vec<Check>),
}

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// The load balancer sends it new connections.
    Live,
    /// The load balancer sends it no new connections.
    Leaving,
}

/// One host in the platform's host list, which may lag behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Address of the host.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// State according to the platform.
    pub state: ListedState,
}

/// Call to the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum Call<V> {
    /// Reads the rows of a table whose keys start with `prefix`, or all rows if there is no prefix.
    Read {
        /// Table to read.
        table: TableName,
        /// Prefix of the keys; `None` reads all rows.
        prefix: Option<RowKey>,
    },
    /// Checks versions and writes rows atomically.
    Transact(Transaction<V>),
    /// Stores a whole object.
    PutObject {
        /// Name of the object.
        name: ObjectName,
        /// Content of the object.
        content: Vec<u8>,
    },
    /// Fetches a whole object.
    GetObject {
        /// Name of the object.
        name: ObjectName,
    },
    /// Lists the names of objects that start with `prefix`, or all names if there is no prefix.
    ListObjects {
        /// Prefix of the names; `None` lists all names.
        prefix: Option<ObjectName>,
    },
    /// Reads the host list.
    ListHosts,
}

/// Answer of the platform to a [`Call`].
#[derive(Debug, Clone, PartialEq)]
pub enum Answer<V> {
    /// Answer to [`Call::Read`].
    Rows(Rows<V>),
    /// Answer to [`Call::Transact`].
    Commit(Commit),
    /// Answer to [`Call::PutObject`].
    Stored,
    /// Answer to [`Call::GetObject`]; `None` if there is no such object.
    Object(Option<Vec<u8>>),
    /// Answer to [`Call::ListObjects`].
    Names(Vec<ObjectName>),
    /// Answer to [`Call::ListHosts`].
    Hosts(Vec<ListedHost>),
}

/// Reason why a call to the platform returned no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallError {
    /// call was not sent: {0}
    NotSent(CompactString),
    /// no answer, the call may have taken effect: {0}
    NoAnswer(CompactString),
    /// platform refused the call with HTTP status {status}: {detail}
    Refused {
        /// HTTP status, 4xx.
        status: u16,
        /// Body of the answer.
        detail: CompactString,
    },
    /// answer is malformed, the call may have taken effect: {0}
    Malformed(CompactString),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether the call is known to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, CallError::NotSent(_) | CallError::Refused { .. })
    }

    /// Whether the platform received the call and refused it.
    pub fn reached(&self) -> bool {
        matches!(self, CallError::Refused { .. })
    }
}
