//! Actors and threads that own sockets. They pass events to the core and carry out its effects.

pub mod caller;
pub mod cancel;
pub mod edit;
pub mod endpoint;
pub mod host;
pub mod peer;
pub mod platform;
pub mod proxy;
pub mod reactor;
pub mod stream;
pub mod tool;
