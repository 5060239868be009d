//! Rows that a host reads from the store and writes to it.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use stakker::{after, call, CX};

use super::feed::{FeedEvent, FeedRows};
use super::host::{ProxyHost, OWN_TABLE, SECRET_KEY};
use super::store::{CallEnd, CallPurpose};
use crate::core::proxy::failover::{Claim, ClaimError};
use crate::net::reactor::suspend_aware_clock;
use crate::platform::store::{self, StoreRow, WriteAnswer};
use crate::platform::{configuration, discovery};
use crate::types::{GroupId, HostId, RowVersion, Timestamp};
use crate::wire::fleet_rows::{HostRow, WireClaim};

/// Prefix of the keys of the hosts' rows.
const HOST_KEY: &str = "host.";
/// Prefix of the keys of the groups' rows.
const GROUP_KEY: &str = "group.";
/// Pause before a failed write of a row is retried.
const REWRITE_PAUSE: Duration = Duration::from_millis(700);

impl ProxyHost {
    /// Writes this host's row, which stays until the host is removed from the fleet.
    pub(super) fn register(&mut self, _: CX![]) {
        let value =
            HostRow::new(self.settings.peers, self.incarnation, self.settings.processor).to_json();
        let key = format_compact!("{HOST_KEY}{}", self.settings.host);
        let request = store::put_row(OWN_TABLE, &key, None, Some(&value));
        call!([self.calls], call(CallPurpose::Register, request));
    }

    pub(super) fn claim(&mut self, group: &GroupId, version: RowVersion, claim: &Claim) {
        let value = WireClaim::from(claim).to_json();
        let key = format_compact!("{GROUP_KEY}{group}");
        let request = store::put_row(OWN_TABLE, &key, Some(version), Some(&value));
        call!([self.calls], call(CallPurpose::Claim(group.clone()), request));
    }

    pub(super) fn call_ended(&mut self, cx: CX![], end: CallEnd) {
        self.report.on_call(&end);
        let now = suspend_aware_clock();
        match end {
            CallEnd::Written(CallPurpose::Claim(group), answer) => {
                let result = match answer {
                    Some(WriteAnswer::Done(version)) => Ok(version),
                    Some(WriteAnswer::Changed(row)) => {
                        let version = row.as_ref().map_or(RowVersion(0), |row| row.version);
                        Err(ClaimError::Taken(version, row.as_ref().and_then(read_claim)))
                    }
                    Some(WriteAnswer::Refused(_)) => Err(ClaimError::Refused),
                    None => Err(ClaimError::Unknown),
                };
                tracing::info!(
                    group = group.as_str(),
                    ?result,
                    "failover: claim of a group was answered"
                );
                self.core.on_claimed(now, &group, result);
            }
            // The row was removed by this host or another one, or the host is back; otherwise the
            // removal is retried.
            CallEnd::Written(CallPurpose::Remove(host), answer) => {
                tracing::info!(removed = host.as_str(), ?answer, "store: removal of a row ended");
                self.removing.remove(&host);
            }
            // This host's secret was accepted, or another host's was first; the feed delivers it.
            CallEnd::Written(
                CallPurpose::Agree,
                Some(WriteAnswer::Done(_) | WriteAnswer::Changed(_)),
            ) => {}
            CallEnd::Written(CallPurpose::Agree, answer) => {
                tracing::warn!(?answer, "store: shared secret was not written");
                after!(REWRITE_PAUSE, [cx], propose_secret());
            }
            CallEnd::Written(purpose, answer) => {
                if !matches!(answer, Some(WriteAnswer::Done(_))) {
                    tracing::warn!(?purpose, ?answer, "store: row was not written");
                    after!(REWRITE_PAUSE, [cx], register());
                }
            }
            CallEnd::Promoted(group, answer) => self.core.on_promoted(now, &group, answer),
        }
        self.carry_out(cx);
    }

    pub(super) fn fed(&mut self, cx: CX![], event: FeedEvent) {
        match event {
            FeedEvent::Rows(rows) if rows.table == store::CONFIGURATION_TABLE => {
                self.take_configuration(&rows);
            }
            FeedEvent::Rows(rows) if rows.table == store::ENDPOINT_TABLE => {
                self.take_entries(&rows);
            }
            FeedEvent::Rows(rows) => self.take_own_rows(cx, &rows),
            FeedEvent::Reachable(table, reachable) => self.report.on_reachable(table, reachable),
        }
        self.carry_out(cx);
    }

