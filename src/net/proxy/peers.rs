//! The link to the other hosts.

use std::collections::BTreeSet;
use std::net::UdpSocket;

use stakker::{actor, call, fwd_to, ret_nop, ActorOwn, CX};

use super::host::{ProxyHost, OWN_TABLE, SECRET_KEY};
use super::store::CallPurpose;
use crate::auth::Secret;
use crate::core::peer::{Envelope, Hello, MessageNumber, PeerMessage};
use crate::core::proxy::quota::Demand;
use crate::net::peer::{PeerActor, PeerEvent, PeerSpec, PeerTarget};
use crate::net::reactor::suspend_aware_clock;
use crate::platform::store::{self, StoreRow};
use crate::types::{HostId, RowVersion};
use crate::wire::fleet_rows::HostRow;

/// Random bytes of the secret that all hosts share.
const SECRET_BYTES: usize = 32;

/// The other hosts as this host knows them.
pub struct Peers {
    link: ActorOwn<PeerActor>,
    open: BTreeSet<HostId>,
    last_number: u64,
}

impl Peers {
    fn broadcast(&mut self, message: &PeerMessage) {
        for host in &self.open {
            self.last_number += 1;
            let number = MessageNumber(self.last_number);
            let envelope = Envelope { number, answers: None, message: message.clone() };
            let host = host.clone();
            call!([self.link], send(host, envelope));
        }
    }
}

impl ProxyHost {
    /// Proposes a secret; the first proposal that the store takes is everyone's.
    pub(super) fn propose_secret(&mut self) {
        let secret: [u8; SECRET_BYTES] = rand::random();
        let text: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
        let absent = Some(RowVersion(0));
        let request = store::put_row(OWN_TABLE, SECRET_KEY, absent, Some(text.as_bytes()));
        call!([self.calls], call(CallPurpose::Agree, request));
    }

    /// Starts the link once the secret is known.
    pub(super) fn take_secret(&mut self, cx: CX![], row: &StoreRow) {
        let secret = row.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
        let Some(secret) = secret.filter(|_| self.peers.is_none()) else { return };
        let socket = UdpSocket::bind(self.settings.peers)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket));
        let socket = match socket {
            Ok(socket) => socket,
            Err(error) => {
                tracing::warn!(address = %self.settings.peers, %error, "peer: no socket");
                return;
            }
        };
        let hello = Hello {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            failure_domain: self.settings.failure_domain.clone(),
        };
        let spec = PeerSpec { socket, hello, secret: Secret::new(secret) };
        let events = fwd_to!([cx], peer_event() as (PeerEvent));
        let link = actor!(cx, PeerActor::init(spec, events), ret_nop!());
        self.peers = Some(Peers { link, open: BTreeSet::new(), last_number: 0 });
    }

    /// Dials the hosts whose rows are known.
    pub(super) fn set_peer_targets(&mut self) {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.settings.host);
        let target = |(host, row): (&HostId, &HostRow)| PeerTarget {
            host: host.clone(),
            incarnation: row.incarnation,
            address: row.address,
        };
        let targets: Vec<PeerTarget> = others.map(target).collect();
        if let Some(peers) = &self.peers {
            call!([peers.link], set_targets(targets));
        }
        self.count_hosts();
    }

    /// Tells the core who is listed, and how many of them share the endpoints.
    fn count_hosts(&mut self) {
        let others = self.hosts.keys().filter(|host| **host != self.settings.host);
        let others: Vec<HostId> = others.cloned().collect();
        let reachable = self.peers.as_ref().map_or(others.len(), |peers| peers.open.len());
        self.core.set_hosts(suspend_aware_clock(), others, reachable);
    }

    fn peer_event(&mut self, cx: CX![], event: PeerEvent) {
        let Some(peers) = &mut self.peers else { return };
        match event {
            PeerEvent::Opened(hello) => {
                tracing::info!(peer = hello.host.as_str(), "peer: link is open");
                peers.open.insert(hello.host);
                self.count_hosts();
            }
            PeerEvent::Closed(host, _) => {
                tracing::info!(peer = host.as_str(), "peer: link is closed");
                peers.open.remove(&host);
                self.count_hosts();
            }
            PeerEvent::Message(host, envelope) => match envelope.message {
                PeerMessage::Demand(demand) => {
                    self.core.on_demand(suspend_aware_clock(), host, demand);
                }
                other => tracing::debug!(peer = host.as_str(), ?other, "peer: message is not used"),
            },
        }
        self.carry_out(cx);
    }

    /// Tells the other hosts this host's demand.
    pub(super) fn report_demand(&mut self, demand: &Demand) {
        if let Some(peers) = &mut self.peers {
            peers.broadcast(&PeerMessage::Demand(demand.clone()));
        }
    }
}
