//! Codec of the line protocol that callers and endpoints speak.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use displaydoc::Display;

pub use super::line_reader::{write_line, LineReader, LINE_END, MAX_LINE_BYTES};
use crate::core::group::Role;
use crate::core::proxy::connection::Owner;
use crate::core::proxy::job::{JobPayload, Order, Refusal, Setup, StatusReport, Work};
use crate::core::proxy::statement::{Access, PreparedStatement, Query, Statement};
use crate::core::proxy::Answer;
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind, Ran};
use crate::types::{DurationMs, EndpointId, GroupId, HostId, Position, PreparedId, Term};

/// Stands for the signature in answers to what neither reads, writes nor commits.
const NO_SIGNATURE: &str = "-";
/// Stands for the client account on connections for callers without one.
const NO_ACCOUNT: &str = "-";

/// Reason for which a message cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum LineError {
    /// message is larger than 1 MiB
    TooLong,
    /// unknown message {0:?}
    UnknownMessage(CompactString),
    /// message {0} is missing a field
    MissingField(&'static str),
    /// invalid field {0:?}
    InvalidField(CompactString),
    /// message is not valid UTF-8
    NotUtf8,
}

impl std::error::Error for LineError {}

/// A message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Requests a session.
    Startup {
        /// Name of the database.
        database: CompactString,
        /// Authentication key of the caller.
        key: CompactString,
    },
    /// Sends a statement, or one that cannot be decoded; the session goes on after either.
    Query(Result<Query, LineError>),
    /// Ends the session.
    Terminate,
}

/// A message from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointMessage {
    /// A row of the result.
    Row(Bytes),
    /// The statement succeeded, with this signature.
    Complete(CompactString),
    /// The statement failed.
    Error(Refusal, CompactString),
    /// The answer is complete; transaction state of the connection, log position of the endpoint.
    Ready(TransactionState, Option<Position>),
}

/// Splits a line into its first word and the rest.
fn split_word(line: &Bytes) -> (Bytes, Option<Bytes>) {
    match line.iter().position(|byte| *byte == b' ') {
        Some(at) => (line.slice(..at), Some(line.slice(at + 1..))),
        None => (line.clone(), None),
    }
}

fn utf8_text(bytes: &Bytes) -> Result<CompactString, LineError> {
    CompactString::from_utf8(bytes).map_err(|_| LineError::NotUtf8)
}

/// Removes the next field of a `message` from `rest`, or fails if there is none.
fn next_field(rest: &mut Option<Bytes>, message: &'static str) -> Result<CompactString, LineError> {
    let line =
        rest.take().filter(|line| !line.is_empty()).ok_or(LineError::MissingField(message))?;
    let (word, remaining) = split_word(&line);
    *rest = remaining;
    utf8_text(&word)
}

/// Returns the last field of a `message`, which extends to the end of the line, or fails if there is
/// none.
fn last_field(rest: Option<Bytes>, message: &'static str) -> Result<CompactString, LineError> {
    let field = rest.filter(|field| !field.is_empty()).ok_or(LineError::MissingField(message))?;
    utf8_text(&field)
}

/// Decodes a message from a caller.
///
/// # Errors
///
/// The message is unknown or is missing a field.
pub fn read_caller(line: &Bytes) -> Result<CallerMessage, LineError> {
    let (word, mut rest) = split_word(line);
    match &word[..] {
        b"STARTUP" => Ok(CallerMessage::Startup {
            database: next_field(&mut rest, "STARTUP")?,
            key: last_field(rest, "STARTUP")?,
        }),
        b"QUERY" => {
            let id = next_field(&mut rest, "QUERY")?;
            let query = rest.ok_or(LineError::MissingField("QUERY"));
            Ok(CallerMessage::Query(query.and_then(|query| read_query(id, query))))
        }
        b"TERMINATE" => Ok(CallerMessage::Terminate),
        _ => Err(LineError::UnknownMessage(utf8_text(&word)?)),
    }
}

