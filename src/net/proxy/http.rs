//! Minimal HTTP/1.1: a client for the platform's services and a server for probes and metrics.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use compact_str::CompactString;
use derive_more::Display;
use stakker::{actor, after, fwd_to, ret, stop, ActorOwn, FixedTimerKey, Ret, CX};
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::net::reactor::suspend_aware_clock;
use crate::net::stream::{Stream, StreamState};
use crate::platform::store::{HttpAnswer, HttpRequest, ERA_HEADER};
use crate::types::{DurationMs, Timestamp};

/// Size limit of the platform's answers, which hold at most 1 MB of rows, in base64 within JSON.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Size limit of a probe's request.
const MAX_PROBE_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;
/// Time after which a probe's connection is closed.
const PROBE_LIMIT: Duration = Duration::from_secs(30);
/// Time after which an unused connection is not used again: it may have gone silent, which only a
/// time limit would show.
const MAX_IDLE: DurationMs = DurationMs(2_000);
/// Poll priority of the listening socket.
const LISTENER_PRIORITY: u32 = 10;

/// Reason for which a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallFault {
    /// The call was never sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The call was sent; it may have been executed, or may be executed later.
    #[display("no answer: {_0}")]
    NoAnswer(String),
}

/// Result of a call.
pub type CallResult = Result<HttpAnswer, CallFault>;

struct PendingCall {
    ret: Ret<CallResult>,
    request: HttpRequest,
    sent: bool,
    timer: FixedTimerKey,
}

/// Actor of a client that runs one call at a time over a persistent connection.
pub struct HttpClient {
    address: SocketAddr,
    stream: Option<Stream>,
    /// When the connection last carried an answer.
    used_at: Timestamp,
    pending: Option<PendingCall>,
}

impl HttpClient {
    /// Creates a client of the server at `address`; it connects on the first call.
    pub fn init(_: CX![], address: SocketAddr) -> Option<Self> {
        Some(Self { address, stream: None, used_at: Timestamp(0), pending: None })
    }

    /// Sends a request and passes the result to `ret`, at the latest after `limit`.
    pub fn call(&mut self, cx: CX![], request: HttpRequest, limit: Duration, ret: Ret<CallResult>) {
        if self.pending.is_some() {
            ret!([ret], Err(CallFault::NotSent("another call is in progress".into())));
            return;
        }
        if suspend_aware_clock() >= self.used_at + MAX_IDLE {
            self.stream = None;
        }
        let timer = after!(limit, [cx], on_timeout());
        self.pending = Some(PendingCall { ret, request, sent: false, timer });
        if self.stream.is_none() {
            if let Err(error) = self.connect(cx) {
                return self.fail(cx, &error.to_string());
            }
        }
        self.progress(cx);
    }

    fn connect(&mut self, cx: CX![]) -> std::io::Result<()> {
        let socket = TcpStream::connect(self.address)?;
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        self.stream = Some(Stream::new(&miopoll, socket, false, ready)?);
        Ok(())
    }

    fn on_timeout(&mut self, cx: CX![]) {
        self.fail(cx, "time limit");
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        self.progress(cx);
    }

    fn progress(&mut self, cx: CX![]) {
        let Some(stream) = &mut self.stream else { return };
        match stream.finish_connect() {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => return self.fail(cx, &error.to_string()),
        }
        if let Some(pending) = self.pending.as_mut().filter(|pending| !pending.sent) {
            write_request(&mut stream.output, self.address, &pending.request);
            pending.sent = true;
        }
        if let StreamState::Closed(cause) = stream.flush() {
            return self.fail(cx, &cause);
        }
        let input_state = stream.fill(MAX_ANSWER_BYTES);
        match read_answer(&mut stream.input) {
            Ok(Some(answer)) => self.deliver_answer(cx, answer),
            Ok(None) => {
                if let StreamState::Closed(cause) = input_state {
                    self.fail(cx, &cause);
                }
            }
            Err(detail) => self.fail(cx, &detail),
        }
    }

    fn deliver_answer(&mut self, cx: CX![], answer: HttpAnswer) {
        let Some(pending) = self.pending.take() else {
            // An answer without a request: the connection is out of step.
            self.stream = None;
            return;
        };
        cx.timer_del(pending.timer);
        self.used_at = suspend_aware_clock();
        ret!([pending.ret], Ok(answer));
    }

    fn fail(&mut self, cx: CX![], cause: &str) {
        self.stream = None;
        if let Some(pending) = self.pending.take() {
            cx.timer_del(pending.timer);
            let fault = if pending.sent {
                CallFault::NoAnswer(cause.into())
            } else {
                CallFault::NotSent(cause.into())
            };
            ret!([pending.ret], Err(fault));
        }
    }
}

fn write_request(out: &mut BytesMut, host: SocketAddr, request: &HttpRequest) {
    let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&request.body);
}

