//! Edits of the tables: reads the accepted version, changes and checks it, asks for confirmation
//! and proposes the result.

use rand::rngs::OsRng;
use rand::{Rng, TryRngCore};
use serde_json::{json, Map, Value};

use super::args::{EditArgs, Format};
use super::tables::{diff_text, report};
use super::terminal::{confirm, print_stderr, print_stdout};
use crate::charts;
use crate::core::edit::{EditProgress, EditSpec, EditState};
use crate::error::{Error, ErrorKind};
use crate::net::edit::{current_config, run, EditEnd, CONFIG};
use crate::net::platform::PlatformSettings;
use crate::net::tool::{read_rows, Step};
use crate::tables::{diff, Tables};
use crate::types::{AttemptId, DurationMs, HostId, RowVersion, TableVersion};
use crate::wire::tables::{write_config, Config};

/// The tables that the platform holds, with the version of their row.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AcceptedTables {
    /// Version of the row, 0 if there are no tables yet.
    pub row: RowVersion,
    /// The tables, empty if there are none yet.
    pub tables: Tables,
}

/// Reads the currently accepted tables.
///
/// # Errors
///
/// Returns an error if the platform does not answer or the row cannot be decoded.
pub fn read_accepted(settings: PlatformSettings) -> Result<AcceptedTables, Error> {
    let read = read_rows(settings, vec![Step::read(CONFIG)])?;
    let rows = read.first().ok_or_else(|| {
        Error::new(
            ErrorKind::Internal,
            "the platform returned no result for the read of the tables",
        )
    })?;
    let found = current_config(rows)?;
    Ok(found.map(|(row, config)| AcceptedTables { row, tables: config.tables }).unwrap_or_default())
}

/// Additional output of an accepted edit, such as an issued key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExtraOutput {
    /// Lines to append to the text output.
    pub text: String,
    /// Members to add to the JSON output.
    pub members: Map<String, Value>,
}

/// Applies `change` to the accepted tables and proposes the result as the next version.
///
/// `source` names the new tables in error messages.
///
/// # Errors
///
/// Returns `bad_table` after printing all errors of the tables, `canceled`, `edit_conflict`,
/// `not_in_force`, or the reason why the platform did not answer.
pub fn edit(
    args: &EditArgs,
    source: &str,
    change: impl FnOnce(&Tables) -> Result<(Tables, ExtraOutput), Error>,
) -> Result<(), Error> {
    charts::check()?;
    let accepted = read_accepted(args.fleet.settings())?;
    let (mut tables, extra) = change(&accepted.tables)?;
    tables.version = accepted.tables.version.next();
    check(source, &tables)?;
    let changes = diff_text(&accepted.tables, &tables);
    if changes.is_empty() {
        return print_unchanged(args, accepted.tables.version);
    }
    print_stderr(&changes);
    let question = format!("Apply these changes to version {}?", accepted.tables.version);
    confirm(&question, args.yes)?;
    let end = propose(args, &accepted, &tables)?;
    report_end(args, &accepted.tables, &tables, &end, &extra)
}

fn check(source: &str, tables: &Tables) -> Result<(), Error> {
    let report = report(source, tables);
    if !report.faults.is_empty() {
        print_stderr(&report.to_text());
    }
    if report.valid {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::BadTable,
        format!("{source}: rejected because of errors; nothing was changed"),
    ))
}

fn print_unchanged(args: &EditArgs, version: TableVersion) -> Result<(), Error> {
    match args.fleet.output.format {
        Format::Text => print_stdout(&format!("version {version} already has this content\n")),
        Format::Json => {
            print_stdout(&format!("{}\n", json!({ "version": version.0, "state": "unchanged" })))
        }
    }
}

fn propose(args: &EditArgs, accepted: &AcceptedTables, tables: &Tables) -> Result<EditEnd, Error> {
    let attempt = AttemptId(random_rng()?.random());
    let config = Config { tables: tables.clone(), editor: args.editor.as_str().into(), attempt };
    let internal = |text: String| Error::new(ErrorKind::Internal, text);
    let text = write_config(&config).map_err(|error| internal(error.to_string()))?;
    let value = serde_json::from_str(&text).map_err(|error| internal(error.to_string()))?;
    let version = tables.version;
    let spec = EditSpec { version, attempt, expected: accepted.row, wait: args.wait() };
    run(args.fleet.settings(), spec, value, move |elapsed, progress| {
        print_stderr(&progress_text(version, elapsed, progress));
    })
}

