//! Every command and flag.

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
    /// Logs.
    #[command(flatten)]
    pub log: LogArgs,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// A command of the binary.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs one host of the proxy.
    Host(Box<HostArgs>),
    /// Runs one host of the proxy on the platform of its users.
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
    /// Runs platform, endpoints and two hosts in this process, to try the proxy out.
    Demo(demo::DemoArgs),
    /// Sends statements to a host or an endpoint on loopback and measures the answers.
    Load(load::LoadArgs),
    /// Runs an emulator of an outside system, for tests and demonstrations.
    Emulate(emulator::EmulateArgs),
}

/// Runs the command.
///
/// # Errors
///
/// The command failed; the kind of the error gives the exit code.
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
