//! Simulation of a group, its hosts and the platform's row, driven by a seeded queue of events.

mod check;
mod endpoint;
mod fault;
mod host;
mod serve;
mod store;

use std::collections::{BTreeMap, BTreeSet};

use medlarstile::core::group::EndpointStatus;
use medlarstile::core::promotion::{GroupRecord, ReadFault, SwapFault};
use medlarstile::types::{Position, RowVersion, Term, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use check::Checks;
pub use check::Report;
use endpoint::{Endpoint, Replication};
use host::{Host, RequiredWrites};
use store::Store;

pub const ENDPOINTS: usize = 3;

/// One millisecond, in the microseconds in which the model counts time.
pub const MS: u64 = 1_000;

/// Safety mechanisms of the endpoints, which a test can switch off.
#[derive(Debug, Clone, Copy)]
pub struct Mechanisms {
    /// The primary counts a position as confirmed only once a majority holds it.
    pub majority: bool,
    /// A fenced endpoint accepts nothing below its fenced term.
    pub fencing: bool,
}

/// Settings of one history; times are in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    pub mechanisms: Mechanisms,
    pub hosts: usize,
    /// Faults occur between 1 s and this time.
    pub faults_until: u64,
    /// When and how the first primary fails, for the rest of the history.
    pub lose_primary_at: Option<(u64, Loss)>,
    pub ends: u64,
}

/// How the primary fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    Crash,
    /// Cut off from all hosts and endpoints.
    Isolation,
    /// Cut off from the other endpoints only.
    Stall,
    /// Cut off from half of the hosts while the platform is slow; later also from one replica.
    Partial,
    /// The link to one replica is cut.
    Link,
}

/// What a host sends to an endpoint.
#[derive(Debug, Clone)]
enum Order {
    Write { id: u64, session: usize, submitted: u64 },
    Read { required: RequiredWrites },
    Probe { sent: Timestamp },
    Fence(u64),
    Promote(u64),
    Follow(u64, usize),
}

/// What an endpoint sends to a host.
#[derive(Debug, Clone)]
enum Reply {
    Status(Option<Timestamp>),
    Written { id: u64, session: usize, submitted: u64, position: Position },
    Shown { position: Position, id: u64 },
    Fenced(u64),
    Ordered,
    Refused,
    Lost,
}

#[derive(Debug, Clone)]
enum Call {
    Read,
    Swap(RowVersion, GroupRecord),
}

#[derive(Debug, Clone)]
enum Answer {
    Read(Result<Option<(RowVersion, GroupRecord)>, ReadFault>),
    Swapped(GroupRecord, Result<RowVersion, SwapFault>),
}

#[derive(Debug, Clone)]
enum Event {
    EndpointTick(usize),
    HostTick(usize),
    ClientRequest,
    Fault,
    EndFaults,
    LosePrimary(Loss),
    ToEndpoint { host: usize, endpoint: usize, connection: u64, epoch: u64, order: Order },
    ToHost { host: usize, endpoint: usize, connection: u64, reply: Reply, status: EndpointStatus },
    Replicate { from: usize, to: usize, message: Replication },
    StoreCall { host: usize, incarnation: u64, call: Call },
    StoreAnswer { host: usize, incarnation: u64, answer: Answer },
}

pub struct Simulation {
    options: Options,
    now: u64,
    sequence: u64,
    last_id: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    endpoints: Vec<Endpoint>,
    last_pushed: Vec<Option<(u64, EndpointStatus)>>,
    hosts: Vec<Host>,
    store: Store,
    /// Pairs of endpoints and hosts that cannot reach each other; hosts are numbered after the
    /// endpoints.
    cut_links: BTreeSet<(usize, usize)>,
    /// Time of the last delivery for each sender and receiver, which keeps messages of a connection
    /// in order.
    delivered: BTreeMap<(usize, usize), u64>,
    checks: Checks,
}

