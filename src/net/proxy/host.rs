//! Main actor of a host: owns the core, the listeners and the actors of all connections.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stakker::{
    actor, after, call, fwd, fwd_to, ret_nop, ret_some_to, ActorOwn, Fwd, StopCause, CX,
};
use stakker_mio::mio::net::TcpListener;
use stakker_mio::MioSource;

use super::caller::LineCaller;
use super::endpoint::{EndpointEvent, LineEndpoint, Target};
use super::feed::{FeedConfig, FeedEvent, FeedTiming, TableFeed};
use super::http::{HttpServer, Respond};
use super::peers::Peers;
use super::report::Report;
use super::store::{CallEnd, CallPurpose, CallQueue};
use crate::core::buffers::{BufferLimits, Buffers};
use crate::core::connection_limit::{self, ConnectionLimit};
use crate::core::life::DrainTimes;
use crate::core::peer::PeerMessage;
use crate::core::proxy::entries::EntryTable;
use crate::core::proxy::follow::{FollowTimes, HostRow, Readers};
use crate::core::proxy::job::Job;
use crate::core::proxy::lease::{ClaimRows, LeadProof};
use crate::core::proxy::roster::Roster;
use crate::core::proxy::{Proxy, ProxyEffect, ProxySpec};
use crate::net::host::HostNotice;
use crate::net::reactor::suspend_aware_clock;
use crate::platform::settings::PlatformSettings;
use crate::platform::store;
use crate::types::{
    ConnectionId, DurationMs, HostId, Incarnation, RowVersion, SessionId, Timestamp,
};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(20);
/// Table of the rows that the hosts write.
pub(super) const OWN_TABLE: &str = "medlarstile";
/// Key of the row with the secret that all hosts share.
pub(super) const SECRET_KEY: &str = "fleet.secret";
/// Time for which the store waits for a change of the endpoints' entries. Every heartbeat changes
/// one, so a longer silence shows a dead connection.
const ENDPOINT_WAIT: DurationMs = DurationMs(1_500);
/// Time for which the store waits for a change of the hosts' own rows.
pub(super) const OWN_WAIT: DurationMs = DurationMs(3_000);
/// The same where a host needs a lease to use a primary. Each read renews the lease, so a host that
/// runs sessions reads a few times within its duration.
const LEASE_WAIT: DurationMs = DurationMs(450);

/// Feed of the operator's configuration.
fn configuration_feed(times: FollowTimes) -> FeedConfig {
    FeedConfig {
        table: store::CONFIGURATION_TABLE,
        active: FeedTiming { wait_ms: times.wait_ms, pause_ms: DurationMs(50) },
        passive: FeedTiming { wait_ms: times.wait_ms, pause_ms: DurationMs(400) },
        answer_limit_ms: times.answer_limit_ms,
        is_urgent: false,
    }
}

/// Feed of the endpoints' entries. Changes are accumulated. A host that only relays sessions needs
/// the entries only if it cannot reach a home, and then reads them at once.
fn endpoint_feed(times: FollowTimes) -> FeedConfig {
    FeedConfig {
        table: store::ENDPOINT_TABLE,
        active: FeedTiming { wait_ms: ENDPOINT_WAIT, pause_ms: DurationMs(1_000) },
        passive: FeedTiming { wait_ms: ENDPOINT_WAIT, pause_ms: DurationMs(15_000) },
        answer_limit_ms: times.answer_limit_ms,
        is_urgent: false,
    }
}

/// Feed of the hosts' own rows.
fn own_feed(times: FollowTimes, proof: LeadProof) -> FeedConfig {
    let active = match proof {
        LeadProof::Transaction => FeedTiming { wait_ms: OWN_WAIT, pause_ms: DurationMs(50) },
        LeadProof::Lease => FeedTiming { wait_ms: LEASE_WAIT, pause_ms: DurationMs(0) },
    };
    FeedConfig {
        table: OWN_TABLE,
        active,
        passive: FeedTiming { wait_ms: OWN_WAIT, pause_ms: DurationMs(3_000) },
        answer_limit_ms: times.answer_limit_ms,
        is_urgent: proof == LeadProof::Lease,
    }
}

/// A caller whose session runs on another host.
pub(super) struct RelayedCaller {
    /// Host that runs the session, or is asked to.
    pub home: HostId,
    /// When the caller asked for its session.
    pub asked_at: Timestamp,
}

