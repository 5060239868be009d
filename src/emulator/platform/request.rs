//! Decodes HTTP requests into calls and encodes replies as HTTP responses.

use compact_str::{format_compact, CompactString};
use form_urlencoded::parse as parse_query;
use medlarstile::core::store::{Answer, Call, Commit, Transaction};
use medlarstile::wire::platform::{
    parse_prefix, path, CheckBody, CommittedBody, ConflictsBody, FaultBody, HostsBody,
    ListedHostBody, NamesBody, RowsBody, TransactionBody,
};
use serde::Serialize;
use serde_json::Value;

use super::control::ControlBody;
use super::state::Reply;

/// Client name of calls that name none.
const ANONYMOUS: &str = "anonymous";

/// A decoded request.
#[derive(Debug)]
pub enum Request {
    /// Call to the platform by the named client.
    Call(CompactString, Call<Value>),
    /// Change of the injected faults, from `POST /control`.
    Control(Box<ControlBody>),
    /// Query for the faults and counters, from `GET /control`.
    Report,
}

impl Request {
    /// Whether this is a call to the platform rather than a `/control` request.
    pub fn is_call(&self) -> bool {
        matches!(self, Request::Call(..))
    }
}

/// The parts of an HTTP request that decoding needs.
#[derive(Debug)]
pub struct RequestParts<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path and query.
    pub url: &'a str,
    /// Value of the header that names the client.
    pub client: Option<&'a str>,
    /// Request body.
    pub body: Vec<u8>,
}

/// Status and body of an HTTP response.
#[derive(Debug)]
pub struct EncodedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the body is JSON; other bodies are raw bytes.
    pub json: bool,
    /// Response body.
    pub body: Vec<u8>,
}

/// Decodes an HTTP request.
///
/// # Errors
///
/// Returns a reply with status 400 for invalid content, or 404 for an unknown route.
pub fn decode(parts: RequestParts<'_>) -> Result<Request, Reply> {
    let (path, query) = parts.url.split_once('?').unwrap_or((parts.url, ""));
    if path == "/control" {
        return decode_control(&parts);
    }
    let parameter = |name: &str| {
        let mut pairs = parse_query(query.as_bytes());
        pairs.find(|(key, _)| key == name).map(|(_, value)| CompactString::from(value))
    };
    let given_client = parts.client.map(CompactString::from).or_else(|| parameter("client"));
    let client = given_client.unwrap_or_else(|| ANONYMOUS.into());
    let prefix = parameter("prefix").unwrap_or_default();
    let object = path.strip_prefix(path::OBJECTS).and_then(|suffix| suffix.strip_prefix('/'));
    let call = match (parts.method, path, object) {
        ("GET", path::ROWS, _) => Call::Read {
            table: parameter("table").unwrap_or_default().parse().map_err(bad_request)?,
            prefix: parse_prefix(&prefix).map_err(bad_request)?,
        },
        ("POST", path::TRANSACTION, _) => {
            let body: TransactionBody = serde_json::from_slice(&parts.body).map_err(bad_request)?;
            Call::Transact(Transaction::from(body))
        }
        ("GET", path::OBJECTS, _) => {
            Call::ListObjects { prefix: parse_prefix(&prefix).map_err(bad_request)? }
        }
        ("GET", _, Some(name)) => Call::GetObject { name: name.parse().map_err(bad_request)? },
        ("PUT", _, Some(name)) => {
            Call::PutObject { name: name.parse().map_err(bad_request)?, content: parts.body }
        }
        ("GET", path::HOSTS, _) => Call::ListHosts,
        (method, path, _) => return Err(Reply::Error(404, format_compact!("no {method} {path}"))),
    };
    Ok(Request::Call(client, call))
}

fn decode_control(parts: &RequestParts<'_>) -> Result<Request, Reply> {
    match parts.method {
        "GET" => Ok(Request::Report),
        "POST" => Ok(Request::Control(serde_json::from_slice(&parts.body).map_err(bad_request)?)),
        method => Err(Reply::Error(404, format_compact!("no {method} /control"))),
    }
}

fn bad_request(error: impl std::fmt::Display) -> Reply {
    Reply::Error(400, format_compact!("{error}"))
}

/// Encodes a reply as an HTTP response.
pub fn encode(reply: Reply) -> EncodedResponse {
    match reply {
        Reply::Error(status, error) => json_response(status, &FaultBody { error }),
        Reply::Report(report) => json_response(200, &report),
        Reply::Answer(Answer::Rows(rows)) => json_response(200, &RowsBody::from(rows)),
        Reply::Answer(Answer::Commit(Commit::Committed(commit_seq))) => {
            json_response(200, &CommittedBody { commit_seq })
        }
        Reply::Answer(Answer::Commit(Commit::Conflicts(conflicts))) => {
            let conflicts = conflicts.into_iter().map(CheckBody::from).collect();
            json_response(409, &ConflictsBody { conflicts })
        }
        Reply::Answer(Answer::Stored) => {
            EncodedResponse { status: 204, json: false, body: Vec::new() }
        }
        Reply::Answer(Answer::Object(Some(body))) => {
            EncodedResponse { status: 200, json: false, body }
        }
        Reply::Answer(Answer::Object(None)) => {
            json_response(404, &FaultBody { error: "no such object".into() })
        }
        Reply::Answer(Answer::Names(names)) => json_response(200, &NamesBody { names }),
        Reply::Answer(Answer::Hosts(hosts)) => {
            let hosts = hosts.into_iter().map(ListedHostBody::from).collect();
            json_response(200, &HostsBody { hosts })
        }
    }
}

fn json_response<T: Serialize>(status: u16, body: &T) -> EncodedResponse {
    let body = serde_json::to_vec(body)
        .expect("response bodies have only string keys, so they serialize to JSON");
    EncodedResponse { status, json: true, body }
}
