//! Times on the host's monotonic clock, and durations.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Time on the host's monotonic clock, in microseconds since the host started.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, From, Into,
)]
#[display("{_0}us")]
pub struct Timestamp(pub u64);

/// Duration in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
#[serde(transparent)]
pub struct DurationMs(pub u64);

impl Timestamp {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from `earlier` to `self` in whole milliseconds, or zero if `earlier` is
    /// later.
    pub fn ms_since(self, earlier: Timestamp) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0) / 1_000)
    }
}

impl DurationMs {
    /// Converts to the standard library's type.
    pub fn to_std(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the duration in microseconds.
    pub fn as_us(self) -> u64 {
        self.0.saturating_mul(1_000)
    }
}

impl Add<DurationMs> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: DurationMs) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.as_us()))
    }
}

impl AddAssign<DurationMs> for Timestamp {
    fn add_assign(&mut self, duration: DurationMs) {
        *self = *self + duration;
    }
}

impl Sub<DurationMs> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: DurationMs) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.as_us()))
    }
}
