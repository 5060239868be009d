//! The hub actor of a host: it owns the core, the listener and the actors of all connections.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{format_compact, CompactString};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stakker::{
    actor, after, call, fwd, fwd_to, ret_nop, ret_some_to, ActorOwn, Fwd, StopCause, CX,
};
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

use super::caller::{CallerEvent, LineCaller};
use super::endpoint::{EndpointEvent, LineEndpoint, Target};
use super::feed::{FeedEvent, FeedPlan, FeedRows, TableFeed};
use super::http::{HttpServer, Respond};
use super::peers::Peers;
use super::report::Report;
use super::store::{CallEnd, CallPurpose, Calls};
use crate::core::life::DrainTimes;
use crate::core::proxy::failover::{Claim, ClaimFault};
use crate::core::proxy::group::EndpointEntry;
use crate::core::proxy::job::Job;
use crate::core::proxy::{Proxy, ProxyEffect, ProxySpec};
use crate::error::{Error, ErrorKind};
use crate::net::host::HostNotice;
use crate::net::reactor::suspend_aware_clock;
use crate::platform::settings::PlatformSettings;
use crate::platform::store::{self, StoreRow, WriteAnswer};
use crate::platform::{configuration, discovery};
use crate::types::{ConnectionId, DurationMs, GroupId, HostId, Incarnation, RowVersion, SessionId};
use crate::wire::fleet_rows::{HostRow, WireClaim};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(20);
/// Table with the rows that the hosts write.
pub(super) const OWN_TABLE: &str = "medlarstile";
/// Beginning of the keys of the hosts' rows.
const HOST_KEY: &str = "host.";
/// Key of the row with the secret that all hosts share.
pub(super) const SECRET_KEY: &str = "fleet.secret";
/// Beginning of the keys of the groups' rows.
const GROUP_KEY: &str = "group.";
/// Pause before a row that was not written is written again.
const REWRITE_PAUSE: Duration = Duration::from_millis(700);
/// Poll priority of the listener.
const LISTENER_PRIORITY: u32 = 10;
/// How the operator's configuration is followed; a silent connection is noticed within the time
/// that a version has to be in force.
const CONFIGURATION_FEED: FeedPlan = FeedPlan {
    table: store::CONFIGURATION_TABLE,
    wait_ms: DurationMs(1_500),
    pause_ms: DurationMs(50),
};
/// How the endpoints' entries are followed; every heartbeat changes one, so changes are gathered.
const ENDPOINT_FEED: FeedPlan = FeedPlan {
    table: store::ENDPOINT_TABLE,
    wait_ms: DurationMs(1_500),
    pause_ms: DurationMs(700),
};
/// How the hosts' own rows are followed.
const OWN_FEED: FeedPlan =
    FeedPlan { table: OWN_TABLE, wait_ms: DurationMs(3_000), pause_ms: DurationMs(50) };

/// A host that serves sessions over pooled connections.
pub struct ProxyHost {
    pub(super) settings: PlatformSettings,
    pub(super) core: Proxy,
    notify: Fwd<HostNotice>,
    listener: Option<MioSource<TcpListener>>,
    guest_listener: Option<MioSource<TcpListener>>,
    /// Sessions of callers of other hosts.
    guests: BTreeSet<SessionId>,
    /// Callers whose sessions run on other hosts.
    relayed: BTreeSet<SessionId>,
    ready: Rc<Cell<bool>>,
    _readiness: ActorOwn<HttpServer>,
    _metrics: ActorOwn<HttpServer>,
    pub(super) feeds: Vec<ActorOwn<TableFeed>>,
    pub(super) calls: ActorOwn<Calls>,
    promotions: ActorOwn<Calls>,
    callers: BTreeMap<SessionId, ActorOwn<LineCaller>>,
    endpoints: BTreeMap<ConnectionId, ActorOwn<LineEndpoint>>,
    entries: BTreeMap<CompactString, EndpointEntry>,
    pub(super) hosts: BTreeMap<HostId, HostRow>,
    pub(super) peers: Option<Peers>,
    pub(super) incarnation: Incarnation,
    report: Report,
    next_session: u64,
}

