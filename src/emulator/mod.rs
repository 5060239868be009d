//! Emulators of the systems around the proxy, for tests, the demonstration and load runs.

use std::error::Error;

use clap::{Args, Subcommand};

pub mod endpoint;

/// Arguments of `emulate`.
#[derive(Debug, Args)]
pub struct EmulateArgs {
    /// Which system to emulate.
    #[command(subcommand)]
    pub system: System,
}

/// The systems that can be emulated.
#[derive(Debug, Subcommand)]
pub enum System {
    /// A database endpoint of a group.
    Endpoint(endpoint::EndpointArgs),
}

impl EmulateArgs {
    /// Runs the emulator until the process is told to stop.
    ///
    /// # Errors
    ///
    /// The emulator could not start, or failed.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self.system {
            System::Endpoint(args) => endpoint::run(args),
        }
    }
}
