//! The actor of one client connection: owns the socket, speaks the PostgreSQL protocol.

use std::time::Duration;

use medlarstile::types::ConnectionId;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey, Startup};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use stakker::{after, call, fwd_to, Actor, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::Ready;

use super::answer::{put, put_error, put_parameter};
use super::database::TransactionState;
use super::error::SqlError;
use super::fault::AnswerFault;
use super::login::{start, Phase, PhaseAction, PhaseEvent, PhaseMachine};
use super::server::EndpointServer;
use super::session::{Reply, Report, Session, Step};
use super::socket::Socket;

/// Parameters reported at start-up besides the group status.
const PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The user and password that the endpoint accepts. Passwords are checked in clear text, which
/// needs no further round trip; the emulator listens on loopback addresses only.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// User name.
    pub user: String,
    /// Password.
    pub password: String,
}

/// What a connection is started with.
pub struct ConnectionSpec {
    /// The server that owns the data.
    pub server: Actor<EndpointServer>,
    /// Number of the connection, also its process id in cancel requests.
    pub id: ConnectionId,
    /// Accepted credentials.
    pub credentials: Credentials,
    /// Whether the client is cut off from the start.
    pub frozen: bool,
    /// Present status.
    pub report: Report,
}

/// The server's answer to a connection that asked to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    /// Secret for cancel requests.
    pub secret: i32,
    /// Time before AuthenticationOk.
    pub accept_delay: Duration,
}

/// A reply with the state after it.
#[derive(Debug)]
pub struct Delivery {
    /// The reply.
    pub reply: Reply,
    /// Transaction state after it.
    pub state: TransactionState,
    /// Status after it.
    pub report: Report,
    /// Fault of this answer.
    pub fault: Option<AnswerFault>,
}

/// A client connection.
pub struct Connection {
    server: Actor<EndpointServer>,
    id: ConnectionId,
    credentials: Credentials,
    socket: Socket,
    context: DecodeContext,
    phase: PhaseMachine,
    session: Session,
    startup: Option<Startup>,
    admission: Option<Admission>,
    waiting: bool,
    frozen: bool,
}

