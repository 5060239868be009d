//! Start-time fair queueing of one pool's requests over client accounts, by weight and cost.
//!
//! Each account's first waiting request has a start tag in virtual time. The request with the
//! lowest tag is served first, and its tag becomes the current virtual time. Serving a request
//! advances its account's tag by cost / weight. An account that was idle re-enters at the current
//! virtual time, so it gains no credit for idleness. Requests that leave without being served are
//! not charged.

mod classes;
mod cost;
mod deadline;
mod fair;
mod service_rate;

pub use classes::ClassQueue;
pub use cost::CostAverages;
pub use fair::{FairQueue, QueueBounds, Ticket};
