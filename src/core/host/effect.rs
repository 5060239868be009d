//! Effects that the core of a host requests from the task that owns the sockets.

use crate::auth::Verifier;
use crate::core::broker::BrokerEffect;
use crate::core::limit::TokenRequest;
use crate::core::share::ShareWrite;
use crate::core::view::{Member, Renewal};
use crate::types::{AttemptId, HostId, KeyId, TableVersion};

/// Authentication that a route requires of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutePlan {
    /// The route is open to all.
    Open,
    /// The caller must prove one of these keys. Empty for an account without a route: the exchange
    /// then fails only in its last step, so that it does not reveal which accounts exist.
    Keyed(Vec<(KeyId, Verifier)>),
}

/// An action that the socket owner carries out for the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostEffect {
    /// An effect of the broker, on requests and endpoint connections.
    Broker(BrokerEffect),
    /// Write the host's row; answered with `on_renewed` or `on_renewal_failed`.
    Renew(Renewal),
    /// Read `config/current` and `hosts/*` at the same commit; answered with `on_view_read`.
    ReadView,
    /// Ask every peer for its statement about its view; each is answered with `on_statement`.
    AskPeers,
    /// Ask a peer for its snapshot of the tables; answered with `on_peer_snapshot`.
    WantTables(Member),
    /// Announce to the peers the table version that this host adopted.
    Announce(TableVersion),
    /// Read the rows `shares/*`; answered with `on_shares_read`.
    ReadShares,
    /// Write rows of share slots in one transaction; answered with `on_shares_written`.
    WriteShares {
        /// Id of the attempt, which the rows contain.
        attempt: AttemptId,
        /// New rows, each with the version that it replaces.
        writes: Vec<ShareWrite>,
    },
    /// Request rate-limit tokens from a peer; answered with `on_transfer`.
    AskTokens(HostId, TokenRequest),
    /// Start accepting callers.
    Listen,
    /// Mark the host's row as leaving.
    AnnounceLeaving,
    /// Stop accepting callers, and refuse those that have not logged in yet.
    StopListening,
    /// Close all connections and end the process, because no work is left.
    Close,
}
