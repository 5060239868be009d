//! Decides which hosts are alive, by when this host's clock last saw their rows renewed.

use std::collections::BTreeMap;

use crate::core::rows::{HostRow, HostState};
use crate::core::share::LiveHost;
use crate::types::{DurationMs, HostId, Incarnation, Renewals, Timestamp};

/// Time without a renewal after which a host counts as down or partitioned. Hosts renew their rows
/// every second, but a slow platform may delay several renewals.
const RENEWAL_TIMEOUT: DurationMs = DurationMs(15_000);

#[derive(Debug)]
struct LastRenewal {
    incarnation: Incarnation,
    renewals: Renewals,
    changed_at: Timestamp,
}

/// When each host's row was last seen to change.
#[derive(Debug, Default)]
pub struct Roster {
    last_renewals: BTreeMap<HostId, LastRenewal>,
}

impl Roster {
    /// Records all rows `hosts/*` of one read and returns the hosts that are alive and not leaving.
    pub fn on_rows(&mut self, now: Timestamp, rows: &[HostRow]) -> Vec<LiveHost> {
        self.last_renewals.retain(|host, _| rows.iter().any(|row| row.host == *host));
        let mut live = Vec::new();
        for row in rows {
            let (incarnation, renewals) = (row.incarnation, row.renewals);
            let new_entry = || LastRenewal { incarnation, renewals, changed_at: now };
            let last = self.last_renewals.entry(row.host.clone()).or_insert_with(new_entry);
            if (last.incarnation, last.renewals) != (incarnation, renewals) {
                *last = new_entry();
            }
            let timed_out = now >= last.changed_at + RENEWAL_TIMEOUT;
            if !timed_out && row.state != HostState::Leaving {
                let (host, address) = (row.host.clone(), row.address);
                live.push(LiveHost { host, incarnation, address });
            }
        }
        live
    }
}
