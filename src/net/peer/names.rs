//! Names of `charts/peer.scxml`, the state chart of one connection to a peer.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError, Machine};
use crate::chart_names;

chart_names! {
    /// States of a connection to a peer.
    pub enum PeerState { Dialing = "dialing", Proving = "proving", Open = "open", Closed = "closed" }
    /// Events of a connection to a peer.
    pub enum PeerChartEvent { Connected = "connected", Proven = "proven", Refused = "refused", Lost = "lost" }
    /// Guards of a connection to a peer.
    pub enum PeerGuard { Dialer = "dialer" }
    /// Actions of a connection to a peer.
    pub enum PeerAction {
        SendProof = "send_proof", ReportOpen = "report_open", ReportClosed = "report_closed",
        Close = "close",
    }
}

/// The compiled `charts/peer.scxml`.
pub type PeerChart = Chart<PeerState, PeerChartEvent, PeerGuard, PeerAction>;

/// Compiles `charts/peer.scxml`.
///
/// # Errors
///
/// Every fault of the chart file.
pub fn chart() -> Result<PeerChart, Vec<ChartError>> {
    Chart::load("charts/peer.scxml", include_str!("../../../charts/peer.scxml"))
}

static CHART: LazyLock<PeerChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// Starts the state machine of a new connection.
pub(super) fn start() -> Machine<PeerState, PeerChartEvent, PeerGuard, PeerAction> {
    CHART.start()
}
