//! Messages between hosts, encoded with postcard; `wire::peer_frame` adds the framing.

use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::fleet_rows::WireHostRow;
use super::peer_claims::{WireClaimRows, WireKnowledge};
use super::peer_frame::PeerFault;
use super::tables::read_config;
use crate::auth::PeerProof;
use crate::core::limit::{GrantId, TokenRequest, Transfer};
use crate::core::peer::{Envelope, Hello, MessageNumber, PeerMessage, PeerTables};
use crate::core::promotion::{GroupRecord, Phase};
use crate::core::proxy::evacuation::EvacuationOrder;
use crate::core::proxy::follow::{HostRow, TablesRead};
use crate::core::view::{Member, Snapshot, Statement};
use crate::types::{
    AccountId, AttemptId, CommitSeq, DurationMs, EndpointId, FailureDomain, GroupId, HostId,
    Incarnation, MilliTokens, Position, RowVersion, TableVersion, Term,
};

/// A message with its number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEnvelope {
    number: u64,
    answers: Option<u64>,
    message: WireMessage,
}

/// Content of a message. New variants must be added at the end, because postcard encodes a variant
/// as its index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireMessage {
    /// See [`PeerMessage::Hello`].
    Hello(WireHello),
    /// See [`PeerMessage::StatementRequest`].
    StatementRequest,
    /// See [`PeerMessage::Statement`].
    Statement(WireStatement),
    /// See [`PeerMessage::TablesRequest`].
    TablesRequest,
    /// See [`PeerMessage::Tables`].
    Tables(WirePeerTables),
    /// See [`PeerMessage::Announce`].
    Announce(u64),
    /// See [`PeerMessage::TokensRequest`].
    TokensRequest(WireTokensRequest),
    /// See [`PeerMessage::TokensGrant`].
    TokensGrant(WireTokensGrant),
    /// See [`PeerMessage::Records`].
    Records(Vec<WireRecord>),
    /// See [`PeerMessage::Demand`].
    Demand(Vec<(CompactString, u64)>, Option<u64>),
    /// See [`PeerMessage::ConfigurationRequest`].
    ConfigurationRequest,
    /// See [`PeerMessage::Configuration`].
    Configuration(Vec<u8>),
    /// See [`PeerMessage::Knowledge`].
    Knowledge(WireKnowledge),
    /// See [`PeerMessage::ClaimsRequest`].
    ClaimsRequest(u64),
    /// See [`PeerMessage::Claims`].
    Claims(WireClaimRows),
    /// See [`PeerMessage::ClaimConfirmed`].
    ClaimConfirmed(CompactString, u64),
    /// See [`PeerMessage::TablesRead`]: version and age in milliseconds.
    TablesRead(u64, u64),
    /// See [`PeerMessage::HostRowsRequest`].
    HostRowsRequest(u64),
    /// See [`PeerMessage::HostRows`].
    HostRows(Vec<(CompactString, u64, WireHostRow)>),
    /// See [`PeerMessage::Evacuations`]: failure domain, version and whether it is evacuated.
    Evacuations(Vec<(CompactString, u64, bool)>),
}

/// Identity of a host, with the proof that it knows the fleet's secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHello {
    host: CompactString,
    incarnation: u64,
    failure_domain: CompactString,
    proof: [u8; 32],
}

/// One run of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireMember {
    host: CompactString,
    incarnation: u64,
}

/// Table version that a host holds, and its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireStatement {
    member: WireMember,
    version: Option<u64>,
    age_ms: Option<u64>,
}

/// Tables and member list of a host; the tables are the JSON text of the row `config/current`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePeerTables {
    commit_seq: u64,
    text: String,
    members: Vec<WireMember>,
    age_ms: Option<u64>,
}

/// Identity of a grant of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireGrantId {
    incarnation: u64,
    sequence: u64,
}

/// A request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTokensRequest {
    account: CompactString,
    amount: u64,
    incarnation: u64,
    sequence: u64,
    settled: Vec<WireGrantId>,
}

/// A grant of tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTokensGrant {
    account: CompactString,
    amount: u64,
    grant: WireGrantId,
    to_incarnation: u64,
    request: u64,
    left: u64,
    spare_per_s: u64,
}

/// Phase of a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WirePhase {
    /// See [`Phase::Fencing`].
    Fencing,
    /// See [`Phase::Promoted`].
    Promoted,
}

