//! Every command and flag.

use clap::{Parser, Subcommand};
use medlarstile::error::Error;

use crate::emulator;

/// PostgreSQL proxy with session consistency.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// A command of the binary.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs an emulator of an outside system, for tests and demonstrations.
    Emulate(emulator::EmulateArgs),
}

/// Runs the command.
///
/// # Errors
///
/// The command failed; the kind of the error gives the exit code.
pub fn run(cli: Cli) -> Result<(), Error> {
    match cli.command {
        Command::Emulate(args) => emulator::run(args),
    }
}
