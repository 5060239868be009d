//! `medlarstile timeline`: merges the records of all hosts and prints those that match the filter.

use std::io::Write;
use std::net::SocketAddr;

use clap::{Args, ValueEnum};
use compact_str::CompactString;

use crate::error::{Error, ErrorKind};
use crate::net::platform::{PlatformClient, PlatformSettings};
use crate::timeline::{merge, read_segment, Filter, Record};
use crate::types::{DurationMs, GroupId, RequestId, SessionId};

/// Time limit for one call to the platform; longer than a host's limit because no request waits for
/// the answer.
const CALL_LIMIT: DurationMs = DurationMs(10_000);

/// Output format of `timeline`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line of text per record.
    Text,
    /// One JSON object per line.
    Json,
}

/// Flags of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArgs {
    /// IP address and port of the platform's service.
    #[arg(long, env = "MEDLARSTILE_PLATFORM")]
    pub platform: SocketAddr,
    /// Print only records of this request.
    #[arg(long)]
    pub request: Option<RequestId>,
    /// Print only records of this session.
    #[arg(long)]
    pub session: Option<SessionId>,
    /// Print only records of this database group.
    #[arg(long)]
    pub group: Option<GroupId>,
    /// Print only records of this client account; `*` for open routes.
    #[arg(long)]
    pub account: Option<CompactString>,
    /// Print only records at or after this time, in milliseconds since the Unix epoch.
    #[arg(long)]
    pub since_ms: Option<u64>,
    /// Print only records at or before this time, in milliseconds since the Unix epoch.
    #[arg(long)]
    pub until_ms: Option<u64>,
    /// Output format of the records.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Reads all segments and prints the matching records in causal order.
///
/// # Errors
///
/// Returns an error if the platform does not answer, a segment cannot be decoded, or standard
/// output is closed.
pub fn run(args: &TimelineArgs) -> Result<(), Error> {
    let filter = Filter {
        request: args.request,
        session: args.session,
        group: args.group.clone(),
        account: args.account.clone(),
        since_ms: args.since_ms,
        until_ms: args.until_ms,
    };
    let records = merge(read_segments(args.platform)?, &filter);
    let mut text = Vec::new();
    for record in &records {
        match args.format {
            Format::Text => text.extend_from_slice(format!("{record}\n").as_bytes()),
            Format::Json => text.extend_from_slice(&record.to_line()),
        }
    }
    std::io::stdout().write_all(&text).map_err(internal)
}

fn internal(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, error.to_string())
}

fn read_segments(platform: SocketAddr) -> Result<Vec<Vec<Record>>, Error> {
    let client = "timeline".parse().expect("the name is a valid id");
    let settings = PlatformSettings::new(platform, client).with_call_limit(CALL_LIMIT);
    let client = PlatformClient::new(settings);
    let prefix = "timeline/".parse().expect("the prefix is a valid name");
    let mut segments = Vec::new();
    for name in client.list_objects(Some(&prefix)).map_err(internal)? {
        if let Some(content) = client.get_object(&name).map_err(internal)? {
            let records = read_segment(&content);
            segments.push(records.map_err(|fault| internal(format!("{name}: {fault}")))?);
        }
    }
    Ok(segments)
}
