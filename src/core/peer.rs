//! Messages between hosts.

use bytes::Bytes;
use derive_more::Display;

use super::limit::{TokenRequest, Transfer};
use super::promotion::GroupRecord;
use super::proxy::quota::Demand;
use super::view::{Snapshot, Statement};
use crate::auth::PeerProof;
use crate::types::{DurationMs, FailureDomain, GroupId, HostId, Incarnation, TableVersion};

/// Number of a message, unique within one run of its sender; an answer repeats the question's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct MessageNumber(pub u64);

/// Who a host says it is.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{host}#{incarnation} in {failure_domain}")]
pub struct Hello {
    /// Host id.
    pub host: HostId,
    /// Run of the host's process.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
}

/// Tables and member list of a peer.
#[derive(Debug, Clone)]
pub struct PeerTables {
    /// The peer's snapshot.
    pub snapshot: Snapshot,
    /// Text of the row `config/current` that the tables were read from.
    pub text: String,
    /// Time since the peer had the proof that its version was current.
    pub age: Option<DurationMs>,
}

/// Content of a message.
#[derive(Debug, Clone)]
pub enum PeerMessage {
    /// First message of each side, with the proof that it knows the fleet's secret.
    Hello(Hello, PeerProof),
    /// Asks for a [`PeerMessage::Statement`].
    StatementRequest,
    /// Answer: which version the peer holds and how old its proof is.
    Statement(Statement),
    /// Asks for [`PeerMessage::Tables`].
    TablesRequest,
    /// Answer: the peer's snapshot.
    Tables(Box<PeerTables>),
    /// The sender has adopted a version.
    Announce(TableVersion),
    /// Asks for tokens.
    TokensRequest(TokenRequest),
    /// Answer: tokens that the sender no longer has.
    TokensGrant(Transfer),
    /// Group records that are new to the sender.
    Records(Vec<(GroupId, GroupRecord)>),
    /// Operations a second that callers of the sender ask for, and its version of the operator's
    /// configuration.
    Demand(Demand, Option<TableVersion>),
    /// Asks for [`PeerMessage::Configuration`].
    ConfigurationRequest,
    /// Answer: the operator's configuration as the sender read it.
    Configuration(Bytes),
}

/// A message with its number.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Number of this message.
    pub number: MessageNumber,
    /// Number of the question that this message answers.
    pub answers: Option<MessageNumber>,
    /// Content.
    pub message: PeerMessage,
}
