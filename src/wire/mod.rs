//! Wire types, separate from domain types, with `From` and `TryFrom`.

pub mod platform;
pub mod rows;
