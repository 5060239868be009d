//! Actor for one connection of the load tool. It owns the socket and sends one statement at a time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use medlarstile::auth::{Nonce, ScramClient, Secret};
use medlarstile::chart::{Chart, Machine, NoGuard};
use medlarstile::chart_names;
use medlarstile::error::{Error, ErrorKind};
use medlarstile::net::stream::{Stream, StreamState};
use medlarstile::wire::pg::{self, AuthRequest, Frame};
use rand::{Rng, SeedableRng};
use rand_chacha::{ChaCha20Rng, ChaCha8Rng};
use stakker::{fwd, fwd_to, stop, Fwd, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use super::statement::{Mode, Statement};

/// Limit on the size of a received message, and on the input that is buffered before it is parsed.
const MAX_INPUT_BYTES: usize = 1024 * 1024;

chart_names! {
    /// States of a connection.
    pub enum LoadState {
        Open = "open", Connecting = "connecting", Authenticating = "authenticating",
        Preparing = "preparing", Idle = "idle", Busy = "busy", Closed = "closed",
    }
    /// Events of a connection.
    pub enum LoadInput {
        Connected = "connected", AuthRequest = "auth_request", Ready = "ready",
        Prepared = "prepared", Run = "run", Lost = "lost",
    }
    /// Actions of a connection.
    pub enum LoadAction {
        SendStartup = "send_startup", AnswerAuth = "answer_auth", Prepare = "prepare",
        ReportReady = "report_ready", SendStatement = "send_statement", Record = "record",
        ReportLost = "report_lost",
    }
}

type LoadChart = Chart<LoadState, LoadInput, NoGuard, LoadAction>;

static CHART: LazyLock<LoadChart> = LazyLock::new(|| {
    let text = include_str!("../../charts/load_connection.scxml");
    Chart::load("charts/load_connection.scxml", text)
        .expect("the chart is compiled in, and every test of the load tool parses it")
});

/// Address and login for the connections, and the kind of statements to send.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of a host or endpoint.
    pub address: SocketAddr,
    /// User to log in as; at a host, the client account.
    pub user: CompactString,
    /// Database to connect to.
    pub database: CompactString,
    /// Key of the client account, or password at an endpoint.
    pub password: Secret,
    /// Kind of statements.
    pub mode: Mode,
    /// Whether statements are prepared once and then executed by name.
    pub prepared: bool,
}

/// Event that a connection reports to the load run.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// Login and set-up are complete; the connection can send statements.
    Ready,
    /// A statement succeeded or failed.
    Done {
        /// Time from sending the statement to receiving `ReadyForQuery`.
        latency: Duration,
        /// SQLSTATE if the statement failed.
        error: Option<CompactString>,
    },
    /// The connection failed or was closed by the server.
    Lost {
        /// SQLSTATE of the last error, if the server sent one.
        error: Option<CompactString>,
        /// Cause, for the log.
        cause: String,
    },
}

/// Connection of the load tool.
pub struct Connection {
    target: Rc<Target>,
    events: Fwd<ConnectionEvent>,
    machine: Machine<LoadState, LoadInput, NoGuard, LoadAction>,
    stream: Stream,
    scram: Option<ScramClient>,
    auth: Option<AuthRequest>,
    setup: Vec<Statement>,
    error: Option<CompactString>,
    cause: String,
    sent_at: Option<Instant>,
    rng: ChaCha8Rng,
}

impl Connection {
    /// Starts to connect. After the login the connection sends the statements of `setup`, then, if
    /// the target asks for prepared statements, the `Parse` messages for them.
    pub fn init(
        cx: CX![],
        target: Rc<Target>,
        mut setup: Vec<Statement>,
        seed: u64,
        events: Fwd<ConnectionEvent>,
    ) -> Option<Self> {
        let stream = match Self::connect(cx, target.address) {
            Ok(stream) => stream,
            Err(error) => {
                fwd!([events], ConnectionEvent::Lost { error: None, cause: error.to_string() });
                stop!(cx);
                return None;
            }
        };
        if target.prepared {
            setup.extend(target.mode.parse_messages());
        }
        setup.reverse();
        Some(Self {
            target,
            events,
            machine: CHART.start(),
            stream,
            scram: None,
            auth: None,
            setup,
            error: None,
            cause: String::new(),
            sent_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        })
    }

    fn connect(cx: CX![], address: SocketAddr) -> std::io::Result<Stream> {
        let socket = TcpStream::connect(address)?;
        let miopoll = cx.anymap_get::<MioPoll>();
        Stream::new(&miopoll, socket, false, fwd_to!([cx], ready() as (Ready)))
    }

    /// Starts sending statements; the load run calls this once all connections are open.
    pub fn run(&mut self, cx: CX![]) {
        self.fire(cx, LoadInput::Run);
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if self.machine.is_done() {
            return;
        }
        if self.machine.state() == LoadState::Connecting {
            match self.stream.finish_connect() {
                Ok(true) => self.fire(cx, LoadInput::Connected),
                Ok(false) => return,
                Err(error) => return self.fail(cx, error.to_string()),
            }
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.receive(cx);
        }
        self.send(cx);
    }

