//! Translation of statements from the syntax tree of `sqlparser`.

use sqlparser::ast::{
    self, AssignmentTarget, ColumnOption, FromTable, LimitClause, ObjectType, OrderByKind, Query,
    SelectItem, SetExpr, TableConstraint, TableFactor, TableObject, TableWithJoins,
    TransactionAccessMode, TransactionMode,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::expression::{call, column_type, dotted, expression, ident, object};
use super::{Expr, GroupOrder, Item, Select, Statement};
use crate::emulator::endpoint::error::SqlError;
use crate::emulator::endpoint::store::{Column, TableDef};

/// Parses a text of statements separated by semicolons.
///
/// # Errors
///
/// A syntax error (42601) or something outside the subset (0A000).
pub fn parse(sql: &str) -> Result<Vec<Statement>, SqlError> {
    let parsed = Parser::parse_sql(&PostgreSqlDialect {}, sql)
        .map_err(|error| SqlError::new("42601", error.to_string()))?;
    parsed.iter().map(statement).collect()
}

fn statement(parsed: &ast::Statement) -> Result<Statement, SqlError> {
    match parsed {
        ast::Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Ok(Statement::Begin(modes.contains(&read_only)))
        }
        ast::Statement::Commit { .. } => Ok(Statement::Commit),
        ast::Statement::Rollback { savepoint: None, .. } => Ok(Statement::Rollback),
        ast::Statement::Set(set) => self::set(set),
        ast::Statement::ShowVariable { variable } => {
            let names: Vec<String> = variable.iter().map(ident).collect();
            Ok(Statement::Show(names.join(if names.len() == 2 { "." } else { " " })))
        }
        ast::Statement::Discard { .. } => Ok(Statement::Accepted("DISCARD ALL")),
        ast::Statement::CreateTable(create) => create_table(create),
        ast::Statement::Drop { object_type: ObjectType::Table, if_exists, names, .. } => {
            match &names[..] {
                [name] => Ok(Statement::DropTable(object(name)?, *if_exists)),
                _ => Err(SqlError::unsupported(parsed)),
            }
        }
        ast::Statement::Insert(insert) => self::insert(insert),
        ast::Statement::Update { table, assignments, from: None, selection, returning, .. } => {
            let assigned = assignments.iter().map(assignment);
            Ok(Statement::Update {
                table: table_name(table)?,
                assignments: assigned.collect::<Result<_, _>>()?,
                filter: selection.as_ref().map(expression).transpose()?,
                returning: items(returning.as_deref().unwrap_or_default())?,
            })
        }
        ast::Statement::Delete(delete) => self::delete(delete),
        ast::Statement::Query(query) => self::query(query),
        other => Err(SqlError::unsupported(other)),
    }
}

fn set(set: &ast::Set) -> Result<Statement, SqlError> {
    match set {
        ast::Set::SingleAssignment { variable, values, .. } => {
            let texts: Vec<String> = values.iter().map(setting).collect();
            let value = texts.join(", ");
            let default = value.eq_ignore_ascii_case("default");
            Ok(Statement::Set(dotted(variable), (!default).then_some(value)))
        }
        ast::Set::SetTransaction { .. } => Ok(Statement::Accepted("SET")),
        ast::Set::SetTimeZone { value, .. } => {
            Ok(Statement::Set("timezone".to_owned(), Some(setting(value))))
        }
        ast::Set::SetNames { charset_name, .. } => {
            Ok(Statement::Set("client_encoding".to_owned(), Some(charset_name.value.clone())))
        }
        other => Err(SqlError::unsupported(other)),
    }
}

fn setting(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Value(value) => match &value.value {
            ast::Value::SingleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        ast::Expr::Identifier(name) => name.value.clone(),
        other => other.to_string(),
    }
}

fn create_table(create: &ast::CreateTable) -> Result<Statement, SqlError> {
    let mut def =
        TableDef { name: object(&create.name)?, columns: Vec::new(), primary_key: Vec::new() };
    for (place, column) in create.columns.iter().enumerate() {
        let mut not_null = false;
        for option in &column.options {
            match &option.option {
                ColumnOption::Null => (),
                ColumnOption::NotNull => not_null = true,
                ColumnOption::Unique { is_primary: true, .. } => {
                    not_null = true;
                    def.primary_key.push(place);
                }
                other => return Err(SqlError::unsupported(other)),
            }
        }
        let ty = column_type(&column.data_type)?;
        def.columns.push(Column { name: ident(&column.name), ty, not_null });
    }
    for constraint in &create.constraints {
        let TableConstraint::PrimaryKey { columns, .. } = constraint else {
            return Err(SqlError::unsupported(constraint));
        };
        for column in columns {
            let Expr::Column(name) = expression(&column.column.expr)? else {
                return Err(SqlError::unsupported(constraint));
            };
            def.primary_key.push(def.column(&name)?);
        }
    }
    Ok(Statement::CreateTable(def, create.if_not_exists))
}

fn insert(insert: &ast::Insert) -> Result<Statement, SqlError> {
    let TableObject::TableName(name) = &insert.table else {
        return Err(SqlError::unsupported("INSERT into a function"));
    };
    if insert.on.is_some() {
        return Err(SqlError::unsupported("ON CONFLICT"));
    }
    let body = insert.source.as_ref().map(|source| source.body.as_ref());
    let Some(SetExpr::Values(values)) = body else {
        return Err(SqlError::unsupported("INSERT without VALUES"));
    };
    let rows = values.rows.iter().map(|row| row.iter().map(expression).collect());
    Ok(Statement::Insert {
        table: object(name)?,
        columns: insert.columns.iter().map(ident).collect(),
        rows: rows.collect::<Result<_, _>>()?,
        returning: items(insert.returning.as_deref().unwrap_or_default())?,
    })
}

