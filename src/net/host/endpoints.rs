//! Endpoint connections: carries out the broker's effects and reports connection events to it.

use std::net::SocketAddr;

use compact_str::{format_compact, CompactString};
use stakker::{actor, call, fwd_to, ret_some_to, StopCause, CX};

use super::{callers::missing_batch_error, Host};
use crate::core::broker::{BrokerEffect, JobReport, LossReport, OrderKind, Outcome};
use crate::core::transaction::TransactionState;
use crate::net::endpoint::{ConnectionEvent, EndpointConnection, Job, Target};
use crate::types::{ConnectionId, EndpointId, GroupId, RequestId, SessionId};
use crate::wire::pg::BackendKey;

/// Status probe. The endpoint answers with its `group_status` parameter.
const PROBE_SQL: &str = "SHOW group_status";

impl Host {
    pub(super) fn broker_effect(&mut self, cx: CX![], effect: BrokerEffect) {
        match effect {
            BrokerEffect::Connect { connection, endpoint, address } => {
                self.connect(cx, connection, &endpoint, address);
            }
            BrokerEffect::Close(id) => {
                if let Some(connection) = self.connections.get(&id) {
                    call!([connection], close());
                }
            }
            BrokerEffect::Send { connection, request, session, hold } => {
                self.send(connection, request, session, hold);
            }
            BrokerEffect::Probe(id) => self.run_host_sql(id, PROBE_SQL.into()),
            BrokerEffect::Order(id, order) => self.run_host_sql(id, order_sql(&order)),
            BrokerEffect::CancelRunning(id) => self.cancel_running(cx, id),
            BrokerEffect::Discard { session, request } => {
                if let Some(caller) = self.caller(session) {
                    call!([caller], discard(request));
                }
            }
            BrokerEffect::End { session, request, transaction, outcome } => {
                self.end_request(session, request, transaction, outcome);
            }
            BrokerEffect::Evict(session, error) => self.evict(session, error),
            BrokerEffect::ReadRecord(group) => self.read_record(cx, &group),
            BrokerEffect::SwapRecord { group, expected_version, record } => {
                self.swap_record(cx, &group, expected_version, record);
            }
        }
    }

    fn connect(&mut self, cx: CX![], id: ConnectionId, endpoint: &EndpointId, address: SocketAddr) {
        let database = self.group_of(id).map(|group| CompactString::from(group.as_str()));
        let credentials = std::rc::Rc::clone(&self.credentials);
        let target = Target { address, database: database.unwrap_or_default(), credentials };
        tracing::debug!("endpoint: connection {id} to {endpoint} at {address}");
        let events = fwd_to!([cx], connection_event(id) as (ConnectionEvent));
        let on_stop = ret_some_to!([cx], connection_stopped(id) as (StopCause));
        let connection = actor!(cx, EndpointConnection::init(id, target, events), on_stop);
        self.connections.insert(id, connection);
    }

    fn group_of(&self, id: ConnectionId) -> Option<GroupId> {
        self.core.broker().connection(id).map(|connection| connection.group.clone())
    }

    fn send(&mut self, id: ConnectionId, request: RequestId, session: SessionId, hold: bool) {
        let (Some(connection), Some(caller)) = (self.connections.get(&id), self.caller(session))
        else {
            return;
        };
        let Some(batch) = self.batches.get(&request) else {
            tracing::error!("host: request {request} has no stored messages");
            let outcome = Outcome::Fail(missing_batch_error());
            return self.end_request(session, request, TransactionState::Idle, outcome);
        };
        let job = Job::Request { request, caller, batch: batch.clone(), hold };
        call!([connection], run(job));
    }

    /// Runs a statement of the host itself, whose result rows are not used.
    fn run_host_sql(&mut self, id: ConnectionId, sql: CompactString) {
        if let Some(connection) = self.connections.get(&id) {
            call!([connection], run(Job::HostSql { sql }));
        }
    }

    fn cancel_running(&mut self, cx: CX![], id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            let reply = ret_some_to!([cx], send_cancel() as ((SocketAddr, BackendKey)));
            call!([connection], cancel_target(reply));
        }
    }

    fn connection_event(&mut self, cx: CX![], id: ConnectionId, event: ConnectionEvent) {
        let now = self.now(cx);
        let broker = self.core.broker_mut();
        match event {
            ConnectionEvent::Ready => broker.on_ready(now, id),
            ConnectionEvent::Status(status) => broker.on_status(now, id, status),
            ConnectionEvent::Ended(end) => {
                let sqlstate = end.error.map(|(sqlstate, _)| sqlstate);
                let transaction = end.transaction;
                broker.on_ended(now, id, JobReport { transaction, sqlstate });
            }
            ConnectionEvent::Lost { cause, refused, passed, .. } => {
                tracing::info!("endpoint: connection {id} was lost: {cause}");
                broker.on_lost(now, id, &LossReport { refused, passed });
            }
        }
        self.carry_out(cx);
    }
}

/// SQL of a promotion order.
fn order_sql(order: &OrderKind) -> CompactString {
    match order {
        OrderKind::Fence(term) => format_compact!("SELECT group_fence('{term}')"),
        OrderKind::Promote(term) => format_compact!("SELECT group_promote('{term}')"),
        OrderKind::Follow(term, address) => {
            format_compact!("SELECT group_follow('{term}', '{address}')")
        }
    }
}
