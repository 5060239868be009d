//! An emulated PostgreSQL endpoint of a replicated group.
//!
//! Follows the assumptions 1 to 8 of section 6 of `docs/design.md`. [`EndpointServer`] is the actor
//! of one endpoint; several can run in one process. [`connection`] and [`peer`] own the sockets of
//! clients and of other endpoints, [`control_port`] documents the faults. [`database`], [`member`],
//! [`slots`], [`session`] and [`sql`] decide without sockets or clocks.

use std::error::Error;
use std::fmt;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use clap::Args;
use medlarstile::net::reactor;
use medlarstile::types::{DurationMs, EndpointId};
use stakker::{ActorOwn, Core, Fwd, Stakker, StopCause};

mod answer;
mod connection;
mod control_port;
mod database;
mod error;
mod fault;
mod listener;
mod log;
mod login;
mod member;
mod peer;
mod role;
mod server;
mod session;
mod slots;
mod socket;
mod sql;
mod status;
mod store;
mod value;

pub use connection::Credentials;
pub use member::MemberSpec;
pub use server::EndpointServer;

/// Arguments of `emulate endpoint`.
#[derive(Debug, Args)]
pub struct EndpointArgs {
    /// Id of this endpoint in its group.
    #[arg(long)]
    pub id: EndpointId,
    /// Address of the PostgreSQL port; port 0 lets the system choose.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub postgres: SocketAddr,
    /// Address of the replication port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub replication: SocketAddr,
    /// Address of the control port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    /// A member of the group, this endpoint included: ID=POSTGRES_ADDRESS=REPLICATION_ADDRESS.
    #[arg(long = "member")]
    pub members: Vec<MemberSpec>,
    /// Primary of the first term; without it the endpoint waits for its group on the control port.
    #[arg(long)]
    pub primary: Option<EndpointId>,
    /// User that may log in.
    #[arg(long, default_value = "proxy")]
    pub user: String,
    /// Password of the user, checked in clear text.
    #[arg(long, env = "MEDLARSTILE_ENDPOINT_PASSWORD", default_value = "proxy-password")]
    pub password: String,
    /// Statements that run at the same time.
    #[arg(long, default_value_t = 2)]
    pub slots: usize,
    /// Connections before 53300.
    #[arg(long, default_value_t = 15)]
    pub max_connections: usize,
    /// Time before AuthenticationOk, in milliseconds.
    #[arg(long, default_value = "0")]
    pub accept_delay_ms: Millis,
    /// Time that a statement occupies its slot, in microseconds.
    #[arg(long, default_value_t = 0)]
    pub service_time_us: u64,
    /// Replication lag as a replica, in milliseconds.
    #[arg(long, default_value = "0")]
    pub lag_ms: Millis,
    /// Seed of the secrets for cancel requests.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// A duration in milliseconds as a bare number on the command line.
#[derive(Debug, Clone, Copy, derive_more::FromStr)]
pub struct Millis(u64);

/// Settings of one endpoint.
pub struct EndpointSettings {
    /// Id in the group.
    pub id: EndpointId,
    /// Accepted login.
    pub credentials: Credentials,
    /// Members of the group.
    pub members: Vec<MemberSpec>,
    /// Primary of the first term.
    pub primary: Option<EndpointId>,
    /// Statements that run at the same time.
    pub slots: usize,
    /// Connections before 53300.
    pub max_connections: usize,
    /// Time before AuthenticationOk.
    pub accept_delay: DurationMs,
    /// Time that a statement occupies its slot.
    pub service: Duration,
    /// Replication lag as a replica.
    pub lag: DurationMs,
    /// Seed of the secrets for cancel requests.
    pub seed: u64,
}

/// The listening sockets of one endpoint.
pub struct Bound {
    /// For clients.
    pub postgres: TcpListener,
    /// For other endpoints.
    pub replication: TcpListener,
    /// For tests.
    pub control: TcpListener,
}

impl Bound {
    /// Binds the sockets, so that their addresses are known before the endpoint starts.
    ///
    /// # Errors
    ///
    /// An address is in use or not local.
    pub fn bind(
        postgres: SocketAddr,
        replication: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<Self> {
        Ok(Self {
            postgres: TcpListener::bind(postgres)?,
            replication: TcpListener::bind(replication)?,
            control: TcpListener::bind(control)?,
        })
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = |socket: &TcpListener| socket.local_addr().map_err(|_| fmt::Error);
        let (postgres, control) = (address(&self.postgres)?, address(&self.control)?);
        let replication = address(&self.replication)?;
        write!(f, "listening postgres={postgres} control={control} replication={replication}")
    }
}

impl From<EndpointArgs> for EndpointSettings {
    fn from(args: EndpointArgs) -> Self {
        Self {
            id: args.id,
            credentials: Credentials { user: args.user, password: args.password },
            members: args.members,
            primary: args.primary,
            slots: args.slots,
            max_connections: args.max_connections,
            accept_delay: DurationMs(args.accept_delay_ms.0),
            service: Duration::from_micros(args.service_time_us),
            lag: DurationMs(args.lag_ms.0),
            seed: args.seed,
        }
    }
}

/// Runs one endpoint until SIGTERM or SIGINT.
///
/// # Errors
///
/// An address cannot be bound, or the event loop failed.
pub fn run(args: EndpointArgs) -> Result<(), Box<dyn Error>> {
    let sockets = Bound::bind(args.postgres, args.replication, args.control)?;
    let mut stdout = io::stdout();
    writeln!(stdout, "{sockets}")?;
    stdout.flush()?;
    reactor::run(|stakker| start(stakker, args.into(), sockets))?;
    Ok(())
}

fn start(
    stakker: &mut Stakker,
    settings: EndpointSettings,
    sockets: Bound,
) -> ActorOwn<EndpointServer> {
    let deferrer = stakker.deferrer();
    let stop = Fwd::new(move |_signal| {
        deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
    });
    if let Err(error) = reactor::forward_signals(stakker, stop) {
        let core: &mut Core = stakker;
        core.shutdown(StopCause::Failed(Box::new(error)));
    }
    EndpointServer::start(stakker, settings, sockets)
}
