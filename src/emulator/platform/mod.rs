//! Emulator of the platform: table service, object store and delayed host list over HTTP.
//!
//! Section 6 of `docs/design.md` specifies the interface. A client names itself in the header
//! `x-client` or the query parameter `client`. Two further routes control the emulator:
//! `POST /control` changes the injected faults ([`control::ControlBody`] documents the members),
//! and `GET /control` reports the faults, the counters by client and the latest commit.
//!
//! Several threads read requests, one thread owns the state and one writes responses; a delayed
//! or large response is written by a separate thread. The threads communicate over channels.

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

/// Command-line arguments of `emulate platform`.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Address to listen on; port 0 selects any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

/// Runs the emulator until SIGTERM or SIGINT.
///
/// Prints `listening platform=IP:PORT` to standard output once the socket is open.
///
/// # Errors
///
/// Returns an error if the emulator cannot listen on the address, install the signal handlers or
/// write to standard output.
pub fn run(args: &PlatformArgs) -> Result<(), Error> {
    let internal_error = |error: std::io::Error| Error::new(ErrorKind::Internal, error.to_string());
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(internal_error)?;
    let address = start(args.listen)?;
    let mut stdout = std::io::stdout();
    writeln!(stdout, "listening platform={address}").map_err(internal_error)?;
    stdout.flush().map_err(internal_error)?;
    signals.forever().next();
    Ok(())
}

/// Starts the emulator on threads of this process and returns the address it listens on.
///
/// # Errors
///
/// Returns an error if the emulator cannot listen on the address.
pub fn start(listen: SocketAddr) -> Result<SocketAddr, Error> {
    let setting_error = |detail: String| Error::new(ErrorKind::BadSetting, detail);
    let server = tiny_http::Server::http(listen)
        .map_err(|error| setting_error(format!("cannot listen on {listen}: {error}")))?;
    let address = server.server_addr().to_ip();
    let address = address.ok_or_else(|| setting_error(format!("{listen} is not an IP address")))?;
    let replies = http::start_writer();
    let state = service::start(replies.clone());
    http::start_readers(server, &state, &replies);
    Ok(address)
}
