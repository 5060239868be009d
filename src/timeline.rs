//! Decision records with hybrid logical clock stamps, their segments, and queries over them.
//!
//! Records contain no keys and no SQL text. `docs/timeline.md` describes when records are durable.

mod clock;
mod query;
mod record;
mod writer;

pub use clock::{Clock, Stamp, StampError};
pub use query::{merge, Filter};
pub use record::{read_segment, Decision, Event, Record, RecordFault};
pub use writer::{Segment, SegmentWriter, WriterLimits};
