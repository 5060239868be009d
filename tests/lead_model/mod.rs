//! Simulation of hosts that fail over a group whose old primary leads on and whose platform checks
//! no fencing tokens, driven by a seeded queue of events.

mod world;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use medlarstile::core::group::Role;
use medlarstile::core::life::DrainTimes;
use medlarstile::core::proxy::catalog::{
    AccountLimit, CallerKey, Catalog, GroupConfig, ReadRule, Route,
};
use medlarstile::core::proxy::failover::{Claim, ClaimError, PromoteAnswer};
use medlarstile::core::proxy::group::EndpointEntry;
use medlarstile::core::proxy::home::HomeCandidate;
use medlarstile::core::proxy::job::{
    Job, JobAnswer, JobEnd, Order, Refusal, Setup, StatusReport, Work,
};
use medlarstile::core::proxy::lease::{ClaimRows, LeadProof, StoreRead};
use medlarstile::core::proxy::statement::{Access, Query, Statement};
use medlarstile::core::proxy::{Answer, Margins, Proxy, ProxyEffect, ProxySpec};
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::Ran;
use medlarstile::types::{
    Burst, ConnectionCount, ConnectionId, DurationMs, EndpointId, GroupId, HostId, MilliCores,
    Position, Priority, RatePerS, RowVersion, SessionId, TableVersion, Term, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use world::{place_of, World, ENDPOINTS};

/// One millisecond, in the microseconds in which the model counts time.
pub const MS: u64 = 1_000;
const MAX_AGE_MS: u64 = 1_500;
const CALL_LIMIT: u64 = 1_000 * MS;
const FEED_WAIT: u64 = 450 * MS;

/// A fault; hosts are numbered from 0, endpoints from 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Two places do not reach each other.
    Cut(usize, usize),
    /// A host and an endpoint reach each other and nothing else.
    DomainCut(usize, usize),
    StoreDown,
    /// The store is down and comes back from a copy that was this old when it went.
    Restore(u64),
    /// The store does not serve a host.
    TurnedAway(usize),
    Freeze(usize),
    Restart(usize),
    EndpointCrash(usize),
    /// Writes and promotions of a host are carried out late and not answered.
    LateCalls(usize),
}

/// A history: faults with the time at which they begin and end.
#[derive(Debug, Clone)]
pub struct Plan {
    pub hosts: usize,
    pub faults: Vec<(u64, u64, Fault)>,
    pub ends: u64,
    pub lead_proof: LeadProof,
    /// Whether the platform checks fencing tokens.
    pub is_fenced: bool,
}

enum Call {
    Claim(RowVersion, Claim),
    Promote(EndpointId, RowVersion),
}

/// What happens to a host.
enum Input {
    Tick,
    Peer(usize, Message),
    Rows { version: RowVersion, claim: Option<Claim>, read: StoreRead },
    FeedCall,
    Called(u64, CallEnd),
    Opened(ConnectionId),
    Began(ConnectionId, Position),
    Ended(ConnectionId, JobEnd),
    Submit { write: bool, database: &'static str },
    LinkOpened(usize),
}

enum CallEnd {
    Claimed(Result<RowVersion, ClaimError>),
    Promoted(PromoteAnswer),
}

#[derive(Clone)]
enum Message {
    Knowledge(medlarstile::core::proxy::lease::Knowledge),
    Claims(ClaimRows),
    ClaimsRequest(RowVersion),
    Confirmed(RowVersion),
    Demand(medlarstile::core::proxy::quota::Demand),
}

enum Event {
    Host { host: usize, incarnation: u64, input: Input },
    Feed { host: usize, incarnation: u64, sent: u64, known: u64 },
    Store { host: usize, incarnation: u64, id: u64, call: Call },
    Job { host: usize, incarnation: u64, connection: ConnectionId, place: usize, job: Job },
    Promotion(EndpointId),
    Replicate,
    Fault(Fault, bool),
    Traffic,
}

struct Host {
    core: Proxy,
    /// Difference of its clock to the model's.
    offset: u64,
    incarnation: u64,
    frozen: bool,
    known: u64,
    /// Calls to the store and to the promotion service that wait for the one under way.
    calls: [VecDeque<Call>; 2],
    running: [Option<u64>; 2],
    connections: BTreeMap<ConnectionId, usize>,
    deferred: Vec<Input>,
}

pub struct Simulation {
    plan: Plan,
    now: u64,
    sequence: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    hosts: Vec<Host>,
    pub world: World,
    faults: Vec<Fault>,
    next_id: u64,
    /// Begin of each statement's operation, minus the age that its route allows.
    statements: BTreeMap<u64, (u64, bool)>,
}

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid id")
}

