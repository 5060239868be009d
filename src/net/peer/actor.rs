//! The actor that owns the UDP socket and all connections to other hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use quinn_proto::{
    ClientConfig, ConnectionHandle, DatagramEvent, Endpoint, EndpointConfig, Incoming,
};
use stakker::{fwd, fwd_to, timer_min, Fwd, MinTimerKey, CX};
use stakker_mio::mio::net::UdpSocket as MioUdpSocket;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

use super::counters::PeerCounters;
use super::link::{Identity, Link, Refusal, Report};
use super::tls::{quic_configs, SERVER_NAME};
use crate::auth::Secret;
use crate::core::peer::{Envelope, Hello};
use crate::types::{HostId, Incarnation};

/// Poll priority of the UDP socket.
const SOCKET_PRIORITY: u32 = 5;
/// Largest UDP payload.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Delay before the first retry of a failed dial; doubled with each further one.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two dials: as long as a host may serve without a fresh view.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(3);
/// Shortest delay of a timer; stakker rounds times to units of 1/65,536 s.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);
/// Connections whose peers are not authenticated yet; above it new ones are refused.
const MAX_UNAUTHENTICATED: usize = 256;

/// Parameters of [`PeerActor::init`].
#[derive(Debug)]
pub struct PeerSpec {
    /// The bound socket, non-blocking.
    pub socket: UdpSocket,
    /// Identity that this host sends to its peers.
    pub hello: Hello,
    /// Secret shared by all hosts.
    pub secret: Secret,
}

/// A host that this host should have a connection to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTarget {
    /// Host id.
    pub host: HostId,
    /// Run of its process, from the host's row in the platform's store.
    pub incarnation: Incarnation,
    /// Address of its UDP socket for peers.
    pub address: SocketAddr,
}

/// Events on the connections to peers, reported to the owner of the actor.
#[derive(Debug)]
pub enum PeerEvent {
    /// A host is authenticated; messages can be sent to it.
    Opened(Hello),
    /// The connection to a host ended; the counters are its whole traffic.
    Closed(HostId, PeerCounters),
    /// A message from a host with an open connection.
    Message(HostId, Envelope),
}

/// Dial schedule of one host.
#[derive(Debug)]
struct Dial {
    target: PeerTarget,
    next_at: Instant,
    delay: Duration,
}

/// Owns the UDP socket and the QUIC connections to all peers.
pub struct PeerActor {
    socket: MioSource<MioUdpSocket>,
    endpoint: Endpoint,
    client: ClientConfig,
    identity: Rc<Identity>,
    events: Fwd<PeerEvent>,
    links: BTreeMap<usize, Link>,
    open_links: BTreeMap<HostId, usize>,
    dials: BTreeMap<HostId, Dial>,
    dialing_links: BTreeMap<HostId, usize>,
    timer: MinTimerKey,
    receive_buffer: Vec<u8>,
    send_buffer: Vec<u8>,
    stopping: bool,
}

