//! Lists of all state charts in `charts/`.

use crate::chart::{Chart, ChartError, Graph};
use crate::core::{broker, cas, edit, life, link, promotion, proxy, share, view};
use crate::error::{Error, ErrorKind};
use crate::net::{caller, endpoint, peer};

/// A chart that the library runs.
#[derive(Debug, Clone, Copy)]
pub struct ChartEntry {
    /// Name of the file in `charts/` without its extension.
    pub name: &'static str,
    /// Compiles the chart and returns its states and transitions by their names.
    pub load: fn() -> Result<Graph, Vec<ChartError>>,
}

macro_rules! entries {
    ($($name:literal: $chart:path),* $(,)?) => {
        &[$(ChartEntry { name: $name, load: || $chart().map(|chart| chart.graph()) }),*]
    };
}

/// All charts that the library runs.
pub const CHARTS: &[ChartEntry] = entries! {
    "caller": caller::chart,
    "edit": edit::chart,
    "endpoint": endpoint::chart,
    "endpoint_answers": proxy::endpoint_answers::chart,
    "failover": proxy::failover::chart,
    "group": promotion::chart,
    "host": life::chart,
    "peer": peer::chart,
    "platform": link::chart,
    "pooled_connection": proxy::connection::chart,
    "proxy_request": proxy::request::chart,
    "request": broker::chart,
    "share": share::chart,
    "swap": cas::chart,
    "table": view::chart,
};

macro_rules! texts {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../charts/", $name, ".scxml")))),*]
    };
}

/// Name and text of every file in `charts/`, including the charts of the emulators and the load
/// generator.
pub const TEXTS: &[(&str, &str)] = texts![
    "caller",
    "edit",
    "emulated_connection",
    "emulated_endpoint",
    "endpoint",
    "endpoint_answers",
    "failover",
    "group",
    "host",
    "load_connection",
    "peer",
    "platform",
    "pooled_connection",
    "proxy_request",
    "request",
    "share",
    "swap",
    "table",
];

/// Compiles all charts of [`CHARTS`].
///
/// # Errors
///
/// All errors in all chart files.
pub fn load_all() -> Result<Vec<Graph>, Vec<ChartError>> {
    let mut graphs = Vec::new();
    let mut errors = Vec::new();
    for entry in CHARTS {
        match (entry.load)() {
            Ok(graph) => graphs.push(graph),
            Err(found) => errors.extend(found),
        }
    }
    if errors.is_empty() {
        Ok(graphs)
    } else {
        Err(errors)
    }
}

/// Checks all charts of [`CHARTS`]. Commands that run charts call it first.
///
/// # Errors
///
/// [`ErrorKind::Internal`] with all errors in the chart files.
pub fn check() -> Result<(), Error> {
    load_all().map(drop).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Error::new(ErrorKind::Internal, lines.join("\n"))
    })
}

/// Renders a chart as a Mermaid state diagram, the content of `docs/charts/<name>.mmd`.
///
/// # Errors
///
/// The error of the SCXML parser.
pub fn drawing(text: &str) -> Result<String, String> {
    type AnyChart =
        Chart<life::LifeState, life::LifeEvent, crate::chart::NoGuard, life::LifeAction>;
    let diagram = AnyChart::draw(text).map_err(|error| error.to_string())?;
    Ok(format!("{}\n", diagram.trim_end()))
}
