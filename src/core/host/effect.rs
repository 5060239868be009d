//! What the core of a host asks the owner of the sockets to do.

use crate::auth::Verifier;
use crate::core::broker::BrokerEffect;
use crate::core::limit::TokenRequest;
use crate::core::share::ShareWrite;
use crate::core::view::{Member, Renewal};
use crate::types::{AttemptId, HostId, KeyId, TableVersion};

/// How a caller may log in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutePlan {
    /// The route is open to all.
    Open,
    /// One of these keys must be proven. Empty for an account without a route, so that an exchange
    /// takes place that fails in its last step.
    Keyed(Vec<(KeyId, Verifier)>),
}

/// One effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostEffect {
    /// Requests and endpoint connections.
    Broker(BrokerEffect),
    /// Write the host's row; answer with `on_renewed` or `on_renewal_failed`.
    Renew(Renewal),
    /// Read `config/current` and `hosts/*` at one commit; answer with `on_view_read`.
    ReadView,
    /// Ask every peer for its statement.
    AskPeers,
    /// Ask a peer for its snapshot.
    WantTables(Member),
    /// Tell the peers that a version is in use.
    Announce(TableVersion),
    /// Read the rows `shares/*`; answer with `on_shares_read`.
    ReadShares,
    /// Write rows of share slots in one transaction; answer with `on_shares_written`.
    WriteShares {
        /// Attempt that the rows carry.
        attempt: AttemptId,
        /// Rows with their expected versions.
        writes: Vec<ShareWrite>,
    },
    /// Send a request for tokens to a peer.
    AskTokens(HostId, TokenRequest),
    /// Accept callers.
    Listen,
    /// Mark the host's row as leaving.
    AnnounceLeaving,
    /// Accept no more callers.
    StopListening,
    /// All work is done; close everything and end the process.
    Close,
}
