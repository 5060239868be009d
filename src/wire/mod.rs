//! Wire types and codecs, separate from domain types, with `From` and `TryFrom`.

pub mod batch;
pub mod fleet_rows;
pub mod peer;
pub mod peer_frame;
pub mod pg;
pub mod platform;
pub mod relay;
pub mod rows;
pub mod shape;
pub mod tables;
