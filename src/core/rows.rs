//! The rows that hosts keep in the table service, and reads that never go back.

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
    /// Registered, does not serve yet.
    Starting,
    /// Serves.
    Live,
    /// Stops soon.
    Leaving,
}

/// Row `hosts/<id>`: registration of a host and the table version that it acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRow {
    /// Host that owns the row; the key of the row.
    pub host: HostId,
    /// Run of the host process.
    pub incarnation: Incarnation,
    /// Address at which peers reach the host.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Life-cycle state.
    pub state: HostState,
    /// Version of the tables that the host acts on, `None` before its first read.
    pub confirmed: Option<TableVersion>,
    /// Renewals of the row since registration.
    pub renewals: Renewals,
    /// Commit in which this incarnation registered, `None` until the host knows it.
    pub registered: Option<CommitSeq>,
    /// Commit of the member list that the host holds; it never uses an older one.
    pub members_seen: Option<CommitSeq>,
    /// Attempt that wrote the row.
    pub attempt: AttemptId,
}

/// read at commit {seen} ignored, a later commit {newest} is known
#[derive(Debug, Clone, Copy, PartialEq, Eq, DocDisplay)]
pub struct StaleRead {
    /// Commit of the ignored read.
    pub seen: CommitSeq,
    /// Latest commit known to the reader.
    pub newest: CommitSeq,
}

impl std::error::Error for StaleRead {}

/// A reader that never goes back to an earlier commit.
#[derive(Debug, Clone, Copy, Default)]
pub struct MonotonicRows {
    newest: CommitSeq,
    ignored: u64,
}

impl MonotonicRows {
    /// Passes a read on unless a later commit is known.
    ///
    /// # Errors
    ///
    /// The read is from an earlier commit than an earlier read or write of this reader.
    pub fn accept<V>(&mut self, read: Rows<V>) -> Result<Rows<V>, StaleRead> {
        if read.commit_seq < self.newest {
            self.ignored += 1;
            return Err(StaleRead { seen: read.commit_seq, newest: self.newest });
        }
        self.newest = read.commit_seq;
        Ok(read)
    }

    /// Learns of a commit otherwise, for example its own write; reads from before it are ignored.
    pub fn on_commit(&mut self, commit_seq: CommitSeq) {
        self.newest = self.newest.max(commit_seq);
    }

    /// Latest commit known.
    pub fn newest(&self) -> CommitSeq {
        self.newest
    }

    /// Reads ignored so far.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }
}
