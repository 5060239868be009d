//! Decodes the operator's configuration.

use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use serde::Deserialize;

use crate::core::proxy::catalog::{AccountLimit, CallerKey, Catalog, GroupConfig, ReadRule, Route};
use crate::types::{Burst, ConnectionCount, DurationMs, GroupId, Priority, RatePerS, TableVersion};

/// Maximum age of data for a route that sets none.
const DEFAULT_AGE: DurationMs = DurationMs(1_000);
/// Urgency of a route that states none.
const DEFAULT_PRIORITY: Priority = Priority(1);

#[derive(Deserialize)]
struct JsonConfiguration {
    version: u64,
    #[serde(default)]
    routes: Vec<JsonRoute>,
    #[serde(default)]
    services: Vec<JsonService>,
    #[serde(default)]
    tenants: Vec<JsonTenant>,
    #[serde(default)]
    limits: JsonLimits,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonRoute {
    database: Option<CompactString>,
    #[serde(rename = "type")]
    rule: Option<CompactString>,
    service: CompactString,
    timeout_ms: u64,
    target_latency_ms: Option<u64>,
    max_staleness_ms: Option<u64>,
    priority: Option<u8>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonService {
    name: CompactString,
    max_connections: u32,
    #[serde(default)]
    sync_replicas: u32,
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

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct JsonLimits {
    #[serde(default)]
    tx_idle_ms: u64,
}

/// Decodes a version of the configuration.
///
/// # Errors
///
/// A description of what is wrong with the text.
pub fn read(bytes: &[u8]) -> Result<Catalog, String> {
    let json: JsonConfiguration =
        serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let mut catalog = Catalog {
        version: TableVersion(json.version),
        transaction_idle_ms: DurationMs(json.limits.tx_idle_ms),
        ..Catalog::default()
    };
    for service in json.services {
        let group: GroupId = service.name.parse().map_err(|error| format!("service: {error}"))?;
        let connections = ConnectionCount(service.max_connections);
        let warms_up = service.warmup_s.is_none_or(|seconds| seconds > 0.0);
        let slow_start = service.warmup_per_s.filter(|rate| *rate > 0.0 && warms_up);
        let config = GroupConfig {
            connections,
            sync_replicas: service.sync_replicas,
            slow_start: slow_start.map(|rate| RatePerS(rate as u64)),
            read_target_ms: DurationMs(u64::MAX),
        };
        catalog.groups.insert(group, config);
    }
    for route in json.routes {
        // A route without a database is for traffic that this proxy does not serve.
        let Some(database) = &route.database else { continue };
        let database = database.parse().map_err(|error| format!("database: {error}"))?;
        let route = read_route(&route)?;
        if let Some(group) = catalog.groups.get_mut(&route.group) {
            if route.rule != ReadRule::Primary {
                group.read_target_ms = group.read_target_ms.min(route.target_latency_ms);
            }
        }
        catalog.routes.insert(database, Rc::new(route));
    }
    for tenant in json.tenants {
        read_tenant(&mut catalog, &tenant)?;
    }
    Ok(catalog)
}

fn read_route(route: &JsonRoute) -> Result<Route, String> {
    let age = route.max_staleness_ms.map_or(DEFAULT_AGE, DurationMs);
    let rule = match route.rule.as_deref() {
        Some("primary") => ReadRule::Primary,
        Some("bounded_staleness") => ReadRule::MaxAge(age),
        Some("read_your_writes") => ReadRule::OwnWrites(age),
        other => return Err(format!("unknown route type {other:?}")),
    };
    Ok(Route {
        group: route.service.parse().map_err(|error| format!("service: {error}"))?,
        rule,
        statement_limit_ms: DurationMs(route.timeout_ms),
        target_latency_ms: DurationMs(route.target_latency_ms.unwrap_or(route.timeout_ms)),
        priority: route.priority.map_or(DEFAULT_PRIORITY, Priority),
        open: route.public,
    })
}

fn read_tenant(catalog: &mut Catalog, tenant: &JsonTenant) -> Result<(), String> {
    let account: crate::types::AccountId =
        tenant.name.parse().map_err(|error| format!("tenant: {error}"))?;
    if let Some(rate) = tenant.rate_per_s {
        let to_whole = |value: f64| value.max(0.0) as u64;
        let burst = Burst(to_whole(tenant.burst.unwrap_or(rate)));
        let limit = AccountLimit { rate_per_s: RatePerS(to_whole(rate)), burst };
        catalog.accounts.insert(account.clone(), limit);
    }
    let keys: BTreeMap<CallerKey, _> =
        tenant.api_keys.iter().map(|key| (CallerKey::new(key), account.clone())).collect();
    catalog.keys.extend(keys);
    Ok(())
}