fn read_query(id: CompactString, query: Bytes) -> Result<Query, LineError> {
    let (word, mut rest) = split_word(&query);
    let statement = match &word[..] {
        b"BEGIN" => match rest.as_deref() {
            None | Some(b"") => Statement::Begin { read_only: false },
            Some(b"READ") => Statement::Begin { read_only: true },
            Some(_) => return Err(LineError::InvalidField(utf8_text(&query)?)),
        },
        b"COMMIT" => Statement::Commit,
        b"ROLLBACK" => Statement::Rollback,
        b"READ" => Statement::Data(Access::Read),
        b"WRITE" => Statement::Data(Access::Write),
        b"SET" => Statement::Set {
            name: next_field(&mut rest, "SET")?,
            value: rest.as_ref().map(utf8_text).transpose()?.unwrap_or_default(),
        },
        b"PREPARE" => Statement::Prepare {
            name: next_field(&mut rest, "PREPARE")?,
            statement: read_prepared(rest)?,
        },
        b"EXECUTE" => Statement::Execute {
            name: next_field(&mut rest, "EXECUTE")?,
            arguments: rest.unwrap_or_default(),
        },
        b"CLOSE" => Statement::Close { name: last_field(rest, "CLOSE")? },
        _ => return Err(LineError::UnknownMessage(utf8_text(&word)?)),
    };
    Ok(Query { id, statement, text: query })
}

fn read_prepared(mut rest: Option<Bytes>) -> Result<PreparedStatement, LineError> {
    let access = next_field(&mut rest, "PREPARE")?;
    let access = match access.as_str() {
        "READ" => Access::Read,
        "WRITE" => Access::Write,
        _ => return Err(LineError::InvalidField(access)),
    };
    let prepared = rest.ok_or(LineError::MissingField("PREPARE"))?;
    Ok(PreparedStatement { access, text: utf8_text(&prepared)? })
}

/// A caller's message that is relayed to the home of its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayedMessage {
    /// A statement, for which the caller awaits an answer.
    Statement(Query),
    /// A statement that cannot be decoded; the home answers it with an error.
    Malformed,
    /// A message without an answer.
    Other,
}

/// Decodes a caller's line that is to be relayed.
pub fn read_relayed_message(line: &Bytes) -> RelayedMessage {
    match read_caller(line) {
        Ok(CallerMessage::Query(Ok(query))) => RelayedMessage::Statement(query),
        Ok(CallerMessage::Query(Err(_))) => RelayedMessage::Malformed,
        _ if line.starts_with(b"QUERY ") => RelayedMessage::Malformed,
        _ => RelayedMessage::Other,
    }
}

/// Whether no transaction is open, if the line of a home's answer is its end.
pub fn read_relayed_ready(line: &[u8]) -> Option<bool> {
    match line {
        [b'R', b'E', b'A', b'D', b'Y', b' ', state, ..] => Some(*state == b'I'),
        _ => None,
    }
}

/// Whether the line of a home's answer is an error.
pub fn is_relayed_error(line: &[u8]) -> bool {
    line.starts_with(b"ERROR ")
}

/// Encodes a caller's request for a session, to relay it to the session's home.
pub fn write_caller_startup(out: &mut BytesMut, database: &str, key: &str) {
    put_line(out, &["STARTUP", database, key]);
}

/// Decodes a message from an endpoint.
///
/// # Errors
///
/// The message is unknown, is missing a field or has an invalid one.
pub fn read_endpoint(line: &Bytes) -> Result<EndpointMessage, LineError> {
    let (word, mut rest) = split_word(line);
    match &word[..] {
        b"ROW" => Ok(EndpointMessage::Row(rest.unwrap_or_default())),
        b"COMPLETE" => {
            let signature = rest.as_ref().ok_or(LineError::MissingField("COMPLETE"))?;
            Ok(EndpointMessage::Complete(utf8_text(signature)?))
        }
        b"ERROR" => {
            let code = next_field(&mut rest, "ERROR")?;
            let detail = rest.as_ref().map(utf8_text).transpose()?.unwrap_or_default();
            Ok(EndpointMessage::Error(read_refusal(&code), detail))
        }
        b"READY" => {
            let state = next_field(&mut rest, "READY")?;
            let state = match state.as_str() {
                "I" => TransactionState::Idle,
                "T" => TransactionState::Open,
                "E" => TransactionState::Failed,
                _ => return Err(LineError::InvalidField(state)),
            };
            Ok(EndpointMessage::Ready(state, read_position(&next_field(&mut rest, "READY")?)?))
        }
        _ => Err(LineError::UnknownMessage(utf8_text(&word)?)),
    }
}

