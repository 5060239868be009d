//! The tables as TOML for operators and as JSON in the platform's row `config/current`.

use compact_str::CompactString;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::auth::Secret;
use crate::tables::{KeyRow, PoolRow, RouteRow, Tables};
use crate::types::{
    AttemptId, Burst, ConnectionCount, DurationMs, RatePerS, Slots, TableVersion, Weight,
};

/// Why tables cannot be read from a text or written as one.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TableTextError {
    /// {file}:{line}: {detail}
    Toml {
        /// File name as given by the operator.
        file: CompactString,
        /// Line of the fault, counted from 1.
        line: usize,
        /// Error message of the TOML parser.
        detail: String,
    },
    /// row config/current is not readable: {0}
    Json(String),
    /// tables cannot be written: {0}
    Write(String),
}

impl std::error::Error for TableTextError {}

/// The TOML file that operators edit, with `[[routes]]` and `[[pools]]`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireTables {
    /// Rows of the routes table.
    #[serde(default)]
    pub routes: Vec<WireRoute>,
    /// Rows of the pools table.
    #[serde(default)]
    pub pools: Vec<WirePool>,
}

/// Value of the platform's row `config/current`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireConfig {
    /// Version of the tables.
    pub version: u64,
    /// Who made the edit.
    pub editor: CompactString,
    /// Attempt that wrote the row; after a lost answer it identifies the writer's own write.
    pub attempt: u64,
    /// Rows of the routes table.
    pub routes: Vec<WireRoute>,
    /// Rows of the pools table.
    pub pools: Vec<WirePool>,
}

/// A row of the routes table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireRoute {
    /// Unique name of the row.
    pub name: CompactString,
    /// Database that callers ask for.
    pub database: CompactString,
    /// Client account or `*`.
    pub account: CompactString,
    /// Rate limit in statements per second.
    pub rate_per_s: u64,
    /// Largest burst in statements.
    pub burst: u64,
    /// Weight in the fair queue; 1 if absent.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Pool name.
    pub pool: CompactString,
    /// `session`, `primary` or `age:<ms>`.
    pub freshness: CompactString,
    /// Longest queue wait in milliseconds.
    pub max_wait_ms: u64,
    /// Keys; absent on open routes. This field is last because TOML requires tables after plain
    /// values.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<WireKey>,
}

/// A key of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireKey {
    /// Key id.
    pub key: CompactString,
    /// Verifier in PostgreSQL's text form.
    #[serde(with = "verifier_text")]
    pub verifier: Secret,
}

/// A row of the pools table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WirePool {
    /// Pool name.
    pub pool: CompactString,
    /// Group id.
    pub group: CompactString,
    /// Endpoint id.
    pub endpoint: CompactString,
    /// IP address and port.
    pub address: CompactString,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Largest number of concurrent statements.
    pub slots: u32,
    /// Largest number of connections from the whole fleet.
    pub connections: u32,
    /// `active` or `leaving`; `active` if absent.
    #[serde(default = "default_state")]
    pub state: CompactString,
}

fn default_weight() -> u32 {
    1
}

fn default_state() -> CompactString {
    "active".into()
}

/// Serde functions of a key's verifier; the only place that writes a [`Secret`] as text.
mod verifier_text {
    use compact_str::CompactString;
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::auth::Secret;

    pub(super) fn serialize<S: Serializer>(secret: &Secret, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(secret.expose())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Secret, D::Error> {
        CompactString::deserialize(from).map(Secret::new)
    }
}

/// Tables of the row `config/current`, with the edit that wrote them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Both tables.
    pub tables: Tables,
    /// Who made the edit.
    pub editor: CompactString,
    /// Attempt that wrote the row.
    pub attempt: AttemptId,
}

/// Reads the operators' TOML. The version of the result is 0; the actual version is assigned when
/// the tables are written to the platform.
///
/// # Errors
///
/// Text that is not TOML, unknown or missing columns, and values of the wrong type, with the line.
pub fn read_toml(file: &str, text: &str) -> Result<Tables, TableTextError> {
    let wire: WireTables = toml::from_str(text).map_err(|error| toml_error(file, text, &error))?;
    Ok(wire.into())
}

fn toml_error(file: &str, text: &str, error: &toml::de::Error) -> TableTextError {
    let start = error.span().map_or(0, |span| span.start).min(text.len());
    let line = text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count() + 1;
    let detail = error.message().lines().collect::<Vec<_>>().join("; ");
    TableTextError::Toml { file: file.into(), line, detail }
}

