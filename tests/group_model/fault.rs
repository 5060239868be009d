//! Fault injection, and the platform's answers to calls.

use medlarstile::core::group::Role;
use medlarstile::core::promotion::{ReadFault, SwapFault};
use rand::Rng;

use super::host::Host;
use super::{Answer, Call, Event, Loss, Simulation, ENDPOINTS, MS};

impl Simulation {
    pub(super) fn on_fault(&mut self) {
        if self.now >= self.options.faults_until {
            return;
        }
        let delay = self.rng.random_range(100..800) * MS;
        self.schedule_after(delay, Event::Fault);
        let host = self.rng.random_range(0..self.hosts.len());
        let endpoint = self.fault_target();
        match self.rng.random_range(0..17) {
            0 | 1 => self.cut_link(endpoint, ENDPOINTS + host),
            2 | 3 => self.cut_link(endpoint, (endpoint + 1) % ENDPOINTS),
            4 | 5 => self.isolate(endpoint, ENDPOINTS + self.hosts.len()),
            6 => self.endpoints[endpoint].crash(),
            7 => self.repair(),
            8 => self.isolate_from_some(endpoint, 0),
            9 => {
                let pause = self.rng.random_range(100..3_000) * MS;
                self.hosts[host].paused_until = (self.now + pause).min(self.options.faults_until);
            }
            10 => self.replace_host(host),
            14 | 15 => self.partition(endpoint),
            11 => self.isolate_from_some(endpoint, ENDPOINTS),
            13 => self.store.slow = !self.store.slow,
            12 => self.store.down = !self.store.down,
            _ => self.store.lost_percent = if self.store.lost_percent == 0 { 60 } else { 0 },
        }
    }

    /// Chooses the endpoint that a fault affects: half the time the primary of the highest term,
    /// otherwise a random one.
    fn fault_target(&mut self) -> usize {
        let index = self.rng.random_range(0..ENDPOINTS);
        let leads = |index: &usize| self.endpoints[*index].role == Role::Primary;
        let primary = (0..ENDPOINTS).filter(leads).max_by_key(|index| self.endpoints[*index].term);
        primary.filter(|_| self.rng.random()).unwrap_or(index)
    }

    /// Cuts the links from an endpoint to the endpoints numbered below `limit` and to half of
    /// the hosts. Clients still write to it through the other hosts.
    fn isolate_from_some(&mut self, endpoint: usize, limit: usize) {
        self.isolate(endpoint, limit);
        for host in 0..self.hosts.len() / 2 {
            self.cut_link(endpoint, ENDPOINTS + host);
        }
    }

    /// Cuts the links between one endpoint with half of the hosts and the other endpoints with the
    /// other half.
    fn partition(&mut self, endpoint: usize) {
        self.isolate_from_some(endpoint, ENDPOINTS);
        let half = self.hosts.len() / 2;
        for other in (0..ENDPOINTS).filter(|other| *other != endpoint) {
            for host in half..self.hosts.len() {
                self.cut_link(other, ENDPOINTS + host);
            }
        }
    }

    pub(super) fn on_end_faults(&mut self) {
        self.repair();
        self.store.down = false;
        self.store.slow = false;
        self.store.lost_percent = 0;
        self.checks.faults_ended(self.now);
    }

    pub(super) fn on_lose_primary(&mut self, loss: Loss) {
        match loss {
            Loss::Crash => self.endpoints[0].crash(),
            Loss::Isolation => self.isolate(0, ENDPOINTS + self.hosts.len()),
            Loss::Stall => self.isolate(0, ENDPOINTS),
            Loss::Partial => {
                self.isolate_from_some(0, 0);
                self.store.slow = true;
                let delay = self.rng.random_range(1_000..3_000) * MS;
                self.schedule_after(delay, Event::LosePrimary(Loss::Link));
            }
            Loss::Link => self.cut_link(0, 1),
        }
        self.checks.faults_ended(self.now);
    }

    fn repair(&mut self) {
        self.cut_links.clear();
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| !endpoint.up) {
            endpoint.restart();
        }
    }

    fn cut_link(&mut self, a: usize, b: usize) {
        self.cut_links.insert((a.min(b), a.max(b)));
    }

    /// Cuts the links from an endpoint to all endpoints and hosts numbered below `limit`; hosts are
    /// numbered after the endpoints.
    fn isolate(&mut self, endpoint: usize, limit: usize) {
        for other in (0..limit).filter(|other| *other != endpoint) {
            self.cut_link(endpoint, other);
        }
    }

    fn replace_host(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation + 1;
        self.hosts[index] = Host::new(index, self.hosts.len(), incarnation, &mut self.rng);
    }

    pub(super) fn on_store_call(&mut self, host: usize, incarnation: u64, call: Call) {
        let lost = self.store.down || self.store.loses_answer(&mut self.rng);
        let answer = match call {
            Call::Read if lost => Answer::Read(Err(ReadFault)),
            Call::Read => Answer::Read(Ok(self.store.read(&mut self.rng))),
            Call::Swap(_, record) if self.store.down => {
                Answer::Swapped(record, Err(SwapFault::Unknown))
            }
            Call::Swap(expected, record) => {
                let result = self.store.swap(expected, record.clone());
                Answer::Swapped(record, if lost { Err(SwapFault::Unknown) } else { result })
            }
        };
        let delay = self.rng.random_range(1..10) * MS;
        self.schedule_after(delay, Event::StoreAnswer { host, incarnation, answer });
    }
}
