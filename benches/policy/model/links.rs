//! Links with their delays, and what the endpoints and the platform do with what arrives.

use medlarstile::core::broker::{JobReport, LossReport, OrderKind};
use medlarstile::core::group::Role;
use medlarstile::types::{ConnectionId, RequestId, SessionId};
use rand::Rng;

use super::endpoint::{Append, Peer, Statement};
use super::store::{Call, Mode};
use super::{place_of_endpoint, Event, ToEndpoint, ToHost, World, MS, PULSE, S};

/// Delay within a failure domain, one way.
const NEAR: u64 = 100;
/// A host gives up a login after this time.
const LOGIN_LIMIT: u64 = 5 * S;
/// A host gives up a connection to the platform, and a call, after these times.
const CONNECT_LIMIT: u64 = 250 * MS;
const CALL_LIMIT: u64 = S;

impl World {
    /// Delay between two failure domains; `None` if they do not reach each other.
    pub(super) fn link(&self, a: usize, b: usize) -> Option<u64> {
        if a == b {
            return Some(NEAR);
        }
        let cut = self.cut == Some(a) || self.cut == Some(b);
        (!cut).then_some(self.options.deployment.link_us)
    }

    pub(super) fn tell_endpoint(&mut self, host: usize, id: ConnectionId, message: ToEndpoint) {
        let Some(endpoint) = self.hosts[host].connections.get(&id).copied() else { return };
        let from = (host, self.hosts[host].incarnation, id);
        let Some(delay) = self.link(self.hosts[host].domain, self.endpoints[endpoint].domain)
        else {
            if matches!(message, ToEndpoint::Connect) {
                let message = ToHost::Lost(None);
                self.later(LOGIN_LIMIT, Event::ToHost { to: from, message });
            }
            return;
        };
        let epoch = match message {
            ToEndpoint::Connect => None,
            _ => Some(self.endpoints[endpoint].epoch),
        };
        self.later(delay, Event::ToEndpoint { endpoint, epoch, from, message });
    }

    fn tell_host(&mut self, endpoint: usize, to: Peer, after: u64, message: ToHost) {
        let (a, b) = (self.endpoints[endpoint].domain, self.hosts[to.0].domain);
        if let Some(delay) = self.link(a, b) {
            self.later(after + delay, Event::ToHost { to, message });
        }
    }

    pub(super) fn on_endpoint(
        &mut self,
        place: usize,
        epoch: Option<u64>,
        from: Peer,
        message: ToEndpoint,
    ) {
        let endpoint = &mut self.endpoints[place];
        if matches!(message, ToEndpoint::Connect) {
            return self.on_connect(place, from);
        }
        if epoch != Some(endpoint.epoch) || !endpoint.connections.contains(&from) {
            return;
        }
        match message {
            ToEndpoint::Connect => {}
            ToEndpoint::Close => {
                endpoint.connections.remove(&from);
                endpoint.queue.retain(|(peer, _)| *peer != from);
            }
            ToEndpoint::Run(request) => {
                let write = self.writes.get(&request).copied().unwrap_or_default();
                let statement = if write { Statement::Write } else { Statement::Read };
                endpoint.queue.push_back((from, statement));
                self.start_statements(place);
            }
            ToEndpoint::Probe => {
                let status = endpoint.status();
                self.tell_host(place, from, 0, ToHost::Ended(status, None));
            }
            ToEndpoint::Order(order) => self.on_order(place, from, &order),
        }
    }

    fn on_connect(&mut self, place: usize, from: Peer) {
        let endpoint = &mut self.endpoints[place];
        if !endpoint.up {
            return self.tell_host(place, from, 0, ToHost::Lost(None));
        }
        if endpoint.connections.len() >= endpoint.limit {
            return self.tell_host(place, from, 0, ToHost::Lost(Some("53300")));
        }
        endpoint.connections.insert(from);
        let status = endpoint.status();
        let takes = self.options.deployment.connect_us;
        self.tell_host(place, from, takes, ToHost::Ready(status));
    }

    fn on_order(&mut self, place: usize, from: Peer, order: &OrderKind) {
        let upstream = match order {
            OrderKind::Follow(_, address) => {
                let primary =
                    self.tables.pools.iter().find(|row| {
                        row.address.parse::<std::net::SocketAddr>().ok() == Some(*address)
                    });
                let id = primary.and_then(|row| row.endpoint.parse().ok());
                id.map(|id| place_of_endpoint(&id))
            }
            _ => None,
        };
        let refused = self.endpoints[place].order(order, upstream);
        let status = self.endpoints[place].status();
        self.tell_host(place, from, 0, ToHost::Ended(status, refused));
    }

    fn start_statements(&mut self, place: usize) {
        while self.endpoints[place].busy < self.endpoints[place].slots {
            let Some((from, statement)) = self.endpoints[place].queue.pop_front() else { return };
            self.endpoints[place].busy += 1;
            let (epoch, write) =
                (self.endpoints[place].epoch, matches!(statement, Statement::Write));
            let takes = self.rng.random_range(500..1_500);
            self.later(takes, Event::Finish { endpoint: place, epoch, from, write });
        }
    }

