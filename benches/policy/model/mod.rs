//! The decision cores of eight hosts on a virtual clock, with fakes at their interfaces.
//!
//! All delays, service times and arrivals come from one seed, so that a run repeats exactly.
// The bench and the test each use a part of this module.
#![allow(dead_code)]

mod callers;
mod endpoint;
mod host;
mod links;
mod measure;
pub mod scene;
mod store;
pub mod tables;

use std::collections::BTreeMap;

use medlarstile::core::broker::{BrokerSettings, OrderKind, QueueOrder, ReadChoice};
use medlarstile::core::group::EndpointStatus;
use medlarstile::types::{ConnectionId, DurationMs, EndpointId, FailureDomain, HostId, RequestId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use endpoint::{Append, Endpoint, Peer};
use host::{Host, PeerMessage};
use measure::Measures;
pub use measure::Report;
pub use scene::Scenario;
use store::{Answer, Call, Store};
use tables::{Deployment, GROUPS, HOSTS, MEMBERS};

/// Microseconds in a millisecond and in a second.
pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

/// Requests start now; before, hosts read the tables and divide the shares.
const TRAFFIC_FROM: u64 = 20 * S;
/// Requests that arrive from now on count.
pub const COUNT_FROM: u64 = 22 * S;
/// Time after the last arrival in which requests may end; the longest wait is 4 s.
const TAIL: u64 = 10 * S;
/// Time between two ticks of a core.
const TICK: u64 = 20 * MS;
/// Endpoints report and replicate at this distance.
const PULSE: u64 = 5 * MS;

/// What a host does where a choice is free.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    pub broker: fn(&mut BrokerSettings),
    /// Whether hosts transfer tokens, or each spends its part of the limits only.
    pub transfers: bool,
}

impl Policy {
    fn broker(&self, host: &HostId, home: &FailureDomain) -> BrokerSettings {
        let mut settings = BrokerSettings {
            host: host.clone(),
            home: home.clone(),
            primary_patience_ms: DurationMs(200),
            confirm_limit_ms: DurationMs(10_000),
            retry_percent: 10,
            read_choice: ReadChoice::default(),
            queue_order: QueueOrder::default(),
        };
        (self.broker)(&mut settings);
        settings
    }
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub policy: Policy,
    /// Time in which requests count.
    pub seconds: u64,
    pub notice_ms: DurationMs,
    pub seed: u64,
}

/// What a host sends to an endpoint.
#[derive(Debug, Clone)]
pub enum ToEndpoint {
    Connect,
    Close,
    Run(RequestId),
    Probe,
    Order(OrderKind),
}

