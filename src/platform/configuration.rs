//! Decodes the operator's configuration.
//!
//! Each entry is decoded by itself. One that cannot be decoded is left out, so that it keeps neither
//! the other entries of its version nor the withdrawal of keys and routes from coming into force.
//! What is left out is refused: an earlier version of the entry is no longer what the operator wants.

use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::number::Whole;
use crate::core::proxy::catalog::{AccountLimit, CallerKey, Catalog, GroupConfig, ReadRule, Route};
use crate::types::{
    AccountId, ConnectionCount, DatabaseName, DurationMs, GroupId, MilliTokens, Priority, RatePerS,
    TableVersion,
};

/// Maximum age of data for a route that sets none.
const DEFAULT_AGE: DurationMs = DurationMs(1_000);
/// Urgency of a route that states none.
const DEFAULT_PRIORITY: Priority = Priority(1);
/// Highest rate per second and burst that are told apart; their thousandths fit into 64 bits with
/// room for the shares that are computed from them.
const MAX_RATE: f64 = 1e12;

/// A decoded version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// The entries that could be decoded.
    pub catalog: Catalog,
    /// The entries that are left out.
    pub ignored: Vec<IgnoredEntry>,
}

/// An entry of the configuration that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IgnoredEntry {
    /// The part of the configuration that it belongs to.
    pub section: &'static str,
    /// Its name, if it has one.
    pub name: Option<CompactString>,
    /// What is wrong with it, without the values of secrets.
    pub detail: String,
}

