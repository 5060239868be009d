//! Traffic counters of one connection to a peer.

use derive_more::{AddAssign, Display};

/// Datagrams and bytes of one connection. Bytes are those of UDP payloads, without IP and UDP
/// headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign, Display)]
#[display("{datagrams_out} datagrams of {bytes_out} bytes out, {datagrams_in} of {bytes_in} in")]
pub struct PeerCounters {
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

impl PeerCounters {
    /// Counts a datagram that was sent.
    pub fn sent(&mut self, bytes: usize) {
        self.datagrams_out += 1;
        self.bytes_out += bytes as u64;
    }

    /// Counts a datagram that was received.
    pub fn received(&mut self, bytes: usize) {
        self.datagrams_in += 1;
        self.bytes_in += bytes as u64;
    }
}
