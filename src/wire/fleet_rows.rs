//! JSON rows in the platform's store through which hosts find each other and claim groups.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::core::proxy::failover::Claim;
use crate::core::proxy::follow::HostRow;
use crate::types::{AttemptId, EndpointId, HostId, IdError, Incarnation, MilliCores, Term};

/// Why bytes cannot be read as a row.
pub type RowReadError = String;

/// A host's row: its address for peers, the run of its process and its processor capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHostRow {
    /// Address on which the host accepts connections of peers.
    pub address: SocketAddr,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Processor capacity of the host; 0 if absent.
    #[serde(default)]
    pub processor: MilliCores,
}

impl WireHostRow {
    /// Encodes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an address and numbers can be encoded as JSON")
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// What is wrong with the bytes.
    pub fn read(bytes: &[u8]) -> Result<Self, RowReadError> {
        serde_json::from_slice(bytes).map_err(|error| error.to_string())
    }
}

impl From<HostRow> for WireHostRow {
    fn from(row: HostRow) -> Self {
        let HostRow { address, incarnation, processor } = row;
        Self { address, incarnation, processor }
    }
}

impl From<WireHostRow> for HostRow {
    fn from(wire: WireHostRow) -> Self {
        let WireHostRow { address, incarnation, processor } = wire;
        Self { address, incarnation, processor }
    }
}

/// A group's row: which host has claimed it, and its leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireClaim {
    holder: CompactString,
    attempt: u64,
    leader: Option<CompactString>,
    #[serde(default)]
    chosen: Option<CompactString>,
    term: u64,
}

impl WireClaim {
    /// Encodes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers can be encoded as JSON")
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// What is wrong with the bytes.
    pub fn read(bytes: &[u8]) -> Result<Claim, RowReadError> {
        let wire: Self = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        wire.try_into().map_err(|error: IdError| error.to_string())
    }
}

impl From<&Claim> for WireClaim {
    fn from(claim: &Claim) -> Self {
        Self {
            holder: claim.holder.as_str().into(),
            attempt: claim.attempt.0,
            leader: claim.leader.as_ref().map(|leader| leader.as_str().into()),
            chosen: claim.chosen.as_ref().map(|chosen| chosen.as_str().into()),
            term: claim.term.0,
        }
    }
}

impl TryFrom<WireClaim> for Claim {
    type Error = IdError;

    fn try_from(wire: WireClaim) -> Result<Self, IdError> {
        Ok(Self {
            holder: HostId::from_external(&wire.holder)?,
            attempt: AttemptId(wire.attempt),
            leader: wire.leader.map(|leader| EndpointId::from_external(&leader)).transpose()?,
            chosen: wire.chosen.map(|chosen| EndpointId::from_external(&chosen)).transpose()?,
            term: Term(wire.term),
        })
    }
}