fn host_id(host: usize) -> HostId {
    id(&format!("h{host}"))
}

fn host_number(host: &HostId) -> usize {
    host.as_str()[1..].parse().expect("a number")
}

fn catalog() -> Catalog {
    let route = |rule| {
        Rc::new(Route {
            group: id("db"),
            rule,
            statement_limit_ms: DurationMs(800),
            target_latency_ms: DurationMs(150),
            priority: Priority(1),
            open: false,
        })
    };
    let mut catalog = Catalog { version: TableVersion(1), ..Catalog::default() };
    catalog.routes.insert(id("orders"), route(ReadRule::Primary));
    catalog.routes.insert(id("lookups"), route(ReadRule::MaxAge(DurationMs(MAX_AGE_MS))));
    let group = GroupConfig {
        connections: ConnectionCount(60),
        sync_replicas: 0,
        slow_start: None,
        read_target_ms: DurationMs(100),
    };
    catalog.groups.insert(id("db"), group);
    let limit = AccountLimit { rate_per_s: RatePerS(10_000).into(), burst: Burst(10_000).into() };
    catalog.accounts.insert(id("north"), limit);
    catalog.keys.insert(CallerKey::new("k"), id("north"));
    catalog
}

impl Simulation {
    pub fn run(seed: u64, plan: Plan) -> World {
        let mut simulation = Self {
            now: 1_000 * MS,
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            hosts: Vec::new(),
            world: World::new(plan.is_fenced),
            faults: Vec::new(),
            next_id: 0,
            statements: BTreeMap::new(),
            plan,
        };
        for host in 0..simulation.plan.hosts {
            let state = simulation.new_host(host, 0);
            simulation.hosts.push(state);
        }
        (0..simulation.plan.hosts).for_each(|host| simulation.start(host));
        for (from, to, fault) in simulation.plan.faults.clone() {
            simulation.push(from.saturating_sub(simulation.now), Event::Fault(fault, true));
            simulation.push(to.saturating_sub(simulation.now), Event::Fault(fault, false));
        }
        simulation.push(0, Event::Replicate);
        simulation.push(500 * MS, Event::Traffic);
        while simulation.now < simulation.plan.ends {
            let Some(((at, _), event)) = simulation.queue.pop_first() else { break };
            simulation.now = at;
            simulation.handle(event);
        }
        simulation.world
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn new_host(&mut self, host: usize, incarnation: u64) -> Host {
        let spec = ProxySpec {
            host: host_id(host),
            failure_domain: id("north"),
            processor: MilliCores(250),
            drain: DrainTimes {
                notice_ms: DurationMs(2_000),
                limit_ms: DurationMs(2_000),
                finish_ms: Some(DurationMs(1_000)),
            },
            lead_proof: self.plan.lead_proof,
            margins: Margins::default(),
        };
        let seed = self.rng.random();
        Host {
            core: Proxy::new(spec, ChaCha8Rng::seed_from_u64(seed)),
            offset: self.rng.random_range(0..1_000_000) * MS,
            incarnation,
            frozen: false,
            known: 0,
            calls: Default::default(),
            running: [None; 2],
            connections: BTreeMap::new(),
            deferred: Vec::new(),
        }
    }

    fn start(&mut self, host: usize) {
        let others = (0..self.plan.hosts).filter(|other| *other != host);
        let listed = others
            .clone()
            .map(|other| HomeCandidate { host: host_id(other), processor: MilliCores(250) })
            .collect();
        let entries = ENDPOINTS.iter().enumerate().map(|(place, name)| EndpointEntry {
            endpoint: id(name),
            group: id("db"),
            address: "127.0.0.1:5000".parse().expect("an address"),
            failure_domain: id("north"),
            leaving: false,
            claims_primary: place == self.world.primary,
            started_ms: 1,
            cold_for_ms: DurationMs(0),
            report: None,
            version: RowVersion(1),
        });
        let entries = entries.collect();
        let now = self.clock(host);
        let core = &mut self.hosts[host].core;
        core.set_catalog(now, catalog());
        core.set_hosts(now, listed, |_| true);
        core.set_entries(now, entries);
        for other in others {
            self.input(host, 5 * MS, Input::LinkOpened(other));
            self.input(other, 5 * MS, Input::LinkOpened(host));
        }
        self.input(host, 0, Input::FeedCall);
        self.input(host, 0, Input::Tick);
    }

    fn clock(&self, host: usize) -> Timestamp {
        Timestamp(self.now + self.hosts[host].offset)
    }

    fn input(&mut self, host: usize, delay: u64, input: Input) {
        let incarnation = self.hosts[host].incarnation;
        self.push(delay, Event::Host { host, incarnation, input });
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(300..3_000)
    }

    /// Whether two places reach each other; the store is place 200.
    fn linked(&self, one: usize, other: usize) -> bool {
        let cuts = |fault: &Fault| match *fault {
            Fault::Cut(a, b) => (a, b) == (one, other) || (b, a) == (one, other),
            Fault::DomainCut(host, endpoint) => {
                [host, endpoint].contains(&one) != [host, endpoint].contains(&other)
            }
            Fault::StoreDown | Fault::Restore(_) => one == 200 || other == 200,
            Fault::TurnedAway(host) => (host, 200) == (one, other) || (host, 200) == (other, one),
            _ => false,
        };
        !self.faults.iter().any(cuts)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Host { host, incarnation, input } => {
                if self.hosts[host].incarnation != incarnation {
                } else if self.hosts[host].frozen {
                    self.hosts[host].deferred.push(input);
                } else {
                    self.on_input(host, input);
                }
            }
            Event::Feed { host, incarnation, sent, known } => {
                self.on_feed(host, incarnation, sent, known);
            }
            Event::Store { host, incarnation, id, call } => {
                self.on_call(host, incarnation, id, call);
            }
            Event::Job { host, incarnation, connection, place, job } => {
                if self.hosts[host].incarnation == incarnation && self.linked(host, 100 + place) {
                    self.run_job(host, connection, place, &job);
                }
            }
            Event::Promotion(endpoint) => self.world.promote(&endpoint),
            Event::Replicate => {
                let faults: BTreeSet<(usize, usize)> = (0..3)
                    .flat_map(|a| (0..3).map(move |b| (a, b)))
                    .filter(|(a, b)| !self.linked(100 + a, 100 + b))
                    .collect();
                self.world.replicate(|a, b| !faults.contains(&(a, b)));
                self.push(20 * MS, Event::Replicate);
            }
            Event::Fault(fault, begins) => self.on_fault(fault, begins),
            Event::Traffic => {
                let host = self.rng.random_range(0..self.plan.hosts);
                let write = self.rng.random_bool(0.4);
                let database =
                    if write || self.rng.random_bool(0.5) { "orders" } else { "lookups" };
                self.input(host, 0, Input::Submit { write, database });
                self.push(6 * MS, Event::Traffic);
            }
        }
    }

