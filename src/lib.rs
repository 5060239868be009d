//! medlarstile: a PostgreSQL proxy with session consistency.
//!
//! `docs/design.md` describes the modules, who owns which state, and the reasons behind the design.

pub mod chart;
pub mod core;
pub mod error;
pub mod types;
