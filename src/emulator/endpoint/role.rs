//! The role of an endpoint, by `charts/emulated_endpoint.scxml`.

use std::sync::LazyLock;

use medlarstile::chart::{Chart, Machine};
use medlarstile::chart_names;

chart_names! {
    /// States of the chart.
    pub enum Role {
        Running = "running", Replica = "replica", Fenced = "fenced", Primary = "primary",
        Crashed = "crashed",
    }
    /// Events of the chart.
    pub enum RoleEvent {
        Fence = "fence", Promote = "promote", Follow = "follow", Bootstrap = "bootstrap",
        Crash = "crash", Restart = "restart",
    }
    /// Guards of the chart.
    pub enum RoleGuard {
        AboveTerm = "above_term", WasPrimary = "was_primary", WasFenced = "was_fenced",
    }
    /// Actions of the chart.
    pub enum RoleAction {
        CloseConnections = "close_connections", StopReplication = "stop_replication",
        StartReplication = "start_replication", StartTerm = "start_term",
    }
}

/// A running instance of the chart.
pub type RoleMachine = Machine<Role, RoleEvent, RoleGuard, RoleAction>;

static CHART: LazyLock<Chart<Role, RoleEvent, RoleGuard, RoleAction>> = LazyLock::new(|| {
    let text = include_str!("../../../charts/emulated_endpoint.scxml");
    Chart::load("charts/emulated_endpoint.scxml", text)
        .expect("the chart is part of the build, every test of the endpoint loads it")
});

/// A new endpoint is a replica.
pub fn start() -> RoleMachine {
    CHART.start()
}