/// Writes the operators' TOML. Comments of the file that the operator edited are not kept.
///
/// # Errors
///
/// A number is above the largest integer of TOML.
pub fn write_toml(tables: &Tables) -> Result<String, TableTextError> {
    let wire = WireTables::from(tables);
    toml::to_string(&wire).map_err(|error| TableTextError::Write(error.to_string()))
}

/// Reads the value of the platform's row `config/current`.
///
/// # Errors
///
/// Text that is not JSON, unknown or missing columns, and values of the wrong type.
pub fn read_config(text: &str) -> Result<Config, TableTextError> {
    let wire: Result<WireConfig, _> = serde_json::from_str(text);
    wire.map(Config::from).map_err(|error| TableTextError::Json(error.to_string()))
}

/// Writes the value of the platform's row `config/current`.
///
/// # Errors
///
/// The error of the JSON encoder; none is expected for valid tables.
pub fn write_config(config: &Config) -> Result<String, TableTextError> {
    let wire = WireConfig::from(config);
    serde_json::to_string(&wire).map_err(|error| TableTextError::Write(error.to_string()))
}

impl From<WireTables> for Tables {
    fn from(wire: WireTables) -> Self {
        Self {
            version: TableVersion(0),
            routes: wire.routes.into_iter().map(RouteRow::from).collect(),
            pools: wire.pools.into_iter().map(PoolRow::from).collect(),
        }
    }
}

impl From<&Tables> for WireTables {
    fn from(tables: &Tables) -> Self {
        Self {
            routes: tables.routes.iter().map(WireRoute::from).collect(),
            pools: tables.pools.iter().map(WirePool::from).collect(),
        }
    }
}

impl From<WireConfig> for Config {
    fn from(wire: WireConfig) -> Self {
        let WireConfig { version, editor, attempt, routes, pools } = wire;
        let tables = Tables::from(WireTables { routes, pools });
        let tables = Tables { version: TableVersion(version), ..tables };
        Self { tables, editor, attempt: AttemptId(attempt) }
    }
}

impl From<&Config> for WireConfig {
    fn from(config: &Config) -> Self {
        let WireTables { routes, pools } = WireTables::from(&config.tables);
        let (version, attempt) = (config.tables.version.0, config.attempt.0);
        Self { version, editor: config.editor.clone(), attempt, routes, pools }
    }
}

impl From<WireRoute> for RouteRow {
    fn from(wire: WireRoute) -> Self {
        let keys = wire.keys.into_iter();
        Self {
            name: wire.name,
            database: wire.database,
            account: wire.account,
            keys: keys.map(|row| KeyRow { key: row.key, verifier: row.verifier }).collect(),
            rate_per_s: RatePerS(wire.rate_per_s),
            burst: Burst(wire.burst),
            weight: Weight(wire.weight),
            pool: wire.pool,
            freshness: wire.freshness,
            max_wait_ms: DurationMs(wire.max_wait_ms),
        }
    }
}

impl From<&RouteRow> for WireRoute {
    fn from(row: &RouteRow) -> Self {
        let keys = row.keys.iter().cloned();
        Self {
            name: row.name.clone(),
            database: row.database.clone(),
            account: row.account.clone(),
            rate_per_s: row.rate_per_s.0,
            burst: row.burst.0,
            weight: row.weight.0,
            pool: row.pool.clone(),
            freshness: row.freshness.clone(),
            max_wait_ms: row.max_wait_ms.0,
            keys: keys.map(|row| WireKey { key: row.key, verifier: row.verifier }).collect(),
        }
    }
}

impl From<WirePool> for PoolRow {
    fn from(wire: WirePool) -> Self {
        Self {
            pool: wire.pool,
            group: wire.group,
            endpoint: wire.endpoint,
            address: wire.address,
            failure_domain: wire.failure_domain,
            slots: Slots(wire.slots),
            connections: ConnectionCount(wire.connections),
            state: wire.state,
        }
    }
}

impl From<&PoolRow> for WirePool {
    fn from(row: &PoolRow) -> Self {
        Self {
            pool: row.pool.clone(),
            group: row.group.clone(),
            endpoint: row.endpoint.clone(),
            address: row.address.clone(),
            failure_domain: row.failure_domain.clone(),
            slots: row.slots.0,
            connections: row.connections.0,
            state: row.state.clone(),
        }
    }
}
