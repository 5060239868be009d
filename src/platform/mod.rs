//! Codecs for the formats of the platform that the proxy runs on.
//!
//! Only this module uses the platform's terms. Each message is decoded once into a type of the
//! core, or encoded from one; no decisions are made here.

pub mod configuration;
pub mod discovery;
pub mod line;
pub mod line_reader;
mod number;
pub mod settings;
pub mod store;
