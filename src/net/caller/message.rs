//! Names of the caller chart, and what caller and hub tell each other.

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
        Open = "open", Starting = "starting", Routing = "routing", Proving = "proving",
        Admitting = "admitting", Idle = "idle", Waiting = "waiting", Closed = "closed",
    }
    /// Events of a caller connection.
    pub enum CallerInput {
        Lost = "lost", Fault = "fault", SslRequest = "ssl_request", CancelRequest = "cancel_request",
        Startup = "startup", OpenRoute = "open_route", KeyedRoute = "keyed_route", Proof = "proof",
        Proved = "proved", Admitted = "admitted", Request = "request", Terminate = "terminate",
        Answered = "answered",
    }
    /// Actions of a caller connection.
    pub enum CallerAction {
        Leave = "leave", Refuse = "refuse", AnswerSsl = "answer_ssl",
        ForwardCancel = "forward_cancel", Close = "close", AskRoute = "ask_route",
        LogIn = "log_in", OfferMechanisms = "offer_mechanisms", CheckProof = "check_proof",
        Greet = "greet", Submit = "submit", Finish = "finish",
    }
}

/// The compiled chart of caller connections.
pub type CallerChart = Chart<CallerState, CallerInput, NoGuard, CallerAction>;

/// Compiles the chart of caller connections.
///
/// # Errors
///
/// Every fault of the chart file.
pub fn chart() -> Result<CallerChart, Vec<ChartError>> {
    Chart::load("charts/caller.scxml", include_str!("../../../charts/caller.scxml"))
}

pub(super) static CHART: LazyLock<CallerChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// What a caller asked for in its start-up message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartupRequest {
    /// `user` parameter: the client account.
    pub user: CompactString,
    /// `database` parameter, the user name when absent.
    pub database: CompactString,
    /// Session token of the start-up options.
    pub position: Option<CompactString>,
}

/// What a caller tells the hub.
#[derive(Debug)]
pub enum CallerEvent {
    /// The start-up message arrived.
    Startup(StartupRequest),
    /// The caller has proved a key, or needs none.
    LoggedIn(Option<KeyId>),
    /// A request is complete.
    Request(RequestId, Box<Batch>),
    /// A statement that the hub answers.
    Command(RequestId, SessionCommand),
    /// A cancel request for another connection of this host.
    Cancel(BackendKey),
    /// The connection is gone.
    Left,
}

/// How the hub answers a start-up message.
#[derive(Debug)]
pub enum RouteAnswer {
    /// The route is open to all.
    Open,
    /// The caller must prove a key.
    Keyed(Box<ScramServer>),
}

/// Settings that all callers of a host share.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// TLS configuration; without one `SSLRequest` is declined.
    pub tls: Option<Arc<ServerConfig>>,
    /// Largest message that a caller may send.
    pub max_message_bytes: usize,
}

/// The end of a request, with what goes before `ReadyForQuery`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The endpoint's answer is passed on.
    Release,
    /// The endpoint's answer is dropped and the error sent instead.
    Fail(Error),
    /// The host answers a `SET`.
    Set,
    /// The host answers a `SHOW` with this text.
    Show(CompactString),
}

/// Reads the parameters of a start-up message.
///
/// # Errors
///
/// `bad_startup` when the user is missing.
pub(super) fn startup_request(
    parameters: &BTreeMap<String, String>,
) -> Result<StartupRequest, Error> {
    let user = parameters.get("user").filter(|user| !user.is_empty());
    let user = user.ok_or_else(|| Error::new(ErrorKind::BadStartup, "user is missing"))?;
    let database = parameters.get("database").unwrap_or(user);
    let position = parameters.get("options").and_then(|options| position_option(options));
    Ok(StartupRequest { user: user.into(), database: database.into(), position })
}

/// Finds `-c medlarstile.position=...` in the start-up options.
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
