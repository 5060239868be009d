//! The side of a caller's actor that accounts for the memory that its connection holds.

use bytes::BytesMut;
use stakker::{fwd, CX};

use super::caller::{CallerEvent, LineCaller, Phase};
use crate::core::buffers::OWN_PART;
use crate::net::stream::{Stream, StreamState};
use crate::types::ByteCount;

/// Change of the held bytes that is reported, so that ordinary statements cause no reports.
const REPORT_STEP: u64 = 4 * 1024;

/// What was reported of the memory that a connection holds.
#[derive(Debug, Default)]
pub(super) struct HoldingReports {
    /// Whether the connection may read a long message.
    pub has_room: bool,
    /// Whether it has asked for that.
    has_asked: bool,
    /// Bytes of the statement at work.
    pub at_work_bytes: usize,
    reported: ByteCount,
    reported_busy: bool,
}

impl LineCaller {
    /// Asks for room if the next message is longer than the connection's own part.
    pub(super) fn ask_for_room(&mut self) {
        let reads = matches!(self.phase, Phase::Starting | Phase::Idle | Phase::Relaying);
        let is_long = self.stream.input.len() as u64 >= OWN_PART.0;
        let holding = &mut self.holding;
        if !reads || !is_long || holding.has_room || holding.has_asked {
            return;
        }
        if !self.lines.has_line(&self.stream.input) {
            holding.has_asked = true;
            fwd!([self.hub], CallerEvent::NeedsRoom);
        }
    }

    /// Reads a long message, for which there is room now.
    pub fn give_room(&mut self, cx: CX![]) {
        self.holding.has_room = true;
        match self.read_input(cx) {
            StreamState::Open => self.flush(cx),
            StreamState::Closed(_) => self.disconnect(cx),
        }
        self.report_holding();
    }

    /// Closes the connection, so that others can be served.
    pub fn displace(&mut self, cx: CX![]) {
        let in_progress = match (&self.home, self.phase) {
            (_, Phase::Busy) => true,
            (Some(home), _) => !home.ledger.is_settled() || !home.ledger.is_idle(),
            (None, _) => false,
        };
        if in_progress {
            self.end_when_idle(cx);
        } else {
            self.disconnect(cx);
        }
    }

    /// Closes the connection at once, because it holds too much memory.
    pub fn release(&mut self, cx: CX![]) {
        self.disconnect(cx);
    }

    /// Reports what the connection holds, if that has changed by much.
    pub(super) fn report_holding(&mut self) {
        let of_stream = |stream: &Stream| capacity(&stream.input) + capacity(&stream.output);
        let of_home =
            self.home.as_ref().map_or(0, |home| of_stream(&home.stream) + capacity(&home.deferred));
        let at_work = self.holding.at_work_bytes as u64;
        let bytes = ByteCount(of_stream(&self.stream) + of_home + at_work);
        let relays = self.home.as_ref().is_some_and(|home| !home.ledger.is_settled());
        let is_busy = self.phase == Phase::Busy || relays;
        let holding = &mut self.holding;
        let (is_small, was_small) = (bytes < OWN_PART, holding.reported < OWN_PART);
        let is_changed = bytes.0.abs_diff(holding.reported.0) >= REPORT_STEP
            || is_small != was_small
            || (!is_small && is_busy != holding.reported_busy);
        if !is_changed {
            return;
        }
        (holding.reported, holding.reported_busy) = (bytes, is_busy);
        if is_small {
            (holding.has_room, holding.has_asked) = (false, false);
        }
        fwd!([self.hub], CallerEvent::Holds { bytes, is_busy });
    }
}

/// Bytes of memory of a buffer; one that has grown by doubling may be half empty.
fn capacity(buffer: &BytesMut) -> u64 {
    buffer.capacity() as u64
}
