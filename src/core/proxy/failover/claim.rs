//! Claims: contents of a group's row.

use crate::types::{AttemptId, EndpointId, HostId, RowVersion, Term};

/// Content of a group's row: the current or the last failover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Host that wrote the claim.
    pub holder: HostId,
    /// Distinguishes the claims of one host, so that it recognises its own after a lost answer.
    pub attempt: AttemptId,
    /// The new primary, once it is confirmed.
    pub leader: Option<EndpointId>,
    /// Endpoint whose promotion may have been requested, where the platform checks no tokens.
    pub chosen: Option<EndpointId>,
    /// Term of the last completed promotion. An endpoint of a lower term has missed that promotion
    /// and all later commits; promoting it would restore commits that were rolled back.
    pub term: Term,
}

impl Claim {
    /// Whether this claim, of an earlier era of the store, is newer than the row that was read after
    /// a restore, so that the restore has lost it.
    pub fn supersedes(&self, read: Option<&Claim>) -> bool {
        let Some(read) = read else { return true };
        let same_attempt = (&read.holder, read.attempt) == (&self.holder, self.attempt);
        let step_is_lost = match (&read.leader, &self.leader) {
            (None, Some(_)) => same_attempt,
            (Some(_), None) => !same_attempt,
            _ => false,
        };
        read.term < self.term || read.term == self.term && step_is_lost
    }
}

/// Why a claim was not written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimError {
    /// The row has another version; its version and content.
    Taken(RowVersion, Option<Claim>),
    /// The store did not answer; the claim may have been written.
    Unknown,
    /// The store refused the write; nothing was written.
    Refused,
}
