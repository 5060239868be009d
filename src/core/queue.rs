//! Fair queue of one pool: start-time fair queueing over client accounts by weight and cost.
//!
//! Each account's first waiting request has a start tag in virtual time; the lowest tag is served
//! first and becomes the present virtual time. A served request moves the tag of its account's
//! next one by cost / weight. An account that was idle re-enters at the present virtual time, so
//! idleness earns no credit. Requests that leave without being served are not charged.

mod cost;
mod deadline;
mod fair;
mod speed;

pub use cost::CostAverages;
pub use fair::{FairQueue, QueueBounds, Ticket};
