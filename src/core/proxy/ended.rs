//! The record of how a statement ended, from which log and metrics are made.

use compact_str::CompactString;
use derive_more::Display;

use super::job::Refusal;
use super::request::Request;
use super::{Answer, Proxy, ProxyEffect, ProxyMoment};
use crate::error::{Error, ErrorKind};
use crate::types::{
    AccountId, EndpointId, GroupId, MilliTokens, SessionId, TableVersion, Term, Timestamp,
};

/// How a statement ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// An endpoint's answer was passed on.
    #[display("answered")]
    Answered,
    /// An endpoint's refusal was passed on.
    #[display("endpoint_{_0:?}")]
    EndpointRefused(Refusal),
    /// This host refused.
    #[display("{_0:?}")]
    Refused(ErrorKind),
}

/// How a statement ended, with what decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The caller's id of the statement.
    pub request: CompactString,
    /// Session that sent it.
    pub session: SessionId,
    /// Client account, if the key named one.
    pub account: Option<AccountId>,
    /// Group, if a route led to one.
    pub group: Option<GroupId>,
    /// Endpoint that ran it last.
    pub endpoint: Option<EndpointId>,
    /// Endpoint that was believed to lead.
    pub leader: Option<EndpointId>,
    /// Highest term seen.
    pub term: Option<Term>,
    /// Age of the latest position of the primary in milliseconds.
    pub sample_age_ms: Option<u64>,
    /// Requests that waited in the group.
    pub waiting: usize,
    /// Version of the configuration.
    pub version: Option<TableVersion>,
    /// Tokens of the account on this host, and its part of the rate a second.
    pub tokens: Option<(MilliTokens, MilliTokens)>,
    /// Where in the session's work it stood.
    pub moment: Option<ProxyMoment>,
    /// Whether a replica ran it.
    pub replica: bool,
    /// Times that it came back without an answer.
    pub returns: u32,
    /// Time until it was last sent, in milliseconds.
    pub waited_ms: u64,
    /// Time until the answer, in milliseconds.
    pub took_ms: u64,
    /// Time in which it was to be answered, in milliseconds.
    pub target_ms: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
    /// What was seen.
    pub detail: CompactString,
}

impl Ended {
    /// Whether the statement was neither answered at once nor in time.
    pub fn is_notable(&self) -> bool {
        let late = self.target_ms.is_some_and(|target| self.took_ms >= target);
        self.outcome != Outcome::Answered || self.returns > 0 || late
    }

    /// What the caller may conclude.
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
    /// Records the end of a request.
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
        let ended = Ended {
            request: request.query.clone(),
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
            moment: Some(request.moment),
            replica: !request.at_primary && request.moment != ProxyMoment::SingleWrite,
            returns: request.returns,
            waited_ms: request.sent.ms_since(request.arrived).0,
            took_ms: now.ms_since(request.arrived).0,
            target_ms: Some(request.route.target_latency_ms.0),
            outcome,
            detail,
        };
        self.out.push(ProxyEffect::Ended(Box::new(ended)));
    }

    /// Records the refusal of a statement that did not become a request.
    pub(super) fn record_refusal(&mut self, id: SessionId, query: &str, error: &Error) {
        let Some(session) = self.sessions.get(&id) else { return };
        let found = self.resolve(&session.database, &session.key).ok();
        let account = found.as_ref().map(|(_, account)| account.clone());
        let ended = Ended {
            request: query.into(),
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
            moment: None,
            replica: false,
            returns: 0,
            waited_ms: 0,
            took_ms: 0,
            target_ms: None,
            outcome: Outcome::Refused(error.kind),
            detail: error.detail.clone(),
        };
        self.out.push(ProxyEffect::Ended(Box::new(ended)));
    }
}
