//! Messages that limiters exchange, and the results and effects of a limiter.

use crate::error::ErrorKind;
use crate::types::{
    AccountId, FailureDomain, HostId, Incarnation, MilliTokens, RequestId, Timestamp,
};

/// Identifier of a grant, unique among the grants of the host that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantId {
    /// Incarnation of the giver.
    pub incarnation: Incarnation,
    /// Number that the giver assigned within the incarnation.
    pub sequence: u64,
}

/// Request of a host for tokens of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRequest {
    /// Account whose tokens are asked for.
    pub account: AccountId,
    /// Largest amount that the asker can use.
    pub amount: MilliTokens,
    /// Incarnation of the asker.
    pub incarnation: Incarnation,
    /// Number of the request within the incarnation of the asker.
    pub sequence: u64,
    /// Earlier grants of the peer of which the asker will spend nothing more.
    pub settled: Vec<GrantId>,
}

/// Answer to a [`TokenRequest`]. The giver has already removed the tokens from its own bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Account whose tokens are transferred.
    pub account: AccountId,
    /// Tokens granted, possibly zero.
    pub amount: MilliTokens,
    /// Identifier of the grant.
    pub grant: GrantId,
    /// Incarnation of the asker, from the request.
    pub to_incarnation: Incarnation,
    /// Number of the answered request.
    pub request: u64,
    /// Tokens that the giver can still spare after this grant.
    pub left: MilliTokens,
    /// Milli-tokens per second that the giver gains beyond its own demand.
    pub spare_per_s: MilliTokens,
}

/// A host that can be asked for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitPeer {
    /// Id of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
}

/// Result of taking tokens for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// The tokens are taken; the request may run.
    Taken,
    /// Not enough tokens are available yet.
    Wait {
        /// Time at which this host's own refill provides the tokens; `None` if it never does.
        until: Option<Timestamp>,
    },
    /// The request is refused.
    Refused(ErrorKind),
}

/// Effect that the owner of a [`super::Limiter`] must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitEffect {
    /// Run the waiting request: its tokens are taken.
    Admit(RequestId),
    /// Refuse the waiting request with this error; it did not run.
    Refuse(RequestId, ErrorKind),
    /// Send a request for tokens to a peer.
    Ask(HostId, TokenRequest),
}
