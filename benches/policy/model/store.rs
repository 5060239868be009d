//! A fake of the platform's row store with compare-and-set, which can be down or slow.

use std::collections::BTreeMap;
use std::sync::Arc;

use medlarstile::core::promotion::{GroupRecord, SwapFault};
use medlarstile::core::rows::HostRow;
use medlarstile::core::share::{SeenRow, ShareRow, ShareSlot, ShareWrite, WriteResult};
use medlarstile::core::view::{Member, Snapshot};
use medlarstile::tables::CheckedTables;
use medlarstile::types::{AttemptId, CommitSeq, GroupId, HostId, RowVersion};

/// Condition of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    Down,
    Slow,
}

#[derive(Debug, Clone)]
pub enum Call {
    Renew(HostRow),
    Deregister(HostId),
    View,
    Shares,
    WriteShares(AttemptId, Vec<ShareWrite>),
    Record(GroupId),
    Swap(GroupId, RowVersion, GroupRecord),
}

/// Answer; `None` inside where the call failed.
#[derive(Debug, Clone)]
pub enum Answer {
    Renewed(Option<CommitSeq>),
    Deregistered,
    View(Option<(Snapshot, Vec<HostRow>)>),
    Shares(Option<Vec<SeenRow>>),
    SharesWritten(AttemptId, WriteResult),
    Record(GroupId, Option<Option<(RowVersion, GroupRecord)>>),
    Swapped(GroupId, GroupRecord, Result<RowVersion, SwapFault>),
}

pub struct Store {
    pub mode: Mode,
    pub tables: Arc<CheckedTables>,
    seq: u64,
    hosts: BTreeMap<HostId, HostRow>,
    shares: BTreeMap<ShareSlot, (RowVersion, ShareRow)>,
    groups: BTreeMap<GroupId, (RowVersion, GroupRecord)>,
}

impl Store {
    pub fn new(tables: Arc<CheckedTables>) -> Self {
        Self {
            mode: Mode::Up,
            tables,
            seq: 1,
            hosts: BTreeMap::new(),
            shares: BTreeMap::new(),
            groups: BTreeMap::new(),
        }
    }

    pub fn edit(&mut self, tables: Arc<CheckedTables>) {
        self.seq += 1;
        self.tables = tables;
    }

    pub fn apply(&mut self, call: Call) -> Answer {
        match call {
            Call::Renew(row) => {
                self.seq += 1;
                self.hosts.insert(row.host.clone(), row);
                Answer::Renewed(Some(CommitSeq(self.seq)))
            }
            Call::Deregister(host) => {
                self.seq += 1;
                self.hosts.remove(&host);
                Answer::Deregistered
            }
            Call::View => Answer::View(Some(self.view())),
            Call::Shares => {
                let seen = |(slot, (version, row)): (&ShareSlot, &(RowVersion, ShareRow))| {
                    SeenRow { slot: *slot, version: *version, row: row.clone() }
                };
                Answer::Shares(Some(self.shares.iter().map(seen).collect()))
            }
            Call::WriteShares(attempt, writes) => {
                Answer::SharesWritten(attempt, self.write_shares(&writes))
            }
            Call::Record(group) => {
                let record = self.groups.get(&group).cloned();
                Answer::Record(group, Some(record))
            }
            Call::Swap(group, expected, record) => {
                let present = self.groups.get(&group).map_or(RowVersion(0), |row| row.0);
                let result = if present == expected {
                    self.seq += 1;
                    self.groups.insert(group.clone(), (RowVersion(self.seq), record.clone()));
                    Ok(RowVersion(self.seq))
                } else {
                    Err(SwapFault::Conflict)
                };
                Answer::Swapped(group, record, result)
            }
        }
    }

    fn view(&self) -> (Snapshot, Vec<HostRow>) {
        let rows: Vec<HostRow> = self.hosts.values().cloned().collect();
        let member =
            |row: &HostRow| Member { host: row.host.clone(), incarnation: row.incarnation };
        let snapshot = Snapshot {
            commit_seq: CommitSeq(self.seq),
            tables: Arc::clone(&self.tables),
            members: rows.iter().map(member).collect(),
        };
        (snapshot, rows)
    }

    fn write_shares(&mut self, writes: &[ShareWrite]) -> WriteResult {
        let present = |slot| self.shares.get(&slot).map_or(RowVersion(0), |row| row.0);
        if writes.iter().any(|write| present(write.slot) != write.expected) {
            return WriteResult::Conflict;
        }
        self.seq += 1;
        let version = RowVersion(self.seq);
        for write in writes {
            self.shares.insert(write.slot, (version, write.row.clone()));
        }
        WriteResult::Applied(version)
    }
}

impl Call {
    /// The answer that a host takes a call without one for.
    pub fn failed(&self, sent: bool) -> Answer {
        match self {
            Call::Renew(_) => Answer::Renewed(None),
            Call::Deregister(_) => Answer::Deregistered,
            Call::View => Answer::View(None),
            Call::Shares => Answer::Shares(None),
            Call::WriteShares(attempt, _) => {
                let result = if sent { WriteResult::Unknown } else { WriteResult::Conflict };
                Answer::SharesWritten(*attempt, result)
            }
            Call::Record(group) => Answer::Record(group.clone(), None),
            Call::Swap(group, _, record) => {
                Answer::Swapped(group.clone(), record.clone(), Err(SwapFault::Unknown))
            }
        }
    }
}
