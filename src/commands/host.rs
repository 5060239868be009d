//! `medlarstile host`: runs one host until it receives a stop signal.

use std::fs::File;
use std::io::{BufReader, Write};
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::ServerConfig;
use stakker::{call, Actor, ActorOwn, Fwd, Stakker, StopCause};

use crate::charts;
use crate::config::{HostArgs, Settings, TlsFiles};
use crate::error::{Error, ErrorKind};
use crate::net::host::{HostNotice, Starter};
use crate::net::reactor::{self, Signal};

/// Checks the settings and runs the host.
///
/// # Errors
///
/// Returns all errors of the settings together, or the error that stopped the host.
pub fn run(args: &HostArgs) -> Result<(), Error> {
    charts::check()?;
    let settings = Settings::check(args).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Error::new(ErrorKind::BadSetting, lines.join("\n"))
    })?;
    let tls = settings.tls.as_ref().map(load_tls).transpose()?;
    reactor::run(|stakker| start(stakker, settings, tls))
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
}

fn start(
    stakker: &mut Stakker,
    settings: Settings,
    tls: Option<Arc<ServerConfig>>,
) -> ActorOwn<Starter> {
    let deferrer = stakker.deferrer();
    let notify = Fwd::new(move |notice| {
        deferrer.defer(move |stakker| on_notice(stakker, notice));
    });
    let host = Starter::start(stakker, settings, tls, notify);
    let host_actor: Actor<Starter> = Actor::clone(&host);
    let on_signal = Fwd::new(move |signal: Signal| match signal {
        Signal::Hangup => tracing::info!("host: ignoring SIGHUP; flags are only read at startup"),
        Signal::Interrupt | Signal::Terminate => {
            tracing::info!("host: {signal:?} received, stopping");
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
        HostNotice::Listening(address) => {
            let mut stdout = std::io::stdout();
            if writeln!(stdout, "listening callers={address}")
                .and_then(|()| stdout.flush())
                .is_err()
            {
                tracing::debug!("host: standard output is closed");
            }
        }
        HostNotice::Stopped => stakker.shutdown(StopCause::Stopped),
        HostNotice::Failed(detail) => {
            let error = Error::new(ErrorKind::Internal, detail);
            stakker.shutdown(StopCause::Failed(Box::new(error)));
        }
    }
}

/// Loads the TLS certificate chain and its private key.
///
/// # Errors
///
/// Returns `bad_setting` with the flag, the file and the cause.
pub fn load_tls(files: &TlsFiles) -> Result<Arc<ServerConfig>, Error> {
    let setting_error = |flag: &str, path: &std::path::Path, detail: String| {
        let detail = format!("--{flag}: {}: {detail}", path.display());
        Error::new(ErrorKind::BadSetting, detail)
    };
    let certificate = &files.certificate;
    let file = File::open(certificate)
        .map_err(|error| setting_error("tls-certificate", certificate, error.to_string()))?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_reader_iter(BufReader::new(file)).collect();
    let chain =
        chain.map_err(|error| setting_error("tls-certificate", certificate, error.to_string()))?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|error| setting_error("tls-key", &files.key, error.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| setting_error("tls-certificate", certificate, error.to_string()))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|error| setting_error("tls-certificate", certificate, error.to_string()))?;
    Ok(Arc::new(config))
}
