//! `medlarstile load`: a bounded load generator for loopback targets.
//!
//! All connections are actors on one thread. Latencies are measured with the clock of the event
//! loop, so with many connections they include the time that the tool spends on the others.

mod connection;
mod report;
mod statement;

use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use compact_str::CompactString;
use medlarstile::auth::Secret;
use medlarstile::error::{Error, ErrorKind};
use medlarstile::net::reactor;
use stakker::{actor, after, call, fwd_to, ret_nop, ret_shutdown, ActorOwn, Fwd, StopCause, CX};

use connection::{Connection, ConnectionEvent, Target};
use report::Samples;
use statement::{Mode, Statement};

/// Time limit for opening all connections.
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit on connections that are being opened at the same time; below the usual backlog of a
/// listening socket.
const MAX_OPENING: usize = 32;

/// Output format of the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Lines of text.
    Text,
    /// One JSON object.
    Json,
}

/// Flags of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// IP address and port of a host or endpoint; only loopback addresses are allowed.
    #[arg(long)]
    pub target: SocketAddr,
    /// User to log in as; at a host, the client account.
    #[arg(long)]
    pub user: CompactString,
    /// Database to connect to.
    #[arg(long)]
    pub database: CompactString,
    /// Key of the client account, or password at an endpoint; better given by the variable.
    #[arg(long, env = "MEDLARSTILE_LOAD_PASSWORD", hide_env_values = true, default_value = "")]
    pub password: String,
    /// Number of connections that send statements.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(0..=4_096))]
    pub connections: u16,
    /// Duration of the run in seconds, from when all connections are open.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=600))]
    pub seconds: u16,
    /// Kind of statements to send.
    #[arg(long, value_enum, default_value_t = Mode::Read)]
    pub mode: Mode,
    /// Prepares the statements once per connection and executes them by name.
    #[arg(long)]
    pub prepared: bool,
    /// Number of further connections that are held open without sending statements.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=4_096))]
    pub idle: u16,
    /// Seed for the random choice of statements and rows.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Output format of the result.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Runs the load and prints its result.
///
/// # Errors
///
/// Fails if the target is not on loopback, there is no connection to open, the first connection is
/// lost before it is ready, not all connections open in time, or the result cannot be printed.
pub fn run(args: LoadArgs) -> Result<(), Error> {
    if !args.target.ip().is_loopback() {
        let detail = format!("--target is {}; only loopback addresses are allowed", args.target);
        return Err(Error::new(ErrorKind::BadSetting, detail));
    }
    reactor::run(|stakker| {
        let failed = ret_shutdown!(stakker);
        let run = actor!(stakker, LoadRun::init(args), failed);
        let deferrer = stakker.deferrer();
        let stop = Fwd::new(move |_signal| {
            deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
        });
        if let Err(error) = reactor::forward_signals(stakker, stop) {
            stakker.shutdown(StopCause::Failed(Box::new(error)));
        }
        run
    })
    .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
}

/// Owns the connections and collects their results. The first `active` connections send
/// statements, the others stay idle.
struct LoadRun {
    target: Rc<Target>,
    active: usize,
    total: usize,
    duration: Duration,
    seed: u64,
    format: Format,
    connections: Vec<ActorOwn<Connection>>,
    ready: usize,
    lost: usize,
    started: Option<Instant>,
    samples: Samples,
}

impl LoadRun {
    fn init(cx: CX![], args: LoadArgs) -> Option<Self> {
        let target = Target {
            address: args.target,
            user: args.user,
            database: args.database,
            password: Secret::new(args.password),
            mode: args.mode,
            prepared: args.prepared,
        };
        let mut run = Self {
            target: Rc::new(target),
            active: usize::from(args.connections),
            total: usize::from(args.connections) + usize::from(args.idle),
            duration: Duration::from_secs(u64::from(args.seconds)),
            seed: args.seed,
            format: args.format,
            connections: Vec::new(),
            ready: 0,
            lost: 0,
            started: None,
            samples: Samples::default(),
        };
        if run.total == 0 {
            cx.fail_string("--connections and --idle are both 0; there is no connection to open");
            return None;
        }
        // The first connection creates the table before the others open.
        let setup = if run.active > 0 { Statement::set_up_statements() } else { Vec::new() };
        run.open(cx, setup);
        after!(OPEN_TIMEOUT, [cx], check_open_timeout());
        Some(run)
    }

    fn open(&mut self, cx: CX![], setup: Vec<Statement>) {
        let seed = self.seed.wrapping_add(self.connections.len() as u64);
        let events = fwd_to!([cx], on_event() as (ConnectionEvent));
        let target = Rc::clone(&self.target);
        let connection = actor!(cx, Connection::init(target, setup, seed, events), ret_nop!());
        self.connections.push(connection);
    }

    fn on_event(&mut self, cx: CX![], event: ConnectionEvent) {
        match event {
            ConnectionEvent::Ready => self.on_ready(cx),
            ConnectionEvent::Done { latency, error } => self.samples.add(latency, error),
            ConnectionEvent::Lost { error, cause } => self.on_lost(cx, error, &cause),
        }
    }

    fn on_ready(&mut self, cx: CX![]) {
        self.ready += 1;
        self.open_more(cx);
        self.start_when_all_open(cx);
    }

    fn open_more(&mut self, cx: CX![]) {
        while self.connections.len() < self.total
            && self.connections.len() - self.ready - self.lost < MAX_OPENING
        {
            self.open(cx, Vec::new());
        }
    }

    fn start_when_all_open(&mut self, cx: CX![]) {
        if self.started.is_some() || self.ready + self.lost < self.total {
            return;
        }
        self.started = Some(cx.now());
        tracing::info!("load: {} connections are open", self.ready);
        if self.total > self.active {
            self.print(cx, &format!("open connections={}\n", self.ready));
        }
        for connection in self.connections.iter().take(self.active) {
            call!([connection], run());
        }
        after!(self.duration, [cx], finish());
    }

    fn on_lost(&mut self, cx: CX![], error: Option<CompactString>, cause: &str) {
        tracing::warn!("load: a connection was lost: {cause}");
        self.samples.add_error(error.unwrap_or_else(|| "lost".into()));
        self.lost += 1;
        if self.ready == 0 {
            cx.fail_string(format!("the first connection did not open: {cause}"));
        } else if self.started.is_some() {
            self.ready -= 1;
        } else {
            self.open_more(cx);
            self.start_when_all_open(cx);
        }
    }

    fn check_open_timeout(&mut self, cx: CX![]) {
        if self.started.is_none() {
            let (ready, total) = (self.ready, self.total);
            cx.fail_string(format!("only {ready} of {total} connections opened in 30 s"));
        }
    }

    fn finish(&mut self, cx: CX![]) {
        let Some(started) = self.started else { return };
        let elapsed = cx.now().saturating_duration_since(started);
        let report = self.samples.report(self.active, elapsed);
        let text = match self.format {
            Format::Text => report.to_string(),
            Format::Json => {
                serde_json::to_string(&report).expect("a report serializes to JSON") + "\n"
            }
        };
        self.print(cx, &text);
        cx.shutdown(StopCause::Stopped);
    }

    fn print(&self, cx: CX![], text: &str) {
        let mut stdout = std::io::stdout();
        if let Err(error) = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
            cx.fail_string(format!("standard output: {error}"));
        }
    }
}
