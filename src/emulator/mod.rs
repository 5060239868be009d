//! Emulators of the outside systems that a host talks to.

pub mod platform;

use clap::{Args, Subcommand};
use medlarstile::error::Error;

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
}

/// Runs the emulator until the process is told to stop.
///
/// # Errors
///
/// The emulator cannot listen.
pub fn run(args: EmulateArgs) -> Result<(), Error> {
    match args.system {
        System::Platform(args) => platform::run(&args),
    }
}
