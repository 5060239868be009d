//! The `medlarstile` binary.

fn main() {}
