//! Validation of the tables, their text forms, the commands on them and the operators' page.

use medlarstile::auth::Verifier;
use medlarstile::commands::tables::{check, diff_text, issue_key, withdraw_key};
use medlarstile::tables::{CheckedTables, Tables};
use medlarstile::types::{AccountId, AttemptId, KeyId, PoolName, TableVersion};
use medlarstile::wire::tables::{
    read_config, read_toml, write_config, write_toml, Config, WireTables,
};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const EXAMPLE: &str = include_str!("../data/example_tables.toml");
const TABLES_PAGE: &str = include_str!("../docs/tables.md");

fn example() -> Tables {
    read_toml("example", EXAMPLE).expect("the example is readable")
}

fn checked(tables: &Tables) -> CheckedTables {
    tables.check().unwrap_or_else(|faults| panic!("{faults:?}"))
}

fn account() -> AccountId {
    "north-depot".parse().expect("account id")
}

fn key_id(tables: &Tables, index: usize) -> KeyId {
    tables.routes[0].keys[index].key.parse().expect("key id")
}

/// Checks the example after replacing the first or every occurrence of `from`.
fn check_edited(from: &str, to: &str, replace_all: bool) -> String {
    assert!(EXAMPLE.contains(from), "{from:?} is not in the example");
    let count = if replace_all { usize::MAX } else { 1 };
    check("t", &EXAMPLE.replacen(from, to, count)).to_text()
}

/// Guards against an example that the check rejects, and against a look-up that finds a wrong
/// route.
#[test]
fn the_example_is_valid_and_routes_are_found() {
    let report = check("example", EXAMPLE);
    assert_eq!(report.to_text(), "example: valid, 0 errors, 0 warnings\n");
    let tables = checked(&example());
    let route = |database: &str, account: &str| {
        let (database, account) = (database.parse().expect("id"), account.parse().expect("id"));
        tables.route(&database, &account).map(|route| route.name.to_string())
    };
    assert_eq!(route("bookings", "north-depot").as_deref(), Some("bookings-write"));
    assert_eq!(route("bookings", "south-depot"), None);
    assert_eq!(route("timetable", "north-depot").as_deref(), Some("timetable"));
    assert_eq!(tables.accounts().len(), 2);
    assert_eq!(tables.groups().values().map(|members| members.len()).sum::<usize>(), 6);
    assert!(tables.pool(&"none".parse::<PoolName>().expect("id")).is_none());
    assert!(tables.leaving().iter().map(|id| id.as_str()).eq(["timetable-c"]));
}