impl Connection {
    /// Takes an accepted stream over.
    pub fn init(cx: CX![], stream: TcpStream, spec: ConnectionSpec) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let mut socket = match Socket::new(cx, stream, ready) {
            Ok(socket) => socket,
            Err(error) => {
                cx.fail(error);
                return None;
            }
        };
        socket.pause(spec.frozen);
        Some(Self {
            server: spec.server,
            id: spec.id,
            credentials: spec.credentials,
            socket,
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            phase: start(),
            session: Session::new(spec.report),
            startup: None,
            admission: None,
            waiting: false,
            frozen: spec.frozen,
        })
    }

    /// The server admits the connection, or refuses it for lack of room.
    pub fn admitted(&mut self, cx: CX![], admission: Option<Admission>) {
        match admission {
            Some(admission) => {
                self.admission = Some(admission);
                self.fire(cx, PhaseEvent::Admitted);
            }
            None => {
                let error = SqlError::fatal("53300", "sorry, too many clients already");
                self.end_with(cx, &error);
            }
        }
    }

    /// The reply to a request; `delay` holds it back.
    pub fn deliver(&mut self, cx: CX![], delivery: Delivery, delay: Duration) {
        if delay.is_zero() {
            self.finish(cx, delivery);
        } else {
            after!(delay, [cx], finish(delivery));
        }
    }

    /// The status changed.
    pub fn observe(&mut self, cx: CX![], report: Report) {
        self.session.observe(report);
        if self.phase.state() == Phase::Ready && !self.phase.is_done() {
            self.session.report_change();
            self.flush(cx);
        }
    }

    /// Cuts the client off, or lets it go on.
    pub fn set_frozen(&mut self, cx: CX![], frozen: bool) {
        let thawed = self.frozen && !frozen;
        self.frozen = frozen;
        self.socket.pause(frozen);
        if thawed {
            self.fire(cx, PhaseEvent::Thawed);
            self.receive(cx);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() {
            self.flush(cx);
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.receive(cx);
        }
    }

    fn receive(&mut self, cx: CX![]) {
        if self.frozen {
            return;
        }
        match self.socket.read() {
            Ok(true) => self.pump(cx),
            Ok(false) | Err(_) => {
                self.pump(cx);
                cx.stop();
            }
        }
    }

    /// Handles the messages that have arrived, up to one that has to wait for the server.
    fn pump(&mut self, cx: CX![]) {
        while !self.waiting && !self.frozen && self.reads() {
            match PgWireFrontendMessage::decode(&mut self.socket.input, &self.context) {
                Ok(Some(message)) => self.message(cx, message),
                Ok(None) => break,
                Err(error) => {
                    let error = SqlError::fatal("08P01", error.to_string());
                    return self.end_with(cx, &error);
                }
            }
        }
        self.flush(cx);
    }

    /// Whether the phase takes messages from the client.
    fn reads(&self) -> bool {
        let phase = self.phase.state();
        matches!(phase, Phase::Negotiating | Phase::Startup | Phase::Password | Phase::Ready)
    }

    fn message(&mut self, cx: CX![], message: PgWireFrontendMessage) {
        match (self.phase.state(), message) {
            (Phase::Ready, message) => {
                let step = self.session.on_message(message);
                self.step(cx, step);
            }
            (Phase::Negotiating, PgWireFrontendMessage::SslNegotiation(message)) => match message {
                SslNegotiationMetaMessage::None => {
                    self.context.awaiting_frontend_ssl = false;
                    self.fire(cx, PhaseEvent::Negotiated);
                }
                _ => put(
                    &mut self.session.out,
                    PgWireBackendMessage::SslResponse(SslResponse::Refuse),
                ),
            },
            (Phase::Startup, PgWireFrontendMessage::Startup(startup)) => {
                self.context.awaiting_frontend_startup = false;
                self.startup = Some(startup);
                self.fire(cx, PhaseEvent::Started);
            }
            (Phase::Startup, PgWireFrontendMessage::CancelRequest(cancel)) => {
                let CancelRequest { pid, secret_key, .. } = cancel;
                call!([self.server], cancel(pid, secret_key.as_i32()));
                self.close(cx);
            }
            (Phase::Password, PgWireFrontendMessage::PasswordMessageFamily(message)) => {
                let password = message.into_password().map(|message| message.password);
                self.check_password(cx, password.unwrap_or_default());
            }
            (_, other) => {
                let error = SqlError::fatal("08P01", format!("unexpected message {other:?}"));
                self.end_with(cx, &error);
            }
        }
    }

    fn step(&mut self, cx: CX![], step: Step) {
        match step {
            Step::Continue => (),
            Step::Ask(request) => {
                self.waiting = true;
                call!([self.server], request(self.id, request));
            }
            Step::Close => self.close(cx),
        }
    }

    fn parameter(&self, name: &str) -> Option<&String> {
        self.startup.as_ref().and_then(|startup| startup.parameters.get(name))
    }

    fn check_password(&mut self, cx: CX![], password: String) {
        let user = self.parameter("user").cloned().unwrap_or_default();
        if user == self.credentials.user && password == self.credentials.password {
            self.fire(cx, PhaseEvent::PasswordMatches);
        } else {
            let text = format!("password authentication failed for user \"{user}\"");
            self.end_with(cx, &SqlError::fatal("28P01", text));
        }
    }

    fn fire(&mut self, cx: CX![], event: PhaseEvent) {
        let step = self.phase.fire(event, |guard| match guard {});
        for action in step.actions {
            self.act(cx, *action);
        }
    }

    fn act(&mut self, cx: CX![], action: PhaseAction) {
        match action {
            PhaseAction::AskAdmission => {
                let application = self.parameter("application_name").cloned().unwrap_or_default();
                call!([self.server], admit(self.id, application));
            }
            PhaseAction::AskPassword => {
                let ask = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
                put(&mut self.session.out, ask);
                self.pump(cx);
            }
            PhaseAction::StartAcceptDelay => {
                let delay = self.admission.map(|admission| admission.accept_delay);
                after!(delay.unwrap_or_default(), [cx], settled());
            }
            PhaseAction::Welcome => self.welcome(cx),
        }
    }

    fn settled(&mut self, cx: CX![]) {
        self.fire(cx, PhaseEvent::Settled);
    }

    fn welcome(&mut self, cx: CX![]) {
        let Some(admission) = self.admission else { return };
        let out = &mut self.session.out;
        put(out, PgWireBackendMessage::Authentication(Authentication::Ok));
        for (name, value) in PARAMETERS {
            put_parameter(out, name, value);
        }
        let secret = SecretKey::I32(admission.secret);
        let key = BackendKeyData::new(self.id.0 as i32, secret);
        put(out, PgWireBackendMessage::BackendKeyData(key));
        let step = self.session.ready();
        self.step(cx, step);
    }

    fn finish(&mut self, cx: CX![], delivery: Delivery) {
        let before = self.session.out.len();
        self.waiting = false;
        self.session.observe(delivery.report);
        self.session.on_reply(delivery.reply, delivery.state);
        match delivery.fault {
            None => self.pump(cx),
            Some(AnswerFault::Drop) => {
                self.session.out.truncate(before);
                self.close(cx);
            }
            Some(AnswerFault::Truncate(bytes)) => {
                self.session.out.truncate(before + bytes);
                self.close(cx);
            }
        }
    }

    fn end_with(&mut self, cx: CX![], error: &SqlError) {
        put_error(&mut self.session.out, error);
        self.close(cx);
    }

    /// Closes once everything queued was written.
    fn close(&mut self, cx: CX![]) {
        self.fire(cx, PhaseEvent::Close);
        self.flush(cx);
    }

    fn flush(&mut self, cx: CX![]) {
        let out = self.session.out.split();
        if self.socket.send(&out).is_err() || (self.phase.is_done() && self.socket.is_flushed()) {
            cx.stop();
        }
    }
}
