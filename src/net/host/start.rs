//! Start of a host: registers the process at the platform and gets its incarnation.
//!
//! The incarnation is the commit sequence of a row that the process writes after it has bound its
//! peer address. A later incarnation at the same address therefore proves that the earlier process
//! has ended, without comparing clocks.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use stakker::{
    actor, after, call, fwd, ret_nop, ret_panic, ret_some_to, ActorOwn, Fwd, Stakker, CX,
};

use super::{Host, HostNotice, StartOptions};
use crate::config::Settings;
use crate::core::store::{Answer, Call, Commit, Transaction, Write};
use crate::net::platform::{CallResult, PlatformActor, PlatformSettings};
use crate::types::Incarnation;

/// Table of the rows `starts/<host>`.
const STARTS: &str = "starts";
/// Delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Registers the host at the platform, with retries, and then starts it.
pub struct Starter {
    options: Option<StartOptions>,
    platform: Option<ActorOwn<PlatformActor>>,
    host: Option<ActorOwn<Host>>,
    notify: Fwd<HostNotice>,
    stopped: bool,
}

impl Starter {
    /// Starts a host. Notifications go to `notify`.
    pub fn start(
        stakker: &mut Stakker,
        settings: Settings,
        tls: Option<Arc<rustls::ServerConfig>>,
        notify: Fwd<HostNotice>,
    ) -> ActorOwn<Starter> {
        actor!(
            stakker,
            Starter::init(settings, tls, notify),
            ret_panic!("the actor that starts the host failed")
        )
    }

    fn init(
        cx: CX![],
        settings: Settings,
        tls: Option<Arc<rustls::ServerConfig>>,
        notify: Fwd<HostNotice>,
    ) -> Option<Self> {
        let platform = PlatformSettings::new(settings.platform, settings.host.clone());
        let platform = actor!(cx, PlatformActor::init(platform), ret_nop!());
        let mut starter =
            Self { options: None, platform: None, host: None, notify, stopped: false };
        match bind_peer_socket(settings.peer_listen) {
            Ok((peer_socket, peer_address)) => {
                starter.options = Some(StartOptions { settings, tls, peer_socket, peer_address });
                starter.platform = Some(platform);
                after!(Duration::ZERO, [cx], register());
            }
            Err(error) => {
                let detail = format!("cannot bind {}: {error}", settings.peer_listen);
                fwd!([starter.notify], HostNotice::Failed(detail));
            }
        }
        Some(starter)
    }

    /// Starts a graceful stop; before the host runs, it is complete at once.
    pub fn stop(&mut self, _: CX![]) {
        self.stopped = true;
        match &self.host {
            Some(host) => call!([host], stop()),
            None => fwd!([self.notify], HostNotice::Stopped),
        }
    }

    fn register(&mut self, cx: CX![]) {
        let (Some(options), Some(platform)) = (&self.options, &self.platform) else { return };
        let host = &options.settings.host;
        let write = Write {
            table: STARTS.parse().expect("table names are valid"),
            key: host.as_str().parse().expect("host ids are valid row keys"),
            value: Some(json!({ "address": options.peer_address.to_string() })),
        };
        let call = Call::Transact(Transaction { checks: Vec::new(), writes: vec![write] });
        let ret = ret_some_to!([cx], registered() as (CallResult));
        call!([platform], call(call, ret));
    }

    fn registered(&mut self, cx: CX![], result: CallResult) {
        if self.stopped {
            return;
        }
        match result {
            Ok(Answer::Commit(Commit::Committed(seq))) => self.start_host(cx, Incarnation(seq.0)),
            other => {
                tracing::warn!("host: registration at the platform failed, retrying: {other:?}");
                after!(RETRY_DELAY, [cx], register());
            }
        }
    }

    fn start_host(&mut self, cx: CX![], incarnation: Incarnation) {
        let (Some(options), Some(platform)) = (self.options.take(), self.platform.take()) else {
            return;
        };
        let notify = self.notify.clone();
        let on_failure = ret_panic!("the host actor failed");
        self.host =
            Some(actor!(cx, Host::init(options, incarnation, platform, notify), on_failure));
    }
}

fn bind_peer_socket(address: SocketAddr) -> std::io::Result<(UdpSocket, SocketAddr)> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}
