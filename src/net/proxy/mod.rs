//! Actors of a host that serves callers' sessions over pooled connections to endpoints.

pub mod caller;
pub mod endpoint;
mod feed;
mod holding;
mod home;
pub mod host;
pub mod http;
mod peers;
pub mod report;
mod rows;
mod sessions;
mod store;