/// Whether the last field of an answer's `COMPLETE` is a signature.
pub fn is_signature(field: &str) -> bool {
    field != NO_SIGNATURE
}

fn read_position(text: &str) -> Result<Option<Position>, LineError> {
    if text == "-" {
        return Ok(None);
    }
    let position = text.split_once('.').and_then(|(term, number)| {
        Some(Position::new(Term(term.parse().ok()?), number.parse().ok()?))
    });
    position.map(Some).ok_or_else(|| LineError::InvalidField(text.into()))
}

/// Decodes the row that answers an order: role, term, last received log position, held term, lag in
/// milliseconds, busy slots, connections. The held term and what follows the lag are not used.
///
/// # Errors
///
/// A field is missing or invalid.
pub fn read_status(row: &Bytes) -> Result<StatusReport, LineError> {
    let line = utf8_text(row)?;
    let fields: Vec<&str> = line.split(' ').collect();
    let [role, term, received, _held, lag, ..] = fields[..] else {
        return Err(LineError::MissingField("STATUS"));
    };
    let role: Role = role.parse().map_err(|_| LineError::InvalidField(role.into()))?;
    let number = |text: &str| text.parse::<f64>().map_err(|_| LineError::InvalidField(text.into()));
    Ok(StatusReport {
        role,
        term: Term(term.parse().map_err(|_| LineError::InvalidField(term.into()))?),
        received: read_position(received)?.unwrap_or_default(),
        lag_ms: DurationMs(number(lag)?.max(0.0) as u64),
    })
}

/// Error codes of endpoints and the refusals that they stand for.
const REFUSAL_CODES: [(&str, Refusal); 8] = [
    ("BUSY", Refusal::Busy),
    ("NOSTMT", Refusal::UnknownStatement),
    ("LAGGING", Refusal::Lagging),
    ("READONLY", Refusal::ReadOnly),
    ("WRONGNODE", Refusal::WrongInstance),
    ("CONNLIMIT", Refusal::ConnectionLimit),
    ("FAILED", Refusal::Failed),
    ("TIMEOUT", Refusal::TimedOut),
];

fn read_refusal(code: &str) -> Refusal {
    REFUSAL_CODES.iter().find(|(known, _)| *known == code).map_or(Refusal::Other, |(_, kind)| *kind)
}

fn refusal_code(refusal: Refusal) -> &'static str {
    REFUSAL_CODES.iter().find(|(_, known)| *known == refusal).map_or("FAILED", |(code, _)| *code)
}

/// Error code that a caller gets for an error of this host. `BUSY`, `ABORTED` and `LAGGING`
/// guarantee that the attempt had no lasting effect.
fn error_code(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::NoRoute => "NODB",
        ErrorKind::WrongKey | ErrorKind::KeyWithdrawn => "UNAUTH",
        ErrorKind::BadStartup | ErrorKind::BadMessage | ErrorKind::MessageTooLarge => "MALFORMED",
        ErrorKind::UnknownStatement => "NOSTMT",
        ErrorKind::Stale => "LAGGING",
        ErrorKind::TransactionLost | ErrorKind::DeadlineExceeded | ErrorKind::Canceled => "ABORTED",
        _ if kind.answer().ran == Ran::NotRun => "BUSY",
        _ => "INDOUBT",
    }
}

/// Encodes an error that refuses a startup or answers a statement.
pub fn write_error(out: &mut BytesMut, error: &Error) {
    let code = error_code(error.kind);
    put_line(out, &["ERROR", code, &error.kind.to_string()]);
}

/// Encodes the message after which a caller may send the next statement.
pub fn write_ready(out: &mut BytesMut, state: TransactionState, position: Option<Position>) {
    let state = match state {
        TransactionState::Idle => "I",
        TransactionState::Open => "T",
        TransactionState::Failed => "E",
    };
    match position {
        Some(position) => put_line(out, &["READY", state, &write_position(position)]),
        None => put_line(out, &["READY", state, "-"]),
    }
}

