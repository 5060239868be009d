//! Newtypes for ids, positions, amounts and times, each with `Display` and `FromStr`.

mod amount;
mod id;
mod position;
mod time;

pub use amount::{Burst, Cost, MilliTokens, RatePerS, Weight};
pub use id::{
    AccountId, AttemptId, ConnectionId, DatabaseName, EndpointId, FailureDomain, GroupId, HostId,
    IdError, Incarnation, KeyId, PoolName, RequestId, RouteName, SessionId,
};
pub use position::{Position, PositionError, RowVersion, TableVersion, Term};
pub use time::{DurationMs, Timestamp};
