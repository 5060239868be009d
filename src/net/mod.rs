//! Actors that own sockets. They feed events to the core and carry out its effects.

pub mod stream;
