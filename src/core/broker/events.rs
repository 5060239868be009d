//! Events that the socket owner and the platform client report to the broker.

use compact_str::CompactString;

use super::connection::ConnectionJob;
use super::group::{RECONNECT_MAX, RECONNECT_MIN};
use super::{Broker, Connection, ConnectionState, OrderKind, RequestEvent, RequestState};
use crate::core::group::{Eligible, EndpointStatus, Role, UnservedReason};
use crate::core::promotion::{GroupRecord, PromotionEffect, ReadFault, SwapFault};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{ConnectionId, DurationMs, GroupId, RequestId, RowVersion, Timestamp};

/// SQLSTATE `read_only_sql_transaction`, with which a replica refuses a write without running it.
const READ_ONLY_REPLICA: &str = "25006";

/// Result of a job that ended on its connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobReport {
    /// Transaction state after the job.
    pub transaction: TransactionState,
    /// SQLSTATE of the last error, if the job failed.
    pub sqlstate: Option<CompactString>,
}

/// How a connection was lost.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossReport {
    /// SQLSTATE with which the endpoint refused the login.
    pub refused: Option<CompactString>,
    /// Whether part of the running request's answer was already sent to the caller.
    pub passed: bool,
}

impl Broker {
    /// The login on a connection succeeded.
    pub fn on_ready(&mut self, now: Timestamp, id: ConnectionId) {
        self.note_heard(now, id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.state = ConnectionState::Idle;
        let (group_id, endpoint) = (connection.group.clone(), connection.endpoint.clone());
        let Some(group) = self.groups.get_mut(&group_id) else {
            return self.close_connection(id);
        };
        let epoch = connection.epoch;
        let mut outdated = false;
        if let Some(slot) = group.endpoints.get_mut(&endpoint) {
            slot.connecting = slot.connecting.saturating_sub(1);
            slot.backoff = RECONNECT_MIN;
            outdated = slot.epoch != epoch;
        }
        if outdated {
            self.close_connection(id);
        }
        self.dispatch(now, &group_id);
    }

    /// An endpoint reported its status, unsolicited or with an answer.
    pub fn on_status(&mut self, now: Timestamp, id: ConnectionId, status: EndpointStatus) {
        self.apply_status(now, id, status, None);
    }

    fn apply_status(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        status: EndpointStatus,
        probe_sent: Option<Timestamp>,
    ) {
        self.note_heard(now, id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_status = Some(status);
        connection.status_at = now;
        let (group_id, endpoint) = (connection.group.clone(), connection.endpoint.clone());
        let epoch = connection.epoch;
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let trusted = group.endpoints.get(&endpoint).is_some_and(|slot| slot.epoch == epoch);
        if trusted {
            group.view.on_status(now, &endpoint, status, probe_sent);
            self.check_durability(now, &group_id);
            self.dispatch(now, &group_id);
        }
    }

    /// The job of a connection ended. A status that the endpoint reported with the answer is no
    /// older than the send time of the job.
    pub fn on_ended(&mut self, now: Timestamp, id: ConnectionId, report: JobReport) {
        self.note_heard(now, id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let ConnectionState::Busy(job) =
            std::mem::replace(&mut connection.state, ConnectionState::Idle)
        else {
            return;
        };
        let (started, status) = (connection.started, connection.job_status());
        let group_id = connection.group.clone();
        match job {
            ConnectionJob::Request(request) => self.request_ended(now, id, request, &report),
            ConnectionJob::Order(order) => self.order_ended(now, id, &order, &report),
            ConnectionJob::Probe => {}
        }
        if let Some(status) = status.filter(|_| report.sqlstate.is_none()) {
            self.apply_status(now, id, status, Some(started));
        }
        let retired = self.connections.get(&id).is_some_and(|connection| {
            let slot = self.groups.get(&group_id);
            let slot = slot.and_then(|group| group.endpoints.get(&connection.endpoint));
            let outdated = slot.is_none_or(|slot| slot.epoch != connection.epoch);
            connection.pinned.is_none() && (connection.cancelled || outdated)
        });
        if retired {
            self.close_connection(id);
        }
        self.dispatch(now, &group_id);
    }

    fn request_ended(
        &mut self,
        now: Timestamp,
        connection_id: ConnectionId,
        id: RequestId,
        report: &JobReport,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.unpin(connection_id, report.transaction);
        };
        let session_id = request.session;
        let failed = report.sqlstate.is_some();
        request.transaction = report.transaction;
        let spent = now.since(request.sent).as_micros();
        let account = self.sessions.get(&session_id).map(|session| session.spec.account.clone());
        if let Some(account) = account {
            self.update_cost(&account, u64::try_from(spent).unwrap_or(u64::MAX));
        }
        self.pin(connection_id, id, report.transaction);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let transaction_closed = report.transaction == TransactionState::Idle;
        let refused_write = report.sqlstate.as_deref() == Some(READ_ONLY_REPLICA);
        if refused_write
            && transaction_closed
            && request.hold
            && !request.class.ends
            && !request.retried
        {
            request.retried = true;
            return self.fire(now, id, RequestEvent::Retry);
        }
        // A failed statement outside a transaction changed nothing, unless a COMMIT preceded it in
        // the same request.
        let is_final = !request.hold || !transaction_closed || (failed && !request.class.ends);
        if is_final || self.shows_only_confirmed(connection_id) {
            return self.fire(now, id, RequestEvent::Finish);
        }
        let status = self.connections.get(&connection_id).and_then(Connection::job_status);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(status) = status else {
            let detail = "the endpoint did not report its position with the answer";
            return self.refuse_kind(now, id, ErrorKind::OutcomeUnknown, detail);
        };
        request.position = Some(status.position);
        let group = request.group.clone();
        self.fire(now, id, RequestEvent::Hold);
        self.check_durability(now, &group);
    }

    /// Whether the answer came from a replica that forms a majority with the primary, so that it
    /// shows only entries that a majority holds.
    fn shows_only_confirmed(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else { return false };
        let replica = connection.job_status().is_some_and(|status| status.role == Role::Replica);
        let group = self.groups.get(&connection.group);
        replica && group.is_some_and(|group| group.reads_are_durable_on(&connection.endpoint))
    }

    fn pin(&mut self, connection_id: ConnectionId, id: RequestId, state: TransactionState) {
        let Some(request) = self.requests.get(&id) else { return };
        let (session_id, orphaned) =
            (request.session, request.machine.state() == RequestState::Orphaned);
        if state == TransactionState::Idle || orphaned {
            return self.unpin(connection_id, state);
        }
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.pinned = Some(session_id);
        }
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.pinned = Some(connection_id);
        }
    }

