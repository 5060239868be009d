//! Actors that own sockets, and the event loop that runs them.

pub mod reactor;