/// Record of a group's primary and promotion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    group: CompactString,
    term: u64,
    primary: Option<CompactString>,
    start_term: u64,
    start_index: u64,
    attempt: u64,
    phase: WirePhase,
}

impl From<&Envelope> for WireEnvelope {
    fn from(envelope: &Envelope) -> Self {
        Self {
            number: envelope.number.0,
            answers: envelope.answers.map(|number| number.0),
            message: WireMessage::from(&envelope.message),
        }
    }
}

impl TryFrom<WireEnvelope> for Envelope {
    type Error = PeerFault;

    fn try_from(wire: WireEnvelope) -> Result<Self, PeerFault> {
        Ok(Self {
            number: MessageNumber(wire.number),
            answers: wire.answers.map(MessageNumber),
            message: wire.message.try_into()?,
        })
    }
}

impl From<&PeerMessage> for WireMessage {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Hello(hello, proof) => Self::Hello(WireHello::from((hello, proof))),
            PeerMessage::StatementRequest => Self::StatementRequest,
            PeerMessage::Statement(statement) => Self::Statement(statement.into()),
            PeerMessage::TablesRequest => Self::TablesRequest,
            PeerMessage::Tables(tables) => Self::Tables(tables.as_ref().into()),
            PeerMessage::Announce(version) => Self::Announce(version.0),
            PeerMessage::TokensRequest(request) => Self::TokensRequest(request.into()),
            PeerMessage::TokensGrant(transfer) => Self::TokensGrant(transfer.into()),
            PeerMessage::Records(records) => {
                Self::Records(records.iter().map(WireRecord::from).collect())
            }
            PeerMessage::Demand(demand, version) => {
                let entry = |(account, rate): (&AccountId, &MilliTokens)| {
                    (CompactString::from(account.as_str()), rate.0)
                };
                let version = version.map(|version| version.0);
                Self::Demand(demand.iter().map(entry).collect(), version)
            }
            PeerMessage::ConfigurationRequest => Self::ConfigurationRequest,
            PeerMessage::Configuration(text) => Self::Configuration(text.to_vec()),
            PeerMessage::Knowledge(knowledge) => Self::Knowledge(knowledge.into()),
            PeerMessage::ClaimsRequest(after) => Self::ClaimsRequest(after.0),
            PeerMessage::Claims(rows) => Self::Claims(rows.into()),
            PeerMessage::ClaimConfirmed(group, version) => {
                Self::ClaimConfirmed(group.as_str().into(), version.0)
            }
            PeerMessage::TablesRead(read) => Self::TablesRead(read.rows.0, read.age_ms.0),
            PeerMessage::HostRowsRequest(after) => Self::HostRowsRequest(after.0),
            PeerMessage::HostRows(rows) => {
                let row = |(host, version, row): &(HostId, RowVersion, HostRow)| {
                    (CompactString::from(host.as_str()), version.0, row.clone().into())
                };
                Self::HostRows(rows.iter().map(row).collect())
            }
            PeerMessage::Evacuations(orders) => {
                let order = |order: &EvacuationOrder| {
                    (order.failure_domain.as_str().into(), order.version.0, order.is_evacuated)
                };
                Self::Evacuations(orders.iter().map(order).collect())
            }
        }
    }
}

impl TryFrom<WireMessage> for PeerMessage {
    type Error = PeerFault;