impl Simulation {
    /// Runs one history and reports what the checks found.
    pub fn run(seed: u64, options: Options) -> Report {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let host = |index| Host::new(index, options.hosts, 0, &mut rng);
        let hosts = (0..options.hosts).map(host).collect();
        let mut simulation = Self {
            options,
            now: 0,
            sequence: 0,
            last_id: 0,
            rng,
            queue: BTreeMap::new(),
            endpoints: (0..ENDPOINTS)
                .map(|index| Endpoint::new(options.mechanisms, index))
                .collect(),
            last_pushed: vec![None; ENDPOINTS],
            hosts,
            store: Store::new(),
            cut_links: BTreeSet::new(),
            delivered: BTreeMap::new(),
            checks: Checks::new(),
        };
        simulation.schedule_first_events();
        while let Some(((time, _), event)) = simulation.queue.pop_first() {
            if time > options.ends {
                break;
            }
            simulation.now = time;
            simulation.on_event(event);
        }
        simulation.checks.finish(&simulation.endpoints)
    }

    fn schedule_first_events(&mut self) {
        for index in 0..ENDPOINTS {
            self.schedule_after(index as u64 * MS, Event::EndpointTick(index));
        }
        for index in 0..self.hosts.len() {
            self.schedule_after(index as u64 * 3 * MS, Event::HostTick(index));
        }
        self.schedule_after(100 * MS, Event::ClientRequest);
        if self.options.faults_until > 0 {
            self.schedule_after(1_000 * MS, Event::Fault);
            self.schedule_after(self.options.faults_until, Event::EndFaults);
        }
        if let Some((time, loss)) = self.options.lose_primary_at {
            self.schedule_after(time, Event::LosePrimary(loss));
        }
    }

