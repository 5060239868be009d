//! Batches records into segments and limits the bytes that wait to be stored.

use std::collections::VecDeque;

use super::Record;
use crate::types::{DurationMs, HostId, Incarnation, ObjectName, Timestamp};

/// Limits of a [`SegmentWriter`].
#[derive(Debug, Clone, Copy)]
pub struct WriterLimits {
    /// Age at which a segment is closed, counted from its first record.
    pub segment_ms: DurationMs,
    /// Size in bytes at which a segment is closed before it reaches that age.
    pub segment_bytes: usize,
    /// Largest number of bytes that are not stored yet; records beyond it are dropped.
    pub waiting_bytes: usize,
}

impl Default for WriterLimits {
    /// One second, 256 KiB, and 4 MiB, which hold 16 full segments during an outage of the store.
    fn default() -> Self {
        Self {
            segment_ms: DurationMs(1_000),
            segment_bytes: 256 * 1024,
            waiting_bytes: 4 * 1024 * 1024,
        }
    }
}

/// A closed segment, stored as one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Object name `timeline/<host>-<incarnation>/<sequence>`.
    pub name: ObjectName,
    /// Records, one JSON object per line.
    pub content: Vec<u8>,
}

/// Writes the records of one host into segments and hands them out one at a time to be stored.
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
    /// Creates a writer without records.
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

    /// Bytes of all records that are not stored yet.
    pub fn held_bytes(&self) -> usize {
        self.open.len() + self.waiting.iter().map(|segment| segment.content.len()).sum::<usize>()
    }

    /// Appends a record to the open segment, or drops and counts it if the limit is reached.
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

    /// Number of records dropped since the last call that returned a number. It is withheld until
    /// at least half of the limit is free again, so that there is room for the record of the
    /// number.
    pub fn take_dropped(&mut self) -> Option<u64> {
        if self.dropped == 0 || self.held_bytes() > self.limits.waiting_bytes / 2 {
            return None;
        }
        Some(std::mem::take(&mut self.dropped))
    }

    /// The segment to store now; `None` while another one is being stored. The caller reports the
    /// outcome with `on_stored`.
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

    /// Reports whether the segment that `due` returned was stored. If not, `due` returns it again.
    /// Storing a segment twice is harmless, because its name and content stay the same.
    pub fn on_stored(&mut self, stored: bool) {
        if stored && self.in_flight {
            self.waiting.pop_front();
        }
        self.in_flight = false;
    }

    /// Closes the open segment. Called before the host stops.
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
