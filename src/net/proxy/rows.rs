//! Rows that a host reads from the store and writes to it.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use stakker::{after, call, CX};

use super::feed::{FeedEvent, FeedRows};
use super::host::{ProxyHost, OWN_TABLE, SECRET_KEY};
use super::store::{CallEnd, CallPurpose};
use crate::core::proxy::evacuation::EvacuationOrder;
use crate::core::proxy::failover::{Claim, ClaimError};
use crate::core::proxy::follow::HostRow;
use crate::core::proxy::group::EndpointEntry;
use crate::net::reactor::suspend_aware_clock;
use crate::platform::configuration::{self, Configuration, IgnoredEntry};
use crate::platform::discovery;
use crate::platform::store::{self, StoreRow, WriteAnswer};
use crate::types::{FailureDomain, GroupId, HostId, RowVersion, StoreEra, TableVersion, Timestamp};
use crate::wire::fleet_rows::{WireClaim, WireHostRow};

/// Prefix of the keys of the hosts' rows.
const HOST_KEY_PREFIX: &str = "host.";
/// Prefix of the keys of the groups' rows.
const GROUP_KEY_PREFIX: &str = "group.";
/// Ignored entries of a version of the configuration that are logged; all of them are counted.
const MAX_LOGGED_ENTRIES: usize = 20;
/// Pause before a failed write of a row is retried.
const REWRITE_PAUSE: Duration = Duration::from_millis(700);

impl ProxyHost {
    /// Writes this host's row, which stays until the host is removed from the fleet.
    pub(super) fn write_host_row(&mut self, _: CX![]) {
        self.is_registering = true;
        let value = WireHostRow::from(self.own_row()).to_json();
        let key = format_compact!("{HOST_KEY_PREFIX}{}", self.settings.host);
        let request = store::put_row(OWN_TABLE, &key, None, Some(&value));
        call!([self.store_calls], call(CallPurpose::Register, request));
    }

    fn own_row(&self) -> HostRow {
        HostRow {
            address: self.settings.peers,
            incarnation: self.incarnation,
            processor: self.settings.processor,
        }
    }

    /// Writes this host's row again if a restore of the store has lost it: the row was known in an
    /// earlier era than the newest one of which rows have been read.
    pub(super) fn register_again(&mut self, cx: CX![]) {
        let era = self.own_table_read.max(self.newest_host_row()).era();
        let known = self.hosts.get(&self.settings.host);
        if known.is_some_and(|(version, _)| version.era() < era) {
            self.write_lost_host_row(cx, era);
        }
    }

    fn write_lost_host_row(&mut self, cx: CX![], era: StoreEra) {
        if !self.is_registering {
            tracing::warn!(%era, "store: row of this host was lost, writing it again");
            self.write_host_row(cx);
        }
    }

    pub(super) fn write_claim(&mut self, group: &GroupId, version: RowVersion, claim: &Claim) {
        let value = WireClaim::from(claim).to_json();
        let key = format_compact!("{GROUP_KEY_PREFIX}{group}");
        let request = store::put_row(OWN_TABLE, &key, Some(version), Some(&value));
        call!([self.store_calls], call(CallPurpose::Claim(group.clone()), request));
    }

