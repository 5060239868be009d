//! What a replica was found to lack of its group's log.

use crate::types::{DurationMs, Position, Timestamp};

/// Time for which a replica that lacked a log position is not asked for one as late, unless it reports
/// that it has it. Replicas that fall behind stay behind for seconds.
const RETRY_DELAY: DurationMs = DurationMs(300);

/// The lowest log position that a replica lacked lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogGap {
    lacked: Option<(Position, Timestamp)>,
}

impl LogGap {
    /// Records that the replica lacked a position.
    pub fn on_lagging(&mut self, now: Timestamp, position: Position) {
        let recent = self.lacked.filter(|(_, at)| now < *at + RETRY_DELAY);
        let lowest = recent.map_or(position, |(lacked, _)| lacked.min(position));
        self.lacked = Some((lowest, now));
    }

    /// Whether the replica, which has reported that it applied `applied`, is likely to lack a position
    /// still.
    pub fn covers(&self, now: Timestamp, applied: Position, position: Position) -> bool {
        self.lacked.is_some_and(|(lacked, at)| {
            position >= lacked && applied < position && now < at + RETRY_DELAY
        })
    }
}
