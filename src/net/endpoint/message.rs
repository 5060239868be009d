//! Names of the endpoint chart, and the messages between a connection and the host actor.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::LazyLock;

use compact_str::CompactString;
use stakker::Actor;

use crate::auth::Secret;
use crate::chart::{Chart, ChartError, NoGuard};
use crate::chart_names;
use crate::core::group::EndpointStatus;
use crate::core::transaction::TransactionState;
use crate::net::caller::Caller;
use crate::types::RequestId;
use crate::wire::batch::Batch;

chart_names! {
    /// States of an endpoint connection.
    pub enum EndpointState {
        Open = "open", Connecting = "connecting", Authenticating = "authenticating",
        Idle = "idle", Busy = "busy", Closed = "closed",
    }
    /// Events of an endpoint connection.
    pub enum EndpointEvent {
        Connected = "connected", AuthRequest = "auth_request", Ready = "ready", Run = "run",
        Lost = "lost", Close = "close",
    }
    /// Actions of an endpoint connection.
    pub enum EndpointAction {
        SendStartup = "send_startup", AnswerAuth = "answer_auth", ReportReady = "report_ready",
        SendJob = "send_job", ReportEnd = "report_end", ReportLost = "report_lost",
        Terminate = "terminate",
    }
}

/// The compiled chart of endpoint connections.
pub type EndpointChart = Chart<EndpointState, EndpointEvent, NoGuard, EndpointAction>;

/// Compiles the chart of endpoint connections.
///
/// # Errors
///
/// All errors found in the chart file.
pub fn chart() -> Result<EndpointChart, Vec<ChartError>> {
    Chart::load("charts/endpoint.scxml", include_str!("../../../charts/endpoint.scxml"))
}

pub(super) static CHART: LazyLock<EndpointChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// Credentials with which the host logs in at endpoints.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// User name.
    pub user: CompactString,
    /// Password of the user.
    pub password: Secret,
}

/// Endpoint address and login parameters of a connection.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Database name sent in the start-up message.
    pub database: CompactString,
    /// Credentials of the host.
    pub credentials: Rc<Credentials>,
}

/// Work for one connection, which ends with `ReadyForQuery`.
pub enum Job {
    /// A caller's request.
    Request {
        /// Id of the request.
        request: RequestId,
        /// Caller that gets the answer.
        caller: Actor<Caller>,
        /// Messages of the request and the prepared statements that it needs.
        batch: Batch,
        /// Whether the caller actor buffers the answer until the request ends.
        hold: bool,
    },
    /// SQL of the host itself: a status probe or a promotion order.
    HostSql {
        /// Text of the statement.
        sql: CompactString,
    },
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobEnd {
    /// Request of the job; `None` for the host's own SQL.
    pub request: Option<RequestId>,
    /// Transaction state after the job.
    pub transaction: TransactionState,
    /// SQLSTATE and message of the last error, if there was one.
    pub error: Option<(CompactString, CompactString)>,
}

/// Event that a connection reports to the host actor.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// Login is complete.
    Ready,
    /// The endpoint reported its status.
    Status(EndpointStatus),
    /// A job ended.
    Ended(JobEnd),
    /// The connection failed; a running job has no result.
    Lost {
        /// Cause, for log lines.
        cause: String,
        /// Request that was running.
        request: Option<RequestId>,
        /// SQLSTATE with which the endpoint refused the login.
        refused: Option<CompactString>,
        /// Whether part of the running request's answer was already sent to the caller.
        passed: bool,
    },
}
