//! Fleet-wide rate limits: each host has a token bucket per account, sized by the share slots that
//! it holds, and hosts transfer tokens to each other on request.
//!
//! Invariant, for each account: the tokens in all buckets plus the unexpired grants never exceed
//! the burst, and the buckets together refill at no more than the rate. In any period of length w
//! the fleet therefore admits at most burst + rate·w. To keep this true, a host subtracts each
//! grant that it makes from the capacity of its own bucket for as long as the receiver might spend
//! it, and only refill adds tokens.

mod account;
mod bucket;
mod demand;
mod grants;
mod limiter;
mod message;
mod peers;

pub use limiter::Limiter;
pub use message::{GrantId, LimitEffect, LimitPeer, Take, TokenRequest, Transfer};
