//! Adds timestamps to the core's decisions and stores them as timeline segments.

use std::time::Duration;

use serde_json::Value;
use stakker::{actor, call, ret_nop, ret_some_to, ActorOwn, CX};

use super::Host;
use crate::core::store::{Answer, Call};
use crate::net::platform::{CallResult, PlatformActor, PlatformSettings};
use crate::net::reactor::wall_clock;
use crate::timeline::{Clock, Decision, Event, Record, SegmentWriter, WriterLimits};
use crate::types::{DurationMs, Timestamp};

/// Delay after a failed write, so that an outage of the store does not cause a call every tick.
const RETRY_DELAY: DurationMs = DurationMs(500);

/// The timeline of one host. It has a platform actor with a worker thread of its own, so that a
/// slow object store does not delay the reads and renewals that keep the host's authority.
pub(super) struct HostTimeline {
    clock: Clock,
    writer: SegmentWriter,
    store: ActorOwn<PlatformActor>,
    /// Wall-clock time at the start of the host; the monotonic clock is added to it, so that changes
    /// of the system time have no effect.
    start_wall_time: Duration,
    /// Time before which no segment is stored, after a failed write.
    retry_at: Timestamp,
}

impl HostTimeline {
    pub(super) fn new(
        cx: &mut stakker::Cx<'_, Host>,
        spec: &crate::core::host::HostSpec,
        store: PlatformSettings,
    ) -> Self {
        Self {
            clock: Clock::new(spec.host.clone()),
            writer: SegmentWriter::new(&spec.host, spec.incarnation, WriterLimits::default()),
            store: actor!(cx, PlatformActor::init(store), ret_nop!()),
            start_wall_time: wall_clock(),
            retry_at: Timestamp(0),
        }
    }

    fn add(&mut self, now: Timestamp, decision: Decision) {
        let wall_time = self.start_wall_time + now.since(Timestamp(0));
        let wall_ms = u64::try_from(wall_time.as_millis()).unwrap_or(u64::MAX);
        let record = Record { stamp: self.clock.stamp(wall_ms), decision };
        self.writer.add(now, &record);
    }
}

impl Host {
    /// Adds the core's decisions since the last call to the timeline.
    pub(super) fn record_decisions(&mut self, now: Timestamp) {
        for decision in self.core.drain_decisions() {
            self.timeline.add(now, decision);
        }
    }

    /// Starts to store the next segment if one is due.
    pub(super) fn store_segment(&mut self, cx: CX![], now: Timestamp) {
        if let Some(count) = self.timeline.writer.take_dropped() {
            tracing::warn!("host: {count} timeline records were dropped");
            self.timeline.add(now, Decision::new(Event::RecordsDropped).detail(count));
        }
        if now < self.timeline.retry_at {
            return;
        }
        let Some(segment) = self.timeline.writer.due(now) else { return };
        let call: Call<Value> = Call::PutObject { name: segment.name, content: segment.content };
        let ret = ret_some_to!([cx], segment_stored() as (CallResult));
        call!([self.timeline.store], call(call, ret));
    }

    fn segment_stored(&mut self, cx: CX![], result: CallResult) {
        let now = self.now(cx);
        let stored = matches!(result, Ok(Answer::Stored));
        if let Err(error) = &result {
            tracing::info!("platform: a timeline segment was not stored: {error}");
            self.timeline.retry_at = now + RETRY_DELAY;
        }
        self.timeline.writer.on_stored(stored);
        if stored {
            self.store_segment(cx, now);
        }
    }

    /// Ends the open segment and starts to store it, before the host stops.
    pub(super) fn flush_timeline(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.record_decisions(now);
        self.timeline.writer.flush();
        self.store_segment(cx, now);
    }
}
