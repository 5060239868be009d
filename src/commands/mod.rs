//! Commands of the binary as functions without I/O.

pub mod host;
pub mod tables;
