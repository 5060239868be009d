//! Decoding of the operator's configuration: values at the limits, and entries that are not valid.

use medlarstile::core::proxy::catalog::{CallerKey, Catalog, ReadRule};
use medlarstile::core::proxy::quota::Quota;
use medlarstile::platform::configuration::{self, Configuration};
use medlarstile::platform::discovery;
use medlarstile::types::{DatabaseName, DurationMs, Priority, RowVersion, Timestamp};
use yare::parameterized;

/// A valid version, in which the tests replace a part.
const VALID: &str = r#"{"version":8,"limits":{"txIdleMs":3000},
    "services":[{"name":"db","maxConnections":38,"syncReplicas":0}],
    "routes":[{"name":"r1","database":"orders","type":"bounded_staleness","service":"db",
        "timeoutMs":1000,"targetLatencyMs":400,"maxStalenessMs":1500,"priority":2},
        {"name":"r2","database":"plans","type":"primary","service":"db","timeoutMs":2000}],
    "tenants":[{"name":"north","apiKeys":["k-1"],"ratePerS":140,"burst":70},
        {"name":"south","apiKeys":["k-2"]}]}"#;

fn read(found: &str, replacement: &str) -> Configuration {
    assert!(VALID.contains(found), "{found}");
    configuration::read(VALID.replace(found, replacement).as_bytes()).expect("a configuration")
}

fn keys(catalog: &Catalog) -> [bool; 2] {
    ["k-1", "k-2"].map(|key| catalog.keys.contains_key(&CallerKey::new(key)))
}

