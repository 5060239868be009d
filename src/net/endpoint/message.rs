//! Names of the endpoint chart, and what a connection and the hub tell each other.

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
/// Every fault of the chart file.
pub fn chart() -> Result<EndpointChart, Vec<ChartError>> {
    Chart::load("charts/endpoint.scxml", include_str!("../../../charts/endpoint.scxml"))
}

pub(super) static CHART: LazyLock<EndpointChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// How the host logs in at endpoints.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// User name.
    pub user: CompactString,
    /// Password of the user.
    pub password: Secret,
}

/// Where and how to connect.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Database name sent in the start-up message.
    pub database: CompactString,
    /// Credentials of the host.
    pub credentials: Rc<Credentials>,
}

/// Work for one connection.
pub enum Job {
    /// A caller's request.
    Request {
        /// Id of the request.
        request: RequestId,
        /// Actor that gets the answer.
        caller: Actor<Caller>,
        /// Frames and prepared statements.
        batch: Batch,
        /// Whether the caller actor keeps the answer until the core releases it.
        hold: bool,
    },
    /// SQL of the host itself: a probe or an order.
    Own {
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

/// What a connection tells the hub.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// Login is complete.
    Ready,
    /// The endpoint reported its status.
    Status(EndpointStatus),
    /// The job ended.
    Ended(JobEnd),
    /// The connection is closed. `sent` says whether bytes of a job may have reached the endpoint,
    /// `passed` whether bytes of its answer went to the caller.
    Lost {
        /// Cause, for the log.
        cause: String,
        /// Request under way.
        request: Option<RequestId>,
        /// SQLSTATE with which the endpoint refused the login.
        refused: Option<CompactString>,
        /// Bytes of the answer were passed on.
        passed: bool,
    },
}
