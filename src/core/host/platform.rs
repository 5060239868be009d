//! Handles answers of the platform and messages of peers.

use super::HostCore;
use crate::core::broker::{EndpointSpec, GroupSpec};
use crate::core::limit::{TokenRequest, Transfer};
use crate::core::rows::HostRow;
use crate::core::share::{LiveHost, SeenRow, WriteResult};
use crate::core::view::{Snapshot, Statement};
use crate::tables::{CheckedTables, EndpointState};
use crate::types::{AttemptId, CommitSeq, DurationMs, HostId, TableVersion, Timestamp};

/// The database groups of a table version.
pub(super) fn group_specs(tables: &CheckedTables) -> Vec<GroupSpec> {
    let groups = tables.groups().iter();
    let spec = groups.map(|(group, members)| GroupSpec {
        group: group.clone(),
        endpoints: members
            .values()
            .map(|member| EndpointSpec {
                endpoint: member.endpoint.clone(),
                address: member.address,
                failure_domain: member.failure_domain.clone(),
                connections: u64::from(member.connections.0),
                leaving: member.state == EndpointState::Leaving,
            })
            .collect(),
    });
    spec.collect()
}

impl HostCore {
    /// The host's row was written by a transaction sent at `sent_at`.
    pub fn on_renewed(&mut self, now: Timestamp, sent_at: Timestamp, commit_seq: CommitSeq) {
        self.view.on_renewed(now, sent_at, commit_seq);
    }

    /// The renewal of the host's row failed or was not answered.
    pub fn on_renewal_failed(&mut self) {
        self.view.on_renewal_failed();
    }

    /// Handles the answer to `ReadView`: the snapshot and the rows `hosts/*` from which its members
    /// were taken; `None` if the read failed or was not answered.
    pub fn on_view_read(&mut self, now: Timestamp, read: Option<(Snapshot, Vec<HostRow>)>) {
        let Some((snapshot, rows)) = read else { return self.view.on_read_failed() };
        let live = self.roster.on_rows(now, &rows);
        self.on_hosts(now, &live);
        let effects = self.view.on_read(now, snapshot);
        self.view_effects(now, effects);
    }

    fn on_hosts(&mut self, now: Timestamp, hosts: &[LiveHost]) {
        let names: Vec<HostId> = hosts.iter().map(|host| host.host.clone()).collect();
        self.broker.set_hosts(&names);
        let mut effects = Vec::new();
        self.share_keeper.on_hosts(now, hosts, &mut effects);
        self.share_effects(now, effects);
    }

    /// Handles the answer to `ReadShares`; `None` if the read failed.
    pub fn on_shares_read(&mut self, now: Timestamp, rows: Option<&[SeenRow]>) {
        let mut effects = Vec::new();
        self.share_keeper.on_rows(now, rows, &mut effects);
        self.share_effects(now, effects);
    }

    /// Handles the answer to `WriteShares`.
    pub fn on_shares_written(&mut self, now: Timestamp, attempt: AttemptId, result: WriteResult) {
        let mut effects = Vec::new();
        self.share_keeper.on_result(now, attempt, result, &mut effects);
        self.share_effects(now, effects);
    }

    /// This host's statement about its view, for a peer that asked for it.
    pub fn statement(&self, now: Timestamp) -> Statement {
        self.view.statement(now)
    }

    /// Handles a peer's statement in answer to a request sent at `asked_at`.
    pub fn on_statement(&mut self, now: Timestamp, asked_at: Timestamp, statement: Statement) {
        let effects = self.view.on_statement(now, asked_at, statement);
        self.view_effects(now, effects);
    }

    /// Handles a peer's snapshot in answer to a request sent at `asked_at`.
    pub fn on_peer_snapshot(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        age: Option<DurationMs>,
        snapshot: Snapshot,
    ) {
        let effects = self.view.on_peer_snapshot(now, asked_at, age, snapshot);
        self.view_effects(now, effects);
    }

    /// Handles a peer's announcement that it adopted a table version.
    pub fn on_announced(&mut self, now: Timestamp, version: TableVersion) {
        self.view.on_announced(now, version);
    }

    /// Handles a peer's request for tokens and returns the answer to send, if any.
    pub fn on_token_request(
        &mut self,
        now: Timestamp,
        from: &HostId,
        request: &TokenRequest,
    ) -> Option<Transfer> {
        self.limiter.on_request(now, from, request)
    }

    /// Handles a peer's answer to a request for tokens.
    pub fn on_transfer(&mut self, now: Timestamp, from: &HostId, transfer: &Transfer) {
        let mut effects = Vec::new();
        self.limiter.on_transfer(now, from, transfer, &mut effects);
        self.limit_effects(now, effects);
    }
}