    pub(super) fn on_finish(&mut self, place: usize, epoch: u64, from: Peer, write: bool) {
        let endpoint = &mut self.endpoints[place];
        if endpoint.epoch != epoch {
            return;
        }
        endpoint.busy -= 1;
        let refused = if write { endpoint.write() } else { None };
        let status = endpoint.status();
        if endpoint.connections.contains(&from) {
            self.tell_host(place, from, 0, ToHost::Ended(status, refused));
        }
        self.start_statements(place);
    }

    pub(super) fn on_host(&mut self, to: Peer, message: ToHost) {
        let (host, incarnation, id) = to;
        if self.hosts[host].incarnation != incarnation
            || !self.hosts[host].connections.contains_key(&id)
        {
            return;
        }
        let now = self.clock(host);
        let broker = self.hosts[host].core.broker_mut();
        match message {
            ToHost::Ready(status) => {
                broker.on_status(now, id, status);
                broker.on_ready(now, id);
            }
            ToHost::Status(status) => broker.on_status(now, id, status),
            ToHost::Ended(status, sqlstate) => {
                broker.on_status(now, id, status);
                let sqlstate = sqlstate.map(Into::into);
                broker.on_ended(now, id, JobReport { sqlstate, ..JobReport::default() });
            }
            ToHost::Lost(refused) => {
                let refused = refused.map(Into::into);
                broker.on_lost(now, id, &LossReport { refused, passed: false });
                self.hosts[host].connections.remove(&id);
            }
        }
        self.carry_out(host);
    }

    /// Reports a change of the status and sends new entries to the followers.
    pub(super) fn on_pulse(&mut self, place: usize) {
        self.later(PULSE, Event::Pulse(place));
        let endpoint = &mut self.endpoints[place];
        let status = endpoint.status();
        if !endpoint.up {
            return;
        }
        let append = endpoint.append();
        if endpoint.reported != Some(status) {
            endpoint.reported = Some(status);
            for peer in endpoint.connections.clone() {
                self.tell_host(place, peer, 0, ToHost::Status(status));
            }
        }
        let Some(append) = append else { return };
        let group = place / super::MEMBERS * super::MEMBERS;
        for to in (group..group + super::MEMBERS).filter(|to| *to != place) {
            let (a, b) = (self.endpoints[place].domain, self.endpoints[to].domain);
            if let Some(delay) = self.link(a, b) {
                let lag = self.rng.random_range(5 * MS - delay..45 * MS);
                self.later(delay + lag, Event::Append { from: place, to, append });
            }
        }
    }

    pub(super) fn on_append(&mut self, from: usize, to: usize, append: Append) {
        if !self.endpoints[to].up {
            return;
        }
        let (taken, rewinds) = self.endpoints[to].on_append(from, &append);
        if rewinds {
            self.lose_connections(to);
        }
        let (a, b) = (self.endpoints[to].domain, self.endpoints[from].domain);
        if let (true, Some(delay)) = (taken, self.link(a, b)) {
            self.later(delay, Event::Held { from: to, to: from, append });
        }
    }

    /// An endpoint closes its connections.
    pub(super) fn lose_connections(&mut self, place: usize) {
        for peer in self.endpoints[place].close_all() {
            self.tell_host(place, peer, 0, ToHost::Lost(None));
        }
    }

    pub(super) fn call(&mut self, host: usize, call: Call) {
        let (sent, incarnation) = (self.now, self.hosts[host].incarnation);
        let cut = self.cut == Some(self.hosts[host].domain);
        if cut || self.store.mode == Mode::Down {
            let answer = call.failed(false);
            let event = Event::Answer { host, incarnation, sent, answer };
            return self.later(CONNECT_LIMIT, event);
        }
        let slow = self.store.mode == Mode::Slow;
        let range = if slow { 500 * MS..1_500 * MS } else { 2 * MS..6 * MS };
        let delay = self.rng.random_range(range);
        let answered = delay + 2 * MS < CALL_LIMIT;
        if !answered {
            let answer = call.failed(true);
            self.later(CALL_LIMIT, Event::Answer { host, incarnation, sent, answer });
        }
        self.later(delay, Event::Call { host, incarnation, sent, answered, call });
    }

    /// Notes that a request was sent, and whether a replica could have served it.
    pub(super) fn note_sent(
        &mut self,
        host: usize,
        id: ConnectionId,
        session: SessionId,
        request: RequestId,
    ) {
        use medlarstile::core::group::Eligible;
        let now = self.clock(host);
        let broker = self.hosts[host].core.broker();
        let Some(connection) = broker.connection(id) else { return };
        let Some(view) = broker.group(&connection.group).map(|group| &group.view) else { return };
        let replica = view.status(&connection.endpoint).is_some_and(|s| s.role == Role::Replica);
        let write = self.writes.get(&request).copied().unwrap_or_default();
        let could = broker.session(session).is_some_and(|session| {
            match view.eligible(now, &session.floor, session.spec.freshness) {
                Eligible::Serve { replicas, .. } => !replicas.is_empty(),
                Eligible::Empty(_) => false,
            }
        });
        self.measures.sent(self.now, request, replica, (!write).then_some(could));
    }
}
