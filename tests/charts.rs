//! Every chart loads, has no dead ends, and matches its committed drawing.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use medlarstile::chart::Graph;
use medlarstile::charts::{drawing, load_all, CHARTS, TEXTS};
use yare::parameterized;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn file_stems(folder_name: &str, extension: &str) -> BTreeSet<String> {
    let entries = fs::read_dir(folder(folder_name)).expect("the folder exists");
    let names = entries.map(|entry| entry.expect("an entry").file_name());
    let names = names.filter_map(|name| name.into_string().ok());
    names.filter_map(|name| name.strip_suffix(extension).map(str::to_owned)).collect()
}

fn graph(name: &str) -> Graph {
    let entry = CHARTS.iter().find(|entry| entry.name == name).expect("the chart is listed");
    (entry.load)().expect("the chart is valid")
}

/// Returns the states that can be reached from `start`, each with a sequence of events that leads
/// there.
fn paths(graph: &Graph, start: &'static str) -> BTreeMap<&'static str, Vec<&'static str>> {
    let mut paths = BTreeMap::from([(start, Vec::new())]);
    let mut open = vec![start];
    while let Some(state) = open.pop() {
        let path = paths[state].clone();
        for edge in graph.edges.iter().filter(|edge| edge.from == state) {
            if !paths.contains_key(edge.to) {
                paths.insert(edge.to, [path.as_slice(), &[edge.event]].concat());
                open.push(edge.to);
            }
        }
    }
    paths
}

/// Guards against a state or final state that can't be reached, and, in charts with final states,
/// against a state from which none of them can be reached.
#[parameterized(
    caller = { "caller" }, edit = { "edit" }, endpoint = { "endpoint" }, group = { "group" },
    host = { "host" }, request = { "request" }, share = { "share" }, table = { "table" },
)]
fn every_state_is_reached(name: &str) {
    let graph = graph(name);
    let reached = paths(&graph, graph.initial);
    for state in graph.states.iter().chain(&graph.finals) {
        assert!(reached.contains_key(state), "{name}: {state} is not reached");
    }
    for state in graph.states.iter().filter(|_| !graph.finals.is_empty()) {
        let reachable = paths(&graph, state);
        let ends = graph.finals.iter().any(|last| reachable.contains_key(last));
        assert!(ends, "{name}: no final state is reached from {state}");
    }
}

/// Guards against a search in `paths` that finds unreachable states too.
#[test]
fn an_unreachable_state_is_detected() {
    let mut graph = graph("host");
    graph.edges.retain(|edge| edge.to != "draining");
    assert!(!paths(&graph, graph.initial).contains_key("releasing"));
}

/// Guards against a chart file that is missing in `CHARTS`, which is checked at the start of a
/// host, or in `TEXTS`, from which the drawings are made.
#[test]
fn the_lists_name_every_file() {
    let loaded = load_all().expect("every chart is valid");
    assert_eq!(loaded.len(), CHARTS.len());
    let files = file_stems("charts", ".scxml");
    let texts: BTreeSet<String> = TEXTS.iter().map(|(name, _)| (*name).to_owned()).collect();
    assert_eq!(texts, files);
    let host: BTreeSet<String> = CHARTS.iter().map(|entry| entry.name.to_owned()).collect();
    // The charts of the emulators and of the load generator belong to the binary, not to a host.
    let of_binary = |name: &&String| name.starts_with("emulated_") || name.starts_with("load_");
    let emulated = files.iter().filter(of_binary).cloned();
    assert_eq!(host.union(&emulated.collect()).cloned().collect::<BTreeSet<_>>(), files);
}

/// Guards against outdated drawings in `docs/charts`. `medlarstile charts draw --out docs/charts`
/// updates them.
#[test]
fn the_committed_drawings_match_the_charts() {
    assert_eq!(file_stems("docs/charts", ".mmd"), file_stems("charts", ".scxml"));
    for (name, text) in TEXTS {
        let file = folder("docs/charts").join(format!("{name}.mmd"));
        let committed = fs::read_to_string(file).expect("the drawing is committed");
        assert_eq!(committed, drawing(text).expect("a chart can be drawn"), "{name}");
    }
}
