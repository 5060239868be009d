//! Translation between the project and the platform of its users.
//!
//! Only this folder knows the platform's names. Each message is decoded once into a type of the
//! core, or encoded from one; nothing is decided here.

pub mod configuration;
pub mod discovery;
pub mod line;
pub mod settings;
pub mod store;
