//! Platform calls for the host's row, the tables and members, the share slots and the group records.

use std::sync::Arc;

use serde_json::Value;
use stakker::{call, ret_some_to, CX};

use super::Host;
use crate::core::promotion::{GroupRecord, ReadFault, SwapFault};
use crate::core::rows::{HostRow, HostState};
use crate::core::share::{SeenRow, ShareWrite, WriteResult};
use crate::core::store::{Answer, Call, Check, Commit, Rows, Transaction, Write};
use crate::core::view::{Member, Renewal, Snapshot};
use crate::net::platform::CallResult;
use crate::types::{AttemptId, CommitSeq, GroupId, Renewals, RowKey, RowVersion, TableName};
use crate::wire::rows::{group_row, JsonRow};
use crate::wire::tables::read_config;

/// Table of the rows `hosts/<id>`.
const HOSTS: &str = "hosts";
/// Table of the row `config/current`.
const CONFIG: &str = "config";
/// Table of the rows `groups/<group>`.
const GROUPS: &str = "groups";
/// Table of the rows `shares/<n>`.
const SHARES: &str = "shares";

fn table_name(name: &str) -> TableName {
    name.parse().expect("table names are valid")
}

fn read_call(name: &str, prefix: Option<RowKey>) -> Call<Value> {
    Call::Read { table: table_name(name), prefix }
}

fn rows_from(result: CallResult) -> Option<Rows<Value>> {
    match result {
        Ok(Answer::Rows(rows)) => Some(rows),
        Ok(_) => None,
        Err(error) => {
            tracing::info!("platform: read failed: {error}");
            None
        }
    }
}

impl Host {
    /// Starts a platform call; `on_result` handles its result.
    fn platform_call(
        &mut self,
        cx: CX![],
        call: Call<Value>,
        on_result: impl FnOnce(&mut Self, CX![], CallResult) + 'static,
    ) {
        let ret = ret_some_to!([cx], |this, cx, result: CallResult| {
            on_result(this, cx, result);
            this.carry_out(cx);
        });
        call!([self.platform], call(call, ret));
    }

    /// Writes the host's row.
    pub(super) fn renew(&mut self, cx: CX![], renewal: &Renewal) {
        let sent_at = self.now(cx);
        self.renewals = Renewals(self.renewals.0 + 1);
        let row = self.host_row(renewal);
        let (key, value) = JsonRow::from(&row);
        // Written without a version check, because only this host writes the row and a newer
        // incarnation must replace the row of an older one.
        let writes = vec![Write { table: table_name(HOSTS), key, value: Some(value) }];
        let call = Call::Transact(Transaction { checks: Vec::new(), writes });
        self.platform_call(cx, call, move |this, cx, result| {
            let now = this.now(cx);
            match result {
                Ok(Answer::Commit(Commit::Committed(seq))) => {
                    this.monotonic_rows.on_commit(seq);
                    this.core.on_renewed(now, sent_at, seq);
                }
                other => {
                    tracing::info!("platform: renewal of the host's row failed: {other:?}");
                    this.core.on_renewal_failed();
                }
            }
        });
    }

    fn host_row(&self, renewal: &Renewal) -> HostRow {
        let spec = self.core.spec();
        let state = if self.leaving {
            HostState::Leaving
        } else if renewal.confirmed.is_none() {
            HostState::Starting
        } else {
            HostState::Live
        };
        HostRow {
            host: spec.host.clone(),
            incarnation: spec.incarnation,
            address: spec.address,
            failure_domain: spec.home.clone(),
            state,
            confirmed: renewal.confirmed,
            renewals: self.renewals,
            registered: renewal.registered,
            members_seen: renewal.members_seen,
            attempt: AttemptId(self.renewals.0),
        }
    }

    /// Reads the members and then the tables. The snapshot gets the commit sequence of the members,
    /// so its tables are at least as new as it claims.
    pub(super) fn read_hosts(&mut self, cx: CX![]) {
        self.platform_call(cx, read_call(HOSTS, None), |this, cx, result| {
            let rows = rows_from(result).and_then(|rows| this.reject_stale(rows));
            match rows {
                Some(rows) => this.read_config(cx, rows),
                None => {
                    let now = this.now(cx);
                    this.core.on_view_read(now, None);
                }
            }
        });
    }

    /// Rejects rows of an older commit than this host has already seen.
    fn reject_stale(&mut self, rows: Rows<Value>) -> Option<Rows<Value>> {
        match self.monotonic_rows.accept(rows) {
            Ok(rows) => Some(rows),
            Err(stale) => {
                tracing::warn!("platform: {stale}");
                None
            }
        }
    }

    fn read_config(&mut self, cx: CX![], hosts: Rows<Value>) {
        self.platform_call(cx, read_call(CONFIG, None), move |this, cx, result| {
            let now = this.now(cx);
            let config = rows_from(result).and_then(|rows| this.reject_stale(rows));
            let read = config.and_then(|config| parse_view(&hosts, &config));
            let read = read.map(|ReadView { snapshot, rows, text }| {
                this.set_peer_targets(&rows);
                this.peers.keep_table_text(snapshot.tables.version(), text);
                (snapshot, rows)
            });
            this.core.on_view_read(now, read);
            this.drop_old_table_texts();
        });
    }

    /// Reads the share slots.
    pub(super) fn read_shares(&mut self, cx: CX![]) {
        self.platform_call(cx, read_call(SHARES, None), |this, cx, result| {
            let now = this.now(cx);
            let rows = rows_from(result).and_then(|rows| this.reject_stale(rows));
            let seen_rows: Option<Vec<SeenRow>> = rows.map(|rows| {
                rows.rows.iter().filter_map(|row| SeenRow::try_from(row).ok()).collect()
            });
            this.core.on_shares_read(now, seen_rows.as_deref());
        });
    }

