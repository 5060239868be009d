//! Actors and threads that own sockets.

pub mod platform;
