//! Wire types and codecs. They are separate from the domain types and convert by `From` and
//! `TryFrom`.

pub mod batch;
pub mod fleet_rows;
pub mod peer;
pub mod peer_claims;
pub mod peer_frame;
pub mod pg;
pub mod platform;
pub mod relay;
pub mod rows;
pub mod shape;
pub mod tables;
