//! The two deployments of the design as tables, and the edits of the scenarios.

use std::sync::Arc;

use medlarstile::commands::tables::issue_key;
use medlarstile::tables::{CheckedTables, PoolRow, RouteRow, Tables};
use medlarstile::types::{
    Burst, ConnectionCount, DurationMs, RatePerS, Slots, TableVersion, Weight,
};
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;

/// Hosts of a deployment.
pub const HOSTS: usize = 8;
/// Database groups of a deployment.
pub const GROUPS: usize = 3;
/// Endpoints of a group.
pub const MEMBERS: usize = 3;
/// Client accounts; the first two have half of the traffic.
pub const ACCOUNTS: usize = 8;
/// Limit of an account, as a percentage of its usual traffic.
pub const RATE_PERCENT: u64 = 125;
/// Account whose key is withdrawn.
pub const WITHDRAWN: usize = 3;

/// Figures of one deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deployment {
    /// `A` or `B`.
    pub name: &'static str,
    /// Failure domains.
    pub domains: usize,
    /// Delay between two domains, one way, in microseconds.
    pub link_us: u64,
    /// Statements that an endpoint runs at a time.
    pub slots: u32,
    /// Connections that an endpoint accepts.
    pub connections: u32,
    /// Time that a new connection takes.
    pub connect_us: u64,
    /// Reads in a hundred requests.
    pub reads_percent: u32,
    /// Freshness of the routes to even and odd databases.
    pub freshness: [&'static str; 2],
}

/// Bookings: mostly reads, of which those of two databases may be a second old.
pub const A: Deployment = Deployment {
    name: "A",
    domains: 4,
    link_us: 1_500,
    slots: 2,
    connections: 15,
    connect_us: 10_000,
    reads_percent: 90,
    freshness: ["age:1000", "session"],
};

/// Orders: many writes, and reads that are never stale.
pub const B: Deployment = Deployment {
    name: "B",
    domains: 3,
    link_us: 1_000,
    slots: 3,
    connections: 40,
    connect_us: 30_000,
    reads_percent: 60,
    freshness: ["session", "session"],
};

impl Deployment {
    /// Requests a second of the whole fleet: half of what the slots carry at 1 ms a request.
    pub fn load_per_s(&self) -> u64 {
        (GROUPS * MEMBERS) as u64 * u64::from(self.slots) * 1_000 / 2
    }

    /// Requests a second of one account.
    pub fn account_load(&self, account: usize) -> u64 {
        let (large, small) = (self.load_per_s() / 4, self.load_per_s() / 12);
        if account < 2 {
            large
        } else {
            small
        }
    }

    /// Rate limit of one account.
    pub fn rate(&self, account: usize) -> u64 {
        self.account_load(account) * RATE_PERCENT / 100
    }

    /// Failure domain of an endpoint, numbered over all groups.
    pub fn endpoint_domain(&self, endpoint: usize) -> usize {
        (endpoint / MEMBERS + endpoint % MEMBERS) % self.domains
    }
}

/// Name of an account.
pub fn account_name(account: usize) -> String {
    format!("account{account}")
}

/// Name of a database and its group.
pub fn group_name(group: usize) -> String {
    format!("db{group}")
}

/// Name of an endpoint.
pub fn endpoint_name(endpoint: usize) -> String {
    format!("db{}-{}", endpoint / MEMBERS, endpoint % MEMBERS)
}

/// The tables before any edit.
pub fn first(deployment: &Deployment) -> Tables {
    let pairs = (0..ACCOUNTS).flat_map(|account| (0..GROUPS).map(move |group| (account, group)));
    let mut tables = Tables {
        version: TableVersion(1),
        routes: pairs.map(|(account, group)| route(deployment, account, group)).collect(),
        pools: (0..GROUPS * MEMBERS).map(|endpoint| pool(deployment, endpoint)).collect(),
    };
    let mut rng = ChaCha20Rng::seed_from_u64(1);
    let owner = account_name(0).parse().expect("an account id");
    for label in ["spring", "summer"] {
        issue_key(&mut tables, &owner, label, &mut rng).expect("a key");
    }
    // The keys are never used to log in, so that one derivation serves all accounts.
    let keys = tables.routes[0].keys.clone();
    for route in &mut tables.routes {
        route.keys = keys.clone();
    }
    tables
}

fn route(deployment: &Deployment, account: usize, group: usize) -> RouteRow {
    let rate = deployment.rate(account);
    RouteRow {
        name: format!("{}-{}", account_name(account), group_name(group)).into(),
        database: group_name(group).into(),
        account: account_name(account).into(),
        keys: Vec::new(),
        rate_per_s: RatePerS(rate),
        burst: Burst(rate / 2),
        weight: Weight(1),
        pool: group_name(group).into(),
        freshness: deployment.freshness[group % 2].into(),
        max_wait_ms: DurationMs(4_000),
    }
}

fn pool(deployment: &Deployment, endpoint: usize) -> PoolRow {
    PoolRow {
        pool: group_name(endpoint / MEMBERS).into(),
        group: group_name(endpoint / MEMBERS).into(),
        endpoint: endpoint_name(endpoint).into(),
        address: format!("127.0.1.{}:5432", endpoint + 1).into(),
        failure_domain: format!("domain{}", deployment.endpoint_domain(endpoint)).into(),
        slots: Slots(deployment.slots),
        connections: ConnectionCount(deployment.connections),
        state: "active".into(),
    }
}

/// The same tables one version later, with a change.
pub fn edited(tables: &Tables, change: impl Fn(&mut RouteRow)) -> Tables {
    let mut tables = tables.clone();
    tables.version = tables.version.next();
    tables.routes.iter_mut().for_each(change);
    tables
}

/// Withdraws the first key of [`WITHDRAWN`].
pub fn withdraw(row: &mut RouteRow) {
    if row.account == account_name(WITHDRAWN) {
        row.keys.remove(0);
    }
}

/// The tables as hosts use them.
pub fn checked(tables: &Tables) -> Arc<CheckedTables> {
    Arc::new(tables.check().expect("the tables are valid"))
}
