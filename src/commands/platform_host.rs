//! `medlarstile platform-host`: runs one host on the users' platform until it is told to stop.

use std::path::PathBuf;

use clap::Args;
use stakker::{actor, call, ret_nop, Actor, ActorOwn, Fwd, Stakker, StopCause};

use crate::charts;
use crate::error::{Error, ErrorKind};
use crate::net::host::HostNotice;
use crate::net::proxy::host::ProxyHost;
use crate::net::reactor::{self, Signal};
use crate::platform::settings::{PlatformSettings, FILE_VARIABLE};

/// Flags of a host on the platform.
#[derive(Debug, Clone, Args)]
pub struct PlatformHostArgs {
    /// Settings file that the platform writes.
    #[arg(long, env = FILE_VARIABLE)]
    pub settings: PathBuf,
}

/// Checks the settings and runs the host.
///
/// # Errors
///
/// What is wrong with the settings, or what ended the host early.
pub fn run(args: &PlatformHostArgs) -> Result<(), Error> {
    charts::check()?;
    let settings = PlatformSettings::read(&args.settings)?;
    reactor::run(|stakker| start(stakker, settings))
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
}

fn start(stakker: &mut Stakker, settings: PlatformSettings) -> ActorOwn<ProxyHost> {
    let deferrer = stakker.deferrer();
    let notify = Fwd::new(move |notice| {
        deferrer.defer(move |stakker| on_notice(stakker, notice));
    });
    let host = actor!(stakker, ProxyHost::init(settings, notify), ret_nop!());
    let stopped: Actor<ProxyHost> = Actor::clone(&host);
    let on_signal = Fwd::new(move |signal: Signal| {
        tracing::info!(?signal, "host: signal received, stopping");
        call!([stopped], stop());
    });
    if let Err(error) = reactor::forward_signals(stakker, on_signal) {
        stakker.shutdown(StopCause::Failed(Box::new(error)));
    }
    host
}

fn on_notice(stakker: &mut Stakker, notice: HostNotice) {
    match notice {
        HostNotice::Listening(address) => tracing::info!(%address, "host: callers are accepted"),
        HostNotice::Stopped => {
            tracing::info!("host: stopped");
            stakker.shutdown(StopCause::Stopped);
        }
        HostNotice::Failed(detail) => {
            let error = Error::new(ErrorKind::Internal, detail);
            stakker.shutdown(StopCause::Failed(Box::new(error)));
        }
    }
}
