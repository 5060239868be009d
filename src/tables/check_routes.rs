//! Validation of the routes table.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{format_compact, CompactString};

use super::check::{Faults, RowCheck, ALLOWED_IDS};
use super::{Account, Freshness, Key, KeyRow, PoolRow, Route, RouteRow, TableName};
use crate::auth::{key_id, Verifier};
use crate::types::AccountId;

/// Largest rate and burst. Token counts are kept in thousandths of a token, and this limit keeps
/// them far below the range of their integer type.
const MAX_RATE: u64 = 10_000_000;

/// Largest weight of an account.
const MAX_WEIGHT: u64 = 10_000;

/// Longest queue wait, in milliseconds: ten minutes. Callers time out long before that.
const MAX_QUEUE_WAIT_MS: u64 = 600_000;

/// Largest number of keys of one account. A login is compared with every key, so this bounds its
/// cost.
const MAX_ACCOUNT_KEYS: usize = 16;

/// Checks every row and the relations between rows. Returns `None` if a row cannot be parsed.
pub(super) fn check_routes(
    rows: &[RouteRow],
    pools: &[PoolRow],
    faults: &mut Faults,
) -> Option<Vec<(Route, Account)>> {
    if rows.is_empty() {
        faults.begin_row(TableName::Routes, 0, "none").error(
            "name",
            "absent",
            "at least one route",
        );
    }
    let pools: BTreeSet<&str> = pools.iter().map(|row| row.pool.as_str()).collect();
    let mut checked_rows = CheckedRows::default();
    let mut parsed = Vec::new();
    for (index, row) in rows.iter().enumerate() {
        let mut check = faults.begin_row(TableName::Routes, index, &row.name);
        parsed.push(check_row(row, &mut check));
        if !pools.contains(row.pool.as_str()) {
            check.error("pool", format_args!("{:?}", row.pool), describe_pools(&pools));
        }
        checked_rows.compare_and_add(row, &mut check);
    }
    parsed.into_iter().collect()
}

fn describe_pools(pools: &BTreeSet<&str>) -> CompactString {
    const SHOWN: usize = 8;
    let names: Vec<&str> = pools.iter().copied().take(SHOWN).collect();
    match pools.len() {
        0 => "a pool of the pools table, which is empty".into(),
        n if n > SHOWN => format_compact!("one of {n} pools: {}, ...", names.join(", ")),
        _ => format_compact!("one of {}", names.join(", ")),
    }
}

fn check_row(row: &RouteRow, check: &mut RowCheck<'_>) -> Option<(Route, Account)> {
    let name = check.parse_id("name", &row.name);
    let database = check.parse_id("database", &row.database);
    let account = check_account(row, check);
    let keys = check_keys(row, check);
    check.check_range("rate_per_s", row.rate_per_s, 1..=MAX_RATE);
    check.check_range("burst", row.burst, 1..=MAX_RATE);
    check.check_range("weight", row.weight.0, 1..=MAX_WEIGHT);
    let pool = check.parse_id("pool", &row.pool);
    let allowed = "session, primary or age:MS with 1 to 86400000 ms";
    let freshness: Option<Freshness> = check.parse("freshness", &row.freshness, allowed);
    check.check_range("max_wait_ms", row.max_wait_ms, 1..=MAX_QUEUE_WAIT_MS);
    let route = Route {
        name: name?,
        database: database?,
        account: account?,
        pool: pool?,
        freshness: freshness?,
        max_wait_ms: row.max_wait_ms,
    };
    let account =
        Account { keys: keys?, rate: row.rate_per_s, burst: row.burst, weight: row.weight };
    Some((route, account))
}

fn check_account(row: &RouteRow, check: &mut RowCheck<'_>) -> Option<AccountId> {
    if row.account != AccountId::OPEN.as_str() {
        if row.keys.is_empty() {
            check.error("keys", "empty", "at least one key, or the account * for an open route");
        }
        let allowed = format_compact!("* or {ALLOWED_IDS}");
        return check.parse("account", &row.account, &allowed);
    }
    if !row.keys.is_empty() {
        let seen = format_compact!("{} keys", row.keys.len());
        check.error("keys", seen, "no keys, because the account * is open");
    }
    Some(AccountId::OPEN)
}

