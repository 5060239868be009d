//! Set-up of the structured logs.

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One line of text for each event.
    Text,
    /// One JSON object for each event.
    Json,
}

/// Flags of the logs.
#[derive(Debug, Clone, Args)]
pub struct LogArgs {
    /// Form of log lines on standard error.
    #[arg(long, env = "MEDLARSTILE_LOG_FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Least level, or a filter such as `info,medlarstile::net=debug`.
    #[arg(long, env = "MEDLARSTILE_LOG", default_value = "info")]
    pub log: String,
}

/// Starts logging to standard error. Does nothing when a subscriber is already set.
///
/// # Errors
///
/// The filter cannot be parsed.
pub fn start(args: &LogArgs) -> Result<(), crate::error::Error> {
    let filter = EnvFilter::try_new(&args.log).map_err(|error| {
        let detail = format!("--log (MEDLARSTILE_LOG) is {:?}: {error}", args.log);
        crate::error::Error::new(crate::error::ErrorKind::BadSetting, detail)
    })?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let result = match args.log_format {
        LogFormat::Text => builder.with_target(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if result.is_err() {
        tracing::debug!("host: logging is already set up");
    }
    Ok(())
}