/// Returns a random number generator seeded by the operating system.
///
/// # Errors
///
/// Returns an error if the operating system provides no random numbers.
pub fn random_rng() -> Result<rand_chacha::ChaCha20Rng, Error> {
    let mut seed = [0; 32];
    let filled = OsRng.try_fill_bytes(&mut seed);
    filled.map_err(|error| {
        Error::new(ErrorKind::Internal, format!("cannot seed the random number generator: {error}"))
    })?;
    Ok(rand::SeedableRng::from_seed(seed))
}

fn progress_text(version: TableVersion, elapsed: DurationMs, progress: &EditProgress) -> String {
    match progress {
        EditProgress::Accepted => format!("version {version} accepted after {} ms\n", elapsed.0),
        EditProgress::WaitingFor(hosts) => {
            format!("still waiting for {1} after {0} ms\n", elapsed.0, join_hosts(hosts))
        }
    }
}

fn join_hosts(hosts: &[HostId]) -> String {
    hosts.iter().map(HostId::as_str).collect::<Vec<_>>().join(", ")
}

fn report_end(
    args: &EditArgs,
    old: &Tables,
    new: &Tables,
    end: &EditEnd,
    extra: &ExtraOutput,
) -> Result<(), Error> {
    let error = failure(new.version, end);
    let accepted = error.as_ref().is_none_or(|error| error.kind == ErrorKind::NotInForce);
    let extra = if accepted { extra.clone() } else { ExtraOutput::default() };
    let text = match args.fleet.output.format {
        Format::Text => result_text(old, new, end) + &extra.text,
        Format::Json => {
            let mut object = result_json(old, new, end);
            object.extend(extra.members);
            format!("{}\n", Value::Object(object))
        }
    };
    print_stdout(&text)?;
    error.map_or(Ok(()), Err)
}

fn result_text(old: &Tables, new: &Tables, end: &EditEnd) -> String {
    let (version, ms) = (new.version, end.elapsed.0);
    match end.state {
        EditState::InForce => format!("version {version} in force after {ms} ms\n"),
        EditState::Conflict => conflict_text(old, end),
        _ => String::new(),
    }
}

fn conflict_text(old: &Tables, end: &EditEnd) -> String {
    let Some(accepted) = &end.present else { return String::new() };
    let Config { tables, editor, .. } = accepted;
    let changes = diff_text(old, tables);
    format!("version {} by {editor} was accepted first and changed:\n{changes}", tables.version)
}

fn result_json(old: &Tables, new: &Tables, end: &EditEnd) -> Map<String, Value> {
    let lines = |from: &Tables, to: &Tables| {
        diff(from, to).iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let waiting: Vec<&str> = end.waiting.iter().map(HostId::as_str).collect();
    let mut object = Map::new();
    object.insert("version".into(), json!(new.version.0));
    object.insert("state".into(), json!(state_name(end.state)));
    object.insert("elapsed_ms".into(), json!(end.elapsed.0));
    object.insert("changes".into(), json!(lines(old, new)));
    match (end.state, &end.present) {
        (EditState::NotInForce, _) => {
            object.insert("waiting_for".into(), json!(waiting));
        }
        (EditState::Conflict, Some(accepted)) => {
            let changes = lines(old, &accepted.tables);
            let version = accepted.tables.version.0;
            let editor = accepted.editor.as_str();
            let accepted = json!({ "version": version, "editor": editor, "changes": changes });
            object.insert("accepted_first".into(), accepted);
        }
        _ => {}
    }
    object
}

/// Returns the name of the final state in the output. An edit that is not waited for ends as
/// `accepted`.
fn state_name(state: EditState) -> &'static str {
    match state {
        EditState::InForce => "in_force",
        EditState::NotInForce => "not_in_force",
        EditState::Conflict => "edit_conflict",
        EditState::Unavailable => "platform_unavailable",
        EditState::Unknown => "outcome_unknown",
        EditState::NotAwaited
        | EditState::Swapping
        | EditState::Resolving
        | EditState::Accepted
        | EditState::Waiting => "accepted",
    }
}

fn failure(version: TableVersion, end: &EditEnd) -> Option<Error> {
    let error = |kind, detail: String| Some(Error::new(kind, detail));
    match end.state {
        EditState::InForce | EditState::NotAwaited => None,
        EditState::NotInForce => {
            let ms = end.elapsed.0;
            let hosts = join_hosts(&end.waiting);
            let detail = format!("version {version}: still waiting for [{hosts}] after {ms} ms");
            error(ErrorKind::NotInForce, detail)
        }
        EditState::Conflict => error(ErrorKind::EditConflict, "nothing was written".into()),
        EditState::Unavailable => error(
            ErrorKind::PlatformUnavailable,
            "no request could be sent; nothing was written".into(),
        ),
        _ => error(
            ErrorKind::OutcomeUnknown,
            format!("the platform did not confirm whether version {version} was accepted"),
        ),
    }
}
