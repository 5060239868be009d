//! Which host runs a session.
//!
//! Where an endpoint has fewer connections than there are hosts and client accounts to share them,
//! the sessions of an account and group run on one host, its home, and the other hosts relay their
//! callers' lines to it. The home is chosen by rendezvous hashing, so that it changes for few
//! sessions when a host comes or goes.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::Proxy;
use crate::types::{AccountId, GroupId, HostId};

/// A host serves its own callers while its part of an endpoint's connections reaches for one in
/// this many client accounts; connections of idle accounts make room for the others.
const ACCOUNTS_PER_CONNECTION: u64 = 8;
/// Least part of an endpoint's connections that a home should have; several accounts use them in
/// turn.
const LEAST_HOME_SHARE: u64 = 4;

impl Proxy {
    /// Sets the other hosts that a link is open to.
    pub fn set_reachable(&mut self, hosts: Vec<HostId>) {
        self.reachable = hosts;
        self.choose_homes();
    }

    /// Chooses the homes of each group anew, after a change of the hosts or the configuration.
    pub(super) fn choose_homes(&mut self) {
        self.homes.clear();
        let Some(catalog) = &self.catalog else { return };
        let hosts = self.reachable.len() as u64 + 1;
        let wanted = catalog.accounts.len() as u64 / ACCOUNTS_PER_CONNECTION;
        for (group, plan) in &catalog.groups {
            let connections = u64::from(plan.connections.0);
            if connections / hosts >= wanted {
                continue;
            }
            let homes = (connections / wanted.max(LEAST_HOME_SHARE)).clamp(1, hosts);
            let all = self.reachable.iter().chain([&self.spec.host]);
            let mut ranked: Vec<(u64, &HostId)> =
                all.map(|host| (weight(host.as_str(), group.as_str()), host)).collect();
            ranked.sort_unstable();
            ranked.truncate(usize::try_from(homes).unwrap_or(usize::MAX));
            let chosen = ranked.into_iter().map(|(_, host)| host.clone()).collect();
            self.homes.insert(group.clone(), chosen);
        }
    }

    /// Home of the sessions of an account in a group; none if every host serves its own callers.
    pub fn home(&self, group: &GroupId, account: &AccountId) -> Option<HostId> {
        let homes = self.homes.get(group)?;
        homes.iter().min_by_key(|host| weight(host.as_str(), account.as_str())).cloned()
    }

    /// Whether this host runs sessions in a group.
    pub(super) fn serves(&self, group: &GroupId) -> bool {
        self.homes.get(group).is_none_or(|homes| homes.contains(&self.spec.host))
    }

    /// Hosts that share the connections of a group's endpoints.
    pub(super) fn sharers(&self, group: &GroupId) -> u64 {
        self.homes.get(group).map_or(self.hosts, |homes| homes.len() as u64).max(1)
    }
}

fn weight(host: &str, thing: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (host, thing).hash(&mut hasher);
    hasher.finish()
}
