//! What the platform offers, as values: rows with versions, transactions, calls and answers.
//!
//! `V` is the value of a row. It is JSON on the way to and from the platform and one of the
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

/// The rows of one read, all from one commit.
#[derive(Debug, Clone, PartialEq)]
pub struct Rows<V> {
    /// Commit that the rows were read at.
    pub commit_seq: CommitSeq,
    /// Rows in the order of their keys.
    pub rows: Vec<Row<V>>,
}

/// A condition of a transaction: the row has this version; 0 means that the row is absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Table of the row.
    pub table: TableName,
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have.
    pub version: RowVersion,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq)]
pub struct Write<V> {
    /// Table of the row.
    pub table: TableName,
    /// Key of the row.
    pub key: RowKey,
    /// New value, `None` deletes the row.
    pub value: Option<V>,
}

/// Writes that take effect together if every check holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction<V> {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Changes, at most one of each row.
    pub writes: Vec<Write<V>>,
}

impl<V> Transaction<V> {
    /// Replaces one row if it still has version `expected`.
    pub fn swap(table: TableName, key: RowKey, expected: RowVersion, value: Option<V>) -> Self {
        let check = Check { table: table.clone(), key: key.clone(), version: expected };
        Self { checks: vec![check], writes: vec![Write { table, key, value }] }
    }
}

/// Answer to a transaction that reached the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// Every check held and the writes took effect in this commit.
    Committed(CommitSeq),
    /// Nothing was written; the rows whose check failed, with their present versions.
    Conflicts(Vec<Check>),
}

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// Gets new connections from the load balancer.
    Live,
    /// Gets no new connections.
    Leaving,
}

/// One host in the platform's host list, which lags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Address of the host.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// State as the platform knows it.
    pub state: ListedState,
}

/// A call to the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum Call<V> {
    /// Reads the rows of a table whose keys begin with `prefix`, all rows without a prefix.
    Read {
        /// Table to read.
        table: TableName,
        /// Beginning of the keys.
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
    /// Lists the names of objects that begin with `prefix`, all names without a prefix.
    ListObjects {
        /// Beginning of the names.
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
    /// Answer to [`Call::GetObject`], `None` if there is no such object.
    Object(Option<Vec<u8>>),
    /// Answer to [`Call::ListObjects`].
    Names(Vec<ObjectName>),
    /// Answer to [`Call::ListHosts`].
    Hosts(Vec<ListedHost>),
}

/// Why a call to the platform has no answer.
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
        /// Text of the answer.
        detail: CompactString,
    },
    /// answer is malformed, the call may have taken effect: {0}
    Malformed(CompactString),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, CallError::NotSent(_) | CallError::Refused { .. })
    }

    /// Whether the platform answered, if only to refuse the call.
    pub fn reached(&self) -> bool {
        matches!(self, CallError::Refused { .. })
    }
}
