//! Pooled connections to endpoints as the core sees them.
//!
//! A connection belongs to one client account, which the endpoint is told when it opens. Its
//! values and prepared shapes are those that its last session left behind.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use compact_str::CompactString;

use super::job::Setup;
use super::statement::Shape;
use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::types::{AccountId, EndpointId, GroupId, RequestId, SessionId, Timestamp};

chart_names! {
    /// States of a pooled connection.
    pub enum PooledState {
        Connecting = "connecting", Idle = "idle", Busy = "busy", Held = "held",
        Cleaning = "cleaning", Closed = "closed",
    }
    /// Events of a pooled connection.
    pub enum PooledEvent {
        Opened = "opened", Run = "run", Answered = "answered", Hold = "hold", Clean = "clean",
        Close = "close",
    }
    /// A pooled connection has no actions of its own.
    pub enum PooledAction {}
}

/// The compiled chart of pooled connections.
pub type PooledChart = Chart<PooledState, PooledEvent, NoGuard, PooledAction>;

/// Compiles the chart of pooled connections.
///
/// # Errors
///
/// Every fault of the chart file.
pub fn chart() -> Result<PooledChart, Vec<ChartError>> {
    let text = include_str!("../../../charts/pooled_connection.scxml");
    Chart::load("charts/pooled_connection.scxml", text)
}

pub(super) static CHART: LazyLock<PooledChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// What a connection runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// A caller's statement.
    Request(RequestId),
    /// An order of this host.
    Order(super::job::Order),
}

/// Who a connection is opened for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// Statements of a client account.
    Account(AccountId),
    /// Orders of this host.
    Host,
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Pooled {
    /// Group of the endpoint.
    pub group: GroupId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Who it is opened for.
    pub owner: Owner,
    /// Its place in the chart.
    pub machine: Machine<PooledState, PooledEvent, NoGuard, PooledAction>,
    /// What it runs.
    pub task: Option<Task>,
    /// Whether the job that it runs ends with a roll-back.
    pub rolls_back: bool,
    /// Session whose transaction is open on it.
    pub session: Option<SessionId>,
    /// When its job was sent, or when the connect began.
    pub started: Timestamp,
    /// When it was last used.
    pub used: Timestamp,
    /// Session values that it holds.
    pub values: BTreeMap<CompactString, CompactString>,
    /// Shapes that are prepared on it.
    pub prepared: BTreeSet<Shape>,
}

impl Pooled {
    /// Whether it can take a job of anyone of its owner.
    pub fn is_idle(&self) -> bool {
        self.machine.state() == PooledState::Idle
    }

    /// Whether it is still being opened.
    pub fn is_connecting(&self) -> bool {
        self.machine.state() == PooledState::Connecting
    }

    /// Moves along the chart.
    pub fn fire(&mut self, event: PooledEvent) {
        let step = self.machine.fire(event, |guard| match guard {});
        if !step.handled {
            tracing::warn!(?event, state = ?step.from, endpoint = self.endpoint.as_str(),
                "pool: event does not fit the state of the connection");
        }
    }

    /// Steps that give the connection exactly the values of a session and a shape, and notes them.
    pub fn adapt(
        &mut self,
        values: &BTreeMap<CompactString, CompactString>,
        shape: Option<&Shape>,
    ) -> Vec<Setup> {
        let mut steps = Vec::new();
        if self.values.keys().any(|name| !values.contains_key(name)) {
            steps.push(Setup::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                steps.push(Setup::Set(name.clone(), value.clone()));
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = shape.filter(|shape| !self.prepared.contains(*shape)) {
            steps.push(Setup::Prepare(shape.clone()));
            self.prepared.insert(shape.clone());
        }
        steps
    }
}
