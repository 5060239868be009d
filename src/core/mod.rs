//! Decision logic without sockets, encoding or clock reads: timestamped events in, effects out.

pub mod classify;
pub mod group;
pub mod promotion;
pub mod rows;
pub mod store;
