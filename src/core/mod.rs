//! Decision logic without sockets, encoding or clock reads: timestamped events in, effects out.

pub mod acceptance;
pub mod classify;
pub mod group;
pub mod promotion;
pub mod rows;
pub mod store;
pub mod view;
mod view_schedule;
