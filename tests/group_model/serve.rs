//! Behaviour of the model's hosts: ticks, callers' requests, replies and effects of promotions.

use medlarstile::core::group::{Durability, Eligible, EndpointStatus, Floor, Freshness, GroupView};
use medlarstile::core::promotion::{Promotion, PromotionEffect};
use medlarstile::types::{DurationMs, Timestamp};
use rand::Rng;

use super::check::SESSIONS;
use super::host::{
    endpoint_id, endpoint_index, Connection, PendingAnswer, PendingRead, RequiredWrites,
};
use super::{Answer, Call, Event, Order, Reply, Simulation, ENDPOINTS, MS};

impl Simulation {
    pub(super) fn on_client_request(&mut self) {
        self.schedule_after(10 * MS, Event::ClientRequest);
        let host = self.rng.random_range(0..self.hosts.len());
        if self.hosts[host].paused_until > self.now {
            return;
        }
        let session = self.rng.random_range(0..SESSIONS);
        let acks = self.checks.acks.len();
        let now = self.hosts[host].clock(self.now);
        let own =
            Some(RequiredWrites::Session(session, self.checks.sessions[session].own_acks.len()));
        let token = Floor::Position(self.checks.sessions[session].token);
        let (floor, freshness, required) = match self.rng.random_range(0..6) {
            0 => (token, Freshness::Session, own),
            1 => (token, Freshness::Primary, own),
            2 => (Floor::Since(now), Freshness::Session, Some(RequiredWrites::Acks(acks))),
            3 => {
                let age = DurationMs(self.rng.random_range(150..1_500));
                (Floor::Position(Default::default()), Freshness::MaxAge(age), None)
            }
            _ => return self.submit_write(host, session),
        };
        let expires = self.now + 1_000 * MS;
        self.hosts[host].reads.push(PendingRead { floor, freshness, required, expires });
        self.try_reads(host);
    }

    fn submit_write(&mut self, host: usize, session: usize) {
        let (id, submitted) = (self.next_id(), self.now);
        if let Some(primary) = self.hosts[host].view.primary().map(endpoint_index) {
            self.send_order(host, primary, Order::Write { id, session, submitted });
        }
    }

    fn try_reads(&mut self, host: usize) {
        let reads = std::mem::take(&mut self.hosts[host].reads);
        let now = self.hosts[host].clock(self.now);
        for read in reads {
            let served = self.hosts[host].view.eligible(now, &read.floor, read.freshness);
            if let Eligible::Serve { replicas, primary } = served {
                let all: Vec<_> = replicas.into_iter().chain(primary).collect();
                let index = endpoint_index(&all[self.rng.random_range(0..all.len())]);
                let required =
                    read.required.unwrap_or_else(|| self.required_by_age(read.freshness));
                self.send_order(host, index, Order::Read { required });
                self.checks.reads_served += 1;
            } else if self.now < read.expires {
                self.hosts[host].view.on_anchor_demand(now);
                self.hosts[host].reads.push(read);
            }
        }
    }

    fn required_by_age(&self, freshness: Freshness) -> RequiredWrites {
        let Freshness::MaxAge(age) = freshness else {
            unreachable!("only reads bounded by age have no `required`")
        };
        RequiredWrites::Acks(self.checks.acks_before(self.now.saturating_sub(age.as_us())))
    }

    pub(super) fn on_host_tick(&mut self, host: usize) {
        let now = self.hosts[host].clock(self.now);
        for endpoint in 0..ENDPOINTS {
            self.maintain_connection(host, endpoint, now);
        }
        for endpoint in self.hosts[host].view.due_probes(now) {
            self.send_order(host, endpoint_index(&endpoint), Order::Probe { sent: now });
        }
        self.drive_promotion(host, |promotion, view| promotion.tick(now, view));
        self.try_reads(host);
    }

    fn maintain_connection(&mut self, host: usize, index: usize, now: Timestamp) {
        let connection = self.hosts[host].connections[index];
        if connection.broken_at.is_some_and(|at| self.now >= at + 200 * MS) {
            self.lose_connection(host, index, now);
        }
        let endpoint = &self.endpoints[index];
        let reachable = endpoint.up && !self.is_cut(index, ENDPOINTS + host);
        if self.hosts[host].connections[index].open.is_none() && reachable {
            let open = (self.last_id + 1, endpoint.epoch);
            self.next_id();
            self.hosts[host].connections[index] = Connection { open: Some(open), broken_at: None };
            self.send_reply(host, index, open.0, Reply::Status(None));
        }
    }

