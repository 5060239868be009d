//! Tables in memory, open transactions over them, and row locks.

use std::collections::BTreeMap;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::error::{SqlError, WRITE_CONFLICT};
use super::value::{ColumnType, Value};

/// The values of one row, in the order of the columns.
pub type Row = Vec<Value>;

/// Number of an open transaction, unique within one run of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr)]
pub struct TransactionId(pub u64);

/// One value of a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum KeyPart {
    /// A boolean column.
    Bool(bool),
    /// An integer column.
    Int(i64),
    /// A text column.
    Text(String),
    /// Row number in a table without a primary key.
    RowNumber(u64),
}

/// Key of a row: the values of the primary key, or a row number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(pub Vec<KeyPart>);

/// A column of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Name in lower case unless it was quoted.
    pub name: String,
    /// Type of its values.
    pub ty: ColumnType,
    /// Whether NULL is refused.
    pub not_null: bool,
}

/// Definition of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDef {
    /// Name of the table.
    pub name: String,
    /// Columns in order.
    pub columns: Vec<Column>,
    /// Places of the primary key's columns; empty without a primary key.
    pub primary_key: Vec<usize>,
}

impl TableDef {
    /// Place of the column `name`.
    pub fn column(&self, name: &str) -> Result<usize, SqlError> {
        let found = self.columns.iter().position(|column| column.name == name);
        found.ok_or_else(|| SqlError::new("42703", format!("column \"{name}\" does not exist")))
    }

    /// Key of `row`; `None` in a table without a primary key.
    pub fn key(&self, row: &[Value]) -> Result<Option<Key>, SqlError> {
        if self.primary_key.is_empty() {
            return Ok(None);
        }
        let parts = self.primary_key.iter().map(|place| key_part(&row[*place]));
        Ok(Some(Key(parts.collect::<Result<_, _>>()?)))
    }
}

/// The value as part of a key.
pub fn key_part(value: &Value) -> Result<KeyPart, SqlError> {
    match value {
        Value::Int(number) => Ok(KeyPart::Int(*number)),
        Value::Text(text) => Ok(KeyPart::Text(text.clone())),
        Value::Bool(value) => Ok(KeyPart::Bool(*value)),
        Value::Null => Err(SqlError::new("23502", "null value in the primary key")),
        Value::Float(_) => Err(SqlError::unsupported("float8 in a primary key")),
    }
}

/// One effect of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A table was created.
    CreateTable(TableDef),
    /// A table was dropped.
    DropTable(String),
    /// A row was inserted or replaced.
    Put {
        /// Table of the row.
        table: String,
        /// Key of the row.
        key: Key,
        /// New values.
        row: Row,
    },
    /// A row was deleted.
    Remove {
        /// Table of the row.
        table: String,
        /// Key of the row.
        key: Key,
    },
}

#[derive(Debug)]
struct Table {
    def: TableDef,
    rows: BTreeMap<Key, Row>,
    next_row: u64,
}

/// Uncommitted effects of one transaction.
#[derive(Debug)]
pub struct Transaction {
    id: TransactionId,
    tables: BTreeMap<String, Option<TableDef>>,
    rows: BTreeMap<String, BTreeMap<Key, Option<Row>>>,
    changes: Vec<Change>,
}

/// Committed tables and the locks of open transactions.
#[derive(Debug, Default)]
pub struct Store {
    tables: BTreeMap<String, Table>,
    locks: BTreeMap<(String, Key), TransactionId>,
    transactions: u64,
}