    /// Detaches a connection from its session. If a transaction is still open on it, the connection
    /// is closed, which rolls the transaction back.
    fn unpin(&mut self, id: ConnectionId, state: TransactionState) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let session = connection.pinned.take();
        if let Some(session) = session.and_then(|session| self.sessions.get_mut(&session)) {
            session.pinned = None;
        }
        if state != TransactionState::Idle {
            self.close_connection(id);
        }
    }

    fn order_ended(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        order: &OrderKind,
        report: &JobReport,
    ) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (group_id, endpoint) = (connection.group.clone(), connection.endpoint.clone());
        let status = connection.job_status();
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let effects = match (&report.sqlstate, order, status) {
            (Some(sqlstate), _, _) => {
                tracing::warn!("group: {endpoint} refused {order:?} with SQLSTATE {sqlstate}");
                group.promotion.on_order_failed(now);
                Vec::new()
            }
            (None, OrderKind::Fence(_), Some(status)) => {
                group.view.on_status(now, &endpoint, status, None);
                group.promotion.on_fenced(now, &group.view, &endpoint, status)
            }
            (None, _, _) => group.promotion.on_order_done(now, &group.view),
        };
        self.promotion_effects(now, &group_id, effects);
    }

    /// A connection was lost, or could not be opened.
    pub fn on_lost(&mut self, now: Timestamp, id: ConnectionId, report: &LossReport) {
        let pinned = self.connections.get(&id).and_then(|connection| connection.pinned);
        let Some(connection) = self.remove_connection(id) else { return };
        let group_id = connection.group.clone();
        if let Some(group) = self.groups.get_mut(&group_id) {
            if let Some(slot) = group.endpoints.get_mut(&connection.endpoint) {
                slot.awaiting_since = None;
                if connection.state == ConnectionState::Connecting {
                    slot.connect_after = now + slot.backoff;
                    slot.backoff = DurationMs((slot.backoff.0 * 2).min(RECONNECT_MAX.0));
                } else {
                    slot.epoch += 1;
                }
            }
            // A failed connect, for example over the connection limit, says nothing about the
            // connections that are open.
            if connection.state != ConnectionState::Connecting {
                group.view.on_lost(now, &connection.endpoint);
            }
        }
        self.close_outdated(&group_id, &connection.endpoint);
        match connection.state {
            ConnectionState::Busy(ConnectionJob::Request(request)) => {
                self.request_lost(now, request, report.passed);
            }
            ConnectionState::Busy(ConnectionJob::Order(_)) => {
                if let Some(group) = self.groups.get_mut(&group_id) {
                    group.promotion.on_order_failed(now);
                }
            }
            _ => {
                if let Some(session) = pinned.and_then(|session| self.sessions.get_mut(&session)) {
                    session.lost_transaction = true;
                }
            }
        }
        self.dispatch(now, &group_id);
    }

    fn request_lost(&mut self, now: Timestamp, id: RequestId, passed: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_transaction = request.transaction != TransactionState::Idle;
        request.transaction = TransactionState::Idle;
        let read = request.is_read() && !in_transaction;
        let not_retried = !request.retried;
        let retry_percent = self.settings.retry_percent;
        let within_budget = self.groups.get_mut(&request.group).is_some_and(|group| {
            let within_budget = group.retried * 100 <= group.submitted * retry_percent;
            group.retried += u64::from(within_budget && read && not_retried && !passed);
            within_budget
        });
        if read && not_retried && !passed && within_budget {
            request.retried = true;
            return self.fire(now, id, RequestEvent::Retry);
        }
        let detail = "the connection to the endpoint was lost while the request ran";
        request.error = Some(Error::new(ErrorKind::OutcomeUnknown, detail));
        self.fire(now, id, RequestEvent::Refuse);
    }

    /// Refuses the requests of a group whose deadline has passed while they waited.
    pub(super) fn expire(&mut self, now: Timestamp, group_id: &GroupId) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let mut expired = group.reads.expire(now);
        expired.extend(group.writes.expire(now));
        let requests = &self.requests;
        let overdue = |id: &RequestId| requests.get(id).is_some_and(|found| now >= found.deadline);
        expired.extend(group.parked.iter().copied().filter(overdue));
        group.parked.retain(|id| !overdue(id));
        for id in expired {
            let kind = self.expiry_reason(now, id);
            self.refuse_kind(now, id, kind, "the request was still waiting at its deadline");
        }
    }

    /// The reason why a request was still waiting at its deadline.
    fn expiry_reason(&self, now: Timestamp, id: RequestId) -> ErrorKind {
        let Some(request) = self.requests.get(&id) else { return ErrorKind::DeadlineExceeded };
        let Some(group) = self.groups.get(&request.group) else { return ErrorKind::NoEndpoint };
        let session = self.sessions.get(&request.session);
        let Some(session) = session.filter(|_| request.replica_may_run()) else {
            let primary = group.view.primary();
            return primary.map_or(ErrorKind::NoPrimary, |_| ErrorKind::DeadlineExceeded);
        };
        match group.view.eligible(now, &session.floor, session.spec.freshness) {
            Eligible::Empty(UnservedReason::NoPrimary) => ErrorKind::NoPrimary,
            Eligible::Empty(UnservedReason::NoEndpoint) => ErrorKind::NoEndpoint,
            Eligible::Empty(UnservedReason::Stale | UnservedReason::Wait(_)) => ErrorKind::Stale,
            Eligible::Serve { .. } => ErrorKind::DeadlineExceeded,
        }
    }

    /// Handles the answer to `ReadRecord`.
    pub fn on_record_read(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        result: Result<Option<(RowVersion, GroupRecord)>, ReadFault>,
    ) {
        self.promotion_event(now, group_id, |group| {
            group.promotion.on_record_read(now, &group.view, result)
        });
    }

    /// Handles the answer to `SwapRecord`.
    pub fn on_record_swapped(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        record: &GroupRecord,
        result: Result<RowVersion, SwapFault>,
    ) {
        self.promotion_event(now, group_id, |group| {
            group.promotion.on_record_swapped(now, &group.view, record, result)
        });
    }

    /// Handles a group's record received from a peer.
    pub fn on_peer_record(&mut self, now: Timestamp, group_id: &GroupId, record: &GroupRecord) {
        self.promotion_event(now, group_id, |group| {
            group.view.on_record(now, record);
            Vec::new()
        });
    }

    fn promotion_event(
        &mut self,
        now: Timestamp,
        group_id: &GroupId,
        event: impl FnOnce(&mut super::GroupState) -> Vec<PromotionEffect>,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else { return };
        let effects = event(group);
        self.promotion_effects(now, group_id, effects);
        self.check_durability(now, group_id);
        self.dispatch(now, group_id);
    }
}
