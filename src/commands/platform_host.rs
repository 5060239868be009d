//! `medlarstile platform-host`: runs one host on the users' platform until it receives a
//! stop signal.

use std::path::PathBuf;

use clap::Args;
use stakker::{actor, call, ret_nop, Actor, ActorOwn, Fwd, Stakker, StopCause};

use crate::charts;
use crate::error::{Error, ErrorKind};
use crate::net::host::HostNotice;
use crate::net::proxy::host::ProxyHost;
use crate::net::reactor::{self, Signal};
use crate::platform::settings::{PlatformSettings, FILE_VARIABLE};
use crate::types::{DurationMs, Incarnation};

/// Default port of the metrics page; must match the port in `deploy/system.toml`.
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
    /// Milliseconds that a read must save to leave the failure domain of its host; without it, the
    /// measured difference between the distances
    #[arg(long, env = "MEDLARSTILE_CROSSING_MS")]
    pub crossing_ms: Option<u64>,
}

impl PlatformHostArgs {
    fn settings(&self) -> Result<PlatformSettings, Error> {
        let mut settings = PlatformSettings::read(&self.settings, self.metrics_port)?;
        settings.margins.crossing_saving_ms = self.crossing_ms.map(DurationMs);
        Ok(settings)
    }
}

/// Checks the settings and runs the host.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or the error that stopped the host.
pub fn run(args: &PlatformHostArgs) -> Result<(), Error> {
    charts::check()?;
    let settings = args.settings()?;
    // The start time is the incarnation: a later run has a higher number, so that the other hosts
    // can distinguish it from the previous run.
    let started_us = reactor::wall_clock().as_micros();
    let incarnation = Incarnation(u64::try_from(started_us).unwrap_or(u64::MAX));
    // This span adds the host and its incarnation to every log line of the process.
    let host = settings.host.clone();
    let span = tracing::info_span!("host", host = host.as_str(), incarnation = incarnation.0);
    let _entered = span.enter();
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
    let host_actor: Actor<ProxyHost> = Actor::clone(&host);
    let on_signal = Fwd::new(move |signal: Signal| match signal {
        Signal::Hangup => match args.settings() {
            Ok(settings) => call!([host_actor], reload(settings)),
            Err(error) => {
                tracing::warn!(%error, "host: cannot reload the settings; keeping the old ones");
            }
        },
        Signal::Interrupt | Signal::Terminate => {
            tracing::info!(?signal, "host: signal received, stopping");
            call!([host_actor], stop());
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
