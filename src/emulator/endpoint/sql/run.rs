//! Execution of data statements within a transaction.

use std::cmp::Ordering;

use super::infer::{item_columns, table_of};
use super::{Aggregate, Expr, Item, Operator, OutputColumn, Select, Statement};
use crate::emulator::endpoint::error::{SqlError, NUMERIC_OUT_OF_RANGE};
use crate::emulator::endpoint::store::{key_part, Key, Row, Store, TableDef, Transaction};
use crate::emulator::endpoint::value::{compare, ColumnType, Value};

/// Result of one statement.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Columns of the rows; `None` for a statement without rows.
    pub columns: Option<Vec<OutputColumn>>,
    /// Rows of the result.
    pub rows: Vec<Row>,
    /// Command tag.
    pub tag: String,
}

impl Outcome {
    /// A result without rows.
    pub fn tag(tag: impl Into<String>) -> Self {
        Self { columns: None, rows: Vec::new(), tag: tag.into() }
    }

    /// One row with one text.
    pub fn text(name: &str, text: impl Into<String>, tag: &str) -> Self {
        let column = OutputColumn { name: name.to_owned(), ty: ColumnType::Text };
        let row = vec![Value::Text(text.into())];
        Self { columns: Some(vec![column]), rows: vec![row], tag: tag.to_owned() }
    }
}

/// Parameters of a statement: their types and values.
#[derive(Debug, Clone, Copy)]
pub struct Params<'a> {
    types: &'a [ColumnType],
    values: &'a [Value],
}

/// Runs a data statement in `transaction`.
///
/// # Errors
///
/// Whatever PostgreSQL would refuse; the caller then aborts the transaction.
pub fn run(
    store: &mut Store,
    transaction: &mut Transaction,
    statement: &Statement,
    types: &[ColumnType],
    values: &[Value],
) -> Result<Outcome, SqlError> {
    let params = Params { types, values };
    let def = match table_of(statement) {
        Some(name) => Some(store.table(Some(transaction), name).cloned().ok_or_else(|| {
            SqlError::new("42P01", format!("relation \"{name}\" does not exist"))
        })?),
        None => None,
    };
    match (statement, def) {
        (Statement::CreateTable(def, if_not_exists), _) => {
            if store.table(Some(transaction), &def.name).is_none() {
                store.define(transaction, &def.name, Some(def.clone()))?;
            } else if !if_not_exists {
                let text = format!("relation \"{}\" already exists", def.name);
                return Err(SqlError::new("42P07", text));
            }
            Ok(Outcome::tag("CREATE TABLE"))
        }
        (Statement::DropTable(name, if_exists), _) => {
            if store.table(Some(transaction), name).is_some() {
                store.define(transaction, name, None)?;
            } else if !if_exists {
                return Err(SqlError::new("42P01", format!("table \"{name}\" does not exist")));
            }
            Ok(Outcome::tag("DROP TABLE"))
        }
        (Statement::Select(select), def) => {
            Work { store, transaction, def: def.as_ref(), params }.select(select)
        }
        (statement, Some(def)) => {
            Work { store, transaction, def: Some(&def), params }.change(statement, &def)
        }
        (other, None) => Err(SqlError::unsupported(format!("{other:?}"))),
    }
}

/// Value of an expression without columns.
pub fn evaluate(expr: &Expr, values: &[Value]) -> Result<Value, SqlError> {
    Scope { def: None, row: &[], values }.value(expr)
}

struct Work<'a> {
    store: &'a mut Store,
    transaction: &'a mut Transaction,
    def: Option<&'a TableDef>,
    params: Params<'a>,
}

