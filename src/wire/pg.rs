//! PostgreSQL frames: splits a byte stream into frames and encodes the proxy's own messages.
//!
//! Frames that the proxy only forwards are not decoded.

use std::collections::BTreeMap;

use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::extendedquery::{Close, TARGET_TYPE_BYTE_STATEMENT};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, Password, SASLInitialResponse, SASLResponse,
    SecretKey, Startup,
};
use pgwire::messages::terminate::Terminate;
use pgwire::messages::{DecodeContext, Message};

use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind, Ran};
use crate::wire::shape::{is_field_list, is_sasl_initial};

/// Bytes of the length field of every frame.
const LENGTH_BYTES: usize = 4;
/// Name of the only SASL mechanism that the proxy supports.
pub const SCRAM_MECHANISM: &str = "SCRAM-SHA-256";
/// Largest start-up packet in bytes, the same limit as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Request code of `SSLRequest`.
const SSL_REQUEST_CODE: u32 = 80_877_103;
/// Request code of `GSSENCRequest`.
const GSS_REQUEST_CODE: u32 = 80_877_104;
/// Request code of `CancelRequest`.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;

/// One tagged message with its header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Message type byte.
    pub tag: u8,
    /// The whole message, type byte and length included.
    pub bytes: Bytes,
}

impl Frame {
    /// The message without type byte and length.
    pub fn body(&self) -> &[u8] {
        &self.bytes[1 + LENGTH_BYTES..]
    }

    /// Decodes the frame as a message of type `M`.
    ///
    /// # Errors
    ///
    /// `bad_message` when the body does not follow the protocol.
    pub fn decode<M: Message>(&self) -> Result<M, Error> {
        let mut buffer = BytesMut::from(&self.bytes[..]);
        match M::decode(&mut buffer, &DecodeContext::default()) {
            Ok(Some(message)) => Ok(message),
            Ok(None) => Err(bad_message("message is shorter than its length field")),
            Err(error) => Err(bad_message(&error.to_string())),
        }
    }
}

/// Removes the next frame from `buffer`; `None` until it is complete.
///
/// # Errors
///
/// `bad_message` for a length field below its own size, `message_too_large` above `limit_bytes`.
pub fn next_frame(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<Frame>, Error> {
    if buffer.len() < 1 + LENGTH_BYTES {
        return Ok(None);
    }
    let length = (&buffer[1..]).get_u32() as usize;
    if length < LENGTH_BYTES {
        return Err(bad_message(&format!("length field is {length}, at least 4 is allowed")));
    }
    if length > limit_bytes {
        let detail = format!("message has {length} bytes, at most {limit_bytes} are allowed");
        return Err(Error::new(ErrorKind::MessageTooLarge, detail));
    }
    if buffer.len() < 1 + length {
        return Ok(None);
    }
    let bytes = buffer.split_to(1 + length).freeze();
    Ok(Some(Frame { tag: bytes[0], bytes }))
}

/// Untagged packets with which a client may open a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FirstPacket {
    /// The client requests TLS.
    SslRequest,
    /// The client requests GSSAPI encryption.
    GssRequest,
    /// The client requests to cancel what another connection runs.
    Cancel(BackendKey),
    /// Start-up parameters by name.
    Startup(BTreeMap<String, String>),
}

/// Process id and secret of `BackendKeyData` and `CancelRequest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendKey {
    /// Process id.
    pub pid: i32,
    /// Secret that a cancel request must repeat.
    pub secret: i32,
}

/// Removes the next untagged packet from `buffer`; `None` until it is complete.
///
/// # Errors
///
/// `bad_startup` when the packet is not valid in version 3 of the protocol.
pub fn next_first_packet(buffer: &mut BytesMut) -> Result<Option<FirstPacket>, Error> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let mut header = &buffer[..];
    let length = header.get_u32() as usize;
    if !(2 * LENGTH_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        let detail = format!("start-up packet length is {length}, 8 to 10000 are allowed");
        return Err(Error::new(ErrorKind::BadStartup, detail));
    }
    if buffer.len() < length {
        return Ok(None);
    }
    let code = header.get_u32();
    let packet = buffer.split_to(length);
    match code {
        SSL_REQUEST_CODE => Ok(Some(FirstPacket::SslRequest)),
        GSS_REQUEST_CODE => Ok(Some(FirstPacket::GssRequest)),
        CANCEL_REQUEST_CODE => cancel_packet(&packet).map(Some),
        _ => startup_packet(packet, code).map(Some),
    }
}

fn cancel_packet(packet: &[u8]) -> Result<FirstPacket, Error> {
    if packet.len() != 16 {
        let detail = format!("cancel request has {} bytes, 16 are allowed", packet.len());
        return Err(Error::new(ErrorKind::BadStartup, detail));
    }
    let mut fields = &packet[8..];
    Ok(FirstPacket::Cancel(BackendKey { pid: fields.get_i32(), secret: fields.get_i32() }))
}

