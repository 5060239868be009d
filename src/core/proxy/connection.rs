//! State of the pooled connections to endpoints.
//!
//! A connection belongs to one client account, which is named to the endpoint when the connection
//! is opened, or to the host itself. It keeps the session variables and prepared statements of the
//! last session that used it.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use compact_str::CompactString;

use super::job::Setup;
use super::statement::PreparedStatement;
use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::types::{AccountId, EndpointId, GroupId, PreparedId, RequestId, SessionId, Timestamp};

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
    /// Actions of a pooled connection; there are none.
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

/// Statements and orders sent on a connection, beyond which it is replaced. The task that owns its
/// socket remembers each of their answers, to recognize one that the endpoint sends again.
const MAX_USES: u32 = 512;

/// What a connection is running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// A caller's statement.
    Request(RequestId),
    /// An order of this host to the endpoint.
    Order(super::job::Order),
}

/// For whom a connection is opened.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// Statements of a client account.
    Account(AccountId),
    /// Orders of this host.
    Host,
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct PooledConnection {
    /// Group of the endpoint.
    pub group: GroupId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// For whom it is opened.
    pub owner: Owner,
    /// Its state chart.
    pub machine: Machine<PooledState, PooledEvent, NoGuard, PooledAction>,
    /// What it is running.
    pub task: Option<Task>,
    /// Whether its current job ends with a rollback.
    pub ends_with_rollback: bool,
    /// Session whose transaction is open on it.
    pub session: Option<SessionId>,
    /// When its current job was sent, or when it was opened.
    pub started: Timestamp,
    /// When a job was last sent or answered on it.
    pub last_used: Timestamp,
    /// Session variables set on it.
    pub variables: BTreeMap<CompactString, CompactString>,
    /// Statements prepared on it.
    pub prepared: PreparedStatements,
    /// Number of statements and orders that were sent on it.
    pub uses: u32,
    /// Whether it is closed instead of becoming idle, because a later statement could get an answer
    /// that cannot be told from one that the endpoint has sent before.
    pub must_close: bool,
}

/// Statements prepared on a connection. Sessions that prepare the same statement share it.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    ids: BTreeMap<PreparedStatement, PreparedId>,
    /// Rises over the life of the connection, so that no id ever stands for two statements.
    next_id: u64,
}

impl PreparedStatements {
    /// Forgets all statements, which the endpoint has dropped.
    pub fn clear(&mut self) {
        self.ids.clear();
    }

    /// Returns the id of a statement, and the setup step that prepares it if it is not prepared yet;
    /// the step is recorded as done.
    pub fn prepare(&mut self, statement: &PreparedStatement) -> (PreparedId, Option<Setup>) {
        if let Some(id) = self.ids.get(statement) {
            return (*id, None);
        }
        self.next_id += 1;
        let id = PreparedId(self.next_id);
        self.ids.insert(statement.clone(), id);
        (id, Some(Setup::Prepare(id, statement.clone())))
    }
}

impl PooledConnection {
    /// Whether it is idle, so that any session of its owner can use it.
    pub fn is_idle(&self) -> bool {
        self.machine.state() == PooledState::Idle
    }

    /// Whether it is still being opened.
    pub fn is_connecting(&self) -> bool {
        self.machine.state() == PooledState::Connecting
    }

    /// Whether it must not run another job.
    pub fn is_to_be_closed(&self) -> bool {
        self.must_close || self.uses >= MAX_USES
    }

    /// Fires an event on its state chart.
    pub fn fire(&mut self, event: PooledEvent) {
        let step = self.machine.fire(event, |guard| match guard {});
        if !step.handled {
            tracing::warn!(?event, state = ?step.from, endpoint = self.endpoint.as_str(),
                "pool: event is not valid in the state of the connection");
        }
    }

    /// Returns the setup steps that give the connection exactly these session variables, and records
    /// them as done.
    pub fn adapt(&mut self, variables: &BTreeMap<CompactString, CompactString>) -> Vec<Setup> {
        let mut steps = Vec::new();
        if self.variables.keys().any(|name| !variables.contains_key(name)) {
            steps.push(Setup::Reset);
            self.variables.clear();
            self.prepared.clear();
        }
        for (name, value) in variables {
            if self.variables.get(name) != Some(value) {
                steps.push(Setup::Set(name.clone(), value.clone()));
                self.variables.insert(name.clone(), value.clone());
            }
        }
        steps
    }
}
