//! State, event and action names of the request chart.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError, NoGuard};
use crate::chart_names;

chart_names! {
    /// States of a request.
    pub enum RequestState {
        Admitting = "admitting", Queued = "queued", Running = "running",
        Confirming = "confirming", Orphaned = "orphaned", Done = "done",
    }
    /// Events of a request.
    pub enum RequestEvent {
        Admit = "admit", BypassQueue = "bypass_queue", Assign = "assign", Finish = "finish",
        Hold = "hold", Retry = "retry", Refuse = "refuse", Abandon = "abandon",
    }
    /// Actions of a request.
    pub enum RequestAction {
        Enqueue = "enqueue", Send = "send", AwaitDurability = "await_durability",
        Discard = "discard", Release = "release", Fail = "fail",
    }
}

/// The compiled chart of requests.
pub type RequestChart = Chart<RequestState, RequestEvent, NoGuard, RequestAction>;

/// Compiles the chart of requests.
///
/// # Errors
///
/// All errors found in the chart file.
pub fn chart() -> Result<RequestChart, Vec<ChartError>> {
    Chart::load("charts/request.scxml", include_str!("../../../charts/request.scxml"))
}

pub(super) static CHART: LazyLock<RequestChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));