fn startup_packet(mut packet: BytesMut, code: u32) -> Result<FirstPacket, Error> {
    if code >> 16 != 3 {
        let detail =
            format!("protocol version is {}.{}, 3.0 is allowed", code >> 16, code & 0xffff);
        return Err(Error::new(ErrorKind::BadStartup, detail));
    }
    match Startup::decode(&mut packet, &DecodeContext::default()) {
        Ok(Some(startup)) => Ok(FirstPacket::Startup(startup.parameters)),
        Ok(None) => Err(Error::new(ErrorKind::BadStartup, "start-up packet is truncated")),
        Err(error) => Err(Error::new(ErrorKind::BadStartup, error.to_string())),
    }
}

fn bad_message(detail: &str) -> Error {
    Error::new(ErrorKind::BadMessage, detail)
}

/// Transaction state in a `ReadyForQuery` frame; `None` if the body is malformed.
pub fn transaction_state(frame: &Frame) -> Option<TransactionState> {
    match frame.body() {
        b"I" => Some(TransactionState::Idle),
        b"T" => Some(TransactionState::Open),
        b"E" => Some(TransactionState::Failed),
        _ => None,
    }
}

impl From<TransactionState> for TransactionStatus {
    fn from(state: TransactionState) -> TransactionStatus {
        match state {
            TransactionState::Idle => TransactionStatus::Idle,
            TransactionState::Open => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        }
    }
}

/// Appends `message` to `out`.
pub fn put<M: Message>(out: &mut BytesMut, message: &M) {
    message.encode(out).expect("messages of the proxy are below the size limits");
}

/// Appends `ReadyForQuery`.
pub fn put_ready(out: &mut BytesMut, state: TransactionState) {
    put(out, &ReadyForQuery::new(state.into()));
}

/// Appends a `ParameterStatus`.
pub fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    put(out, &ParameterStatus::new(name.to_owned(), value.to_owned()));
}

/// Appends a `BackendKeyData`.
pub fn put_backend_key(out: &mut BytesMut, key: BackendKey) {
    put(out, &BackendKeyData::new(key.pid, SecretKey::I32(key.secret)));
}

/// Appends a `CommandComplete`.
pub fn put_complete(out: &mut BytesMut, tag: &str) {
    put(out, &CommandComplete::new(tag.to_owned()));
}

/// Appends the result of a `SHOW`: one row with one text column.
pub fn put_show_result(out: &mut BytesMut, column: &str, value: &str) {
    const TEXT_OID: u32 = 25;
    let field = FieldDescription::new(column.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    put(out, &RowDescription::new(vec![field]));
    let mut data = BytesMut::with_capacity(LENGTH_BYTES + value.len());
    let length = u32::try_from(value.len()).expect("proxy values are short");
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    put(out, &DataRow::new(data, 1));
    put_complete(out, "SHOW");
}

/// Appends the `ErrorResponse` for `error`, with the SQLSTATE and hint of [`ErrorKind::answer`].
pub fn put_error(out: &mut BytesMut, error: &Error) {
    let answer = error.kind.answer();
    let severity = if answer.fatal { "FATAL" } else { "ERROR" };
    let ran = match answer.ran {
        Ran::NotRun => "The request was not run.",
        Ran::Unknown => "The outcome of the request is unknown.",
        Ran::Ran => "The request ran.",
    };
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', answer.sqlstate.to_string()),
        (b'M', error.to_string()),
        (b'D', ran.to_owned()),
        (b'H', answer.hint.to_string()),
    ];
    put(out, &ErrorResponse::new(fields));
}

/// SQLSTATE and message of an `ErrorResponse` frame; empty where a field is missing.
pub fn error_fields(frame: &Frame) -> (CompactString, CompactString) {
    let mut sqlstate = CompactString::default();
    let mut message = CompactString::default();
    if !is_field_list(frame.body()) {
        return (sqlstate, "the endpoint sent a malformed ErrorResponse".into());
    }
    if let Ok(error) = frame.decode::<ErrorResponse>() {
        for (tag, text) in error.fields {
            match tag {
                b'C' => sqlstate = text.into(),
                b'M' => message = text.into(),
                _ => {}
            }
        }
    }
    (sqlstate, message)
}

/// Name and value in a `ParameterStatus` frame; `None` if the body is malformed.
pub fn parameter_fields(frame: &Frame) -> Option<(CompactString, CompactString)> {
    let status = frame.decode::<ParameterStatus>().ok()?;
    Some((status.name.into(), status.value.into()))
}

/// Authentication request of an endpoint during login.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuthRequest {
    /// Login is complete.
    Ok,
    /// The endpoint requests the password in clear text.
    CleartextPassword,
    /// The endpoint offers SASL mechanisms.
    Sasl(Vec<String>),
    /// Next step of a SASL exchange.
    SaslContinue(Bytes),
    /// Last step of a SASL exchange.
    SaslFinal(Bytes),
    /// A method that the proxy does not support.
    Other,
}

