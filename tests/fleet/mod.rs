//! Hosts with keepers and limiters on their own clocks, over a faulty store and network.

pub mod check;
pub mod store;

use std::collections::BTreeMap;

use derive_more::AddAssign;
use medlarstile::core::limit::{LimitEffect, LimitPeer, Limiter, Take, TokenRequest, Transfer};
use medlarstile::core::share::{
    Holder, LiveHost, SeenRow, ShareEffect, ShareKeeper, ShareSettings, ShareWrite, WriteResult,
};
use medlarstile::types::{
    AccountId, AttemptId, DurationMs, FailureDomain, HostId, Incarnation, MilliTokens, RequestId,
    Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use check::{Check, Limits};
use store::{Mode, Store};

/// Probabilities of network faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplicate: f64,
    pub delay: f64,
}

#[derive(Debug, Clone)]
enum Message {
    Ask(TokenRequest),
    Transfer(Transfer),
}

#[derive(Debug, Clone)]
enum Event {
    Wake,
    Message(HostId, Message),
    StoreRead,
    StoreWrite(AttemptId, Vec<ShareWrite>, u64, bool),
    Rows(Option<Vec<SeenRow>>),
    Hosts,
    Result(AttemptId, WriteResult),
}

pub struct Process {
    pub me: Holder,
    pub domain: FailureDomain,
    pub keeper: ShareKeeper,
    pub limiter: Limiter,
    pub paused_until: u64,
    pub ended: bool,
    offset: u64,
    ppm: i64,
    wake_at: u64,
}

/// Requests by outcome.
#[derive(Debug, Clone, Copy, Default, AddAssign)]
pub struct Count {
    pub asked: u64,
    pub admitted: u64,
    pub refused: u64,
}

pub struct Fleet {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub store: Store,
    pub processes: Vec<Process>,
    pub faults: Faults,
    pub cut: Option<FailureDomain>,
    pub counts: BTreeMap<AccountId, Count>,
    pub messages: u64,
    pub limits: Limits,
    settings: ShareSettings,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    next: u64,
    requests: BTreeMap<RequestId, (AccountId, MilliTokens)>,
    check: Check,
}

