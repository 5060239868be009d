//! Logic of `tables check`, `tables diff`, `key issue` and `key withdraw` on tables in memory;
//! callers do the input and output.

use std::fmt::Write as _;

use compact_str::format_compact;
use rand::CryptoRng;
use serde::Serialize;

use crate::auth::{generate_key, key_id, Salt, Secret, Verifier};
use crate::error::{Error, ErrorKind};
use crate::tables::{diff, KeyRow, RouteRow, Severity, TableFault, Tables};
use crate::types::{AccountId, KeyId};
use crate::wire::tables::read_toml;

/// Result of checking one file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// File name as given.
    pub file: String,
    /// Whether the tables have no errors and may be proposed.
    pub valid: bool,
    /// Error message if the file could not be parsed as tables.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unreadable: Option<String>,
    /// All errors and warnings.
    pub faults: Vec<FaultReport>,
}

/// One error or warning in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultReport {
    /// `error` or `warning`.
    pub severity: String,
    /// `routes` or `pools`.
    pub table: String,
    /// Row number and name.
    pub row: String,
    /// Column name.
    pub column: String,
    /// Value found in the table.
    pub seen: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// The complete message.
    pub text: String,
}

impl From<&TableFault> for FaultReport {
    fn from(fault: &TableFault) -> Self {
        Self {
            severity: fault.severity.to_string(),
            table: fault.table.to_string(),
            row: fault.row.to_string(),
            column: fault.column.to_owned(),
            seen: fault.seen.to_string(),
            allowed: fault.allowed.to_string(),
            text: fault.to_string(),
        }
    }
}

/// Checks the TOML `text` of the file named `file`.
pub fn check(file: &str, text: &str) -> CheckReport {
    let file_name = file.to_owned();
    let tables = match read_toml(file, text) {
        Ok(tables) => tables,
        Err(error) => {
            let unreadable = Some(error.to_string());
            return CheckReport { file: file_name, valid: false, unreadable, faults: Vec::new() };
        }
    };
    report(file, &tables)
}

/// Checks `tables` and reports the result under the file name `name`.
pub fn report(name: &str, tables: &Tables) -> CheckReport {
    let (valid, faults) = match tables.check() {
        Ok(checked) => (true, checked.warnings().to_vec()),
        Err(faults) => (false, faults),
    };
    let faults = faults.iter().map(FaultReport::from).collect();
    CheckReport { file: name.to_owned(), valid, unreadable: None, faults }
}

impl CheckReport {
    /// Formats the report for a terminal: one line per error or warning, then a summary.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        if let Some(unreadable) = &self.unreadable {
            return format!("{unreadable}\n");
        }
        for fault in &self.faults {
            let _ = writeln!(text, "{}: {}", self.file, fault.text);
        }
        let errors = self.count(Severity::Error);
        let warnings = self.count(Severity::Warning);
        let verdict = if self.valid { "valid" } else { "refused" };
        let _ = writeln!(text, "{}: {verdict}, {errors} errors, {warnings} warnings", self.file);
        text
    }

    /// Formats the report as a JSON object.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has only strings and flags")
    }

    fn count(&self, severity: Severity) -> usize {
        let severity = severity.to_string();
        self.faults.iter().filter(|fault| fault.severity == severity).count()
    }
}

/// Returns the changes from `old` to `new`, one per line.
pub fn diff_text(old: &Tables, new: &Tables) -> String {
    diff(old, new).iter().map(|change| format!("{change}\n")).collect()
}

/// A newly issued key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuedKey {
    /// Id of the key in the routes table.
    pub id: KeyId,
    /// The key itself, which is printed once and not stored.
    pub key: Secret,
}

/// Adds a new key with the label `label` to every route of `account`.
///
/// Reuses the salt of the account's other keys, because the first message of a login sends one salt
/// before the caller has proved which key it holds.
///
/// # Errors
///
/// Returns an error if the account has no route, or if the label is not an identifier or is already
/// in use.
pub fn issue_key(
    tables: &mut Tables,
    account: &AccountId,
    label: &str,
    rng: &mut impl CryptoRng,
) -> Result<IssuedKey, Error> {
    let existing_keys = routes_of(tables, account)?.remove(0).keys.clone();
    let has_label =
        |row: &KeyRow| row.key.rsplit_once('.').is_some_and(|(key_label, _)| key_label == label);
    if existing_keys.iter().any(has_label) {
        let detail = format_compact!("account {account} already has a key labelled {label:?}");
        return Err(Error::new(ErrorKind::BadTable, detail));
    }
    let salt = match existing_keys.first() {
        Some(row) => parse_verifier(row)?.salt(),
        None => Salt::random(rng),
    };
    let key = generate_key(rng);
    let verifier = Verifier::derive(&key, salt);
    let id = key_id(label, &verifier).map_err(|error| {
        Error::new(ErrorKind::BadTable, format_compact!("key label {label:?}: {error}"))
    })?;
    for row in routes_of(tables, account)? {
        row.keys.push(KeyRow { key: id.as_str().into(), verifier: verifier.text() });
    }
    Ok(IssuedKey { id, key })
}

/// Removes the key `id` from every route of `account`.
///
/// # Errors
///
/// Returns an error if the account has no route or no such key, or if it is the account's last key:
/// a route without keys would be rejected, and a withdrawal must never result in an open route.
pub fn withdraw_key(tables: &mut Tables, account: &AccountId, id: &KeyId) -> Result<(), Error> {
    let mut rows = routes_of(tables, account)?;
    let is_other = |row: &KeyRow| row.key != id.as_str();
    if rows.iter().all(|row| row.keys.iter().all(is_other)) {
        let detail = format_compact!("account {account} has no key {id}");
        return Err(Error::new(ErrorKind::BadTable, detail));
    }
    if rows.iter().any(|row| !row.keys.iter().any(is_other)) {
        let detail = format_compact!(
            "{id} is the last key of account {account}; issue another key first, or remove its routes"
        );
        return Err(Error::new(ErrorKind::BadTable, detail));
    }
    for row in &mut rows {
        row.keys.retain(is_other);
    }
    Ok(())
}

fn routes_of<'a>(
    tables: &'a mut Tables,
    account: &AccountId,
) -> Result<Vec<&'a mut RouteRow>, Error> {
    let rows = tables.routes.iter_mut();
    let rows: Vec<_> = rows.filter(|row| row.account == account.as_str()).collect();
    if rows.is_empty() || account.is_open() {
        let detail =
            format_compact!("account {account} has no route, or it is the account of open routes");
        return Err(Error::new(ErrorKind::BadTable, detail));
    }
    Ok(rows)
}

fn parse_verifier(row: &KeyRow) -> Result<Verifier, Error> {
    row.verifier.expose().parse().map_err(|error| {
        Error::new(ErrorKind::BadTable, format_compact!("key {}: {error}", row.key))
    })
}