/// Main actor of a host that serves sessions over pooled connections.
pub struct ProxyHost {
    pub(super) settings: PlatformSettings,
    pub(super) core: Proxy,
    pub(super) notify: Fwd<HostNotice>,
    pub(super) listener: Option<MioSource<TcpListener>>,
    pub(super) relay_listener: Option<MioSource<TcpListener>>,
    /// Sessions on this host whose callers are connected to other hosts.
    pub(super) remote_sessions: BTreeSet<SessionId>,
    /// Callers connected to this host whose sessions run on other hosts.
    pub(super) relayed_callers: BTreeMap<SessionId, RelayedCaller>,
    ready: Rc<Cell<bool>>,
    _readiness: ActorOwn<HttpServer>,
    _metrics: ActorOwn<HttpServer>,
    pub(super) feeds: Vec<(FeedConfig, ActorOwn<TableFeed>)>,
    pub(super) store_calls: ActorOwn<CallQueue>,
    pub(super) promotions: ActorOwn<CallQueue>,
    pub(super) callers: BTreeMap<SessionId, ActorOwn<LineCaller>>,
    pub(super) endpoints: BTreeMap<ConnectionId, ActorOwn<LineEndpoint>>,
    pub(super) buffers: Buffers,
    pub(super) connections: ConnectionLimit,
    pub(super) entries: EntryTable,
    /// Text of the operator's configuration in use.
    pub(super) configuration: Option<Bytes>,
    /// Rows of the hosts, with their versions.
    pub(super) hosts: BTreeMap<HostId, (RowVersion, HostRow)>,
    /// Hosts through which this one follows the store's tables.
    pub(super) readers: Readers,
    /// When each table was last read.
    pub(super) read_at: BTreeMap<&'static str, Timestamp>,
    pub(super) roster: Roster,
    /// Hosts whose rows are being removed; the store has not answered yet.
    pub(super) removing: BTreeSet<HostId>,
    /// Whether the hosts' rows have been read.
    pub(super) hosts_read: bool,
    pub(super) peers: Option<Peers>,
    pub(super) incarnation: Incarnation,
    /// Whether this host's row is being written; the store has not accepted it yet.
    pub(super) is_registering: bool,
    /// Version of the store at the last read of all rows of [`OWN_TABLE`].
    pub(super) own_table_read: RowVersion,
    pub(super) report: Report,
    pub(super) next_session: u64,
}

impl ProxyHost {
    /// Starts a host. Changes of its state are reported to `notify`.
    pub fn init(
        cx: CX![],
        settings: PlatformSettings,
        incarnation: Incarnation,
        notify: Fwd<HostNotice>,
    ) -> Option<Self> {
        let ready = Rc::new(Cell::new(false));
        let ready_flag = Rc::clone(&ready);
        let respond: Respond = Rc::new(RefCell::new(move |_: &str| {
            if ready_flag.get() {
                (200, "ready\n".to_owned())
            } else {
                (503, "not ready\n".to_owned())
            }
        }));
        let on_server_failed = ret_some_to!([cx], server_failed() as (StopCause));
        let readiness = actor!(cx, HttpServer::init(settings.readiness, respond), on_server_failed);
        let feeds = Self::start_feeds(cx, &settings);
        let follow_times = FollowTimes::new(settings.configuration_limit_ms);
        let store_calls = fwd_to!([cx], on_call_ended() as (CallEnd));
        let store_calls = actor!(cx, CallQueue::init(settings.store, store_calls), ret_nop!());
        let promotions = fwd_to!([cx], on_call_ended() as (CallEnd));
        let promotions = actor!(cx, CallQueue::init(settings.promotions, promotions), ret_nop!());
        let report = Report::new();
        let encode_page = report.page();
        let metrics: Respond = Rc::new(RefCell::new(move |path: &str| match path {
            "/metrics" => (200, encode_page()),
            _ => (404, "metrics are at /metrics\n".to_owned()),
        }));
        // A host serves callers even if the metrics server fails.
        let on_metrics_failed = ret_some_to!([cx], metrics_failed() as (StopCause));
        let metrics = actor!(cx, HttpServer::init(settings.metrics, metrics), on_metrics_failed);
        let mut entropy = rand::rng();
        let spec = ProxySpec {
            host: settings.host.clone(),
            failure_domain: settings.failure_domain.clone(),
            processor: settings.processor,
            drain: drain_times(settings.stop_limit_ms),
            lead_proof: settings.lead_proof,
            margins: settings.margins,
        };
        tracing::info!(host = settings.host.as_str(), domain = settings.failure_domain.as_str(),
            listen = %settings.listen, "host: starting");
        let limits = BufferLimits::within(settings.memory);
        let socket_limit = connection_limit::socket_limit(settings.descriptors);
        tracing::info!(
            rooms = limits.rooms,
            held_bytes = limits.held.0,
            socket_limit,
            "host: limits of callers"
        );
        let (buffers, connections) = (Buffers::new(limits), ConnectionLimit::new(socket_limit));
        call!([cx], write_host_row());
        call!([cx], tick());
        Some(Self {
            core: Proxy::new(spec, ChaCha8Rng::from_rng(&mut entropy)),
            settings,
            notify,
            listener: None,
            relay_listener: None,
            remote_sessions: BTreeSet::new(),
            relayed_callers: BTreeMap::new(),
            ready,
            _readiness: readiness,
            _metrics: metrics,
            feeds,
            store_calls,
            promotions,
            callers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            buffers,
            connections,
            entries: EntryTable::default(),
            configuration: None,
            hosts: BTreeMap::new(),
            readers: Readers::new(follow_times),
            read_at: BTreeMap::new(),
            roster: Roster::default(),
            removing: BTreeSet::new(),
            hosts_read: false,
            peers: None,
            incarnation,
            is_registering: true,
            own_table_read: RowVersion(0),
            report,
            next_session: 0,
        })
    }