impl Work<'_> {
    fn scope<'a>(&'a self, row: &'a [Value]) -> Scope<'a> {
        Scope { def: self.def, row, values: self.params.values }
    }

    fn change(&mut self, statement: &Statement, def: &TableDef) -> Result<Outcome, SqlError> {
        match statement {
            Statement::Insert { columns, rows, returning, .. } => {
                let mut inserted = Vec::new();
                for values in rows {
                    inserted.push(self.insert(def, columns, values)?);
                }
                let tag = format!("INSERT 0 {}", inserted.len());
                self.returning(returning, &inserted, tag)
            }
            Statement::Update { assignments, filter, returning, .. } => {
                let mut updated = Vec::new();
                for (key, row) in self.matching(filter.as_ref())? {
                    updated.push(self.update(def, assignments, key, row)?);
                }
                let tag = format!("UPDATE {}", updated.len());
                self.returning(returning, &updated, tag)
            }
            Statement::Delete { filter, returning, .. } => {
                let mut deleted = Vec::new();
                for (key, row) in self.matching(filter.as_ref())? {
                    self.store.write(self.transaction, &def.name, key, None)?;
                    deleted.push(row);
                }
                let tag = format!("DELETE {}", deleted.len());
                self.returning(returning, &deleted, tag)
            }
            other => Err(SqlError::unsupported(format!("{other:?}"))),
        }
    }

    fn insert(
        &mut self,
        def: &TableDef,
        columns: &[String],
        values: &[Expr],
    ) -> Result<Row, SqlError> {
        let mut row = vec![Value::Null; def.columns.len()];
        let places: Vec<usize> = match columns {
            [] => (0..values.len()).collect(),
            named => named.iter().map(|name| def.column(name)).collect::<Result<_, _>>()?,
        };
        if places.len() != values.len() || values.len() > row.len() {
            return Err(SqlError::new("42601", "INSERT has the wrong number of values"));
        }
        for (place, expr) in places.into_iter().zip(values) {
            row[place] = def.columns[place].ty.convert(self.scope(&[]).value(expr)?)?;
        }
        check_not_null(def, &row)?;
        let key = match def.key(&row)? {
            Some(key) => {
                self.check_unused(def, &key)?;
                key
            }
            None => self.store.next_key(self.transaction, &def.name),
        };
        self.store.write(self.transaction, &def.name, key, Some(row.clone()))?;
        Ok(row)
    }

    fn check_unused(&mut self, def: &TableDef, key: &Key) -> Result<(), SqlError> {
        self.store.lock(self.transaction, &def.name, key)?;
        match self.store.row(self.transaction, &def.name, key) {
            None => Ok(()),
            Some(_) => {
                let text = format!("duplicate key value in the primary key of \"{}\"", def.name);
                Err(SqlError::new("23505", text))
            }
        }
    }

    fn update(
        &mut self,
        def: &TableDef,
        assignments: &[(String, Expr)],
        key: Key,
        row: Row,
    ) -> Result<Row, SqlError> {
        let mut changed = row.clone();
        for (name, expr) in assignments {
            let place = def.column(name)?;
            changed[place] = def.columns[place].ty.convert(self.scope(&row).value(expr)?)?;
        }
        check_not_null(def, &changed)?;
        let new_key = def.key(&changed)?.unwrap_or_else(|| key.clone());
        if new_key != key {
            self.check_unused(def, &new_key)?;
            self.store.write(self.transaction, &def.name, key, None)?;
        }
        self.store.write(self.transaction, &def.name, new_key, Some(changed.clone()))?;
        Ok(changed)
    }

    /// Rows that satisfy the filter. A condition on the whole primary key is looked up.
    fn matching(&self, filter: Option<&Expr>) -> Result<Vec<(Key, Row)>, SqlError> {
        let Some(def) = self.def else { return Ok(Vec::new()) };
        let candidates = match filter.and_then(|filter| self.key_in(def, filter)) {
            Some(key) => {
                let row = self.store.row(self.transaction, &def.name, &key).cloned();
                row.map(|row| (key, row)).into_iter().collect()
            }
            None => self.store.rows(self.transaction, &def.name),
        };
        let mut matching = Vec::new();
        for (key, row) in candidates {
            let holds = filter.map_or(Ok(Value::Bool(true)), |f| self.scope(&row).value(f))?;
            if holds == Value::Bool(true) {
                matching.push((key, row));
            }
        }
        Ok(matching)
    }

    fn key_in(&self, def: &TableDef, filter: &Expr) -> Option<Key> {
        let [place] = def.primary_key[..] else { return None };
        let value = self.fixed(filter, &def.columns[place].name)?;
        let value = def.columns[place].ty.convert(value).ok()?;
        key_part(&value).ok().map(|part| Key(vec![part]))
    }

    /// Value that an AND-ed equality fixes for a column.
    fn fixed(&self, filter: &Expr, column: &str) -> Option<Value> {
        let Expr::Binary(left, operator, right) = filter else { return None };
        match (operator, left.as_ref(), right.as_ref()) {
            (Operator::And, left, right) => {
                self.fixed(left, column).or_else(|| self.fixed(right, column))
            }
            (Operator::Eq, Expr::Column(name), value @ (Expr::Literal(_) | Expr::Param(_)))
            | (Operator::Eq, value @ (Expr::Literal(_) | Expr::Param(_)), Expr::Column(name))
                if name == column =>
            {
                self.scope(&[]).value(value).ok().filter(|value| !matches!(value, Value::Float(_)))
            }
            _ => None,
        }
    }

    fn returning(&self, items: &[Item], rows: &[Row], tag: String) -> Result<Outcome, SqlError> {
        if items.is_empty() {
            return Ok(Outcome::tag(tag));
        }
        let columns = item_columns(self.def, items, self.params.types)?;
        let rows = rows.iter().map(|row| self.scope(row).items(items)).collect::<Result<_, _>>()?;
        Ok(Outcome { columns: Some(columns), rows, tag })
    }

    fn select(&mut self, select: &Select) -> Result<Outcome, SqlError> {
        let mut found = match &select.table {
            Some(_) => self.matching(select.filter.as_ref())?,
            None => vec![(Key(Vec::new()), Row::new())],
        };
        if let (true, Some(table)) = (select.for_update, &select.table) {
            for (key, _) in &found {
                self.store.lock(self.transaction, table, key)?;
            }
        }
        let aggregate = |item: &Item| matches!(item, Item::Expr(Expr::Aggregate(..), _));
        let columns = item_columns(self.def, &select.items, self.params.types)?;
        let mut rows: Vec<Row> = if select.items.iter().any(aggregate) {
            vec![self.aggregates(&select.items, &found)?]
        } else {
            self.sort(select, &mut found)?;
            let rows = found.iter().map(|(_, row)| self.scope(row).items(&select.items));
            rows.collect::<Result<_, _>>()?
        };
        if let Some(limit) = &select.limit {
            if let Value::Int(limit) = self.scope(&[]).value(limit)? {
                rows.truncate(usize::try_from(limit).unwrap_or(0));
            }
        }
        let tag = format!("SELECT {}", rows.len());
        Ok(Outcome { columns: Some(columns), rows, tag })
    }

    fn sort(&self, select: &Select, found: &mut [(Key, Row)]) -> Result<(), SqlError> {
        let Some((expr, descending)) = &select.order else { return Ok(()) };
        let mut failed = None;
        found.sort_by(|(_, a), (_, b)| {
            let values = (self.scope(a).value(expr), self.scope(b).value(expr));
            let ordering = match values {
                (Ok(a), Ok(b)) => order_values(&a, &b),
                (Err(error), _) | (_, Err(error)) => Err(error),
            };
            let ordering = ordering.unwrap_or_else(|error| {
                failed = Some(error);
                Ordering::Equal
            });
            if *descending {
                ordering.reverse()
            } else {
                ordering
            }
        });
        failed.map_or(Ok(()), Err)
    }

    fn aggregates(&self, items: &[Item], found: &[(Key, Row)]) -> Result<Row, SqlError> {
        let values = items.iter().map(|item| match item {
            Item::Expr(Expr::Aggregate(Aggregate::Count, None), _) => {
                Ok(Value::Int(found.len() as i64))
            }
            Item::Expr(Expr::Aggregate(kind, Some(expr)), _) => {
                let values = found.iter().map(|(_, row)| self.scope(row).value(expr));
                let values: Vec<Value> = values.collect::<Result<_, _>>()?;
                fold(*kind, values.into_iter().filter(|value| *value != Value::Null))
            }
            Item::Expr(expr @ (Expr::Literal(_) | Expr::Param(_)), _) => {
                self.scope(&[]).value(expr)
            }
            _ => Err(SqlError::new("42803", "column must be used in an aggregate function")),
        });
        values.collect()
    }
}

