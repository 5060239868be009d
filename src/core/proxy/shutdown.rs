//! Start and shutdown of a host: when it accepts callers, what still runs while it stops, and what
//! callers are told about the rest.

use super::quota::Demand;
use super::statement::{Access, Statement};
use super::{Proxy, ProxyEffect};
use crate::core::life::{LifeAction, LifeEvent, LifeState, Remaining};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{DurationMs, RequestId, SessionId, Timestamp};

/// Longest wait of a starting host for its first lease, without which it can use no primary. Other
/// hosts serve the callers meanwhile. After it the host can still relay sessions to hosts that have
/// a lease.
const FIRST_LEASE_WAIT: DurationMs = DurationMs(1_500);

/// Error with which a stopping host refuses a caller's statement; `None` if the statement still
/// runs. After the time for open transactions they can only be ended.
pub fn refusal(state: LifeState, statement: &Statement, in_transaction: bool) -> Option<Error> {
    let runs = match statement {
        Statement::Rollback
        | Statement::Set { .. }
        | Statement::Prepare { .. }
        | Statement::Close { .. } => true,
        Statement::Commit => state.runs_statements() || state == LifeState::Finishing,
        Statement::Begin { .. } | Statement::Data(_) | Statement::Execute { .. } => {
            state.runs_statements()
        }
    };
    if runs {
        return None;
    }
    let kind = if in_transaction { ErrorKind::TransactionLost } else { ErrorKind::HostDraining };
    Some(Error::new(kind, "the host is stopping and runs no further statements"))
}

/// Whether a statement may have lasting effects although its answer is missing. What a prepared
/// statement does is known only to the host that runs the session.
pub fn may_commit(statement: &Statement, in_transaction: bool) -> bool {
    match statement {
        Statement::Commit => true,
        Statement::Data(access) => !in_transaction && *access == Access::Write,
        Statement::Execute { .. } => !in_transaction,
        Statement::Begin { .. }
        | Statement::Rollback
        | Statement::Set { .. }
        | Statement::Prepare { .. }
        | Statement::Close { .. } => false,
    }
}

/// Error for a statement that was passed on and whose answer is no longer awaited.
pub fn unanswered(may_commit: bool, in_transaction: bool, detail: &str) -> Error {
    let kind = match (may_commit, in_transaction) {
        (true, _) => ErrorKind::OutcomeUnknown,
        (false, true) => ErrorKind::TransactionLost,
        (false, false) => ErrorKind::DeadlineExceeded,
    };
    Error::new(kind, detail)
}

impl Proxy {
    /// Starts the shutdown of the host, on request of the operator or the system.
    pub fn stop(&mut self, now: Timestamp) {
        self.fire_life_event(now, LifeEvent::Stop);
    }

    fn fire_life_event(&mut self, now: Timestamp, event: LifeEvent) {
        let before = self.life.state();
        for action in self.life.fire(now, event) {
            match action {
                LifeAction::Listen => self.out.push(ProxyEffect::Listen),
                LifeAction::AnnounceLeaving => {
                    self.quota.leave();
                    self.out.push(ProxyEffect::Leave);
                }
                LifeAction::RefuseNewWork => {
                    self.out.push(ProxyEffect::StopListening);
                    self.end_idle_sessions();
                }
                LifeAction::EndTransactions => {
                    self.out.push(ProxyEffect::EndRelayedTransactions);
                    self.end_failed_sessions();
                }
                LifeAction::AbortRequests => {
                    self.out.push(ProxyEffect::AbortRelayedRequests);
                    self.abort_requests(now);
                }
                LifeAction::ReleaseShares => self.out.push(ProxyEffect::CloseCallers),
                LifeAction::Close => {
                    // An empty demand frees this host's share of the rates for the others.
                    self.out.push(ProxyEffect::ReportDemand(Demand::new()));
                    self.out.push(ProxyEffect::Stop);
                }
            }
        }
        if before != self.life.state() {
            tracing::info!(state = ?self.life.state(), before = ?before,
                sessions = self.sessions.len(), requests = self.requests.len(),
                relayed = self.relayed_callers, "host: state changed");
        }
    }

    /// Advances the host's lifecycle according to what is known and what remains to be done.
    pub(super) fn advance_life(&mut self, now: Timestamp) {
        let initialized = self.catalog.is_some() && self.discovered && self.hosts_known;
        if self.life.state() == LifeState::Starting && initialized {
            let since = *self.initialized_at.get_or_insert(now);
            if self.is_leased(now) || now >= since + FIRST_LEASE_WAIT {
                self.fire_life_event(now, LifeEvent::Ready);
            }
        }
        let remaining = Remaining {
            idle: self.sessions.is_empty() && self.relayed_callers == 0,
            released: self.open_callers == 0,
        };
        if let Some(event) = self.life.due(now, remaining) {
            self.fire_life_event(now, event);
        }
    }

    /// Whether a session is closed after an answer that leaves it in this state.
    pub(super) fn closes_after_answer(&self, closing: bool, state: TransactionState) -> bool {
        match state {
            TransactionState::Idle => closing,
            TransactionState::Failed => closing && !self.life.state().runs_statements(),
            TransactionState::Open => false,
        }
    }

    fn end_idle_sessions(&mut self) {
        let mut idle = Vec::new();
        for (id, session) in &mut self.sessions {
            session.closing = true;
            if session.request.is_none() && session.transaction.is_none() {
                idle.push(*id);
            }
        }
        self.out.extend(idle.into_iter().map(ProxyEffect::CloseSession));
    }

    /// Closes the sessions whose transaction has failed; those with an open one may still commit.
    fn end_failed_sessions(&mut self) {
        let failed = self.sessions.iter().filter(|(_, session)| {
            session.request.is_none() && session.state() == TransactionState::Failed
        });
        let failed: Vec<SessionId> = failed.map(|(id, _)| *id).collect();
        self.out.extend(failed.into_iter().map(ProxyEffect::CloseSession));
    }

    /// Answers all requests in progress with an error, and closes all sessions: the time that the
    /// platform allows for a shutdown is nearly over, and a process that is killed answers nothing.
    fn abort_requests(&mut self, now: Timestamp) {
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in requests {
            self.abort_request(now, id);
        }
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        self.out.extend(sessions.into_iter().map(ProxyEffect::CloseSession));
    }

    fn abort_request(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (single, running) = (request.statement_kind.is_single(), request.is_running());
        let may_commit = running && self.commits(request);
        let connection = request.connection;
        let detail = "the host has stopped before the endpoint answered";
        let error = if running || !single {
            unanswered(may_commit, !single, detail)
        } else {
            Error::new(ErrorKind::HostDraining, "the host has stopped before the request was sent")
        };
        if !single {
            self.end_waiting_transaction(now, id);
        } else if let Some(connection) = connection {
            self.close_connection(connection);
        }
        self.refuse_request(now, id, error);
    }
}
