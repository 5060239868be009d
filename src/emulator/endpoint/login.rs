//! Life cycle of a client connection, by `charts/emulated_connection.scxml`.

use std::sync::LazyLock;

use medlarstile::chart::{Chart, Machine, NoGuard};
use medlarstile::chart_names;

chart_names! {
    /// States of the chart.
    pub enum Phase {
        Open = "open", Negotiating = "negotiating", Startup = "startup", Admission = "admission",
        Password = "password", Settling = "settling", Ready = "ready", Closed = "closed",
    }
    /// Events of the chart.
    pub enum PhaseEvent {
        Negotiated = "negotiated", Started = "started", Admitted = "admitted", Thawed = "thawed",
        PasswordMatches = "password_matches", Settled = "settled", Close = "close",
    }
    /// Actions of the chart.
    pub enum PhaseAction {
        AskAdmission = "ask_admission", AskPassword = "ask_password",
        StartAcceptDelay = "start_accept_delay", Welcome = "welcome",
    }
}

/// A running instance of the chart.
pub type PhaseMachine = Machine<Phase, PhaseEvent, NoGuard, PhaseAction>;

static CHART: LazyLock<Chart<Phase, PhaseEvent, NoGuard, PhaseAction>> = LazyLock::new(|| {
    let text = include_str!("../../../charts/emulated_connection.scxml");
    Chart::load("charts/emulated_connection.scxml", text)
        .expect("the chart is part of the build, every test of the endpoint loads it")
});

/// A connection that was just accepted.
pub fn start() -> PhaseMachine {
    CHART.start()
}