fn check_not_null(def: &TableDef, row: &[Value]) -> Result<(), SqlError> {
    let nulls = def.columns.iter().zip(row).find(|(c, value)| c.not_null && **value == Value::Null);
    match nulls {
        None => Ok(()),
        Some((column, _)) => {
            Err(SqlError::new("23502", format!("null value in column \"{}\"", column.name)))
        }
    }
}

/// NULL sorts last, as in PostgreSQL.
fn order_values(a: &Value, b: &Value) -> Result<Ordering, SqlError> {
    match (a, b) {
        (Value::Null, Value::Null) => Ok(Ordering::Equal),
        (Value::Null, _) => Ok(Ordering::Greater),
        (_, Value::Null) => Ok(Ordering::Less),
        (a, b) => Ok(compare(a, b)?.unwrap_or(Ordering::Equal)),
    }
}

fn fold(kind: Aggregate, mut values: impl Iterator<Item = Value>) -> Result<Value, SqlError> {
    if kind == Aggregate::Count {
        return Ok(Value::Int(values.count() as i64));
    }
    let Some(first) = values.next() else { return Ok(Value::Null) };
    values.try_fold(first, |acc, value| match kind {
        Aggregate::Sum => arithmetic(&acc, Operator::Add, &value),
        Aggregate::Min if compare(&value, &acc)? == Some(Ordering::Less) => Ok(value),
        Aggregate::Max if compare(&value, &acc)? == Some(Ordering::Greater) => Ok(value),
        _ => Ok(acc),
    })
}

