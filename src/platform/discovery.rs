//! Decodes the entries with which endpoints register themselves in the store.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::Deserialize;

use super::store::StoreRow;
use crate::core::proxy::group::EndpointEntry;
use crate::types::RowVersion;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonEntry {
    service: CompactString,
    address: std::net::SocketAddr,
    zone: CompactString,
    state: State,
    db_role: DbRole,
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum DbRole {
    Primary,
    Replica,
}

/// Decodes the entry of the endpoint `id`.
///
/// # Errors
///
/// A description of what is wrong with the entry, which then names no endpoint.
pub fn read(id: &str, version: RowVersion, bytes: &[u8]) -> Result<EndpointEntry, String> {
    let json: JsonEntry = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let ip = json.address.ip();
    if json.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(format!("address: {} cannot be connected to", json.address));
    }
    Ok(EndpointEntry {
        endpoint: id.parse().map_err(|error| format!("id: {error}"))?,
        group: json.service.parse().map_err(|error| format!("service: {error}"))?,
        address: json.address,
        failure_domain: json.zone.parse().map_err(|error| format!("zone: {error}"))?,
        leaving: json.state == State::Draining,
        claims_primary: json.db_role == DbRole::Primary,
        started_ms: json.born,
        version,
    })
}

/// The endpoints that the rows of the table name.
#[derive(Debug, Default)]
pub struct EntryTable {
    entries: BTreeMap<CompactString, EndpointEntry>,
}

impl EntryTable {
    /// Applies all rows of the table if `is_complete`, otherwise its changed rows. A row that cannot
    /// be read names no endpoint, and the endpoint that it named before is gone.
    pub fn apply(&mut self, is_complete: bool, rows: &[StoreRow]) {
        if is_complete {
            self.entries.clear();
        }
        for row in rows {
            let entry = row.value.as_ref().map(|value| read(&row.key, row.version, value));
            match entry {
                Some(Ok(entry)) => {
                    self.entries.insert(row.key.clone(), entry);
                    continue;
                }
                Some(Err(detail)) => {
                    tracing::warn!(key = row.key.as_str(), detail, "discovery: entry is ignored");
                }
                None => {}
            }
            self.entries.remove(&row.key);
        }
    }

    /// All endpoints.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }
}