/// Guards against a number that is within the platform's limits but not within those of the type
/// that it is decoded into, for which the whole version was not applied.
#[parameterized(
    priority_of_16_bits = { r#""priority":2"#, r#""priority":1000"# },
    priority_above_64_bits = { r#""priority":2"#, r#""priority":36893488147419103232"# },
    priority_with_a_fraction = { r#""priority":2"#, r#""priority":2.0"# },
    time_with_a_fraction = { r#""timeoutMs":1000"#, r#""timeoutMs":1000.5"# },
    target_with_a_fraction = { r#""targetLatencyMs":400"#, r#""targetLatencyMs":4e2"# },
    age_with_a_fraction = { r#""maxStalenessMs":1500"#, r#""maxStalenessMs":1500.25"# },
    long_time = { r#""timeoutMs":1000"#, r#""timeoutMs":1e30"# },
    connections_above_32_bits = { r#""maxConnections":38"#, r#""maxConnections":5000000000"# },
    replicas_with_a_fraction = { r#""syncReplicas":0"#, r#""syncReplicas":0.0"# },
    idle_time_with_a_fraction = { r#""txIdleMs":3000"#, r#""txIdleMs":2999.5"# },
    high_rate = { r#""ratePerS":140"#, r#""ratePerS":1e300"# },
    version_with_a_fraction = { r#""version":8"#, r#""version":8.0"# },
    no_limits = { r#"{"txIdleMs":3000}"#, "null" },
)]
fn any_number_is_decoded(found: &str, replacement: &str) {
    let Configuration { catalog, ignored } = read(found, replacement);
    assert_eq!(ignored, []);
    assert_eq!((catalog.routes.len(), catalog.groups.len()), (2, 1));
    assert_eq!(keys(&catalog), [true, true]);
}

/// Guards against a number that is decoded as another one.
#[test]
fn numbers_keep_their_order_and_their_bounds() {
    let route = |found: &str, replacement: &str| {
        let database = "orders".parse().expect("a name");
        std::rc::Rc::clone(&read(found, replacement).catalog.routes[&database])
    };
    let priority = |text: &str| route(r#""priority":2"#, &format!(r#""priority":{text}"#)).priority;
    assert_eq!(priority("256"), Priority(256));
    assert!(priority("255") < priority("256") && priority("1000") < priority("1e30"));
    // Data must not be older than allowed, and zero would be no limit of the idle time.
    let rule = route(r#""maxStalenessMs":1500"#, r#""maxStalenessMs":1500.9"#).rule;
    assert_eq!(rule, ReadRule::MaxAge(DurationMs(1_500)));
    let idle = read(r#""txIdleMs":3000"#, r#""txIdleMs":0.5"#).catalog.transaction_idle_ms;
    assert_eq!(idle, DurationMs(1));
}

/// Guards against a rate whose fraction is dropped, so that an account with a rate below 1 is refused
/// for ever and others are served less than they may ask for.
#[parameterized(
    below_one = { "0.5", 11 },
    above_one = { "2.5", 51 },
    whole = { "2", 41 },
)]
fn an_account_is_admitted_at_its_rate(rate: &str, expected: usize) {
    let limit = format!(r#""ratePerS":{rate},"burst":1"#);
    let catalog = read(r#""ratePerS":140,"burst":70"#, &limit).catalog;
    let mut quota = Quota::default();
    quota.set_accounts(Timestamp(0), &catalog.accounts);
    let account = "north".parse().expect("a name");
    let times = (0..=20_000).step_by(100).map(|ms| Timestamp(ms * 1_000));
    assert_eq!(times.filter(|now| quota.admit(*now, &account)).count(), expected);
}

/// Guards against routes, services and accounts that are refused because of their names, or whose
/// names keep a whole version from coming into force.
#[parameterized(
    other_letters = { "bad-tölz" },
    no_letters = { "倉庫" },
    punctuation = { "eu/west:1" },
    long = { &"x".repeat(100) },
)]
fn any_name_of_one_word_is_served(name: &str) {
    let text = VALID
        .replace("orders", name)
        .replace("north", name)
        .replace("\"db\"", &format!("{name:?}"));
    let read = configuration::read(text.as_bytes()).expect("a configuration");
    assert_eq!(read.ignored, []);
    let database = DatabaseName::from_external(name).expect("a name");
    assert_eq!(read.catalog.routes[&database].group.as_str(), name);
    assert_eq!(read.catalog.keys[&CallerKey::new("k-1")].as_str(), name);
    let entry = format!(
        r#"{{"service":{name:?},"address":"127.0.0.1:80","zone":{name:?},
        "state":"ready","dbRole":"primary"}}"#
    );
    let entry = discovery::read(name, RowVersion(3), entry.as_bytes()).expect("an entry");
    assert_eq!((entry.endpoint.as_str(), entry.group.as_str()), (name, name));
}

/// Guards against one entry that is not valid and keeps the others of its version from coming into
/// force, and against an entry that stays in use although it is not decoded.
#[parameterized(
    route_of_another_type = { r#""type":"bounded_staleness""#, r#""type":"new""#, "routes r1" },
    route_without_a_limit = { r#""timeoutMs":1000,"#, "", "routes r1" },
    negative_priority = { r#""priority":2"#, r#""priority":-1"#, "routes r1" },
    number_out_of_range = { r#""priority":2"#, r#""priority":1e999"#, "routes r1" },
    database_that_is_no_name = { r#""database":"orders""#, r#""database":"a b""#, "routes r1" },
    service_without_connections = { r#","maxConnections":38"#, "", "services db" },
    key_that_is_no_text = { r#"["k-1"]"#, "[90817263]", "tenants north" },
    rate_that_is_no_number = { r#""ratePerS":140"#, r#""ratePerS":"fast""#, "tenants north" },
    account_that_is_no_name = { r#""name":"north""#, r#""name":"a b""#, "tenants a b" },
    no_entry = { r#""tenants":["#, r#""tenants":[7,"#, "tenants" },
    odd_limits = { r#""txIdleMs":3000"#, r#""txIdleMs":"long""#, "limits" },
)]
fn other_entries_are_decoded(found: &str, replacement: &str, expected: &str) {
    let Configuration { catalog, ignored } = read(found, replacement);
    let [entry] = &ignored[..] else { panic!("{ignored:?}") };
    let name = entry.name.as_ref().map(|name| format!(" {name}")).unwrap_or_default();
    assert_eq!(format!("{}{name}", entry.section), expected);
    assert!(!entry.detail.is_empty() && !entry.detail.contains("90817263"), "{}", entry.detail);
    let ignores = |section: &str| usize::from(expected.starts_with(section));
    assert_eq!(catalog.routes.len(), 2 - ignores("routes"));
    assert_eq!(catalog.groups.len(), 1 - ignores("services"));
    assert_eq!(keys(&catalog), [ignores("tenants ") == 0, true]);
}

/// Guards against a text that is adopted although its entries or their order are unknown.
#[parameterized(
    no_json = { VALID, "<" },
    no_version = { r#""version":8,"#, "" },
    no_list = { r#""tenants":["#, r#""tenants":7,"x":["# },
)]
fn a_version_that_is_not_valid_as_a_whole_is_refused(found: &str, replacement: &str) {
    assert!(configuration::read(VALID.replace(found, replacement).as_bytes()).is_err());
}
