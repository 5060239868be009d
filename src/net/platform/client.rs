//! Blocking HTTP client for the platform.

use std::net::SocketAddr;

use compact_str::{format_compact, CompactString};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use ureq::http::Response;
use ureq::{Agent, Body, Timeout};

use crate::core::store::{Answer, Call, CallError, Check, Commit, ListedHost, Rows, Transaction};
use crate::types::{DurationMs, HostId, ObjectName, RowKey, TableName};
use crate::wire::platform::{
    path, CommittedBody, ConflictsBody, FaultBody, HostsBody, NamesBody, RowsBody, TransactionBody,
    CLIENT_HEADER,
};

/// Default time limit for opening a connection.
const CONNECT_LIMIT: DurationMs = DurationMs(250);

/// Default time limit of a whole call. A host's view of the tables expires at an age of 3,000 ms;
/// two calls fit into it, so one slow call does not expire the view.
const CALL_LIMIT: DurationMs = DurationMs(1_000);

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Address of the platform, id of the calling host or tool, and time limits of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    address: SocketAddr,
    client: HostId,
    connect_limit: DurationMs,
    call_limit: DurationMs,
}

impl PlatformSettings {
    /// Settings with a connect limit of 250 ms and a call limit of 1,000 ms.
    pub fn new(address: SocketAddr, client: HostId) -> Self {
        Self { address, client, connect_limit: CONNECT_LIMIT, call_limit: CALL_LIMIT }
    }

    /// Sets the time limit for opening a connection.
    pub fn with_connect_limit(mut self, limit: DurationMs) -> Self {
        self.connect_limit = limit;
        self
    }

    /// Sets the time limit of a whole call, from its start to the last byte received.
    pub fn with_call_limit(mut self, limit: DurationMs) -> Self {
        self.call_limit = limit;
        self
    }
}

/// A blocking client; it never retries a call by itself.
#[derive(Debug)]
pub struct PlatformClient {
    agent: Agent,
    settings: PlatformSettings,
}

impl PlatformClient {
    /// Creates a client; its first call opens a connection.
    pub fn new(settings: PlatformSettings) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .timeout_connect(Some(settings.connect_limit.to_std()))
            .timeout_global(Some(settings.call_limit.to_std()));
        Self { agent: config.build().new_agent(), settings }
    }

    /// Reads the rows of `table` whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; a read has no effect.
    pub fn read(
        &self,
        table: &TableName,
        prefix: Option<&RowKey>,
    ) -> Result<Rows<Value>, CallError> {
        let prefix = prefix.map_or("", RowKey::as_str);
        let query = [("table", table.as_str()), ("prefix", prefix)];
        Ok(read_json::<RowsBody>(self.get(path::ROWS, &query)?)?.into())
    }

    /// Sends a transaction once, without retries.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn transact(&self, transaction: Transaction<Value>) -> Result<Commit, CallError> {
        let body = TransactionBody::from(transaction);
        let answer =
            self.send("POST", path::TRANSACTION, &encode_json(&body), "application/json")?;
        if answer.status().as_u16() == 409 {
            let conflicts = read_json::<ConflictsBody>(answer)?.conflicts;
            return Ok(Commit::Conflicts(conflicts.into_iter().map(Check::from).collect()));
        }
        let body: CommittedBody = read_json(check_status(answer)?)?;
        Ok(Commit::Committed(body.commit_seq))
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn put_object(&self, name: &ObjectName, content: &[u8]) -> Result<(), CallError> {
        let path = object_path(name);
        check_status(self.send("PUT", &path, content, "application/octet-stream")?).map(|_| ())
    }

    /// Fetches an object; `None` if no object has this name.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn get_object(&self, name: &ObjectName) -> Result<Option<Vec<u8>>, CallError> {
        match self.get(&object_path(name), &[]) {
            Ok(mut answer) => {
                let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
                body.map(Some).map_err(call_error)
            }
            Err(CallError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Lists the names of objects that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn list_objects(&self, prefix: Option<&ObjectName>) -> Result<Vec<ObjectName>, CallError> {
        let query = [("prefix", prefix.map_or("", ObjectName::as_str))];
        Ok(read_json::<NamesBody>(self.get(path::OBJECTS, &query)?)?.names)
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn hosts(&self) -> Result<Vec<ListedHost>, CallError> {
        let body: HostsBody = read_json(self.get(path::HOSTS, &[])?)?;
        Ok(body.hosts.into_iter().map(ListedHost::from).collect())
    }

    /// Makes a call of any kind.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn call(&self, call: Call<Value>) -> Result<Answer<Value>, CallError> {
        match call {
            Call::Read { table, prefix } => self.read(&table, prefix.as_ref()).map(Answer::Rows),
            Call::Transact(transaction) => self.transact(transaction).map(Answer::Commit),
            Call::PutObject { name, content } => {
                self.put_object(&name, &content).map(|()| Answer::Stored)
            }
            Call::GetObject { name } => self.get_object(&name).map(Answer::Object),
            Call::ListObjects { prefix } => self.list_objects(prefix.as_ref()).map(Answer::Names),
            Call::ListHosts => self.hosts().map(Answer::Hosts),
        }
    }

    fn get(&self, path: &str, query: &[(&str, &str)]) -> Result<Response<Body>, CallError> {
        let request = self.agent.get(self.url(path)).query_pairs(query.iter().copied());
        let request = request.header(CLIENT_HEADER, self.settings.client.as_str());
        check_status(request.call().map_err(call_error)?)
    }

    fn send(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        media_type: &str,
    ) -> Result<Response<Body>, CallError> {
        let url = self.url(path);
        let request = if method == "PUT" { self.agent.put(url) } else { self.agent.post(url) };
        let request = request.header(CLIENT_HEADER, self.settings.client.as_str());
        request.content_type(media_type).send(body).map_err(call_error)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.address)
    }
}

fn object_path(name: &ObjectName) -> String {
    format!("{}/{name}", path::OBJECTS)
}

fn encode_json<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("bodies with string keys can be encoded as JSON")
}

/// Returns an answer with status 2xx, and an error otherwise. Status 4xx means that the call had no
/// effect; status 5xx leaves its effect unknown.
fn check_status(mut answer: Response<Body>) -> Result<Response<Body>, CallError> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    let fault = serde_json::from_str::<FaultBody>(&text).map(|fault| fault.error);
    let detail = fault.unwrap_or_else(|_| CompactString::from(text));
    if status.is_client_error() {
        return Err(CallError::Refused { status: status.as_u16(), detail });
    }
    Err(CallError::NoAnswer(format_compact!("HTTP status {}: {detail}", status.as_u16())))
}

fn read_json<T: DeserializeOwned>(mut answer: Response<Body>) -> Result<T, CallError> {
    let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
    serde_json::from_slice(&body.map_err(call_error)?)
        .map_err(|error| CallError::Malformed(format_compact!("{error}")))
}

/// Converts an error of the HTTP library. Only an error before the first byte of the call was sent
/// proves that the call had no effect.
fn call_error(error: ureq::Error) -> CallError {
    let detail = format_compact!("{error}");
    match error {
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => CallError::NotSent(detail),
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallError::NotSent(detail)
        }
        _ => CallError::NoAnswer(detail),
    }
}
