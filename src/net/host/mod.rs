//! The host actor, which owns the decision core, the listener and the actors of all connections.

mod callers;
mod endpoints;
mod peers;
mod platform;
mod start;
mod timeline;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;
use stakker::{after, call, fwd_to, Actor, ActorOwn, Fwd, StopCause, CX};
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::auth::Secret;
use crate::config::Settings;
use crate::core::broker::{BrokerSettings, QueueOrder, ReadChoice};
use crate::core::host::{HostCore, HostEffect, HostSpec};
use crate::core::life::DrainTimes;
use crate::core::rows::MonotonicRows;
use crate::core::share::ShareSettings;
use crate::error::{Error, ErrorKind};
use crate::metrics::Metrics;
use crate::net::caller::{Caller, CallerOptions};
use crate::net::endpoint::{Credentials, EndpointConnection};
use crate::net::platform::{PlatformActor, PlatformSettings};
use crate::types::{ConnectionId, Incarnation, Renewals, RequestId, SessionId, Timestamp};
use crate::wire::batch::Batch;
use crate::wire::pg::BackendKey;
use peers::{peer_spec, Peers};
pub use start::Starter;

/// Interval at which the core's timers are checked. The promotion procedure needs 50 ms or less.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which gauges are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Poll priority of the listener.
const LISTENER_PRIORITY: u32 = 10;

/// Notification from a host to the process that runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostNotice {
    /// The host accepts callers at this address.
    Listening(SocketAddr),
    /// The graceful stop is complete.
    Stopped,
    /// The host cannot run, for the reason given.
    Failed(String),
}

/// Settings and sockets that exist before the host has its incarnation.
struct StartOptions {
    settings: Settings,
    tls: Option<Arc<rustls::ServerConfig>>,
    peer_socket: UdpSocket,
    peer_address: SocketAddr,
}

/// Actor that carries out the effects of a [`HostCore`] and reports events to it.
pub struct Host {
    settings: Settings,
    /// Zero of the timestamps that the core gets.
    started: Instant,
    core: HostCore,
    rng: ChaCha20Rng,
    notify: Fwd<HostNotice>,
    tls: Option<Arc<rustls::ServerConfig>>,
    credentials: Rc<Credentials>,
    listener: Option<MioSource<TcpListener>>,
    platform: ActorOwn<PlatformActor>,
    peers: Peers,
    /// Actors of the caller connections.
    callers: BTreeMap<SessionId, ActorOwn<Caller>>,
    /// Keys with which cancel requests name a session.
    cancel_keys: BTreeMap<SessionId, BackendKey>,
    /// Messages of the requests that have not ended.
    batches: BTreeMap<RequestId, Batch>,
    /// Actors of the endpoint connections.
    connections: BTreeMap<ConnectionId, ActorOwn<EndpointConnection>>,
    /// Number of the newest session.
    last_session: u64,
    /// Rejects reads that are older than what this host has already seen.
    monotonic_rows: MonotonicRows,
    /// How often the host's row has been written.
    renewals: Renewals,
    metrics: Metrics,
    /// Whether the host's row says that the host is leaving.
    leaving: bool,
    timeline: timeline::HostTimeline,
}

impl Host {
    /// Starts the host with its incarnation. Notifications go to `notify`.
    fn init(
        cx: CX![],
        options: StartOptions,
        incarnation: Incarnation,
        platform: ActorOwn<PlatformActor>,
        notify: Fwd<HostNotice>,
    ) -> Option<Self> {
        let StartOptions { settings, tls, peer_socket, peer_address } = options;
        let metrics = match Metrics::new(settings.statsd) {
            Ok(metrics) => metrics,
            Err(error) => {
                let detail = format!("cannot open a socket for metrics: {error}");
                stakker::fwd!([notify], HostNotice::Failed(detail));
                return None;
            }
        };
        let mut rng = ChaCha20Rng::from_os_rng();
        let spec = host_spec(&settings, incarnation, peer_address);
        let core_rng = rand_chacha::ChaCha8Rng::from_rng(&mut rng);
        let credentials = Credentials {
            user: settings.endpoint_user.clone(),
            password: settings.endpoint_password.clone(),
        };
        let peers = Peers::start(cx, peer_spec(&spec, &settings, peer_socket));
        let store = PlatformSettings::new(settings.platform, settings.host.clone());
        let timeline = timeline::HostTimeline::new(cx, &spec, store);
        let host = Self {
            started: cx.now(),
            core: HostCore::new(spec, core_rng),
            rng,
            notify,
            tls,
            credentials: Rc::new(credentials),
            listener: None,
            platform,
            peers,
            callers: BTreeMap::new(),
            cancel_keys: BTreeMap::new(),
            batches: BTreeMap::new(),
            connections: BTreeMap::new(),
            last_session: 0,
            monotonic_rows: MonotonicRows::default(),
            renewals: Renewals(0),
            metrics,
            leaving: false,
            timeline,
            settings,
        };
        after!(Duration::ZERO, [cx], tick());
        after!(REPORT_INTERVAL, [cx], report());
        Some(host)
    }