    /// Starts a graceful shutdown.
    pub fn stop(&mut self, cx: CX![]) {
        self.core.stop(suspend_aware_clock());
        self.carry_out(cx);
    }

    fn start_feeds(
        cx: CX![],
        settings: &PlatformSettings,
    ) -> Vec<(FeedConfig, ActorOwn<TableFeed>)> {
        let store = settings.store;
        let times = FollowTimes::new(settings.configuration_limit_ms);
        let own = own_feed(times, settings.lead_proof);
        let configs = [configuration_feed(times), endpoint_feed(times), own];
        configs
            .into_iter()
            .map(|config| {
                let hub = fwd_to!([cx], on_feed_event() as (FeedEvent));
                (config, actor!(cx, TableFeed::init(store, config, hub), ret_nop!()))
            })
            .collect()
    }

    /// Applies settings that were read again: new addresses of the platform's services and a new time
    /// limit of the configuration take effect at once. A host that the platform moves to other
    /// addresses of its own is restarted.
    pub fn reload(&mut self, cx: CX![], settings: PlatformSettings) {
        let changed = settings != self.settings;
        tracing::info!(changed, store = %settings.store, "host: settings were read again");
        let limit_changed = settings.configuration_limit_ms != self.settings.configuration_limit_ms;
        if limit_changed || settings.store != self.settings.store {
            self.feeds = Self::start_feeds(cx, &settings);
            self.readers.set_times(FollowTimes::new(settings.configuration_limit_ms));
        }
        if settings.store != self.settings.store {
            let store_calls = fwd_to!([cx], on_call_ended() as (CallEnd));
            self.store_calls = actor!(cx, CallQueue::init(settings.store, store_calls), ret_nop!());
        }
        if settings.promotions != self.settings.promotions {
            let ended = fwd_to!([cx], on_call_ended() as (CallEnd));
            self.promotions = actor!(cx, CallQueue::init(settings.promotions, ended), ret_nop!());
        }
        self.settings = settings;
    }

    fn server_failed(&mut self, _: CX![], cause: StopCause) {
        fwd!([self.notify], HostNotice::Failed(cause.to_string()));
    }

    fn metrics_failed(&mut self, _: CX![], cause: StopCause) {
        tracing::warn!(address = %self.settings.metrics, %cause, "metrics: server failed");
    }

    fn tick(&mut self, cx: CX![]) {
        let now = suspend_aware_clock();
        self.core.tick(now);
        self.apply_buffer_decisions(now);
        self.carry_out(cx);
        if let Some(age) = self.configuration_age(now) {
            self.report.on_configuration_age(age);
        }
        self.report.on_state(now, &self.core);
        self.report.on_buffers(&self.buffers);
        after!(TICK, [cx], tick());
    }

