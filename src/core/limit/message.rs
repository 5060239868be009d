//! Requests, transfers and effects of the limiter.

use crate::error::ErrorKind;
use crate::types::{
    AccountId, FailureDomain, HostId, Incarnation, MilliTokens, RequestId, Timestamp,
};

/// A grant, unique over the fleet together with its giver's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantId {
    /// Incarnation of the giver.
    pub incarnation: Incarnation,
    /// Number of the grant within the incarnation.
    pub sequence: u64,
}

/// A host asks a peer for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRequest {
    /// Account whose tokens are asked for.
    pub account: AccountId,
    /// Most that the asker has use for.
    pub amount: MilliTokens,
    /// Incarnation of the asker.
    pub incarnation: Incarnation,
    /// Number of the request within the asker's incarnation.
    pub sequence: u64,
    /// Grants of this peer of which the asker will spend nothing more.
    pub settled: Vec<GrantId>,
}

/// The answer to a [`TokenRequest`]: tokens that the giver no longer has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Account whose tokens are transferred.
    pub account: AccountId,
    /// Tokens given, possibly zero.
    pub amount: MilliTokens,
    /// The grant.
    pub grant: GrantId,
    /// Incarnation of the asker, from the request.
    pub to_incarnation: Incarnation,
    /// Number of the request that is answered.
    pub request: u64,
    /// Tokens that the giver could still give.
    pub left: MilliTokens,
    /// Tokens a second that the giver gains beyond its own demand.
    pub spare_per_s: MilliTokens,
}

/// A host that tokens can be transferred to and from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitPeer {
    /// Host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
}

/// Answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// The tokens are taken; the request may run.
    Taken,
    /// The tokens are not there yet. `until` is when this host's own refill provides them; none
    /// if it never does.
    Wait {
        /// Time at which the own refill suffices.
        until: Option<Timestamp>,
    },
    /// The request is refused.
    Refused(ErrorKind),
}

/// What the owner of a [`super::Limiter`] must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitEffect {
    /// A waiting request got its tokens and may run.
    Admit(RequestId),
    /// A waiting request is refused; it did not run.
    Refuse(RequestId, ErrorKind),
    /// Send a request for tokens to a peer.
    Ask(HostId, TokenRequest),
}
