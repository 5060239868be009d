//! Wire types, apart from the domain types, with `From` and `TryFrom`.

pub mod tables;
