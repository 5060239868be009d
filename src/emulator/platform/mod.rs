//! Emulator of the platform: table service, object store and lagging host list over HTTP.
//!
//! The interface is the one of section 6 of `docs/design.md`. A call names its client in the
//! header `x-client` or the query parameter `client`. Two more paths control the emulator:
//! `POST /control` changes faults ([`control::ControlBody`] documents the members) and
//! `GET /control` reports faults, counters by client and the latest commit.
//!
//! Threads: several read calls from sockets, one owns the state, one writes answers; an answer
//! that is delayed or large is written by a thread of its own. They talk over channels.

mod control;
mod hostlist;
mod http;
mod request;
mod service;
mod state;
mod store;

use std::io::Write;
use std::net::SocketAddr;

use clap::Args;
use medlarstile::error::{Error, ErrorKind};
use signal_hook::consts::{SIGINT, SIGTERM};

/// Flags of `emulate platform`.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Address to listen on; port 0 takes any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

/// Runs the emulator until SIGTERM or SIGINT and prints `listening platform=IP:PORT`.
///
/// # Errors
///
/// The address is not free.
pub fn run(args: &PlatformArgs) -> Result<(), Error> {
    let internal = |error: std::io::Error| Error::new(ErrorKind::Internal, error.to_string());
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(internal)?;
    let address = start(args.listen)?;
    let mut stdout = std::io::stdout();
    writeln!(stdout, "listening platform={address}").map_err(internal)?;
    stdout.flush().map_err(internal)?;
    signals.forever().next();
    Ok(())
}

/// Starts the emulator on threads of this process and returns the address it listens on.
///
/// # Errors
///
/// The address is not free.
pub fn start(listen: SocketAddr) -> Result<SocketAddr, Error> {
    let setting = |detail: String| Error::new(ErrorKind::BadSetting, detail);
    let server = tiny_http::Server::http(listen)
        .map_err(|error| setting(format!("cannot listen on {listen}: {error}")))?;
    let address = server.server_addr().to_ip();
    let address = address.ok_or_else(|| setting(format!("{listen} is not an IP address")))?;
    let answers = http::start_writer();
    let state = service::start(answers.clone());
    http::start_readers(server, &state, &answers);
    Ok(address)
}
