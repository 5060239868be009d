//! Decision logic without sockets, encoding or clock reads. It takes timestamped events and returns
//! the effects that its callers carry out.

pub mod acceptance;
pub mod broker;
pub mod buffers;
pub mod cas;
pub mod class_cache;
pub mod classify;
pub mod connection_limit;
pub mod edit;
pub mod group;
pub mod host;
pub mod life;
pub mod limit;
pub mod link;
pub mod peer;
pub mod promotion;
pub mod proxy;
pub mod queue;
pub mod rows;
pub mod share;
pub mod store;
pub mod transaction;
pub mod view;
mod view_schedule;
