//! Test harness: a proxy core with scripted endpoints and a simulated clock.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::rc::Rc;

use medlarstile::core::life::DrainTimes;
use medlarstile::core::proxy::catalog::{
    AccountLimit, CallerKey, Catalog, GroupConfig, ReadRule, Route,
};
use medlarstile::core::proxy::group::EndpointEntry;
use medlarstile::core::proxy::job::{Job, JobAnswer, JobEnd, Refusal, Setup, Work};
use medlarstile::core::proxy::lease::LeadProof;
use medlarstile::core::proxy::statement::{Access, Query, Statement};
use medlarstile::core::proxy::{Answer, LossReport, Margins, Proxy, ProxyEffect, ProxySpec};
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::ErrorKind;
use medlarstile::types::{
    Burst, ConnectionCount, ConnectionId, DurationMs, EndpointId, GroupId, MilliCores, Position,
    Priority, RatePerS, RowVersion, SessionId, TableVersion, Term, Timestamp,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Name of the only client account.
pub const ACCOUNT: &str = "north";
/// Key of that account.
pub const KEY: &str = "k-north";

/// A single read, a single write, and the begin of a read-write transaction.
pub const READ: Statement = Statement::Data(Access::Read);
pub const WRITE: Statement = Statement::Data(Access::Write);
pub const BEGIN: Statement = Statement::Begin { read_only: false };

/// Kind of the error with which the host refused a statement.
pub fn refused(answer: &Answer) -> Option<ErrorKind> {
    match answer {
        Answer::Refused(error) => Some(error.kind),
        _ => None,
    }
}

/// Parses an identifier of a test.
pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid id")
}

/// A log position.
pub fn at(term: u64, index: u64) -> Position {
    Position::new(Term(term), index)
}

/// A catalog with one database per read rule, all in the group `db`.
pub fn catalog(version: u64) -> Catalog {
    let route = |rule| {
        Rc::new(Route {
            group: id("db"),
            rule,
            statement_limit_ms: DurationMs(1_000),
            target_latency_ms: DurationMs(100),
            priority: Priority(1),
            open: false,
        })
    };
    let mut catalog = Catalog { version: TableVersion(version), ..Catalog::default() };
    catalog.routes.insert(id("orders"), route(ReadRule::Primary));
    catalog.routes.insert(id("lookups"), route(ReadRule::MaxAge(DurationMs(1_500))));
    catalog.routes.insert(id("plans"), route(ReadRule::OwnWrites(DurationMs(2_500))));
    let plan = GroupConfig {
        connections: ConnectionCount(8),
        sync_replicas: 0,
        slow_start: None,
        read_target_ms: DurationMs(100),
    };
    catalog.groups.insert(id("db"), plan);
    let plan = AccountLimit { rate_per_s: RatePerS(1_000).into(), burst: Burst(1_000).into() };
    catalog.accounts.insert(id(ACCOUNT), plan);
    catalog.keys.insert(CallerKey::new(KEY), id(ACCOUNT));
    catalog.transaction_idle_ms = DurationMs(3_000);
    catalog
}

/// The discovery entry of an endpoint.
pub fn entry(name: &str, claims_primary: bool) -> EndpointEntry {
    EndpointEntry {
        endpoint: id(name),
        group: id("db"),
        address: "127.0.0.1:5000".parse().expect("an address"),
        failure_domain: id("north"),
        leaving: false,
        claims_primary,
        started_ms: 1,
        cold_for_ms: DurationMs(0),
        report: None,
        version: RowVersion(1),
    }
}

/// A proxy core, the jobs that wait for an answer, and the effects that the core has emitted.
pub struct Rig {
    pub core: Proxy,
    pub now: Timestamp,
    pub jobs: VecDeque<(ConnectionId, EndpointId, Job)>,
    pub answers: Vec<(SessionId, Answer, TransactionState)>,
    pub closed: Vec<ConnectionId>,
    pub other: Vec<ProxyEffect>,
    /// Orders and rollbacks of the host, which were answered.
    pub host_jobs: Vec<(ConnectionId, Job)>,
    /// The primary.
    pub leads: EndpointId,
    /// Endpoints that do not answer.
    pub unresponsive: Vec<EndpointId>,
    open: std::collections::BTreeMap<ConnectionId, EndpointId>,
    next_query: u64,
}

