//! Callers: an open-loop process of arrivals and the sessions that carry the requests.

use medlarstile::core::classify::{classify, Class};
use medlarstile::core::host::RoutePlan;
use medlarstile::core::life::LifeState;
use medlarstile::types::{RequestId, SessionId};
use rand::Rng;

use super::host::Session;
use super::measure::Arrived;
use super::tables::{account_name, group_name, ACCOUNTS, GROUPS, HOSTS};
use super::{Event, Scenario, World, COUNT_FROM};

/// Account that sends five times its rate, or sends all its requests to one host.
pub const SPECIAL: usize = 1;

impl World {
    /// Requests a second of an account.
    fn offered(&self, account: usize) -> u64 {
        let deployment = &self.options.deployment;
        match self.options.scenario {
            Scenario::Burst if account == SPECIAL => deployment.rate(account) * 5,
            _ => deployment.account_load(account),
        }
    }

    pub(super) fn on_arrival(&mut self) {
        let rates: Vec<u64> = (0..ACCOUNTS).map(|account| self.offered(account)).collect();
        let total: u64 = rates.iter().sum();
        // Arrivals of independent Poisson processes together are one Poisson process.
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() * 1e6 / total as f64;
        if self.now < self.traffic_until() {
            self.later((gap as u64).max(1), Event::Arrive);
        }
        let mut pick = self.rng.random_range(0..total);
        let mut account = 0;
        while pick >= rates[account] {
            pick -= rates[account];
            account += 1;
        }
        let group = self.rng.random_range(0..GROUPS);
        let write = self.rng.random_range(0..100) >= self.options.deployment.reads_percent;
        if let Some(host) = self.choose_host(account) {
            self.arrive(host, account, group, write);
        }
    }

    /// The platform's load balancer: any host that accepts callers and is not listed as leaving.
    fn choose_host(&mut self, account: usize) -> Option<usize> {
        if self.options.scenario == Scenario::Skew && account == SPECIAL {
            return Some(0);
        }
        let now = self.now;
        let listed = |place: &usize| {
            let host = &self.hosts[*place];
            let serves = matches!(host.core.state(), LifeState::Serving | LifeState::Leaving);
            serves && host.listening && host.unlisted_at.is_none_or(|at| now < at)
        };
        let hosts: Vec<usize> = (0..HOSTS).filter(listed).collect();
        (!hosts.is_empty()).then(|| hosts[self.rng.random_range(0..hosts.len())])
    }

    fn arrive(&mut self, host: usize, account: usize, group: usize, write: bool) {
        self.numbers += 1;
        let id = RequestId(self.numbers);
        let found = &mut self.hosts[host];
        let (idle, sessions) = (found.idle.get_mut(&(account, group)), &found.sessions);
        let waiting = idle.and_then(|idle| loop {
            let session = idle.pop()?;
            if sessions.contains_key(&session) {
                break Some(session);
            }
        });
        let at = self.now;
        let request = |first_key| Arrived {
            host,
            account,
            group,
            at,
            sent: None,
            within: false,
            counted: at >= COUNT_FROM,
            first_key,
        };
        let opened = waiting.map_or_else(|| self.log_in(host, account, group), Ok);
        let session = match opened {
            Ok(session) => session,
            Err(kind) => {
                self.measures.arrive(id, request(false));
                return self.measures.refused(id, kind);
            }
        };
        let Some(found) = self.hosts[host].sessions.get_mut(&session) else { return };
        found.request = Some(id);
        let first_key = found.first_key;
        self.measures.arrive(id, request(first_key));
        self.writes.insert(id, write);
        let now = self.clock(host);
        self.hosts[host].core.request(now, id, session, class(write));
        self.carry_out(host);
    }

    fn log_in(
        &mut self,
        host: usize,
        account: usize,
        group: usize,
    ) -> Result<SessionId, medlarstile::error::ErrorKind> {
        self.numbers += 1;
        let (id, now) = (SessionId(self.numbers), self.clock(host));
        let core = &mut self.hosts[host].core;
        let plan = core.startup(now, id, &account_name(account), &group_name(group), None);
        let plan = plan.map_err(|error| error.kind)?;
        let key = match plan {
            RoutePlan::Open => None,
            RoutePlan::Keyed(keys) => keys.first().map(|(key, _)| key.clone()),
        };
        let first = &self.tables.routes[0].keys[0].key;
        let first_key = key.as_ref().is_some_and(|key| key.as_str() == first.as_str())
            && account == super::tables::WITHDRAWN;
        core.logged_in(now, id, key).map_err(|error| error.kind)?;
        let session = Session { account, group, first_key, request: None };
        self.hosts[host].sessions.insert(id, session);
        Ok(id)
    }
}

fn class(write: bool) -> Class {
    thread_local! {
        static CLASSES: [Class; 2] = [classify("SELECT 1"), classify("INSERT INTO t VALUES (1)")];
    }
    CLASSES.with(|classes| classes[usize::from(write)].clone())
}