    /// Starts a graceful stop.
    pub fn stop(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.core.stop(now);
        self.carry_out(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.core.tick(now);
        self.carry_out(cx);
        self.store_segment(cx, now);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn report(&mut self, cx: CX![]) {
        self.metrics.report(self.core.broker());
        after!(REPORT_INTERVAL, [cx], report());
    }

    /// Time since the start of the host.
    fn now(&self, cx: CX![]) -> Timestamp {
        let passed = cx.now().saturating_duration_since(self.started).as_micros();
        Timestamp(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Carries out the core's effects, until they cause no further ones, and records its decisions.
    fn carry_out(&mut self, cx: CX![]) {
        loop {
            let effects = self.core.drain();
            let now = self.now(cx);
            self.record_decisions(now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.run_effect(cx, effect);
            }
        }
    }

    fn run_effect(&mut self, cx: CX![], effect: HostEffect) {
        match effect {
            HostEffect::Broker(effect) => self.broker_effect(cx, effect),
            HostEffect::Renew(renewal) => self.renew(cx, &renewal),
            HostEffect::ReadView => self.read_hosts(cx),
            HostEffect::ReadShares => self.read_shares(cx),
            HostEffect::WriteShares { attempt, writes } => self.write_shares(cx, attempt, &writes),
            HostEffect::Listen => self.listen(cx),
            HostEffect::AnnounceLeaving => self.leaving = true,
            HostEffect::StopListening => {
                self.listener = None;
                let has_session = |id: &SessionId| self.core.broker().session(*id).is_some();
                for (_, caller) in self.callers.iter().filter(|(id, _)| !has_session(id)) {
                    let error = Error::new(ErrorKind::HostDraining, "the host is stopping");
                    call!([caller], evict(error));
                }
            }
            HostEffect::Close => self.close(cx),
            HostEffect::AskPeers => self.ask_peers(cx),
            HostEffect::WantTables(member) => self.want_tables(cx, &member),
            HostEffect::Announce(version) => self.announce(version),
            HostEffect::AskTokens(host, request) => self.ask_tokens(host, request),
        }
    }

    fn listen(&mut self, cx: CX![]) {
        match self.bind(cx) {
            Ok(address) => {
                tracing::info!("host: callers are accepted at {address}");
                stakker::fwd!([self.notify], HostNotice::Listening(address));
            }
            Err(error) => {
                let detail = format!("cannot listen at {}: {error}", self.settings.listen);
                stakker::fwd!([self.notify], HostNotice::Failed(detail));
            }
        }
    }

    fn bind(&mut self, cx: CX![]) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(self.settings.listen)?;
        let address = listener.local_addr()?;
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept() as (Ready));
        self.listener =
            Some(miopoll.add(listener, Interest::READABLE, LISTENER_PRIORITY, ready)?);
        Ok(address)
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        loop {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((socket, _)) => self.add_caller(cx, socket),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // For example when no file descriptor is free. The listener becomes readable
                    // again with the next connection, which retries the accept.
                    tracing::warn!("host: accept failed: {error}");
                    return;
                }
            }
        }
    }

    /// Stores the timeline, removes the host's row and closes the listener and the peer connections.
    fn close(&mut self, cx: CX![]) {
        self.flush_timeline(cx);
        self.deregister(cx);
        self.listener = None;
        self.peers.close();
    }

    fn report_stopped(&mut self, _: CX![]) {
        stakker::fwd!([self.notify], HostNotice::Stopped);
    }

    fn caller_options(&self) -> CallerOptions {
        let max_message_bytes = self.settings.max_message_bytes;
        CallerOptions { tls: self.tls.clone(), max_message_bytes }
    }

    fn fleet_secret(&self) -> &Secret {
        &self.settings.fleet_secret
    }

    fn caller(&self, session: SessionId) -> Option<Actor<Caller>> {
        self.callers.get(&session).map(|caller| Actor::clone(caller))
    }

    fn connection_stopped(&mut self, cx: CX![], id: ConnectionId, cause: StopCause) {
        if cause.has_error() {
            tracing::warn!("endpoint: connection {id} failed: {cause}");
        }
        self.connections.remove(&id);
        self.carry_out(cx);
    }

    /// Sends an error to a caller and closes its connection.
    fn evict(&mut self, session: SessionId, error: Error) {
        if let Some(caller) = self.caller(session) {
            call!([caller], evict(error));
        }
    }
}

fn host_spec(settings: &Settings, incarnation: Incarnation, address: SocketAddr) -> HostSpec {
    let (host, home) = (settings.host.clone(), settings.failure_domain.clone());
    HostSpec {
        broker: BrokerSettings {
            host: host.clone(),
            home: home.clone(),
            primary_patience_ms: settings.primary_patience_ms,
            confirm_limit_ms: settings.confirm_limit_ms,
            retry_percent: crate::consts::RETRY_PERCENT,
            read_choice: ReadChoice::default(),
            queue_order: QueueOrder::default(),
        },
        host,
        incarnation,
        address,
        home,
        shares: ShareSettings { slots: settings.share_slots, ..ShareSettings::default() },
        drain: DrainTimes {
            notice_ms: settings.drain_notice_ms,
            limit_ms: settings.drain_limit_ms,
            finish_ms: None,
        },
    }
}