impl ProxyHost {
    /// Starts a host. What happens to it goes to `notify`.
    pub fn init(
        cx: CX![],
        settings: PlatformSettings,
        incarnation: Incarnation,
        notify: Fwd<HostNotice>,
    ) -> Option<Self> {
        let ready = Rc::new(Cell::new(false));
        let shown = Rc::clone(&ready);
        let respond: Respond = Rc::new(RefCell::new(move |_: &str| {
            if shown.get() {
                (200, "ready\n".to_owned())
            } else {
                (503, "not ready\n".to_owned())
            }
        }));
        let failed = ret_some_to!([cx], server_failed() as (StopCause));
        let readiness = actor!(cx, HttpServer::init(settings.readiness, respond), failed);
        let feeds = Self::start_feeds(cx, settings.store);
        let calls = fwd_to!([cx], call_ended() as (CallEnd));
        let calls = actor!(cx, Calls::init(settings.store, calls), ret_nop!());
        let promotions = fwd_to!([cx], call_ended() as (CallEnd));
        let promotions = actor!(cx, Calls::init(settings.promotions, promotions), ret_nop!());
        let report = Report::new();
        let page = report.page();
        let metrics: Respond = Rc::new(RefCell::new(move |path: &str| match path {
            "/metrics" => (200, page()),
            _ => (404, "metrics are at /metrics\n".to_owned()),
        }));
        // Without its metrics a host still serves callers.
        let lost = ret_some_to!([cx], metrics_failed() as (StopCause));
        let metrics = actor!(cx, HttpServer::init(settings.metrics, metrics), lost);
        let mut seed = rand::rng();
        let spec = ProxySpec {
            host: settings.host.clone(),
            home: settings.failure_domain.clone(),
            drain: drain_times(settings.stop_limit_ms),
        };
        tracing::info!(host = settings.host.as_str(), domain = settings.failure_domain.as_str(),
            listen = %settings.listen, "host: starting");
        call!([cx], register());
        call!([cx], tick());
        Some(Self {
            core: Proxy::new(spec, ChaCha8Rng::from_rng(&mut seed)),
            settings,
            notify,
            listener: None,
            guest_listener: None,
            guests: BTreeSet::new(),
            relayed: BTreeSet::new(),
            ready,
            _readiness: readiness,
            _metrics: metrics,
            feeds,
            calls,
            promotions,
            callers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            entries: BTreeMap::new(),
            hosts: BTreeMap::new(),
            peers: None,
            incarnation,
            report,
            next_session: 0,
        })
    }

    /// Starts a graceful stop.
    pub fn stop(&mut self, cx: CX![]) {
        self.core.stop(suspend_aware_clock());
        self.carry_out(cx);
    }

    fn start_feeds(cx: CX![], store: SocketAddr) -> Vec<ActorOwn<TableFeed>> {
        let plans = [CONFIGURATION_FEED, ENDPOINT_FEED, OWN_FEED];
        plans
            .into_iter()
            .map(|plan| {
                let hub = fwd_to!([cx], fed() as (FeedEvent));
                actor!(cx, TableFeed::init(store, plan, hub), ret_nop!())
            })
            .collect()
    }

    /// Takes the settings as they are now. A host that was moved starts again; the addresses of
    /// the platform apply at once.
    pub fn reload(&mut self, cx: CX![], settings: PlatformSettings) {
        let changed = settings != self.settings;
        tracing::info!(changed, store = %settings.store, "host: settings were read again");
        if settings.store != self.settings.store {
            self.feeds = Self::start_feeds(cx, settings.store);
            let calls = fwd_to!([cx], call_ended() as (CallEnd));
            self.calls = actor!(cx, Calls::init(settings.store, calls), ret_nop!());
        }
        if settings.promotions != self.settings.promotions {
            let ended = fwd_to!([cx], call_ended() as (CallEnd));
            self.promotions = actor!(cx, Calls::init(settings.promotions, ended), ret_nop!());
        }
        self.settings = settings;
    }

    fn server_failed(&mut self, _: CX![], cause: StopCause) {
        fwd!([self.notify], HostNotice::Failed(cause.to_string()));
    }

    fn metrics_failed(&mut self, _: CX![], cause: StopCause) {
        tracing::warn!(address = %self.settings.metrics, %cause, "metrics: no server");
    }

    fn tick(&mut self, cx: CX![]) {
        self.core.tick(suspend_aware_clock());
        self.carry_out(cx);
        self.report.on_state(&self.core);
        after!(TICK, [cx], tick());
    }

