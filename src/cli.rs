//! Command line: the global flags and the dispatch of commands.

use clap::{Parser, Subcommand};
use medlarstile::commands::args::{
    ChartsCommand, HostsCommand, KeyCommand, StatusArgs, TablesCommand,
};
use medlarstile::commands::{self, fleet, tables_file};
use medlarstile::config::HostArgs;
use medlarstile::error::Error;
use medlarstile::logs::{self, LogArgs};

use crate::{demo, emulator, load};

/// PostgreSQL proxy with session consistency.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Log settings.
    #[command(flatten)]
    pub log: LogArgs,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Command of the binary.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs one host of the proxy.
    Host(Box<HostArgs>),
    /// Runs one host of the proxy on the users' platform, until it is told to stop.
    PlatformHost(commands::platform_host::PlatformHostArgs),
    /// Checks, shows, compares and edits the routes and pools tables.
    #[command(subcommand)]
    Tables(TablesCommand),
    /// Issues and withdraws keys of client accounts.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Shows hosts, share slots and database groups of the fleet.
    Status(StatusArgs),
    /// Commands for the hosts of the fleet.
    #[command(subcommand)]
    Hosts(HostsCommand),
    /// Commands for the state charts.
    #[command(subcommand)]
    Charts(ChartsCommand),
    /// Prints the decisions that the hosts recorded, in causal order.
    Timeline(commands::timeline::TimelineArgs),
    /// Prints the decisions behind a request, session, group or endpoint, from log files.
    Explain(commands::explain::ExplainArgs),
    /// Runs emulated platform and endpoints with two hosts in one process, to try the proxy.
    Demo(demo::DemoArgs),
    /// Sends statements to a host or an endpoint on loopback and measures throughput and latency.
    Load(load::LoadArgs),
    /// Runs an emulator of an external system, for tests and demonstrations.
    Emulate(emulator::EmulateArgs),
}

/// Starts logging and runs the command.
///
/// # Errors
///
/// Returns the error of the command; its kind determines the exit code.
pub fn run(cli: Cli) -> Result<(), Error> {
    let _writer = logs::start(&cli.log)?;
    match cli.command {
        Command::Host(args) => commands::host::run(&args),
        Command::PlatformHost(args) => commands::platform_host::run(&args),
        Command::Tables(command) => tables_file::run_tables(&command),
        Command::Key(command) => tables_file::run_key(&command),
        Command::Status(args) => fleet::status(&args),
        Command::Hosts(command) => fleet::run_hosts(&command),
        Command::Charts(ChartsCommand::Draw { out }) => commands::charts::draw(&out),
        Command::Timeline(args) => commands::timeline::run(&args),
        Command::Explain(args) => commands::explain::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Load(args) => load::run(args),
        Command::Emulate(args) => emulator::run(args),
    }
}
