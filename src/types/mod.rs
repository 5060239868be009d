//! Newtypes for ids, positions, amounts and times, each with `Display` and `FromStr`.

mod amount;
mod id;
mod position;
mod time;

pub use amount::{
    Burst, ByteCount, ConnectionCount, Cost, DescriptorCount, MilliCores, MilliTokens, Priority,
    RatePerS, Slots, Weight,
};
pub use id::{
    AccountId, AttemptId, CallId, ConnectionId, DatabaseName, EditorName, EndpointId,
    FailureDomain, GroupId, HostId, IdError, Incarnation, KeyId, ObjectName, PoolName, PreparedId,
    RequestId, RouteName, RowKey, SessionId, ShareSlot, TableName,
};
pub use position::{
    CommitSeq, Position, PositionError, Renewals, RowVersion, StoreEra, TableVersion, Term,
};
pub use time::{DurationMs, Timestamp};