#[derive(Deserialize)]
struct JsonConfiguration<'a> {
    version: Whole,
    #[serde(borrow, default)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    services: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    tenants: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    limits: Option<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonRoute {
    database: Option<CompactString>,
    #[serde(rename = "type")]
    rule: Option<CompactString>,
    service: CompactString,
    timeout_ms: Whole,
    target_latency_ms: Option<Whole>,
    max_staleness_ms: Option<Whole>,
    priority: Option<Whole>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonService {
    name: CompactString,
    max_connections: Whole,
    #[serde(default)]
    sync_replicas: Whole,
    /// Seconds for which an endpoint is cold after its start; zero or missing: it is never cold.
    warmup_s: Option<f64>,
    /// Requests per second that a cold endpoint accepts from all hosts together.
    warmup_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonTenant {
    name: CompactString,
    #[serde(default)]
    api_keys: Vec<CompactString>,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonLimits {
    #[serde(default)]
    tx_idle_ms: f64,
}

/// Name of an entry that cannot be decoded otherwise.
#[derive(Deserialize)]
struct JsonName {
    name: CompactString,
}

/// Decodes a version of the configuration.
///
/// # Errors
///
/// A description of what is wrong with the text as a whole: it is no JSON, has no version, or a
/// section of it is no list.
pub fn read(bytes: &[u8]) -> Result<Configuration, String> {
    let json: JsonConfiguration<'_> =
        serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let version = TableVersion(json.version.0);
    let mut read =
        Configuration { catalog: Catalog { version, ..Catalog::default() }, ignored: Vec::new() };
    let limits = json.limits.into_iter().collect();
    read.add_entries("limits", limits, describe, add_limits);
    read.add_entries("services", json.services, describe, add_service);
    read.add_entries("routes", json.routes, describe, add_route);
    // The description of an error may quote a key.
    let place = |error: &serde_json::Error| format!("invalid at column {}", error.column());
    read.add_entries("tenants", json.tenants, place, add_tenant);
    Ok(read)
}

impl Configuration {
    /// Decodes the entries of a section and adds them to the catalog, or to those left out.
    fn add_entries<T: DeserializeOwned>(
        &mut self,
        section: &'static str,
        entries: Vec<&RawValue>,
        describe: impl Fn(&serde_json::Error) -> String,
        add: impl Fn(&mut Catalog, T) -> Result<(), String>,
    ) {
        for entry in entries {
            let decoded = serde_json::from_str(entry.get()).map_err(|error| describe(&error));
            if let Err(detail) = decoded.and_then(|entry| add(&mut self.catalog, entry)) {
                let name = serde_json::from_str::<JsonName>(entry.get()).ok();
                let name = name.map(|found| found.name);
                self.ignored.push(IgnoredEntry { section, name, detail });
            }
        }
    }
}

fn describe(error: &serde_json::Error) -> String {
    error.to_string()
}

fn add_limits(catalog: &mut Catalog, limits: JsonLimits) -> Result<(), String> {
    // Rounded up, since zero means without limit.
    catalog.transaction_idle_ms = DurationMs(limits.tx_idle_ms.max(0.0).ceil() as u64);
    Ok(())
}

fn add_service(catalog: &mut Catalog, service: JsonService) -> Result<(), String> {
    let group = GroupId::from_external(&service.name).map_err(|error| format!("name: {error}"))?;
    let warms_up = service.warmup_s.is_none_or(|seconds| seconds > 0.0);
    let slow_start = service.warmup_per_s.filter(|rate| *rate > 0.0 && warms_up);
    let config = GroupConfig {
        connections: ConnectionCount(service.max_connections.to_u32()),
        sync_replicas: service.sync_replicas.to_u32(),
        slow_start: slow_start.map(|rate| RatePerS(whole_rate(rate))),
        read_target_ms: DurationMs(u64::MAX),
    };
    catalog.groups.insert(group, config);
    Ok(())
}

fn add_route(catalog: &mut Catalog, route: JsonRoute) -> Result<(), String> {
    // A route without a database is for traffic that this proxy does not serve.
    let Some(database) = &route.database else { return Ok(()) };
    let database =
        DatabaseName::from_external(database).map_err(|error| format!("database: {error}"))?;
    let route = read_route(&route)?;
    if let Some(group) = catalog.groups.get_mut(&route.group) {
        if route.rule != ReadRule::Primary {
            group.read_target_ms = group.read_target_ms.min(route.target_latency_ms);
        }
    }
    catalog.routes.insert(database, Rc::new(route));
    Ok(())
}

fn read_route(route: &JsonRoute) -> Result<Route, String> {
    let age = route.max_staleness_ms.map_or(DEFAULT_AGE, |age_ms| DurationMs(age_ms.0));
    let rule = match route.rule.as_deref() {
        Some("primary") => ReadRule::Primary,
        Some("bounded_staleness") => ReadRule::MaxAge(age),
        Some("read_your_writes") => ReadRule::OwnWrites(age),
        other => return Err(format!("unknown route type {other:?}")),
    };
    Ok(Route {
        group: GroupId::from_external(&route.service)
            .map_err(|error| format!("service: {error}"))?,
        rule,
        statement_limit_ms: DurationMs(route.timeout_ms.0),
        target_latency_ms: DurationMs(route.target_latency_ms.unwrap_or(route.timeout_ms).0),
        priority: route.priority.map_or(DEFAULT_PRIORITY, |priority| Priority(priority.0)),
        open: route.public,
    })
}

fn add_tenant(catalog: &mut Catalog, tenant: JsonTenant) -> Result<(), String> {
    let account =
        AccountId::from_external(&tenant.name).map_err(|error| format!("name: {error}"))?;
    if let Some(rate) = tenant.rate_per_s {
        let burst = milli_tokens(tenant.burst.unwrap_or(rate));
        let limit = AccountLimit { rate_per_s: milli_tokens(rate), burst };
        catalog.accounts.insert(account.clone(), limit);
    }
    let keys: BTreeMap<CallerKey, _> =
        tenant.api_keys.iter().map(|key| (CallerKey::new(key), account.clone())).collect();
    catalog.keys.extend(keys);
    Ok(())
}

fn whole_rate(rate: f64) -> u64 {
    rate.clamp(0.0, MAX_RATE) as u64
}

/// Operations, or operations per second, in thousandths.
fn milli_tokens(operations: f64) -> MilliTokens {
    MilliTokens((operations.clamp(0.0, MAX_RATE) * MilliTokens::ONE.0 as f64) as u64)
}
