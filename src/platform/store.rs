//! Encodes and decodes the calls to the platform's store and to its promotion service.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::core::proxy::failover::PromoteAnswer;
use crate::types::{DurationMs, EndpointId, GroupId, HostId, RowVersion, StoreEra};

/// Table of the operator's configuration.
pub const CONFIGURATION_TABLE: &str = "op";
/// Key of the row with the latest configuration.
pub const CONFIGURATION_KEY: &str = "config";
/// Prefix of the keys of the operator's orders to evacuate a failure domain.
pub const EVACUATION_KEY_PREFIX: &str = "evacuate/";
/// Table of the endpoints' entries.
pub const ENDPOINT_TABLE: &str = "servers";

/// Header of the store's answers with its era.
pub const ERA_HEADER: &str = "Store-Era";

/// An HTTP request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query string.
    pub path: String,
    /// Headers other than `Host` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

/// An HTTP response of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of [`ERA_HEADER`], if there is one.
    pub era: Option<CompactString>,
    /// Response body.
    pub body: Vec<u8>,
}

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Key.
    pub key: CompactString,
    /// Value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the store at which the row last changed.
    pub version: RowVersion,
}

/// Rows, with the version of the store at which they were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRows {
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// Version of the store.
    pub version: RowVersion,
    /// Whether there are more rows after the last one.
    pub has_more: bool,
    /// Time on the store's steady clock in milliseconds.
    pub store_ms: Option<u64>,
}

/// Decoded answer to a read of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowsAnswer {
    /// The rows.
    Rows(StoreRows),
    /// The store no longer has the requested changes; all rows have to be read again.
    HistoryGone,
    /// The call was refused, or its answer cannot be decoded; with the reason.
    Refused(String),
}

/// Decoded answer to a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteAnswer {
    /// The write was applied and produced this version.
    Done(RowVersion),
    /// The row has this version and not the expected one; with the current row, if the answer has
    /// it.
    Changed(RowVersion, Option<StoreRow>),
    /// The write was not applied, or its answer cannot be decoded; with the reason.
    Refused(String),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonRows {
    #[serde(default)]
    rows: Vec<JsonRow>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    ver: u64,
    now_ms: Option<f64>,
}

#[derive(Deserialize)]
struct JsonRow {
    key: CompactString,
    value: Option<String>,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    removed: bool,
}

#[derive(Serialize)]
struct JsonTransaction<'a> {
    expect: Vec<JsonExpect<'a>>,
    puts: Vec<JsonPut<'a>>,
    remove: Vec<JsonKey<'a>>,
}

#[derive(Serialize)]
struct JsonExpect<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    ver: u64,
}

#[derive(Serialize)]
struct JsonPut<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
struct JsonKey<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

/// Request for the rows of a table, starting after the key `after` if it is given.
pub fn get_rows(table: &str, after: Option<&str>) -> HttpRequest {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.append_pair("table", table).append_pair("part", "");
    if let Some(after) = after {
        // The first possible key after `after` in byte order.
        query.append_pair("from", &format!("{after}\0"));
    }
    get(format!("/api/rows-get?{}", query.finish()))
}

/// Request for the rows of a table that changed after the version `after`; the store waits up to
/// `wait` for a change.
pub fn get_changes(table: &str, after: RowVersion, wait: DurationMs) -> HttpRequest {
    let after = after.number();
    get(format!("/api/rows-feed?table={table}&after={after}&waitMs={}", wait.0))
}

fn get(path: String) -> HttpRequest {
    HttpRequest { method: "GET", path, headers: Vec::new(), body: Vec::new() }
}

/// Request to write a row, or to remove it without a `value`, if it still has the version
/// `expected`; without an expected version the write is unconditional.
pub fn put_row(
    table: &str,
    key: &str,
    expected: Option<RowVersion>,
    value: Option<&[u8]>,
) -> HttpRequest {
    let part = "";
    let expect = expected.map(|version| JsonExpect { table, part, key, ver: version.number() });
    let put = value.map(|value| JsonPut { table, part, key, value: STANDARD.encode(value) });
    let remove = value.is_none().then_some(JsonKey { table, part, key });
    let transaction = JsonTransaction {
        expect: expect.into_iter().collect(),
        puts: put.into_iter().collect(),
        remove: remove.into_iter().collect(),
    };
    let body = serde_json::to_vec(&transaction).expect("a transaction of texts is always JSON");
    let headers = vec![("Content-Type", "application/json".to_owned())];
    HttpRequest { method: "POST", path: "/api/rows-tx".into(), headers, body }
}

/// Request to promote an endpoint under a fencing token.
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

/// Decodes the answer to [`get_rows`] or [`get_changes`].
pub fn read_rows(answer: &HttpAnswer) -> RowsAnswer {
    match answer.status {
        200 => match decode_rows(answer) {
            Ok(rows) => RowsAnswer::Rows(rows),
            Err(detail) => RowsAnswer::Refused(detail),
        },
        410 => RowsAnswer::HistoryGone,
        status => RowsAnswer::Refused(format!("status {status}")),
    }
}

/// Decodes the answer to [`put_row`].
pub fn read_write(answer: &HttpAnswer) -> WriteAnswer {
    match (answer.status, decode_rows(answer)) {
        (200, Ok(rows)) => WriteAnswer::Done(rows.version),
        (412, Ok(rows)) => {
            let row = rows.rows.into_iter().next();
            let version = row.as_ref().map_or(rows.version.absent(), |row| row.version);
            WriteAnswer::Changed(version, row)
        }
        (200 | 412, Err(detail)) => WriteAnswer::Refused(detail),
        (status, _) => WriteAnswer::Refused(format!("status {status}")),
    }
}

fn decode_rows(answer: &HttpAnswer) -> Result<StoreRows, String> {
    let json: JsonRows =
        serde_json::from_slice(&answer.body).map_err(|error| format!("body: {error}"))?;
    let era = decode_era(answer)?;
    let version = |number: u64| {
        RowVersion::in_era(era, number).ok_or(format!("version {number} of era {era} is too large"))
    };
    let row = |row: JsonRow| {
        let value = row.value.filter(|_| !row.removed && row.ver > 0).map(|text| {
            STANDARD.decode(text).unwrap_or_else(|error| {
                // The row comes from another writer; an empty value is ignored as undecodable.
                tracing::warn!(key = row.key.as_str(), %error, "store: value is not base64");
                Vec::new()
            })
        });
        Ok::<_, String>(StoreRow { key: row.key, value, version: version(row.ver)? })
    };
    let (has_more, version) = (json.has_more, version(json.ver)?);
    let store_ms = json.now_ms.filter(|now_ms| *now_ms >= 0.0).map(|now_ms| now_ms as u64);
    let rows = json.rows.into_iter().map(row).collect::<Result<_, _>>()?;
    Ok(StoreRows { rows, version, has_more, store_ms })
}

/// A store without the header has never been restored.
fn decode_era(answer: &HttpAnswer) -> Result<StoreEra, String> {
    let Some(text) = &answer.era else { return Ok(StoreEra(0)) };
    text.trim().parse().map_err(|error| format!("{ERA_HEADER}: {text:?}: {error}"))
}

/// Decodes the answer to [`promote`].
pub fn read_promotion(answer: &HttpAnswer) -> PromoteAnswer {
    match answer.status {
        200..=299 => PromoteAnswer::Accepted,
        409 => PromoteAnswer::Refused,
        _ => PromoteAnswer::Unavailable,
    }
}