impl Store {
    /// Starts a transaction.
    pub fn begin(&mut self) -> Transaction {
        self.transactions += 1;
        Transaction {
            id: TransactionId(self.transactions),
            tables: BTreeMap::new(),
            rows: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Ends a transaction: releases its locks and hands out its effects.
    pub fn finish(&mut self, transaction: Transaction) -> Vec<Change> {
        self.locks.retain(|_, holder| *holder != transaction.id);
        transaction.changes
    }

    /// Applies committed effects.
    pub fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::CreateTable(def) => {
                    let table = Table { def: def.clone(), rows: BTreeMap::new(), next_row: 0 };
                    self.tables.insert(def.name.clone(), table);
                }
                Change::DropTable(name) => {
                    self.tables.remove(name);
                }
                Change::Put { table, key, row } => {
                    if let Some(table) = self.tables.get_mut(table) {
                        if let [KeyPart::RowNumber(number)] = key.0[..] {
                            table.next_row = table.next_row.max(number + 1);
                        }
                        table.rows.insert(key.clone(), row.clone());
                    }
                }
                Change::Remove { table, key } => {
                    if let Some(table) = self.tables.get_mut(table) {
                        table.rows.remove(key);
                    }
                }
            }
        }
    }

    /// Removes every table; the locks of open transactions go too.
    pub fn clear(&mut self) {
        self.tables.clear();
        self.locks.clear();
    }

    /// Definition of a table as `transaction` sees it.
    pub fn table<'a>(
        &'a self,
        transaction: Option<&'a Transaction>,
        name: &str,
    ) -> Option<&'a TableDef> {
        match transaction.and_then(|transaction| transaction.tables.get(name)) {
            Some(changed) => changed.as_ref(),
            None => self.tables.get(name).map(|table| &table.def),
        }
    }

    /// One row as `transaction` sees it.
    pub fn row<'a>(
        &'a self,
        transaction: &'a Transaction,
        table: &str,
        key: &Key,
    ) -> Option<&'a Row> {
        match transaction.rows.get(table).and_then(|rows| rows.get(key)) {
            Some(changed) => changed.as_ref(),
            None if transaction.tables.contains_key(table) => None,
            None => self.tables.get(table)?.rows.get(key),
        }
    }

    /// All rows of a table as `transaction` sees them, by key.
    pub fn rows(&self, transaction: &Transaction, table: &str) -> Vec<(Key, Row)> {
        let committed = match self.tables.get(table) {
            Some(stored) if !transaction.tables.contains_key(table) => Some(&stored.rows),
            _ => None,
        };
        let committed = committed.into_iter().flatten();
        let Some(changed) = transaction.rows.get(table) else {
            return committed.map(|(key, row)| (key.clone(), row.clone())).collect();
        };
        let mut rows: BTreeMap<&Key, &Row> = committed.collect();
        for (key, row) in changed {
            match row {
                Some(row) => rows.insert(key, row),
                None => rows.remove(key),
            };
        }
        rows.into_iter().map(|(key, row)| (key.clone(), row.clone())).collect()
    }

    /// A row number that no transaction has used.
    pub fn next_key(&mut self, transaction: &Transaction, table: &str) -> Key {
        let number = match self.tables.get_mut(table) {
            Some(table) => {
                table.next_row += 1;
                table.next_row - 1
            }
            None => transaction.rows.get(table).map_or(0, |rows| rows.len() as u64),
        };
        Key(vec![KeyPart::RowNumber(number)])
    }

    /// Locks a row for `transaction`.
    ///
    /// # Errors
    ///
    /// Another open transaction holds the lock.
    pub fn lock(
        &mut self,
        transaction: &Transaction,
        table: &str,
        key: &Key,
    ) -> Result<(), SqlError> {
        let holder = self.locks.entry((table.to_owned(), key.clone())).or_insert(transaction.id);
        if *holder == transaction.id {
            Ok(())
        } else {
            Err(WRITE_CONFLICT.error())
        }
    }

    /// Writes or removes a row within `transaction`.
    ///
    /// # Errors
    ///
    /// Another open transaction wrote to the row.
    pub fn write(
        &mut self,
        transaction: &mut Transaction,
        table: &str,
        key: Key,
        row: Option<Row>,
    ) -> Result<(), SqlError> {
        self.lock(transaction, table, &key)?;
        let name = table.to_owned();
        transaction.changes.push(match &row {
            Some(row) => Change::Put { table: name, key: key.clone(), row: row.clone() },
            None => Change::Remove { table: name, key: key.clone() },
        });
        transaction.rows.entry(table.to_owned()).or_default().insert(key, row);
        Ok(())
    }

    /// Creates or drops a table within `transaction`.
    ///
    /// # Errors
    ///
    /// Another open transaction changed the table's definition.
    pub fn define(
        &mut self,
        transaction: &mut Transaction,
        name: &str,
        def: Option<TableDef>,
    ) -> Result<(), SqlError> {
        self.lock(transaction, name, &Key(Vec::new()))?;
        transaction.changes.push(match &def {
            Some(def) => Change::CreateTable(def.clone()),
            None => Change::DropTable(name.to_owned()),
        });
        transaction.rows.remove(name);
        transaction.tables.insert(name.to_owned(), def);
        Ok(())
    }
}
