//! Decisions, without sockets, encoding or clock: events with a time in, effects out.

pub mod classify;
