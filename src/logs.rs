//! Set-up of logging: format, output, level and rate limit.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};

use clap::{Args, ValueEnum};
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

use crate::net::reactor::wall_clock;

/// Format of log lines.
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
    /// Standard error; a write blocks until the reader has room.
    Stderr,
    /// Standard output, through a bounded buffer; lines that don't fit are dropped and counted.
    Stdout,
}

/// Logging options of a command.
#[derive(Debug, Clone, Args)]
pub struct LogArgs {
    /// Format of log lines.
    #[arg(long, env = "MEDLARSTILE_LOG_FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Where log lines go.
    #[arg(long, env = "MEDLARSTILE_LOG_OUTPUT", value_enum, default_value_t = LogOutput::Stderr)]
    pub log_output: LogOutput,
    /// Minimum level, or a filter such as `info,medlarstile::net=debug`.
    #[arg(long, env = "MEDLARSTILE_LOG", default_value = "info")]
    pub log: String,
}

/// Lines that the buffer for standard output can hold.
const BUFFERED_LINES: usize = 4_096;
/// Limit of lines per second for one module. The eight modules that write most can together write
/// 800 lines per second, about half a megabyte.
const LINES_PER_S: u32 = 100;

/// Number of lines in the current second, by module.
#[derive(Default)]
struct LineCounts {
    second: u64,
    lines: BTreeMap<&'static str, u32>,
}

/// Lines dropped by the rate limit since the start.
static RATE_LIMITED: AtomicU64 = AtomicU64::new(0);
/// Lines dropped because the buffer for standard output was full.
static BUFFER_DROPS: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the number of lines dropped since the start, by the rate limit or a full buffer.
pub fn dropped_lines() -> u64 {
    let buffer_drops = BUFFER_DROPS.get().map_or(0, ErrorCounter::dropped_lines) as u64;
    RATE_LIMITED.load(Ordering::Relaxed) + buffer_drops
}

/// Filter that limits the lines per second of each module and counts the lines that it drops.
#[derive(Default)]
pub struct LineBudget(Mutex<LineCounts>);

impl LineBudget {
    /// Counts a line of `module` in `second` and returns whether it may be written.
    pub fn take(&self, second: u64, module: &'static str) -> bool {
        let Ok(mut budget) = self.0.lock() else { return true };
        if budget.second != second {
            budget.second = second;
            budget.lines.clear();
        }
        let lines = budget.lines.entry(module).or_default();
        *lines += 1;
        *lines <= LINES_PER_S
    }
}

impl<S: Subscriber> Filter<S> for LineBudget {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let allowed = self.take(wall_clock().as_secs(), event.metadata().target());
        if !allowed {
            RATE_LIMITED.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

/// Returns a writer that buffers lines and writes them to `output` from a separate thread. A line
/// that does not fit into the buffer is dropped, so that an output without a reader never delays a
/// request.
pub fn bounded(output: impl Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    let builder = NonBlockingBuilder::default().lossy(true);
    builder.buffered_lines_limit(BUFFERED_LINES).finish(output)
}

/// Starts logging, unless a subscriber is already set. Dropping the returned guard writes the
/// buffered lines.
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
            let (writer, guard) = bounded(std::io::stdout());
            if BUFFER_DROPS.set(writer.error_counter()).is_err() {
                tracing::debug!("host: the counter of dropped lines belongs to another writer");
            }
            (BoxMakeWriter::new(writer), Some(guard))
        }
    };
    let lines = tracing_subscriber::fmt::layer().with_writer(writer);
    let lines = match args.log_format {
        LogFormat::Text => lines.with_target(false).boxed(),
        LogFormat::Json => {
            lines.json().flatten_event(true).with_span_list(false).with_target(false).boxed()
        }
    };
    let lines = lines.with_filter(LineBudget::default());
    if tracing_subscriber::registry().with(filter).with(lines).try_init().is_err() {
        tracing::debug!("host: logging is already set up");
    }
    Ok(guard)
}
