//! Decision logic without sockets or encoding: timestamped events in, effects out.

pub mod rows;
pub mod store;
