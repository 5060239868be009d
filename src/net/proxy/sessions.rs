//! Callers of a host: those connected to it, and those whose sessions other hosts relay to it.

use std::net::SocketAddr;

use stakker::{actor, call, fwd, fwd_to, ret_some_to, StopCause, CX};
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, Ready};

use super::caller::{CallerEvent, LineCaller, Opening};
use super::host::ProxyHost;
use crate::error::{Error, ErrorKind};
use crate::net::host::HostNotice;
use crate::net::reactor::suspend_aware_clock;
use crate::types::SessionId;

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
                self.listen_for_guests(cx);
                fwd!([self.notify], HostNotice::Listening(self.settings.listen));
            }
            Err(error) => {
                let detail = format!("cannot listen at {}: {error}", self.settings.listen);
                fwd!([self.notify], HostNotice::Failed(detail));
            }
        }
    }

    /// Listens for sessions that other hosts relay, over TCP at the same port as the links' UDP.
    fn listen_for_guests(&mut self, cx: CX![]) {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept_guests() as (Ready));
        let listener = TcpListener::bind(self.settings.peers).and_then(|listener| {
            miopoll.add(listener, Interest::READABLE, LISTENER_PRIORITY, ready)
        });
        match listener {
            Ok(listener) => self.guest_listener = Some(listener),
            Err(error) => {
                tracing::warn!(address = %self.settings.peers, %error,
                    "relay: cannot listen for other hosts")
            }
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_callers(cx, false);
    }

    /// Accepts connections on which other hosts relay sessions.
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
                    let caller = actor!(cx, LineCaller::init(socket, guests, hub), ended);
                    self.callers.insert(id, caller);
                    if guests {
                        self.guests.insert(id);
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

    /// Stops accepting relayed sessions; the other hosts then serve their callers themselves.
    pub(super) fn refuse_guests(&mut self) {
        self.guest_listener = None;
        if let Some(peers) = self.peers.as_ref().filter(|_| !self.guests.is_empty()) {
            peers.close();
        }
    }

    fn caller_event(&mut self, cx: CX![], id: SessionId, event: CallerEvent) {
        let now = suspend_aware_clock();
        match event {
            CallerEvent::Startup(opening) if self.guests.contains(&id) => {
                self.open_guest(id, &opening);
            }
            CallerEvent::Startup(opening) => match self.home_address(&opening) {
                Some(address) => {
                    self.relayed.insert(id);
                    self.core.set_relayed_callers(self.relayed.len());
                    let admitted = self.core.catalog().map(|catalog| catalog.version);
                    if let Some(caller) = self.callers.get(&id) {
                        call!([caller], relay(address, Opening { admitted, ..opening }));
                    }
                }
                None => self.open_session(id, &opening),
            },
            CallerEvent::HomeLost(opening) => {
                self.forget_relayed(id);
                self.open_session(id, &opening);
                self.count_hosts();
            }
            CallerEvent::Query(query) => self.core.submit(now, id, query),
            CallerEvent::Malformed(fault) => {
                let error = Error::new(ErrorKind::BadMessage, fault.to_string());
                self.core.refuse_malformed(id, error);
            }
            CallerEvent::Gone => self.core.close_session(now, id),
        }
        self.carry_out(cx);
    }

    /// Opens a session for another host's caller, unless this host's configuration is older than
    /// that host's: it would refuse what the newer one allows, and run what the newer one forbids.
    fn open_guest(&mut self, id: SessionId, opening: &Opening) {
        let own = self.core.catalog().map(|catalog| catalog.version);
        if opening.admitted <= own {
            return self.open_session(id, opening);
        }
        tracing::info!(
            session = id.0,
            own = own.map(|version| version.0),
            admitted = opening.admitted.map(|version| version.0),
            "relay: declined, the configuration of this host is older"
        );
        if let Some(caller) = self.callers.get(&id) {
            call!([caller], decline());
        }
    }

    fn open_session(&mut self, id: SessionId, opening: &Opening) {
        let Opening { database, key, .. } = opening;
        let opened = self.core.open_session(suspend_aware_clock(), id, database, key);
        let Some(caller) = self.callers.get(&id) else { return };
        match opened {
            Ok(()) => call!([caller], started()),
            Err(error) => {
                tracing::info!(session = id.0, database = database.as_str(), kind = ?error.kind,
                    detail = error.detail.as_str(), "session: refused");
                call!([caller], refused(error));
            }
        }
    }

    /// Address of the session's home, if that is another host.
    fn home_address(&self, opening: &Opening) -> Option<SocketAddr> {
        let home = self.core.remote_home(&opening.database, &opening.key)?;
        self.hosts.get(&home).map(|row| row.address)
    }

    fn forget_relayed(&mut self, id: SessionId) {
        self.relayed.remove(&id);
        self.core.set_relayed_callers(self.relayed.len());
    }

    fn caller_ended(&mut self, cx: CX![], id: SessionId, _: StopCause) {
        self.callers.remove(&id);
        self.guests.remove(&id);
        self.forget_relayed(id);
        self.core.close_session(suspend_aware_clock(), id);
        self.carry_out(cx);
    }
}
