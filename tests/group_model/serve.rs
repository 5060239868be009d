//! Behaviour of the model's hosts: ticks, callers' requests, replies and effects of promotions.

use medlarstile::core::group::{Durability, Eligible, EndpointStatus, Floor, Freshness, GroupView};
use medlarstile::core::promotion::{Promotion, PromotionEffect};
use medlarstile::types::{DurationMs, Timestamp};
use rand::Rng;

use super::check::SESSIONS;
use super::host::{endpoint_id, endpoint_place, Connection, Held, Must, PendingRead};
use super::{Answer, Call, Event, Order, Reply, World, ENDPOINTS, MS};

impl World {
    pub(super) fn on_client(&mut self) {
        self.later(10 * MS, Event::Client);
        let host = self.rng.random_range(0..self.hosts.len());
        if self.hosts[host].paused_until > self.now {
            return;
        }
        let session = self.rng.random_range(0..SESSIONS);
        let acks = self.checks.acks.len();
        let now = self.hosts[host].clock(self.now);
        let own = Some(Must::Session(session, self.checks.sessions[session].own.len()));
        let token = Floor::Position(self.checks.sessions[session].token);
        let (floor, freshness, must) = match self.rng.random_range(0..6) {
            0 => (token, Freshness::Session, own),
            1 => (token, Freshness::Primary, own),
            2 => (Floor::Since(now), Freshness::Session, Some(Must::Acks(acks))),
            3 => {
                let age = DurationMs(self.rng.random_range(150..1_500));
                (Floor::Position(Default::default()), Freshness::MaxAge(age), None)
            }
            _ => return self.submit_write(host, session),
        };
        let expires = self.now + 1_000 * MS;
        self.hosts[host].reads.push(PendingRead { floor, freshness, must, expires });
        self.try_reads(host);
    }