impl Rig {
    /// A serving host with the primary `a` and the replicas `b` and `c`. The endpoints accept every
    /// connection and answer orders of the host without the test.
    pub fn new() -> Self {
        Self::with_proof(LeadProof::Transaction)
    }

    /// The same host with a proof of the lead.
    pub fn with_proof(lead_proof: LeadProof) -> Self {
        let spec = ProxySpec {
            host: id("h1"),
            failure_domain: id("north"),
            processor: MilliCores(250),
            drain: DrainTimes {
                notice_ms: DurationMs(2_000),
                limit_ms: DurationMs(2_000),
                finish_ms: Some(DurationMs(1_000)),
            },
            lead_proof,
            margins: Margins::default(),
        };
        let mut rig = Self {
            core: Proxy::new(spec, ChaCha8Rng::seed_from_u64(1)),
            now: Timestamp(1_000_000),
            jobs: VecDeque::new(),
            answers: Vec::new(),
            closed: Vec::new(),
            other: Vec::new(),
            host_jobs: Vec::new(),
            leads: id("a"),
            unresponsive: Vec::new(),
            open: std::collections::BTreeMap::new(),
            next_query: 0,
        };
        rig.core.set_hosts(rig.now, Vec::new(), |_| true);
        rig.core.set_catalog(rig.now, catalog(1));
        rig.core.set_entries(rig.now, vec![entry("a", true), entry("b", false), entry("c", false)]);
        rig.pass(20);
        rig
    }

    /// Advances the clock by `ms` milliseconds with a tick every 20 ms.
    pub fn pass(&mut self, ms: u64) {
        let end = Timestamp(self.now.0 + ms * 1_000);
        while self.now < end {
            self.now = Timestamp((self.now.0 + 20_000).min(end.0));
            self.core.tick(self.now);
            self.settle();
        }
    }

