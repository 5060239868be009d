//! Classifies SQL statements by their text as reads, writes or transaction control.
//!
//! The classification is conservative: a statement that is not known to be free of side effects is
//! a write. It does not detect views and operators that call functions with side effects.

use std::collections::BTreeSet;
use std::ops::ControlFlow;
use std::sync::LazyLock;

use compact_str::CompactString;
use sqlparser::ast::{
    ContextModifier, Expr, ObjectName, Query, Select, Set, SetExpr, Statement, TableFactor,
    TransactionAccessMode, TransactionMode, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

/// Name of the run-time parameter that holds the session's position token.
pub const POSITION_PARAMETER: &str = "medlarstile.position";

/// Whether a request may change data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// Only reads; any endpoint that is fresh enough may run it.
    #[default]
    Read,
    /// May change data; only the primary may run it.
    Write,
}

/// A statement that the host answers without an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionCommand {
    /// `SET medlarstile.position = '...'`.
    SetPosition(CompactString),
    /// `SHOW medlarstile.position`.
    ShowPosition,
    /// `SET` of the named parameter to the value that every endpoint connection already has.
    SetFixed(CompactString),
}

/// Classification of one request, which may contain several statements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Class {
    /// Whether the request may change data.
    pub access: Access,
    /// Whether a statement of the request begins a transaction.
    pub begins: bool,
    /// Whether a statement of the request may end a transaction.
    pub ends: bool,
    /// Command that the host answers itself; the request then has no other statement.
    pub command: Option<SessionCommand>,
    /// Feature used by the request that the proxy does not support.
    pub unsupported: Option<&'static str>,
}

impl Class {
    /// Combines the classes of two statements of one request.
    pub fn merge(self, other: Class) -> Class {
        Class {
            access: self.access.max(other.access),
            begins: self.begins || other.begins,
            ends: self.ends || other.ends,
            command: self.command.or(other.command),
            unsupported: self.unsupported.or(other.unsupported),
        }
    }

    fn write() -> Class {
        Class { access: Access::Write, ..Class::default() }
    }

    fn with_unsupported(feature: &'static str) -> Class {
        Class { unsupported: Some(feature), ..Class::write() }
    }
}

/// Classifies the text of a simple query or of a `Parse` message.
pub fn classify(sql: &str) -> Class {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return unparsed(sql);
    };
    let single = statements.len() == 1;
    let mut class = Class::default();
    for statement in &statements {
        let one = classify_statement(statement);
        if one.command.is_some() && !single {
            return Class::with_unsupported(
                "SET or SHOW of a proxy parameter together with other statements",
            );
        }
        class = class.merge(one);
    }
    class
}

/// Classifies text that the parser does not accept: it runs on the primary and may end a
/// transaction.
fn unparsed(sql: &str) -> Class {
    let first = sql.trim_start().split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("");
    match first.to_ascii_lowercase().as_str() {
        "copy" => Class::with_unsupported("COPY"),
        "listen" | "unlisten" => Class::with_unsupported("LISTEN"),
        _ => Class { ends: true, ..Class::write() },
    }
}

fn classify_statement(statement: &Statement) -> Class {
    match statement {
        Statement::Query(_) => query_class(statement),
        Statement::Explain { analyze: false, .. } => Class::default(),
        Statement::ShowVariable { variable } => {
            let name = variable.iter().map(|part| part.value.as_str()).collect::<Vec<_>>();
            let position = name.join(".").eq_ignore_ascii_case(POSITION_PARAMETER);
            Class { command: position.then_some(SessionCommand::ShowPosition), ..Class::default() }
        }
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            let access = if modes.contains(&read_only) { Access::Read } else { Access::Write };
            Class { access, begins: true, ..Class::default() }
        }
        Statement::Commit { .. } | Statement::Rollback { savepoint: None, .. } => {
            Class { access: Access::Write, ends: true, ..Class::default() }
        }
        Statement::Set(set) => set_class(set),
        Statement::Copy { .. } => Class::with_unsupported("COPY"),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => Class::with_unsupported("LISTEN"),
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Class::with_unsupported(
                "PREPARE, EXECUTE and DEALLOCATE as SQL; use the extended protocol",
            )
        }
        Statement::Declare { .. } => Class::with_unsupported("DECLARE CURSOR"),
        Statement::Discard { .. } => Class::with_unsupported("DISCARD"),
        _ => Class::write(),
    }
}

fn set_class(set: &Set) -> Class {
    match set {
        Set::SingleAssignment { scope: None, variable, values, .. } => {
            let name = variable.to_string().to_ascii_lowercase();
            let value = values.iter().map(unquoted).collect::<Vec<_>>().join(",");
            if name == POSITION_PARAMETER {
                let command = Some(SessionCommand::SetPosition(value.into()));
                return Class { command, ..Class::default() };
            }
            if is_fixed_setting(&name, &value) {
                let command = Some(SessionCommand::SetFixed(name.into()));
                return Class { command, ..Class::default() };
            }
            Class::with_unsupported("SET outside of a transaction; use SET LOCAL")
        }
        Set::SingleAssignment { scope: Some(ContextModifier::Local), .. }
        | Set::SetTransaction { session: false, .. } => Class::write(),
        _ => Class::with_unsupported("SET outside of a transaction; use SET LOCAL"),
    }
}

/// Whether a setting is one that drivers send at start-up, with the value that every endpoint
/// connection already has.
fn is_fixed_setting(name: &str, value: &str) -> bool {
    match name {
        "application_name" => true,
        "client_encoding" => matches!(value.to_ascii_lowercase().as_str(), "utf8" | "utf-8"),
        "datestyle" => value.to_ascii_lowercase().starts_with("iso"),
        "extra_float_digits" => true,
        "standard_conforming_strings" => value.eq_ignore_ascii_case("on"),
        _ => false,
    }
}

fn unquoted(expr: &Expr) -> String {
    expr.to_string().trim_matches('\'').to_owned()
}

fn query_class(statement: &Statement) -> Class {
    let found = statement.visit(&mut WriteFinder);
    match found {
        ControlFlow::Continue(()) => Class::default(),
        ControlFlow::Break(()) => Class::write(),
    }
}

/// Visitor that stops at the first part of a query that may have a side effect.
struct WriteFinder;

impl Visitor for WriteFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if query.locks.is_empty() && is_read_body(&query.body) {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        let pure = match factor {
            TableFactor::Table { name, args, .. } => args.is_none() || is_read_function(name),
            TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. }
            | TableFactor::UNNEST { .. } => true,
            TableFactor::Function { name, .. } => is_read_function(name),
            _ => false,
        };
        if pure {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) if !is_read_function(&function.name) => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => is_read_select(select),
        SetExpr::Query(query) => is_read_body(&query.body),
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

fn is_read_select(select: &Select) -> bool {
    select.into.is_none()
}

static READ_FUNCTIONS: LazyLock<BTreeSet<&'static str>> = LazyLock::new(|| {
    let text = include_str!("../../data/read_functions.txt");
    text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')).collect()
});

fn is_read_function(name: &ObjectName) -> bool {
    let text = name.to_string().to_ascii_lowercase();
    let plain = text.strip_prefix("pg_catalog.").unwrap_or(&text);
    READ_FUNCTIONS.contains(plain)
}
