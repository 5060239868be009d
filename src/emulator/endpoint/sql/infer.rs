//! Types of parameters and result columns.

use super::{Aggregate, Expr, GroupOrder, Item, Operator, Select, Statement};
use crate::emulator::endpoint::error::SqlError;
use crate::emulator::endpoint::store::TableDef;
use crate::emulator::endpoint::value::{ColumnType, Value};

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutputColumn {
    /// Name of the column.
    pub name: String,
    /// Type of its values.
    pub ty: ColumnType,
}

/// What a statement takes and returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape {
    /// Types of the parameters.
    pub params: Vec<ColumnType>,
    /// Columns of the result; `None` for a statement without rows.
    pub columns: Option<Vec<OutputColumn>>,
}

/// Finds the types of `statement`, whose table has the definition `def`. `declared` holds the
/// parameter types that the client stated.
///
/// # Errors
///
/// A column that does not exist.
pub fn describe(
    statement: &Statement,
    def: Option<&TableDef>,
    declared: &[Option<ColumnType>],
) -> Result<Shape, SqlError> {
    let mut inference = Inference { def, params: declared.to_vec() };
    let columns = inference.statement(statement)?;
    let params = inference.params.iter().map(|ty| ty.unwrap_or(ColumnType::Text));
    Ok(Shape { params: params.collect(), columns })
}

/// The table that a statement reads or writes.
pub fn table_of(statement: &Statement) -> Option<&str> {
    match statement {
        Statement::Insert { table, .. }
        | Statement::Update { table, .. }
        | Statement::Delete { table, .. } => Some(table),
        Statement::Select(select) => select.table.as_deref(),
        _ => None,
    }
}

/// Types of the columns of a list of items.
pub fn item_columns(
    def: Option<&TableDef>,
    items: &[Item],
    params: &[ColumnType],
) -> Result<Vec<OutputColumn>, SqlError> {
    let params = params.iter().copied().map(Some).collect();
    Inference { def, params }.items(items)
}

struct Inference<'a> {
    def: Option<&'a TableDef>,
    params: Vec<Option<ColumnType>>,
}

