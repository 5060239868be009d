//! Requests: statements that an endpoint has to run, from their arrival to their answer.

use std::rc::Rc;
use std::sync::LazyLock;

use compact_str::CompactString;

use super::catalog::{ReadRule, Route};
use super::domains::Crossing;
use super::statement::{Access, StatementPayload};
use super::Proxy;
use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::core::queue::Ticket;
use crate::error::{Error, ErrorKind};
use crate::types::{
    AccountId, ConnectionId, Cost, EndpointId, Position, RequestId, SessionId, Timestamp,
};

chart_names! {
    /// States of a request.
    pub enum ProxyRequestState { Waiting = "waiting", Running = "running", Done = "done" }
    /// Events of a request.
    pub enum ProxyRequestEvent {
        Assign = "assign", Finish = "finish", NotRun = "not_run", Refuse = "refuse",
        Abandon = "abandon",
    }
    /// Actions of a request.
    pub enum ProxyRequestAction { Send = "send", Requeue = "requeue", Answer = "answer" }
}

/// The compiled chart of requests.
pub type ProxyRequestChart =
    Chart<ProxyRequestState, ProxyRequestEvent, NoGuard, ProxyRequestAction>;

/// Compiles the chart of requests.
///
/// # Errors
///
/// Every fault of the chart file.
pub fn chart() -> Result<ProxyRequestChart, Vec<ChartError>> {
    Chart::load("charts/proxy_request.scxml", include_str!("../../../charts/proxy_request.scxml"))
}

static CHART: LazyLock<ProxyRequestChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// Cost of each request in the fair queue. It is the same for all, because endpoints do not report
/// how long a request occupied a slot.
const REQUEST_COST: Cost = Cost(1_000);

/// Relation of a statement to the session's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// A read outside of a transaction.
    SingleRead,
    /// A write outside of a transaction.
    SingleWrite,
    /// A read or write within a transaction.
    InTransaction,
    /// The commit of a transaction.
    Commit,
}

/// A statement in progress.
#[derive(Debug)]
pub struct Request {
    /// Session that sent it.
    pub session: SessionId,
    /// Route to its endpoint group.
    pub route: Rc<Route>,
    /// Client account that it runs for.
    pub account: AccountId,
    /// Its relation to the session's transaction.
    pub statement_kind: StatementKind,
    /// Whether it writes.
    pub writes: bool,
    /// Statement id chosen by the caller.
    pub statement_id: CompactString,
    /// What the endpoint is to run.
    pub payload: StatementPayload,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When it was last put into the queue.
    pub queued: Timestamp,
    /// When it, or its transaction, began; commits acknowledged before that time must be visible.
    pub began: Timestamp,
    /// When it is refused if it has no answer yet.
    pub deadline: Timestamp,
    /// Its state chart.
    pub machine: Machine<ProxyRequestState, ProxyRequestEvent, NoGuard, ProxyRequestAction>,
    /// Connection that runs it, or on which its transaction is open.
    pub connection: Option<ConnectionId>,
    /// Whether this host runs it inside a read-write transaction of its own; the endpoint accepts
    /// that only while it is the primary.
    pub wrapped_in_transaction: bool,
    /// Whether its transaction is begun on the endpoint together with it.
    pub starts_transaction: bool,
    /// Log position that the endpoint must have applied.
    pub after: Option<Position>,
    /// Whether it runs on the primary.
    pub at_primary: bool,
    /// Where it was sent relative to this host, if it did not continue a transaction.
    pub crossing: Option<Crossing>,
    /// When it was last sent to an endpoint.
    pub sent: Timestamp,
    /// Endpoints that failed to run it; they are not used as replicas for it again.
    pub tried: Vec<EndpointId>,
    /// Number of times that it was put back into the queue.
    pub retries: u32,
    /// Earliest time at which it is sent again.
    pub not_before: Timestamp,
    pub(super) ticket: Option<Ticket>,
    pub(super) answer: Option<super::Answer>,
}

impl Request {
    /// Whether only the primary may run it. `read_only_transaction` tells whether it is part of a
    /// read-only transaction.
    pub fn needs_primary(&self, read_only_transaction: bool) -> bool {
        match self.statement_kind {
            StatementKind::SingleWrite => true,
            StatementKind::SingleRead => self.route.rule == ReadRule::Primary,
            StatementKind::InTransaction | StatementKind::Commit => {
                !read_only_transaction || self.route.rule == ReadRule::Primary
            }
        }
    }

    /// Whether earlier statements of its transaction have run on its connection.
    pub fn continues_transaction(&self) -> bool {
        !self.statement_kind.is_single() && !self.starts_transaction && self.connection.is_some()
    }

    /// Whether only the primary may run it, whatever its transaction is.
    pub fn runs_on_primary(&self) -> bool {
        self.writes || self.route.rule == ReadRule::Primary
    }

    /// Whether it was sent to an endpoint.
    pub fn is_running(&self) -> bool {
        self.machine.state() == ProxyRequestState::Running
    }
}

