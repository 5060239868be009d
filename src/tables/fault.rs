//! One fault of the tables, as an operator reads it.

use compact_str::CompactString;
use derive_more::Display;
use displaydoc::Display as DocDisplay;

/// The table that a fault or change is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum TableName {
    /// The routes table.
    #[display("routes")]
    Routes,
    /// The pools table.
    #[display("pools")]
    Pools,
}

/// Whether a fault stops the tables from being accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Severity {
    /// The tables are refused.
    #[display("error")]
    Error,
    /// The tables are accepted.
    #[display("warning")]
    Warning,
}

/// {severity}: in table {table}, row {row}, column {column} is {seen}; allowed is {allowed}
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, DocDisplay)]
pub struct TableFault {
    /// Table of the row.
    pub table: TableName,
    /// Row number from 1 and the row's name, as in `2 (orders)`.
    pub row: CompactString,
    /// Column with the fault.
    pub column: &'static str,
    /// Value in the table; verifiers are not shown.
    pub seen: CompactString,
    /// Values that the column may have.
    pub allowed: CompactString,
    /// Whether the tables are refused.
    pub severity: Severity,
}
