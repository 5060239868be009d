//! Assignment of client accounts to home hosts, which run their sessions.
//!
//! An endpoint accepts few connections for each host, and a client account's rate divided by the
//! number of hosts leaves each of them a small share that random variation of the demand exceeds;
//! in a large fleet the share is a fraction of one operation. All sessions of an account therefore
//! run on one host, its home, and the other hosts relay their callers' connections to it. Homes are
//! the hosts with the most processor capacity; accounts are distributed over them by weighted
//! rendezvous hashing, so that few sessions change their home when a host joins or leaves. Hosts
//! that only relay keep links to the homes alone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::session::Session;
use super::{Proxy, ProxyEffect};
use crate::core::life::LifeState;
use crate::types::{AccountId, DurationMs, GroupId, HostId, MilliCores, SessionId, Timestamp};

/// Homes are used if a host's share of an endpoint's connections is less than one for this many
/// client accounts; connections of idle accounts are closed in favor of the others.
const ACCOUNTS_PER_CONNECTION: u64 = 8;
/// Fleet size from which homes are always used: with homes an account's rate is divided by fewer
/// hosts than its callers connect to, and a small demand on a host varies most.
const ALWAYS_USE_HOMES_FROM: u64 = 4;
/// Number of hosts for each home. The number of links grows with hosts times homes; with an eighth
/// of 300 hosts as homes, the handshakes at start-up took the whole processor of the small hosts.
const HOSTS_PER_HOME: u64 = 24;
/// Minimum number of homes, so that the loss of one moves few accounts.
const MIN_HOMES: u64 = 8;
/// Minimum number of connections to an endpoint for each home; several accounts use them in turn.
const MIN_CONNECTIONS_PER_HOME: u64 = 4;
/// Percentage of an endpoint's connections that the homes share; the rest is for hosts that cannot
/// reach a home.
const HOME_PERCENT: u64 = 88;
/// Connections of a home to an endpoint up to which the homes take [`HOME_PERCENT`] together.
const MAX_CONNECTIONS_PER_HOME: u64 = 6;
/// Percentage that the homes share if each has more than that. What they leave unused is free at once
/// when all of them restart after a loss of power, while the endpoint still counts their former
/// connections.
const AMPLE_HOME_PERCENT: u64 = 54;
/// Connections to an endpoint that every host may open, however many hosts there are.
const MIN_SHARE: u64 = 1;
/// Minimum number of homes that must be present before no more hosts are considered. The accounts
/// of a lost home go to the other homes: these hear all hosts and so have a large part of each rate,
/// whereas a host that becomes a home has next to none.
const MIN_PRESENT_HOMES: usize = 1;
/// Time for which the set of homes must not change before idle sessions are moved, so that a
/// flapping link does not move them back and forth.
const HOMES_STABLE_FOR: DurationMs = DurationMs(1_500);
/// Maximum number of sessions moved in one tick; each move makes its caller connect again.
const MAX_MOVES_PER_TICK: usize = 10;

/// A host that may become a home.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct HomeCandidate {
    /// The host.
    pub host: HostId,
    /// Its processor capacity.
    pub processor: MilliCores,
}

/// The homes and the accounts assigned to them; empty if each host runs its own callers' sessions.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Homes {
    /// Homes that are present.
    candidates: Vec<HomeCandidate>,
    /// Number of homes to choose, present or not.
    wanted: u64,
    /// The hosts that are chosen while all are present.
    first_choice: Vec<HostId>,
    /// Home of each account in the configuration.
    by_account: BTreeMap<AccountId, HostId>,
}

impl Homes {
    /// Number of homes for a fleet of `hosts` with `accounts` client accounts and endpoints that
    /// each accept `connections`; none if every host runs the sessions of its own callers.
    fn wanted(hosts: u64, connections: u64, accounts: u64) -> Option<u64> {
        let scarce = connections / hosts.max(1) < accounts / ACCOUNTS_PER_CONNECTION;
        if !scarce && hosts < ALWAYS_USE_HOMES_FROM {
            return None;
        }
        let max_homes = connections * HOME_PERCENT / 100 / MIN_CONNECTIONS_PER_HOME;
        Some((hosts / HOSTS_PER_HOME).max(MIN_HOMES).min(max_homes).max(1))
    }