    pub(super) fn on_call_ended(&mut self, cx: CX![], end: CallEnd) {
        self.report.on_call(&end);
        let now = suspend_aware_clock();
        match end {
            CallEnd::Written(CallPurpose::Claim(group), answer) => {
                let result = match answer {
                    Some(WriteAnswer::Done(version)) => Ok(version),
                    Some(WriteAnswer::Changed(version, row)) => {
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
                match (answer, self.hosts.get_mut(&host)) {
                    (Some(WriteAnswer::Changed(version, _)), _) if version.is_absent() => {
                        self.hosts.remove(&host);
                        self.roster.remove(&host);
                    }
                    (Some(WriteAnswer::Changed(version, _)), Some((known_version, row))) => {
                        // The row of an earlier run, after a restore of the store.
                        *known_version = version;
                        self.roster.insert(now, host, version, row);
                    }
                    _ => {}
                }
            }
            // This host's secret was accepted, or another host's was first; the feed delivers it.
            CallEnd::Written(
                CallPurpose::Agree,
                Some(WriteAnswer::Done(_) | WriteAnswer::Changed(..)),
            ) => {}
            CallEnd::Written(CallPurpose::Agree, answer) => {
                tracing::warn!(?answer, "store: shared secret was not written");
                after!(REWRITE_PAUSE, [cx], propose_secret());
            }
            CallEnd::Written(_, Some(WriteAnswer::Done(version))) => {
                self.is_registering = false;
                self.adopt_host_row(cx, self.settings.host.clone(), version, self.own_row());
                // The store may have been restored since it accepted the row.
                self.register_again(cx);
            }
            CallEnd::Written(purpose, answer) => {
                tracing::warn!(?purpose, ?answer, "store: row was not written");
                after!(REWRITE_PAUSE, [cx], write_host_row());
            }
            CallEnd::Promoted(group, answer) => self.core.on_promoted(now, &group, answer),
        }
        self.carry_out(cx);
    }

    pub(super) fn on_feed_event(&mut self, cx: CX![], event: FeedEvent) {
        match event {
            FeedEvent::Rows(rows) if rows.table == store::CONFIGURATION_TABLE => {
                self.on_configuration_rows(&rows);
            }
            FeedEvent::Rows(rows) if rows.table == store::ENDPOINT_TABLE => {
                self.on_endpoint_rows(&rows);
            }
            FeedEvent::Rows(rows) => self.on_own_rows(cx, &rows),
            FeedEvent::Read(table, read) => {
                self.read_at.insert(table, read.received_at);
                if table == OWN_TABLE {
                    self.core.on_store_read(suspend_aware_clock(), read);
                }
            }
            FeedEvent::Reachable(table, reachable) => self.report.on_reachable(table, reachable),
            FeedEvent::Restored(_, era) => {
                self.report.on_era(era);
                for (_, feed) in &self.feeds {
                    call!([feed], on_restored(era));
                }
            }
            FeedEvent::CallEnded(table, outcome) => self.report.on_read(table, outcome),
        }
        self.carry_out(cx);
    }

    fn on_configuration_rows(&mut self, rows: &FeedRows) {
        let orders = rows.rows.iter().filter_map(read_evacuation).collect();
        let now = suspend_aware_clock();
        self.core.on_evacuation_rows(now, rows.version, rows.is_complete, orders);
        let row = rows.rows.iter().rev().find(|row| row.key == store::CONFIGURATION_KEY);
        let Some(value) = row.and_then(|row| row.value.as_deref()) else { return };
        self.adopt_configuration(value);
    }

    /// Adopts a configuration from the store or from another host, unless it is older than the one
    /// in use.
    pub(super) fn adopt_configuration(&mut self, text: &[u8]) {
        let Configuration { catalog, ignored } = match configuration::read(text) {
            Ok(read) => read,
            Err(detail) => {
                tracing::error!(detail, "configuration: version cannot be decoded");
                self.report.on_unreadable_configuration();
                return;
            }
        };
        let before = self.core.catalog().map(|known| known.version);
        if Some(catalog.version) > before {
            self.configuration = Some(Bytes::copy_from_slice(text));
            self.clear_outdated();
            log_ignored_entries(catalog.version, &ignored);
            self.report.on_ignored_entries(ignored.len());
        }
        self.core.set_catalog(suspend_aware_clock(), catalog);
        self.update_hosts();
    }

    fn on_endpoint_rows(&mut self, rows: &FeedRows) {
        let decoded = rows.rows.iter().map(|row| (row.key.clone(), read_entry(row)));
        let now = suspend_aware_clock();
        self.entries.apply(now, rows.version, rows.is_complete, decoded);
        let entries = self.entries.iter().cloned().collect();
        self.core.set_entries(now, entries);
    }

    fn on_own_rows(&mut self, cx: CX![], rows: &FeedRows) {
        let now = suspend_aware_clock();
        if rows.is_complete {
            let host_of =
                |row: &StoreRow| HostId::from_external(row.key.strip_prefix(HOST_KEY_PREFIX)?).ok();
            let listed: BTreeSet<HostId> = rows.rows.iter().filter_map(host_of).collect();
            // A row of an earlier era that is missing was lost by a restore and is written again by
            // its host, which goes on meanwhile and keeps its share of the rates.
            let is_kept = |host: &HostId, version: RowVersion| {
                listed.contains(host)
                    || version.era() < rows.version.era()
                    || version > rows.version
            };
            self.hosts.retain(|host, (version, _)| is_kept(host, *version));
            self.roster.retain(&self.hosts.keys().cloned().collect());
            self.hosts_read = true;
        }
        for row in &rows.rows {
            if let Some(host) = row.key.strip_prefix(HOST_KEY_PREFIX) {
                self.on_host_row(cx, host, row);
            } else if row.key == SECRET_KEY {
                self.on_secret_row(cx, row);
            } else if let Some(group) = row.key.strip_prefix(GROUP_KEY_PREFIX) {
                match GroupId::from_external(group) {
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
        if rows.is_complete && !rows.rows.iter().any(|row| row.key == SECRET_KEY) {
            self.propose_secret(cx);
        }
        if rows.is_complete {
            let group_of = |row: &StoreRow| {
                GroupId::from_external(row.key.strip_prefix(GROUP_KEY_PREFIX)?).ok()
            };
            let listed = rows.rows.iter().filter_map(group_of).collect();
            self.core.on_claim_rows_read(now, rows.version, &listed);
            self.own_table_read = rows.version;
            self.register_again(cx);
        }
        self.update_hosts();
    }

    fn on_host_row(&mut self, cx: CX![], host: &str, row: &StoreRow) {
        let host = match HostId::from_external(host) {
            Ok(host) => host,
            Err(error) => {
                tracing::warn!(host, %error, "store: key of a row names no valid host");
                return;
            }
        };
        match row.value.as_deref().map(WireHostRow::read) {
            Some(Ok(host_row)) => {
                if host == self.settings.host {
                    self.core.on_listed();
                }
                self.adopt_host_row(cx, host, row.version, host_row.into());
            }
            Some(Err(error)) => {
                tracing::warn!(host = host.as_str(), %error, "store: row of a host cannot be read")
            }
            None => {
                self.roster.remove(&host);
                if self.hosts.remove(&host).is_some() && host == self.settings.host {
                    // Another host removed the row because it had no link to this one for hours.
                    self.write_host_row(cx);
                }
            }
        }
    }

    /// Adopts a host's row from the store or from another host, unless a newer one is known.
    pub(super) fn adopt_host_row(
        &mut self,
        cx: CX![],
        host: HostId,
        version: RowVersion,
        row: HostRow,
    ) {
        if let Some((known_version, known)) = self.hosts.get(&host) {
            if *known_version >= version {
                return;
            }
            if known_version.era() < version.era() && row.incarnation < known.incarnation {
                // A restored store has the row of an earlier run. That of the present one is lost.
                if host == self.settings.host {
                    self.write_lost_host_row(cx, version.era());
                }
                return;
            }
        }
        if host != self.settings.host {
            self.roster.insert(suspend_aware_clock(), host.clone(), version, &row);
        }
        self.hosts.insert(host, (version, row));
    }

    /// Removes the rows of hosts that have been without a link for too long.
    pub(super) fn remove_absent(&mut self, now: Timestamp) {
        for (host, version) in self.roster.expired_hosts(now) {
            if self.removing.insert(host.clone()) {
                let key = format_compact!("{HOST_KEY_PREFIX}{host}");
                let request = store::put_row(OWN_TABLE, &key, Some(version), None);
                call!([self.store_calls], call(CallPurpose::Remove(host), request));
            }
        }
    }
}

fn log_ignored_entries(version: TableVersion, ignored: &[IgnoredEntry]) {
    for entry in ignored.iter().take(MAX_LOGGED_ENTRIES) {
        let IgnoredEntry { section, name, detail } = entry;
        tracing::error!(%version, section, name = name.as_deref(), detail,
            "configuration: entry is ignored");
    }
}

fn read_entry(row: &StoreRow) -> Option<EndpointEntry> {
    match discovery::read(&row.key, row.version, row.value.as_deref()?) {
        Ok(entry) => Some(entry),
        Err(detail) => {
            tracing::warn!(key = row.key.as_str(), detail, "discovery: entry is ignored");
            None
        }
    }
}

/// The order in a row of the operator; `None` if the row is for something else.
fn read_evacuation(row: &StoreRow) -> Option<EvacuationOrder> {
    let name = row.key.strip_prefix(store::EVACUATION_KEY_PREFIX)?;
    match FailureDomain::from_external(name) {
        Ok(failure_domain) => Some(EvacuationOrder {
            failure_domain,
            version: row.version,
            is_evacuated: row.value.is_some(),
        }),
        Err(error) => {
            tracing::warn!(name, %error, "evacuation: order names no valid failure domain");
            None
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
