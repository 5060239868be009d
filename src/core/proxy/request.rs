//! Statements that need an endpoint.

use std::rc::Rc;
use std::sync::LazyLock;

use compact_str::CompactString;

use super::catalog::{ReadRule, Route};
use super::statement::{Access, Forward};
use super::Proxy;
use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::core::queue::Ticket;
use crate::error::{Error, ErrorKind};
use crate::types::{
    AccountId, ConnectionId, Cost, EndpointId, Position, RequestId, SessionId, Timestamp, Weight,
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

/// Cost of every request in the queue; endpoints do not report slot time.
const REQUEST_COST: Cost = Cost(1_000);

/// Where in a session's work a statement stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMoment {
    /// A read outside of a transaction.
    SingleRead,
    /// A write outside of a transaction.
    SingleWrite,
    /// A read or write of a transaction.
    Inside,
    /// The end of a transaction.
    Commit,
}

/// A statement under way.
#[derive(Debug)]
pub struct Request {
    /// Session that sent it.
    pub session: SessionId,
    /// Route that it follows.
    pub route: Rc<Route>,
    /// Client account that it runs for.
    pub account: AccountId,
    /// Where it stands.
    pub moment: ProxyMoment,
    /// Whether it writes.
    pub writes: bool,
    /// The caller's id.
    pub query: CompactString,
    /// Text to run.
    pub forward: Forward,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When it last began to wait for an endpoint.
    pub queued: Timestamp,
    /// When it, or its transaction, began: commits acknowledged before must be visible.
    pub began: Timestamp,
    /// When it is given up.
    pub deadline: Timestamp,
    /// Its place in the chart.
    pub machine: Machine<ProxyRequestState, ProxyRequestEvent, NoGuard, ProxyRequestAction>,
    /// Connection that runs it, or on which its transaction is open.
    pub connection: Option<ConnectionId>,
    /// Whether a transaction of this host surrounds it, which proves the lead.
    pub guarded: bool,
    /// Whether it starts its transaction on the endpoint.
    pub starts: bool,
    /// Position that the endpoint's log must hold.
    pub after: Option<Position>,
    /// Whether it runs as at the primary.
    pub at_primary: bool,
    /// When it was sent.
    pub sent: Timestamp,
    /// Endpoints that refused it, which are tried last.
    pub tried: Vec<EndpointId>,
    /// Times that it came back without an answer.
    pub returns: u32,
    /// No endpoint is tried before this time.
    pub rest_until: Timestamp,
    pub(super) ticket: Option<Ticket>,
    pub(super) answer: Option<super::Answer>,
}

impl Request {
    /// Whether only the primary may run it.
    pub fn needs_primary(&self, read_only_transaction: bool) -> bool {
        match self.moment {
            ProxyMoment::SingleWrite => true,
            ProxyMoment::SingleRead => self.route.rule == ReadRule::Primary,
            ProxyMoment::Inside | ProxyMoment::Commit => {
                !read_only_transaction || self.route.rule == ReadRule::Primary
            }
        }
    }

    /// Whether it is being run.
    pub fn is_running(&self) -> bool {
        self.machine.state() == ProxyRequestState::Running
    }
}

impl Proxy {
    /// Takes a statement that needs an endpoint.
    pub(super) fn enqueue_statement(
        &mut self,
        now: Timestamp,
        session_id: SessionId,
        query: CompactString,
        moment: ProxyMoment,
        access: Access,
        forward: Forward,
    ) {
        let (route, account) = match self.standing(now, session_id) {
            Ok(found) => found,
            Err(error) => return self.refuse_statement(session_id, &query, error),
        };
        if !self.groups.contains_key(&route.group) {
            return self.refuse_statement(session_id, &query, Self::no_group());
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        session.request = Some(id);
        let open = session.transaction.as_ref();
        let request = Request {
            session: session_id,
            moment,
            writes: access == Access::Write,
            query,
            forward,
            arrived: now,
            queued: now,
            began: open.map_or(now, |open| open.began),
            deadline: now + route.statement_limit_ms,
            machine: CHART.start(),
            connection: open.and_then(|open| open.connection),
            guarded: false,
            starts: false,
            after: None,
            at_primary: open.is_some_and(|open| open.at_primary),
            sent: now,
            tried: Vec::new(),
            returns: 0,
            rest_until: now,
            ticket: None,
            answer: None,
            route,
            account,
        };
        self.requests.insert(id, request);
        self.queue_request(now, id);
    }

    /// Refuses a statement that did not become a request. In a transaction nothing is kept.
    pub(super) fn refuse_statement(&mut self, id: SessionId, query: &str, error: Error) {
        self.record_refusal(id, query, &error);
        if let Some(open) = self.sessions.get_mut(&id).and_then(|found| found.transaction.as_mut())
        {
            open.failed = true;
        }
        self.answer(id, super::Answer::Refused(error));
    }

    /// Puts a request into its group's queue; one whose transaction is open on a connection runs
    /// there at once.
    pub(super) fn queue_request(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.queued = now;
        let group_id = request.route.group.clone();
        if let Some(connection) = request.connection {
            if now >= request.rest_until {
                return self.assign(now, id, connection);
            }
            self.resting_push(id);
            return;
        }
        let (account, deadline) = (request.account.clone(), request.deadline);
        let Some(group) = self.groups.get_mut(&group_id) else {
            return self.refuse_request(now, id, Self::no_group());
        };
        match group.queue.push(now, &account, Weight(1), REQUEST_COST, deadline, id) {
            Ok(ticket) => request.ticket = Some(ticket),
            Err(kind) => {
                let error = Error::new(kind, "the queue of the group is full");
                return self.refuse_request(now, id, error);
            }
        }
        self.dirty.insert(group_id);
    }

    /// Ends a request with an error that this host decided.
    pub(super) fn refuse_request(&mut self, now: Timestamp, id: RequestId, error: Error) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.answer = Some(super::Answer::Refused(error));
        }
        self.fire(now, id, ProxyRequestEvent::Refuse);
    }

    /// Feeds an event to a request's chart and carries out the actions.
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
            group.queue.remove(&request.account, ticket);
        }
        group.parked.retain(|parked| *parked != id);
    }

    /// The caller has gone.
    pub(super) fn abandon(&mut self, now: Timestamp, id: RequestId) {
        self.fire(now, id, ProxyRequestEvent::Abandon);
    }

    fn resting_push(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            if let Some(group) = self.groups.get_mut(&request.route.group) {
                group.parked.push(id);
            }
        }
    }

    /// What a request that has waited until its deadline lacked.
    pub(super) fn missing(&self, id: RequestId) -> Error {
        let lacking = |request: &Request| {
            let group = self.groups.get(&request.route.group)?;
            group.leader.is_none().then_some(ErrorKind::NoPrimary)
        };
        let kind = self.requests.get(&id).and_then(lacking).unwrap_or(ErrorKind::Overloaded);
        Error::new(kind, "it waited until its time limit")
    }
}
