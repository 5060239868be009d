//! Fleet-wide limits: token buckets over share slots, and transfers of tokens between hosts.
//!
//! Invariant, for each account: the tokens in all buckets plus the unexpired grants never exceed
//! the burst, and the buckets together refill at no more than the rate. In any window w the fleet
//! therefore admits at most burst + rate·w. A giver keeps a grant reserved against the capacity of
//! its bucket for as long as the receiver might spend it, and no event but refill adds tokens.

mod account;
mod bucket;
mod demand;
mod grants;
mod limiter;
mod message;
mod peers;

pub use limiter::Limiter;
pub use message::{GrantId, LimitEffect, LimitPeer, Take, TokenRequest, Transfer};