    /// Writes share slots in one transaction that fails if one of them has changed.
    pub(super) fn write_shares(&mut self, cx: CX![], attempt: AttemptId, writes: &[ShareWrite]) {
        let rows: Vec<(RowVersion, JsonRow)> =
            writes.iter().map(|write| (write.expected, JsonRow::from(write))).collect();
        let check = |(version, (key, _)): &(RowVersion, JsonRow)| Check {
            table: table_name(SHARES),
            key: key.clone(),
            version: *version,
        };
        let write = |(_, (key, value)): &(RowVersion, JsonRow)| Write {
            table: table_name(SHARES),
            key: key.clone(),
            value: Some(value.clone()),
        };
        let transaction = Transaction {
            checks: rows.iter().map(check).collect(),
            writes: rows.iter().map(write).collect(),
        };
        self.platform_call(cx, Call::Transact(transaction), move |this, cx, result| {
            let now = this.now(cx);
            let result = match result {
                Ok(Answer::Commit(Commit::Committed(seq))) => {
                    WriteResult::Applied(RowVersion(seq.0))
                }
                Ok(Answer::Commit(Commit::Conflicts(_))) => WriteResult::Conflict,
                Err(error) if error.had_no_effect() => WriteResult::Conflict,
                _ => WriteResult::Unknown,
            };
            this.core.on_shares_written(now, attempt, result);
        });
    }

    /// Reads the record of a group.
    pub(super) fn read_record(&mut self, cx: CX![], group: &GroupId) {
        let group = group.clone();
        let key: RowKey = group.as_str().parse().expect("group ids are valid row keys");
        self.platform_call(cx, read_call(GROUPS, Some(key)), move |this, cx, result| {
            let now = this.now(cx);
            let rows = rows_from(result).and_then(|rows| this.reject_stale(rows));
            let record = rows.ok_or(ReadFault).and_then(|rows| find_record(&group, &rows));
            if let Ok(Some((_, record))) = &record {
                this.broadcast_record(&group, record);
            }
            this.core.broker_mut().on_record_read(now, &group, record);
        });
    }

    /// Replaces the record of a group if its row still has the version `expected`.
    pub(super) fn swap_record(
        &mut self,
        cx: CX![],
        group: &GroupId,
        expected: RowVersion,
        record: GroupRecord,
    ) {
        let group = group.clone();
        let (key, value) = group_row(&group, &record);
        let swap = Transaction::swap(table_name(GROUPS), key, expected, Some(value));
        self.platform_call(cx, Call::Transact(swap), move |this, cx, result| {
            let now = this.now(cx);
            let result = match result {
                Ok(Answer::Commit(Commit::Committed(seq))) => Ok(RowVersion(seq.0)),
                Ok(Answer::Commit(Commit::Conflicts(_))) => Err(SwapFault::Conflict),
                _ => Err(SwapFault::Unknown),
            };
            if result.is_ok() {
                this.broadcast_record(&group, &record);
            }
            this.core.broker_mut().on_record_swapped(now, &group, &record, result);
        });
    }

    /// Removes the host's row and reports the stop, also if the removal fails.
    pub(super) fn deregister(&mut self, cx: CX![]) {
        let key: RowKey = self.settings.host.as_str().parse().expect("host ids are row keys");
        let writes = vec![Write { table: table_name(HOSTS), key, value: None }];
        let call = Call::Transact(Transaction { checks: Vec::new(), writes });
        self.platform_call(cx, call, |this, cx, result| {
            if let Err(error) = result {
                tracing::warn!("platform: the host's row was not removed: {error}");
            }
            this.report_stopped(cx);
        });
    }
}

/// Result of reading the rows `hosts/*` and `config/current`.
struct ReadView {
    snapshot: Snapshot,
    rows: Vec<HostRow>,
    text: String,
}

/// Parses the rows; logs the fault and returns `None` if they are incomplete or invalid.
fn parse_view(hosts: &Rows<Value>, config: &Rows<Value>) -> Option<ReadView> {
    let mut rows = Vec::new();
    for row in &hosts.rows {
        match HostRow::try_from(row) {
            Ok(host) => rows.push(host),
            Err(fault) => {
                // With a member missing, the host would not know whose statements its view needs.
                tracing::error!("platform: {fault}");
                return None;
            }
        }
    }
    let current = config.rows.iter().find(|row| row.key.as_str() == "current");
    let Some(current) = current else {
        tracing::info!("platform: no tables have been committed yet");
        return None;
    };
    let text = current.value.to_string();
    let config = match read_config(&text) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!("platform: config/current cannot be parsed: {error}");
            return None;
        }
    };
    let tables = match config.tables.check() {
        Ok(tables) => Arc::new(tables),
        Err(faults) => {
            for fault in faults {
                tracing::error!("platform: config/current is not valid: {fault}");
            }
            return None;
        }
    };
    let members = rows
        .iter()
        .map(|row| Member { host: row.host.clone(), incarnation: row.incarnation })
        .collect();
    let snapshot = Snapshot { commit_seq: CommitSeq(hosts.commit_seq.0), tables, members };
    Some(ReadView { snapshot, rows, text })
}

/// Finds the record of `group`. The rows were read by prefix and may include groups whose names
/// start with this one.
fn find_record(
    group: &GroupId,
    rows: &Rows<Value>,
) -> Result<Option<(RowVersion, GroupRecord)>, ReadFault> {
    let Some(row) = rows.rows.iter().find(|row| row.key.as_str() == group.as_str()) else {
        return Ok(None);
    };
    let record = GroupRecord::try_from(row).map_err(|fault| {
        tracing::error!("platform: {fault}");
        ReadFault
    })?;
    Ok(Some((row.version, record)))
}
