//! Which host runs a session.
//!
//! An endpoint has few connections for each host, and a client account's rate divided by the hosts
//! leaves each of them a small part that its demand exceeds by chance; in a large fleet it is a
//! fraction of one operation. All sessions of an account therefore run on one host, its home, and
//! the other hosts relay their callers' lines to it. Homes are the strongest hosts; accounts are
//! spread over them by weighted rendezvous hashing, so that few sessions change their home when a
//! host comes or goes. Hosts that only relay keep links to the homes alone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::session::Session;
use super::{Proxy, ProxyEffect};
use crate::types::{AccountId, DurationMs, GroupId, HostId, MilliCores, SessionId, Timestamp};

/// A host serves its own callers while its part of an endpoint's connections reaches for one in
/// this many client accounts; connections of idle accounts make room for the others.
const ACCOUNTS_PER_CONNECTION: u64 = 8;
/// Hosts from which on homes are used in any case: an account's rate is divided by fewer hosts than
/// its callers meet, and its demand on each host varies most where it is small.
const HOMES_FROM: u64 = 4;
/// Hosts for each home. Links grow with hosts times homes, and with an eighth of 300 hosts as homes
/// the handshakes of a start took all of the small hosts' processors.
const HOSTS_PER_HOME: u64 = 24;
/// Least number of homes, so that the loss of one moves few accounts.
const LEAST_HOMES: u64 = 8;
/// Least part of an endpoint's connections that a home has; several accounts use them in turn.
const LEAST_HOME_SHARE: u64 = 4;
/// Part of an endpoint's connections, in percent, that homes divide; the rest is for hosts that
/// cannot reach a home.
const HOME_PERCENT: u64 = 88;
/// Connections that every host may open to an endpoint, however many hosts there are.
const LEAST_SHARE: u64 = 1;
/// Homes that have to be present before no further hosts are considered. The accounts of a lost
/// home go to the others, so that one loss makes no host a home that was none.
const LEAST_PRESENT: usize = 2;
/// Time for which the homes have to be the same before idle sessions move to theirs, so that a
/// flapping link does not move them to and fro.
const SETTLED_AFTER: DurationMs = DurationMs(1_500);
/// Sessions that are asked to move in one tick; each one takes a connect of its caller.
const MOVES_PER_TICK: usize = 10;

/// A host that may run sessions of others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// The host.
    pub host: HostId,
    /// Its processor.
    pub processor: MilliCores,
}

/// The hosts that run sessions; none if each one serves its own callers.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Homes {
    /// Homes that are present.
    candidates: Vec<Candidate>,
    /// Homes to choose, present or not.
    wanted: u64,
    /// Home of each account of the configuration.
    by_account: BTreeMap<AccountId, HostId>,
}

impl Homes {
    /// Number of homes for `hosts`, for endpoints that accept `connections` and `accounts` client
    /// accounts; none if every host is to serve its own callers.
    fn wanted(hosts: u64, connections: u64, accounts: u64) -> Option<u64> {
        let scarce = connections / hosts.max(1) < accounts / ACCOUNTS_PER_CONNECTION;
        if !scarce && hosts < HOMES_FROM {
            return None;
        }
        let most = connections * HOME_PERCENT / 100 / LEAST_HOME_SHARE;
        Some((hosts / HOSTS_PER_HOME).max(LEAST_HOMES).min(most).max(1))
    }

    /// Chooses `wanted` homes among `all`, the strongest ones first. Returns them, and the hosts
    /// that were considered, absent ones included.
    fn choose(
        mut all: Vec<Candidate>,
        wanted: u64,
        is_present: &mut dyn FnMut(&HostId) -> bool,
    ) -> (Self, Vec<HostId>) {
        all.sort_by_cached_key(|one| (Reverse(one.processor), hash(&one.host), one.host.clone()));
        let places = usize::try_from(wanted).unwrap_or(usize::MAX);
        let mut homes = Self { wanted, ..Self::default() };
        let mut considered = Vec::new();
        for one in all {
            if considered.len() >= places && homes.candidates.len() >= LEAST_PRESENT.min(places) {
                break;
            }
            considered.push(one.host.clone());
            if is_present(&one.host) {
                homes.candidates.push(one);
            }
        }
        (homes, considered)
    }

