//! Decision logic without sockets or encoding: timestamped events in, effects out.

pub mod limit;
pub mod queue;
pub mod share;