    /// Carries out what the core has decided.
    pub(super) fn carry_out(&mut self, cx: CX![]) {
        loop {
            let effects = self.core.drain();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.effect(cx, effect);
            }
        }
        self.ready.set(self.core.is_ready());
    }

    fn effect(&mut self, cx: CX![], effect: ProxyEffect) {
        match effect {
            ProxyEffect::Connect { connection, group, endpoint, address, owner } => {
                let host = self.settings.host.clone();
                self.connect(cx, connection, Target { address, group, endpoint, owner, host });
            }
            ProxyEffect::Close(id) => {
                if let Some(endpoint) = self.endpoints.remove(&id) {
                    call!([endpoint], close());
                    self.endpoints.insert(id, endpoint);
                }
            }
            ProxyEffect::Run(id, job) => self.run(id, job),
            ProxyEffect::Answer { session, answer, state } => {
                if let Some(caller) = self.callers.get(&session) {
                    call!([caller], answer(answer, state));
                }
            }
            ProxyEffect::Ended(ended) => self.report.on_ended(&ended),
            ProxyEffect::CloseSession(session) => {
                if let Some(caller) = self.callers.get(&session) {
                    call!([caller], end_when_idle());
                }
            }
            ProxyEffect::Claim(group, version, claim) => self.claim(&group, version, &claim),
            ProxyEffect::Promote(group, endpoint, token) => {
                self.report.on_promotion();
                tracing::info!(group = group.as_str(), endpoint = endpoint.as_str(), %token,
                    "failover: promotion is ordered");
                let request = store::promote(&group, &endpoint, &self.settings.host, token);
                call!([self.promotions], call(CallPurpose::Promote(group), request));
            }
            ProxyEffect::ReportDemand(demand) => self.report_demand(&demand),
            ProxyEffect::Listen => self.listen(cx),
            ProxyEffect::Leave => {
                self.ready.set(false);
                self.refuse_guests();
            }
            ProxyEffect::StopListening => {
                self.listener = None;
                for caller in self.relayed.iter().filter_map(|id| self.callers.get(id)) {
                    call!([caller], end_when_idle());
                }
            }
            ProxyEffect::Stop => {
                fwd!([self.notify], HostNotice::Stopped);
            }
        }
    }

    fn run(&mut self, id: ConnectionId, job: Job) {
        if let Some(endpoint) = self.endpoints.get(&id) {
            call!([endpoint], run(job));
        }
    }

    fn connect(&mut self, cx: CX![], id: ConnectionId, target: Target) {
        self.report.on_connect();
        let hub = fwd_to!([cx], endpoint_event(id) as (EndpointEvent));
        let ended = ret_some_to!([cx], endpoint_ended(id) as (StopCause));
        let endpoint = actor!(cx, LineEndpoint::init(target, hub), ended);
        self.endpoints.insert(id, endpoint);
    }

    fn endpoint_event(&mut self, cx: CX![], id: ConnectionId, event: EndpointEvent) {
        let now = suspend_aware_clock();
        match event {
            EndpointEvent::Opened => self.core.on_opened(now, id),
            EndpointEvent::Began(position) => self.core.on_began(now, id, position),
            EndpointEvent::Job(end) => self.core.on_job(now, id, end),
            EndpointEvent::Lost(report) => self.core.on_lost(now, id, &report),
        }
        self.carry_out(cx);
    }

    fn endpoint_ended(&mut self, _: CX![], id: ConnectionId, cause: StopCause) {
        if cause.has_error() {
            tracing::warn!(connection = id.0, %cause, "endpoint: connection failed");
        }
        self.endpoints.remove(&id);
    }

    fn listen(&mut self, cx: CX![]) {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept() as (Ready));
        let listener = TcpListener::bind(self.settings.listen).and_then(|listener| {
            miopoll.add(listener, Interest::READABLE, LISTENER_PRIORITY, ready)
        });
        match listener {
            Ok(listener) => {
                self.listener = Some(listener);
                self.listen_for_guests(cx);
                fwd!([self.notify], HostNotice::Listening(self.settings.listen));
            }
            Err(error) => {
                let detail = format!("cannot listen at {}: {error}", self.settings.listen);
                fwd!([self.notify], HostNotice::Failed(detail));
            }
        }
    }

    /// Sessions of other hosts' callers come over TCP at the port of the link.
    fn listen_for_guests(&mut self, cx: CX![]) {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept_guests() as (Ready));
        let listener = TcpListener::bind(self.settings.peers).and_then(|listener| {
            miopoll.add(listener, Interest::READABLE, LISTENER_PRIORITY, ready)
        });
        match listener {
            Ok(listener) => self.guest_listener = Some(listener),
            Err(error) => {
                tracing::warn!(address = %self.settings.peers, %error, "relay: no listener")
            }
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_callers(cx, false);
    }

    /// Other hosts relay their callers' sessions.
    fn accept_guests(&mut self, cx: CX![], _: Ready) {
        self.accept_callers(cx, true);
    }

    fn accept_callers(&mut self, cx: CX![], guests: bool) {
        loop {
            let listener = if guests { &self.guest_listener } else { &self.listener };
            let Some(listener) = listener else { return };
            match listener.accept() {
                Ok((socket, _)) => {
                    self.next_session += 1;
                    let id = SessionId(self.next_session);
                    let hub = fwd_to!([cx], caller_event(id) as (CallerEvent));
                    let ended = ret_some_to!([cx], caller_ended(id) as (StopCause));
                    let caller = actor!(cx, LineCaller::init(socket, hub), ended);
                    self.callers.insert(id, caller);
                    if guests {
                        self.guests.insert(id);
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Out of descriptors, for example; the next connection brings the next try.
                    tracing::warn!(%error, "host: accept failed");
                    return;
                }
            }
        }
    }

    /// A stopping host takes no sessions of other hosts; their callers are served there.
    fn refuse_guests(&mut self) {
        self.guest_listener = None;
        if let Some(peers) = self.peers.as_ref().filter(|_| !self.guests.is_empty()) {
            peers.close();
        }
    }

    fn caller_event(&mut self, cx: CX![], id: SessionId, event: CallerEvent) {
        let now = suspend_aware_clock();
        match event {
            CallerEvent::Startup(database, key) if !self.guests.contains(&id) => {
                match self.home_address(&database, &key) {
                    Some(address) => {
                        self.relayed.insert(id);
                        self.core.set_relayed(self.relayed.len());
                        if let Some(caller) = self.callers.get(&id) {
                            call!([caller], relay(address, database, key));
                        }
                    }
                    None => self.open_session(id, &database, &key),
                }
            }
            CallerEvent::Startup(database, key) => self.open_session(id, &database, &key),
            CallerEvent::HomeLost(database, key) => {
                self.forget_relayed(id);
                self.open_session(id, &database, &key);
            }
            CallerEvent::Query(query) => self.core.submit(now, id, query),
            CallerEvent::Malformed(fault) => {
                let error = Error::new(ErrorKind::BadMessage, fault.to_string());
                self.core.refuse_unread(id, error);
            }
            CallerEvent::Gone => self.core.close_session(now, id),
        }
        self.carry_out(cx);
    }

    fn open_session(&mut self, id: SessionId, database: &str, key: &str) {
        let opened = self.core.open_session(suspend_aware_clock(), id, database, key);
        let Some(caller) = self.callers.get(&id) else { return };
        match opened {
            Ok(()) => call!([caller], started()),
            Err(error) => {
                tracing::info!(session = id.0, database, kind = ?error.kind,
                    detail = error.detail.as_str(), "session: refused");
                call!([caller], refused(error));
            }
        }
    }

    /// Where the session of a caller runs, if that is another host.
    fn home_address(&self, database: &str, key: &str) -> Option<SocketAddr> {
        let home = self.core.foreign_home(database, key)?;
        self.hosts.get(&home).map(|row| row.address)
    }

    fn forget_relayed(&mut self, id: SessionId) {
        self.relayed.remove(&id);
        self.core.set_relayed(self.relayed.len());
    }

    fn caller_ended(&mut self, cx: CX![], id: SessionId, _: StopCause) {
        self.callers.remove(&id);
        self.guests.remove(&id);
        self.forget_relayed(id);
        self.core.close_session(suspend_aware_clock(), id);
        self.carry_out(cx);
    }

    /// Writes this host's row, which stays until the host is removed for good.
    fn register(&mut self, _: CX![]) {
        let value = HostRow::new(self.settings.peers, self.incarnation).to_json();
        let key = format_compact!("{HOST_KEY}{}", self.settings.host);
        let request = store::put_row(OWN_TABLE, &key, None, Some(&value));
        call!([self.calls], call(CallPurpose::Register, request));
    }

    fn claim(&mut self, group: &GroupId, version: RowVersion, claim: &Claim) {
        let value = WireClaim::from(claim).to_json();
        let key = format_compact!("{GROUP_KEY}{group}");
        let request = store::put_row(OWN_TABLE, &key, Some(version), Some(&value));
        call!([self.calls], call(CallPurpose::Claim(group.clone()), request));
    }

    fn call_ended(&mut self, cx: CX![], end: CallEnd) {
        self.report.on_call(&end);
        let now = suspend_aware_clock();
        match end {
            CallEnd::Written(CallPurpose::Claim(group), answer) => {
                let result = match answer {
                    Some(WriteAnswer::Done(version)) => Ok(version),
                    Some(WriteAnswer::Changed(row)) => {
                        let version = row.as_ref().map_or(RowVersion(0), |row| row.version);
                        Err(ClaimFault::Taken(version, row.as_ref().and_then(read_claim)))
                    }
                    Some(WriteAnswer::Refused(_)) => Err(ClaimFault::Refused),
                    None => Err(ClaimFault::Unknown),
                };
                tracing::info!(group = group.as_str(), ?result, "failover: claim was answered");
                self.core.on_claimed(now, &group, result);
            }
            // Another host's secret was first; the feed brings it.
            CallEnd::Written(CallPurpose::Agree, _) => {}
            CallEnd::Written(purpose, answer) => {
                if !matches!(answer, Some(WriteAnswer::Done(_))) {
                    tracing::warn!(?purpose, ?answer, "store: row was not written");
                    after!(REWRITE_PAUSE, [cx], register());
                }
            }
            CallEnd::Promoted(group, answer) => self.core.on_promoted(now, &group, answer),
        }
        self.carry_out(cx);
    }

    fn fed(&mut self, cx: CX![], event: FeedEvent) {
        match event {
            FeedEvent::Rows(rows) if rows.table == store::CONFIGURATION_TABLE => {
                self.take_configuration(&rows);
            }
            FeedEvent::Rows(rows) if rows.table == store::ENDPOINT_TABLE => {
                self.take_entries(&rows);
            }
            FeedEvent::Rows(rows) => self.take_own_rows(cx, &rows),
            FeedEvent::Reachable(table, reachable) => self.report.on_reachable(table, reachable),
        }
        self.carry_out(cx);
    }

    fn take_configuration(&mut self, rows: &FeedRows) {
        let row = rows.rows.iter().rev().find(|row| row.key == store::CONFIGURATION_KEY);
        let Some(value) = row.and_then(|row| row.value.as_deref()) else { return };
        match configuration::read(value) {
            Ok(catalog) => self.core.set_catalog(suspend_aware_clock(), catalog),
            Err(detail) => tracing::warn!(detail, "configuration: version cannot be read"),
        }
    }

    fn take_entries(&mut self, rows: &FeedRows) {
        if rows.whole {
            self.entries.clear();
        }
        for row in &rows.rows {
            let entry =
                row.value.as_ref().map(|value| discovery::read(&row.key, row.version, value));
            match entry {
                Some(Ok(entry)) => {
                    self.entries.insert(row.key.clone(), entry);
                }
                Some(Err(detail)) => {
                    tracing::warn!(key = row.key.as_str(), detail, "discovery: entry is ignored");
                }
                None => {
                    self.entries.remove(&row.key);
                }
            }
        }
        let entries = self.entries.values().cloned().collect();
        self.core.set_entries(suspend_aware_clock(), entries);
    }

    fn take_own_rows(&mut self, cx: CX![], rows: &FeedRows) {
        let now = suspend_aware_clock();
        if rows.whole {
            self.hosts.clear();
        }
        for row in &rows.rows {
            if let Some(host) = row.key.strip_prefix(HOST_KEY) {
                self.take_host(host, row);
            } else if row.key == SECRET_KEY {
                self.take_secret(cx, row);
            } else if let Some(group) = row.key.strip_prefix(GROUP_KEY) {
                if let Ok(group) = group.parse::<GroupId>() {
                    self.core.on_claim_row(now, &group, row.version, read_claim(row).as_ref());
                }
            }
        }
        if rows.whole && self.peers.is_none() && !rows.rows.iter().any(|row| row.key == SECRET_KEY)
        {
            self.propose_secret();
        }
        self.set_peer_targets();
    }

    fn take_host(&mut self, host: &str, row: &StoreRow) {
        let Ok(host) = host.parse::<HostId>() else { return };
        match row.value.as_deref().map(HostRow::read) {
            Some(Ok(known)) => {
                self.hosts.insert(host, known);
            }
            Some(Err(error)) => {
                tracing::warn!(host = host.as_str(), %error, "store: row of a host")
            }
            None => {
                self.hosts.remove(&host);
            }
        }
    }
}

fn read_claim(row: &StoreRow) -> Option<Claim> {
    let value = row.value.as_deref()?;
    match WireClaim::read(value) {
        Ok(claim) => Some(claim),
        Err(error) => {
            tracing::warn!(key = row.key.as_str(), %error, "store: row of a group cannot be read");
            None
        }
    }
}

/// Splits the time that the platform leaves a process to stop: new callers come until its probe
/// has missed twice, open transactions get the first half, the rest is for the last answers.
fn drain_times(limit: DurationMs) -> DrainTimes {
    let notice_ms = DurationMs(2_300.min(limit.0 * 2 / 5));
    DrainTimes { notice_ms, limit_ms: DurationMs((limit.0 * 3 / 4).saturating_sub(notice_ms.0)) }
}