impl Fleet {
    pub fn new(seed: u64, settings: ShareSettings, limits: Limits, hosts: usize) -> Self {
        Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::new(),
            processes: Vec::new(),
            faults: Faults::default(),
            cut: None,
            counts: BTreeMap::new(),
            messages: 0,
            check: Check::new(&limits, hosts),
            limits,
            settings,
            events: BTreeMap::new(),
            next: 0,
            requests: BTreeMap::new(),
        }
    }

    /// Starts a process of host `number` at `port`; returns its index.
    pub fn start(&mut self, number: usize, domains: usize, port: u16) -> usize {
        let host: HostId = format!("host-{number}").parse().expect("id");
        let domain: FailureDomain = format!("fd-{}", number % domains).parse().expect("id");
        let index = self.processes.len();
        let incarnation = Incarnation(index as u64 + 1);
        let me = Holder { host, incarnation, address: ([127, 0, 0, 1], port).into() };
        let rng = |fleet: &mut Self| ChaCha8Rng::seed_from_u64(fleet.rng.random());
        let keeper = ShareKeeper::new(me.clone(), self.settings, rng(self));
        let mut limiter = Limiter::new(incarnation, domain.clone(), self.settings.slots, rng(self));
        let peer = |n: usize| LimitPeer {
            host: format!("host-{n}").parse().expect("id"),
            failure_domain: format!("fd-{}", n % domains).parse().expect("id"),
        };
        limiter.set_peers((0..8).filter(|n| *n != number).map(peer).collect());
        let offset = self.rng.random_range(0..1_000_000_000);
        let ppm = self.rng.random_range(-990..=990);
        let (paused_until, ended, wake_at) = (0, false, u64::MAX);
        self.processes.push(Process {
            me,
            domain,
            keeper,
            limiter,
            paused_until,
            ended,
            offset,
            ppm,
            wake_at,
        });
        let limits = self.limits.clone();
        self.run(index, |process, now, limited, _| {
            process.limiter.set_accounts(now, &limits, limited)
        });
        self.schedule(self.now, index, Event::Hosts);
        index
    }

    /// Registered processes in contact with the store, the newest of each host.
    fn live(&self) -> Vec<LiveHost> {
        let in_contact = |p: &&Process| {
            !p.ended && p.paused_until <= self.now && self.cut.as_ref() != Some(&p.domain)
        };
        let running = self.processes.iter().filter(in_contact);
        let newest: BTreeMap<HostId, LiveHost> =
            running.map(|p| (p.me.host.clone(), p.me.clone())).collect();
        newest.into_values().collect()
    }

    /// Changes the tables of one process.
    pub fn set_limits(&mut self, index: usize, limits: &Limits) {
        self.run(index, |process, now, limited, _| {
            process.limiter.set_accounts(now, limits, limited)
        });
    }

    /// Sends one request to a process, if it runs.
    pub fn request(
        &mut self,
        index: usize,
        account: &AccountId,
        cost: MilliTokens,
        wait: DurationMs,
    ) {
        if self.processes[index].ended || self.processes[index].paused_until > self.now {
            return;
        }
        self.next += 1;
        let id = RequestId(self.next);
        self.counts.entry(account.clone()).or_default().asked += 1;
        self.requests.insert(id, (account.clone(), cost));
        self.run(index, |process, now, limited, _| {
            let deadline = now + wait;
            match process.limiter.admit(now, id, account, cost, deadline, limited) {
                Take::Taken => limited.push(LimitEffect::Admit(id)),
                Take::Refused(kind) => limited.push(LimitEffect::Refuse(id, kind)),
                Take::Wait { .. } => {}
            }
        });
    }

    /// Runs all events up to true time `until`.
    pub fn advance(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), (index, event)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(index, event);
        }
        self.now = until;
    }

    fn schedule(&mut self, at: u64, index: usize, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), (index, event));
    }

    fn handle(&mut self, index: usize, event: Event) {
        match event {
            Event::StoreRead => {
                let rows = self.store.read(&mut self.rng);
                let at = self.now + self.rng.random_range(500..4_000);
                return self.schedule(at, index, Event::Rows(Some(rows)));
            }
            Event::StoreWrite(attempt, writes, answer, lost) => {
                let result = self.store.write(&writes);
                let known = if lost { WriteResult::Unknown } else { result };
                return self.schedule(answer.max(self.now), index, Event::Result(attempt, known));
            }
            _ => {}
        }
        let process = &mut self.processes[index];
        if process.ended {
            return;
        }
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.schedule(at, index, event);
        }
        if matches!(event, Event::Wake) {
            if process.wake_at > self.now {
                return;
            }
            process.wake_at = u64::MAX;
        }
        self.deliver(index, event);
    }

    fn deliver(&mut self, index: usize, event: Event) {
        let mut reply = None;
        let hosts = self.live();
        if matches!(event, Event::Hosts) {
            self.schedule(self.now + 500_000, index, Event::Hosts);
            if !hosts.contains(&self.processes[index].me) || self.store.mode == Mode::Down {
                return;
            }
        }
        self.run(index, |process, now, limited, shares| match event {
            Event::Wake => {}
            Event::Message(from, Message::Ask(request)) => {
                let answer = process.limiter.on_request(now, &from, &request);
                reply = answer.map(|transfer| (from, transfer));
            }
            Event::Message(from, Message::Transfer(transfer)) => {
                process.limiter.on_transfer(now, &from, &transfer, limited);
            }
            Event::Rows(None) => process.keeper.on_rows(now, None, shares),
            Event::Rows(Some(rows)) => process.keeper.on_rows(now, Some(&rows), shares),
            Event::Hosts => process.keeper.on_hosts(now, &hosts, shares),
            Event::Result(id, result) => process.keeper.on_result(now, id, result, shares),
            Event::StoreRead | Event::StoreWrite(..) => unreachable!("handled at the store"),
        });
        if let Some((to, transfer)) = reply {
            self.transmit(index, &to, Message::Transfer(transfer));
        }
    }

    /// Lets one process act, carries out its effects and sets its next wake-up.
    pub fn run(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Process, Timestamp, &mut Vec<LimitEffect>, &mut Vec<ShareEffect>),
    ) {
        let (mut limited, mut shares) = (Vec::new(), Vec::new());
        let now = self.processes[index].clock(self.now);
        let process = &mut self.processes[index];
        act(process, now, &mut limited, &mut shares);
        process.keeper.tick(now, &mut shares);
        for effect in &shares {
            if let ShareEffect::Use(slots) = effect {
                process.limiter.set_shares(now, slots);
            }
        }
        process.limiter.tick(now, &mut limited);
        shares.into_iter().for_each(|effect| self.share_effect(index, effect));
        limited.into_iter().for_each(|effect| self.limit_effect(index, effect));
        let process = &mut self.processes[index];
        let wakes = [Some(process.keeper.next_wake()), process.limiter.next_wake(now)];
        let wake = wakes.into_iter().flatten().min().expect("the keeper always reads again");
        let at = process.true_time(wake).max(self.now + 1);
        if at < process.wake_at {
            process.wake_at = at;
            self.schedule(at, index, Event::Wake);
        }
    }

    fn share_effect(&mut self, index: usize, effect: ShareEffect) {
        let cut = self.cut.as_ref() == Some(&self.processes[index].domain);
        let timing = self.store.timing(cut, &mut self.rng);
        let answer = self.now + timing.answer;
        match (effect, timing.effect) {
            (ShareEffect::Use(_), _) => {}
            (ShareEffect::Read, Some(at)) if !timing.lost => {
                self.schedule(self.now + at, index, Event::StoreRead);
            }
            (ShareEffect::Read, _) => self.schedule(answer, index, Event::Rows(None)),
            (ShareEffect::Write { attempt, writes }, Some(at)) => {
                let write = Event::StoreWrite(attempt, writes, answer, timing.lost);
                if timing.lost {
                    self.schedule(answer, index, Event::Result(attempt, WriteResult::Unknown));
                }
                self.schedule(self.now + at, index, write);
            }
            (ShareEffect::Write { attempt, .. }, None) => {
                self.schedule(answer, index, Event::Result(attempt, WriteResult::Unknown));
            }
        }
    }

    fn limit_effect(&mut self, index: usize, effect: LimitEffect) {
        match effect {
            LimitEffect::Ask(to, request) => self.transmit(index, &to, Message::Ask(request)),
            LimitEffect::Admit(id) => {
                let (account, cost) = self.requests.remove(&id).expect("one outcome for a request");
                self.check.admit(self.now, &account, cost);
                self.counts.entry(account).or_default().admitted += 1;
            }
            LimitEffect::Refuse(id, _) => {
                let (account, _) = self.requests.remove(&id).expect("one outcome for a request");
                self.counts.entry(account).or_default().refused += 1;
            }
        }
    }

    fn transmit(&mut self, from: usize, to: &HostId, message: Message) {
        self.messages += 1;
        let host = self.processes[from].me.host.clone();
        let domain = self.processes[from].domain.clone();
        // Two processes may have the same host id after a replacement; either may be reached.
        let same = |p: &usize| self.processes[*p].me.host == *to && !self.processes[*p].ended;
        let targets: Vec<usize> = (0..self.processes.len()).filter(same).collect();
        if targets.is_empty() {
            return;
        }
        let target = targets[self.rng.random_range(0..targets.len())];
        let other = self.processes[target].domain.clone();
        let parted = domain != other && [Some(&domain), Some(&other)].contains(&self.cut.as_ref());
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            if parted || self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let base = if domain == other { 100..400 } else { 1_000..2_000 };
            let mut at = self.now + self.rng.random_range(base);
            if self.rng.random_bool(self.faults.delay) {
                at += self.rng.random_range(1_000..1_200_000);
            }
            self.schedule(at, target, Event::Message(host.clone(), message.clone()));
        }
    }
}

impl Process {
    fn clock(&self, now: u64) -> Timestamp {
        let speed = (1_000_000 + self.ppm) as u128;
        Timestamp(self.offset + (u128::from(now) * speed / 1_000_000) as u64)
    }

    fn true_time(&self, at: Timestamp) -> u64 {
        let speed = (1_000_000 + self.ppm) as u128;
        let own = u128::from(at.0.saturating_sub(self.offset));
        (own * 1_000_000).div_ceil(speed).min(u128::from(u64::MAX)) as u64
    }
}