fn delete(delete: &ast::Delete) -> Result<Statement, SqlError> {
    let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = &delete.from;
    let [table] = &tables[..] else {
        return Err(SqlError::unsupported("DELETE of several tables"));
    };
    Ok(Statement::Delete {
        table: table_name(table)?,
        filter: delete.selection.as_ref().map(expression).transpose()?,
        returning: items(delete.returning.as_deref().unwrap_or_default())?,
    })
}

fn assignment(assignment: &ast::Assignment) -> Result<(String, Expr), SqlError> {
    match &assignment.target {
        AssignmentTarget::ColumnName(name) => Ok((object(name)?, expression(&assignment.value)?)),
        AssignmentTarget::Tuple(_) => Err(SqlError::unsupported(assignment)),
    }
}

fn table_name(table: &TableWithJoins) -> Result<String, SqlError> {
    match &table.relation {
        TableFactor::Table { name, args: None, .. } if table.joins.is_empty() => object(name),
        _ => Err(SqlError::unsupported(table)),
    }
}

fn items(items: &[SelectItem]) -> Result<Vec<Item>, SqlError> {
    let translated = items.iter().map(|item| match item {
        SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => Ok(Item::All),
        SelectItem::UnnamedExpr(expr) => {
            let expr = expression(expr)?;
            let name = column_name(&expr);
            Ok(Item::Expr(expr, name))
        }
        SelectItem::ExprWithAlias { expr, alias } => {
            Ok(Item::Expr(expression(expr)?, ident(alias)))
        }
    });
    translated.collect()
}

fn column_name(expr: &Expr) -> String {
    match expr {
        Expr::Column(name) => name.clone(),
        Expr::Aggregate(kind, _) => format!("{kind:?}").to_ascii_lowercase(),
        Expr::Cast(inner, _) => column_name(inner),
        _ => "?column?".to_owned(),
    }
}

fn query(query: &Query) -> Result<Statement, SqlError> {
    let select = match query.body.as_ref() {
        SetExpr::Select(select) if query.with.is_none() => select,
        _ => return Err(SqlError::unsupported(query)),
    };
    if let Some(statement) = function_statement(select)? {
        return Ok(statement);
    }
    let grouped =
        !matches!(&select.group_by, ast::GroupByExpr::Expressions(by, _) if by.is_empty());
    if select.distinct.is_some() || select.having.is_some() || grouped {
        return Err(SqlError::unsupported("DISTINCT, GROUP BY and HAVING"));
    }
    let table = match &select.from[..] {
        [] => None,
        [table] => Some(table_name(table)?),
        _ => return Err(SqlError::unsupported("joins")),
    };
    Ok(Statement::Select(Select {
        table,
        items: items(&select.projection)?,
        filter: select.selection.as_ref().map(expression).transpose()?,
        order: order(query)?,
        limit: limit(query)?,
        for_update: !query.locks.is_empty(),
    }))
}

fn order(query: &Query) -> Result<Option<(Expr, bool)>, SqlError> {
    let Some(order_by) = &query.order_by else { return Ok(None) };
    match &order_by.kind {
        OrderByKind::Expressions(expressions) => match &expressions[..] {
            [one] => Ok(Some((expression(&one.expr)?, one.options.asc == Some(false)))),
            _ => Err(SqlError::unsupported("ORDER BY several columns")),
        },
        OrderByKind::All(_) => Err(SqlError::unsupported("ORDER BY ALL")),
    }
}

fn limit(query: &Query) -> Result<Option<Expr>, SqlError> {
    match &query.limit_clause {
        None => Ok(None),
        Some(LimitClause::LimitOffset { limit, offset: None, .. }) => {
            limit.as_ref().map(expression).transpose()
        }
        Some(other) => Err(SqlError::unsupported(other)),
    }
}

/// `SELECT f(...)` for the functions that are statements of their own.
fn function_statement(select: &ast::Select) -> Result<Option<Statement>, SqlError> {
    let [SelectItem::UnnamedExpr(ast::Expr::Function(function))] = &select.projection[..] else {
        return Ok(None);
    };
    let name = object(&function.name)?;
    if !matches!(name.as_str(), "pg_sleep" | "group_fence" | "group_promote" | "group_follow") {
        return Ok(None);
    }
    let (_, arguments) = call(function)?;
    let arguments: Option<Vec<Expr>> = arguments.into_iter().collect();
    let mut arguments = arguments.unwrap_or_default().into_iter();
    let statement = match (name.as_str(), arguments.next(), arguments.next()) {
        ("pg_sleep", Some(seconds), None) => Statement::Sleep(seconds),
        ("group_fence", Some(term), None) => Statement::Order(GroupOrder::Fence(term)),
        ("group_promote", Some(term), None) => Statement::Order(GroupOrder::Promote(term)),
        ("group_follow", Some(term), Some(address)) => {
            Statement::Order(GroupOrder::Follow(term, address))
        }
        _ => return Err(SqlError::new("42883", format!("wrong arguments for {name}"))),
    };
    Ok(Some(statement))
}