impl Proxy {
    /// Creates a request for a statement and queues it.
    pub(super) fn enqueue_statement(
        &mut self,
        now: Timestamp,
        session_id: SessionId,
        statement_id: CompactString,
        statement_kind: StatementKind,
        access: Access,
        payload: StatementPayload,
    ) {
        let (route, account) = match self.route_and_account(now, session_id) {
            Ok(found) => found,
            Err(error) => return self.refuse_statement(session_id, &statement_id, error),
        };
        if !self.groups.contains_key(&route.group) {
            return self.refuse_statement(session_id, &statement_id, Self::no_group());
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        session.request = Some(id);
        let transaction = session.transaction.as_ref();
        let request = Request {
            session: session_id,
            statement_kind,
            writes: access == Access::Write,
            statement_id,
            payload,
            arrived: now,
            queued: now,
            began: transaction.map_or(now, |transaction| transaction.began),
            deadline: now + route.statement_limit_ms,
            machine: CHART.start(),
            connection: transaction.and_then(|transaction| transaction.connection),
            wrapped_in_transaction: false,
            starts_transaction: false,
            after: None,
            at_primary: transaction.is_some_and(|transaction| transaction.at_primary),
            crossing: None,
            sent: now,
            tried: Vec::new(),
            retries: 0,
            not_before: now,
            ticket: None,
            answer: None,
            route,
            account,
        };
        let is_hopeless = request.connection.is_none() && self.is_hopeless(now, &request);
        self.requests.insert(id, request);
        if is_hopeless {
            let detail = "requests of the account that arrived before wait too long already";
            return self.refuse_request(now, id, Error::new(ErrorKind::Overloaded, detail));
        }
        self.queue_request(now, id);
    }

    /// Refuses a statement before a request exists for it; its transaction, if any, fails.
    pub(super) fn refuse_statement(&mut self, id: SessionId, statement_id: &str, error: Error) {
        self.record_refusal(id, statement_id, &error);
        if let Some(transaction) =
            self.sessions.get_mut(&id).and_then(|found| found.transaction.as_mut())
        {
            transaction.failed = true;
        }
        self.answer(id, super::Answer::Refused(error));
    }

    /// Puts a request into its group's queue. A request whose transaction is open on a connection
    /// runs there at once, or is parked until its retry delay has passed.
    pub(super) fn queue_request(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.queued = now;
        let group_id = request.route.group.clone();
        if let Some(connection) = request.connection {
            if now >= request.not_before {
                return self.continue_transaction(now, id, connection);
            }
            self.park(id);
            return;
        }
        let (account, deadline) = (request.account.clone(), request.deadline);
        let priority = request.route.priority;
        let Some(group) = self.groups.get_mut(&group_id) else {
            return self.refuse_request(now, id, Self::no_group());
        };
        match group.queue.push(now, priority, &account, REQUEST_COST, deadline, id) {
            Ok(ticket) => request.ticket = Some(ticket),
            Err(kind) => {
                let error = Error::new(kind, "the queue of the group is full");
                return self.refuse_request(now, id, error);
            }
        }
        self.dirty.insert(group_id);
    }

    /// Runs a request on the connection of its transaction. A commit is not sent to an endpoint that
    /// may have been replaced, so that it is certain that nothing of the transaction is kept.
    pub(super) fn continue_transaction(
        &mut self,
        now: Timestamp,
        id: RequestId,
        connection: ConnectionId,
    ) {
        if self.is_connection_closed(now, connection) {
            self.close_connection(connection);
            self.end_waiting_transaction(now, id);
            let detail = "the endpoint of the transaction was evacuated";
            return self.refuse_request(now, id, Error::new(ErrorKind::TransactionLost, detail));
        }
        let Some(request) = self.requests.get(&id) else { return };
        let group = self.groups.get(&request.route.group);
        if self.commits(request) && group.is_some_and(|group| !self.may_use_primary(now, group)) {
            self.end_waiting_transaction(now, id);
            let detail = "the primary of the transaction may have been replaced";
            return self.refuse_request(now, id, Error::new(ErrorKind::TransactionLost, detail));
        }
        self.assign(now, id, connection);
    }

    /// Ends a request with an error of this host.
    pub(super) fn refuse_request(&mut self, now: Timestamp, id: RequestId, error: Error) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.answer = Some(super::Answer::Refused(error));
        }
        self.fire(now, id, ProxyRequestEvent::Refuse);
    }

    /// Fires an event on a request's state chart and performs the resulting actions.
    pub(super) fn fire(&mut self, now: Timestamp, id: RequestId, event: ProxyRequestEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let step = request.machine.fire(event, |guard| match guard {});
        for action in step.actions {
            match action {
                ProxyRequestAction::Send => self.send(now, id),
                ProxyRequestAction::Requeue => self.queue_request(now, id),
                ProxyRequestAction::Answer => self.answer_request(now, id),
            }
        }
        if self.requests.get(&id).is_some_and(|request| request.machine.is_done()) {
            self.leave_queue(id);
            self.requests.remove(&id);
        }
    }

    fn answer_request(&mut self, now: Timestamp, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        if let Some(answer) = request.answer.take() {
            self.record_end(now, &request, &answer);
            self.answer(request.session, answer);
        }
        self.requests.insert(id, request);
    }

    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(group) = self.groups.get_mut(&request.route.group) else { return };
        if let Some(ticket) = request.ticket.take() {
            group.queue.class(request.route.priority).remove(&request.account, ticket);
        }
        group.parked.retain(|parked| *parked != id);
    }

    /// Drops a request whose caller has disconnected.
    pub(super) fn abandon(&mut self, now: Timestamp, id: RequestId) {
        self.fire(now, id, ProxyRequestEvent::Abandon);
    }

    fn park(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            if let Some(group) = self.groups.get_mut(&request.route.group) {
                group.parked.push(id);
            }
        }
    }

    /// Error for a request that was not sent before its deadline.
    pub(super) fn deadline_error(&self, now: Timestamp, id: RequestId) -> Error {
        let lacking = |request: &Request| {
            let group = self.groups.get(&request.route.group)?;
            let is_lacking =
                !self.may_use_primary(now, group) || self.needs_evacuated_primary(now, request);
            is_lacking.then_some(ErrorKind::NoPrimary)
        };
        let kind = self.requests.get(&id).and_then(lacking).unwrap_or(ErrorKind::Overloaded);
        Error::new(kind, "the request was not sent to an endpoint within its time limit")
    }
}