/// What an endpoint sends to a host.
#[derive(Debug, Clone)]
enum ToHost {
    Ready(EndpointStatus),
    Status(EndpointStatus),
    Ended(EndpointStatus, Option<&'static str>),
    Lost(Option<&'static str>),
}

enum Event {
    Tick(usize),
    Pulse(usize),
    Arrive,
    Scene(u64),
    ToEndpoint { endpoint: usize, epoch: Option<u64>, from: Peer, message: ToEndpoint },
    Finish { endpoint: usize, epoch: u64, from: Peer, write: bool },
    ToHost { to: Peer, message: ToHost },
    Append { from: usize, to: usize, append: Append },
    Held { from: usize, to: usize, append: Append },
    Peer { from: usize, to: usize, message: PeerMessage },
    Call { host: usize, incarnation: u64, sent: u64, answered: bool, call: Call },
    Answer { host: usize, incarnation: u64, sent: u64, answer: Answer },
}

pub struct World {
    options: Options,
    now: u64,
    sequence: u64,
    numbers: u64,
    incarnations: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    hosts: Vec<Host>,
    endpoints: Vec<Endpoint>,
    store: Store,
    tables: medlarstile::tables::Tables,
    /// Failure domain that is cut off from the others and from the platform.
    cut: Option<usize>,
    /// Time of the last delivery on a connection, which keeps its order.
    delivered: BTreeMap<(bool, usize, ConnectionId), u64>,
    writes: BTreeMap<RequestId, bool>,
    measures: Measures,
    scene: scene::Scene,
}

impl World {
    /// Runs one scenario.
    pub fn run(options: Options) -> Report {
        let tables = tables::first(&options.deployment);
        let deployment = options.deployment;
        let endpoint = |place: usize| {
            let primary = place / MEMBERS * MEMBERS;
            let domain = deployment.endpoint_domain(place);
            let upstream = (place != primary).then_some(primary);
            Endpoint::new(domain, upstream, deployment.slots, deployment.connections)
        };
        let mut world = Self {
            now: 0,
            sequence: 0,
            numbers: 0,
            incarnations: HOSTS as u64,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            queue: BTreeMap::new(),
            hosts: (0..HOSTS).map(|place| Host::new(&options, place, place as u64, 0)).collect(),
            endpoints: (0..GROUPS * MEMBERS).map(endpoint).collect(),
            store: Store::new(tables::checked(&tables)),
            tables,
            cut: None,
            delivered: BTreeMap::new(),
            writes: BTreeMap::new(),
            measures: Measures::new(deployment),
            scene: scene::Scene::default(),
            options,
        };
        world.schedule();
        while let Some(((time, _), event)) = world.queue.pop_first() {
            if time > world.traffic_until() + TAIL {
                break;
            }
            world.now = time;
            world.on_event(event);
        }
        world.measures.report()
    }

    fn traffic_until(&self) -> u64 {
        COUNT_FROM + self.options.seconds * S
    }

    fn schedule(&mut self) {
        for host in 0..HOSTS {
            self.set_peers(host);
            self.later(host as u64 * 2 * MS, Event::Tick(host));
        }
        for endpoint in 0..self.endpoints.len() {
            self.later(endpoint as u64 * 500, Event::Pulse(endpoint));
        }
        self.later(TRAFFIC_FROM, Event::Arrive);
        self.later(COUNT_FROM, Event::Scene(0));
    }

    fn later(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                let now = self.clock(host);
                self.hosts[host].core.tick(now);
                self.carry_out(host);
                self.later(TICK, Event::Tick(host));
            }
            Event::Pulse(endpoint) => self.on_pulse(endpoint),
            Event::Arrive => self.on_arrival(),
            Event::Scene(step) => self.on_scene(step),
            Event::ToEndpoint { endpoint, epoch, from, message } => {
                self.on_endpoint(endpoint, epoch, from, message);
            }
            Event::Finish { endpoint, epoch, from, write } => {
                self.on_finish(endpoint, epoch, from, write);
            }
            Event::ToHost { to, message } => self.on_host(to, message),
            Event::Append { from, to, append } => self.on_append(from, to, append),
            Event::Held { from, to, append } => {
                if self.endpoints[to].up && self.endpoints[to].term == append.term {
                    self.endpoints[to].on_held(from, append.position);
                }
            }
            Event::Peer { from, to, message } => self.on_peer(from, to, message),
            Event::Call { host, incarnation, sent, answered, call } => {
                let answer = self.store.apply(call);
                if answered {
                    self.later(2 * MS, Event::Answer { host, incarnation, sent, answer });
                }
            }
            Event::Answer { host, incarnation, sent, answer } => {
                if self.hosts[host].incarnation == incarnation {
                    self.on_answer(host, sent, answer);
                }
            }
        }
    }

    /// Replaces a host whose process ended.
    fn close_host(&mut self, host: usize) {
        let id = self.hosts[host].core.spec().host.clone();
        self.call(host, Call::Deregister(id));
        let open: Vec<RequestId> =
            self.hosts[host].sessions.values().filter_map(|session| session.request).collect();
        for request in open {
            self.measures.refused(request, medlarstile::error::ErrorKind::OutcomeUnknown);
        }
        for id in self.hosts[host].connections.keys().copied().collect::<Vec<_>>() {
            self.tell_endpoint(host, id, ToEndpoint::Close);
        }
        self.incarnations += 1;
        self.hosts[host] = Host::new(&self.options, host, self.incarnations, self.now);
        self.set_peers(host);
        self.scene.replaced += 1;
    }

    fn place_of(&self, id: &HostId) -> usize {
        let found = self.hosts.iter().position(|host| host.core.spec().host == *id);
        found.expect("hosts name each other only")
    }
}

/// Number of an endpoint from its name.
fn place_of_endpoint(id: &EndpointId) -> usize {
    let found = (0..GROUPS * MEMBERS).find(|place| tables::endpoint_name(*place) == id.as_str());
    found.expect("the tables name no other endpoint")
}
