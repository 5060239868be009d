//! How one host detects that a group has lost its primary, and promotes another endpoint.
//!
//! `charts/group.scxml` defines the states. [`Promotion`] passes ticks and replies to the chart as
//! events; `rules` evaluates its guards and `actions` runs its actions.

mod actions;
mod names;
mod record;
mod rules;
mod stagger;

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

pub use names::{chart, Action, Event, Guard, PromotionChart, State, CHART_TEXT};
pub use record::{GroupRecord, Phase, PromotionEffect, ReadFault, SwapFault};
pub use stagger::{stagger, STAGGER_MAX, STAGGER_STEP};

use crate::chart::Machine;
use crate::core::group::{EndpointStatus, GroupView};
use crate::types::{DurationMs, EndpointId, HostId, RowVersion, Timestamp};

/// Time without a status from the primary after which it is suspected to have failed.
pub const PRIMARY_SILENCE_TIMEOUT: DurationMs = DurationMs(1_000);

/// Time after which a primary that has entries to confirm, but confirms none, is suspected to have
/// failed. Longer than [`PRIMARY_SILENCE_TIMEOUT`], so that a short delay of both replicas causes
/// no promotion, and short enough for a failover gap under 3 s.
pub const PRIMARY_STALL_TIMEOUT: DurationMs = DurationMs(1_500);

/// Time after which an attempt in phase fencing counts as abandoned. Each host measures it from
/// when it first saw the attempt.
pub const ATTEMPT_TIMEOUT: DurationMs = DurationMs(1_500);

/// Time after which orders are sent again to members that do not match a promoted record.
pub const ORDER_REPEAT_INTERVAL: DurationMs = DurationMs(500);

/// Time after which fence orders are sent again within one attempt.
pub const FENCE_REPEAT_INTERVAL: DurationMs = DurationMs(200);

/// Time between two ticks from which on a host takes itself to have been paused. That it received
/// nothing during its own pause is no sign of a failed primary.
pub const PAUSE_THRESHOLD: DurationMs = DurationMs(500);

/// First delay between retries of a call to the platform.
pub const RETRY_DELAY_MIN: DurationMs = DurationMs(50);
/// Longest delay between retries of a call to the platform. The delay doubles up to this.
pub const RETRY_DELAY_MAX: DurationMs = DurationMs(2_000);

/// Time between reads of the row while a host waits for another host's attempt.
pub const REREAD_INTERVAL: DurationMs = DurationMs(300);

/// Time after which a missing answer of the platform is treated as lost.
pub const ANSWER_TIMEOUT: DurationMs = DurationMs(1_000);

/// The row as this host last read or wrote it.
#[derive(Debug, Clone, Default)]
struct Row {
    version: RowVersion,
    record: Option<GroupRecord>,
    /// When this host first saw `version`.
    first_seen_at: Timestamp,
    /// Send time of the last read that was answered.
    last_read_sent: Option<Timestamp>,
}

/// Calls to the platform that have no answer yet, and the delay of their retries.
#[derive(Debug, Clone)]
struct Calls {
    read_sent_at: Option<Timestamp>,
    swap_sent_at: Option<Timestamp>,
    next_read_at: Timestamp,
    retry_delay: DurationMs,
}

/// This host's attempt to give the group a primary with a new term.
#[derive(Debug, Clone)]
struct Attempt {
    record: GroupRecord,
    expected_version: RowVersion,
    /// Number of compare-and-set calls made for `record`.
    swaps: u32,
    began_at: Timestamp,
    fences_sent_at: Timestamp,
    fenced: BTreeMap<EndpointId, EndpointStatus>,
    /// The stalled primary, which must not be chosen again. `None` if the other endpoints form no
    /// majority without it.
    excluded: Option<EndpointId>,
}

/// The data behind the chart: guards read it, actions change it.
#[derive(Debug)]
struct Facts {
    host: HostId,
    hosts: Vec<HostId>,
    rng: ChaCha8Rng,
    row: Row,
    calls: Calls,
    attempt: Option<Attempt>,
    /// When the present suspicion began.
    suspected_at: Timestamp,
    last_tick: Option<Timestamp>,
    /// When this host started, or resumed after its last pause.
    resumed_at: Timestamp,
    /// When orders were last sent.
    orders_sent_at: Timestamp,
    /// End of the delay after an attempt that was given up.
    backoff_until: Timestamp,
}

/// The promotion procedure of one host for one group.
///
/// After each call the caller passes [`Promotion::record`] to [`GroupView::on_record`].
#[derive(Debug)]
pub struct Promotion {
    machine: Machine<State, Event, Guard, Action>,
    facts: Facts,
}