impl From<Authentication> for AuthRequest {
    fn from(message: Authentication) -> AuthRequest {
        match message {
            Authentication::Ok => AuthRequest::Ok,
            Authentication::CleartextPassword => AuthRequest::CleartextPassword,
            Authentication::SASL(mechanisms) => AuthRequest::Sasl(mechanisms),
            Authentication::SASLContinue(data) => AuthRequest::SaslContinue(data),
            Authentication::SASLFinal(data) => AuthRequest::SaslFinal(data),
            _ => AuthRequest::Other,
        }
    }
}

/// Decodes an `Authentication` frame.
///
/// # Errors
///
/// `bad_message` when the body does not follow the protocol.
pub fn auth_request(frame: &Frame) -> Result<AuthRequest, Error> {
    if frame.body().len() < LENGTH_BYTES {
        return Err(bad_message("authentication message is truncated"));
    }
    Ok(frame.decode::<Authentication>()?.into())
}

/// Appends `AuthenticationOk`.
pub fn put_auth_ok(out: &mut BytesMut) {
    put(out, &Authentication::Ok);
}

/// Appends `AuthenticationSASL` with the offered mechanisms.
pub fn put_sasl_offer(out: &mut BytesMut, mechanisms: Vec<String>) {
    put(out, &Authentication::SASL(mechanisms));
}

/// Appends `AuthenticationSASLContinue`.
pub fn put_sasl_continue(out: &mut BytesMut, data: &[u8]) {
    put(out, &Authentication::SASLContinue(Bytes::copy_from_slice(data)));
}

/// Appends `AuthenticationSASLFinal`.
pub fn put_sasl_final(out: &mut BytesMut, data: &[u8]) {
    put(out, &Authentication::SASLFinal(Bytes::copy_from_slice(data)));
}

/// Mechanism and first client message of a `SASLInitialResponse` body.
///
/// # Errors
///
/// `bad_message` when the body does not follow the protocol.
pub fn sasl_initial(frame: &Frame) -> Result<(String, Bytes), Error> {
    if !is_sasl_initial(frame.body()) {
        return Err(bad_message("SASLInitialResponse is malformed"));
    }
    let message = frame.decode::<SASLInitialResponse>()?;
    Ok((message.auth_method, message.data.unwrap_or_default()))
}

/// Client message of a `SASLResponse` body.
///
/// # Errors
///
/// `bad_message` when the body does not follow the protocol.
pub fn sasl_response(frame: &Frame) -> Result<Bytes, Error> {
    Ok(frame.decode::<SASLResponse>()?.data)
}

/// Appends a start-up packet with `parameters`.
pub fn put_startup(out: &mut BytesMut, parameters: &[(&str, &str)]) {
    let mut startup = Startup::new();
    for (name, value) in parameters {
        startup.parameters.insert((*name).to_owned(), (*value).to_owned());
    }
    put(out, &startup);
}

/// Appends a simple query.
pub fn put_query(out: &mut BytesMut, sql: &str) {
    put(out, &Query::new(sql.to_owned()));
}

/// Appends a `Close` of the prepared statement `name`.
pub fn put_close_statement(out: &mut BytesMut, name: &str) {
    put(out, &Close::new(TARGET_TYPE_BYTE_STATEMENT, Some(name.to_owned())));
}

/// Appends a `PasswordMessage` in clear text.
pub fn put_password(out: &mut BytesMut, password: &str) {
    put(out, &Password::new(password.to_owned()));
}

/// Appends a `SASLInitialResponse` for SCRAM-SHA-256.
pub fn put_sasl_initial(out: &mut BytesMut, data: &[u8]) {
    let data = Some(Bytes::copy_from_slice(data));
    put(out, &SASLInitialResponse::new(SCRAM_MECHANISM.to_owned(), data));
}

/// Appends a `SASLResponse`.
pub fn put_sasl_response(out: &mut BytesMut, data: &[u8]) {
    put(out, &SASLResponse::new(Bytes::copy_from_slice(data)));
}

/// Appends `Terminate`.
pub fn put_terminate(out: &mut BytesMut) {
    put(out, &Terminate::new());
}

/// Encodes a `CancelRequest` for `key`.
pub fn cancel_request(key: BackendKey) -> BytesMut {
    let mut out = BytesMut::new();
    put(&mut out, &CancelRequest::new(key.pid, SecretKey::I32(key.secret)));
    out
}

/// Process id and secret of a `BackendKeyData` frame; `None` if the body is too short.
pub fn backend_key(frame: &Frame) -> Option<BackendKey> {
    let body = frame.body();
    if body.len() < 8 {
        return None;
    }
    let mut fields = body;
    Some(BackendKey { pid: fields.get_i32(), secret: fields.get_i32() })
}
