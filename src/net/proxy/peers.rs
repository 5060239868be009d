//! Messages to and from the other hosts, and the agreement on the secret of their links.

use std::net::UdpSocket;

use stakker::{actor, call, fwd_to, ret_nop, ActorOwn, CX};

use super::feed::Pace;
use super::host::{ProxyHost, OWN_TABLE, OWN_WAIT, SECRET_KEY};
use super::store::CallPurpose;
use crate::auth::Secret;
use crate::core::peer::{Envelope, Hello, MessageNumber, PeerMessage};
use crate::core::proxy::follow::TablesRead;
use crate::core::proxy::roster::Roster;
use crate::net::peer::{PeerActor, PeerEvent, PeerSpec, PeerTarget};
use crate::net::reactor::suspend_aware_clock;
use crate::platform::store::{self, StoreRow};
use crate::types::{DurationMs, HostId, RowVersion, TableVersion, Timestamp};

/// Length in bytes of the random secret that all hosts share.
const SECRET_BYTES: usize = 32;

/// Time for which this host waits for the store's feed before it requests a newer configuration
/// from another host; well below the time in which a version has to be in force.
const OUTDATED_LIMIT: DurationMs = DurationMs(800);

/// Age of this host's last read of the hosts' rows above which no host follows it.
const OWN_ROWS_AGE_LIMIT: DurationMs = DurationMs(OWN_WAIT.0 + 600);

/// Links to the other hosts.
pub struct Peers {
    link: ActorOwn<PeerActor>,
    /// Secret of the links that open from now on.
    secret: Secret,
    last_number: u64,
    /// Hosts to which links are kept open.
    targets: Vec<PeerTarget>,
    /// Since when another host is known to have a newer configuration, or when it was last
    /// requested.
    outdated_since: Option<Timestamp>,
    /// Whether it was requested since then.
    has_asked: bool,
}

impl Peers {
    /// Closes all links, from which the other hosts learn that this one leaves.
    pub(super) fn close(&self) {
        call!([self.link], close());
    }

    fn broadcast(&mut self, roster: &Roster, message: &PeerMessage) {
        for host in roster.linked_hosts() {
            self.send(host.clone(), message.clone());
        }
    }

    fn send(&mut self, host: HostId, message: PeerMessage) {
        self.last_number += 1;
        let number = MessageNumber(self.last_number);
        let envelope = Envelope { number, answers: None, message };
        call!([self.link], send(host, envelope));
    }
}

impl ProxyHost {
    pub(super) fn send_to_peer(&mut self, host: HostId, message: PeerMessage) {
        if let Some(peers) = &mut self.peers {
            peers.send(host, message);
        }
    }

    pub(super) fn broadcast(&mut self, message: &PeerMessage) {
        if let Some(peers) = &mut self.peers {
            peers.broadcast(&self.roster, message);
        }
    }

    /// Proposes a random secret; all hosts use the first proposal that the store accepts. A host that
    /// has links proposes their secret, which a restore of the store has lost.
    pub(super) fn propose_secret(&mut self, _: CX![]) {
        let text = match &self.peers {
            Some(peers) => peers.secret.expose().to_owned(),
            None => {
                let secret: [u8; SECRET_BYTES] = rand::random();
                secret.iter().map(|byte| format!("{byte:02x}")).collect()
            }
        };
        let absent = Some(RowVersion(0));
        let request = store::put_row(OWN_TABLE, SECRET_KEY, absent, Some(text.as_bytes()));
        call!([self.store_calls], call(CallPurpose::Agree, request));
    }