impl Promotion {
    /// Creates an idle promotion. `rng` must be seeded differently in each incarnation of each
    /// host, because attempt ids are drawn from it.
    pub fn new(host: HostId, rng: ChaCha8Rng) -> Self {
        let start = Timestamp(0);
        let calls = Calls {
            read_sent_at: None,
            swap_sent_at: None,
            next_read_at: start,
            retry_delay: RETRY_DELAY_MIN,
        };
        let facts = Facts {
            hosts: vec![host.clone()],
            host,
            rng,
            row: Row::default(),
            calls,
            attempt: None,
            suspected_at: start,
            last_tick: None,
            resumed_at: start,
            orders_sent_at: start,
            backoff_until: start,
        };
        Self { machine: names::CHART.start(), facts }
    }

    /// Sets the live hosts. Their attempts are staggered, see [`stagger()`].
    pub fn set_hosts(&mut self, hosts: Vec<HostId>) {
        self.facts.hosts = hosts;
    }

    /// Current state of the chart.
    pub fn state(&self) -> State {
        self.machine.state()
    }

    /// The row as last read or written by this host.
    pub fn record(&self) -> Option<&GroupRecord> {
        self.facts.row.record.as_ref()
    }

    /// Evaluates timeouts. The caller calls this at least every 50 ms.
    pub fn tick(&mut self, now: Timestamp, view: &GroupView) -> Vec<PromotionEffect> {
        self.facts.note_tick(now);
        let mut effects = self.fire(Event::Tick, now, view);
        self.facts.repeat_orders(now, view, &mut effects);
        effects
    }

    /// Handles the answer to [`PromotionEffect::ReadRecord`]. `Ok(None)` means that the row does
    /// not exist.
    pub fn on_record_read(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        result: Result<Option<(RowVersion, GroupRecord)>, ReadFault>,
    ) -> Vec<PromotionEffect> {
        let sent = self.facts.calls.read_sent_at.take().unwrap_or(now);
        match result {
            Err(ReadFault) => {
                self.facts.read_later(now);
                Vec::new()
            }
            Ok(row) => {
                let (version, record) = row.map_or((RowVersion(0), None), |(v, r)| (v, Some(r)));
                if !self.facts.update_row(now, sent, version, record) {
                    self.facts.read_later(now);
                    return Vec::new();
                }
                self.facts.calls.retry_delay = RETRY_DELAY_MIN;
                self.facts.calls.next_read_at = now + REREAD_INTERVAL;
                self.fire(Event::RecordRead, now, view)
            }
        }
    }

    /// Handles the answer to the [`PromotionEffect::SwapRecord`] that carried `record`. An answer
    /// to an earlier attempt is ignored.
    pub fn on_record_swapped(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        record: &GroupRecord,
        result: Result<RowVersion, SwapFault>,
    ) -> Vec<PromotionEffect> {
        let attempt = self.facts.attempt.as_ref().filter(|attempt| attempt.record == *record);
        let Some(swaps) = attempt.map(|attempt| attempt.swaps) else { return Vec::new() };
        let event = match result {
            Ok(version) => {
                self.facts.calls.retry_delay = RETRY_DELAY_MIN;
                self.facts.update_row(now, now, version, Some(record.clone()));
                Event::Swapped
            }
            // A repeated compare-and-set may conflict with its own first call, so the row is read
            // to find out.
            Err(SwapFault::Conflict) if swaps == 1 => Event::Conflict,
            Err(SwapFault::Conflict | SwapFault::Unknown) => Event::Uncertain,
        };
        self.fire(event, now, view)
    }

    /// Handles the status with which an endpoint answered [`PromotionEffect::Fence`].
    pub fn on_fenced(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        endpoint: &EndpointId,
        status: EndpointStatus,
    ) -> Vec<PromotionEffect> {
        if let Some(attempt) = &mut self.facts.attempt {
            attempt.store_fenced_status(endpoint, status);
        }
        self.fire(Event::Fenced, now, view)
    }

    /// Handles an endpoint's report that it carried out an order. The caller passes the endpoint's
    /// status to [`GroupView::on_status`] as well.
    pub fn on_order_done(&mut self, now: Timestamp, view: &GroupView) -> Vec<PromotionEffect> {
        self.tick(now, view)
    }

    /// Handles an order that an endpoint refused, because it is fenced to a higher term, or did not
    /// answer. The row is read again, and the order is repeated while the record requires it.
    pub fn on_order_failed(&mut self, now: Timestamp) {
        self.facts.calls.next_read_at = self.facts.calls.next_read_at.min(now);
        self.facts.row.last_read_sent = None;
    }

    fn fire(&mut self, event: Event, now: Timestamp, view: &GroupView) -> Vec<PromotionEffect> {
        let mut effects = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let facts = &self.facts;
            let step = self.machine.fire(event, |guard| facts.holds(guard, now, view));
            for action in step.actions {
                self.facts.run_action(*action, now, view, &mut effects);
            }
            if step.to == State::Choosing {
                next = Some(Event::Chosen);
            }
        }
        effects
    }
}