/// Guards against faults that are accepted, or reported for a wrong row or column.
#[parameterized(
    unknown_pool = { "pool = \"timetable\"\nfreshness", "pool = \"none\"\nfreshness", false, "row 3 (timetable), column pool is \"none\"; allowed is one of bookings, timetable" },
    no_active = { "state = \"leaving\"", "state = \"leaving\"\n[[pools]]\npool = \"idle\"\ngroup = \"timetable\"\nendpoint = \"timetable-c\"\naddress = \"10.3.0.12:5432\"\nfailure_domain = \"south\"\nslots = 1\nconnections = 1\nstate = \"leaving\"", false, "row 7 (idle/timetable-c), column state is leaving; allowed is at least one active endpoint in each pool" },
    duplicate_name = { "bookings-history", "bookings-write", false, "row 2 (bookings-write), column name is \"bookings-write\"; allowed is a name that no other route has" },
    duplicate_pair = { "\"history\"", "\"bookings\"", false, "column database is bookings for account north-depot; allowed is a pair that route bookings-write does not have" },
    duplicate_row = { "bookings-b\"", "bookings-a\"", false, "row 2 (bookings/bookings-a), column endpoint is bookings-a; allowed is one row for each pool and endpoint" },
    other_group = { "group = \"bookings\"\nendpoint = \"bookings-b\"", "group = \"other\"\nendpoint = \"bookings-b\"", false, "row 2 (bookings/bookings-b), column group is other; allowed is bookings, the pool's other group" },
    other_address = { "endpoint = \"timetable-a\"", "endpoint = \"bookings-a\"", false, "row 4 (timetable/bookings-a), column address is 10.1.0.12:5432; allowed is 10.1.0.11:5432, as in pool bookings" },
    duplicate_address = { "10.2.0.11", "10.1.0.11", false, "row 2 (bookings/bookings-b), column address is 10.1.0.11:5432; allowed is an address not used by endpoint bookings-a" },
    host_name = { "10.2.0.11", "db.example", false, "column address is \"db.example:5432\"; allowed is IP:port" },
    port_zero = { "10.2.0.11:5432", "10.2.0.11:0", false, "column address is 10.2.0.11:0; allowed is IP:port" },
    rate_zero = { "rate_per_s = 50", "rate_per_s = 0", false, "row 3 (timetable), column rate_per_s is 0; allowed is 1 to 10000000" },
    burst_zero = { "burst = 100", "burst = 0", false, "row 3 (timetable), column burst is 0; allowed is 1 to 10000000" },
    weight_zero = { "weight = 2", "weight = 0", true, "row 1 (bookings-write), column weight is 0; allowed is 1 to 10000" },
    slots_zero = { "slots = 2", "slots = 0", false, "row 1 (bookings/bookings-a), column slots is 0; allowed is 1 to 100000" },
    connections_zero = { "connections = 15", "connections = 0", false, "column connections is 0; allowed is 1 to 100000" },
    few_connections = { "connections = 15", "connections = 1", false, "column connections is 1; allowed is at least the slots, 2" },
    rates_differ = { "rate_per_s = 200", "rate_per_s = 100", false, "row 2 (bookings-history), column rate_per_s is 200; allowed is 100, as in the account's route bookings-write" },
    bursts_differ = { "burst = 400", "burst = 300", false, "column burst is 400; allowed is 300" },
    weights_differ = { "weight = 2", "weight = 3", false, "column weight is 2; allowed is 3" },
    open_with_keys = { "account = \"north-depot\"", "account = \"*\"", true, "column keys is 2 keys; allowed is no keys, because the account * is open" },
    closed_without_keys = { "account = \"*\"", "account = \"guest\"", false, "column keys is empty; allowed is at least one key" },
    wait_zero = { "max_wait_ms = 500\n", "max_wait_ms = 0\n", false, "column max_wait_ms is 0; allowed is 1 to 600000" },
    wait_long = { "max_wait_ms = 500\n", "max_wait_ms = 600001\n", false, "column max_wait_ms is 600001; allowed is 1 to 600000" },
    freshness = { "age:10000", "fresh", false, "column freshness is \"fresh\"; allowed is session, primary or age:MS" },
    age_zero = { "age:10000", "age:0", false, "column freshness is \"age:0\"; allowed is session, primary or age:MS" },
    state = { "state = \"leaving\"", "state = \"down\"", false, "column state is \"down\"; allowed is active or leaving" },
    identifier = { "database = \"history\"", "database = \"his tory\"", false, "column database is \"his tory\"; allowed is 1 to 63 letters" },
    key_id_without_fingerprint = { "key = \"spring.", "key = \"summer.x", false, "column keys is \"summer.x" },
    verifier = { "SCRAM-SHA-256$4096:", "SCRAM-SHA-256$4096;", false, "column keys is an invalid verifier for key" },
    iterations = { "SCRAM-SHA-256$4096:", "SCRAM-SHA-256$9999:", false, "allowed is a verifier with 4096 iterations, not 9999" },
    small_group = { "group = \"timetable\"\nendpoint = \"timetable-c\"", "group = \"tt\"\nendpoint = \"timetable-c\"", false, "warning: in table pools, row 4 (timetable/timetable-a), column group is timetable with 2 endpoints; allowed is a group of 3, 5" },
    unknown_column = { "burst = 100", "bursts = 100", false, "t:45: unknown field `bursts`" },
    wrong_type = { "burst = 100", "burst = -1", false, "t:45: invalid value" },
    not_toml = { "burst = 100", "burst", false, "t:45: " },
)]
fn check_reports(from: &str, to: &str, replace_all: bool, expected: &str) {
    let text = check_edited(from, to, replace_all);
    assert!(text.contains(expected), "{text}");
}

