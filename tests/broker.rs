//! Requests and endpoint connections of one host's broker, driven event by event.

use std::collections::BTreeSet;
use std::rc::Rc;

use medlarstile::core::broker::{
    Broker, BrokerEffect, BrokerSettings, EndpointSpec, GroupSpec, LossReport, QueueOrder,
    ReadChoice, SessionSpec,
};
use medlarstile::core::classify::classify;
use medlarstile::core::group::{EndpointStatus, Role};
use medlarstile::tables::Freshness;
use medlarstile::types::{
    ConnectionId, DurationMs, EndpointId, GroupId, Position, RequestId, SessionId, Term, Timestamp,
    Weight,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SESSION: SessionId = SessionId(1);

fn ms(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid id")
}

fn endpoints() -> [EndpointId; 3] {
    ["a", "b", "c"].map(id)
}

fn spec(connections: u64) -> GroupSpec {
    let endpoint = |(index, endpoint): (usize, EndpointId)| EndpointSpec {
        endpoint,
        address: format!("127.0.0.1:{}", 5000 + index).parse().expect("an address"),
        failure_domain: id("north"),
        connections,
        leaving: false,
    };
    GroupSpec {
        group: id("db"),
        endpoints: endpoints().into_iter().enumerate().map(endpoint).collect(),
    }
}

fn status(role: Role) -> EndpointStatus {
    let position = Position::new(Term(1), 5);
    EndpointStatus { term: Term(1), role, position, confirmed: position, fenced_term: Term(1) }
}

/// A broker with its open connections and collected effects.
struct Rig {
    broker: Broker,
    open: Vec<(ConnectionId, EndpointId)>,
    effects: Vec<BrokerEffect>,
}

impl Rig {
    fn new(connections: u64) -> Self {
        let settings = BrokerSettings {
            host: id("host"),
            home: id("north"),
            primary_patience_ms: DurationMs(200),
            confirm_limit_ms: DurationMs(1_000),
            retry_percent: 10,
            read_choice: ReadChoice::default(),
            queue_order: QueueOrder::default(),
        };
        let broker = Broker::new(settings, ChaCha8Rng::seed_from_u64(1));
        let mut rig = Self { broker, open: Vec::new(), effects: Vec::new() };
        rig.broker.set_groups(ms(0), &[spec(connections)]);
        rig.broker.tick(ms(0));
        rig.connect(ms(1));
        rig
    }

    fn drain(&mut self) -> Vec<BrokerEffect> {
        let effects = self.broker.drain();
        self.effects.extend(effects.clone());
        effects
    }

    /// Completes the connects that the broker requested.
    fn connect(&mut self, now: Timestamp) {
        for effect in self.drain() {
            let BrokerEffect::Connect { connection, endpoint, .. } = effect else { continue };
            let role = if endpoint == endpoints()[0] { Role::Primary } else { Role::Replica };
            self.broker.on_status(now, connection, status(role));
            self.broker.on_ready(now, connection);
            self.open.push((connection, endpoint));
        }
    }

    fn submit(&mut self, now: Timestamp, sql: &str) -> RequestId {
        let request = RequestId(now.0);
        let spec = SessionSpec {
            account: id("account"),
            key: None,
            group: id("db"),
            endpoints: Rc::new(BTreeSet::from(endpoints())),
            freshness: Freshness::Session,
            max_wait_ms: DurationMs(4_000),
            weight: Weight(1),
        };
        self.broker.open_session(now, SESSION, spec);
        self.broker.set_position(SESSION, "db=1:5").expect("a token");
        self.broker.submit(now, request, SESSION, classify(sql)).expect("submitted");
        request
    }

    /// Endpoint to which the latest request was sent.
    fn sent_to(&self) -> Option<EndpointId> {
        let sent = self.effects.iter().rev().find_map(|effect| match effect {
            BrokerEffect::Send { connection, .. } => Some(*connection),
            _ => None,
        })?;
        self.open.iter().find(|(id, _)| *id == sent).map(|(_, endpoint)| endpoint.clone())
    }

    fn connections_to(&self, endpoint: &EndpointId) -> Vec<ConnectionId> {
        let found = self.open.iter().filter(|(_, other)| other == endpoint);
        found.map(|(id, _)| *id).collect()
    }
}

/// Guards against keeping idle connections to an endpoint after another one was lost. Their
/// statuses are no longer used, so the endpoint would get no more requests from this host.
#[test]
fn a_loss_frees_the_connection_budget() {
    let mut rig = Rig::new(2);
    let replica = endpoints()[1].clone();
    let busy = rig.submit(ms(2), "SELECT 1");
    rig.broker.admit(ms(2), busy);
    rig.drain();
    assert_eq!(rig.sent_to(), Some(replica.clone()));
    // A second connection to the same replica, idle.
    let first = rig.connections_to(&replica)[0];
    rig.broker.tick(ms(3));
    let connections = rig.broker.group(&id::<GroupId>("db")).expect("the group").endpoints
        [&replica]
        .connections
        .clone();
    assert!(connections.contains(&first));
    rig.broker.on_lost(ms(4), first, &LossReport { refused: None, passed: true });
    rig.broker.tick(ms(5));
    rig.connect(ms(6));
    let group = rig.broker.group(&id::<GroupId>("db")).expect("the group");
    let epoch = group.endpoints[&replica].epoch;
    for connection in &group.endpoints[&replica].connections {
        assert_eq!(rig.broker.connection(*connection).map(|found| found.epoch), Some(epoch));
    }
}
