//! `medlarstile tables` and `medlarstile key`: read the tables from a file or the platform and
//! print or propose the result.

use std::fs;
use std::path::Path;

use serde_json::{json, Map, Value};

use super::args::{Format, KeyCommand, TablesCommand};
use super::edit::{edit, random_rng, read_accepted, ExtraOutput};
use super::tables::{check, diff_text, issue_key, withdraw_key, IssuedKey};
use super::terminal::print_stdout;
use crate::error::{Error, ErrorKind};
use crate::tables::{diff, Tables};
use crate::wire::tables::{read_toml, write_toml};

/// Runs a `tables` subcommand.
///
/// # Errors
///
/// Returns an error whose kind tells what failed; `data/answers.toml` describes the kinds.
pub fn run_tables(command: &TablesCommand) -> Result<(), Error> {
    match command {
        TablesCommand::Check { file, output } => check_file(file, output.format),
        TablesCommand::Show(fleet) => {
            let tables = read_accepted(fleet.settings())?.tables;
            show(&tables, fleet.output.format)
        }
        TablesCommand::Diff { file, fleet } => {
            let new = read_file(file)?;
            let old = read_accepted(fleet.settings())?.tables;
            show_diff(&old, &new, fleet.output.format)
        }
        TablesCommand::Edit { file, edit: args } => {
            let new = read_file(file)?;
            let source = file.display().to_string();
            edit(args, &source, |_| Ok((new, ExtraOutput::default())))
        }
    }
}

/// Runs a `key` subcommand.
///
/// # Errors
///
/// Returns an error whose kind tells what failed; `data/answers.toml` describes the kinds.
pub fn run_key(command: &KeyCommand) -> Result<(), Error> {
    match command {
        KeyCommand::Issue { account, label, edit: args } => {
            let mut rng = random_rng()?;
            edit(args, "tables with the new key", |accepted| {
                let mut tables = accepted.clone();
                let issued = issue_key(&mut tables, account, label, &mut rng)?;
                Ok((tables, issued_output(&issued)))
            })
        }
        KeyCommand::Withdraw { account, key, edit: args } => {
            edit(args, "tables without the key", |accepted| {
                let mut tables = accepted.clone();
                withdraw_key(&mut tables, account, key)?;
                Ok((tables, ExtraOutput::default()))
            })
        }
    }
}

fn issued_output(issued: &IssuedKey) -> ExtraOutput {
    let (id, key) = (issued.id.as_str(), issued.key.expose());
    let members = Map::from_iter([
        ("key_id".to_owned(), Value::from(id)),
        ("key".to_owned(), Value::from(key)),
    ]);
    ExtraOutput { text: format!("key id: {id}\nkey: {key}\n"), members }
}

fn check_file(file: &Path, format: Format) -> Result<(), Error> {
    let report = check(&file.display().to_string(), &read_text(file)?);
    match format {
        Format::Text => print_stdout(&report.to_text())?,
        Format::Json => print_stdout(&format!("{}\n", report.to_json()))?,
    }
    if report.valid {
        return Ok(());
    }
    Err(Error::new(ErrorKind::BadTable, format!("{}: rejected because of errors", file.display())))
}

fn show(tables: &Tables, format: Format) -> Result<(), Error> {
    let internal = |text: String| Error::new(ErrorKind::Internal, text);
    let text = write_toml(tables).map_err(|error| internal(error.to_string()))?;
    match format {
        Format::Text => print_stdout(&format!("# Version {}\n{text}", tables.version)),
        Format::Json => {
            let value: Value =
                toml::from_str(&text).map_err(|error| internal(error.to_string()))?;
            print_stdout(&format!("{}\n", json!({ "version": tables.version.0, "tables": value })))
        }
    }
}

fn show_diff(old: &Tables, new: &Tables, format: Format) -> Result<(), Error> {
    match format {
        Format::Text => print_stdout(&diff_text(old, new)),
        Format::Json => {
            let lines: Vec<String> = diff(old, new).iter().map(ToString::to_string).collect();
            print_stdout(&format!("{}\n", json!({ "version": old.version.0, "changes": lines })))
        }
    }
}

fn read_file(file: &Path) -> Result<Tables, Error> {
    let name = file.display().to_string();
    read_toml(&name, &read_text(file)?)
        .map_err(|error| Error::new(ErrorKind::BadTable, error.to_string()))
}

fn read_text(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|error| {
        Error::new(ErrorKind::BadSetting, format!("cannot read {}: {error}", file.display()))
    })
}
