//! Set-up of the structured logs.

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
/// Lines of one module a second; with the eight modules that write most, a host writes at most 800
/// lines, about half a megabyte, a second.
const LINES_PER_S: u32 = 100;

/// Lines of the present second, by module.
#[derive(Default)]
struct Budget {
    second: u64,
    lines: BTreeMap<&'static str, u32>,
}

/// Lines dropped by the budget since the start.
static OVER_BUDGET: AtomicU64 = AtomicU64::new(0);
/// Lines dropped because nobody read standard output.
static UNREAD: OnceLock<ErrorCounter> = OnceLock::new();

/// Lines that were not written since the start: beyond the budget, or unread.
pub fn dropped_lines() -> u64 {
    let unread = UNREAD.get().map_or(0, ErrorCounter::dropped_lines) as u64;
    OVER_BUDGET.load(Ordering::Relaxed) + unread
}

/// Bounds the lines of each module; what is dropped is counted.
#[derive(Default)]
pub struct LineBudget(Mutex<Budget>);

impl LineBudget {
    /// Whether a line of `module` may be written in `second`.
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
            OVER_BUDGET.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

/// Writes lines to `output` from a thread of its own. A line that does not fit into the buffer is
/// dropped, so that an output that nobody reads never delays a request.
pub fn bounded(output: impl Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    let builder = NonBlockingBuilder::default().lossy(true);
    builder.buffered_lines_limit(BUFFERED_LINES).finish(output)
}

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
            let (writer, guard) = bounded(std::io::stdout());
            if UNREAD.set(writer.error_counter()).is_err() {
                tracing::debug!("host: another writer counts the unread lines");
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