struct Scope<'a> {
    def: Option<&'a TableDef>,
    row: &'a [Value],
    values: &'a [Value],
}

impl Scope<'_> {
    fn items(&self, items: &[Item]) -> Result<Row, SqlError> {
        let mut row = Row::new();
        for item in items {
            match item {
                Item::All => row.extend_from_slice(self.row),
                Item::Expr(expr, _) => row.push(self.value(expr)?),
            }
        }
        Ok(row)
    }

    fn value(&self, expr: &Expr) -> Result<Value, SqlError> {
        match expr {
            Expr::Literal(value) => Ok(value.clone()),
            Expr::Param(place) => self.values.get(*place).cloned().ok_or_else(|| {
                SqlError::new("42P02", format!("there is no parameter ${}", place + 1))
            }),
            Expr::Column(name) => {
                let place = self.def.map(|def| def.column(name)).transpose()?;
                place.and_then(|place| self.row.get(place)).cloned().ok_or_else(|| {
                    SqlError::new("42703", format!("column \"{name}\" does not exist here"))
                })
            }
            Expr::Binary(left, operator, right) => self.binary(left, *operator, right),
            Expr::Not(inner) => match self.value(inner)? {
                Value::Bool(value) => Ok(Value::Bool(!value)),
                Value::Null => Ok(Value::Null),
                other => Err(SqlError::new("42804", format!("{other:?} is not boolean"))),
            },
            Expr::IsNull(inner) => Ok(Value::Bool(self.value(inner)? == Value::Null)),
            Expr::In(inner, list) => {
                let value = self.value(inner)?;
                for expr in list {
                    if compare(&value, &self.value(expr)?)? == Some(Ordering::Equal) {
                        return Ok(Value::Bool(true));
                    }
                }
                Ok(Value::Bool(false))
            }
            Expr::Cast(inner, ty) => ty.convert(self.value(inner)?),
            Expr::Aggregate(..) => Err(SqlError::new("42803", "aggregate is not allowed here")),
        }
    }

    fn binary(&self, left: &Expr, operator: Operator, right: &Expr) -> Result<Value, SqlError> {
        let left = self.value(left)?;
        match (operator, &left) {
            (Operator::And, Value::Bool(false)) => return Ok(Value::Bool(false)),
            (Operator::Or, Value::Bool(true)) => return Ok(Value::Bool(true)),
            _ => (),
        }
        let right = self.value(right)?;
        let test = |holds: fn(Ordering) -> bool| {
            Ok(compare(&left, &right)?.map_or(Value::Null, |ordering| Value::Bool(holds(ordering))))
        };
        match operator {
            Operator::Eq => test(Ordering::is_eq),
            Operator::NotEq => test(Ordering::is_ne),
            Operator::Lt => test(Ordering::is_lt),
            Operator::LtEq => test(Ordering::is_le),
            Operator::Gt => test(Ordering::is_gt),
            Operator::GtEq => test(Ordering::is_ge),
            Operator::And | Operator::Or => Ok(logic(operator, &left, &right)),
            Operator::Concat => {
                match (ColumnType::Text.convert(left)?, ColumnType::Text.convert(right)?) {
                    (Value::Text(a), Value::Text(b)) => Ok(Value::Text(a + &b)),
                    _ => Ok(Value::Null),
                }
            }
            _ => arithmetic(&left, operator, &right),
        }
    }
}