    /// Carries out the effects that the core has collected.
    pub(super) fn carry_out(&mut self, cx: CX![]) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.carry_out_effect(cx, effect);
            }
        }
        self.ready.set(self.core.is_ready());
    }

    fn carry_out_effect(&mut self, cx: CX![], effect: ProxyEffect) {
        match effect {
            ProxyEffect::Connect { connection, group, endpoint, address, owner } => {
                let host = self.settings.host.clone();
                self.connect(cx, connection, Target { address, group, endpoint, owner, host });
            }
            ProxyEffect::Close(id) => {
                if let Some(endpoint) = self.endpoints.get(&id) {
                    call!([endpoint], close());
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
            ProxyEffect::Claim(group, version, claim) => self.write_claim(&group, version, &claim),
            ProxyEffect::Promote(group, endpoint, token) => {
                self.report.on_promotion();
                tracing::info!(group = group.as_str(), endpoint = endpoint.as_str(), %token,
                    "failover: promotion was requested");
                let request = store::promote(&group, &endpoint, &self.settings.host, token);
                call!([self.promotions], call(CallPurpose::Promote(group), request));
            }
            ProxyEffect::ReportDemand(demand) => {
                let version = self.configuration_version();
                self.broadcast(&PeerMessage::Demand(demand, version));
            }
            ProxyEffect::ReportReads => self.report_reads(),
            ProxyEffect::ShareKnowledge(host, knowledge) => {
                self.send_to_peer(host, PeerMessage::Knowledge(knowledge));
            }
            ProxyEffect::AnnounceClaim(group, version, claim) => {
                let rows = vec![(group, version, claim)];
                // Other rows are not contained, so nothing is said about their versions.
                let (after, complete) = (version, RowVersion(0));
                self.broadcast(&PeerMessage::Claims(ClaimRows { after, complete, rows }));
            }
            ProxyEffect::ConfirmClaim(host, group, version) => {
                self.send_to_peer(host, PeerMessage::ClaimConfirmed(group, version));
            }
            ProxyEffect::RequestClaims(host, after) => {
                self.send_to_peer(host, PeerMessage::ClaimsRequest(after));
            }
            ProxyEffect::SendClaims(host, rows) => {
                self.send_to_peer(host, PeerMessage::Claims(rows));
            }
            ProxyEffect::AnnounceEvacuations(orders) => {
                self.broadcast(&PeerMessage::Evacuations(orders));
            }
            ProxyEffect::Listen => self.listen(cx),
            ProxyEffect::Leave => {
                self.ready.set(false);
                self.refuse_remote_sessions();
            }
            ProxyEffect::StopListening => {
                self.listener = None;
                for caller in self.callers_of_relayed_sessions() {
                    call!([caller], end_when_idle());
                }
            }
            ProxyEffect::EndRelayedTransactions => {
                for caller in self.callers_of_relayed_sessions() {
                    call!([caller], end_transaction());
                }
            }
            ProxyEffect::AbortRelayedRequests => {
                for caller in self.callers_of_relayed_sessions() {
                    call!([caller], abort("the host has stopped before the answer arrived"));
                }
            }
            ProxyEffect::CloseCallers => {
                for caller in self.callers.values() {
                    call!([caller], end_when_idle());
                }
            }
            ProxyEffect::Stop => {
                fwd!([self.notify], HostNotice::Stopped);
            }
        }
    }

    fn callers_of_relayed_sessions(&self) -> impl Iterator<Item = &ActorOwn<LineCaller>> {
        self.relayed_callers.keys().filter_map(|id| self.callers.get(id))
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
            EndpointEvent::TransactionBegan(position) => {
                self.core.on_transaction_began(now, id, position)
            }
            EndpointEvent::JobEnded(end) => self.core.on_job_end(now, id, end),
            EndpointEvent::Repeated => {
                self.report.on_repeated_answer();
                self.core.on_repeated_answer(id);
            }
            EndpointEvent::Unclear { sent, refusal } => {
                self.report.on_unclear_answer();
                self.core.on_unclear_refusal(now, id, sent, refusal);
            }
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
}

/// Divides the time that the platform allows a process for its shutdown. The notice covers the time
/// until the readiness probe has failed twice, in which new callers still arrive. Open transactions
/// may go on until three quarters of the time are over; after that they may only be ended. Requests
/// that still run at fourteen fifteenths are aborted, so that their callers get an answer before the
/// platform kills the process.
fn drain_times(limit: DurationMs) -> DrainTimes {
    let notice_ms = DurationMs(2_300.min(limit.0 * 2 / 5));
    let drained_ms = limit.0 * 3 / 4;
    DrainTimes {
        notice_ms,
        limit_ms: DurationMs(drained_ms.saturating_sub(notice_ms.0)),
        finish_ms: Some(DurationMs((limit.0 * 14 / 15).saturating_sub(drained_ms))),
    }
}
