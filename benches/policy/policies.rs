//! The policies that are compared.
// The test uses one of them.
#![allow(dead_code)]

use medlarstile::core::broker::{QueueOrder, ReadChoice};
use medlarstile::types::DurationMs;

use super::model::Policy;

/// The settings that hosts start with.
pub const MEDLARSTILE: Policy = Policy { name: "medlarstile", broker: |_| {}, transfers: true };

/// What would be written first: reads at random over all endpoints, limits divided for good, first
/// come first served.
pub const BASELINE: Policy = Policy {
    name: "baseline",
    broker: |settings| {
        settings.read_choice = ReadChoice::AnyAtRandom;
        settings.queue_order = QueueOrder::Arrival;
        settings.primary_patience_ms = DurationMs(0);
    },
    transfers: false,
};
