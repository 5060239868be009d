//! The database of one endpoint: tables, log and role together, and the transactions of its
//! client connections.

use std::collections::BTreeMap;
use std::rc::Rc;

use medlarstile::types::{Position, Term};

use super::error::{SqlError, FAILED_TRANSACTION, READ_ONLY};
use super::log::Entry;
use super::member::Member;
use super::role::RoleAction;
use super::sql::{describe, evaluate, run, table_of, GroupOrder, Outcome, Shape, Statement};
use super::store::{Store, Transaction};
use super::value::{ColumnType, Value};

/// Settings that a client can set and show, with their first values.
const SETTINGS: [(&str, &str); 14] = [
    ("application_name", ""),
    ("client_encoding", "UTF8"),
    ("client_min_messages", "notice"),
    ("datestyle", "ISO, MDY"),
    ("default_transaction_read_only", "off"),
    ("extra_float_digits", "1"),
    ("idle_in_transaction_session_timeout", "0"),
    ("lock_timeout", "0"),
    ("search_path", "\"$user\", public"),
    ("server_version", "16.0"),
    ("standard_conforming_strings", "on"),
    ("statement_timeout", "0"),
    ("timezone", "UTC"),
    ("transaction_isolation", "read committed"),
];

/// A statement with its parameters.
#[derive(Debug, Clone)]
pub struct Bound {
    /// The statement.
    pub statement: Rc<Statement>,
    /// Types of the parameters.
    pub types: Vec<ColumnType>,
    /// Values of the parameters.
    pub values: Vec<Value>,
}

/// Transaction state as ReadyForQuery reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed.
    Failed,
}

/// What one client connection has open.
#[derive(Debug, Default)]
pub struct Backend {
    transaction: Option<Transaction>,
    explicit: bool,
    failed: bool,
    read_only: bool,
    settings: BTreeMap<String, String>,
}

impl Backend {
    /// State for ReadyForQuery.
    pub fn state(&self) -> TransactionState {
        match (self.explicit, self.failed) {
            (false, _) => TransactionState::Idle,
            (true, false) => TransactionState::Open,
            (true, true) => TransactionState::Failed,
        }
    }
}

/// Results of the statements of one message, up to the first error.
#[derive(Debug)]
pub struct Results {
    /// Results in order.
    pub outcomes: Vec<Outcome>,
    /// Error that ended the message.
    pub error: Option<SqlError>,
    /// What the actors have to carry out.
    pub actions: Vec<RoleAction>,
}

/// Tables, log and role.
#[derive(Debug)]
pub struct Database {
    /// Log and role.
    pub member: Member,
    store: Store,
}

impl Database {
    /// An empty database.
    pub fn new(member: Member) -> Self {
        Self { member, store: Store::default() }
    }

    /// Types of a statement's parameters and columns.
    ///
    /// # Errors
    ///
    /// A table or column that does not exist, or a failed transaction.
    pub fn describe(
        &self,
        backend: &Backend,
        statement: &Statement,
        declared: &[Option<ColumnType>],
    ) -> Result<Shape, SqlError> {
        if backend.failed && !statement.ends_transaction() {
            return Err(FAILED_TRANSACTION.error());
        }
        let def = match table_of(statement) {
            None => None,
            Some(name) => {
                Some(self.store.table(backend.transaction.as_ref(), name).ok_or_else(|| {
                    SqlError::new("42P01", format!("relation \"{name}\" does not exist"))
                })?)
            }
        };
        describe(statement, def, declared)
    }

    /// Runs the statements of one message; several form one implicit transaction.
    pub fn run_all(&mut self, backend: &mut Backend, statements: &[Bound]) -> Results {
        let mut results = Results { outcomes: Vec::new(), error: None, actions: Vec::new() };
        for bound in statements {
            match self.run_one(backend, bound, &mut results.actions) {
                Ok(outcome) => results.outcomes.push(outcome),
                Err(error) => {
                    self.fail(backend);
                    results.error = Some(error);
                    return results;
                }
            }
        }
        if !backend.explicit {
            results.error = self.commit(backend).err();
            if results.error.is_some() {
                results.outcomes.clear();
            }
        }
        results
    }

    /// Rolls back what a closed connection had open.
    pub fn roll_back(&mut self, backend: &mut Backend) {
        if let Some(transaction) = backend.transaction.take() {
            self.store.finish(transaction);
        }
        (backend.explicit, backend.failed, backend.read_only) = (false, false, false);
    }

    /// The primary of `term` accepts this replica. Returns whether the log was rewound, `None` if
    /// the answer is out of date. The caller closes the client connections first.
    pub fn on_accept(&mut self, term: Term, common: Position) -> Option<bool> {
        let rewound = self.member.on_accept(term, common)?;
        if rewound {
            self.store.clear();
            for entry in self.member.log().entries() {
                self.store.apply(&entry.changes);
            }
        }
        Some(rewound)
    }

