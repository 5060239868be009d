//! Calls to the platform's store and to its service for promotions.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::core::proxy::failover::PromoteAnswer;
use crate::types::{DurationMs, EndpointId, GroupId, HostId, RowVersion};

/// Table with the operator's configuration.
pub const CONFIGURATION_TABLE: &str = "op";
/// Key of the newest configuration.
pub const CONFIGURATION_KEY: &str = "config";
/// Table with the endpoints' entries.
pub const ENDPOINT_TABLE: &str = "servers";

/// A request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Headers besides the length and the host.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Key.
    pub key: CompactString,
    /// Content; none if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the last change.
    pub version: RowVersion,
}

/// Rows and the version of the store that they show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRows {
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// Version of the store.
    pub version: RowVersion,
    /// Whether there are rows behind the last one.
    pub has_more: bool,
}

/// What a read of rows came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowsAnswer {
    /// The rows.
    Rows(StoreRows),
    /// The history asked for is gone; all rows have to be read again.
    HistoryGone,
    /// The call was refused or its answer cannot be read.
    Refused(String),
}

/// What a write under a condition came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteAnswer {
    /// It was done and made this version.
    Done(RowVersion),
    /// The row has another version.
    Changed(Option<StoreRow>),
    /// Nothing was done.
    Refused(String),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FileRows {
    #[serde(default)]
    rows: Vec<FileRow>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    ver: u64,
}

#[derive(Deserialize)]
struct FileRow {
    key: CompactString,
    value: Option<String>,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    removed: bool,
}

#[derive(Serialize)]
struct FileTransaction<'a> {
    expect: Vec<FileExpect<'a>>,
    puts: Vec<FilePut<'a>>,
    remove: Vec<FileKey<'a>>,
}

#[derive(Serialize)]
struct FileExpect<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    ver: u64,
}

#[derive(Serialize)]
struct FilePut<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
struct FileKey<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

/// Reads the rows of a table, those behind the key `after` if there is one.
pub fn get_rows(table: &str, after: Option<&str>) -> HttpRequest {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.append_pair("table", table).append_pair("part", "");
    if let Some(after) = after {
        // The first key behind `after` in byte order.
        query.append_pair("from", &format!("{after}\0"));
    }
    get(format!("/api/rows-get?{}", query.finish()))
}

/// Reads the rows of a table that changed after `after`, waiting up to `wait` for one.
pub fn get_changes(table: &str, after: RowVersion, wait: DurationMs) -> HttpRequest {
    get(format!("/api/rows-feed?table={table}&after={after}&waitMs={}", wait.0))
}

fn get(path: String) -> HttpRequest {
    HttpRequest { method: "GET", path, headers: Vec::new(), body: Vec::new() }
}

/// Writes, or removes, a row if it has still the version `expected`; without one, in any case.
pub fn put_row(
    table: &str,
    key: &str,
    expected: Option<RowVersion>,
    value: Option<&[u8]>,
) -> HttpRequest {
    let part = "";
    let expect = expected.map(|version| FileExpect { table, part, key, ver: version.0 });
    let put = value.map(|value| FilePut { table, part, key, value: STANDARD.encode(value) });
    let remove = value.is_none().then_some(FileKey { table, part, key });
    let transaction = FileTransaction {
        expect: expect.into_iter().collect(),
        puts: put.into_iter().collect(),
        remove: remove.into_iter().collect(),
    };
    let body = serde_json::to_vec(&transaction).expect("a transaction of texts is always JSON");
    let headers = vec![("Content-Type", "application/json".to_owned())];
    HttpRequest { method: "POST", path: "/api/rows-tx".into(), headers, body }
}

/// Promotes an endpoint under a fencing token.
pub fn promote(
    group: &GroupId,
    endpoint: &EndpointId,
    holder: &HostId,
    token: RowVersion,
) -> HttpRequest {
    #[derive(Serialize)]
    struct Body<'a> {
        service: &'a str,
        id: &'a str,
    }
    let body = Body { service: group.as_str(), id: endpoint.as_str() };
    let body = serde_json::to_vec(&body).expect("two texts are always JSON");
    let headers = vec![
        ("Content-Type", "application/json".to_owned()),
        ("X-Duty-Holder", holder.to_string()),
        ("X-Fencing-Token", token.to_string()),
    ];
    HttpRequest { method: "POST", path: "/promote".into(), headers, body }
}

/// Reads the answer to [`get_rows`] or [`get_changes`].
pub fn read_rows(answer: &HttpAnswer) -> RowsAnswer {
    match answer.status {
        200 => match decode_rows(&answer.body) {
            Ok(rows) => RowsAnswer::Rows(rows),
            Err(detail) => RowsAnswer::Refused(detail),
        },
        410 => RowsAnswer::HistoryGone,
        status => RowsAnswer::Refused(format!("status {status}")),
    }
}

/// Reads the answer to [`put_row`].
pub fn read_write(answer: &HttpAnswer) -> WriteAnswer {
    let rows = |body| decode_rows(body).map_err(|detail| format!("body: {detail}"));
    match (answer.status, rows(&answer.body)) {
        (200, Ok(rows)) => WriteAnswer::Done(rows.version),
        (412, Ok(rows)) => WriteAnswer::Changed(rows.rows.into_iter().next()),
        (200 | 412, Err(detail)) => WriteAnswer::Refused(detail),
        (status, _) => WriteAnswer::Refused(format!("status {status}")),
    }
}

fn decode_rows(body: &[u8]) -> Result<StoreRows, String> {
    let file: FileRows = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let row = |row: FileRow| {
        let value = row.value.filter(|_| !row.removed && row.ver > 0).map(|text| {
            STANDARD.decode(text).unwrap_or_else(|error| {
                // Another writer's row; an empty value names nothing to use.
                tracing::warn!(key = row.key.as_str(), %error, "store: value is not base64");
                Vec::new()
            })
        });
        StoreRow { key: row.key, value, version: RowVersion(row.ver) }
    };
    let (has_more, version) = (file.has_more, RowVersion(file.ver));
    Ok(StoreRows { rows: file.rows.into_iter().map(row).collect(), version, has_more })
}

/// Reads the answer to [`promote`].
pub fn read_promotion(answer: &HttpAnswer) -> PromoteAnswer {
    match answer.status {
        200..=299 => PromoteAnswer::Accepted,
        409 => PromoteAnswer::Refused,
        _ => PromoteAnswer::Unavailable,
    }
}
