//! Commands of the binary.

pub mod host;
pub mod tables;
pub mod timeline;
