//! Names of the caller chart, and the messages between a caller actor and the host actor.

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

use compact_str::CompactString;
use rustls::ServerConfig;

use crate::auth::ScramServer;
use crate::chart::{Chart, ChartError, NoGuard};
use crate::chart_names;
use crate::core::classify::{SessionCommand, POSITION_PARAMETER};
use crate::error::{Error, ErrorKind};
use crate::types::{KeyId, RequestId};
use crate::wire::batch::Batch;
use crate::wire::pg::BackendKey;

chart_names! {
    /// States of a caller connection.
    pub enum CallerState {
        Open = "open", Starting = "starting", Routing = "routing",
        Authenticating = "authenticating", Admitting = "admitting", Idle = "idle",
        Waiting = "waiting", Closed = "closed",
    }
    /// Events of a caller connection.
    pub enum CallerInput {
        Lost = "lost", Failed = "failed", SslRequest = "ssl_request",
        CancelRequest = "cancel_request", Startup = "startup", OpenRoute = "open_route",
        KeyedRoute = "keyed_route", SaslMessage = "sasl_message",
        Authenticated = "authenticated", Admitted = "admitted", Request = "request",
        Terminate = "terminate", Answered = "answered",
    }
    /// Actions of a caller connection.
    pub enum CallerAction {
        ReportLeft = "report_left", CloseWithError = "close_with_error",
        AnswerSsl = "answer_ssl", ForwardCancel = "forward_cancel", Close = "close",
        ReportStartup = "report_startup", ReportLogin = "report_login",
        OfferMechanisms = "offer_mechanisms", CheckSaslMessage = "check_sasl_message",
        CompleteLogin = "complete_login", Submit = "submit", SendResult = "send_result",
    }
}

/// The compiled chart of caller connections.
pub type CallerChart = Chart<CallerState, CallerInput, NoGuard, CallerAction>;

/// Compiles the chart of caller connections.
///
/// # Errors
///
/// All errors found in the chart file.
pub fn chart() -> Result<CallerChart, Vec<ChartError>> {
    Chart::load("charts/caller.scxml", include_str!("../../../charts/caller.scxml"))
}

pub(super) static CHART: LazyLock<CallerChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// Parameters of a caller's start-up message that the host uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartupRequest {
    /// `user` parameter, which names the client account.
    pub user: CompactString,
    /// `database` parameter; the user name if absent.
    pub database: CompactString,
    /// Position token from the `options` parameter.
    pub position: Option<CompactString>,
}

/// Event that a caller actor reports to the host actor.
#[derive(Debug)]
pub enum CallerEvent {
    /// The start-up message arrived.
    Startup(StartupRequest),
    /// The caller has proven this key, or its route needs none.
    LoggedIn(Option<KeyId>),
    /// All messages of a request have arrived.
    Request(RequestId, Box<Batch>),
    /// A statement that the host answers itself.
    Command(RequestId, SessionCommand),
    /// A cancel request, which names another session by its key.
    Cancel(BackendKey),
    /// The connection is closed.
    Left,
}

/// Authentication that the route of a caller requires.
#[derive(Debug)]
pub enum RouteAnswer {
    /// The route is open to all.
    Open,
    /// The caller must prove a key.
    Keyed(Box<ScramServer>),
}

/// Settings shared by all callers of a host.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// TLS configuration; if absent, `SSLRequest` is declined.
    pub tls: Option<Arc<ServerConfig>>,
    /// Largest message that a caller may send, in bytes.
    pub max_message_bytes: usize,
}

/// Result of a request, sent before `ReadyForQuery`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The held part of the endpoint's answer is sent.
    Release,
    /// The held part of the endpoint's answer is dropped and the error sent instead.
    Fail(Error),
    /// The host answers a `SET`.
    Set,
    /// The host answers a `SHOW` with this text.
    Show(CompactString),
}

/// Extracts the parameters that the host uses from a start-up message.
///
/// # Errors
///
/// `bad_startup` if the user is missing.
pub(super) fn startup_request(
    parameters: &BTreeMap<String, String>,
) -> Result<StartupRequest, Error> {
    let user = parameters.get("user").filter(|user| !user.is_empty());
    let user = user.ok_or_else(|| {
        Error::new(ErrorKind::BadStartup, "start-up message has no user parameter")
    })?;
    let database = parameters.get("database").unwrap_or(user);
    let position = parameters.get("options").and_then(|options| position_option(options));
    Ok(StartupRequest { user: user.into(), database: database.into(), position })
}

/// Finds `-c medlarstile.position=...` or `--medlarstile.position=...` in the start-up options.
fn position_option(options: &str) -> Option<CompactString> {
    let mut words = options.split_whitespace();
    while let Some(word) = words.next() {
        let setting = match word.strip_prefix("-c") {
            Some("") => words.next().unwrap_or_default(),
            Some(setting) => setting,
            None => word.strip_prefix("--").unwrap_or_default(),
        };
        if let Some((name, value)) = setting.split_once('=') {
            if name == POSITION_PARAMETER {
                return Some(value.into());
            }
        }
    }
    None
}