    /// Entries of the primary of `term`; `false` if this replica does not follow it.
    pub fn on_entries(&mut self, term: Term, entries: Vec<Entry>, confirmed: Position) -> bool {
        let Some(new) = self.member.on_entries(term, entries, confirmed) else { return false };
        for entry in new {
            self.store.apply(&entry.changes);
        }
        true
    }

    fn run_one(
        &mut self,
        backend: &mut Backend,
        bound: &Bound,
        actions: &mut Vec<RoleAction>,
    ) -> Result<Outcome, SqlError> {
        let statement = bound.statement.as_ref();
        if backend.failed && !statement.ends_transaction() {
            return Err(FAILED_TRANSACTION.error());
        }
        match statement {
            Statement::Begin(read_only) => {
                backend.read_only |= *read_only;
                backend.explicit = true;
                Ok(Outcome::tag("BEGIN"))
            }
            Statement::Commit if backend.failed => {
                self.roll_back(backend);
                Ok(Outcome::tag("ROLLBACK"))
            }
            Statement::Commit => self.commit(backend).map(|()| Outcome::tag("COMMIT")),
            Statement::Rollback => {
                self.roll_back(backend);
                Ok(Outcome::tag("ROLLBACK"))
            }
            Statement::Accepted(tag) => Ok(Outcome::tag(*tag)),
            Statement::Set(name, value) => set(backend, name, value.as_deref()),
            Statement::Show(name) => self.show(backend, name),
            Statement::Sleep(_) => Ok(Outcome::text("pg_sleep", "", "SELECT 1")),
            Statement::Order(order) => self.order(order, &bound.values, actions),
            statement => {
                if statement.is_write() && (backend.read_only || !self.member.is_primary()) {
                    return Err(READ_ONLY.error());
                }
                let transaction = backend.transaction.get_or_insert_with(|| self.store.begin());
                run(&mut self.store, transaction, statement, &bound.types, &bound.values)
            }
        }
    }

    fn commit(&mut self, backend: &mut Backend) -> Result<(), SqlError> {
        let changes = match backend.transaction.take() {
            Some(transaction) => self.store.finish(transaction),
            None => Vec::new(),
        };
        self.roll_back(backend);
        if changes.is_empty() {
            return Ok(());
        }
        if !self.member.is_primary() {
            return Err(READ_ONLY.error());
        }
        self.store.apply(&changes);
        self.member.append(changes);
        Ok(())
    }

    /// Marks the open transaction as failed; without one, rolls back.
    pub fn fail(&mut self, backend: &mut Backend) {
        if backend.explicit {
            backend.failed = true;
            if let Some(transaction) = backend.transaction.take() {
                self.store.finish(transaction);
            }
        } else {
            self.roll_back(backend);
        }
    }

    fn show(&self, backend: &Backend, name: &str) -> Result<Outcome, SqlError> {
        if name == "group_status" {
            return Ok(Outcome::text(name, self.member.status().to_string(), "SHOW"));
        }
        let name =
            if name == "transaction isolation level" { "transaction_isolation" } else { name };
        let default = SETTINGS.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
        let value = backend.settings.get(name).map(String::as_str).or(default);
        let value = value.ok_or_else(|| unknown_setting(name))?;
        Ok(Outcome::text(name, value, "SHOW"))
    }

    fn order(
        &mut self,
        order: &GroupOrder,
        values: &[Value],
        actions: &mut Vec<RoleAction>,
    ) -> Result<Outcome, SqlError> {
        let (GroupOrder::Fence(term) | GroupOrder::Promote(term) | GroupOrder::Follow(term, _)) =
            order;
        let term = match ColumnType::Text.convert(evaluate(term, values)?)? {
            Value::Text(text) => text.parse::<Term>().ok(),
            _ => None,
        };
        let term = term.ok_or_else(|| SqlError::new("22P02", "a term is a number"))?;
        actions.extend(match order {
            GroupOrder::Fence(_) => self.member.fence(term)?,
            GroupOrder::Promote(_) => self.member.promote(term)?,
            GroupOrder::Follow(_, address) => match evaluate(address, values)? {
                Value::Text(address) => self.member.follow(term, &address)?,
                _ => return Err(SqlError::new("22P02", "an address is a text")),
            },
        });
        Ok(Outcome::text("group_status", self.member.status().to_string(), "SELECT 1"))
    }
}

fn unknown_setting(name: &str) -> SqlError {
    SqlError::new("42704", format!("unrecognized configuration parameter \"{name}\""))
}

fn set(backend: &mut Backend, name: &str, value: Option<&str>) -> Result<Outcome, SqlError> {
    if !name.contains('.') && !SETTINGS.iter().any(|(known, _)| *known == name) {
        return Err(unknown_setting(name));
    }
    match value {
        Some(value) => backend.settings.insert(name.to_owned(), value.to_owned()),
        None => backend.settings.remove(name),
    };
    Ok(Outcome::tag("SET"))
}
