//! `medlarstile explain`: finds in the logs the decisions behind one request, session, group,
//! endpoint or client account.

use std::fs;
use std::path::PathBuf;

use clap::{Args, ValueEnum};
use serde_json::Value;

use crate::error::{Error, ErrorKind};

/// Time before a line with the id, in seconds, within which lines about its group and endpoints
/// belong to the chain; longer than a failover takes.
const CAUSE_WINDOW_S: f64 = 3.0;
/// Parts of the program (the first word of a message) whose lines show why a group or an endpoint
/// could not serve.
const CAUSE_PARTS: [&str; 8] =
    ["failover", "group", "pool", "discovery", "configuration", "store", "host", "log"];

/// Output format of `explain`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExplainFormat {
    /// One line of text per decision.
    Text,
    /// The log lines' JSON objects.
    Json,
}

/// Flags of `explain`.
#[derive(Debug, Clone, Args)]
pub struct ExplainArgs {
    /// Id of a request, session (HOST/NUMBER), group, endpoint or client account.
    pub id: String,
    /// Log files, from one or more hosts.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Output format.
    #[arg(long, value_enum, default_value_t = ExplainFormat::Text)]
    pub format: ExplainFormat,
}

/// One parsed log line.
#[derive(Debug, Clone)]
pub struct LogLine {
    /// Wall-clock time in seconds as computed by [`seconds`].
    at_s: f64,
    fields: Value,
}

impl LogLine {
    /// Parses a line and skips any text before the JSON object. Returns `None` if the line holds no
    /// JSON object with a valid timestamp.
    pub fn read(line: &str) -> Option<Self> {
        let fields: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        let at_s = seconds(fields.get("timestamp")?.as_str()?)?;
        Some(Self { at_s, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn host(&self) -> Option<&str> {
        self.fields.get("span")?.get("host")?.as_str()
    }

    fn part(&self) -> &str {
        self.text("message").and_then(|text| text.split(':').next()).unwrap_or_default()
    }

    fn session(&self) -> Option<String> {
        Some(format!("{}/{}", self.host()?, self.fields.get("session")?.as_u64()?))
    }

    fn mentions(&self, id: &str) -> bool {
        let id_fields = ["request", "group", "endpoint", "account", "leader", "chosen", "peer"];
        id_fields.iter().any(|field| self.text(field) == Some(id))
            || self.session().as_deref() == Some(id)
    }
}

/// Converts an RFC 3339 time to seconds within its month.
fn seconds(time: &str) -> Option<f64> {
    let (date, clock) = time.trim_end_matches('Z').split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, rest) = (parts.next()??, parts.next()??, parts.next()??);
    Some(((day * 24.0 + hours) * 60.0 + minutes) * 60.0 + rest)
}

/// Returns the lines that contain `id`, and those that show why the groups and endpoints named in
/// these lines could not serve, in order of time.
pub fn chain(mut lines: Vec<LogLine>, id: &str) -> Vec<LogLine> {
    lines.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    let named: Vec<LogLine> = lines.iter().filter(|line| line.mentions(id)).cloned().collect();
    let related: Vec<(f64, String)> = named
        .iter()
        .flat_map(|line| {
            let targets =
                ["group", "endpoint", "leader"].into_iter().filter_map(|field| line.text(field));
            targets.map(|target| (line.at_s, target.to_owned())).collect::<Vec<_>>()
        })
        .collect();
    let hosts: Vec<(f64, &str)> =
        named.iter().filter_map(|line| Some((line.at_s, line.host()?))).collect();
    let in_window =
        |at: f64, line: &LogLine| line.at_s <= at + 0.1 && line.at_s >= at - CAUSE_WINDOW_S;
    let belongs = |line: &LogLine| {
        let is_cause = CAUSE_PARTS.contains(&line.part());
        let about_related =
            related.iter().any(|(at, target)| in_window(*at, line) && line.mentions(target));
        let on_same_host = ["configuration", "store", "host"].contains(&line.part())
            && hosts.iter().any(|(at, host)| in_window(*at, line) && line.host() == Some(host));
        line.mentions(id) || (is_cause && (about_related || on_same_host))
    };
    lines.into_iter().filter(|line| belongs(line)).collect()
}

/// Formats one decision as text.
pub fn describe(line: &LogLine) -> String {
    let skipped = ["timestamp", "level", "message", "span"];
    let mut text = format!(
        "{} {:<24} {}",
        line.text("timestamp").unwrap_or_default(),
        line.host().unwrap_or("-"),
        line.text("message").unwrap_or_default()
    );
    for (name, value) in line.fields.as_object().into_iter().flatten() {
        if !skipped.contains(&name.as_str()) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(" {name}={value}"));
        }
    }
    text
}

/// Prints the chain of decisions for the id.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line contains the id.
pub fn run(args: &ExplainArgs) -> Result<(), Error> {
    let mut lines = Vec::new();
    for file in &args.files {
        let text = fs::read_to_string(file).map_err(|error| {
            Error::new(ErrorKind::BadSetting, format!("{}: {error}", file.display()))
        })?;
        lines.extend(text.lines().filter_map(LogLine::read));
    }
    let chain = chain(lines, &args.id);
    if chain.is_empty() {
        let detail = format!(
            "no log line contains the id {:?}; requests that succeed normally are not logged",
            args.id
        );
        return Err(Error::new(ErrorKind::BadSetting, detail));
    }
    for line in &chain {
        match args.format {
            ExplainFormat::Text => println!("{}", describe(line)),
            ExplainFormat::Json => println!("{}", line.fields),
        }
    }
    Ok(())
}
