//! Messages between hosts: requests, answers and broadcasts.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::time::Duration;

use stakker::{actor, after, call, fwd, fwd_to, ret_some_to, ActorOwn, StopCause, CX};

use super::{Host, HostNotice};
use crate::config::Settings;
use crate::core::host::HostSpec;
use crate::core::limit::{LimitPeer, TokenRequest};
use crate::core::peer::{Envelope, Hello, MessageNumber, PeerMessage, PeerTables};
use crate::core::promotion::GroupRecord;
use crate::core::rows::HostRow;
use crate::core::view::{Member, VIEW_MAX_AGE};
use crate::net::peer::{PeerActor, PeerEvent, PeerSpec, PeerTarget};
use crate::types::{GroupId, HostId, TableVersion, Timestamp};

/// Identity, secret and socket with which the link to other hosts starts.
pub(super) fn peer_spec(spec: &HostSpec, settings: &Settings, socket: UdpSocket) -> PeerSpec {
    let hello = Hello {
        host: spec.host.clone(),
        incarnation: spec.incarnation,
        failure_domain: spec.home.clone(),
    };
    PeerSpec { socket, hello, secret: settings.fleet_secret.clone() }
}

/// A request that has not been answered yet.
#[derive(Debug)]
struct PendingRequest {
    host: HostId,
    asked_at: Timestamp,
}

/// Connections to other hosts and the state shared with them.
pub(super) struct Peers {
    /// Actor that owns the peer socket and its QUIC connections.
    link: ActorOwn<PeerActor>,
    /// Hosts with an open connection.
    connected: BTreeMap<HostId, Hello>,
    /// Hosts that the link connects to.
    targets: Vec<PeerTarget>,
    /// Requests of this host that wait for an answer.
    pending_requests: BTreeMap<MessageNumber, PendingRequest>,
    /// Number of the last message sent.
    last_number: u64,
    /// Text of `config/current` by table version, for peers that request the tables.
    table_texts: BTreeMap<TableVersion, String>,
    /// Newest known record of each group.
    records: BTreeMap<GroupId, GroupRecord>,
}

impl Peers {
    /// Starts the link to other hosts.
    pub fn start(cx: &mut stakker::Cx<'_, Host>, spec: PeerSpec) -> Self {
        let events = fwd_to!([cx], peer_event() as (PeerEvent));
        let on_stop = ret_some_to!([cx], peer_link_stopped() as (StopCause));
        Self {
            link: actor!(cx, PeerActor::init(spec, events), on_stop),
            connected: BTreeMap::new(),
            targets: Vec::new(),
            pending_requests: BTreeMap::new(),
            last_number: 0,
            table_texts: BTreeMap::new(),
            records: BTreeMap::new(),
        }
    }

    /// Stores the text of a table version for peers that request the tables.
    pub fn keep_table_text(&mut self, version: TableVersion, text: String) {
        self.table_texts.entry(version).or_insert(text);
    }

    /// Ends all connections.
    pub fn close(&mut self) {
        call!([self.link], close());
    }

    fn next_number(&mut self) -> MessageNumber {
        self.last_number += 1;
        MessageNumber(self.last_number)
    }

    fn send(&mut self, host: &HostId, answers: Option<MessageNumber>, message: PeerMessage) {
        let number = self.next_number();
        let (host, envelope) = (host.clone(), Envelope { number, answers, message });
        call!([self.link], send(host, envelope));
    }

    /// Sends a request and remembers its send time, which bounds the age of the answer.
    fn send_request(&mut self, host: &HostId, asked_at: Timestamp, message: PeerMessage) {
        let number = self.next_number();
        self.pending_requests.insert(number, PendingRequest { host: host.clone(), asked_at });
        let (host, envelope) = (host.clone(), Envelope { number, answers: None, message });
        call!([self.link], send(host, envelope));
    }

    fn broadcast(&mut self, message: &PeerMessage) {
        let hosts: Vec<HostId> = self.connected.keys().cloned().collect();
        for host in hosts {
            self.send(&host, None, message.clone());
        }
    }

    /// Send time of the request that `host` answers. Only the first answer to a request counts.
    fn asked_at(&mut self, host: &HostId, answers: Option<MessageNumber>) -> Option<Timestamp> {
        let pending = self.pending_requests.remove(&answers?)?;
        (pending.host == *host).then_some(pending.asked_at)
    }

