//! Decisions without sockets or encoding: timestamped events in, effects out.

pub mod acceptance;
pub mod view;
pub mod view_schedule;
