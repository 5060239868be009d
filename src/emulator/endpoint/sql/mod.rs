//! The SQL subset of the emulated endpoint: statements, their parameters and results.
//!
//! Supported: CREATE and DROP TABLE, INSERT, UPDATE and DELETE with RETURNING, SELECT from at most
//! one table with WHERE, ORDER BY, LIMIT, FOR UPDATE and the aggregates count, sum, min and max,
//! transaction control (read committed), SET, SHOW, `pg_sleep` and the orders of a group.

mod expression;
mod infer;
mod parse;
mod run;

pub use infer::{describe, table_of, OutputColumn, Shape};
pub use parse::parse;
pub use run::{evaluate, run, Outcome};

use super::store::TableDef;
use super::value::{ColumnType, Value};

/// An operator between two expressions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Eq,
    /// `<>`
    NotEq,
    /// `<`
    Lt,
    /// `<=`
    LtEq,
    /// `>`
    Gt,
    /// `>=`
    GtEq,
    /// `+`
    Add,
    /// `-`
    Sub,
    /// `*`
    Mul,
    /// `/`
    Div,
    /// `%`
    Mod,
    /// `AND`
    And,
    /// `OR`
    Or,
    /// `||`
    Concat,
}

/// An aggregate over all rows of a SELECT.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aggregate {
    /// Number of rows, or of values that are not NULL.
    Count,
    /// Sum of the values.
    Sum,
    /// Least value.
    Min,
    /// Greatest value.
    Max,
}

/// An expression.
#[derive(Debug, Clone, PartialEq)]
pub enum Expr {
    /// A constant.
    Literal(Value),
    /// A parameter, counted from 0.
    Param(usize),
    /// A column of the statement's table.
    Column(String),
    /// Two operands.
    Binary(Box<Expr>, Operator, Box<Expr>),
    /// `NOT`.
    Not(Box<Expr>),
    /// `IS NULL`.
    IsNull(Box<Expr>),
    /// `IN` over a list.
    In(Box<Expr>, Vec<Expr>),
    /// A cast.
    Cast(Box<Expr>, ColumnType),
    /// An aggregate; `None` is `count(*)`.
    Aggregate(Aggregate, Option<Box<Expr>>),
}

/// One item of a SELECT or RETURNING list.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// `*`
    All,
    /// An expression with its column name.
    Expr(Expr, String),
}

/// A SELECT.
#[derive(Debug, Clone, PartialEq)]
pub struct Select {
    /// Table, if there is one.
    pub table: Option<String>,
    /// Result columns.
    pub items: Vec<Item>,
    /// WHERE.
    pub filter: Option<Expr>,
    /// ORDER BY with the direction; `true` is descending.
    pub order: Option<(Expr, bool)>,
    /// LIMIT.
    pub limit: Option<Expr>,
    /// Whether the rows are locked.
    pub for_update: bool,
}

/// An order of a group, see assumption 3 of the design.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupOrder {
    /// Refuse writes and replication below the term.
    Fence(Expr),
    /// Become the primary of the term.
    Promote(Expr),
    /// Follow the primary of the term at an address.
    Follow(Expr, Expr),
}

/// One statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// BEGIN, `true` for READ ONLY.
    Begin(bool),
    /// COMMIT.
    Commit,
    /// ROLLBACK.
    Rollback,
    /// SET of a name; `None` is DEFAULT.
    Set(String, Option<String>),
    /// SHOW of a name.
    Show(String),
    /// A statement without effect here, with its command tag.
    Accepted(&'static str),
    /// CREATE TABLE, `true` for IF NOT EXISTS.
    CreateTable(TableDef, bool),
    /// DROP TABLE, `true` for IF EXISTS.
    DropTable(String, bool),
    /// INSERT.
    Insert {
        /// Table.
        table: String,
        /// Named columns; empty for all.
        columns: Vec<String>,
        /// Rows of VALUES.
        rows: Vec<Vec<Expr>>,
        /// RETURNING.
        returning: Vec<Item>,
    },
    /// UPDATE.
    Update {
        /// Table.
        table: String,
        /// New values by column.
        assignments: Vec<(String, Expr)>,
        /// WHERE.
        filter: Option<Expr>,
        /// RETURNING.
        returning: Vec<Item>,
    },
    /// DELETE.
    Delete {
        /// Table.
        table: String,
        /// WHERE.
        filter: Option<Expr>,
        /// RETURNING.
        returning: Vec<Item>,
    },
    /// SELECT.
    Select(Select),
    /// `SELECT pg_sleep(seconds)`.
    Sleep(Expr),
    /// An order of a group.
    Order(GroupOrder),
}

impl Statement {
    /// Whether the statement needs a primary.
    pub fn is_write(&self) -> bool {
        match self {
            Statement::CreateTable(..)
            | Statement::DropTable(..)
            | Statement::Insert { .. }
            | Statement::Update { .. }
            | Statement::Delete { .. } => true,
            Statement::Select(select) => select.for_update,
            _ => false,
        }
    }

    /// Whether the statement occupies a slot; group orders and the status do not.
    pub fn takes_slot(&self) -> bool {
        !matches!(self, Statement::Order(_)) && *self != Statement::Show("group_status".into())
    }

    /// Whether the statement ends a transaction.
    pub fn ends_transaction(&self) -> bool {
        matches!(self, Statement::Commit | Statement::Rollback)
    }
}
