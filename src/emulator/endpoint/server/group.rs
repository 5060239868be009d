//! Replication connections and the actions of the role chart.

use std::net::SocketAddr;
use std::time::Duration;

use medlarstile::types::{EndpointId, Position, Term};
use stakker::{actor, after, call, ret_some_to, StopCause, CX};
use stakker_mio::mio::net::TcpStream;

use super::{EndpointServer, Link};
use crate::emulator::endpoint::peer::{Frame, Origin, Peer, PeerId};
use crate::emulator::endpoint::role::{Role, RoleAction};

/// Time between two attempts of a replica to reach its primary.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);

impl EndpointServer {
    pub(super) fn carry_out(&mut self, cx: CX![], actions: &[RoleAction]) {
        for action in actions {
            match action {
                RoleAction::CloseConnections => self.close_clients(),
                RoleAction::StopReplication => self.links.clear(),
                RoleAction::StartReplication => self.connect_leader(cx),
                // The member has appended the first entry of the term; replicas ask for it.
                RoleAction::StartTerm => (),
            }
        }
    }

    pub(super) fn accept_peer(&mut self, cx: CX![], stream: TcpStream, _peer: SocketAddr) {
        if self.database.member.role() != Role::Crashed {
            self.add_link(cx, Origin::Accepted(stream));
        }
    }

    /// A frame from another endpoint.
    pub fn frame(&mut self, cx: CX![], id: PeerId, frame: Frame) {
        if !self.links.contains_key(&id) {
            return;
        }
        match frame {
            Frame::Hello { from, term, ends } => self.hello(cx, id, from, term, &ends),
            Frame::Acknowledge { position } => self.acknowledged(cx, id, position),
            Frame::Accept { term, common } => self.accepted(cx, id, term, common),
            Frame::Entries { term, entries, confirmed } => {
                if self.database.on_entries(term, entries, confirmed) {
                    self.acknowledge(id);
                }
            }
        }
        self.refresh(cx);
    }

    /// Sends new entries to the replicas; `always` also tells them the confirmed position.
    pub(super) fn send_entries(&mut self, _cx: CX![], always: bool) {
        let member = &self.database.member;
        let (term, confirmed, last) = (member.term(), member.confirmed(), member.log().last());
        for link in self.links.values_mut() {
            let Some((_, sent)) = &mut link.follower else { continue };
            if *sent < last || always {
                let entries = member.log().after(*sent).to_vec();
                *sent = last;
                call!([link.actor], send(Frame::Entries { term, entries, confirmed }));
            }
        }
    }

    /// Closes the replication connections that the faults cut.
    pub(super) fn apply_cuts(&mut self) {
        let faults = &self.faults;
        let leader = self.database.member.leader().map(|(_, spec)| spec.id.clone());
        self.links.retain(|_, link| match &link.follower {
            Some((member, _)) => !faults.cuts_member(member),
            None if link.outbound => !leader.as_ref().is_some_and(|id| faults.cuts_member(id)),
            None => true,
        });
    }

    /// Connects to the primary that this replica follows, and tries again until it succeeds.
    fn connect_leader(&mut self, cx: CX![]) {
        let Some((term, leader)) = self.database.member.leader() else { return };
        if self.links.values().any(|link| link.outbound) {
            return;
        }
        let reachable = !self.faults.cuts_member(&leader.id) && !self.faults.frozen;
        let address = leader.replication.parse::<SocketAddr>().ok().filter(|_| reachable);
        let Some(address) = address else { return self.retry_leader(cx) };
        let ends = self.database.member.log().ends();
        let id = self.add_link(cx, Origin::Connect(address));
        if let Some(link) = self.links.get(&id) {
            call!([link.actor], send(Frame::Hello { from: self.id.clone(), term, ends }));
        }
    }

    fn add_link(&mut self, cx: CX![], origin: Origin) -> PeerId {
        let id = PeerId(self.take_id());
        let outbound = matches!(origin, Origin::Connect(_));
        let ended = ret_some_to!([cx], |this, cx, _cause: StopCause| {
            this.link_ended(cx, id, outbound);
        });
        let server = Self::this(cx);
        let actor = actor!(cx, Peer::init(server, id, origin, self.lag.to_std()), ended);
        if self.faults.frozen {
            call!([actor], set_frozen(true));
        }
        self.links.insert(id, Link { actor, follower: None, outbound });
        id
    }

    fn link_ended(&mut self, cx: CX![], id: PeerId, outbound: bool) {
        self.links.remove(&id);
        if outbound {
            self.retry_leader(cx);
        }
    }

    fn retry_leader(&mut self, cx: CX![]) {
        if !self.retry_due {
            self.retry_due = true;
            after!(RECONNECT_INTERVAL, [cx], leader_due());
        }
    }

    fn leader_due(&mut self, cx: CX![]) {
        self.retry_due = false;
        self.connect_leader(cx);
    }

    fn hello(&mut self, _cx: CX![], id: PeerId, from: EndpointId, term: Term, ends: &[Position]) {
        let common = self.database.member.on_hello(term, ends);
        let common = common.filter(|_| !self.faults.cuts_member(&from));
        let Some(common) = common else {
            self.links.remove(&id);
            return;
        };
        self.links.retain(|other, link| {
            *other == id || link.follower.as_ref().is_none_or(|(member, _)| *member != from)
        });
        let member = &self.database.member;
        let (confirmed, last) = (member.confirmed(), member.log().last());
        let entries = member.log().after(common).to_vec();
        if let Some(link) = self.links.get_mut(&id) {
            link.follower = Some((from, last));
            call!([link.actor], send(Frame::Accept { term, common }));
            call!([link.actor], send(Frame::Entries { term, entries, confirmed }));
        }
    }

    fn acknowledged(&mut self, _cx: CX![], id: PeerId, position: Position) {
        let follower = self.links.get(&id).and_then(|link| link.follower.clone());
        if let Some((member, _)) = follower {
            self.database.member.on_acknowledge(member, position);
        }
    }

    fn accepted(&mut self, cx: CX![], id: PeerId, term: Term, common: Position) {
        if self.database.member.log().last() > common {
            self.close_clients();
        }
        if self.database.on_accept(term, common).is_some() {
            self.acknowledge(id);
        }
        self.refresh(cx);
    }

    fn acknowledge(&self, id: PeerId) {
        let position = self.database.member.log().last();
        if let Some(link) = self.links.get(&id) {
            call!([link.actor], send(Frame::Acknowledge { position }));
        }
    }
}
