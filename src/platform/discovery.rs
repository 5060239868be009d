//! Decodes the entries with which endpoints register themselves in the store.

use compact_str::CompactString;
use serde::Deserialize;

use super::number::Whole;
use crate::core::proxy::group::EndpointEntry;
use crate::types::{DurationMs, EndpointId, FailureDomain, GroupId, RowVersion};

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
    sequence: Option<Whole>,
    /// Milliseconds for which the endpoint is still slow after its start.
    warmup_remaining_ms: Option<f64>,
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
/// A description of what is wrong with the entry.
pub fn read(id: &str, version: RowVersion, bytes: &[u8]) -> Result<EndpointEntry, String> {
    let json: JsonEntry = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let ip = json.address.ip();
    if json.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(format!("address: {} cannot be connected to", json.address));
    }
    Ok(EndpointEntry {
        endpoint: EndpointId::from_external(id).map_err(|error| format!("id: {error}"))?,
        group: GroupId::from_external(&json.service)
            .map_err(|error| format!("service: {error}"))?,
        address: json.address,
        failure_domain: FailureDomain::from_external(&json.zone)
            .map_err(|error| format!("zone: {error}"))?,
        leaving: json.state == State::Draining,
        claims_primary: json.db_role == DbRole::Primary,
        started_ms: json.born,
        cold_for_ms: DurationMs(json.warmup_remaining_ms.unwrap_or_default().max(0.0) as u64),
        report: json.sequence.map(|sequence| sequence.0),
        version,
    })
}
