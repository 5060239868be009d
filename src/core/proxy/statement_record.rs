//! Record of a completed statement, from which its log line and metrics are derived.

use compact_str::CompactString;
use derive_more::Display;

use super::domains::Crossing;
use super::job::Refusal;
use super::request::Request;
use super::{Answer, Proxy, ProxyEffect, StatementKind};
use crate::error::{Error, ErrorKind};
use crate::types::{
    AccountId, EndpointId, GroupId, MilliTokens, Priority, SessionId, TableVersion, Term, Timestamp,
};

/// Outcome of a statement for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// An endpoint's answer was forwarded to the caller.
    #[display("answered")]
    Answered,
    /// An endpoint's refusal was forwarded to the caller.
    #[display("endpoint_{_0:?}")]
    EndpointRefused(Refusal),
    /// This host refused the statement.
    #[display("{_0:?}")]
    Refused(ErrorKind),
}

/// A completed statement, its outcome and the state that led to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementRecord {
    /// Statement id chosen by the caller.
    pub request: CompactString,
    /// Session that sent it.
    pub session: SessionId,
    /// Client account, if the key belongs to one.
    pub account: Option<AccountId>,
    /// Endpoint group, if the database has a route.
    pub group: Option<GroupId>,
    /// Endpoint that ran it last.
    pub endpoint: Option<EndpointId>,
    /// The group's primary as known to this host.
    pub leader: Option<EndpointId>,
    /// Highest term seen in the group.
    pub term: Option<Term>,
    /// Age of the latest position sample of the primary, in milliseconds.
    pub sample_age_ms: Option<u64>,
    /// Number of requests that were waiting in the group.
    pub waiting: usize,
    /// Version of the configuration in use.
    pub version: Option<TableVersion>,
    /// Rate limit tokens of the account on this host, and this host's share of its rate per second.
    pub tokens: Option<(MilliTokens, MilliTokens)>,
    /// Its relation to the session's transaction, if it became a request.
    pub statement_kind: Option<StatementKind>,
    /// Urgency of its route, if it became a request.
    pub priority: Option<Priority>,
    /// Where it was sent relative to this host, and why, if it was sent outside of an open transaction.
    pub crossing: Option<Crossing>,
    /// Whether a replica ran it.
    pub replica: bool,
    /// Number of times that it was put back into the queue.
    pub retries: u32,
    /// Time from its arrival until it was last sent, in milliseconds.
    pub waited_ms: u64,
    /// Time from its arrival until its answer, in milliseconds.
    pub took_ms: u64,
    /// Target latency of its route in milliseconds.
    pub target_ms: Option<u64>,
    /// Its outcome.
    pub outcome: Outcome,
    /// Error text; empty if it was answered.
    pub detail: CompactString,
}

impl StatementRecord {
    /// Whether it is worth a log line: it was refused, retried or slower than the target latency.
    pub fn is_notable(&self) -> bool {
        let late = self.target_ms.is_some_and(|target| self.took_ms >= target);
        self.outcome != Outcome::Answered || self.retries > 0 || late
    }

    /// What the outcome tells about whether the statement ran, as written in the log.
    pub fn ran(&self) -> &'static str {
        match self.outcome {
            Outcome::Answered => "ran",
            Outcome::EndpointRefused(Refusal::Failed | Refusal::TimedOut | Refusal::Other) => {
                "endpoint_says"
            }
            Outcome::EndpointRefused(_) => "not_run",
            Outcome::Refused(kind) => match kind.answer().ran {
                crate::error::Ran::NotRun => "not_run",
                crate::error::Ran::Unknown => "unknown",
                crate::error::Ran::Ran => "ran",
            },
        }
    }
}

impl Proxy {
    /// Emits the record of a completed request.
    pub(super) fn record_end(&mut self, now: Timestamp, request: &Request, answer: &Answer) {
        let (outcome, detail) = match answer {
            Answer::Done | Answer::Endpoint { .. } => (Outcome::Answered, CompactString::default()),
            Answer::EndpointRefused(refusal, text) => {
                (Outcome::EndpointRefused(*refusal), text.clone())
            }
            Answer::Refused(error) => (Outcome::Refused(error.kind), error.detail.clone()),
        };
        let group = self.groups.get(&request.route.group);
        let connection = request.connection.and_then(|id| self.connections.get(&id));
        let record = StatementRecord {
            request: request.statement_id.clone(),
            session: request.session,
            account: Some(request.account.clone()),
            group: Some(request.route.group.clone()),
            endpoint: connection.map(|found| found.endpoint.clone()),
            leader: group.and_then(|group| group.leader.clone()),
            term: group.map(|group| group.term),
            sample_age_ms: group
                .and_then(super::group::GroupState::last_sample_at)
                .map(|at| now.ms_since(at).0),
            waiting: group.map_or(0, super::group::GroupState::waiting),
            version: self.catalog.as_ref().map(|catalog| catalog.version),
            tokens: None,
            statement_kind: Some(request.statement_kind),
            priority: Some(request.route.priority),
            crossing: request.crossing,
            replica: !request.at_primary && request.statement_kind != StatementKind::SingleWrite,
            retries: request.retries,
            waited_ms: request.sent.ms_since(request.arrived).0,
            took_ms: now.ms_since(request.arrived).0,
            target_ms: Some(request.route.target_latency_ms.0),
            outcome,
            detail,
        };
        self.out.push(ProxyEffect::Ended(Box::new(record)));
    }

    /// Emits the record of a statement that was refused before a request existed for it.
    pub(super) fn record_refusal(&mut self, id: SessionId, statement_id: &str, error: &Error) {
        let Some(session) = self.sessions.get(&id) else { return };
        let found = self.resolve(&session.database, &session.key).ok();
        let account = found.as_ref().map(|(_, account)| account.clone());
        let record = StatementRecord {
            request: statement_id.into(),
            session: id,
            group: found.map(|(route, _)| route.group.clone()),
            tokens: account.as_ref().and_then(|account| self.quota.share(account)),
            account,
            endpoint: None,
            leader: None,
            term: None,
            sample_age_ms: None,
            waiting: 0,
            version: self.catalog.as_ref().map(|catalog| catalog.version),
            statement_kind: None,
            priority: None,
            crossing: None,
            replica: false,
            retries: 0,
            waited_ms: 0,
            took_ms: 0,
            target_ms: None,
            outcome: Outcome::Refused(error.kind),
            detail: error.detail.clone(),
        };
        self.out.push(ProxyEffect::Ended(Box::new(record)));
    }
}