    /// Whether sessions run at homes.
    fn are_used(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Home of an account: each host draws a lot, the larger its processor the better.
    fn draw(&self, account: &AccountId) -> Option<&HostId> {
        let lot = |one: &Candidate| {
            let drawn = (hash(&(&one.host, account)) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            -drawn.ln() / f64::from(one.processor.0.max(1))
        };
        let best = self.candidates.iter().min_by(|a, b| lot(a).total_cmp(&lot(b)));
        best.map(|one| &one.host)
    }

    fn contains(&self, host: &HostId) -> bool {
        self.candidates.iter().any(|one| one.host == *host)
    }
}

impl Proxy {
    /// Sets the other hosts of the fleet. `is_present` is asked whether a host shares the work where
    /// that matters. Returns the hosts that this one needs a link to.
    pub fn set_hosts(
        &mut self,
        now: Timestamp,
        listed: Vec<Candidate>,
        mut is_present: impl FnMut(&HostId) -> bool,
    ) -> Vec<HostId> {
        self.listed_known = true;
        self.quota.set_hosts(now, listed.iter().map(|one| one.host.clone()).collect());
        let own = self.spec.host.clone();
        let mut is_present = |host: &HostId| *host == own || is_present(host);
        let candidate = Candidate { host: own.clone(), processor: self.spec.processor };
        let others: Vec<HostId> = listed.iter().map(|one| one.host.clone()).collect();
        let all: Vec<Candidate> = listed.into_iter().chain([candidate]).collect();
        let Some(catalog) = &self.catalog else {
            // Another host may have to tell the configuration.
            return Homes::choose(all, LEAST_HOMES, &mut is_present).1;
        };
        let connections = catalog.groups.values().map(|plan| u64::from(plan.connections.0)).min();
        let connections = connections.unwrap_or(u64::from(u32::MAX));
        let accounts = catalog.accounts.len() as u64;
        let Some(wanted) = Homes::wanted(all.len() as u64, connections, accounts) else {
            self.present = others.iter().filter(|host| is_present(host)).count() as u64;
            self.adopt_homes(now, Homes::default());
            return others;
        };
        let (homes, considered) = Homes::choose(all, wanted, &mut is_present);
        self.adopt_homes(now, homes);
        if self.homes.contains(&self.spec.host) {
            return others;
        }
        considered
    }

    fn adopt_homes(&mut self, now: Timestamp, mut homes: Homes) {
        let Some(catalog) = &self.catalog else { return };
        let owners = catalog.keys.values().chain(catalog.accounts.keys());
        let of = |account: &AccountId| Some((account.clone(), homes.draw(account)?.clone()));
        homes.by_account = owners.chain([&AccountId::OPEN]).filter_map(of).collect();
        if self.homes == homes {
            return;
        }
        if self.homes.candidates != homes.candidates {
            self.homes_since = now;
            let names: Vec<&str> = homes.candidates.iter().map(|one| one.host.as_str()).collect();
            tracing::info!(homes = names.join(" "), wanted = homes.wanted, "homes: changed");
        }
        self.quota.set_homes(now, &self.spec.host, homes.by_account.clone());
        self.homes = homes;
    }

    /// Ends idle sessions whose home is another host; their callers come back and are relayed to
    /// it. Sessions that stay where a disruption has led them keep a connection to each endpoint,
    /// and a part of their account's rate, on every host.
    pub(super) fn move_sessions(&mut self, now: Timestamp) {
        if !self.homes.are_used() || now < self.homes_since + SETTLED_AFTER {
            return;
        }
        let own = &self.spec.host;
        let strays = self.sessions.iter().filter(|(_, session)| {
            let idle = session.request.is_none() && session.transaction.is_none();
            idle && !session.closing && self.home_of(session).is_some_and(|home| home != own)
        });
        let strays: Vec<SessionId> = strays.map(|(id, _)| *id).take(MOVES_PER_TICK).collect();
        for id in strays {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.closing = true;
                self.out.push(ProxyEffect::CloseSession(id));
            }
        }
    }

    fn home_of(&self, session: &Session) -> Option<&HostId> {
        let owner = self.catalog.as_ref()?.keys.get(&session.key);
        self.home(owner.unwrap_or(&AccountId::OPEN))
    }

    /// Home of the sessions of an account; none if every host serves its own callers.
    pub fn home(&self, account: &AccountId) -> Option<&HostId> {
        self.homes.by_account.get(account)
    }

    /// Whether this host runs sessions, as a home or because it cannot reach one.
    pub fn runs_sessions(&self) -> bool {
        (self.catalog.is_some() && self.is_home()) || !self.sessions.is_empty()
    }

    /// Whether this host runs sessions in a group, as a home or because it cannot reach one.
    pub(super) fn serves(&self, group: &GroupId) -> bool {
        let used = |group: &super::group::GroupState| {
            group.waiting() > 0 || group.endpoints.values().any(|one| !one.connections.is_empty())
        };
        let strays = !self.sessions.is_empty() && self.groups.get(group).is_some_and(used);
        self.is_home() || strays
    }

    /// Whether this host keeps links to all others, so that it can tell which of them are gone.
    pub fn keeps_all_links(&self) -> bool {
        self.catalog.is_some() && self.is_home()
    }

    /// Whether sessions are to run here.
    pub(super) fn is_home(&self) -> bool {
        !self.homes.are_used() || self.homes.contains(&self.spec.host)
    }

    /// This host's part of an endpoint's connections.
    pub(super) fn share(&self, group: &GroupId) -> u64 {
        let limit = self.groups.get(group).map_or(1, |group| u64::from(group.plan.connections.0));
        let share = if !self.homes.are_used() {
            limit / (self.present + 1)
        } else if self.homes.contains(&self.spec.host) {
            // In a part of the fleet that is cut off, few homes do not take everything.
            let sharers = (self.homes.candidates.len() as u64).max(self.homes.wanted / 2);
            limit * HOME_PERCENT / 100 / sharers
        } else {
            0
        };
        share.max(LEAST_SHARE)
    }
}

fn hash(thing: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    thing.hash(&mut hasher);
    hasher.finish()
}