    /// Stores the record if it is newer than the known one, and returns whether it is.
    fn update_record(&mut self, group: &GroupId, record: &GroupRecord) -> bool {
        let known = self.records.get(group);
        let newer =
            known.is_none_or(|known| (known.term, known.phase) < (record.term, record.phase));
        if newer {
            self.records.insert(group.clone(), record.clone());
        }
        newer
    }

    fn limit_peers(&self) -> Vec<LimitPeer> {
        let peer = |hello: &Hello| LimitPeer {
            host: hello.host.clone(),
            failure_domain: hello.failure_domain.clone(),
        };
        self.connected.values().map(peer).collect()
    }
}

impl Host {
    /// Sets the hosts to connect to, from the rows `hosts/*`.
    pub(super) fn set_peer_targets(&mut self, rows: &[HostRow]) {
        let others = rows.iter().filter(|row| row.host != self.settings.host);
        let target = |row: &HostRow| PeerTarget {
            host: row.host.clone(),
            incarnation: row.incarnation,
            address: row.address,
        };
        let targets: Vec<PeerTarget> = others.map(target).collect();
        if targets != self.peers.targets {
            self.peers.targets.clone_from(&targets);
            call!([self.peers.link], set_targets(targets));
        }
    }

    /// Drops the texts of table versions older than the one in force, which no peer gets any more.
    pub(super) fn drop_old_table_texts(&mut self) {
        let version = self.core.view().version();
        self.peers.table_texts.retain(|known, _| Some(*known) >= version);
    }

    pub(super) fn ask_peers(&mut self, cx: CX![]) {
        let now = self.now(cx);
        // An answer extends the right to serve to at most `VIEW_RIGHT` after its request was sent,
        // so answers to older requests are useless.
        self.peers.pending_requests.retain(|_, pending| now < pending.asked_at + VIEW_MAX_AGE);
        let hosts: Vec<HostId> = self.peers.connected.keys().cloned().collect();
        for host in hosts {
            self.peers.send_request(&host, now, PeerMessage::StatementRequest);
        }
    }

    pub(super) fn want_tables(&mut self, cx: CX![], member: &Member) {
        let now = self.now(cx);
        self.peers.send_request(&member.host, now, PeerMessage::TablesRequest);
    }

    pub(super) fn announce(&mut self, version: TableVersion) {
        self.peers.broadcast(&PeerMessage::Announce(version));
    }

    pub(super) fn ask_tokens(&mut self, host: HostId, request: TokenRequest) {
        self.peers.send(&host, None, PeerMessage::TokensRequest(request));
    }

    /// Sends a record to all peers if it is newer than the one this host knew.
    pub(super) fn broadcast_record(&mut self, group: &GroupId, record: &GroupRecord) {
        if self.peers.update_record(group, record) {
            let records = vec![(group.clone(), record.clone())];
            self.peers.broadcast(&PeerMessage::Records(records));
        }
    }

    fn peer_event(&mut self, cx: CX![], event: PeerEvent) {
        match event {
            PeerEvent::Opened(hello) => self.peer_opened(hello),
            PeerEvent::Closed(host, _) => {
                self.peers.connected.remove(&host);
                self.peers.pending_requests.retain(|_, pending| pending.host != host);
                self.core.set_peers(self.peers.limit_peers());
            }
            PeerEvent::Message(host, envelope) => self.peer_message(cx, &host, envelope),
        }
        self.carry_out(cx);
    }

    fn peer_opened(&mut self, hello: Hello) {
        let host = hello.host.clone();
        self.peers.connected.insert(host.clone(), hello);
        self.core.set_peers(self.peers.limit_peers());
        let records: Vec<(GroupId, GroupRecord)> = self
            .peers
            .records
            .iter()
            .map(|(group, record)| (group.clone(), record.clone()))
            .collect();
        if !records.is_empty() {
            self.peers.send(&host, None, PeerMessage::Records(records));
        }
    }

