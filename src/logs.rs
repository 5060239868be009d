//! Set-up of the structured logs.

use clap::{Args, ValueEnum};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::EnvFilter;

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One line of text for each event.
    Text,
    /// One JSON object for each event.
    Json,
}

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogOutput {
    /// Standard error; a write waits for the reader.
    Stderr,
    /// Standard output, through a bounded buffer; lines that do not fit are dropped and counted.
    Stdout,
}

/// Flags of the logs.
#[derive(Debug, Clone, Args)]
pub struct LogArgs {
    /// Form of log lines.
    #[arg(long, env = "MEDLARSTILE_LOG_FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Where log lines go.
    #[arg(long, env = "MEDLARSTILE_LOG_OUTPUT", value_enum, default_value_t = LogOutput::Stderr)]
    pub log_output: LogOutput,
    /// Least level, or a filter such as `info,medlarstile::net=debug`.
    #[arg(long, env = "MEDLARSTILE_LOG", default_value = "info")]
    pub log: String,
}

/// Lines that may wait for the reader of standard output.
const BUFFERED_LINES: usize = 4_096;

/// Starts logging. Does nothing when a subscriber is already set. The guard writes what is
/// buffered when it is dropped.
///
/// # Errors
///
/// The filter cannot be parsed.
pub fn start(args: &LogArgs) -> Result<Option<WorkerGuard>, crate::error::Error> {
    let filter = EnvFilter::try_new(&args.log).map_err(|error| {
        let detail = format!("--log (MEDLARSTILE_LOG) is {:?}: {error}", args.log);
        crate::error::Error::new(crate::error::ErrorKind::BadSetting, detail)
    })?;
    let (writer, guard) = match args.log_output {
        LogOutput::Stderr => (BoxMakeWriter::new(std::io::stderr), None),
        LogOutput::Stdout => {
            let builder = NonBlockingBuilder::default().lossy(true);
            let (writer, guard) =
                builder.buffered_lines_limit(BUFFERED_LINES).finish(std::io::stdout());
            (BoxMakeWriter::new(writer), Some(guard))
        }
    };
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    let result = match args.log_format {
        LogFormat::Text => builder.with_target(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).with_target(false).try_init(),
    };
    if result.is_err() {
        tracing::debug!("host: logging is already set up");
    }
    Ok(guard)
}
