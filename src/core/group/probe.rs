//! When the endpoints of a group are probed.

use super::GroupView;
use crate::types::{DurationMs, EndpointId, Timestamp};

/// Time between rounds of probes while reads need anchors.
pub const PROBE_DEMAND: DurationMs = DurationMs(100);

/// Time between rounds of probes otherwise.
pub const PROBE_IDLE: DurationMs = DurationMs(1_000);

/// A primary that said nothing for this long is probed by itself, so that a quiet primary is not
/// taken for a lost one: the idle rounds are as far apart as `PRIMARY_SILENCE`.
pub const PRIMARY_QUIET: DurationMs = DurationMs(250);

/// After this silence of the primary all endpoints are probed every [`PRIMARY_QUIET`], so that the
/// host knows which of them answer when it comes to a promotion.
pub const PRIMARY_ALARM: DurationMs = DurationMs(500);

/// A demand for anchors lasts this long after the read that caused it.
pub const DEMAND_LASTS: DurationMs = DurationMs(2_000);

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ProbeClock {
    demand: Option<Timestamp>,
    round: Option<Timestamp>,
    primary: Option<Timestamp>,
}

impl GroupView {
    /// A read arrived, or still waits, that is bounded by age or comes from a session without a
    /// token.
    pub fn on_anchor_demand(&mut self, now: Timestamp) {
        self.probes.demand = Some(now);
    }

    /// Endpoints to probe now. The answers come back through [`GroupView::on_status`] with `now` as
    /// their send time.
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
