//! Hybrid logical clock: wall time that never goes back and is never behind a received stamp.

use std::str::FromStr;

use derive_more::Display;
use displaydoc::Display as DocDisplay;
use serde::{Deserialize, Serialize};

use crate::types::HostId;

/// Hybrid logical timestamp of a decision. If one decision caused another, the stamp of the effect
/// is larger, also across hosts. The text form is `WALL_MS.COUNTER.HOST`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{wall_ms}.{counter}.{host}")]
pub struct Stamp {
    /// Milliseconds since the Unix epoch, at least those of every earlier stamp that the host
    /// knows.
    pub wall_ms: u64,
    /// Orders stamps with the same `wall_ms`.
    pub counter: u32,
    /// Host that made the stamp; orders stamps that are otherwise equal.
    pub host: HostId,
}

/// Error of parsing a [`Stamp`].
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum StampError {
    /// a stamp is written WALL_MS.COUNTER.HOST, for example 1700000000000.3.h1
    Syntax,
}

impl std::error::Error for StampError {}

impl FromStr for Stamp {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Self, StampError> {
        let mut parts = text.splitn(3, '.');
        let (Some(wall_ms), Some(counter), Some(host)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(StampError::Syntax);
        };
        Ok(Self {
            wall_ms: wall_ms.parse().map_err(|_| StampError::Syntax)?,
            counter: counter.parse().map_err(|_| StampError::Syntax)?,
            host: host.parse().map_err(|_| StampError::Syntax)?,
        })
    }
}

/// Hybrid logical clock of one host.
#[derive(Debug, Clone)]
pub struct Clock {
    host: HostId,
    wall_ms: u64,
    counter: u32,
}

impl Clock {
    /// Creates a clock that has neither made nor observed a stamp.
    pub fn new(host: HostId) -> Self {
        Self { host, wall_ms: 0, counter: 0 }
    }

    /// Makes a stamp that is larger than every stamp that this clock has made or observed;
    /// `wall_ms` is the current wall time.
    pub fn stamp(&mut self, wall_ms: u64) -> Stamp {
        self.advance(wall_ms, None);
        Stamp { wall_ms: self.wall_ms, counter: self.counter, host: self.host.clone() }
    }

    /// Advances the clock past the stamp of a message from another host.
    pub fn observe(&mut self, wall_ms: u64, stamp: &Stamp) {
        self.advance(wall_ms, Some((stamp.wall_ms, stamp.counter)));
    }

    fn advance(&mut self, wall_ms: u64, observed: Option<(u64, u32)>) {
        let latest = (self.wall_ms, self.counter).max(observed.unwrap_or_default());
        (self.wall_ms, self.counter) = match latest {
            (latest_ms, _) if wall_ms > latest_ms => (wall_ms, 0),
            // The counter is exhausted: the clock moves ahead to the next millisecond.
            (latest_ms, u32::MAX) => (latest_ms + 1, 0),
            (latest_ms, counter) => (latest_ms, counter + 1),
        };
    }
}