    fn schedule_after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    /// Delay of a message on a connection: usually about a millisecond, sometimes far more.
    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let slow = self.options.faults_until > self.now && self.rng.random_ratio(1, 50);
        let delay = self.rng.random_range(300..if slow { 80 * MS } else { 2 * MS });
        let last = self.delivered.entry((from, to)).or_insert(0);
        *last = (*last).max(self.now + delay);
        *last - self.now
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::EndpointTick(index) => self.on_endpoint_tick(index),
            Event::HostTick(host) => {
                self.unless_paused(host, Event::HostTick(host), |simulation| {
                    simulation.on_host_tick(host);
                    simulation.schedule_after(20 * MS, Event::HostTick(host));
                })
            }
            Event::ClientRequest => self.on_client_request(),
            Event::Fault => self.on_fault(),
            Event::EndFaults => self.on_end_faults(),
            Event::LosePrimary(loss) => self.on_lose_primary(loss),
            Event::ToEndpoint { host, endpoint, connection, epoch, order } => {
                self.on_order(host, endpoint, (connection, epoch), order);
            }
            Event::ToHost { host, endpoint, connection, reply, status } => {
                let again =
                    Event::ToHost { host, endpoint, connection, reply: reply.clone(), status };
                self.unless_paused(host, again, |simulation| {
                    simulation.on_reply(host, endpoint, connection, reply, status);
                });
            }
            Event::Replicate { from, to, message } => self.on_replicate(from, to, message),
            Event::StoreCall { host, incarnation, call } => {
                self.on_store_call(host, incarnation, call)
            }
            Event::StoreAnswer { host, incarnation, answer } => {
                let again = Event::StoreAnswer { host, incarnation, answer: answer.clone() };
                self.unless_paused(host, again, |simulation| {
                    simulation.on_store_answer(host, incarnation, answer);
                });
            }
        }
    }

    /// Runs `act`, or postpones `event` until the host resumes if it is paused.
    fn unless_paused(&mut self, host: usize, event: Event, act: impl FnOnce(&mut Self)) {
        match self.hosts[host].paused_until.checked_sub(self.now) {
            Some(left) if left > 0 => self.schedule_after(left, event),
            _ => act(self),
        }
    }

    fn on_endpoint_tick(&mut self, index: usize) {
        self.schedule_after(5 * MS, Event::EndpointTick(index));
        if !self.endpoints[index].up {
            return;
        }
        if self.rng.random_ratio(7, 10) {
            self.endpoints[index].durable = self.endpoints[index].log.len();
        }
        if let Some((upstream, message)) = self.endpoints[index].pull() {
            self.send_replication(index, upstream, message);
        }
        self.push_status(index);
    }

    fn push_status(&mut self, index: usize) {
        let (epoch, status) = (self.endpoints[index].epoch, self.endpoints[index].status());
        if self.last_pushed[index] == Some((epoch, status)) {
            return;
        }
        self.last_pushed[index] = Some((epoch, status));
        for host in 0..self.hosts.len() {
            match self.hosts[host].connections[index].open {
                Some((connection, at)) if at == epoch => {
                    self.send_reply(host, index, connection, Reply::Status(None));
                }
                Some((connection, _)) => self.send_reply(host, index, connection, Reply::Lost),
                None => {}
            }
        }
    }

    /// Sends a message between endpoints. During faults it may be lost, delayed or reordered.
    fn send_replication(&mut self, from: usize, to: usize, message: Replication) {
        let faulty = self.options.faults_until > self.now;
        if faulty && self.rng.random_ratio(1, 30) {
            return;
        }
        let longest = if faulty && self.rng.random_ratio(1, 20) { 200 * MS } else { 2 * MS };
        let delay = self.rng.random_range(300..longest);
        self.schedule_after(delay, Event::Replicate { from, to, message });
    }

    fn on_replicate(&mut self, from: usize, to: usize, message: Replication) {
        if self.is_cut(from, to) || !self.endpoints[to].up {
            return;
        }
        if let Some(answer) = self.endpoints[to].on_replication(from, message) {
            self.send_replication(to, from, answer);
        }
    }

    fn send_reply(&mut self, host: usize, endpoint: usize, connection: u64, reply: Reply) {
        let mut status = self.endpoints[endpoint].status();
        if let Reply::Fenced(term) = reply {
            status.fenced_term = Term(term);
        }
        let delay = self.delay(endpoint, ENDPOINTS + host);
        self.schedule_after(delay, Event::ToHost { host, endpoint, connection, reply, status });
    }

    fn send_order(&mut self, host: usize, endpoint: usize, order: Order) {
        let Some((connection, epoch)) = self.hosts[host].connections[endpoint].open else { return };
        let delay = self.delay(ENDPOINTS + host, endpoint);
        self.schedule_after(delay, Event::ToEndpoint { host, endpoint, connection, epoch, order });
    }

    fn on_order(&mut self, host: usize, index: usize, on: (u64, u64), order: Order) {
        let cut = self.is_cut(index, ENDPOINTS + host);
        let endpoint = &mut self.endpoints[index];
        if cut || !endpoint.up || endpoint.epoch != on.1 {
            let connection = &mut self.hosts[host].connections[index];
            if connection.open == Some(on) {
                connection.broken_at.get_or_insert(self.now);
            }
            return;
        }
        let reply = match order {
            Order::Write { id, session, submitted } => {
                endpoint.write(id).map_or(Reply::Status(None), |position| Reply::Written {
                    id,
                    session,
                    submitted,
                    position,
                })
            }
            Order::Read { required } => {
                let position = endpoint.last();
                let id = endpoint.log.last().map_or(0, |entry| entry.id);
                self.checks.on_read(&self.endpoints[index], required, self.now, (host, index));
                Reply::Shown { position, id }
            }
            Order::Probe { sent } => Reply::Status(Some(sent)),
            Order::Fence(term) if endpoint.fence(term) => Reply::Fenced(term),
            Order::Fence(_) => Reply::Refused,
            Order::Promote(term) => match endpoint.promote(term) {
                Some(is_new) => {
                    if is_new {
                        self.checks.on_promoted(&self.endpoints, index, self.now);
                    }
                    Reply::Ordered
                }
                None => Reply::Refused,
            },
            Order::Follow(term, primary) => {
                endpoint.follow(term, primary);
                Reply::Ordered
            }
        };
        self.send_reply(host, index, on.0, reply);
    }
}