/// AND and OR with NULL as "unknown".
fn logic(operator: Operator, left: &Value, right: &Value) -> Value {
    let decisive = Value::Bool(operator == Operator::Or);
    if *left == decisive || *right == decisive {
        return decisive;
    }
    match (left, right) {
        (Value::Bool(_), Value::Bool(_)) => Value::Bool(operator == Operator::And),
        _ => Value::Null,
    }
}

fn arithmetic(left: &Value, operator: Operator, right: &Value) -> Result<Value, SqlError> {
    let zero = || SqlError::new("22012", "division by zero");
    match (left, right) {
        (Value::Null, _) | (_, Value::Null) => Ok(Value::Null),
        (Value::Int(a), Value::Int(b)) => {
            let result = match operator {
                Operator::Add => a.checked_add(*b),
                Operator::Sub => a.checked_sub(*b),
                Operator::Mul => a.checked_mul(*b),
                Operator::Div | Operator::Mod if *b == 0 => return Err(zero()),
                Operator::Div => a.checked_div(*b),
                _ => a.checked_rem(*b),
            };
            result.map(Value::Int).ok_or_else(|| NUMERIC_OUT_OF_RANGE.error())
        }
        (Value::Text(_), _) | (_, Value::Text(_)) => {
            let number = |value: &Value| ColumnType::Int8.convert(value.clone());
            arithmetic(&number(left)?, operator, &number(right)?)
        }
        (a, b) => {
            match (ColumnType::Float8.convert(a.clone())?, ColumnType::Float8.convert(b.clone())?) {
                (Value::Float(a), Value::Float(b)) => Ok(Value::Float(match operator {
                    Operator::Add => a + b,
                    Operator::Sub => a - b,
                    Operator::Mul => a * b,
                    Operator::Div | Operator::Mod if b == 0.0 => return Err(zero()),
                    Operator::Div => a / b,
                    _ => a % b,
                })),
                _ => Ok(Value::Null),
            }
        }
    }
}
