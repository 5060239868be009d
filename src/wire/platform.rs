//! JSON bodies of the platform's HTTP interface.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::core::store::{Check, ListedHost, ListedState, Row, Rows, Transaction, Write};
use crate::types::{CommitSeq, FailureDomain, IdError, ObjectName, RowKey, RowVersion, TableName};

/// Request header with the id of the calling host or tool.
pub const CLIENT_HEADER: &str = "x-client";

/// A row in [`RowsBody`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowBody {
    /// Key within the table.
    pub key: RowKey,
    /// Content of the row.
    pub value: Value,
    /// Version of the row.
    pub version: RowVersion,
}

/// Answer to `GET /v1/rows`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowsBody {
    /// Commit at which the rows were read.
    pub commit_seq: CommitSeq,
    /// Rows in the order of their keys.
    pub rows: Vec<RowBody>,
}

/// A check in [`TransactionBody`], a conflict in [`ConflictsBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckBody {
    /// Table of the row.
    pub table: TableName,
    /// Key of the row.
    pub key: RowKey,
    /// Version of the row; 0 if the row is absent.
    pub version: RowVersion,
}

/// A write in [`TransactionBody`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteBody {
    /// Table of the row.
    pub table: TableName,
    /// Key of the row.
    pub key: RowKey,
    /// New value; null deletes the row.
    pub value: Value,
}

/// Body of `POST /v1/transaction`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactionBody {
    /// Row versions that must be current for the transaction to commit.
    pub checks: Vec<CheckBody>,
    /// Rows to write.
    pub writes: Vec<WriteBody>,
}

/// Answer to a committed transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedBody {
    /// Commit of the transaction.
    pub commit_seq: CommitSeq,
}

/// Answer, with status 409, to a transaction with a failed check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictsBody {
    /// Rows whose check failed, with their current versions.
    pub conflicts: Vec<CheckBody>,
}

/// Answer to `GET /v1/objects`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamesBody {
    /// Names in ascending order.
    pub names: Vec<ObjectName>,
}

/// A host in [`HostsBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHostBody {
    /// Address of the host, `IP:PORT`.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// State of the host.
    pub state: ListedStateBody,
}

/// State in [`ListedHostBody`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStateBody {
    /// `live`
    Live,
    /// `leaving`
    Leaving,
}

/// Answer to `GET /v1/hosts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsBody {
    /// Hosts in the order of their ids.
    pub hosts: Vec<ListedHostBody>,
}

/// Body of an answer with status 4xx or 5xx.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultBody {
    /// Why the call was refused or failed.
    pub error: CompactString,
}

impl From<RowsBody> for Rows<Value> {
    fn from(body: RowsBody) -> Self {
        let row = |row: RowBody| Row { key: row.key, value: row.value, version: row.version };
        Self { commit_seq: body.commit_seq, rows: body.rows.into_iter().map(row).collect() }
    }
}

impl From<Rows<Value>> for RowsBody {
    fn from(rows: Rows<Value>) -> Self {
        let row =
            |row: Row<Value>| RowBody { key: row.key, value: row.value, version: row.version };
        Self { commit_seq: rows.commit_seq, rows: rows.rows.into_iter().map(row).collect() }
    }
}

impl From<Check> for CheckBody {
    fn from(check: Check) -> Self {
        Self { table: check.table, key: check.key, version: check.version }
    }
}

impl From<CheckBody> for Check {
    fn from(body: CheckBody) -> Self {
        Self { table: body.table, key: body.key, version: body.version }
    }
}

impl From<Write<Value>> for WriteBody {
    fn from(write: Write<Value>) -> Self {
        Self { table: write.table, key: write.key, value: write.value.unwrap_or(Value::Null) }
    }
}

impl From<WriteBody> for Write<Value> {
    fn from(body: WriteBody) -> Self {
        let value = Some(body.value).filter(|value| !value.is_null());
        Self { table: body.table, key: body.key, value }
    }
}

impl From<Transaction<Value>> for TransactionBody {
    fn from(transaction: Transaction<Value>) -> Self {
        Self {
            checks: transaction.checks.into_iter().map(CheckBody::from).collect(),
            writes: transaction.writes.into_iter().map(WriteBody::from).collect(),
        }
    }
}

impl From<TransactionBody> for Transaction<Value> {
    fn from(body: TransactionBody) -> Self {
        Self {
            checks: body.checks.into_iter().map(Check::from).collect(),
            writes: body.writes.into_iter().map(Write::from).collect(),
        }
    }
}

impl From<ListedHostBody> for ListedHost {
    fn from(body: ListedHostBody) -> Self {
        let state = match body.state {
            ListedStateBody::Live => ListedState::Live,
            ListedStateBody::Leaving => ListedState::Leaving,
        };
        Self { address: body.address, failure_domain: body.failure_domain, state }
    }
}

impl From<ListedHost> for ListedHostBody {
    fn from(host: ListedHost) -> Self {
        let state = match host.state {
            ListedState::Live => ListedStateBody::Live,
            ListedState::Leaving => ListedStateBody::Leaving,
        };
        Self { address: host.address, failure_domain: host.failure_domain, state }
    }
}

/// Paths of the table service and the object store.
pub mod path {
    /// `GET` reads rows.
    pub const ROWS: &str = "/v1/rows";
    /// `POST` commits a transaction.
    pub const TRANSACTION: &str = "/v1/transaction";
    /// `GET` lists names; `GET` and `PUT` of a name below it fetch and store an object.
    pub const OBJECTS: &str = "/v1/objects";
    /// `GET` reads the host list.
    pub const HOSTS: &str = "/v1/hosts";
}

/// Parses an optional prefix of keys or names; an empty text means no restriction.
///
/// # Errors
///
/// The text is not empty and not an identifier.
pub fn parse_prefix<T: std::str::FromStr<Err = IdError>>(text: &str) -> Result<Option<T>, IdError> {
    match text {
        "" => Ok(None),
        text => text.parse().map(Some),
    }
}
