//! Decides which hosts are alive, by when this host's clock last saw their rows renewed.

use std::collections::BTreeMap;

use crate::core::rows::{HostRow, HostState};
use crate::core::share::LiveHost;
use crate::types::{DurationMs, HostId, Incarnation, Renewals, Timestamp};

/// Time without a renewal after which a host counts as down or partitioned. Hosts renew their rows
/// every second, but a slow platform may delay several renewals.
const SILENT_AFTER: DurationMs = DurationMs(15_000);

#[derive(Debug)]
struct Seen {
    incarnation: Incarnation,
    renewals: Renewals,
    changed: Timestamp,
}

/// When each host's row was last seen to change.
#[derive(Debug, Default)]
pub struct Roster {
    seen: BTreeMap<HostId, Seen>,
}

impl Roster {
    /// Records all rows `hosts/*` of one read and returns the hosts that are alive and not leaving.
    pub fn on_rows(&mut self, now: Timestamp, rows: &[HostRow]) -> Vec<LiveHost> {
        self.seen.retain(|host, _| rows.iter().any(|row| row.host == *host));
        let mut live = Vec::new();
        for row in rows {
            let (incarnation, renewals) = (row.incarnation, row.renewals);
            let fresh = || Seen { incarnation, renewals, changed: now };
            let seen = self.seen.entry(row.host.clone()).or_insert_with(fresh);
            if (seen.incarnation, seen.renewals) != (incarnation, renewals) {
                *seen = fresh();
            }
            let silent = now >= seen.changed + SILENT_AFTER;
            if !silent && row.state != HostState::Leaving {
                let (host, address) = (row.host.clone(), row.address);
                live.push(LiveHost { host, incarnation, address });
            }
        }
        live
    }
}