impl PeerActor {
    /// Registers the socket with the event loop. The actor fails if there is no certificate or if
    /// the socket can't be polled.
    pub fn init(cx: CX![], spec: PeerSpec, events: Fwd<PeerEvent>) -> Option<Self> {
        let PeerSpec { socket, hello, secret } = spec;
        let configs = match quic_configs() {
            Ok(configs) => configs,
            Err(error) => {
                cx.fail_string(format!(
                    "peer: certificate or TLS settings cannot be created: {error}"
                ));
                return None;
            }
        };
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], on_readable() as (Ready));
        let socket = MioUdpSocket::from_std(socket);
        let socket = match miopoll.add(socket, Interest::READABLE, SOCKET_PRIORITY, ready) {
            Ok(socket) => socket,
            Err(error) => {
                cx.fail_string(format!(
                    "peer: socket cannot be registered with the event loop: {error}"
                ));
                return None;
            }
        };
        let config = Arc::new(EndpointConfig::default());
        Some(Self {
            socket,
            endpoint: Endpoint::new(config, Some(configs.server), false, None),
            client: configs.client,
            identity: Rc::new(Identity { hello, secret }),
            events,
            links: BTreeMap::new(),
            open_links: BTreeMap::new(),
            dials: BTreeMap::new(),
            dialing_links: BTreeMap::new(),
            timer: MinTimerKey::default(),
            receive_buffer: vec![0; MAX_DATAGRAM_BYTES],
            send_buffer: Vec::new(),
            stopping: false,
        })
    }

    /// Replaces the list of other hosts. Hosts with a higher id than this one are dialed. A
    /// connection to a host that is no longer listed is kept until the peer or the network ends it.
    pub fn set_targets(&mut self, cx: CX![], targets: Vec<PeerTarget>) {
        if self.stopping {
            return;
        }
        let now = cx.now();
        let own = self.identity.hello.host.clone();
        let dialed = targets.into_iter().filter(|target| target.host > own);
        let dialed: BTreeMap<HostId, PeerTarget> =
            dialed.map(|target| (target.host.clone(), target)).collect();
        self.dials.retain(|host, _| dialed.contains_key(host));
        for (host, target) in dialed {
            let unchanged = self.dials.get(&host).is_some_and(|dial| dial.target == target);
            if !unchanged {
                self.replace_target(now, target);
            }
        }
        self.dial_due(now);
        self.rearm_timer(cx);
    }

    /// Sends a message if there is an open connection to `host`.
    pub fn send(&mut self, cx: CX![], host: HostId, envelope: Envelope) {
        let now = cx.now();
        let Some(handle) = self.open_links.get(&host).copied() else { return };
        if let Some(link) = self.links.get_mut(&handle) {
            link.send(now, &envelope);
        }
        self.drive(now, handle);
        self.rearm_timer(cx);
    }

    /// Replaces the secret with which new connections are authenticated. Open ones are kept.
    pub fn set_secret(&mut self, _: CX![], secret: Secret) {
        let hello = self.identity.hello.clone();
        self.identity = Rc::new(Identity { hello, secret });
    }

    /// Closes all connections and accepts no more.
    pub fn close(&mut self, cx: CX![]) {
        let now = cx.now();
        self.stopping = true;
        self.endpoint.set_server_config(None);
        self.dials.clear();
        let handles: Vec<usize> = self.links.keys().copied().collect();
        for handle in handles {
            self.refuse(now, handle, &Refusal::Stopping);
        }
        self.rearm_timer(cx);
    }

    /// Starts dialing a host that is new, has a new process or has a new address. Closes an open
    /// connection to an older process and an unfinished dial.
    fn replace_target(&mut self, now: Instant, target: PeerTarget) {
        let host = target.host.clone();
        let outdated = self.open_links.get(&host).copied().filter(|handle| {
            let peer = self.links.get(handle).and_then(Link::peer);
            peer.is_some_and(|peer| peer.incarnation < target.incarnation)
        });
        let stale = outdated.or_else(|| self.dialing_links.get(&host).copied());
        if let Some(handle) = stale {
            self.refuse(now, handle, &Refusal::Outdated);
        }
        self.dials.insert(host, Dial { target, next_at: now, delay: MIN_REDIAL_DELAY });
    }

    fn dial_due(&mut self, now: Instant) {
        let has_link = |host: &HostId| {
            self.open_links.contains_key(host) || self.dialing_links.contains_key(host)
        };
        let due = self.dials.iter().filter(|(host, dial)| dial.next_at <= now && !has_link(host));
        let due: Vec<HostId> = due.map(|(host, _)| host.clone()).collect();
        for host in due {
            let Some(dial) = self.dials.get_mut(&host) else { continue };
            dial.next_at = now + dial.delay;
            dial.delay = (dial.delay * 2).min(MAX_REDIAL_DELAY);
            let address = dial.target.address;
            match self.endpoint.connect(now, self.client.clone(), address, SERVER_NAME) {
                Ok((handle, connection)) => {
                    let identity = Rc::clone(&self.identity);
                    let link = Link::new(connection, identity, Some(host.clone()), now);
                    self.links.insert(handle.0, link);
                    self.dialing_links.insert(host, handle.0);
                    self.drive(now, handle.0);
                }
                Err(error) => tracing::warn!(peer = host.as_str(), %address, %error,
                    "peer: host cannot be dialed"),
            }
        }
    }

    fn on_readable(&mut self, cx: CX![], _: Ready) {
        let now = cx.now();
        let mut touched = BTreeSet::new();
        loop {
            match self.socket.recv_from(&mut self.receive_buffer) {
                Ok((length, from)) => touched.extend(self.on_datagram(now, length, from)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // For example an ICMP error for an earlier datagram; the connection times out.
                Err(error) => tracing::debug!(%error, "peer: receive failed"),
            }
        }
        for handle in touched {
            self.drive(now, handle);
        }
        self.rearm_timer(cx);
    }

    fn on_datagram(&mut self, now: Instant, length: usize, from: SocketAddr) -> Option<usize> {
        let data = BytesMut::from(&self.receive_buffer[..length]);
        let mut answer = Vec::new();
        match self.endpoint.handle(now, from, None, None, data, &mut answer)? {
            DatagramEvent::ConnectionEvent(handle, event) => {
                let link = self.links.get_mut(&handle.0)?;
                link.counters.received(length);
                link.connection.handle_event(event);
                Some(handle.0)
            }
            DatagramEvent::NewConnection(incoming) => self.accept(now, incoming, length),
            DatagramEvent::Response(transmit) => {
                send_to(&self.socket, &answer[..transmit.size], transmit.destination);
                None
            }
        }
    }

    fn accept(&mut self, now: Instant, incoming: Incoming, length: usize) -> Option<usize> {
        let mut answer = Vec::new();
        let unauthenticated = self.links.values().filter(|link| link.peer().is_none()).count();
        if unauthenticated >= MAX_UNAUTHENTICATED {
            let transmit = self.endpoint.refuse(incoming, &mut answer);
            send_to(&self.socket, &answer[..transmit.size], transmit.destination);
            return None;
        }
        match self.endpoint.accept(incoming, now, &mut answer, None) {
            Ok((handle, connection)) => {
                let mut link = Link::new(connection, Rc::clone(&self.identity), None, now);
                link.counters.received(length);
                self.links.insert(handle.0, link);
                Some(handle.0)
            }
            Err(error) => {
                tracing::debug!(cause = %error.cause, "peer: incoming connection was not accepted");
                if let Some(transmit) = error.response {
                    send_to(&self.socket, &answer[..transmit.size], transmit.destination);
                }
                None
            }
        }
    }

    /// Processes a connection's events and output until there are none left, and removes the
    /// connection once it is drained.
    fn drive(&mut self, now: Instant, handle: usize) {
        loop {
            let Some(link) = self.links.get_mut(&handle) else { return };
            let mut active = transmit(&self.socket, link, now, &mut self.send_buffer);
            while let Some(event) = link.connection.poll_endpoint_events() {
                active = true;
                if let Some(event) = self.endpoint.handle_event(ConnectionHandle(handle), event) {
                    link.connection.handle_event(event);
                }
            }
            active |= link.poll(now);
            let reports = link.take_reports();
            if !active && reports.is_empty() {
                break;
            }
            for report in reports {
                self.on_report(now, handle, report);
            }
        }
        let Some(link) = self.links.get(&handle) else { return };
        let dial_ended = link.is_open() || link.is_closed();
        if let Some(host) = link.dialed().filter(|_| dial_ended).cloned() {
            if self.dialing_links.get(&host) == Some(&handle) {
                self.dialing_links.remove(&host);
            }
        }
        if link.connection.is_drained() {
            self.links.remove(&handle);
        }
    }

    fn on_report(&mut self, now: Instant, handle: usize, report: Report) {
        let Some(link) = self.links.get(&handle) else { return };
        let Some(peer) = link.peer().cloned() else { return };
        let current = self.open_links.get(&peer.host).copied();
        match report {
            Report::Opened => self.on_opened(now, handle, current, peer),
            Report::Message(envelope) if current == Some(handle) => {
                fwd!([self.events], PeerEvent::Message(peer.host, envelope));
            }
            Report::Closed if current == Some(handle) => {
                let (age, counters) = (link.age(now).as_secs_f64(), link.counters);
                tracing::info!(peer = peer.host.as_str(), age_s = age, %counters, "peer: connection ended");
                self.open_links.remove(&peer.host);
                if let Some(dial) = self.dials.get_mut(&peer.host) {
                    dial.next_at = now + MIN_REDIAL_DELAY;
                    dial.delay = MIN_REDIAL_DELAY;
                }
                fwd!([self.events], PeerEvent::Closed(peer.host, counters));
            }
            Report::Message(_) | Report::Closed => {}
        }
    }

    /// Makes an authenticated connection the current one of its host. The host may still have an
    /// older one here if it lost that one on its side only; the older process's connection is
    /// refused.
    fn on_opened(&mut self, now: Instant, handle: usize, current: Option<usize>, peer: Hello) {
        if let Some(older) = current {
            let older_peer = self.links.get(&older).and_then(Link::peer);
            if older_peer.is_some_and(|older| older.incarnation > peer.incarnation) {
                return self.refuse(now, handle, &Refusal::Outdated);
            }
            self.refuse(now, older, &Refusal::Replaced);
        }
        tracing::info!(%peer, "peer: connected");
        self.open_links.insert(peer.host.clone(), handle);
        fwd!([self.events], PeerEvent::Opened(peer));
    }

    fn refuse(&mut self, now: Instant, handle: usize, refusal: &Refusal) {
        if let Some(link) = self.links.get_mut(&handle) {
            link.refuse(now, refusal);
            self.drive(now, handle);
        }
    }

    fn on_timer(&mut self, cx: CX![]) {
        let now = cx.now();
        let due = self.links.iter_mut().filter_map(|(handle, link)| {
            link.next_timeout().filter(|timeout| *timeout <= now).map(|_| *handle)
        });
        let due: Vec<usize> = due.collect();
        for handle in due {
            if let Some(link) = self.links.get_mut(&handle) {
                link.on_timeout(now);
            }
            self.drive(now, handle);
        }
        self.dial_due(now);
        self.rearm_timer(cx);
    }

    fn rearm_timer(&mut self, cx: CX![]) {
        let links = self.links.values_mut().filter_map(Link::next_timeout);
        let has_link = |host: &HostId| {
            self.open_links.contains_key(host) || self.dialing_links.contains_key(host)
        };
        let dials =
            self.dials.iter().filter(|(host, _)| !has_link(host)).map(|(_, dial)| dial.next_at);
        if let Some(next) = links.chain(dials).min() {
            // Stakker computes a wrong time for a timer that is set to the past. After the process
            // was suspended, the next timeout may lie in the past.
            let next = next.max(cx.now() + MIN_TIMER_DELAY);
            timer_min!(&mut self.timer, next, [cx], on_timer());
        }
    }
}

/// Sends all datagrams that a connection has ready and returns whether there were any.
fn transmit(socket: &MioUdpSocket, link: &mut Link, now: Instant, out: &mut Vec<u8>) -> bool {
    let mut active = false;
    out.clear();
    while let Some(transmit) = link.connection.poll_transmit(now, 1, out) {
        active = true;
        link.counters.sent(transmit.size);
        send_to(socket, &out[..transmit.size], transmit.destination);
        out.clear();
    }
    active
}

/// Sends a datagram. If the system refuses it, it counts as lost and QUIC retransmits its content.
fn send_to(socket: &MioUdpSocket, data: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(data, to) {
        tracing::debug!(%to, %error, "peer: datagram was not sent");
    }
}