fn check_keys(row: &RouteRow, check: &mut RowCheck<'_>) -> Option<Vec<Key>> {
    if row.keys.len() > MAX_ACCOUNT_KEYS {
        let seen = format_compact!("{} keys", row.keys.len());
        check.error("keys", seen, format_args!("at most {MAX_ACCOUNT_KEYS} keys"));
    }
    let parsed: Vec<Option<Key>> = row.keys.iter().map(|key| check_key(key, check)).collect();
    let mut earlier: Vec<&Key> = Vec::new();
    for key in parsed.iter().flatten() {
        check_key_relations(&earlier, key, check);
        earlier.push(key);
    }
    parsed.into_iter().collect()
}

fn check_key(row: &KeyRow, check: &mut RowCheck<'_>) -> Option<Key> {
    let verifier: Result<Verifier, _> = row.verifier.expose().parse();
    let verifier = match verifier {
        Ok(verifier) => verifier,
        Err(error) => {
            check.error("keys", format_args!("an invalid verifier for key {:?}", row.key), error);
            return None;
        }
    };
    let label = row.key.rsplit_once('.').map_or(row.key.as_str(), |(label, _)| label);
    let expected_id = key_id(label, &verifier);
    match expected_id {
        Ok(expected) if expected.as_str() == row.key => Some(Key { id: expected, verifier }),
        Ok(expected) => {
            check.error("keys", format_args!("{:?}", row.key), expected);
            None
        }
        Err(_) => {
            let allowed = "a label of 1 to 54 letters, digits, '_', '-' and '.', then a dot and \
                           the verifier's fingerprint";
            check.error("keys", format_args!("{:?}", row.key), allowed);
            None
        }
    }
}

fn check_key_relations(earlier: &[&Key], key: &Key, check: &mut RowCheck<'_>) {
    if earlier.iter().any(|other| other.verifier == key.verifier) {
        check.error("keys", &key.id, "each key once");
    } else if earlier.first().is_some_and(|other| other.verifier.salt() != key.verifier.salt()) {
        let seen = format_compact!("salt {} of {}", key.verifier.salt(), key.id);
        let allowed =
            format_compact!("{}, the salt of the account's first key", earlier[0].verifier.salt());
        check.error("keys", seen, allowed);
    }
}

/// Index of the rows checked so far: the names, the first row of each account, and the first row of
/// each pair of database and account. With the index, the check of n rows takes O(n log n) steps,
/// which matters because every host repeats it for every accepted edit.
#[derive(Debug, Default)]
struct CheckedRows<'a> {
    names: BTreeSet<&'a str>,
    accounts: BTreeMap<&'a str, &'a RouteRow>,
    pairs: BTreeMap<(&'a str, &'a str), &'a RouteRow>,
}

impl<'a> CheckedRows<'a> {
    /// Compares a row with the rows before it and adds it to the index.
    fn compare_and_add(&mut self, row: &'a RouteRow, check: &mut RowCheck<'_>) {
        if !self.names.insert(&row.name) {
            check.error("name", format_args!("{:?}", row.name), "a name that no other route has");
        }
        let first_of_pair = *self.pairs.entry((&row.database, &row.account)).or_insert(row);
        if !std::ptr::eq(first_of_pair, row) {
            let seen = format_compact!("{} for account {}", row.database, row.account);
            let allowed = format_compact!("a pair that route {} does not have", first_of_pair.name);
            check.error("database", seen, allowed);
        }
        let first_of_account = *self.accounts.entry(&row.account).or_insert(row);
        check_same_account(first_of_account, row, check);
    }
}

/// Checks that all routes of an account have the same rate, burst, weight and keys, which belong to
/// the account and not to the route.
fn check_same_account(first: &RouteRow, row: &RouteRow, check: &mut RowCheck<'_>) {
    let columns = [
        ("rate_per_s", row.rate_per_s.0, first.rate_per_s.0),
        ("burst", row.burst.0, first.burst.0),
        ("weight", u64::from(row.weight.0), u64::from(first.weight.0)),
    ];
    for (column, value, expected) in columns {
        if value != expected {
            check.error(column, value, as_in_first_route(expected, first));
        }
    }
    if row.keys != first.keys {
        let seen = format_compact!("[{}]", key_ids(&row.keys));
        let expected = format_compact!("[{}] with the same verifiers", key_ids(&first.keys));
        check.error("keys", seen, as_in_first_route(expected, first));
    }
}

fn as_in_first_route(expected: impl std::fmt::Display, first: &RouteRow) -> CompactString {
    format_compact!("{expected}, as in the account's route {}", first.name)
}

/// The ids of `keys`, separated by commas.
pub(super) fn key_ids(keys: &[KeyRow]) -> String {
    let ids: Vec<&str> = keys.iter().map(|key| key.key.as_str()).collect();
    ids.join(", ")
}
