//! JSON values of the rows `hosts/<id>`, `shares/<n>` and `groups/<group>`.
//!
//! Attempt ids and incarnations are random 64-bit numbers and are written as strings, because many
//! JSON parsers round numbers above 2^53. A missing or malformed field is a [`RowFault`].

use std::str::FromStr;

use compact_str::{format_compact, CompactString};
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::core::promotion::GroupRecord;
use crate::core::rows::HostRow;
use crate::core::share::{Holder, SeenRow, ShareRow, ShareWrite};
use crate::core::store::Row;
use crate::types::{
    AttemptId, CommitSeq, EndpointId, FailureDomain, GroupId, HostId, Renewals, RowKey, RowVersion,
    TableVersion, Term,
};

/// row {key} is malformed: {detail}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct RowFault {
    /// Key of the row.
    pub key: RowKey,
    /// What is wrong with the row.
    pub detail: CompactString,
}

impl std::error::Error for RowFault {}

/// Value of a row `hosts/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostValue {
    incarnation: CompactString,
    address: CompactString,
    failure_domain: FailureDomain,
    state: CompactString,
    confirmed_version: Option<TableVersion>,
    renewals: Renewals,
    registered_seq: Option<CommitSeq>,
    members_seen_seq: Option<CommitSeq>,
    attempt: CompactString,
}

/// Value of a row `shares/<n>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareValue {
    holder: Option<HolderValue>,
    counter: u64,
    attempt: CompactString,
}

/// The process that holds a share slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderValue {
    host: HostId,
    incarnation: CompactString,
    address: CompactString,
}

/// Value of a row `groups/<group>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupValue {
    term: Term,
    primary: Option<EndpointId>,
    start: CompactString,
    attempt: CompactString,
    phase: CompactString,
}

/// Key and JSON value of a row, as it is written to the platform.
pub type JsonRow = (RowKey, Value);

impl From<&HostRow> for JsonRow {
    fn from(row: &HostRow) -> Self {
        let value = HostValue {
            incarnation: format_compact!("{}", row.incarnation),
            address: format_compact!("{}", row.address),
            failure_domain: row.failure_domain.clone(),
            state: format_compact!("{}", row.state),
            confirmed_version: row.confirmed,
            renewals: row.renewals,
            registered_seq: row.registered,
            members_seen_seq: row.members_seen,
            attempt: format_compact!("{}", row.attempt),
        };
        (row_key(row.host.as_str()), to_json(&value))
    }
}

impl From<&ShareWrite> for JsonRow {
    fn from(write: &ShareWrite) -> Self {
        let holder = write.row.holder.as_ref().map(|holder| HolderValue {
            host: holder.host.clone(),
            incarnation: format_compact!("{}", holder.incarnation),
            address: format_compact!("{}", holder.address),
        });
        let attempt = format_compact!("{}", write.row.attempt);
        let value = ShareValue { holder, counter: write.row.counter, attempt };
        (row_key(&write.slot.to_string()), to_json(&value))
    }
}

/// Encodes the row `groups/<group>`.
pub fn group_row(group: &GroupId, record: &GroupRecord) -> JsonRow {
    let value = GroupValue {
        term: record.term,
        primary: record.primary.clone(),
        start: format_compact!("{}", record.start),
        attempt: format_compact!("{}", record.attempt),
        phase: format_compact!("{}", record.phase),
    };
    (row_key(group.as_str()), to_json(&value))
}

impl TryFrom<&Row<Value>> for HostRow {
    type Error = RowFault;

    fn try_from(row: &Row<Value>) -> Result<Self, RowFault> {
        let value: HostValue = from_json(row)?;
        Ok(Self {
            host: parse_field(row, "key", row.key.as_str())?,
            incarnation: parse_field(row, "incarnation", &value.incarnation)?,
            address: parse_field(row, "address", &value.address)?,
            failure_domain: value.failure_domain,
            state: parse_field(row, "state", &value.state)?,
            confirmed: value.confirmed_version,
            renewals: value.renewals,
            registered: value.registered_seq,
            members_seen: value.members_seen_seq,
            attempt: parse_field(row, "attempt", &value.attempt)?,
        })
    }
}

impl TryFrom<&Row<Value>> for SeenRow {
    type Error = RowFault;

    fn try_from(row: &Row<Value>) -> Result<Self, RowFault> {
        let value: ShareValue = from_json(row)?;
        let holder = match &value.holder {
            None => None,
            Some(holder) => Some(Holder {
                host: holder.host.clone(),
                incarnation: parse_field(row, "incarnation", &holder.incarnation)?,
                address: parse_field(row, "address", &holder.address)?,
            }),
        };
        let attempt = parse_field(row, "attempt", &value.attempt)?;
        let content = ShareRow { holder, counter: value.counter, attempt };
        Ok(Self {
            slot: parse_field(row, "key", row.key.as_str())?,
            version: row.version,
            row: content,
        })
    }
}

impl TryFrom<&Row<Value>> for GroupRecord {
    type Error = RowFault;

    fn try_from(row: &Row<Value>) -> Result<Self, RowFault> {
        let value: GroupValue = from_json(row)?;
        Ok(Self {
            term: value.term,
            primary: value.primary,
            start: parse_field(row, "start", &value.start)?,
            attempt: parse_field(row, "attempt", &value.attempt)?,
            phase: parse_field(row, "phase", &value.phase)?,
        })
    }
}

/// The version of a row and the attempt that wrote it; `None` if its value has no valid field
/// `attempt`.
pub fn attempt_of(row: &Row<Value>) -> (RowVersion, Option<AttemptId>) {
    let text = row.value.get("attempt").and_then(Value::as_str);
    (row.version, text.and_then(|text| text.parse().ok()))
}

fn from_json<T: serde::de::DeserializeOwned>(row: &Row<Value>) -> Result<T, RowFault> {
    T::deserialize(&row.value).map_err(|error| row_fault(row, format_compact!("{error}")))
}

fn parse_field<T: FromStr>(row: &Row<Value>, name: &str, text: &str) -> Result<T, RowFault>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| row_fault(row, format_compact!("{name} {text:?}: {error}")))
}

fn row_fault(row: &Row<Value>, detail: CompactString) -> RowFault {
    RowFault { key: row.key.clone(), detail }
}

fn row_key(text: &str) -> RowKey {
    text.parse().expect("host ids, group ids and slot numbers are valid keys")
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("strings and numbers can be encoded as JSON")
}