    fn peer_message(&mut self, cx: CX![], host: &HostId, envelope: Envelope) {
        let Envelope { number, answers, message } = envelope;
        let now = self.now(cx);
        match message {
            PeerMessage::StatementRequest
            | PeerMessage::TablesRequest
            | PeerMessage::TokensRequest(_) => {
                // The event loop reads the clock once per iteration, before the datagrams. An answer
                // must not carry a time before its request was sent, however long the process was
                // paused in between, so it is made in the next iteration.
                after!(Duration::ZERO, [cx], answer_peer(host.clone(), number, message));
            }
            PeerMessage::Statement(statement) => {
                let asked_at = self.peers.asked_at(host, answers);
                let Some(asked_at) =
                    asked_at.filter(|_| self.matches_peer(host, &statement.member))
                else {
                    return;
                };
                self.core.on_statement(now, asked_at, statement);
            }
            PeerMessage::Tables(tables) => self.peer_tables(now, host, answers, *tables),
            PeerMessage::Announce(version) => self.core.on_announced(now, version),
            PeerMessage::Demand(..)
            | PeerMessage::ConfigurationRequest
            | PeerMessage::Configuration(_)
            | PeerMessage::Knowledge(_)
            | PeerMessage::ClaimsRequest(_)
            | PeerMessage::Claims(_)
            | PeerMessage::ClaimConfirmed(..)
            | PeerMessage::TablesRead(_)
            | PeerMessage::HostRowsRequest(_)
            | PeerMessage::HostRows(_)
            | PeerMessage::Evacuations(_) => {
                tracing::debug!(
                    "peer: {host} runs with the operator's configuration, its message is ignored"
                );
            }
            PeerMessage::TokensGrant(transfer) => self.core.on_transfer(now, host, &transfer),
            PeerMessage::Records(records) => {
                for (group, record) in records {
                    // Forwarded for peers that have no connection to the sender.
                    self.broadcast_record(&group, &record);
                    self.core.broker_mut().on_peer_record(now, &group, &record);
                }
            }
            // The link handles the first `Hello` and refuses any further one.
            PeerMessage::Hello(..) => {}
        }
    }

    /// Whether `member` is the host and incarnation at the other end of the connection to `host`.
    fn matches_peer(&self, host: &HostId, member: &Member) -> bool {
        let hello = self.peers.connected.get(host);
        hello.is_some_and(|hello| {
            (&hello.host, hello.incarnation) == (&member.host, member.incarnation)
        })
    }

    fn peer_tables(
        &mut self,
        now: Timestamp,
        host: &HostId,
        answers: Option<MessageNumber>,
        tables: PeerTables,
    ) {
        let Some(asked_at) = self.peers.asked_at(host, answers) else { return };
        let PeerTables { snapshot, text, age } = tables;
        self.peers.keep_table_text(snapshot.tables.version(), text);
        self.core.on_peer_snapshot(now, asked_at, age, snapshot);
        self.drop_old_table_texts();
    }

    fn answer_peer(
        &mut self,
        cx: CX![],
        host: HostId,
        number: MessageNumber,
        message: PeerMessage,
    ) {
        let now = self.now(cx);
        let answer = match message {
            PeerMessage::StatementRequest => Some(PeerMessage::Statement(self.core.statement(now))),
            PeerMessage::TablesRequest => self.tables_answer(now),
            PeerMessage::TokensRequest(request) => {
                let transfer = self.core.on_token_request(now, &host, &request);
                transfer.map(PeerMessage::TokensGrant)
            }
            _ => None,
        };
        if let Some(answer) = answer {
            self.peers.send(&host, Some(number), answer);
        }
        self.carry_out(cx);
    }

    /// This host's snapshot of the tables with its age, if it has one and its text.
    fn tables_answer(&self, now: Timestamp) -> Option<PeerMessage> {
        let view = self.core.view();
        let snapshot = view.snapshot()?.clone();
        let text = self.peers.table_texts.get(&snapshot.tables.version())?.clone();
        let age = view.age(now);
        Some(PeerMessage::Tables(Box::new(PeerTables { snapshot, text, age })))
    }

    fn peer_link_stopped(&mut self, _: CX![], cause: StopCause) {
        if cause.has_error() {
            fwd!(
                [self.notify],
                HostNotice::Failed(format!("the link to other hosts failed: {cause}"))
            );
        }
    }
}