    fn try_from(wire: WireMessage) -> Result<Self, PeerFault> {
        Ok(match wire {
            WireMessage::Hello(hello) => {
                let proof = PeerProof(hello.proof);
                Self::Hello(hello.try_into()?, proof)
            }
            WireMessage::StatementRequest => Self::StatementRequest,
            WireMessage::Statement(statement) => Self::Statement(statement.try_into()?),
            WireMessage::TablesRequest => Self::TablesRequest,
            WireMessage::Tables(tables) => Self::Tables(Box::new(tables.try_into()?)),
            WireMessage::Announce(version) => Self::Announce(TableVersion(version)),
            WireMessage::TokensRequest(request) => Self::TokensRequest(request.try_into()?),
            WireMessage::TokensGrant(transfer) => Self::TokensGrant(transfer.try_into()?),
            WireMessage::Records(records) => {
                let records: Result<_, _> = records.into_iter().map(TryInto::try_into).collect();
                Self::Records(records?)
            }
            WireMessage::Demand(demand, version) => {
                let entry = |(account, rate): (CompactString, u64)| {
                    Ok((AccountId::from_external(&account)?, MilliTokens(rate)))
                };
                let demand: Result<_, PeerFault> = demand.into_iter().map(entry).collect();
                Self::Demand(demand?, version.map(TableVersion))
            }
            WireMessage::ConfigurationRequest => Self::ConfigurationRequest,
            WireMessage::Configuration(text) => Self::Configuration(text.into()),
            WireMessage::Knowledge(knowledge) => Self::Knowledge(knowledge.into()),
            WireMessage::ClaimsRequest(after) => Self::ClaimsRequest(RowVersion(after)),
            WireMessage::Claims(rows) => Self::Claims(rows.try_into()?),
            WireMessage::ClaimConfirmed(group, version) => {
                Self::ClaimConfirmed(GroupId::from_external(&group)?, RowVersion(version))
            }
            WireMessage::TablesRead(rows, age_ms) => {
                let (rows, age_ms) = (RowVersion(rows), DurationMs(age_ms));
                Self::TablesRead(TablesRead { rows, age_ms })
            }
            WireMessage::HostRowsRequest(after) => Self::HostRowsRequest(RowVersion(after)),
            WireMessage::HostRows(rows) => {
                let row = |(host, version, row): (CompactString, u64, WireHostRow)| {
                    Ok((HostId::from_external(&host)?, RowVersion(version), row.into()))
                };
                let rows: Result<_, PeerFault> = rows.into_iter().map(row).collect();
                Self::HostRows(rows?)
            }
            WireMessage::Evacuations(orders) => {
                let order = |(domain, version, is_evacuated): (CompactString, u64, bool)| {
                    let failure_domain = FailureDomain::from_external(&domain)?;
                    let version = RowVersion(version);
                    Ok(EvacuationOrder { failure_domain, version, is_evacuated })
                };
                let orders: Result<_, PeerFault> = orders.into_iter().map(order).collect();
                Self::Evacuations(orders?)
            }
        })
    }
}

impl From<(&Hello, &PeerProof)> for WireHello {
    fn from((hello, proof): (&Hello, &PeerProof)) -> Self {
        Self {
            host: hello.host.as_str().into(),
            incarnation: hello.incarnation.0,
            failure_domain: hello.failure_domain.as_str().into(),
            proof: proof.0,
        }
    }
}

impl TryFrom<WireHello> for Hello {
    type Error = PeerFault;

    fn try_from(wire: WireHello) -> Result<Self, PeerFault> {
        Ok(Self {
            host: HostId::from_external(&wire.host)?,
            incarnation: Incarnation(wire.incarnation),
            failure_domain: FailureDomain::from_external(&wire.failure_domain)?,
        })
    }
}

impl From<&Member> for WireMember {
    fn from(member: &Member) -> Self {
        Self { host: member.host.as_str().into(), incarnation: member.incarnation.0 }
    }
}

impl TryFrom<WireMember> for Member {
    type Error = PeerFault;

    fn try_from(wire: WireMember) -> Result<Self, PeerFault> {
        Ok(Self { host: wire.host.parse()?, incarnation: Incarnation(wire.incarnation) })
    }
}

impl From<&Statement> for WireStatement {
    fn from(statement: &Statement) -> Self {
        Self {
            member: (&statement.member).into(),
            version: statement.version.map(|version| version.0),
            age_ms: statement.age.map(|age| age.0),
        }
    }
}

impl TryFrom<WireStatement> for Statement {
    type Error = PeerFault;

    fn try_from(wire: WireStatement) -> Result<Self, PeerFault> {
        Ok(Self {
            member: wire.member.try_into()?,
            version: wire.version.map(TableVersion),
            age: wire.age_ms.map(DurationMs),
        })
    }
}

impl From<&PeerTables> for WirePeerTables {
    fn from(tables: &PeerTables) -> Self {
        Self {
            commit_seq: tables.snapshot.commit_seq.0,
            text: tables.text.clone(),
            members: tables.snapshot.members.iter().map(WireMember::from).collect(),
            age_ms: tables.age.map(|age| age.0),
        }
    }
}

impl TryFrom<WirePeerTables> for PeerTables {
    type Error = PeerFault;

