//! Collects records into segments and bounds what waits for the object store.

use std::collections::VecDeque;

use super::Record;
use crate::types::{DurationMs, HostId, Incarnation, ObjectName, Timestamp};

/// Bounds of a writer.
#[derive(Debug, Clone, Copy)]
pub struct WriterLimits {
    /// Longest time that a record waits for its segment to end.
    pub segment_ms: DurationMs,
    /// Size at which a segment ends before that.
    pub segment_bytes: usize,
    /// Bytes that may wait for the object store; later records are dropped.
    pub waiting_bytes: usize,
}

impl Default for WriterLimits {
    /// A second, 256 KiB, and 4 MiB, which hold 16 full segments of an outage of the store.
    fn default() -> Self {
        Self {
            segment_ms: DurationMs(1_000),
            segment_bytes: 256 * 1024,
            waiting_bytes: 4 * 1024 * 1024,
        }
    }
}

/// An object to store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// `timeline/<host>-<incarnation>/<sequence>`.
    pub name: ObjectName,
    /// Records, one a line.
    pub content: Vec<u8>,
}

/// The segments of one host.
#[derive(Debug)]
pub struct SegmentWriter {
    prefix: String,
    limits: WriterLimits,
    sequence: u64,
    open: Vec<u8>,
    opened: Option<Timestamp>,
    waiting: VecDeque<Segment>,
    in_flight: bool,
    dropped: u64,
}

impl SegmentWriter {
    /// A writer without records.
    pub fn new(host: &HostId, incarnation: Incarnation, limits: WriterLimits) -> Self {
        Self {
            prefix: format!("timeline/{host}-{incarnation}"),
            limits,
            sequence: 0,
            open: Vec::new(),
            opened: None,
            waiting: VecDeque::new(),
            in_flight: false,
            dropped: 0,
        }
    }

    /// Bytes that are not stored yet.
    pub fn held_bytes(&self) -> usize {
        self.open.len() + self.waiting.iter().map(|segment| segment.content.len()).sum::<usize>()
    }

    /// Takes a record, or drops and counts it when there is no room.
    pub fn add(&mut self, now: Timestamp, record: &Record) {
        let line = record.to_line();
        if self.held_bytes() + line.len() > self.limits.waiting_bytes {
            self.dropped += 1;
            return;
        }
        self.opened.get_or_insert(now);
        self.open.extend_from_slice(&line);
        if self.open.len() >= self.limits.segment_bytes {
            self.end_segment();
        }
    }

    /// Records dropped since the last call, once there is room to record their number: half of the
    /// bound is free again.
    pub fn take_dropped(&mut self) -> Option<u64> {
        if self.dropped == 0 || self.held_bytes() > self.limits.waiting_bytes / 2 {
            return None;
        }
        Some(std::mem::take(&mut self.dropped))
    }

    /// The segment to store now; none while another one is on its way. `on_stored` must follow.
    pub fn due(&mut self, now: Timestamp) -> Option<Segment> {
        if self.opened.is_some_and(|opened| now >= opened + self.limits.segment_ms) {
            self.end_segment();
        }
        if self.in_flight {
            return None;
        }
        let segment = self.waiting.front().cloned();
        self.in_flight = segment.is_some();
        segment
    }

    /// The segment that `due` gave was stored, or was not and is due again. Storing it twice is
    /// harmless, because its name and content stay the same.
    pub fn on_stored(&mut self, stored: bool) {
        if stored && self.in_flight {
            self.waiting.pop_front();
        }
        self.in_flight = false;
    }

    /// Ends the segment that is open, before the host stops.
    pub fn flush(&mut self) {
        self.end_segment();
    }

    fn end_segment(&mut self) {
        self.opened = None;
        if self.open.is_empty() {
            return;
        }
        let content = std::mem::take(&mut self.open);
        let name = format!("{}/{:012}", self.prefix, self.sequence);
        let name = name.parse().expect("host ids and numbers are valid in object names");
        self.sequence += 1;
        self.waiting.push_back(Segment { name, content });
    }
}