    fn take_configuration(&mut self, rows: &FeedRows) {
        let row = rows.rows.iter().rev().find(|row| row.key == store::CONFIGURATION_KEY);
        let Some(value) = row.and_then(|row| row.value.as_deref()) else { return };
        self.adopt_configuration(value);
    }

    /// Adopts a configuration from the store or from another host, unless it is older than the one
    /// in use.
    pub(super) fn adopt_configuration(&mut self, text: &[u8]) {
        let catalog = match configuration::read(text) {
            Ok(catalog) => catalog,
            Err(detail) => {
                tracing::warn!(detail, "configuration: version cannot be decoded");
                return;
            }
        };
        let before = self.core.catalog().map(|known| known.version);
        if Some(catalog.version) > before {
            self.configuration = Some(Bytes::copy_from_slice(text));
            self.forget_behind();
        }
        self.core.set_catalog(suspend_aware_clock(), catalog);
        self.count_hosts();
    }

    fn take_entries(&mut self, rows: &FeedRows) {
        if rows.whole {
            self.entries.clear();
        }
        for row in &rows.rows {
            let entry =
                row.value.as_ref().map(|value| discovery::read(&row.key, row.version, value));
            match entry {
                Some(Ok(entry)) => {
                    self.entries.insert(row.key.clone(), entry);
                }
                Some(Err(detail)) => {
                    tracing::warn!(key = row.key.as_str(), detail, "discovery: entry is ignored");
                }
                None => {
                    self.entries.remove(&row.key);
                }
            }
        }
        let entries = self.entries.values().cloned().collect();
        self.core.set_entries(suspend_aware_clock(), entries);
    }

    fn take_own_rows(&mut self, cx: CX![], rows: &FeedRows) {
        let now = suspend_aware_clock();
        if rows.whole {
            let name = |row: &StoreRow| row.key.strip_prefix(HOST_KEY)?.parse().ok();
            let listed: BTreeSet<HostId> = rows.rows.iter().filter_map(name).collect();
            self.hosts.retain(|host, _| listed.contains(host));
            self.roster.retain(&listed);
            self.hosts_read = true;
        }
        for row in &rows.rows {
            if let Some(host) = row.key.strip_prefix(HOST_KEY) {
                self.take_host(cx, host, row);
            } else if row.key == SECRET_KEY {
                self.take_secret(cx, row);
            } else if let Some(group) = row.key.strip_prefix(GROUP_KEY) {
                match group.parse::<GroupId>() {
                    Ok(group) => {
                        let claim = read_claim(row);
                        self.core.on_claim_row(now, &group, row.version, claim.as_ref());
                    }
                    Err(error) => {
                        tracing::warn!(group, %error, "store: key of a row names no valid group")
                    }
                }
            }
        }
        if rows.whole && self.peers.is_none() && !rows.rows.iter().any(|row| row.key == SECRET_KEY)
        {
            self.propose_secret(cx);
        }
        self.count_hosts();
    }

    fn take_host(&mut self, cx: CX![], host: &str, row: &StoreRow) {
        let host = match host.parse::<HostId>() {
            Ok(host) => host,
            Err(error) => {
                tracing::warn!(host, %error, "store: key of a row names no valid host");
                return;
            }
        };
        match row.value.as_deref().map(HostRow::read) {
            Some(Ok(known)) => {
                if host != self.settings.host {
                    let now = suspend_aware_clock();
                    self.roster.insert(now, host.clone(), known.processor, row.version);
                }
                self.hosts.insert(host, known);
            }
            Some(Err(error)) => {
                tracing::warn!(host = host.as_str(), %error, "store: row of a host cannot be read")
            }
            None => {
                self.roster.remove(&host);
                if self.hosts.remove(&host).is_some() && host == self.settings.host {
                    // Another host removed the row because it had no link to this one for hours.
                    self.register(cx);
                }
            }
        }
    }

    /// Removes the rows of hosts that have been without a link for too long.
    pub(super) fn remove_absent(&mut self, now: Timestamp) {
        for (host, version) in self.roster.expired_hosts(now) {
            if self.removing.insert(host.clone()) {
                let key = format_compact!("{HOST_KEY}{host}");
                let request = store::put_row(OWN_TABLE, &key, Some(version), None);
                call!([self.calls], call(CallPurpose::Remove(host), request));
            }
        }
    }
}

fn read_claim(row: &StoreRow) -> Option<Claim> {
    let value = row.value.as_deref()?;
    match WireClaim::read(value) {
        Ok(claim) => Some(claim),
        Err(error) => {
            tracing::warn!(key = row.key.as_str(), %error, "store: row of a group cannot be read");
            None
        }
    }
}
