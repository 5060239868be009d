//! Command line of the binary.

use std::error::Error;

use clap::{Parser, Subcommand};

use crate::emulator::EmulateArgs;

/// A PostgreSQL proxy with session consistency.
#[derive(Debug, Parser)]
#[command(name = "medlarstile", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the binary.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an emulator of an outside system.
    Emulate(EmulateArgs),
}

impl Cli {
    /// Carries the command out.
    ///
    /// # Errors
    ///
    /// Whatever ended the command early.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self.command {
            Command::Emulate(args) => args.run(),
        }
    }
}
