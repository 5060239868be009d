//! One host of the model: the real core, and what its effects do to the fakes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use medlarstile::core::broker::{BrokerEffect, Outcome};
use medlarstile::core::host::{HostCore, HostEffect, HostSpec};
use medlarstile::core::life::DrainTimes;
use medlarstile::core::limit::{LimitPeer, TokenRequest, Transfer};
use medlarstile::core::rows::{HostRow, HostState};
use medlarstile::core::share::ShareSettings;
use medlarstile::core::view::{Member, Renewal, Snapshot, Statement};
use medlarstile::types::{
    AttemptId, ConnectionId, DurationMs, Incarnation, Renewals, RequestId, SessionId, TableVersion,
    Timestamp,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::store::{Answer, Call};
use super::{Event, Options, ToEndpoint, World};

/// A message between hosts.
#[derive(Debug, Clone)]
pub enum PeerMessage {
    Ask { at: u64 },
    Statement { at: u64, statement: Statement },
    WantTables { at: u64 },
    Tables { at: u64, age: Option<DurationMs>, snapshot: Box<Snapshot> },
    Announce(TableVersion),
    Tokens(TokenRequest),
    Granted(Transfer),
}

pub struct Host {
    pub core: HostCore,
    pub incarnation: u64,
    pub domain: usize,
    /// When the process started; its clock counts from here.
    pub started: u64,
    pub listening: bool,
    pub leaving: bool,
    pub renewals: u64,
    /// Time from which the platform's host list shows the host as leaving.
    pub unlisted_at: Option<u64>,
    pub connections: BTreeMap<ConnectionId, usize>,
    /// Sessions without a request, by account and group.
    pub idle: BTreeMap<(usize, usize), Vec<SessionId>>,
    pub sessions: BTreeMap<SessionId, Session>,
}

#[derive(Debug, Clone, Copy)]
pub struct Session {
    pub account: usize,
    pub group: usize,
    pub first_key: bool,
    pub request: Option<RequestId>,
}

impl Host {
    pub fn new(options: &Options, place: usize, incarnation: u64, started: u64) -> Self {
        let domain = place % options.deployment.domains;
        let address: SocketAddr =
            format!("127.0.0.{}:7000", place + 1).parse().expect("an address");
        let id = format!("host{place}").parse().expect("a host id");
        let home = format!("domain{domain}").parse().expect("a failure domain");
        let spec = HostSpec {
            broker: options.policy.broker(&id, &home),
            host: id,
            incarnation: Incarnation(incarnation),
            address,
            home,
            shares: ShareSettings::default(),
            drain: DrainTimes {
                notice_ms: options.notice_ms,
                limit_ms: DurationMs(30_000),
                finish_ms: None,
            },
        };
        let rng = ChaCha8Rng::seed_from_u64(options.seed * 1_000_003 + incarnation);
        Self {
            core: HostCore::new(spec, rng),
            incarnation,
            domain,
            started,
            listening: false,
            leaving: false,
            renewals: 0,
            unlisted_at: None,
            connections: BTreeMap::new(),
            idle: BTreeMap::new(),
            sessions: BTreeMap::new(),
        }
    }

    fn row(&mut self, renewal: &Renewal) -> HostRow {
        self.renewals += 1;
        let spec = self.core.spec();
        let state = match renewal.confirmed {
            _ if self.leaving => HostState::Leaving,
            None => HostState::Starting,
            Some(_) => HostState::Live,
        };
        HostRow {
            host: spec.host.clone(),
            incarnation: spec.incarnation,
            address: spec.address,
            failure_domain: spec.home.clone(),
            state,
            confirmed: renewal.confirmed,
            renewals: Renewals(self.renewals),
            registered: renewal.registered,
            members_seen: renewal.members_seen,
            attempt: AttemptId(self.renewals),
        }
    }
}

impl World {
    /// The time on a host's clock.
    pub fn clock(&self, host: usize) -> Timestamp {
        Timestamp(self.now - self.hosts[host].started)
    }

    /// Carries out what a host's core decided.
    pub fn carry_out(&mut self, host: usize) {
        loop {
            let effects = self.hosts[host].core.drain();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.host_effect(host, effect);
            }
        }
    }

    fn host_effect(&mut self, host: usize, effect: HostEffect) {
        let at = self.now;
        match effect {
            HostEffect::Broker(effect) => self.broker_effect(host, effect),
            HostEffect::Renew(renewal) => {
                let row = self.hosts[host].row(&renewal);
                self.call(host, Call::Renew(row));
            }
            HostEffect::ReadView => self.call(host, Call::View),
            HostEffect::ReadShares => self.call(host, Call::Shares),
            HostEffect::WriteShares { attempt, writes } => {
                self.call(host, Call::WriteShares(attempt, writes));
            }
            HostEffect::AskPeers => self.tell_all_peers(host, &PeerMessage::Ask { at }),
            HostEffect::Announce(version) => {
                self.tell_all_peers(host, &PeerMessage::Announce(version));
            }
            HostEffect::WantTables(Member { host: to, .. }) => {
                self.tell_peer(host, self.place_of(&to), PeerMessage::WantTables { at });
            }
            HostEffect::AskTokens(to, request) => {
                self.tell_peer(host, self.place_of(&to), PeerMessage::Tokens(request));
            }
            HostEffect::Listen => self.hosts[host].listening = true,
            HostEffect::AnnounceLeaving => self.hosts[host].leaving = true,
            HostEffect::StopListening => self.hosts[host].listening = false,
            HostEffect::Close => self.close_host(host),
        }
    }

    fn broker_effect(&mut self, host: usize, effect: BrokerEffect) {
        match effect {
            BrokerEffect::Connect { connection, endpoint, .. } => {
                let endpoint = super::place_of_endpoint(&endpoint);
                self.hosts[host].connections.insert(connection, endpoint);
                self.tell_endpoint(host, connection, ToEndpoint::Connect);
            }
            BrokerEffect::Close(id) => {
                self.tell_endpoint(host, id, ToEndpoint::Close);
                self.hosts[host].connections.remove(&id);
            }
            BrokerEffect::Send { connection, request, session, .. } => {
                self.note_sent(host, connection, session, request);
                self.tell_endpoint(host, connection, ToEndpoint::Run(request));
            }
            BrokerEffect::Probe(id) => self.tell_endpoint(host, id, ToEndpoint::Probe),
            BrokerEffect::Order(id, order) => {
                self.tell_endpoint(host, id, ToEndpoint::Order(order))
            }
            BrokerEffect::CancelRunning(_) | BrokerEffect::Discard { .. } => {}
            BrokerEffect::End { session, request, outcome, .. } => {
                self.ended(host, session, request, &outcome);
            }
            BrokerEffect::Evict(session, error) => {
                let found = self.hosts[host].sessions.remove(&session);
                if let Some(request) = found.and_then(|found| found.request) {
                    self.measures.refused(request, error.kind);
                }
                let now = self.clock(host);
                self.hosts[host].core.caller_left(now, session);
            }
            BrokerEffect::ReadRecord(group) => self.call(host, Call::Record(group)),
            BrokerEffect::SwapRecord { group, expected_version, record } => {
                self.call(host, Call::Swap(group, expected_version, record));
            }
        }
    }

    fn ended(&mut self, host: usize, session: SessionId, request: RequestId, outcome: &Outcome) {
        match outcome {
            Outcome::Release { token } => {
                self.measures.served(self.now, request, token.is_some());
            }
            Outcome::Fail(error) => self.measures.refused(request, error.kind),
        }
        let host = &mut self.hosts[host];
        if let Some(found) = host.sessions.get_mut(&session) {
            found.request = None;
            host.idle.entry((found.account, found.group)).or_default().push(session);
        }
    }

    /// Peers with which a host has open connections.
    pub fn set_peers(&mut self, host: usize) {
        let others = self.hosts.iter().enumerate().filter(|(place, _)| *place != host);
        let peer = |(_, other): (usize, &Host)| {
            let spec = other.core.spec();
            LimitPeer { host: spec.host.clone(), failure_domain: spec.home.clone() }
        };
        let peers =
            if self.options.policy.transfers { others.map(peer).collect() } else { Vec::new() };
        self.hosts[host].core.set_peers(peers);
    }

    fn tell_all_peers(&mut self, from: usize, message: &PeerMessage) {
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.tell_peer(from, to, message.clone());
        }
    }

    pub fn tell_peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        let (a, b) = (self.hosts[from].domain, self.hosts[to].domain);
        if let Some(delay) = self.link(a, b) {
            self.later(delay, Event::Peer { from, to, message });
        }
    }

    pub fn on_peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        let now = self.clock(to);
        let started = self.hosts[to].started;
        let local = |at: u64| Timestamp(at.saturating_sub(started));
        let sender = self.hosts[from].core.spec().host.clone();
        let core = &mut self.hosts[to].core;
        let answer = match message {
            PeerMessage::Ask { at } => {
                Some(PeerMessage::Statement { at, statement: core.statement(now) })
            }
            PeerMessage::WantTables { at } => core.view().snapshot().map(|snapshot| {
                let snapshot = Box::new(snapshot.clone());
                PeerMessage::Tables { at, age: core.view().age(now), snapshot }
            }),
            PeerMessage::Tokens(request) => {
                core.on_token_request(now, &sender, &request).map(PeerMessage::Granted)
            }
            PeerMessage::Statement { at, statement } => {
                core.on_statement(now, local(at), statement);
                None
            }
            PeerMessage::Tables { at, age, snapshot } => {
                core.on_peer_snapshot(now, local(at), age, *snapshot);
                None
            }
            PeerMessage::Announce(version) => {
                core.on_announced(now, version);
                None
            }
            PeerMessage::Granted(transfer) => {
                core.on_transfer(now, &sender, &transfer);
                None
            }
        };
        if let Some(answer) = answer {
            self.tell_peer(to, from, answer);
        }
        self.carry_out(to);
    }

    pub fn on_answer(&mut self, host: usize, sent: u64, answer: Answer) {
        let now = self.clock(host);
        let sent = Timestamp(sent - self.hosts[host].started);
        let core = &mut self.hosts[host].core;
        match answer {
            Answer::Renewed(Some(seq)) => core.on_renewed(now, sent, seq),
            Answer::Renewed(None) => core.on_renewal_failed(),
            Answer::Deregistered => {}
            Answer::View(read) => core.on_view_read(now, read),
            Answer::Shares(rows) => core.on_shares_read(now, rows.as_deref()),
            Answer::SharesWritten(attempt, result) => core.on_shares_written(now, attempt, result),
            Answer::Record(group, record) => {
                let record = record.ok_or(medlarstile::core::promotion::ReadFault);
                core.broker_mut().on_record_read(now, &group, record);
            }
            Answer::Swapped(group, record, result) => {
                core.broker_mut().on_record_swapped(now, &group, &record, result);
            }
        }
        self.carry_out(host);
    }
}