/// Removes an answer from `input` once it is complete.
fn read_answer(input: &mut BytesMut) -> Result<Option<HttpAnswer>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head = match parsed.parse(input) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(error.to_string()),
    };
    let status = parsed.code.ok_or("answer has no status")?;
    let era = header(parsed.headers, ERA_HEADER).map(CompactString::from_utf8_lossy);
    if is_chunked(parsed.headers) {
        let Some((body, end)) = read_chunks(&input[head..])? else { return Ok(None) };
        input.advance(head + end);
        return Ok(Some(HttpAnswer { status, era, body }));
    }
    let length = content_length(parsed.headers)?;
    if head + length > MAX_ANSWER_BYTES {
        return Err(format!("answer of {length} bytes is too large"));
    }
    if input.len() < head + length {
        return Ok(None);
    }
    input.advance(head);
    Ok(Some(HttpAnswer { status, era, body: input.split_to(length).to_vec() }))
}

/// Value of the first header with this name.
fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

fn is_chunked(headers: &[httparse::Header<'_>]) -> bool {
    header(headers, "transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().ends_with(b"chunked"))
}

/// Reads a body in chunks. Returns it with the number of bytes that it takes, once it is complete.
fn read_chunks(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let size = httparse::parse_chunk_size(&input[at..]);
        let (line, size) = match size.map_err(|error| error.to_string())? {
            httparse::Status::Complete(found) => found,
            httparse::Status::Partial => return Ok(None),
        };
        at += line;
        if size == 0 {
            break;
        }
        let size = usize::try_from(size).map_err(|error| error.to_string())?;
        if body.len().saturating_add(size) > MAX_ANSWER_BYTES {
            return Err(format!("answer of more than {MAX_ANSWER_BYTES} bytes is too large"));
        }
        let end = at + size;
        // The chunk is followed by an empty rest of its line.
        if input.len() < end + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&input[at..end]);
        at = end + 2;
    }
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&input[at..], &mut trailers).map_err(|error| error.to_string())? {
        httparse::Status::Complete((end, _)) => Ok(Some((body, at + end))),
        httparse::Status::Partial => Ok(None),
    }
}

fn content_length(headers: &[httparse::Header<'_>]) -> Result<usize, String> {
    let Some(value) = header(headers, "content-length") else { return Ok(0) };
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    text.trim().parse().map_err(|_| format!("content length {text:?} is not a number"))
}

/// Function that answers a request: returns status and body for a path.
pub type Respond = Rc<RefCell<dyn FnMut(&str) -> (u16, String)>>;

/// Actor of a server for probes and metrics.
pub struct HttpServer {
    listener: MioSource<TcpListener>,
    respond: Respond,
    probes: BTreeMap<u64, ActorOwn<ProbeConnection>>,
    next_id: u64,
}

impl HttpServer {
    /// Listens at `address`; the actor fails if that is not possible.
    pub fn init(cx: CX![], address: SocketAddr, respond: Respond) -> Option<Self> {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept() as (Ready));
        let listener = TcpListener::bind(address).and_then(|listener| {
            miopoll.add(listener, Interest::READABLE, LISTENER_PRIORITY, ready)
        });
        match listener {
            Ok(listener) => Some(Self { listener, respond, probes: BTreeMap::new(), next_id: 0 }),
            Err(error) => {
                cx.fail_string(format!("cannot listen at {address}: {error}"));
                None
            }
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        loop {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    self.next_id += 1;
                    let id = self.next_id;
                    let respond = Rc::clone(&self.respond);
                    let on_ended =
                        stakker::ret_some_to!([cx], on_probe_ended(id) as (stakker::StopCause));
                    let probe = actor!(cx, ProbeConnection::init(socket, respond), on_ended);
                    self.probes.insert(id, probe);
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::warn!(%error, "probe: accept failed");
                    return;
                }
            }
        }
    }

    fn on_probe_ended(&mut self, _: CX![], id: u64, _: stakker::StopCause) {
        self.probes.remove(&id);
    }
}

/// Actor of one connection to the server.
struct ProbeConnection {
    stream: Stream,
    respond: Respond,
}

impl ProbeConnection {
    fn init(cx: CX![], socket: TcpStream, respond: Respond) -> Option<Self> {
        let miopoll = cx.anymap_get::<MioPoll>();
        match Stream::new(&miopoll, socket, true, fwd_to!([cx], ready() as (Ready))) {
            Ok(stream) => {
                after!(PROBE_LIMIT, [cx], end());
                Some(Self { stream, respond })
            }
            Err(error) => {
                tracing::debug!(%error, "probe: connection cannot be registered with the poll");
                stop!(cx);
                None
            }
        }
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        let input_state = self.stream.fill(MAX_PROBE_BYTES);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Request::new(&mut headers);
            let head = match parsed.parse(&self.stream.input) {
                Ok(httparse::Status::Complete(head)) => head,
                Ok(httparse::Status::Partial) => break,
                Err(error) => {
                    tracing::info!(%error, "probe: request cannot be read");
                    return self.end(cx);
                }
            };
            let path = parsed.path.unwrap_or("/").to_owned();
            self.stream.input.advance(head);
            let (status, body) = (self.respond.borrow_mut())(&path);
            write_answer(&mut self.stream.output, status, &body);
        }
        if input_state != StreamState::Open || self.stream.flush() != StreamState::Open {
            self.end(cx);
        }
    }

    fn end(&mut self, cx: CX![]) {
        stop!(cx);
    }
}

fn write_answer(out: &mut BytesMut, status: u16, body: &str) {
    let reason = if status == 200 { "OK" } else { "Unavailable" };
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body.as_bytes());
}
