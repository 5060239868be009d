//! Messages between hosts, independent of their encoding.

use bytes::Bytes;
use derive_more::Display;

use super::limit::{TokenRequest, Transfer};
use super::promotion::GroupRecord;
use super::proxy::evacuation::EvacuationOrder;
use super::proxy::follow::{HostRow, TablesRead};
use super::proxy::lease::{ClaimRows, Knowledge};
use super::proxy::quota::Demand;
use super::view::{Snapshot, Statement};
use crate::auth::PeerProof;
use crate::types::{
    DurationMs, FailureDomain, GroupId, HostId, Incarnation, RowVersion, TableVersion,
};

/// Number of a message, unique within one incarnation of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct MessageNumber(pub u64);

/// Identity that a host claims in its first message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{host}#{incarnation} in {failure_domain}")]
pub struct Hello {
    /// Host id.
    pub host: HostId,
    /// Incarnation of the host process.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
}

/// Tables and member list that a peer holds.
#[derive(Debug, Clone)]
pub struct PeerTables {
    /// The peer's snapshot.
    pub snapshot: Snapshot,
    /// Text of the row `config/current` from which the tables were read.
    pub text: String,
    /// Time since the peer's version was last proven current; `None` without such a proof.
    pub age: Option<DurationMs>,
}

/// Content of a message.
#[derive(Debug, Clone)]
pub enum PeerMessage {
    /// First message from each side, with the proof that the sender knows the fleet's secret.
    Hello(Hello, PeerProof),
    /// Requests a [`PeerMessage::Statement`].
    StatementRequest,
    /// Answer: the version that the sender holds, and the age of the proof that it was current.
    Statement(Statement),
    /// Requests [`PeerMessage::Tables`].
    TablesRequest,
    /// Answer: the sender's snapshot.
    Tables(Box<PeerTables>),
    /// Notification that the sender has adopted this version of the tables.
    Announce(TableVersion),
    /// Requests rate-limit tokens.
    TokensRequest(TokenRequest),
    /// Answer: tokens that the sender gives away.
    TokensGrant(Transfer),
    /// Group records that the sender has newly learned.
    Records(Vec<(GroupId, GroupRecord)>),
    /// Operations per second that the sender's callers request, and the sender's version of the
    /// operator's configuration.
    Demand(Demand, Option<TableVersion>),
    /// Requests [`PeerMessage::Configuration`].
    ConfigurationRequest,
    /// Answer: the operator's configuration as read by the sender, unparsed.
    Configuration(Bytes),
    /// What the sender knows about the claims of failovers.
    Knowledge(Knowledge),
    /// Requests [`PeerMessage::Claims`] above a version.
    ClaimsRequest(RowVersion),
    /// Rows of groups: an answer, or a claim of the sender.
    Claims(ClaimRows),
    /// The sender knows this version of a group's row and uses no primary of the group.
    ClaimConfirmed(GroupId, RowVersion),
    /// The sender reads the store's tables.
    TablesRead(TablesRead),
    /// Requests [`PeerMessage::HostRows`] above a version.
    HostRowsRequest(RowVersion),
    /// Answer: rows of hosts that are newer than the requested version.
    HostRows(Vec<(HostId, RowVersion, HostRow)>),
    /// The operator's orders to evacuate failure domains that the sender knows of.
    Evacuations(Vec<EvacuationOrder>),
}

/// A message with its number and, in an answer, the number of the request.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Number of this message.
    pub number: MessageNumber,
    /// Number of the request that this message answers.
    pub answers: Option<MessageNumber>,
    /// Content of the message.
    pub message: PeerMessage,
}