    fn submit_write(&mut self, host: usize, session: usize) {
        let (id, submitted) = (self.number(), self.now);
        if let Some(primary) = self.hosts[host].view.primary().map(endpoint_place) {
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
                let place = endpoint_place(&all[self.rng.random_range(0..all.len())]);
                let must = read.must.unwrap_or_else(|| self.must_of_age(read.freshness));
                self.send_order(host, place, Order::Read { must });
                self.checks.served += 1;
            } else if self.now < read.expires {
                self.hosts[host].view.on_anchor_demand(now);
                self.hosts[host].reads.push(read);
            }
        }
    }

    fn must_of_age(&self, freshness: Freshness) -> Must {
        let Freshness::MaxAge(age) = freshness else {
            unreachable!("only reads bounded by age have no `must`")
        };
        Must::Acks(self.checks.acks_before(self.now.saturating_sub(age.as_us())))
    }

    pub(super) fn on_tick(&mut self, host: usize) {
        let now = self.hosts[host].clock(self.now);
        for endpoint in 0..ENDPOINTS {
            self.tend_connection(host, endpoint, now);
        }
        for endpoint in self.hosts[host].view.due_probes(now) {
            self.send_order(host, endpoint_place(&endpoint), Order::Probe { sent: now });
        }
        self.promote(host, |promotion, view| promotion.tick(now, view));
        self.try_reads(host);
    }

    fn tend_connection(&mut self, host: usize, place: usize, now: Timestamp) {
        let connection = self.hosts[host].connections[place];
        if connection.broken_at.is_some_and(|at| self.now >= at + 200 * MS) {
            self.lose_connection(host, place, now);
        }
        let endpoint = &self.endpoints[place];
        let reachable = endpoint.up && !self.is_cut(place, ENDPOINTS + host);
        if self.hosts[host].connections[place].open.is_none() && reachable {
            let open = (self.numbers + 1, endpoint.epoch);
            self.number();
            self.hosts[host].connections[place] = Connection { open: Some(open), broken_at: None };
            self.send_reply(host, place, open.0, Reply::Status(None));
        }
    }

    fn lose_connection(&mut self, host: usize, place: usize, now: Timestamp) {
        self.hosts[host].connections[place] = Connection::default();
        self.hosts[host].view.on_lost(now, &endpoint_id(place));
    }

    pub(super) fn on_reply(
        &mut self,
        host: usize,
        place: usize,
        connection: u64,
        reply: Reply,
        status: EndpointStatus,
    ) {
        let open = &mut self.hosts[host].connections[place];
        if open.open.is_none_or(|(number, _)| number != connection) {
            return;
        }
        if self.cut.contains(&(place, ENDPOINTS + host)) {
            open.broken_at.get_or_insert(self.now);
            return;
        }
        let now = self.hosts[host].clock(self.now);
        if matches!(reply, Reply::Lost) {
            return self.lose_connection(host, place, now);
        }
        let id = endpoint_id(place);
        let sent = if let Reply::Status(sent) = reply { sent } else { None };
        self.hosts[host].view.on_status(now, &id, status, sent);
        match reply {
            Reply::Written { id, session, submitted, position } => {
                let held = Held { position, id, submitted, session: Some(session) };
                self.hosts[host].held.push(held);
            }
            Reply::Shown { position, id }
                if self.hosts[host].view.primary() == Some(&endpoint_id(place)) =>
            {
                let held = Held { position, id, submitted: self.now, session: None };
                self.hosts[host].held.push(held);
            }
            Reply::Fenced(_) => {
                self.promote(host, |promotion, view| promotion.on_fenced(now, view, &id, status))
            }
            Reply::Ordered => {
                self.promote(host, |promotion, view| promotion.on_order_done(now, view));
            }
            Reply::Refused => self.hosts[host].promotion.on_order_failed(now),
            Reply::Status(_) | Reply::Shown { .. } | Reply::Lost => {}
        }
        self.release(host);
    }

    /// Acknowledges the writes, and releases the answers of reads, whose position has become
    /// durable.
    fn release(&mut self, host: usize) {
        let view = &self.hosts[host].view;
        let mut durable = Vec::new();
        let mut held = self.hosts[host].held.clone();
        held.retain(|held| match view.durability(held.position) {
            Durability::Pending => true,
            Durability::Lost => false,
            Durability::Durable => {
                durable.push(*held);
                false
            }
        });
        self.hosts[host].held = held;
        for held in durable {
            self.checks.on_durable(&self.endpoints, held, self.now);
        }
    }

    pub(super) fn on_answer(&mut self, host: usize, incarnation: u64, answer: Answer) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let now = self.hosts[host].clock(self.now);
        match answer {
            Answer::Read(result) => {
                self.promote(host, |promotion, view| promotion.on_record_read(now, view, result));
            }
            Answer::Swapped(record, result) => self.promote(host, |promotion, view| {
                promotion.on_record_swapped(now, view, &record, result)
            }),
        }
        self.release(host);
    }

    fn promote(
        &mut self,
        place: usize,
        act: impl FnOnce(&mut Promotion, &GroupView) -> Vec<PromotionEffect>,
    ) {
        let now = self.hosts[place].clock(self.now);
        let host = &mut self.hosts[place];
        let effects = act(&mut host.promotion, &host.view);
        if let Some(record) = host.promotion.record() {
            host.view.on_record(now, record);
        }
        let incarnation = host.incarnation;
        for effect in effects {
            match effect {
                PromotionEffect::ReadRecord => self.call(place, incarnation, Call::Read),
                PromotionEffect::SwapRecord { expected_version, record } => {
                    self.call(place, incarnation, Call::Swap(expected_version, record));
                }
                PromotionEffect::Fence { endpoint, term } => {
                    self.send_order(place, endpoint_place(&endpoint), Order::Fence(term.0));
                }
                PromotionEffect::Promote { endpoint, term } => {
                    self.send_order(place, endpoint_place(&endpoint), Order::Promote(term.0));
                }
                PromotionEffect::Follow { endpoint, term, primary } => {
                    let order = Order::Follow(term.0, endpoint_place(&primary));
                    self.send_order(place, endpoint_place(&endpoint), order);
                }
            }
        }
    }

    fn call(&mut self, host: usize, incarnation: u64, call: Call) {
        let delay = self.rng.random_range(1..if self.store.slow { 1_200 } else { 15 }) * MS;
        self.later(delay, Event::Store { host, incarnation, call });
    }
}
