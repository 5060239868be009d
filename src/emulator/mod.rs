//! Emulators of the systems that the proxy depends on, for tests, the demo and load tests.

pub mod endpoint;
pub mod platform;

use clap::{Args, Subcommand};
use medlarstile::error::{Error, ErrorKind};

/// Command-line arguments of `emulate`.
#[derive(Debug, Args)]
pub struct EmulateArgs {
    /// System to emulate.
    #[command(subcommand)]
    pub system: System,
}

/// An external system that can be emulated.
#[derive(Debug, Subcommand)]
pub enum System {
    /// Emulate the platform: table service, object store and host list over HTTP.
    Platform(platform::PlatformArgs),
    /// Emulate one database endpoint of a group.
    Endpoint(Box<endpoint::EndpointArgs>),
}

/// Runs the selected emulator until the process receives a termination signal.
///
/// # Errors
///
/// Returns an error if the emulator cannot start or fails while it runs.
pub fn run(args: EmulateArgs) -> Result<(), Error> {
    match args.system {
        System::Platform(args) => platform::run(&args),
        System::Endpoint(args) => {
            endpoint::run(*args).map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
        }
    }
}