    /// Opens the socket of the links once the row with the secret is read. After a restore of the
    /// store the row may have another secret, which hosts that start from then on use.
    pub(super) fn on_secret_row(&mut self, cx: CX![], row: &StoreRow) {
        let secret = row.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
        let Some(secret) = secret else { return };
        if let Some(peers) = &mut self.peers {
            if peers.secret.expose() != secret {
                tracing::warn!("peer: the fleet has another secret");
                peers.secret = Secret::new(secret);
                call!([peers.link], set_secret(Secret::new(secret)));
            }
            return;
        }
        let socket = UdpSocket::bind(self.settings.peers)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket));
        let socket = match socket {
            Ok(socket) => socket,
            Err(error) => {
                tracing::warn!(address = %self.settings.peers, %error,
                    "peer: socket cannot be opened");
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
        self.peers = Some(Peers {
            link,
            secret: Secret::new(secret),
            last_number: 0,
            targets: Vec::new(),
            outdated_since: None,
            has_asked: false,
        });
    }

    /// Passes the listed hosts to the core, and keeps links to the hosts that the core selects.
    pub(super) fn update_hosts(&mut self) {
        if !self.hosts_read {
            return;
        }
        // A host counts as soon as it has a row, not only once its link is open: otherwise each
        // host would claim all connections of the endpoints when all hosts start at once.
        let now = suspend_aware_clock();
        let (listed, linked) = (self.roster.candidates(), self.peers.is_some());
        let roster = &mut self.roster;
        let wanted =
            self.core.set_hosts(now, listed, |host| roster.is_present(now, host) || !linked);
        let target = |host: HostId| {
            let (_, row) = self.hosts.get(&host)?;
            Some(PeerTarget { host, incarnation: row.incarnation, address: row.address })
        };
        let targets: Vec<PeerTarget> = wanted.into_iter().filter_map(target).collect();
        if let Some(peers) = &mut self.peers {
            if peers.targets != targets {
                peers.targets.clone_from(&targets);
                call!([peers.link], set_targets(targets));
            }
        }
        if self.core.keeps_all_links() {
            self.remove_absent(now);
        }
        let pace = if self.core.runs_sessions() {
            Pace::Active
        } else if self.readers.is_any_reading(now) {
            Pace::Suspended
        } else {
            Pace::Passive
        };
        for (config, feed) in &self.feeds {
            // Only a host that runs sessions uses the endpoints.
            let is_unused = config.table == store::ENDPOINT_TABLE && pace != Pace::Active;
            let pace = if is_unused { Pace::Suspended } else { pace };
            call!([feed], set_pace(pace));
        }
    }

    fn peer_event(&mut self, cx: CX![], event: PeerEvent) {
        match event {
            PeerEvent::Opened(hello) => {
                self.roster.on_opened(hello.host.clone());
                self.update_hosts();
                // The other host reserves a share of each rate for this one until it has a report.
                let message = PeerMessage::Demand(self.core.demand(), self.configuration_version());
                self.send_to_peer(hello.host.clone(), message);
                let is_near = hello.failure_domain == self.settings.failure_domain;
                self.readers.on_opened(&hello.host, is_near);
                self.core.on_link_opened(suspend_aware_clock(), &hello.host);
                let orders = self.core.evacuations().orders();
                if !orders.is_empty() {
                    self.send_to_peer(hello.host, PeerMessage::Evacuations(orders));
                }
            }
            PeerEvent::Closed(host, _) => {
                self.roster.on_closed(suspend_aware_clock(), &host);
                self.readers.on_closed(&host);
                self.update_hosts();
            }
            PeerEvent::Message(host, envelope) => match envelope.message {
                PeerMessage::Demand(demand, version) => {
                    self.core.on_demand_report(suspend_aware_clock(), host.clone(), demand);
                    self.compare_configuration(host, version);
                }
                PeerMessage::ConfigurationRequest => self.send_configuration(host),
                PeerMessage::Configuration(text) => {
                    tracing::info!(
                        peer = host.as_str(),
                        "configuration: received from another host"
                    );
                    self.adopt_configuration(&text);
                }
                PeerMessage::Knowledge(knowledge) => {
                    self.core.on_knowledge(suspend_aware_clock(), &host, knowledge);
                }
                PeerMessage::ClaimsRequest(after) => self.core.on_claims_requested(host, after),
                PeerMessage::Claims(rows) => self.core.on_claims(suspend_aware_clock(), rows),
                PeerMessage::ClaimConfirmed(group, version) => {
                    let now = suspend_aware_clock();
                    self.core.on_claim_confirmed(now, host, &group, version);
                }
                PeerMessage::TablesRead(read) => {
                    let known = self.newest_host_row();
                    let now = suspend_aware_clock();
                    if let Some(after) = self.readers.on_report(now, host.clone(), read, known) {
                        self.send_to_peer(host, PeerMessage::HostRowsRequest(after));
                    }
                }
                PeerMessage::HostRowsRequest(after) => {
                    let newer = self.hosts.iter().filter(|(_, (version, _))| *version > after);
                    let rows =
                        newer.map(|(id, (version, row))| (id.clone(), *version, row.clone()));
                    let rows = rows.collect();
                    self.send_to_peer(host, PeerMessage::HostRows(rows));
                }
                PeerMessage::Evacuations(orders) => {
                    self.core.on_evacuation_orders(suspend_aware_clock(), orders);
                }
                PeerMessage::HostRows(rows) => {
                    for (host, version, row) in rows {
                        self.adopt_host_row(cx, host, version, row);
                    }
                    self.register_again(cx);
                    self.update_hosts();
                }
                other => tracing::debug!(peer = host.as_str(), ?other, "peer: message is not used"),
            },
        }
        self.carry_out(cx);
    }

    /// Version up to which all hosts' rows are known.
    pub(super) fn newest_host_row(&self) -> RowVersion {
        self.hosts.values().map(|(version, _)| *version).max().unwrap_or_default()
    }

    /// What this host tells the hosts that follow it, if it reads the tables.
    fn tables_read(&self, now: Timestamp) -> Option<TablesRead> {
        let age = |table| self.read_at.get(table).map(|at| now.ms_since(*at));
        let rows_are_recent = age(OWN_TABLE)? <= OWN_ROWS_AGE_LIMIT && self.core.runs_sessions();
        let age_ms = age(store::CONFIGURATION_TABLE).filter(|_| rows_are_recent)?;
        Some(TablesRead { rows: self.newest_host_row(), age_ms })
    }

    /// Time since the configuration in use was last known to be the latest, from this host's own
    /// reads and from those of the hosts that it follows; `None` before the first read.
    pub(super) fn configuration_age(&self, now: Timestamp) -> Option<DurationMs> {
        let own = self.read_at.get(store::CONFIGURATION_TABLE).copied();
        own.max(self.readers.read_at()).map(|at| now.ms_since(at))
    }

    /// Version of the configuration in use, if there is one.
    pub(super) fn configuration_version(&self) -> Option<TableVersion> {
        self.core.catalog().map(|catalog| catalog.version)
    }

    /// Tells the other hosts what this one has read from the store and knows about claims.
    pub(super) fn report_reads(&mut self) {
        self.update_hosts();
        let now = suspend_aware_clock();
        if let Some(read) = self.tables_read(now) {
            self.broadcast(&PeerMessage::TablesRead(read));
        }
        for host in self.roster.linked_hosts() {
            self.core.share_knowledge(now, host);
        }
    }

    /// Requests the configuration of another host if this host's has been older for
    /// [`OUTDATED_LIMIT`], because the store refuses this host or cannot be reached.
    fn compare_configuration(&mut self, host: HostId, version: Option<TableVersion>) {
        let own = self.configuration_version();
        let Some(peers) = self.peers.as_mut().filter(|_| version > own) else { return };
        let now = suspend_aware_clock();
        // A host that follows others does not read the configuration itself.
        let follows = self.readers.is_any_reading(now) && !self.core.runs_sessions();
        let asks_at_once = follows && self.readers.is_preferred(now, &host) && !peers.has_asked;
        let since = *peers.outdated_since.get_or_insert(now);
        if now >= since + OUTDATED_LIMIT || asks_at_once {
            peers.has_asked = true;
            tracing::info!(
                peer = host.as_str(),
                own = own.map(|own| own.0),
                newer = version.map(|version| version.0),
                "configuration: requesting it from another host"
            );
            peers.outdated_since = Some(now);
            peers.send(host, PeerMessage::ConfigurationRequest);
        }
    }

    fn send_configuration(&mut self, host: HostId) {
        if let Some(text) = self.configuration.clone() {
            self.send_to_peer(host, PeerMessage::Configuration(text));
        }
    }

    /// Called when a newer configuration has been adopted.
    pub(super) fn clear_outdated(&mut self) {
        if let Some(peers) = &mut self.peers {
            (peers.outdated_since, peers.has_asked) = (None, false);
        }
    }
}
