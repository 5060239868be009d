//! Callers of a host: accept, login, requests and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use compact_str::CompactString;
use rand::Rng;
use stakker::{actor, after, call, fwd_to, ret_nop, ret_some_to, ActorOwn, StopCause, CX};
use stakker_mio::mio::net::TcpStream;

use super::Host;
use crate::auth::{Nonce, Salt, ScramServer};
use crate::core::broker::Outcome;
use crate::core::classify::SessionCommand;
use crate::core::host::RoutePlan;
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::net::caller::{Answer, Caller, CallerEvent, RouteAnswer, StartupRequest};
use crate::net::cancel::Canceller;
use crate::types::{KeyId, RequestId, SessionId};
use crate::wire::batch::Batch;
use crate::wire::pg::{self, BackendKey};

/// `ParameterStatus` messages sent to a caller at login, with the values that PostgreSQL reports.
const LOGIN_PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "15.0 (medlarstile)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("is_superuser", "off"),
];

/// Time limit for sending a cancel request to an endpoint.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

impl Host {
    /// Starts the actor of an accepted connection.
    pub(super) fn add_caller(&mut self, cx: CX![], socket: TcpStream) {
        self.last_session += 1;
        let id = SessionId(self.last_session);
        let events = fwd_to!([cx], caller_event(id) as (CallerEvent));
        let on_stop = ret_some_to!([cx], caller_stopped(id) as (StopCause));
        let options = self.caller_options();
        let caller = actor!(cx, Caller::init(id, socket, options, events), on_stop);
        self.callers.insert(id, caller);
        self.core.set_open_callers(self.callers.len());
    }

    fn caller_stopped(&mut self, cx: CX![], id: SessionId, cause: StopCause) {
        if cause.has_error() {
            tracing::warn!("caller: {id} failed: {cause}");
        }
        let now = self.now(cx);
        self.callers.remove(&id);
        self.core.set_open_callers(self.callers.len());
        self.cancel_keys.remove(&id);
        self.core.caller_left(now, id);
        self.carry_out(cx);
    }

    fn caller_event(&mut self, cx: CX![], id: SessionId, event: CallerEvent) {
        let now = self.now(cx);
        match event {
            CallerEvent::Startup(request) => self.startup(cx, id, &request),
            CallerEvent::LoggedIn(key) => self.logged_in(cx, id, key),
            CallerEvent::Request(request, batch) => self.request(cx, id, request, *batch),
            CallerEvent::Command(request, command) => self.command(id, request, &command),
            CallerEvent::Cancel(key) => {
                let found = self.cancel_keys.iter().find(|(_, known)| **known == key);
                if let Some(session) = found.map(|(session, _)| *session) {
                    self.core.cancel(now, session);
                }
            }
            CallerEvent::Left => self.core.caller_left(now, id),
        }
        self.carry_out(cx);
    }

    /// Answers a start-up message with the authentication that the caller's route requires.
    fn startup(&mut self, cx: CX![], id: SessionId, request: &StartupRequest) {
        let now = self.now(cx);
        let StartupRequest { user, database, position } = request;
        let plan = self.core.startup(now, id, user, database, position.clone());
        let Some(caller) = self.caller(id) else { return };
        match plan {
            Ok(RoutePlan::Open) => call!([caller], continue_login(RouteAnswer::Open)),
            Ok(RoutePlan::Keyed(candidates)) => {
                let fallback_salt = Salt::for_unknown_account(self.fleet_secret(), user);
                let nonce = Nonce::random(&mut self.rng);
                let scram = Box::new(ScramServer::new(candidates, fallback_salt, nonce));
                call!([caller], continue_login(RouteAnswer::Keyed(scram)));
            }
            Err(error) => self.evict(id, error),
        }
    }

    /// Opens the session of an authenticated caller and gives it a key for cancel requests.
    fn logged_in(&mut self, cx: CX![], id: SessionId, key: Option<KeyId>) {
        let now = self.now(cx);
        let Some(caller) = self.caller(id) else { return };
        if let Err(error) = self.core.logged_in(now, id, key) {
            return self.evict(id, error);
        }
        let pid = i32::try_from(id.0 & 0x7fff_ffff).unwrap_or_default();
        let key = BackendKey { pid, secret: self.rng.random() };
        self.cancel_keys.insert(id, key);
        let login_messages = login_messages(key);
        call!([caller], admit(login_messages));
    }

    fn request(&mut self, cx: CX![], id: SessionId, request: RequestId, batch: Batch) {
        let now = self.now(cx);
        let class = batch.class.clone();
        self.batches.insert(request, batch);
        self.core.request(now, request, id, class);
    }

    /// Answers a statement that the host handles itself, without an endpoint.
    fn command(&mut self, id: SessionId, request: RequestId, command: &SessionCommand) {
        let Some(caller) = self.caller(id) else { return };
        let transaction = self.core.broker().session(id).map(|session| session.transaction);
        let transaction = transaction.unwrap_or_default();
        let answer = match command {
            SessionCommand::ShowPosition => Answer::Show(self.core.broker().position(id)),
            SessionCommand::SetFixed(_) => Answer::Set,
            SessionCommand::SetPosition(text) => {
                match self.core.broker_mut().set_position(id, text) {
                    Ok(()) => Answer::Set,
                    Err(error) => Answer::Fail(error),
                }
            }
        };
        call!([caller], end_request(request, answer, transaction, None));
    }

    /// Ends a request and passes its outcome to the caller.
    pub(super) fn end_request(
        &mut self,
        session: SessionId,
        request: RequestId,
        transaction: TransactionState,
        outcome: Outcome,
    ) {
        self.batches.remove(&request);
        self.metrics.request_ended(&outcome);
        let Some(caller) = self.caller(session) else { return };
        let (answer, token): (Answer, Option<CompactString>) = match outcome {
            Outcome::Release { token } => (Answer::Release, token),
            Outcome::Fail(error) => (Answer::Fail(error), None),
        };
        call!([caller], end_request(request, answer, transaction, token));
    }

    /// Cancels the statement that runs on an endpoint connection. PostgreSQL takes cancel requests
    /// only on a new connection.
    pub(super) fn send_cancel(&mut self, cx: CX![], (target, key): (SocketAddr, BackendKey)) {
        let canceller = actor!(cx, Canceller::init(target, key), ret_nop!());
        after!(CANCEL_TIMEOUT, [cx], drop_canceller(canceller));
    }

    fn drop_canceller(&mut self, _: CX![], canceller: ActorOwn<Canceller>) {
        drop(canceller);
    }
}

fn login_messages(key: BackendKey) -> BytesMut {
    let mut out = BytesMut::new();
    pg::put_auth_ok(&mut out);
    for (name, value) in LOGIN_PARAMETERS {
        pg::put_parameter(&mut out, name, value);
    }
    pg::put_backend_key(&mut out, key);
    out
}

/// Error of a request whose batch is no longer stored. Only a fault in the host can cause it.
pub(super) fn missing_batch_error() -> Error {
    Error::new(ErrorKind::Internal, "the messages of the request are no longer stored")
}