impl Inference<'_> {
    fn statement(&mut self, statement: &Statement) -> Result<Option<Vec<OutputColumn>>, SqlError> {
        match statement {
            Statement::Insert { columns, rows, returning, .. } => {
                let types = self.insert_types(columns)?;
                for (value, ty) in rows.iter().flat_map(|row| row.iter().zip(&types)) {
                    self.expr(value, Some(*ty))?;
                }
                self.returning(returning)
            }
            Statement::Update { assignments, filter, returning, .. } => {
                for (column, value) in assignments {
                    let hint = self.column(column)?;
                    self.expr(value, Some(hint))?;
                }
                self.filter(filter.as_ref())?;
                self.returning(returning)
            }
            Statement::Delete { filter, returning, .. } => {
                self.filter(filter.as_ref())?;
                self.returning(returning)
            }
            Statement::Select(select) => self.select(select).map(Some),
            Statement::Sleep(seconds) => {
                self.expr(seconds, Some(ColumnType::Float8))?;
                Ok(Some(text_column("pg_sleep")))
            }
            Statement::Show(name) => Ok(Some(text_column(name))),
            Statement::Order(order) => self.order(order).map(Some),
            _ => Ok(None),
        }
    }

    fn insert_types(&self, columns: &[String]) -> Result<Vec<ColumnType>, SqlError> {
        if columns.is_empty() {
            return Ok(self.def.iter().flat_map(|def| &def.columns).map(|c| c.ty).collect());
        }
        columns.iter().map(|column| self.column(column)).collect()
    }

    fn filter(&mut self, filter: Option<&Expr>) -> Result<(), SqlError> {
        filter.map_or(Ok(()), |filter| self.expr(filter, Some(ColumnType::Bool)).map(drop))
    }

    fn returning(&mut self, items: &[Item]) -> Result<Option<Vec<OutputColumn>>, SqlError> {
        if items.is_empty() {
            return Ok(None);
        }
        self.items(items).map(Some)
    }

    fn select(&mut self, select: &Select) -> Result<Vec<OutputColumn>, SqlError> {
        self.filter(select.filter.as_ref())?;
        if let Some(limit) = &select.limit {
            self.expr(limit, Some(ColumnType::Int8))?;
        }
        self.items(&select.items)
    }

    fn order(&mut self, order: &GroupOrder) -> Result<Vec<OutputColumn>, SqlError> {
        let (GroupOrder::Fence(term) | GroupOrder::Promote(term) | GroupOrder::Follow(term, _)) =
            order;
        self.expr(term, Some(ColumnType::Text))?;
        if let GroupOrder::Follow(_, address) = order {
            self.expr(address, Some(ColumnType::Text))?;
        }
        Ok(text_column("group_status"))
    }

    fn items(&mut self, items: &[Item]) -> Result<Vec<OutputColumn>, SqlError> {
        let mut columns = Vec::new();
        for item in items {
            match item {
                Item::All => {
                    let all = self.def.iter().flat_map(|def| &def.columns);
                    columns.extend(all.map(|c| OutputColumn { name: c.name.clone(), ty: c.ty }));
                }
                Item::Expr(expr, name) => {
                    let ty = self.expr(expr, None)?.unwrap_or(ColumnType::Text);
                    columns.push(OutputColumn { name: name.clone(), ty });
                }
            }
        }
        Ok(columns)
    }

    fn column(&self, name: &str) -> Result<ColumnType, SqlError> {
        match self.def {
            Some(def) => Ok(def.columns[def.column(name)?].ty),
            None => Err(SqlError::new("42703", format!("column \"{name}\" does not exist"))),
        }
    }

    /// Type of an expression, `None` if unknown; an untyped parameter takes the type `hint`.
    fn expr(
        &mut self,
        expr: &Expr,
        hint: Option<ColumnType>,
    ) -> Result<Option<ColumnType>, SqlError> {
        match expr {
            Expr::Param(place) => Ok(self.param(*place, hint)),
            Expr::Column(name) => self.column(name).map(Some),
            Expr::Literal(value) => Ok(literal_type(value)),
            Expr::Binary(left, operator, right) => self.binary(left, *operator, right, hint),
            Expr::Not(inner) => self.expr(inner, Some(ColumnType::Bool)),
            Expr::IsNull(inner) => {
                self.expr(inner, None)?;
                Ok(Some(ColumnType::Bool))
            }
            Expr::In(inner, list) => {
                let ty = self.expr(inner, None)?;
                for expr in list {
                    self.expr(expr, ty)?;
                }
                Ok(Some(ColumnType::Bool))
            }
            Expr::Cast(inner, ty) => {
                self.expr(inner, Some(*ty))?;
                Ok(Some(*ty))
            }
            Expr::Aggregate(kind, argument) => {
                let ty = argument.as_ref().map_or(Ok(None), |inner| self.expr(inner, None))?;
                Ok(match (kind, ty) {
                    (Aggregate::Count, _) => Some(ColumnType::Int8),
                    (Aggregate::Sum, Some(ColumnType::Int4)) => Some(ColumnType::Int8),
                    (_, ty) => ty,
                })
            }
        }
    }

    fn param(&mut self, place: usize, hint: Option<ColumnType>) -> Option<ColumnType> {
        if self.params.len() <= place {
            self.params.resize(place + 1, None);
        }
        self.params[place] = self.params[place].or(hint);
        self.params[place]
    }

    fn binary(
        &mut self,
        left: &Expr,
        operator: Operator,
        right: &Expr,
        hint: Option<ColumnType>,
    ) -> Result<Option<ColumnType>, SqlError> {
        let arithmetic = matches!(
            operator,
            Operator::Add | Operator::Sub | Operator::Mul | Operator::Div | Operator::Mod
        );
        let outer = match operator {
            Operator::And | Operator::Or => Some(ColumnType::Bool),
            Operator::Concat => Some(ColumnType::Text),
            _ => None,
        };
        let first = self.expr(left, outer)?;
        let second = self.expr(right, outer.or(first))?;
        let first = match first.or(second) {
            None if arithmetic => self.expr(left, hint)?,
            None => self.expr(left, Some(ColumnType::Text))?,
            ty => self.expr(left, ty)?,
        };
        let second = self.expr(right, first)?;
        if outer == Some(ColumnType::Text) {
            return Ok(outer);
        }
        if !arithmetic {
            return Ok(Some(ColumnType::Bool));
        }
        Ok(wider(first, second))
    }
}

fn wider(a: Option<ColumnType>, b: Option<ColumnType>) -> Option<ColumnType> {
    let rank = |ty: &ColumnType| match ty {
        ColumnType::Float8 => 3,
        ColumnType::Int8 => 2,
        ColumnType::Int4 => 1,
        _ => 0,
    };
    a.into_iter().chain(b).max_by_key(rank)
}

fn literal_type(value: &Value) -> Option<ColumnType> {
    match value {
        Value::Null | Value::Text(_) => None,
        Value::Int(number) if i32::try_from(*number).is_ok() => Some(ColumnType::Int4),
        Value::Int(_) => Some(ColumnType::Int8),
        Value::Float(_) => Some(ColumnType::Float8),
        Value::Bool(_) => Some(ColumnType::Bool),
    }
}

fn text_column(name: &str) -> Vec<OutputColumn> {
    vec![OutputColumn { name: name.to_owned(), ty: ColumnType::Text }]
}
