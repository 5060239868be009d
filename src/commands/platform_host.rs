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
use crate::types::Incarnation;

/// Port of the metrics page unless a flag says otherwise; `deploy/system.toml` names it too.
const DEFAULT_METRICS_PORT: u16 = 9_464;

/// Flags of a host on the platform.
#[derive(Debug, Clone, Args)]
pub struct PlatformHostArgs {
    /// Settings file that the platform writes.
    #[arg(long, env = FILE_VARIABLE)]
    pub settings: PathBuf,
    /// Port of the metrics page, at the host's own address.
    #[arg(long, env = "MEDLARSTILE_METRICS_PORT", default_value_t = DEFAULT_METRICS_PORT)]
    pub metrics_port: u16,
}

/// Checks the settings and runs the host.
///
/// # Errors
///
/// What is wrong with the settings, or what ended the host early.
pub fn run(args: &PlatformHostArgs) -> Result<(), Error> {
    charts::check()?;
    let settings = PlatformSettings::read(&args.settings, args.metrics_port)?;
    // A later run has a higher number, by which the other hosts tell it from the one before.
    let started_us = reactor::wall_clock().as_micros();
    let incarnation = Incarnation(u64::try_from(started_us).unwrap_or(u64::MAX));
    // Every line of this process names the host and the run.
    let host = settings.host.clone();
    let line = tracing::info_span!("host", host = host.as_str(), incarnation = incarnation.0);
    let _entered = line.enter();
    reactor::run(|stakker| start(stakker, args.clone(), settings, incarnation))
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
}

fn start(
    stakker: &mut Stakker,
    args: PlatformHostArgs,
    settings: PlatformSettings,
    incarnation: Incarnation,
) -> ActorOwn<ProxyHost> {
    let deferrer = stakker.deferrer();
    let notify = Fwd::new(move |notice| {
        deferrer.defer(move |stakker| on_notice(stakker, notice));
    });
    let host = actor!(stakker, ProxyHost::init(settings, incarnation, notify), ret_nop!());
    let stopped: Actor<ProxyHost> = Actor::clone(&host);
    let on_signal = Fwd::new(move |signal: Signal| match signal {
        Signal::Hangup => match PlatformSettings::read(&args.settings, args.metrics_port) {
            Ok(settings) => call!([stopped], reload(settings)),
            Err(error) => {
                tracing::warn!(%error, "host: settings cannot be read again; the old ones stay");
            }
        },
        Signal::Interrupt | Signal::Terminate => {
            tracing::info!(?signal, "host: signal received, stopping");
            call!([stopped], stop());
        }
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
