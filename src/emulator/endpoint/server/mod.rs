//! The actor that owns one endpoint: database, slots, faults and the actors of its connections.

mod clients;
mod control;
mod group;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use medlarstile::types::{ConnectionId, DurationMs, EndpointId, Position, RequestId, Timestamp};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stakker::{
    actor, after, at, call, fwd_to, ret_shutdown, ret_some_to, Actor, ActorOwn, Core, StopCause, CX,
};
use stakker_mio::mio::net::TcpStream;

use super::connection::{Connection, Credentials};
use super::control_port::ControlPort;
use super::database::{Backend, Bound, Database};
use super::fault::Faults;
use super::listener::Listener;
use super::member::{Member, MemberSpec};
use super::peer::{Peer, PeerId};
use super::session::Report;
use super::slots::Slots;
use super::{Bound as BoundSockets, EndpointSettings};

/// Changes of the status within this time are reported once; assumption 2 of the design allows 5 ms.
const REPORT_INTERVAL: Duration = Duration::from_millis(2);

/// A client connection as the server knows it.
struct Client {
    actor: ActorOwn<Connection>,
    peer: IpAddr,
    application: Option<String>,
    secret: i32,
    job: Option<RequestId>,
}

/// A statement message that waits for its slot or runs.
struct Job {
    client: ConnectionId,
    statements: Vec<Bound>,
}

/// A replication connection as the server knows it.
struct Link {
    actor: ActorOwn<Peer>,
    /// The replica that this endpoint sends entries to, with the last position sent.
    follower: Option<(EndpointId, Position)>,
    outbound: bool,
}

/// What the endpoint has counted since it started.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Counts {
    /// Messages with statements that took a slot and ran.
    pub statements: u64,
    /// Messages that ended with an error.
    pub errors: u64,
    /// Connections that were admitted.
    pub connections_admitted: u64,
    /// Connections that were refused with 53300.
    pub connections_refused: u64,
    /// Most admitted connections at the same time.
    pub most_connections: usize,
    /// Cancel requests that stopped a statement.
    pub canceled: u64,
}

/// One endpoint.
pub struct EndpointServer {
    id: EndpointId,
    credentials: Credentials,
    max_connections: usize,
    accept_delay: DurationMs,
    service: Duration,
    lag: DurationMs,
    database: Database,
    slots: Slots,
    faults: Faults,
    counts: Counts,
    rng: ChaCha8Rng,
    next_id: u64,
    clients: BTreeMap<ConnectionId, Client>,
    backends: BTreeMap<ConnectionId, Backend>,
    jobs: BTreeMap<RequestId, Job>,
    links: BTreeMap<PeerId, Link>,
    controls: BTreeMap<u64, ActorOwn<ControlPort>>,
    data_listeners: Vec<ActorOwn<Listener>>,
    _control_listener: ActorOwn<Listener>,
    report: Report,
    report_due: bool,
    retry_due: bool,
    slots_armed: Option<Timestamp>,
}

impl EndpointServer {
    /// Starts an endpoint on bound sockets. An actor that fails for good ends the process.
    pub fn start(
        core: &mut Core,
        settings: EndpointSettings,
        sockets: BoundSockets,
    ) -> ActorOwn<Self> {
        actor!(core, Self::init(settings, sockets), ret_shutdown!(core))
    }

    fn init(cx: CX![], settings: EndpointSettings, sockets: BoundSockets) -> Option<Self> {
        let notify = |cx: &mut stakker::Cx<'_, Self>| {
            ret_some_to!([cx], |_this, cx, cause: StopCause| {
                if let StopCause::Failed(error) = cause {
                    cx.fail_string(format!("listening socket: {error}"));
                }
            })
        };
        let accepted = fwd_to!([cx], accept_client() as (TcpStream, SocketAddr));
        let postgres = actor!(cx, Listener::init(sockets.postgres, accepted), notify(cx));
        let accepted = fwd_to!([cx], accept_peer() as (TcpStream, SocketAddr));
        let replication = actor!(cx, Listener::init(sockets.replication, accepted), notify(cx));
        let accepted = fwd_to!([cx], accept_control() as (TcpStream, SocketAddr));
        let control = actor!(cx, Listener::init(sockets.control, accepted), notify(cx));
        let database = Database::new(Member::new(settings.id.clone()));
        let text: Rc<str> = database.member.status().to_string().into();
        let mut server = Self {
            id: settings.id,
            credentials: settings.credentials,
            max_connections: settings.max_connections,
            accept_delay: settings.accept_delay,
            service: settings.service,
            lag: settings.lag,
            database,
            slots: Slots::new(settings.slots),
            faults: Faults::default(),
            counts: Counts::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            next_id: 0,
            clients: BTreeMap::new(),
            backends: BTreeMap::new(),
            jobs: BTreeMap::new(),
            links: BTreeMap::new(),
            controls: BTreeMap::new(),
            data_listeners: vec![postgres, replication],
            _control_listener: control,
            report: Report { sequence: 1, text },
            report_due: false,
            retry_due: false,
            slots_armed: None,
        };
        if let Some(primary) = settings.primary {
            server.set_members(cx, settings.members, &primary);
        }
        Some(server)
    }

    fn set_members(&mut self, cx: CX![], members: Vec<MemberSpec>, primary: &EndpointId) {
        let actions = self.database.member.set_members(members, primary);
        self.carry_out(cx, &actions);
        self.refresh(cx);
    }

    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Takes a change of the status over and sees that every connection is told.
    fn refresh(&mut self, cx: CX![]) {
        let text = self.database.member.status().to_string();
        if *text == *self.report.text {
            return;
        }
        self.report = Report { sequence: self.report.sequence + 1, text: text.into() };
        if !self.report_due {
            self.report_due = true;
            after!(REPORT_INTERVAL, [cx], report_change());
        }
    }

    fn report_change(&mut self, cx: CX![]) {
        self.report_due = false;
        for client in self.clients.values() {
            call!([client.actor], observe(self.report.clone()));
        }
        self.send_entries(cx, true);
    }

    /// Lets finished jobs answer and sets the timer for the next one.
    fn advance(&mut self, cx: CX![]) {
        if self.faults.frozen {
            return;
        }
        let now = timestamp(cx);
        for job in self.slots.take_finished(now) {
            self.finish_job(cx, job);
        }
        if let Some(due) = self.slots.next_due() {
            if self.slots_armed.is_none_or(|armed| due < armed) {
                self.slots_armed = Some(due);
                at!(cx.start_instant() + due.since(Timestamp(0)), [cx], slots_due());
            }
        }
    }

    fn slots_due(&mut self, cx: CX![]) {
        self.slots_armed = None;
        self.advance(cx);
    }

    fn this(cx: CX![]) -> Actor<Self> {
        cx.this().clone()
    }
}

/// The present time since the process started.
fn timestamp(core: &Core) -> Timestamp {
    let elapsed = core.now().saturating_duration_since(core.start_instant());
    Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