    fn receive(&mut self, cx: CX![]) {
        loop {
            let state = self.stream.fill(MAX_INPUT_BYTES);
            if let Err(error) = self.process_messages(cx) {
                return self.fail(cx, error.to_string());
            }
            match state {
                StreamState::Closed(cause) => return self.fail(cx, cause),
                StreamState::Open if self.stream.has_unread() && !self.machine.is_done() => {}
                StreamState::Open => return,
            }
        }
    }

    fn process_messages(&mut self, cx: CX![]) -> Result<(), Error> {
        while let Some(frame) = pg::next_frame(&mut self.stream.input, MAX_INPUT_BYTES)? {
            match frame.tag {
                b'R' => {
                    self.auth = Some(pg::auth_request(&frame)?);
                    self.fire(cx, LoadInput::AuthRequest);
                }
                b'E' => self.on_error(&frame),
                b'Z' => self.fire(cx, LoadInput::Ready),
                _ => {}
            }
        }
        Ok(())
    }

    fn on_error(&mut self, frame: &Frame) {
        let (sqlstate, message) = pg::error_fields(frame);
        tracing::debug!("load: the server reported an error: {sqlstate} {message}");
        self.cause = message.to_string();
        self.error = Some(sqlstate);
    }

    fn fire(&mut self, cx: CX![], input: LoadInput) {
        if self.machine.is_done() {
            return;
        }
        let step = self.machine.fire(input, |guard| match guard {});
        for action in step.actions {
            self.act(cx, *action);
        }
    }

    fn act(&mut self, cx: CX![], action: LoadAction) {
        match action {
            LoadAction::SendStartup => {
                let (user, database) = (&self.target.user, &self.target.database);
                let parameters = [("user", user.as_str()), ("database", database.as_str())];
                pg::put_startup(&mut self.stream.output, &parameters);
                self.send(cx);
            }
            LoadAction::AnswerAuth => self.answer_auth(cx),
            LoadAction::Prepare => self.prepare(cx),
            LoadAction::ReportReady => fwd!([self.events], ConnectionEvent::Ready),
            LoadAction::SendStatement => self.send_statement(cx),
            LoadAction::Record => self.record(cx),
            LoadAction::ReportLost => {
                let (error, cause) = (self.error.take(), std::mem::take(&mut self.cause));
                fwd!([self.events], ConnectionEvent::Lost { error, cause });
                stop!(cx);
            }
        }
    }

    fn answer_auth(&mut self, cx: CX![]) {
        let Some(request) = self.auth.take() else { return };
        match self.auth_answer(request) {
            Ok(()) => self.send(cx),
            Err(error) => self.fail(cx, error.to_string()),
        }
    }

    fn auth_answer(&mut self, request: AuthRequest) -> Result<(), Error> {
        let unsupported = || {
            Error::new(
                ErrorKind::BadMessage,
                "the server requests an unsupported authentication method",
            )
        };
        let text = |data: &[u8]| String::from_utf8_lossy(data).into_owned();
        match request {
            AuthRequest::Ok => {}
            AuthRequest::CleartextPassword => {
                pg::put_password(&mut self.stream.output, self.target.password.expose());
            }
            AuthRequest::Sasl(_) => {
                let nonce = Nonce::random(&mut ChaCha20Rng::from_os_rng());
                let client = ScramClient::new("", self.target.password.clone(), nonce)?;
                pg::put_sasl_initial(&mut self.stream.output, client.first().as_bytes());
                self.scram = Some(client);
            }
            AuthRequest::SaslContinue(data) => {
                let client = self.scram.as_mut().ok_or_else(unsupported)?;
                let answer = client.on_continue(&text(&data))?;
                pg::put_sasl_response(&mut self.stream.output, answer.as_bytes());
            }
            AuthRequest::SaslFinal(data) => {
                self.scram.take().ok_or_else(unsupported)?.on_final(&text(&data))?;
            }
            AuthRequest::Other => return Err(unsupported()),
        }
        Ok(())
    }

    /// Sends the next statement of the set-up, or ends the set-up after the last one. Errors that
    /// the table or its rows exist already are ignored; any other error closes the connection.
    fn prepare(&mut self, cx: CX![]) {
        if let Some(error) = self.error.take() {
            if !Statement::is_already_present(&error) {
                let cause = format!("set-up failed: {error} {}", self.cause);
                self.error = Some(error);
                return self.fail(cx, cause);
            }
        }
        match self.setup.pop() {
            Some(statement) => {
                statement.put(&mut self.stream.output);
                self.send(cx);
            }
            None => self.fire(cx, LoadInput::Prepared),
        }
    }

    fn send_statement(&mut self, cx: CX![]) {
        let statement = self.target.mode.next(self.rng.random(), self.target.prepared);
        statement.put(&mut self.stream.output);
        self.sent_at = Some(cx.now());
        self.send(cx);
    }

    fn record(&mut self, cx: CX![]) {
        let Some(sent_at) = self.sent_at.take() else { return };
        let latency = cx.now().saturating_duration_since(sent_at);
        fwd!([self.events], ConnectionEvent::Done { latency, error: self.error.take() });
    }

    fn send(&mut self, cx: CX![]) {
        if let StreamState::Closed(cause) = self.stream.flush() {
            self.fail(cx, cause);
        }
    }

    fn fail(&mut self, cx: CX![], cause: String) {
        if self.cause.is_empty() {
            self.cause = cause;
        }
        self.fire(cx, LoadInput::Lost);
    }
}
