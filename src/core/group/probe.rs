//! Schedule of the probes that ask the endpoints of a group for their status.

use super::GroupView;
use crate::types::{DurationMs, EndpointId, Timestamp};

/// Time between rounds of probes while reads need freshness anchors.
pub const PROBE_DEMAND: DurationMs = DurationMs(100);

/// Time between rounds of probes otherwise.
pub const PROBE_IDLE: DurationMs = DurationMs(1_000);

/// Time without a status after which the primary is probed on its own, and time between such
/// probes. Without them a quiet primary would be taken for a lost one, because the rounds of an
/// idle group are as far apart as `PRIMARY_SILENCE`.
pub const PRIMARY_QUIET: DurationMs = DurationMs(250);

/// Time without a status of the primary after which all endpoints are probed every
/// [`PRIMARY_QUIET`], so that the host knows which of them answer if a promotion becomes necessary.
pub const PRIMARY_ALARM: DurationMs = DurationMs(500);

/// Time after a read that needs an anchor during which probes are sent every [`PROBE_DEMAND`].
pub const DEMAND_LASTS: DurationMs = DurationMs(2_000);

/// Times of the last read that needed an anchor, the last round and the last probe of the primary.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ProbeClock {
    demand: Option<Timestamp>,
    round: Option<Timestamp>,
    primary: Option<Timestamp>,
}

impl GroupView {
    /// Handles a read that has arrived, or still waits, and needs an anchor, because it is bounded
    /// by age or comes from a session without a token.
    pub fn on_anchor_demand(&mut self, now: Timestamp) {
        self.probes.demand = Some(now);
    }

    /// Returns the endpoints to probe now. The caller passes the answers to
    /// [`GroupView::on_status`] with `now` as the send time of the probe.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let passed =
            |since: Option<Timestamp>, span: DurationMs| since.is_none_or(|at| now >= at + span);
        let silence = self.primary_silence(now);
        let period = if !passed(self.probes.demand, DEMAND_LASTS) {
            PROBE_DEMAND
        } else if silence >= PRIMARY_ALARM {
            PRIMARY_QUIET
        } else {
            PROBE_IDLE
        };
        if passed(self.probes.round, period) {
            self.probes.round = Some(now);
            self.probes.primary = Some(now);
            return self.members.keys().cloned().collect();
        }
        if silence >= PRIMARY_QUIET && passed(self.probes.primary, PRIMARY_QUIET) {
            self.probes.primary = Some(now);
            return self.leader().cloned().into_iter().collect();
        }
        Vec::new()
    }
}
