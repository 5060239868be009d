//! Registration rows that hosts keep in the table service, and reads that never return to an
//! earlier commit.

use std::net::SocketAddr;

use derive_more::{Display, FromStr};
use displaydoc::Display as DocDisplay;

use super::store::Rows;
use crate::types::{
    AttemptId, CommitSeq, FailureDomain, HostId, Incarnation, Renewals, TableVersion,
};

/// Life-cycle state of a host as other hosts and tools see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "lowercase")]
pub enum HostState {
    /// Registered but not serving yet.
    Starting,
    /// Serving.
    Live,
    /// About to stop.
    Leaving,
}

/// Row `hosts/<id>`: registration of a host, with the version of the tables that it acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRow {
    /// Host that owns the row; also the key of the row.
    pub host: HostId,
    /// Incarnation of the host process.
    pub incarnation: Incarnation,
    /// Address at which peers reach the host.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Life-cycle state.
    pub state: HostState,
    /// Version of the tables that the host acts on; `None` before its first read.
    pub confirmed: Option<TableVersion>,
    /// Number of renewals of the row since registration.
    pub renewals: Renewals,
    /// Commit in which this incarnation registered; `None` until the host has learned it.
    pub registered: Option<CommitSeq>,
    /// Commit of the member list that the host uses; it never returns to an older list.
    pub members_seen: Option<CommitSeq>,
    /// Attempt that wrote the row.
    pub attempt: AttemptId,
}

/// ignored a read at commit {seen}: a later commit {newest} is known
#[derive(Debug, Clone, Copy, PartialEq, Eq, DocDisplay)]
pub struct StaleRead {
    /// Commit of the ignored read.
    pub seen: CommitSeq,
    /// Latest commit known to the reader.
    pub newest: CommitSeq,
}

impl std::error::Error for StaleRead {}

/// Filter that drops reads from before the latest known commit.
#[derive(Debug, Clone, Copy, Default)]
pub struct MonotonicRows {
    newest: CommitSeq,
    ignored: u64,
}

impl MonotonicRows {
    /// Returns the read unless a later commit is known.
    ///
    /// # Errors
    ///
    /// The read is older than the latest commit known from previous reads or writes.
    pub fn accept<V>(&mut self, read: Rows<V>) -> Result<Rows<V>, StaleRead> {
        if read.commit_seq < self.newest {
            self.ignored += 1;
            return Err(StaleRead { seen: read.commit_seq, newest: self.newest });
        }
        self.newest = read.commit_seq;
        Ok(read)
    }

    /// Records a commit learned in another way, for example by a write. Reads from before it are
    /// ignored.
    pub fn on_commit(&mut self, commit_seq: CommitSeq) {
        self.newest = self.newest.max(commit_seq);
    }

    /// Latest known commit.
    pub fn newest(&self) -> CommitSeq {
        self.newest
    }

    /// Number of reads ignored so far.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }
}
