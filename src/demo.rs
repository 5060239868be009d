//! `medlarstile demo`: an emulated platform, three emulated endpoints and two hosts in one process,
//! to try the proxy.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use clap::Args;
use compact_str::CompactString;
use medlarstile::auth::Secret;
use medlarstile::commands::tables::issue_key;
use medlarstile::config::{HostArgs, Settings};
use medlarstile::core::store::{Commit, Transaction};
use medlarstile::error::{Error, ErrorKind};
use medlarstile::net::host::{HostNotice, Starter};
use medlarstile::net::platform::{PlatformClient, PlatformSettings};
use medlarstile::net::reactor;
use medlarstile::tables::{PoolRow, RouteRow, Tables};
use medlarstile::types::{
    AccountId, AttemptId, Burst, ConnectionCount, DurationMs, EndpointId, RatePerS, RowVersion,
    Slots, TableVersion, Weight,
};
use medlarstile::wire::tables::{write_config, Config};
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;
use stakker::{actor_new, call, ActorOwn, Cx, Fwd, Stakker, StopCause, CX};

use crate::emulator::endpoint::{Bound, Credentials, EndpointServer, EndpointSettings, MemberSpec};
use crate::emulator::platform;

/// Ids of the endpoints of the group; the first one is the primary of the first term.
const ENDPOINTS: [&str; 3] = ["a", "b", "c"];
/// Ids of the hosts of the fleet.
const HOSTS: [&str; 2] = ["h1", "h2"];
/// User with which the hosts log in at the endpoints.
const ENDPOINT_USER: &str = "proxy";
/// Password of that user. It may stand in the source because the endpoints listen on loopback only.
const ENDPOINT_PASSWORD: &str = "proxy-password";
/// Replication lag; long enough that a session reading its own write from a replica has to wait
/// until the replica has applied it.
const LAG_MS: DurationMs = DurationMs(20);
/// Database of the open route, which needs no key.
const OPEN_DATABASE: &str = "demo";
/// Database of the keyed route, which only its client account may use.
const KEYED_DATABASE: &str = "orders";
/// Client account of the keyed route.
const KEYED_ACCOUNT: &str = "north-depot";

/// Flags of `demo`.
#[derive(Debug, Args)]
pub struct DemoArgs {
    /// Port of the first host; the second host takes the next port and the platform the one after
    /// it. Port 0 lets the system choose all three.
    #[arg(long, default_value_t = 6432)]
    pub port: u16,
}

/// Runs the demonstration until SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails if a port is in use, a setting is invalid, or an actor failed.
pub fn run(args: &DemoArgs) -> Result<(), Error> {
    let address = |offset| loopback(if args.port == 0 { 0 } else { args.port + offset });
    let platform = platform::start(address(2))?;
    let group = (0..ENDPOINTS.len())
        .map(|_| Bound::bind(loopback(0), loopback(0), loopback(0)))
        .collect::<Result<Vec<_>, _>>()
        .map_err(internal_error)?;
    let members = member_specs(&group).map_err(internal_error)?;
    let key = store_tables(platform, &members)?;
    let settings = (0..).zip(HOSTS).map(|(n, host)| host_settings(host, address(n), platform));
    let settings = settings.collect::<Result<Vec<_>, _>>()?;
    reactor::run(|stakker| {
        let endpoints = start_endpoints(stakker, group, &members);
        let demo = actor_new!(stakker, Demo, stakker::ret_shutdown!(stakker));
        call!([demo], Demo::init(settings, platform, key));
        if let Err(error) = shut_down_on_signal(stakker) {
            stakker.shutdown(StopCause::Failed(Box::new(error)));
        }
        (endpoints, demo)
    })
    .map_err(internal_error)
}

fn internal_error(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, error.to_string())
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn shut_down_on_signal(stakker: &mut Stakker) -> std::io::Result<()> {
    let deferrer = stakker.deferrer();
    let stop = Fwd::new(move |_signal| {
        deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
    });
    reactor::forward_signals(stakker, stop)
}

fn member_specs(group: &[Bound]) -> std::io::Result<Vec<MemberSpec>> {
    let members = ENDPOINTS.iter().zip(group).map(|(id, sockets)| {
        Ok(MemberSpec {
            id: endpoint_id(id),
            postgres: address_text(&sockets.postgres)?,
            replication: address_text(&sockets.replication)?,
        })
    });
    members.collect()
}

fn address_text(socket: &TcpListener) -> std::io::Result<CompactString> {
    Ok(socket.local_addr()?.to_string().into())
}

fn endpoint_id(id: &str) -> EndpointId {
    id.parse().expect("the endpoint ids of the demonstration are valid")
}

fn start_endpoints(
    stakker: &mut Stakker,
    group: Vec<Bound>,
    members: &[MemberSpec],
) -> Vec<ActorOwn<EndpointServer>> {
    let start = |(seed, (sockets, member)): (u64, (Bound, &MemberSpec))| {
        let settings = EndpointSettings {
            id: member.id.clone(),
            credentials: Credentials {
                user: ENDPOINT_USER.into(),
                password: ENDPOINT_PASSWORD.into(),
            },
            members: members.to_vec(),
            primary: Some(endpoint_id(ENDPOINTS[0])),
            slots: 2,
            max_connections: 15,
            accept_delay: DurationMs(0),
            service: std::time::Duration::ZERO,
            lag: LAG_MS,
            seed,
        };
        EndpointServer::start(stakker, settings, sockets)
    };
    (1..).zip(group.into_iter().zip(members)).map(start).collect()
}