/// Encodes the answer to a caller's statement.
pub fn write_answer(out: &mut BytesMut, answer: &Answer, state: TransactionState) {
    let mut answer_position = None;
    match answer {
        Answer::Done => put_line(out, &["COMPLETE", NO_SIGNATURE]),
        Answer::Endpoint { rows, signature, position } => {
            for row in rows {
                out.extend_from_slice(b"ROW ");
                out.extend_from_slice(row);
                out.extend_from_slice(LINE_END);
            }
            put_line(out, &["COMPLETE", signature]);
            answer_position = *position;
        }
        Answer::EndpointRefused(refusal, text) => {
            put_line(out, &["ERROR", refusal_code(*refusal), text]);
        }
        Answer::Refused(error) => write_error(out, error),
    }
    write_ready(out, state, answer_position);
}

/// Encodes the startup message of a connection to an endpoint.
pub fn write_startup(
    out: &mut BytesMut,
    group: &GroupId,
    owner: &Owner,
    host: &HostId,
    endpoint: &EndpointId,
) {
    let owner = match owner {
        Owner::Account(account) if !account.is_open() => account.as_str(),
        Owner::Account(_) => NO_ACCOUNT,
        Owner::Host => host.as_str(),
    };
    put_line(out, &["STARTUP", group.as_str(), owner, endpoint.as_str()]);
}

/// Encodes a setup step of a job.
pub fn write_setup(out: &mut BytesMut, step: &Setup) {
    match step {
        Setup::Reset => put_proxy_query(out, &["RESET"]),
        Setup::Set(name, value) => put_proxy_query(out, &["SET", name, value]),
        Setup::Prepare(id, prepared) => {
            let access = access_word(prepared.access);
            put_proxy_query(out, &["PREPARE", &prepared_name(*id), access, &prepared.text]);
        }
        Setup::Begin { read_only, after } => {
            let after = after.map(write_position);
            let mut words = Vec::new();
            if let Some(after) = &after {
                words.extend(["AFTER", after.as_str()]);
            }
            words.push("BEGIN");
            if *read_only {
                words.push("READ");
            }
            put_proxy_query(out, &words);
        }
    }
}

/// Encodes the statement or order of a job.
pub fn write_work(out: &mut BytesMut, work: &Work) {
    match work {
        Work::Statement { id, payload, after } => {
            out.extend_from_slice(b"QUERY ");
            out.extend_from_slice(id.as_bytes());
            out.extend_from_slice(b" ");
            if let Some(after) = after {
                out.extend_from_slice(format!("AFTER {} ", write_position(*after)).as_bytes());
            }
            match payload {
                JobPayload::Text(text) => out.extend_from_slice(text),
                JobPayload::Execute(prepared, arguments) => {
                    out.extend_from_slice(
                        format!("EXECUTE {} ", prepared_name(*prepared)).as_bytes(),
                    );
                    out.extend_from_slice(arguments);
                }
            }
            out.extend_from_slice(LINE_END);
        }
        Work::Order(order) => match order {
            // The begin among the job's setup steps is the proof.
            Order::Prove => {}
            Order::Status => put_proxy_query(out, &["STATUS"]),
            Order::Pause(term) => put_proxy_query(out, &["PAUSE", &term.to_string()]),
            Order::Resume => put_proxy_query(out, &["RESUME"]),
            Order::Demote(term) => put_proxy_query(out, &["DEMOTE", &term.to_string()]),
        },
        Work::Nothing => {}
    }
}

/// Encodes a rollback.
pub fn write_rollback(out: &mut BytesMut) {
    put_proxy_query(out, &["ROLLBACK"]);
}

/// Encodes the message that ends a connection.
pub fn write_terminate(out: &mut BytesMut) {
    put_line(out, &["TERMINATE"]);
}

/// Name of a prepared statement on a connection. A name is a single field, and a statement's text,
/// which may hold blanks, must not be part of it.
fn prepared_name(id: PreparedId) -> String {
    format!("p{id}")
}

fn access_word(access: Access) -> &'static str {
    match access {
        Access::Read => "READ",
        Access::Write => "WRITE",
    }
}

fn write_position(position: Position) -> String {
    format!("{}.{}", position.term, position.index)
}

fn put_proxy_query(out: &mut BytesMut, words: &[&str]) {
    out.extend_from_slice(b"QUERY - ");
    put_line(out, words);
}

fn put_line(out: &mut BytesMut, words: &[&str]) {
    for (index, word) in words.iter().enumerate() {
        if index > 0 {
            out.extend_from_slice(b" ");
        }
        out.extend_from_slice(word.as_bytes());
    }
    out.extend_from_slice(LINE_END);
}
