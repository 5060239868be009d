//! Actors and threads that own sockets. They feed events to the core and carry out its effects.

pub mod platform;
pub mod reactor;
pub mod stream;
