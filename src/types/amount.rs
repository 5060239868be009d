//! Rates, bursts, costs and weights.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};

macro_rules! amount {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr,
            From, Into, Add, AddAssign, Sub, SubAssign, Sum, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )*};
}

amount! {
    /// Statements per second that a client account may run, over the whole fleet.
    RatePerS(u64);
    /// Size of a client account's token bucket in statements, over the whole fleet.
    Burst(u64);
    /// Thousandths of a token; one statement costs 1,000.
    MilliTokens(u64);
    /// Cost of a request: the microseconds for which it occupies a slot.
    Cost(u64);
    /// Weight of a client account in fair queueing.
    Weight(u32);
    /// Class of urgency; 0 is the most urgent.
    Priority(u64);
    /// Statements that an endpoint runs concurrently.
    Slots(u32);
    /// Thousandths of a processor core that a host may use.
    MilliCores(u32);
    /// Bytes of memory.
    ByteCount(u64);
    /// Descriptors that a process may open.
    DescriptorCount(u64);
    /// Connections that an endpoint accepts from the whole fleet.
    ConnectionCount(u32);
}

impl From<RatePerS> for MilliTokens {
    /// Returns the tokens of one second at the rate.
    fn from(rate: RatePerS) -> Self {
        Self(rate.0.saturating_mul(Self::ONE.0))
    }
}

impl From<Burst> for MilliTokens {
    fn from(burst: Burst) -> Self {
        Self(burst.0.saturating_mul(Self::ONE.0))
    }
}

impl MilliTokens {
    /// The tokens of one statement.
    pub const ONE: MilliTokens = MilliTokens(1_000);

    /// Returns `self - other`, or zero if `other` is larger.
    pub fn saturating_sub(self, other: MilliTokens) -> MilliTokens {
        MilliTokens(self.0.saturating_sub(other.0))
    }
}
