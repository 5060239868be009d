//! Numbers in the platform's JSON.

use std::fmt;

use serde::de::{Deserializer, Error, Unexpected, Visitor};
use serde::Deserialize;

/// A number that is not negative, of which the fraction is dropped and what is above 64 bits is the
/// largest number. JSON has one type of numbers, and the platform names no largest ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Whole(pub u64);

impl Whole {
    /// Returns the number, or the largest one of 32 bits if it is above that.
    pub fn to_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }
}

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_u64(WholeVisitor)
    }
}

struct WholeVisitor;

impl Visitor<'_> for WholeVisitor {
    type Value = Whole;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number that is not negative")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Whole, E> {
        Ok(Whole(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Whole, E> {
        if number >= 0.0 {
            Ok(Whole(number as u64))
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}
