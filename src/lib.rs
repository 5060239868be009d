//! medlarstile: a PostgreSQL proxy with session consistency.
//!
//! `docs/design.md` describes the modules, the ownership of state, and the reasons for the design.

pub mod auth;
pub mod chart;
pub mod charts;
pub mod commands;
pub mod config;
pub mod consts;
pub mod core;
pub mod error;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod platform;
pub mod tables;
pub mod timeline;
pub mod types;
pub mod wire;
