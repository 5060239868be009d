//! Callers of a host: those connected to it, and those whose sessions other hosts relay to it.

use std::net::SocketAddr;

use stakker::{actor, call, fwd, fwd_to, ret_some_to, StopCause, CX};
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, Ready};

use super::caller::{CallerEvent, LineCaller, SessionRequest};
use super::host::{ProxyHost, RelayedCaller};
use super::report::Eviction;
use crate::core::buffers::BufferDecision;
use crate::core::connection_limit::Displaced;
use crate::error::{Error, ErrorKind};
use crate::net::host::HostNotice;
use crate::net::reactor::suspend_aware_clock;
use crate::types::{DurationMs, HostId, SessionId, Timestamp};

/// Time after which no further home is asked to run a session, so that it runs on this host before
/// its caller gives up, after about two seconds. Homes whose process has ended refuse at once.
const HOME_SEARCH_LIMIT: DurationMs = DurationMs(700);
/// Connections accepted before displaced ones are closed.
const MAX_ACCEPTS: usize = 16;
/// Poll priority of the listening sockets.
const LISTENER_PRIORITY: u32 = 10;

impl ProxyHost {
    pub(super) fn listen(&mut self, cx: CX![]) {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept() as (Ready));
        let listener = TcpListener::bind(self.settings.listen).and_then(|listener| {
            miopoll.add(listener, Interest::READABLE, LISTENER_PRIORITY, ready)
        });
        match listener {
            Ok(listener) => {
                self.listener = Some(listener);
                self.listen_for_relays(cx);
                fwd!([self.notify], HostNotice::Listening(self.settings.listen));
            }
            Err(error) => {
                let detail = format!("cannot listen at {}: {error}", self.settings.listen);
                fwd!([self.notify], HostNotice::Failed(detail));
            }
        }
    }

    /// Listens for sessions that other hosts relay, over TCP at the same port as the links' UDP.
    fn listen_for_relays(&mut self, cx: CX![]) {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept_relays() as (Ready));
        let listener = TcpListener::bind(self.settings.peers).and_then(|listener| {
            miopoll.add(listener, Interest::READABLE, LISTENER_PRIORITY, ready)
        });
        match listener {
            Ok(listener) => self.relay_listener = Some(listener),
            Err(error) => {
                tracing::warn!(address = %self.settings.peers, %error,
                    "relay: cannot listen for other hosts")
            }
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_from(cx, false);
    }

    /// Accepts connections on which other hosts relay sessions.
    fn accept_relays(&mut self, cx: CX![], _: Ready) {
        self.accept_from(cx, true);
    }

    fn accept_from(&mut self, cx: CX![], is_remote: bool) {
        let mut accepted = 0;
        loop {
            let listener = if is_remote { &self.relay_listener } else { &self.listener };
            let Some(listener) = listener else { return };
            match listener.accept() {
                Ok((socket, _)) => {
                    self.next_session += 1;
                    let id = SessionId(self.next_session);
                    let hub = fwd_to!([cx], caller_event(id) as (CallerEvent));
                    let ended = ret_some_to!([cx], caller_ended(id) as (StopCause));
                    let caller = actor!(cx, LineCaller::init(socket, is_remote, hub), ended);
                    self.callers.insert(id, caller);
                    self.core.set_open_callers(self.callers.len());
                    if is_remote {
                        self.remote_sessions.insert(id);
                    }
                    self.displace_for(id);
                    accepted += 1;
                    if accepted == MAX_ACCEPTS {
                        // Displaced connections are closed before more are accepted.
                        call!([cx], accept_from(is_remote));
                        return;
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Out of file descriptors, for example; the next connection triggers a retry.
                    tracing::warn!(%error, "host: accept failed");
                    return;
                }
            }
        }
    }

    /// Closes the connection that makes room for a new one, if the limit is reached.
    fn displace_for(&mut self, id: SessionId) {
        let (displaced, has_session) =
            match self.connections.on_accepted(id, self.relayed_callers.len()) {
                Some(Displaced::Starting(displaced)) => (displaced, false),
                Some(Displaced::Session(displaced)) => (displaced, true),
                None => return,
            };
        tracing::info!(
            session = displaced.0,
            has_session,
            "caller: disconnected, too many connections"
        );
        self.report.on_eviction(Eviction::Connections);
        if let Some(caller) = self.callers.get(&displaced) {
            call!([caller], displace());
        }
    }

    /// Gives room for long messages, and closes connections that hold too much.
    pub(super) fn apply_buffer_decisions(&mut self, now: Timestamp) {
        for decision in self.buffers.decide(now) {
            match decision {
                BufferDecision::GiveRoom(id) => {
                    if let Some(caller) = self.callers.get(&id) {
                        call!([caller], give_room());
                    }
                }
                BufferDecision::Close(id, bytes) => {
                    tracing::info!(
                        session = id.0,
                        bytes = bytes.0,
                        "caller: disconnected, it holds too much memory"
                    );
                    self.report.on_eviction(Eviction::Memory);
                    if let Some(caller) = self.callers.get(&id) {
                        call!([caller], release());
                    }
                }
            }
        }
    }

    /// Stops accepting relayed sessions; the other hosts then serve their callers themselves.
    pub(super) fn refuse_remote_sessions(&mut self) {
        self.relay_listener = None;
        if let Some(peers) = self.peers.as_ref().filter(|_| !self.remote_sessions.is_empty()) {
            peers.close();
        }
    }

    fn caller_event(&mut self, cx: CX![], id: SessionId, event: CallerEvent) {
        let now = suspend_aware_clock();
        if matches!(event, CallerEvent::Startup(_)) {
            self.connections.on_started(id);
        }
        match event {
            CallerEvent::Startup(request) if self.remote_sessions.contains(&id) => {
                self.open_remote_session(id, &request);
            }
            CallerEvent::Startup(request) => self.start_session(id, request, now),
            CallerEvent::HomeDeclined(request) => {
                self.remove_relayed_caller(id);
                self.open_session(id, &request);
                self.update_hosts();
            }
            CallerEvent::HomeUnreachable(request) => {
                let relayed = self.relayed_callers.get(&id);
                let asked_at = relayed.map_or(now, |relayed| relayed.asked_at);
                if let Some(relayed) = relayed {
                    self.roster.on_unreachable(now, &relayed.home);
                    self.update_hosts();
                }
                self.remove_relayed_caller(id);
                self.start_session(id, request, asked_at);
            }
            CallerEvent::NeedsRoom => self.buffers.ask(now, id),
            CallerEvent::Holds { bytes, is_busy } => self.buffers.on_held(now, id, bytes, is_busy),
            CallerEvent::Query(query) => self.core.submit(now, id, query),
            CallerEvent::Malformed(cause) => {
                let error = Error::new(ErrorKind::BadMessage, cause.to_string());
                self.core.refuse_malformed(id, error);
            }
            CallerEvent::Disconnected => self.core.close_session(now, id),
        }
        self.apply_buffer_decisions(now);
        self.carry_out(cx);
    }

    /// Opens a session on its home, or here if no home has accepted it in time. `asked_at` is when
    /// the caller asked for it.
    fn start_session(&mut self, id: SessionId, request: SessionRequest, asked_at: Timestamp) {
        let may_search = suspend_aware_clock() < asked_at + HOME_SEARCH_LIMIT;
        let home = self.home_of(&request).filter(|_| may_search);
        let Some((home, address)) = home else {
            self.open_session(id, &request);
            return self.update_hosts();
        };
        self.relayed_callers.insert(id, RelayedCaller { home, asked_at });
        self.core.set_relayed_callers(self.relayed_callers.len());
        let admitted = self.core.catalog().map(|catalog| catalog.version);
        if let Some(caller) = self.callers.get(&id) {
            call!([caller], relay(address, SessionRequest { admitted, ..request }));
        }
    }

    /// Opens a session for another host's caller, unless this host's configuration is older than
    /// that host's: it would refuse what the newer one allows, and run what the newer one forbids.
    fn open_remote_session(&mut self, id: SessionId, request: &SessionRequest) {
        let own = self.core.catalog().map(|catalog| catalog.version);
        if request.admitted <= own {
            return self.open_session(id, request);
        }
        tracing::info!(
            session = id.0,
            own = own.map(|version| version.0),
            admitted = request.admitted.map(|version| version.0),
            "relay: declined, the configuration of this host is older"
        );
        if let Some(caller) = self.callers.get(&id) {
            call!([caller], decline());
        }
    }

    fn open_session(&mut self, id: SessionId, request: &SessionRequest) {
        let SessionRequest { database, key, .. } = request;
        let now = suspend_aware_clock();
        let result = self.core.open_session(now, id, database, key);
        let Some(caller) = self.callers.get(&id) else { return };
        match result {
            Ok(()) => call!([caller], started()),
            Err(error) => {
                tracing::info!(session = id.0, database = database.as_str(), kind = ?error.kind,
                    detail = error.detail.as_str(),
                    version = self.core.catalog().map(|catalog| catalog.version.0),
                    configuration_age_ms = self.configuration_age(now).map(|age| age.0),
                    "session: refused");
                call!([caller], refused(error));
            }
        }
    }

    /// The session's home and its address, if that is another host.
    fn home_of(&self, request: &SessionRequest) -> Option<(HostId, SocketAddr)> {
        let home = self.core.remote_home(&request.database, &request.key)?;
        let address = self.hosts.get(&home).map(|(_, row)| row.address)?;
        Some((home, address))
    }

    fn remove_relayed_caller(&mut self, id: SessionId) {
        self.relayed_callers.remove(&id);
        self.core.set_relayed_callers(self.relayed_callers.len());
    }

    fn caller_ended(&mut self, cx: CX![], id: SessionId, _: StopCause) {
        self.callers.remove(&id);
        self.buffers.remove(id);
        self.connections.remove(id);
        self.core.set_open_callers(self.callers.len());
        self.remote_sessions.remove(&id);
        self.remove_relayed_caller(id);
        self.core.close_session(suspend_aware_clock(), id);
        self.carry_out(cx);
    }
}
