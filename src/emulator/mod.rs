//! Emulators of the systems around the proxy, for tests, the demonstration and load runs.

pub mod endpoint;
pub mod platform;

use clap::{Args, Subcommand};
use medlarstile::error::{Error, ErrorKind};

/// Flags of `emulate`.
#[derive(Debug, Args)]
pub struct EmulateArgs {
    /// What to emulate.
    #[command(subcommand)]
    pub system: System,
}

/// An outside system.
#[derive(Debug, Subcommand)]
pub enum System {
    /// The platform: table service, object store and host list over HTTP.
    Platform(platform::PlatformArgs),
    /// A database endpoint of a group.
    Endpoint(Box<endpoint::EndpointArgs>),
}

/// Runs the emulator until the process is told to stop.
///
/// # Errors
///
/// The emulator cannot start, or failed.
pub fn run(args: EmulateArgs) -> Result<(), Error> {
    match args.system {
        System::Platform(args) => platform::run(&args),
        System::Endpoint(args) => {
            endpoint::run(*args).map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
        }
    }
}
