//! Schedule of the probes that ask the endpoints of a group for their status.

use super::GroupView;
use crate::types::{DurationMs, EndpointId, Timestamp};

/// Time between rounds of probes while reads need freshness anchors.
pub const DEMAND_PROBE_INTERVAL: DurationMs = DurationMs(100);

/// Time between rounds of probes otherwise.
pub const IDLE_PROBE_INTERVAL: DurationMs = DurationMs(1_000);

/// Time without a status after which the primary is probed on its own, and time between such
/// probes. Without them a quiet primary would be taken for a lost one, because the rounds of an
/// idle group are as far apart as `PRIMARY_SILENCE_TIMEOUT`.
pub const QUIET_PRIMARY_PROBE_INTERVAL: DurationMs = DurationMs(250);

/// Time without a status of the primary after which all endpoints are probed every
/// [`QUIET_PRIMARY_PROBE_INTERVAL`], so that the host knows which of them answer if a promotion
/// becomes necessary.
pub const PROBE_ALL_AFTER_SILENCE: DurationMs = DurationMs(500);

/// Time after a read that needs an anchor during which probes are sent every
/// [`DEMAND_PROBE_INTERVAL`].
pub const DEMAND_DURATION: DurationMs = DurationMs(2_000);

/// Times of the last read that needed an anchor, the last round and the last probe of the primary.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ProbeTimes {
    demand_at: Option<Timestamp>,
    round_at: Option<Timestamp>,
    primary_at: Option<Timestamp>,
}

impl GroupView {
    /// Handles a read that has arrived, or still waits, and needs an anchor, because it is bounded
    /// by age or comes from a session without a token.
    pub fn on_anchor_demand(&mut self, now: Timestamp) {
        self.probe_times.demand_at = Some(now);
    }

    /// Returns the endpoints to probe now. The caller passes the answers to
    /// [`GroupView::on_status`] with `now` as the send time of the probe.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let passed =
            |since: Option<Timestamp>, span: DurationMs| since.is_none_or(|at| now >= at + span);
        let silence = self.primary_silence(now);
        let period = if !passed(self.probe_times.demand_at, DEMAND_DURATION) {
            DEMAND_PROBE_INTERVAL
        } else if silence >= PROBE_ALL_AFTER_SILENCE {
            QUIET_PRIMARY_PROBE_INTERVAL
        } else {
            IDLE_PROBE_INTERVAL
        };
        if passed(self.probe_times.round_at, period) {
            self.probe_times.round_at = Some(now);
            self.probe_times.primary_at = Some(now);
            return self.members.keys().cloned().collect();
        }
        if silence >= QUIET_PRIMARY_PROBE_INTERVAL
            && passed(self.probe_times.primary_at, QUIET_PRIMARY_PROBE_INTERVAL)
        {
            self.probe_times.primary_at = Some(now);
            return self.last_primary().cloned().into_iter().collect();
        }
        Vec::new()
    }
}
