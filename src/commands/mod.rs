//! Subcommands of the `medlarstile` binary.

pub mod args;
pub mod charts;
pub mod edit;
pub mod explain;
pub mod fleet;
pub mod host;
pub mod platform_host;
pub mod tables;
pub mod tables_file;
pub mod terminal;
pub mod timeline;
