//! Schedule of a host's row renewals, table reads and requests to its peers.

use crate::types::{DurationMs, TableVersion, Timestamp};

/// Interval between two renewals of the host's row.
pub const RENEW_INTERVAL: DurationMs = DurationMs(1_000);

/// Interval between two reads of the tables. It is short because the time until the first host
/// confirms an edit adds to the 3.5 s that the edit tool waits for unconfirmed hosts, and the
/// target for the sum is 4 s.
pub const READ_INTERVAL: DurationMs = DurationMs(250);

/// Interval between two rounds of statement requests to the peers.
pub const PEER_REQUEST_INTERVAL: DurationMs = DurationMs(500);

/// Due times of the next steps, and which steps are waiting for their answers.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    renew_at: Timestamp,
    pub(super) renewing: bool,
    confirmed: Option<TableVersion>,
    pub(super) read_at: Timestamp,
    pub(super) reading: bool,
    request_peers_at: Timestamp,
}

impl Schedule {
    /// Whether a renewal is due, which then counts as sent. A new version is confirmed without
    /// delay, because the edit tool waits for it.
    pub(super) fn start_due_renewal(
        &mut self,
        now: Timestamp,
        version: Option<TableVersion>,
    ) -> bool {
        let due = !self.renewing && (now >= self.renew_at || version != self.confirmed);
        if due {
            self.renewing = true;
            self.confirmed = version;
            self.renew_at = now + RENEW_INTERVAL;
        }
        due
    }

    pub(super) fn on_renewed(&mut self, now: Timestamp) {
        self.renewing = false;
        self.read_at = now;
    }

    /// Whether a read is due, which then counts as sent.
    pub(super) fn start_due_read(&mut self, now: Timestamp) -> bool {
        let due = !self.reading && now >= self.read_at;
        if due {
            self.reading = true;
            self.read_at = now + READ_INTERVAL;
        }
        due
    }

    /// Whether a round of statement requests is due, which then counts as sent.
    pub(super) fn start_due_peer_request(&mut self, now: Timestamp) -> bool {
        let due = now >= self.request_peers_at;
        if due {
            self.request_peers_at = now + PEER_REQUEST_INTERVAL;
        }
        due
    }

    /// Returns the earliest due time among the steps that are not waiting for an answer.
    pub(super) fn next_due(&self) -> Timestamp {
        let renew = (!self.renewing).then_some(self.renew_at);
        let read = (!self.reading).then_some(self.read_at);
        renew.into_iter().chain(read).fold(self.request_peers_at, Timestamp::min)
    }
}
