//! Validation of the routes and pools tables together.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use compact_str::{format_compact, CompactString};

use super::check_pools::check_pools;
use super::check_routes::check_routes;
use super::{CheckedTables, Severity, TableFault, TableName, Tables};

/// The values allowed in an identifier column, as error messages describe them.
pub(super) const ALLOWED_IDS: &str = "1 to 63 letters, digits, '_', '-' and '.'";

impl Tables {
    /// Checks every row of both tables and the relations between rows.
    ///
    /// # Errors
    ///
    /// All faults of both tables, warnings included, if at least one of them is an error. The
    /// warnings of accepted tables are in [`CheckedTables::warnings`].
    pub fn check(&self) -> Result<CheckedTables, Vec<TableFault>> {
        let mut faults = Faults::default();
        let pools = check_pools(&self.pools, &mut faults);
        let routes = check_routes(&self.routes, &self.pools, &mut faults);
        let rejected = faults.list.iter().any(|fault| fault.severity == Severity::Error);
        match (routes, pools) {
            (Some(routes), Some(pools)) if !rejected => {
                Ok(CheckedTables::build(self.version, routes, pools, faults.list))
            }
            _ => Err(faults.list),
        }
    }
}

/// The faults found so far, in the order in which they were found.
#[derive(Debug, Default)]
pub(super) struct Faults {
    list: Vec<TableFault>,
}

/// Collects the faults of one row, labelled with its table, number and name.
pub(super) struct RowCheck<'a> {
    table: TableName,
    row: CompactString,
    faults: &'a mut Faults,
}

impl Faults {
    /// Starts the check of the row called `name`; `index` counts from 0.
    pub(super) fn begin_row(&mut self, table: TableName, index: usize, name: &str) -> RowCheck<'_> {
        let number = index + 1;
        RowCheck { table, row: format_compact!("{number} ({name})"), faults: self }
    }
}

impl RowCheck<'_> {
    /// Records an error: the column holds `seen`, but only `allowed` is accepted.
    pub(super) fn error(
        &mut self,
        column: &'static str,
        seen: impl Display,
        allowed: impl Display,
    ) {
        self.push(Severity::Error, column, &seen, &allowed);
    }

    /// Records a warning: the column holds `seen`, but `allowed` is recommended.
    pub(super) fn warning(
        &mut self,
        column: &'static str,
        seen: impl Display,
        allowed: impl Display,
    ) {
        self.push(Severity::Warning, column, &seen, &allowed);
    }

    /// Records an error unless `value` is in `range`.
    pub(super) fn check_range(
        &mut self,
        column: &'static str,
        value: impl Into<u64>,
        range: RangeInclusive<u64>,
    ) {
        let value = value.into();
        if !range.contains(&value) {
            self.error(column, value, format_args!("{} to {}", range.start(), range.end()));
        }
    }

    /// Parses a text column; records an error and returns `None` if the text is invalid.
    pub(super) fn parse<T: FromStr>(
        &mut self,
        column: &'static str,
        text: &str,
        allowed: &str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.error(column, format_args!("{text:?}"), allowed);
        }
        value
    }

    /// Parses an identifier column.
    pub(super) fn parse_id<T: FromStr>(&mut self, column: &'static str, text: &str) -> Option<T> {
        self.parse(column, text, ALLOWED_IDS)
    }

    fn push(
        &mut self,
        severity: Severity,
        column: &'static str,
        seen: &dyn Display,
        allowed: &dyn Display,
    ) {
        self.faults.list.push(TableFault {
            table: self.table,
            row: self.row.clone(),
            column,
            seen: format_compact!("{seen}"),
            allowed: format_compact!("{allowed}"),
            severity,
        });
    }
}