    /// Performs the emitted effects: connections open at once, jobs wait for the test's answer.
    pub fn settle(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    ProxyEffect::Connect { connection, endpoint, .. } => {
                        self.open.insert(connection, endpoint.clone());
                        if !self.unresponsive.contains(&endpoint) {
                            self.core.on_opened(self.now, connection);
                        }
                    }
                    ProxyEffect::Run(connection, job) => {
                        let endpoint = self.open[&connection].clone();
                        self.jobs.push_back((connection, endpoint, job));
                    }
                    ProxyEffect::Close(connection) => {
                        self.jobs.retain(|(found, _, _)| *found != connection);
                        self.closed.push(connection);
                    }
                    ProxyEffect::Answer { session, answer, state } => {
                        self.answers.push((session, answer, state));
                    }
                    other => self.other.push(other),
                }
            }
            self.answer_host_jobs();
        }
    }

    /// Answers orders and rollbacks at once; the log position of the primary is index 10.
    fn answer_host_jobs(&mut self) {
        let is_host_job = |job: &Job| matches!(job.work, Work::Nothing | Work::Order(_));
        let (host_jobs, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.jobs).into_iter().partition(|(_, _, job)| is_host_job(job));
        self.jobs = kept.into();
        for (connection, endpoint, job) in host_jobs {
            self.host_jobs.push((connection, job.clone()));
            let begins_transaction =
                job.setup.iter().any(|step| matches!(step, Setup::Begin { .. }));
            if self.unresponsive.contains(&endpoint) {
                continue;
            }
            if begins_transaction && endpoint != self.leads {
                let end = JobEnd::SetupRefused(Refusal::ReadOnly);
                self.core.on_job_end(self.now, connection, end);
                continue;
            }
            if begins_transaction {
                let term = if self.leads == id("a") { 1 } else { 2 };
                self.core.on_transaction_began(self.now, connection, at(term, 10));
            }
            self.core.on_job_end(self.now, connection, JobEnd::RolledBack);
        }
    }

    /// Opens a session of the account.
    pub fn session(&mut self, number: u64, database: &str) -> SessionId {
        let session = SessionId(number);
        self.core.open_session(self.now, session, database, KEY).expect("the session is open");
        session
    }

    /// Sends a statement.
    pub fn send(&mut self, session: SessionId, statement: Statement) {
        self.next_query += 1;
        let text = match statement {
            Statement::Data(Access::Read) => "READ 1",
            Statement::Data(Access::Write) => "WRITE 1 x",
            Statement::Commit => "COMMIT",
            _ => "",
        };
        let query =
            Query { id: format!("q{}", self.next_query).into(), statement, text: text.into() };
        self.core.submit(self.now, session, query);
        self.settle();
    }

    /// Takes the job that has waited longest.
    pub fn next_job(&mut self) -> (ConnectionId, EndpointId, Job) {
        self.jobs.pop_front().expect("a job waits")
    }

    /// Answers a job with success, and its rollback, if it has one.
    pub fn succeed(&mut self, connection: ConnectionId, job: &Job, state: TransactionState) {
        let begins_transaction =
            job.setup.iter().any(|step| matches!(step, Setup::Begin { read_only: false, .. }));
        if begins_transaction {
            self.core.on_transaction_began(self.now, connection, at(1, 10));
        }
        // A read inside a transaction of the host is answered before the transaction ends.
        let state = if job.rollback { TransactionState::Open } else { state };
        self.end(connection, Ok("signed".into()), state);
        if job.rollback {
            self.core.on_job_end(self.now, connection, JobEnd::RolledBack);
            self.settle();
        }
    }

    /// Answers the statement of a job with success, in this state whatever its transaction is.
    pub fn succeed_in(&mut self, connection: ConnectionId, state: TransactionState) {
        self.end(connection, Ok("signed".into()), state);
    }

    /// Refuses the statement of a job, because the endpoint has applied only `position` of the log.
    pub fn refuse_lagging(&mut self, connection: ConnectionId, position: Position) {
        let answer = JobAnswer {
            rows: Vec::new(),
            result: Err((Refusal::Lagging, "".into())),
            transaction: TransactionState::Idle,
            position: Some(position),
            status: None,
        };
        self.core.on_job_end(self.now, connection, JobEnd::Answered(answer));
        self.settle();
    }

    /// Refuses the statement of a job.
    pub fn refuse(&mut self, connection: ConnectionId, refusal: Refusal, state: TransactionState) {
        self.end(connection, Err((refusal, "".into())), state);
    }

    fn end(
        &mut self,
        connection: ConnectionId,
        result: Result<compact_str::CompactString, (Refusal, compact_str::CompactString)>,
        transaction: TransactionState,
    ) {
        let position = Some(at(1, 11));
        let answer = JobAnswer { rows: Vec::new(), result, transaction, position, status: None };
        self.core.on_job_end(self.now, connection, JobEnd::Answered(answer));
        self.settle();
    }

    /// Loses a connection; `sent` tells whether its statement was sent before.
    pub fn lose(&mut self, connection: ConnectionId, sent: bool) {
        let report = LossReport { sent, refusal: None, cause: "reset".into() };
        self.core.on_lost(self.now, connection, &report);
        self.settle();
    }

    /// The last answer to any caller.
    pub fn last_answer(&self) -> &(SessionId, Answer, TransactionState) {
        self.answers.last().expect("an answer")
    }

    /// The only group.
    pub fn group(&self) -> &medlarstile::core::proxy::group::GroupState {
        let wanted: GroupId = id("db");
        self.core.groups().find(|(group, _)| **group == wanted).expect("the group").1
    }
}
