//! Compares the closed list of log events with the sources and with the operators' page.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Source files of a host on the platform.
const SOURCES: [&str; 5] = [
    "src/core/proxy",
    "src/net/proxy",
    "src/net/peer",
    "src/platform",
    "src/commands/platform_host.rs",
];
/// Levels that are logged by default.
const LEVELS: [&str; 3] = ["info", "warn", "error"];

fn listed() -> BTreeMap<String, String> {
    let text = std::fs::read_to_string("data/log_events.toml").expect("the list");
    let parts: BTreeMap<String, BTreeMap<String, String>> =
        toml::from_str(&text).expect("parts with events");
    let events = parts.into_iter().flat_map(|(part, events)| {
        events.into_iter().map(move |(event, when)| (format!("{part}: {event}"), when))
    });
    events.collect()
}

fn read_sources(path: &Path, found: &mut Vec<String>) {
    if path.is_dir() {
        for entry in std::fs::read_dir(path).expect("a folder") {
            read_sources(&entry.expect("an entry").path(), found);
        }
    } else {
        found.push(std::fs::read_to_string(path).expect("a source file"));
    }
}

/// The last string literal among a macro's arguments, which is the message.
fn message(arguments: &str) -> Option<String> {
    let (mut texts, mut depth, mut text) = (Vec::new(), 0, None::<String>);
    let mut escaped = false;
    for character in arguments.chars() {
        match (&mut text, character) {
            (Some(current), '"') if !escaped => {
                texts.push(std::mem::take(current));
                text = None;
            }
            (Some(current), _) => {
                escaped = character == '\\' && !escaped;
                current.push(character);
            }
            (None, '"') => text = Some(String::new()),
            (None, '(') => depth += 1,
            (None, ')') if depth == 0 => break,
            (None, ')') => depth -= 1,
            (None, _) => {}
        }
    }
    texts.pop()
}

fn logged() -> BTreeSet<String> {
    let mut sources = Vec::new();
    for path in SOURCES {
        read_sources(Path::new(path), &mut sources);
    }
    let mut found = BTreeSet::new();
    for source in &sources {
        for level in LEVELS {
            for (at, start) in source.match_indices(&format!("tracing::{level}!(")) {
                found.insert(message(&source[at + start.len()..]).expect("a message"));
            }
        }
    }
    found
}

/// Guards against events that are logged but not listed, or listed but not logged.
#[test]
fn every_event_is_listed() {
    let listed: BTreeSet<String> = listed().into_keys().collect();
    let logged = logged();
    let unlisted: Vec<_> = logged.difference(&listed).collect();
    let unused: Vec<_> = listed.difference(&logged).collect();
    assert!(
        unlisted.is_empty() && unused.is_empty(),
        "not listed: {unlisted:#?}, not logged: {unused:#?}"
    );
}

/// Guards against an operators' page that lacks an event or describes it differently.
#[test]
fn the_operators_page_has_the_list() {
    let page = std::fs::read_to_string("docs/OPERATIONS.md").expect("the page");
    for (event, when) in listed() {
        let row = format!("| `{event}` | {when} |");
        assert!(page.contains(&row), "docs/OPERATIONS.md lacks the row {row}");
    }
}