fn host_settings(host: &str, listen: SocketAddr, platform: SocketAddr) -> Result<Settings, Error> {
    let args = HostArgs {
        host_id: Some(host.to_owned()),
        failure_domain: Some("fd1".to_owned()),
        listen: Some(listen.to_string()),
        peer_listen: Some(loopback(0).to_string()),
        platform: Some(platform.to_string()),
        endpoint_user: Some(ENDPOINT_USER.to_owned()),
        endpoint_password: Some(Secret::new(ENDPOINT_PASSWORD)),
        fleet_secret: Some(Secret::new("secret of the demonstration")),
        ..HostArgs::default()
    };
    Settings::check(&args).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Error::new(ErrorKind::BadSetting, lines.join("\n"))
    })
}

/// Writes the first version of the tables to the platform and returns the key of the keyed route.
fn store_tables(platform: SocketAddr, members: &[MemberSpec]) -> Result<String, Error> {
    let mut tables = Tables {
        version: TableVersion(1),
        routes: vec![
            route("open", OPEN_DATABASE, "*"),
            route("keyed", KEYED_DATABASE, KEYED_ACCOUNT),
        ],
        pools: members.iter().map(pool).collect(),
    };
    let account: AccountId = KEYED_ACCOUNT.parse().map_err(internal_error)?;
    let key = issue_key(&mut tables, &account, "demo", &mut ChaCha20Rng::from_os_rng())?;
    let config = Config { tables, editor: "demo".into(), attempt: AttemptId(1) };
    let text = write_config(&config).map_err(internal_error)?;
    let value = serde_json::from_str(&text).map_err(internal_error)?;
    let (table, row) = ("config".parse(), "current".parse());
    let (table, row) = (table.map_err(internal_error)?, row.map_err(internal_error)?);
    let client = "demo".parse().map_err(internal_error)?;
    let client = PlatformClient::new(PlatformSettings::new(platform, client));
    let swap = Transaction::swap(table, row, RowVersion(0), Some(value));
    match client.transact(swap).map_err(internal_error)? {
        Commit::Committed(_) => Ok(key.key.expose().to_owned()),
        Commit::Conflicts(_) => Err(internal_error("the emulated platform already has tables")),
    }
}

fn route(name: &str, database: &str, account: &str) -> RouteRow {
    RouteRow {
        name: name.into(),
        database: database.into(),
        account: account.into(),
        keys: Vec::new(),
        rate_per_s: RatePerS(1_000),
        burst: Burst(2_000),
        weight: Weight(1),
        pool: "demo".into(),
        freshness: "session".into(),
        max_wait_ms: DurationMs(5_000),
    }
}

fn pool(member: &MemberSpec) -> PoolRow {
    PoolRow {
        pool: "demo".into(),
        group: "demo".into(),
        endpoint: member.id.as_str().into(),
        address: member.postgres.clone(),
        failure_domain: "fd1".into(),
        slots: Slots(2),
        connections: ConnectionCount(15),
        state: "active".into(),
    }
}

/// Owns the hosts and prints their addresses once both accept callers.
struct Demo {
    hosts: Vec<ActorOwn<Starter>>,
    caller_addresses: [Option<SocketAddr>; HOSTS.len()],
    platform: SocketAddr,
    key: String,
}

impl Demo {
    fn init(cx: CX![], settings: Vec<Settings>, platform: SocketAddr, key: String) -> Option<Self> {
        let this = cx.this().clone();
        let deferrer = cx.deferrer();
        for (index, settings) in settings.into_iter().enumerate() {
            let this = this.clone();
            // Deferred to the event loop, because `Starter::start` has to be called from there.
            let start = move |stakker: &mut Stakker| {
                let demo = this.clone();
                let notify = Fwd::new(move |notice| call!([demo], on_notice(index, notice)));
                let host = Starter::start(stakker, settings, None, notify);
                call!([this], keep_host(host));
            };
            deferrer.defer(start);
        }
        Some(Self { hosts: Vec::new(), caller_addresses: [None; HOSTS.len()], platform, key })
    }

    fn keep_host(&mut self, _: CX![], host: ActorOwn<Starter>) {
        self.hosts.push(host);
    }

    fn on_notice(&mut self, cx: CX![], index: usize, notice: HostNotice) {
        match notice {
            HostNotice::Listening(address) => {
                self.caller_addresses[index] = Some(address);
                if let [Some(first), Some(second)] = self.caller_addresses {
                    self.print_addresses(cx, first, second);
                }
            }
            HostNotice::Stopped => {}
            HostNotice::Failed(detail) => cx.fail_string(detail),
        }
    }

    fn print_addresses(&self, cx: &mut Cx<'_, Self>, first: SocketAddr, second: SocketAddr) {
        let connect = |address: SocketAddr, database: &str, user: &str| {
            let (ip, port) = (address.ip(), address.port());
            format!("psql 'host={ip} port={port} dbname={database} user={user}'")
        };
        let text = format!(
            "platform:    {}\nhost h1:     {first}\nhost h2:     {second}\n\
             key:         {}\n\
             open route:  {}\nkeyed route: PGPASSWORD={} {}\nready; Ctrl-C ends the demonstration\n",
            self.platform,
            self.key,
            connect(first, OPEN_DATABASE, "anyone"),
            self.key,
            connect(second, KEYED_DATABASE, KEYED_ACCOUNT),
        );
        let mut stdout = std::io::stdout();
        if let Err(error) = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
            cx.fail_string(format!("standard output: {error}"));
        }
    }
}