    fn on_fault(&mut self, fault: Fault, begins: bool) {
        if begins {
            self.faults.push(fault);
        } else {
            self.faults.retain(|one| *one != fault);
        }
        match fault {
            Fault::Freeze(host) => {
                self.hosts[host].frozen = begins;
                let deferred = std::mem::take(&mut self.hosts[host].deferred);
                for input in deferred {
                    self.input(host, 0, input);
                }
            }
            Fault::Restore(age) if !begins => {
                let went_at = self.plan.faults.iter().find(|(.., one)| *one == fault);
                let (went_at, ..) = went_at.expect("the fault");
                self.world.restore(went_at.saturating_sub(age));
            }
            Fault::Restart(host) if begins => {
                let incarnation = self.hosts[host].incarnation + 1;
                self.hosts[host] = self.new_host(host, incarnation);
                self.start(host);
            }
            Fault::EndpointCrash(place) if begins => self.world.endpoints[place].alive = false,
            Fault::EndpointCrash(place) => self.world.revive(place),
            _ => {}
        }
    }

    fn on_feed(&mut self, host: usize, incarnation: u64, sent: u64, known: u64) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        if !self.linked(host, 200) {
            return self.input(host, 1_900 * MS, Input::FeedCall);
        }
        if self.world.claim.0 .0 <= known && known > 0 && self.now < sent + FEED_WAIT {
            return self.push(5 * MS, Event::Feed { host, incarnation, sent, known });
        }
        let (version, claim) = self.world.claim.clone();
        let sent_at = Timestamp(sent + self.hosts[host].offset);
        let store_ms = Some(self.now / MS);
        let read = StoreRead { sent_at, received_at: sent_at, store_ms };
        let delay = self.delay();
        self.input(host, delay, Input::Rows { version, claim, read });
    }

    fn on_call(&mut self, host: usize, incarnation: u64, id: u64, call: Call) {
        let late = self.faults.contains(&Fault::LateCalls(host));
        if !self.linked(host, 200) {
            return;
        }
        if late && self.rng.random_bool(0.5) {
            // Carried out later, without an answer.
            let delay = self.rng.random_range(100..2_500) * MS;
            if let Call::Claim(..) = call {
                let incarnation = u64::MAX;
                self.push(delay, Event::Store { host, incarnation, id, call });
            } else if let Call::Promote(endpoint, token) = call {
                if self.world.order_promotion(host, token, &endpoint) {
                    self.push(delay, Event::Promotion(endpoint));
                }
            }
            return;
        }
        let end = match call {
            Call::Claim(version, claim) => {
                CallEnd::Claimed(self.world.swap(self.now, version, claim))
            }
            Call::Promote(endpoint, token) => {
                let accepted = self.world.order_promotion(host, token, &endpoint);
                if accepted {
                    let delay = self.rng.random_range(300..700) * MS;
                    self.push(delay, Event::Promotion(endpoint));
                }
                let answer =
                    if accepted { PromoteAnswer::Accepted } else { PromoteAnswer::Refused };
                CallEnd::Promoted(answer)
            }
        };
        if !late && self.hosts[host].incarnation == incarnation {
            let delay = self.delay();
            self.input(host, delay, Input::Called(id, end));
        }
    }

    fn start_call(&mut self, host: usize, queue: usize) {
        if self.hosts[host].running[queue].is_some() {
            return;
        }
        let Some(call) = self.hosts[host].calls[queue].pop_front() else { return };
        self.next_id += 1;
        let id = self.next_id;
        let incarnation = self.hosts[host].incarnation;
        self.hosts[host].running[queue] = Some(id);
        let lost = match &call {
            Call::Claim(..) => CallEnd::Claimed(Err(ClaimError::Unknown)),
            Call::Promote(..) => CallEnd::Promoted(PromoteAnswer::Unknown),
        };
        let delay = self.delay();
        self.push(delay, Event::Store { host, incarnation, id, call });
        self.input(host, CALL_LIMIT, Input::Called(id, lost));
    }

    fn on_input(&mut self, host: usize, input: Input) {
        let now = self.clock(host);
        let group: GroupId = id("db");
        let core = &mut self.hosts[host].core;
        match input {
            Input::Tick => {
                core.tick(now);
                self.input(host, 20 * MS, Input::Tick);
            }
            Input::LinkOpened(other) => core.on_link_opened(now, &host_id(other)),
            Input::Peer(from, message) => match message {
                Message::Knowledge(knowledge) => {
                    core.on_knowledge(now, &host_id(from), knowledge);
                }
                Message::Claims(rows) => core.on_claims(now, rows),
                Message::ClaimsRequest(after) => core.on_claims_requested(host_id(from), after),
                Message::Confirmed(version) => {
                    core.on_claim_confirmed(now, host_id(from), &group, version);
                }
                Message::Demand(demand) => core.on_demand_report(now, host_id(from), demand),
            },
            Input::Rows { version, claim, read } => {
                core.on_listed();
                if version.is_absent() {
                    core.on_claim_rows_read(now, version, &BTreeSet::new());
                } else {
                    core.on_claim_row(now, &group, version, claim.as_ref());
                }
                core.on_store_read(now, StoreRead { received_at: now, ..read });
                self.hosts[host].known = version.0.max(1);
                self.input(host, 0, Input::FeedCall);
            }
            Input::FeedCall => {
                let (incarnation, known) = (self.hosts[host].incarnation, self.hosts[host].known);
                let (sent, delay) = (self.now, self.delay());
                self.push(delay, Event::Feed { host, incarnation, sent, known });
            }
            Input::Called(id, end) => {
                let queue = usize::from(matches!(end, CallEnd::Promoted(_)));
                if self.hosts[host].running[queue] == Some(id) {
                    self.hosts[host].running[queue] = None;
                    let core = &mut self.hosts[host].core;
                    match end {
                        CallEnd::Claimed(result) => core.on_claimed(now, &group, result),
                        CallEnd::Promoted(answer) => core.on_promoted(now, &group, answer),
                    }
                    self.start_call(host, queue);
                }
            }
            Input::Opened(connection) => core.on_opened(now, connection),
            Input::Began(connection, position) => {
                core.on_transaction_began(now, connection, position);
            }
            Input::Ended(connection, end) => core.on_job_end(now, connection, end),
            Input::Submit { write, database } => self.submit(host, write, database),
        }
        self.carry_out(host);
    }

    fn submit(&mut self, host: usize, write: bool, database: &'static str) {
        self.next_id += 1;
        let statement = self.next_id;
        let age = if database == "lookups" { MAX_AGE_MS * MS } else { 0 };
        self.statements.insert(statement, (self.now.saturating_sub(age), write));
        let now = self.clock(host);
        let core = &mut self.hosts[host].core;
        let session = SessionId(statement);
        if core.open_session(now, session, database, "k").is_ok() {
            let access = if write { Access::Write } else { Access::Read };
            let text = if write { "WRITE 1 x" } else { "READ 1" };
            let query = Query {
                id: statement.to_string().into(),
                statement: Statement::Data(access),
                text: text.into(),
            };
            core.submit(now, session, query);
        }
    }

    fn carry_out(&mut self, host: usize) {
        loop {
            let effects = self.hosts[host].core.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out_effect(host, effect);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.linked(from, to) {
            let delay = self.delay();
            self.input(to, delay, Input::Peer(from, message));
        }
    }

    fn broadcast(&mut self, from: usize, message: &Message) {
        for to in (0..self.plan.hosts).filter(|to| *to != from) {
            self.send(from, to, message.clone());
        }
    }

    fn carry_out_effect(&mut self, host: usize, effect: ProxyEffect) {
        match effect {
            ProxyEffect::Connect { connection, endpoint, .. } => {
                let place = place_of(&endpoint).expect("a known endpoint");
                self.hosts[host].connections.insert(connection, place);
                if self.world.endpoints[place].alive && self.linked(host, 100 + place) {
                    let delay = self.delay();
                    self.input(host, delay, Input::Opened(connection));
                }
            }
            ProxyEffect::Close(connection) => {
                self.hosts[host].connections.remove(&connection);
            }
            ProxyEffect::Run(connection, job) => {
                let Some(place) = self.hosts[host].connections.get(&connection).copied() else {
                    return;
                };
                let incarnation = self.hosts[host].incarnation;
                // A statement may wait long for a slot.
                let queued = if self.rng.random_bool(0.05) { 400 * MS } else { 10 * MS };
                let delay = self.delay() + self.rng.random_range(0..queued);
                self.push(delay, Event::Job { host, incarnation, connection, place, job });
            }
            ProxyEffect::Answer { session, answer, .. } => {
                self.on_answer(session.0, &answer);
                let now = self.clock(host);
                self.hosts[host].core.close_session(now, session);
            }
            ProxyEffect::Claim(_, version, claim) => {
                self.hosts[host].calls[0].push_back(Call::Claim(version, claim));
                self.start_call(host, 0);
            }
            ProxyEffect::Promote(_, endpoint, token) => {
                self.hosts[host].calls[1].push_back(Call::Promote(endpoint, token));
                self.start_call(host, 1);
            }
            ProxyEffect::ReportDemand(demand) => {
                self.broadcast(host, &Message::Demand(demand));
            }
            ProxyEffect::ReportReads => {
                let now = self.clock(host);
                for other in (0..self.plan.hosts).filter(|other| *other != host) {
                    self.hosts[host].core.share_knowledge(now, &host_id(other));
                }
            }
            ProxyEffect::ShareKnowledge(to, knowledge) => {
                self.send(host, host_number(&to), Message::Knowledge(knowledge));
            }
            ProxyEffect::AnnounceClaim(group, version, claim) => {
                let (after, complete) = (version, RowVersion(0));
                let rows = vec![(group, version, claim)];
                self.broadcast(host, &Message::Claims(ClaimRows { after, complete, rows }));
            }
            ProxyEffect::ConfirmClaim(to, _, version) => {
                self.send(host, host_number(&to), Message::Confirmed(version));
            }
            ProxyEffect::RequestClaims(to, after) => {
                self.send(host, host_number(&to), Message::ClaimsRequest(after));
            }
            ProxyEffect::SendClaims(to, rows) => {
                self.send(host, host_number(&to), Message::Claims(rows));
            }
            _ => {}
        }
    }

    fn on_answer(&mut self, statement: u64, answer: &Answer) {
        let not_run = match answer {
            Answer::Endpoint { .. } => return self.world.on_success(self.now, statement),
            Answer::EndpointRefused(refusal, _) => *refusal != Refusal::Other,
            Answer::Refused(error) => error.kind.answer().ran == Ran::NotRun,
            Answer::Done => false,
        };
        if not_run {
            self.world.on_promise(self.now, statement);
        }
    }

    /// Runs a job at its endpoint and sends the answers.
    fn run_job(&mut self, host: usize, connection: ConnectionId, place: usize, job: &Job) {
        let position = self.world.position(place);
        let leads = self.world.endpoints[place].leads.is_some();
        if !self.world.endpoints[place].alive {
            return;
        }
        let delay = self.delay();
        let mut began = None;
        for step in &job.setup {
            let refusal = match step {
                Setup::Begin { read_only: false, .. } if !leads => Some(Refusal::ReadOnly),
                Setup::Begin { read_only: false, .. } => {
                    began = Some(position);
                    None
                }
                _ => None,
            };
            if let Some(refusal) = refusal {
                return self.input(
                    host,
                    delay,
                    Input::Ended(connection, JobEnd::SetupRefused(refusal)),
                );
            }
        }
        if let Some(position) = began {
            self.input(host, delay, Input::Began(connection, position));
        }
        if job.work != Work::Nothing {
            let answer = self.work(place, &job.work);
            let end = JobEnd::Answered(answer);
            self.input(host, delay, Input::Ended(connection, end));
        }
        if job.rollback {
            self.input(host, delay, Input::Ended(connection, JobEnd::RolledBack));
        }
    }

    fn work(&mut self, place: usize, work: &Work) -> JobAnswer {
        let mut status = None;
        let mut result = Ok("signed".into());
        match work {
            Work::Statement { id, after, .. } => {
                let statement: u64 = id.parse().expect("a number");
                let (began, write) = self.statements[&statement];
                if after.is_some_and(|after| self.world.position(place) < after) {
                    result = Err((Refusal::Lagging, "".into()));
                } else if write && self.world.endpoints[place].leads.is_none() {
                    result = Err((Refusal::ReadOnly, "".into()));
                } else {
                    self.world.run(self.now, statement, place, write, began);
                }
            }
            Work::Order(order) => {
                let endpoint = &mut self.world.endpoints[place];
                if let Order::Demote(term) = order {
                    endpoint.leads = endpoint.leads.filter(|own| *own >= term.0);
                }
                let role = if endpoint.leads.is_some() { Role::Primary } else { Role::Replica };
                let term = Term(endpoint.leads.unwrap_or(endpoint.term));
                let received = self.world.position(place);
                status = Some(StatusReport { role, term, received, lag_ms: DurationMs(0) });
            }
            Work::Nothing => {}
        }
        let position = Some(self.world.position(place));
        let transaction = TransactionState::Idle;
        JobAnswer { rows: Vec::new(), result, transaction, position, status }
    }
}