    /// Chooses `wanted` homes from `all`, those with the most processor capacity first. Returns the
    /// homes that are present, and all hosts that were considered, including absent ones.
    fn choose(
        mut all: Vec<HomeCandidate>,
        wanted: u64,
        is_present: &mut dyn FnMut(&HostId) -> bool,
    ) -> (Self, Vec<HostId>) {
        all.sort_by_cached_key(|candidate| {
            (Reverse(candidate.processor), hash(&candidate.host), candidate.host.clone())
        });
        let count = usize::try_from(wanted).unwrap_or(usize::MAX);
        let first_choice = all.iter().take(count).map(|candidate| candidate.host.clone()).collect();
        let mut homes = Self { wanted, first_choice, ..Self::default() };
        let mut considered = Vec::new();
        for candidate in all {
            if considered.len() >= count && homes.candidates.len() >= MIN_PRESENT_HOMES.min(count) {
                break;
            }
            considered.push(candidate.host.clone());
            if is_present(&candidate.host) {
                homes.candidates.push(candidate);
            }
        }
        (homes, considered)
    }

    /// Whether homes are used at all.
    fn are_used(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Home of an account: the host with the lowest score of a weighted rendezvous hash, in which a
    /// larger processor lowers the score.
    fn home_of(&self, account: &AccountId) -> Option<&HostId> {
        let score = |candidate: &HomeCandidate| {
            let uniform =
                (hash(&(&candidate.host, account)) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            -uniform.ln() / f64::from(candidate.processor.0.max(1))
        };
        let best = self.candidates.iter().min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|candidate| &candidate.host)
    }

    fn contains(&self, host: &HostId) -> bool {
        self.candidates.iter().any(|candidate| candidate.host == *host)
    }
}

impl Proxy {
    /// Sets the other hosts of the fleet and chooses the homes. `is_present` tells whether a host
    /// can run sessions; it is called only for hosts where this matters. Returns the hosts that
    /// this one needs a link to.
    pub fn set_hosts(
        &mut self,
        now: Timestamp,
        listed: Vec<HomeCandidate>,
        mut is_present: impl FnMut(&HostId) -> bool,
    ) -> Vec<HostId> {
        self.hosts_known = true;
        self.quota.set_hosts(now, listed.iter().map(|candidate| candidate.host.clone()).collect());
        self.evidence.set_hosts(listed.iter().map(|candidate| candidate.host.clone()).collect());
        let own = self.spec.host.clone();
        let mut is_present = |host: &HostId| *host == own || is_present(host);
        let own_candidate = HomeCandidate { host: own.clone(), processor: self.spec.processor };
        let others: Vec<HostId> = listed.iter().map(|candidate| candidate.host.clone()).collect();
        let all: Vec<HomeCandidate> = listed.into_iter().chain([own_candidate]).collect();
        let Some(catalog) = &self.catalog else {
            // The configuration may have to come from another host.
            return Homes::choose(all, MIN_HOMES, &mut is_present).1;
        };
        let connections = catalog.groups.values().map(|group| u64::from(group.connections.0)).min();
        let connections = connections.unwrap_or(u64::from(u32::MAX));
        let accounts = catalog.accounts.len() as u64;
        let Some(wanted) = Homes::wanted(all.len() as u64, connections, accounts) else {
            self.sharing_hosts = others.iter().filter(|host| is_present(host)).count() as u64;
            let mut first_choice: Vec<HostId> =
                all.into_iter().map(|candidate| candidate.host).collect();
            first_choice.sort();
            self.adopt_homes(now, Homes { first_choice, ..Homes::default() });
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
        // A host that stops has closed its links, so that it takes itself for the only home.
        if !matches!(self.life.state(), LifeState::Starting | LifeState::Serving) {
            return;
        }
        let Some(catalog) = &self.catalog else { return };
        let owners = catalog.keys.values().chain(catalog.accounts.keys());
        let home_entry =
            |account: &AccountId| Some((account.clone(), homes.home_of(account)?.clone()));
        homes.by_account = owners.chain([&AccountId::OPEN]).filter_map(home_entry).collect();
        if self.homes == homes {
            return;
        }
        if self.homes.candidates != homes.candidates {
            self.homes_changed_at = now;
            let names: Vec<&str> =
                homes.candidates.iter().map(|candidate| candidate.host.as_str()).collect();
            tracing::info!(
                homes = names.join(" "),
                wanted = homes.wanted,
                "homes: set of homes changed"
            );
        }
        self.quota.set_homes(now, &self.spec.host, homes.by_account.clone());
        self.homes = homes;
    }

    /// Closes idle sessions whose home is another host; their callers connect again and are relayed
    /// to it. Sessions that stayed where a disruption left them would keep a connection to each
    /// endpoint, and a share of their account's rate, on every host.
    pub(super) fn move_sessions(&mut self, now: Timestamp) {
        if !self.homes.are_used() || now < self.homes_changed_at + HOMES_STABLE_FOR {
            return;
        }
        let own = &self.spec.host;
        let misplaced = self.sessions.iter().filter(|(_, session)| {
            let idle = session.request.is_none() && session.transaction.is_none();
            idle && !session.closing && self.home_of(session).is_some_and(|home| home != own)
        });
        let misplaced: Vec<SessionId> =
            misplaced.map(|(id, _)| *id).take(MAX_MOVES_PER_TICK).collect();
        for id in misplaced {
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

    /// Home of an account; none if every host runs the sessions of its own callers.
    pub fn home(&self, account: &AccountId) -> Option<&HostId> {
        self.homes.by_account.get(account)
    }

    /// Whether this host runs sessions, either as a home or because it cannot reach one.
    pub fn runs_sessions(&self) -> bool {
        (self.catalog.is_some() && self.is_home()) || !self.sessions.is_empty()
    }

    /// Whether this host runs sessions in a group, either as a home or because it cannot reach one.
    pub(super) fn serves(&self, group: &GroupId) -> bool {
        let used = |group: &super::group::GroupState| {
            group.waiting() > 0
                || group.endpoints.values().any(|state| !state.connections.is_empty())
        };
        let runs_sessions_here =
            !self.sessions.is_empty() && self.groups.get(group).is_some_and(used);
        self.is_home() || runs_sessions_here
    }

    /// Whether this host keeps links to all others and so can tell which of them are absent.
    pub fn keeps_all_links(&self) -> bool {
        self.catalog.is_some() && self.is_home()
    }

    /// Whether this host is a home, or no homes are used.
    pub(super) fn is_home(&self) -> bool {
        !self.homes.are_used() || self.homes.contains(&self.spec.host)
    }

    /// Number of hosts among which what an endpoint accepts in a second is divided, whether they are
    /// present or not, and this host's place among them, if it is one.
    pub(super) fn sender_rank(&self) -> (u64, Option<u64>) {
        let senders = &self.homes.first_choice;
        let rank = senders.iter().position(|host| *host == self.spec.host);
        (senders.len() as u64, rank.map(|rank| rank as u64))
    }

    /// Number of connections to each endpoint of a group that this host may open.
    pub(super) fn connection_share(&self, group: &GroupId) -> u64 {
        let limit = self.groups.get(group).map_or(1, |group| u64::from(group.config.connections.0));
        let share = if !self.homes.are_used() {
            limit / (self.sharing_hosts + 1)
        } else if self.homes.contains(&self.spec.host) {
            // The few homes of a partitioned part of the fleet must not take all connections.
            let sharers = (self.homes.candidates.len() as u64).max(self.homes.wanted / 2);
            let share = (limit * HOME_PERCENT / 100 / sharers).min(MAX_CONNECTIONS_PER_HOME);
            share.max(limit * AMPLE_HOME_PERCENT / 100 / sharers)
        } else {
            0
        };
        share.max(MIN_SHARE)
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