    fn try_from(wire: WirePeerTables) -> Result<Self, PeerFault> {
        let unreadable = |detail: String| PeerFault::Tables(detail.into());
        let config = read_config(&wire.text).map_err(|error| unreadable(error.to_string()))?;
        let tables = config.tables.check().map_err(|faults| {
            unreadable(faults.first().map(ToString::to_string).unwrap_or_default())
        })?;
        let members: Result<BTreeSet<Member>, PeerFault> =
            wire.members.into_iter().map(Member::try_from).collect();
        let commit_seq = CommitSeq(wire.commit_seq);
        let snapshot = Snapshot { commit_seq, tables: Arc::new(tables), members: members? };
        Ok(Self { snapshot, text: wire.text, age: wire.age_ms.map(DurationMs) })
    }
}

impl From<GrantId> for WireGrantId {
    fn from(grant: GrantId) -> Self {
        Self { incarnation: grant.incarnation.0, sequence: grant.sequence }
    }
}

impl From<WireGrantId> for GrantId {
    fn from(wire: WireGrantId) -> Self {
        Self { incarnation: Incarnation(wire.incarnation), sequence: wire.sequence }
    }
}

/// Parses an account. The account of open routes is encoded as `*`, which the parser of account ids
/// rejects.
fn parse_account(text: &str) -> Result<AccountId, PeerFault> {
    if text == AccountId::OPEN.as_str() {
        return Ok(AccountId::OPEN);
    }
    Ok(text.parse()?)
}

impl From<&TokenRequest> for WireTokensRequest {
    fn from(request: &TokenRequest) -> Self {
        Self {
            account: request.account.as_str().into(),
            amount: request.amount.0,
            incarnation: request.incarnation.0,
            sequence: request.sequence,
            settled: request.settled.iter().copied().map(WireGrantId::from).collect(),
        }
    }
}

impl TryFrom<WireTokensRequest> for TokenRequest {
    type Error = PeerFault;

    fn try_from(wire: WireTokensRequest) -> Result<Self, PeerFault> {
        Ok(Self {
            account: parse_account(&wire.account)?,
            amount: MilliTokens(wire.amount),
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            settled: wire.settled.into_iter().map(GrantId::from).collect(),
        })
    }
}

impl From<&Transfer> for WireTokensGrant {
    fn from(transfer: &Transfer) -> Self {
        Self {
            account: transfer.account.as_str().into(),
            amount: transfer.amount.0,
            grant: transfer.grant.into(),
            to_incarnation: transfer.to_incarnation.0,
            request: transfer.request,
            left: transfer.left.0,
            spare_per_s: transfer.spare_per_s.0,
        }
    }
}

impl TryFrom<WireTokensGrant> for Transfer {
    type Error = PeerFault;

    fn try_from(wire: WireTokensGrant) -> Result<Self, PeerFault> {
        Ok(Self {
            account: parse_account(&wire.account)?,
            amount: MilliTokens(wire.amount),
            grant: wire.grant.into(),
            to_incarnation: Incarnation(wire.to_incarnation),
            request: wire.request,
            left: MilliTokens(wire.left),
            spare_per_s: MilliTokens(wire.spare_per_s),
        })
    }
}

impl From<&(GroupId, GroupRecord)> for WireRecord {
    fn from((group, record): &(GroupId, GroupRecord)) -> Self {
        Self {
            group: group.as_str().into(),
            term: record.term.0,
            primary: record.primary.as_ref().map(|primary| primary.as_str().into()),
            start_term: record.start.term.0,
            start_index: record.start.index,
            attempt: record.attempt.0,
            phase: match record.phase {
                Phase::Fencing => WirePhase::Fencing,
                Phase::Promoted => WirePhase::Promoted,
            },
        }
    }
}

impl TryFrom<WireRecord> for (GroupId, GroupRecord) {
    type Error = PeerFault;

    fn try_from(wire: WireRecord) -> Result<Self, PeerFault> {
        let primary: Option<EndpointId> = match &wire.primary {
            Some(primary) => Some(primary.parse()?),
            None => None,
        };
        let record = GroupRecord {
            term: Term(wire.term),
            primary,
            start: Position { term: Term(wire.start_term), index: wire.start_index },
            attempt: AttemptId(wire.attempt),
            phase: match wire.phase {
                WirePhase::Fencing => Phase::Fencing,
                WirePhase::Promoted => Phase::Promoted,
            },
        };
        Ok((wire.group.parse()?, record))
    }
}
