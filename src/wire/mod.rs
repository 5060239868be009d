//! Wire types and codecs, apart from the domain types.

pub mod batch;
pub mod pg;
