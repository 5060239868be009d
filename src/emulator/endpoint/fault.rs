//! Faults that a test switches on over the control port.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use compact_str::CompactString;
use medlarstile::types::EndpointId;
use serde::Deserialize;

/// What happens to the next answer of a statement that takes a slot. The statement has its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// The connection closes without the answer.
    Drop,
    /// The first bytes of the answer are sent, then the connection closes.
    Truncate(usize),
}

/// Faults in force.
#[derive(Debug, Default)]
pub struct Faults {
    /// The endpoint reads nothing and answers nothing.
    pub frozen: bool,
    /// Members that replication with this endpoint is cut to.
    pub cut_members: BTreeSet<EndpointId>,
    /// Addresses or application names of clients, and ids of members, that are cut off. Their
    /// packets are lost in both directions.
    pub partitioned: BTreeSet<CompactString>,
    /// Fault of the next answer.
    pub next_answer: Option<AnswerFault>,
    /// Time that answers are held back after the statement has left its slot.
    pub answer_delay: Duration,
}

impl Faults {
    /// Whether a client is cut off.
    pub fn cuts_client(&self, peer: IpAddr, application: Option<&str>) -> bool {
        let listed = |name: &str| self.partitioned.contains(name);
        self.frozen || listed(&peer.to_string()) || application.is_some_and(listed)
    }

    /// Whether replication with a member is cut.
    pub fn cuts_member(&self, member: &EndpointId) -> bool {
        self.cut_members.contains(member) || self.partitioned.contains(member.as_str())
    }
}
