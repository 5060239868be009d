//! Calls to the platform over HTTP.
//!
//! [`PlatformClient`] makes one blocking call at a time, for command line tools and for the worker
//! thread. [`PlatformActor`] owns a worker thread and returns results as stakker messages.

mod actor;
mod client;
mod swap;

pub use actor::{CallResult, PlatformActor};
pub use client::{PlatformClient, PlatformSettings};
pub use swap::{SwapRequest, SwapRun};