    fn lose_connection(&mut self, host: usize, index: usize, now: Timestamp) {
        self.hosts[host].connections[index] = Connection::default();
        self.hosts[host].view.on_lost(now, &endpoint_id(index));
    }

    pub(super) fn on_reply(
        &mut self,
        host: usize,
        index: usize,
        connection: u64,
        reply: Reply,
        status: EndpointStatus,
    ) {
        let open = &mut self.hosts[host].connections[index];
        if open.open.is_none_or(|(number, _)| number != connection) {
            return;
        }
        if self.cut_links.contains(&(index, ENDPOINTS + host)) {
            open.broken_at.get_or_insert(self.now);
            return;
        }
        let now = self.hosts[host].clock(self.now);
        if matches!(reply, Reply::Lost) {
            return self.lose_connection(host, index, now);
        }
        let id = endpoint_id(index);
        let sent = if let Reply::Status(sent) = reply { sent } else { None };
        self.hosts[host].view.on_status(now, &id, status, sent);
        match reply {
            Reply::Written { id, session, submitted, position } => {
                let pending = PendingAnswer { position, id, submitted, session: Some(session) };
                self.hosts[host].pending_answers.push(pending);
            }
            Reply::Shown { position, id }
                if self.hosts[host].view.primary() == Some(&endpoint_id(index)) =>
            {
                let pending = PendingAnswer { position, id, submitted: self.now, session: None };
                self.hosts[host].pending_answers.push(pending);
            }
            Reply::Fenced(_) => self.drive_promotion(host, |promotion, view| {
                promotion.on_fenced(now, view, &id, status)
            }),
            Reply::Ordered => {
                self.drive_promotion(host, |promotion, view| promotion.on_order_done(now, view));
            }
            Reply::Refused => self.hosts[host].promotion.on_order_failed(now),
            Reply::Status(_) | Reply::Shown { .. } | Reply::Lost => {}
        }
        self.release_durable(host);
    }

    /// Acknowledges the writes, and releases the answers of reads, whose position has become
    /// durable.
    fn release_durable(&mut self, host: usize) {
        let view = &self.hosts[host].view;
        let mut durable = Vec::new();
        let mut pending = self.hosts[host].pending_answers.clone();
        pending.retain(|pending| match view.durability(pending.position) {
            Durability::Pending => true,
            Durability::Lost => false,
            Durability::Durable => {
                durable.push(*pending);
                false
            }
        });
        self.hosts[host].pending_answers = pending;
        for pending in durable {
            self.checks.on_durable(&self.endpoints, pending, self.now);
        }
    }

    pub(super) fn on_store_answer(&mut self, host: usize, incarnation: u64, answer: Answer) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let now = self.hosts[host].clock(self.now);
        match answer {
            Answer::Read(result) => {
                self.drive_promotion(host, |promotion, view| {
                    promotion.on_record_read(now, view, result)
                });
            }
            Answer::Swapped(record, result) => self.drive_promotion(host, |promotion, view| {
                promotion.on_record_swapped(now, view, &record, result)
            }),
        }
        self.release_durable(host);
    }

    fn drive_promotion(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Promotion, &GroupView) -> Vec<PromotionEffect>,
    ) {
        let now = self.hosts[index].clock(self.now);
        let host = &mut self.hosts[index];
        let effects = act(&mut host.promotion, &host.view);
        if let Some(record) = host.promotion.record() {
            host.view.on_record(now, record);
        }
        let incarnation = host.incarnation;
        for effect in effects {
            match effect {
                PromotionEffect::ReadRecord => self.call_store(index, incarnation, Call::Read),
                PromotionEffect::SwapRecord { expected_version, record } => {
                    self.call_store(index, incarnation, Call::Swap(expected_version, record));
                }
                PromotionEffect::Fence { endpoint, term } => {
                    self.send_order(index, endpoint_index(&endpoint), Order::Fence(term.0));
                }
                PromotionEffect::Promote { endpoint, term } => {
                    self.send_order(index, endpoint_index(&endpoint), Order::Promote(term.0));
                }
                PromotionEffect::Follow { endpoint, term, primary } => {
                    let order = Order::Follow(term.0, endpoint_index(&primary));
                    self.send_order(index, endpoint_index(&endpoint), order);
                }
            }
        }
    }

    fn call_store(&mut self, host: usize, incarnation: u64, call: Call) {
        let delay = self.rng.random_range(1..if self.store.slow { 1_200 } else { 15 }) * MS;
        self.schedule_after(delay, Event::StoreCall { host, incarnation, call });
    }
}
