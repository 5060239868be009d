//! Faults of the tables as operators see them.

use compact_str::CompactString;
use derive_more::Display;
use displaydoc::Display as DocDisplay;

/// The table that a fault or a change belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum TableName {
    /// The routes table.
    #[display("routes")]
    Routes,
    /// The pools table.
    #[display("pools")]
    Pools,
}

/// Whether a fault causes the tables to be rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Severity {
    /// The tables are rejected.
    #[display("error")]
    Error,
    /// The tables are accepted nevertheless.
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
    /// Value in the table; never a verifier.
    pub seen: CompactString,
    /// Values that the column may have.
    pub allowed: CompactString,
    /// Whether the fault causes the tables to be rejected.
    pub severity: Severity,
}