/// Guards against a check that stops at the first fault, so that the operator has to repeat it
/// after each correction.
#[test]
fn every_fault_is_reported_at_once() {
    let text = EXAMPLE
        .replace("10.2.0.11", "db")
        .replace("age:10000", "age:0")
        .replace("slots = 2", "slots = 0")
        .replace("account = \"*\"", "account = \"a b\"");
    let report = check("t", &text);
    assert_eq!(report.faults.len(), 10, "{}", report.to_text());
    let json: serde_json::Value = serde_json::from_str(&report.to_json()).expect("JSON");
    assert_eq!(json["faults"].as_array().map(Vec::len), Some(10));
    assert_eq!(json["valid"], false);
}

/// Guards against an empty file that is accepted and takes the whole fleet out of service.
#[test]
fn empty_tables_are_refused() {
    assert!(check("t", "").to_text().contains("allowed is at least one route"));
}

/// Guards against a check that takes quadratic time: every host runs it for every edit.
#[test]
fn a_large_table_is_checked_and_compared() {
    let mut tables = example();
    let template = tables.routes[2].clone();
    for number in 0..25_000 {
        let mut row = template.clone();
        row.name = format!("r{number}").into();
        row.database = format!("d{number}").into();
        tables.routes.push(row);
    }
    assert_eq!(checked(&tables).routes().count(), 25_003);
}

/// Guards against a diff that omits a change. An operator whose edit conflicts with another one
/// relies on the diff to see what the other edit changed.
#[test]
fn diff_names_every_change() {
    let (old, mut new) = (example(), example());
    new.routes[2].rate_per_s.0 = 60;
    new.routes[1].name = "bookings-archive".into();
    new.pools[5].state = "active".into();
    new.routes[0].keys.remove(0);
    let kept = &old.routes[0].keys;
    let expected = format!(
        "routes bookings-history: row removed\n\
         routes bookings-write: keys changed from [{}, {}] to [{}]\n\
         routes timetable: rate_per_s changed from 50 to 60\n\
         routes bookings-archive: row added\n\
         pools timetable/timetable-c: state changed from leaving to active\n",
        kept[0].key, kept[1].key, kept[1].key
    );
    assert_eq!(diff_text(&old, &new), expected);
    assert_eq!(diff_text(&old, &old), "");
}

/// Guards against a key that is issued with another salt, and against a withdrawn key that stays in
/// one of the account's routes.
#[test]
fn keys_are_issued_and_withdrawn_in_every_route() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut tables = example();
    let issued = issue_key(&mut tables, &account(), "summer", &mut rng).expect("issued");
    assert!(checked(&tables).has_key(&account(), &issued.id));
    let verifier = tables.routes[1].keys[2].verifier.clone();
    let salt = verifier.expose().parse::<Verifier>().expect("verifier").salt();
    assert_eq!(Verifier::derive(&issued.key, salt).text(), verifier);
    assert!(issue_key(&mut tables, &account(), "summer", &mut rng).is_err());
    assert!(issue_key(&mut tables, &AccountId::OPEN, "summer", &mut rng).is_err());
    let first = key_id(&tables, 0);
    withdraw_key(&mut tables, &account(), &first).expect("withdrawn");
    assert!(!checked(&tables).has_key(&account(), &first));
    assert!(withdraw_key(&mut tables, &account(), &first).is_err());
    for _ in 0..2 {
        let key_id = key_id(&tables, 0);
        let is_last = tables.routes[0].keys.len() == 1;
        assert_eq!(withdraw_key(&mut tables, &account(), &key_id).is_err(), is_last);
    }
    assert!(checked(&tables).has_key(&account(), &issued.id));
}

