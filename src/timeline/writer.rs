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
    pub max_unstored_bytes: usize,
}

impl Default for WriterLimits {
    /// One second, 256 KiB, and 4 MiB, which hold 16 full segments during an outage of the store.
    fn default() -> Self {
        Self {
            segment_ms: DurationMs(1_000),
            segment_bytes: 256 * 1024,
            max_unstored_bytes: 4 * 1024 * 1024,
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
    next_sequence: u64,
    open_content: Vec<u8>,
    opened_at: Option<Timestamp>,
    closed: VecDeque<Segment>,
    in_flight: bool,
    dropped: u64,
}

impl SegmentWriter {
    /// Creates a writer without records.
    pub fn new(host: &HostId, incarnation: Incarnation, limits: WriterLimits) -> Self {
        Self {
            prefix: format!("timeline/{host}-{incarnation}"),
            limits,
            next_sequence: 0,
            open_content: Vec::new(),
            opened_at: None,
            closed: VecDeque::new(),
            in_flight: false,
            dropped: 0,
        }
    }

    /// Bytes of all records that are not stored yet.
    pub fn unstored_bytes(&self) -> usize {
        self.open_content.len()
            + self.closed.iter().map(|segment| segment.content.len()).sum::<usize>()
    }

    /// Appends a record to the open segment, or drops and counts it if the limit is reached.
    pub fn add(&mut self, now: Timestamp, record: &Record) {
        let line = record.to_line();
        if self.unstored_bytes() + line.len() > self.limits.max_unstored_bytes {
            self.dropped += 1;
            return;
        }
        self.opened_at.get_or_insert(now);
        self.open_content.extend_from_slice(&line);
        if self.open_content.len() >= self.limits.segment_bytes {
            self.close_segment();
        }
    }

    /// Number of records dropped since the last call that returned a number. It is withheld until
    /// at least half of the limit is free again, so that there is room for the record of the
    /// number.
    pub fn take_dropped(&mut self) -> Option<u64> {
        if self.dropped == 0 || self.unstored_bytes() > self.limits.max_unstored_bytes / 2 {
            return None;
        }
        Some(std::mem::take(&mut self.dropped))
    }

    /// The segment to store now; `None` while another one is being stored. The caller reports the
    /// outcome with `on_stored`.
    pub fn due(&mut self, now: Timestamp) -> Option<Segment> {
        if self.opened_at.is_some_and(|opened_at| now >= opened_at + self.limits.segment_ms) {
            self.close_segment();
        }
        if self.in_flight {
            return None;
        }
        let segment = self.closed.front().cloned();
        self.in_flight = segment.is_some();
        segment
    }

    /// Reports whether the segment that `due` returned was stored. If not, `due` returns it again.
    /// Storing a segment twice is harmless, because its name and content stay the same.
    pub fn on_stored(&mut self, stored: bool) {
        if stored && self.in_flight {
            self.closed.pop_front();
        }
        self.in_flight = false;
    }

    /// Closes the open segment. Called before the host stops.
    pub fn flush(&mut self) {
        self.close_segment();
    }

    fn close_segment(&mut self) {
        self.opened_at = None;
        if self.open_content.is_empty() {
            return;
        }
        let content = std::mem::take(&mut self.open_content);
        let name = format!("{}/{:012}", self.prefix, self.next_sequence);
        let name = name.parse().expect("host ids and numbers are valid in object names");
        self.next_sequence += 1;
        self.closed.push_back(Segment { name, content });
    }
}