/// Guards against keys of one account with different salts, and against one key under two ids.
#[test]
fn keys_of_an_account_share_a_salt_and_differ() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut other = example();
    other.routes.iter_mut().for_each(|row| row.keys.clear());
    issue_key(&mut other, &account(), "other", &mut rng).expect("issued");
    let mut tables = example();
    for row in &mut tables.routes[..2] {
        row.keys.push(other.routes[0].keys[0].clone());
        let mut twice = row.keys[0].clone();
        twice.key = twice.key.replace("spring", "again").into();
        row.keys.push(twice);
    }
    let faults = tables.check().expect_err("mixed salts");
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(texts.iter().any(|text| text.contains("the salt of the account's first key")));
    assert!(texts.iter().any(|text| text.contains("allowed is each key once")), "{texts:?}");
}

fn any_tables() -> impl Strategy<Value = Tables> {
    let text = "\\PC{0,12}";
    let edit = (0..3usize, text, text, 0..=i64::MAX as u64, any::<u32>());
    proptest::collection::vec(edit, 0..4).prop_map(|edits| {
        let mut tables = example();
        for (row, one, two, large, small) in edits {
            let route = &mut tables.routes[row];
            (route.name, route.freshness) = (one.clone().into(), two.clone().into());
            (route.rate_per_s.0, route.max_wait_ms.0) = (large, large);
            let pool = &mut tables.pools[row];
            (pool.address, pool.state) = (two.into(), one.into());
            (pool.slots.0, pool.connections.0) = (small, small);
        }
        tables
    })
}

fn config_with_fixed_seed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(7);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config_with_fixed_seed(128))]

    /// Guards against a column that is lost or altered when tables are written and read back.
    #[test]
    fn tables_read_back(tables in any_tables(), version in any::<u64>(), attempt in any::<u64>()) {
        let text = write_toml(&tables).map_err(|error| TestCaseError::fail(error.to_string()))?;
        prop_assert_eq!(read_toml("t", &text), Ok(tables.clone()));
        let tables = Tables { version: TableVersion(version), ..tables };
        let config = Config { tables, editor: "ops".into(), attempt: AttemptId(attempt) };
        let text = write_config(&config).map_err(|error| TestCaseError::fail(error.to_string()))?;
        prop_assert_eq!(read_config(&text), Ok(config));
    }
}

proptest! {
    #![proptest_config(config_with_fixed_seed(512))]

    /// Guards against input text that makes a host or a command panic.
    #[test]
    fn no_text_panics(noise in "\\PC{0,64}", start in 0..EXAMPLE.len(), length in 0..200usize) {
        let end = (start + length).min(EXAMPLE.len());
        let edited = format!("{}{noise}{}", &EXAMPLE[..start], &EXAMPLE[end..]);
        for text in [noise, edited] {
            let report = check("t", &text);
            prop_assert_eq!(report.valid, report.unreadable.is_none() && !report.to_text().contains(": error: "));
            prop_assert!(read_config(&text).is_err());
        }
    }
}

/// Guards against a column that is missing on the operators' page.
#[test]
fn the_page_describes_every_column() {
    let wire = WireTables::from(&example());
    let json = serde_json::to_value(&wire).expect("JSON");
    let rows = [&json["routes"][0], &json["routes"][0]["keys"][0], &json["pools"][0]];
    let columns = rows.iter().flat_map(|row| row.as_object().expect("a row").keys());
    let mut count = 0;
    for column in columns {
        count += 1;
        assert!(
            TABLES_PAGE.contains(&format!("| `{column}` |")),
            "{column} is not in docs/tables.md"
        );
    }
    assert_eq!(count, 20);
}
