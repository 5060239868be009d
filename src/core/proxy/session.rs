//! Sessions: their variables, prepared statements and transactions, and the handling of each
//! statement that a caller submits.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;

use super::catalog::{CallerKey, Route};
use super::statement::{Access, PreparedStatement, Query, Statement, StatementPayload};
use super::{shutdown, Answer, Proxy, ProxyEffect, StatementKind};
use crate::core::transaction::TransactionState;
use crate::error::{Error, ErrorKind};
use crate::types::{
    AccountId, ConnectionId, DatabaseName, HostId, Position, RequestId, SessionId, Timestamp,
};

/// A transaction of a session.
#[derive(Debug)]
pub struct Transaction {
    /// Whether it only reads.
    pub read_only: bool,
    /// When it began; commits acknowledged before that time are visible in it.
    pub began: Timestamp,
    /// Route when it began; newer configurations apply from the next transaction on.
    pub route: Rc<Route>,
    /// Client account when it began.
    pub account: AccountId,
    /// Connection on which it is open; `None` before its first statement is sent.
    pub connection: Option<ConnectionId>,
    /// Whether it runs on the primary.
    pub at_primary: bool,
    /// Whether a write was sent in it.
    pub wrote: bool,
    /// Whether it has failed and can only be rolled back.
    pub failed: bool,
    /// Whether its connection was lost or its time limit has passed; the next statement is refused
    /// with `TransactionLost`.
    pub lost: bool,
    /// When its last statement was answered.
    pub idle_since: Timestamp,
}

/// An open session.
#[derive(Debug)]
pub struct Session {
    /// Database that the caller named.
    pub database: DatabaseName,
    /// The caller's key.
    pub key: CallerKey,
    /// Session variables that the caller has set.
    pub variables: BTreeMap<CompactString, CompactString>,
    /// Prepared statements by the caller's name for them.
    pub prepared: BTreeMap<CompactString, PreparedStatement>,
    /// The open transaction.
    pub transaction: Option<Transaction>,
    /// Highest position of an acknowledged commit of the session.
    pub committed: Option<Position>,
    /// When the session was opened; commits do not update it.
    pub opened_at: Timestamp,
    /// The statement in progress.
    pub request: Option<RequestId>,
    /// Whether the session is closed once no transaction is open, because the host is draining.
    pub closing: bool,
}

impl Session {
    /// Transaction state as reported to the caller.
    pub fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(Transaction { failed: true, .. }) => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
}

impl Proxy {
    /// Home host of a session for this database and key, if it is another host.
    pub fn remote_home(&self, database: &str, key: &str) -> Option<HostId> {
        let name = DatabaseName::from_external(database).ok()?;
        let (_, account) = self.resolve(&name, &CallerKey::new(key)).ok()?;
        self.home(&account).filter(|home| **home != self.spec.host).cloned()
    }

    /// Opens a session on this host.
    ///
    /// # Errors
    ///
    /// `NoRoute` if the database is unknown, `WrongKey` if the key is, `ViewExpired` before a
    /// configuration has been read, and `HostDraining` on a host that only ends what has begun.
    pub fn open_session(
        &mut self,
        now: Timestamp,
        id: SessionId,
        database: &str,
        key: &str,
    ) -> Result<(), Error> {
        let Ok(name) = DatabaseName::from_external(database) else {
            return Err(Error::new(ErrorKind::NoRoute, "the database name is malformed"));
        };
        let key = CallerKey::new(key);
        self.resolve(&name, &key)?;
        if !self.life.state().accepts_sessions() {
            return Err(Error::new(ErrorKind::HostDraining, "the host accepts no new sessions"));
        }
        let session = Session {
            database: name,
            key,
            variables: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            committed: None,
            opened_at: now,
            request: None,
            closing: false,
        };
        self.sessions.insert(id, session);
        Ok(())
    }

    /// Looks up the route and the client account in the current configuration.
    pub(super) fn resolve(
        &self,
        database: &DatabaseName,
        key: &CallerKey,
    ) -> Result<(Rc<Route>, AccountId), Error> {
        let Some(catalog) = &self.catalog else {
            return Err(Error::new(ErrorKind::ViewExpired, "no configuration has been read"));
        };
        let route = catalog.routes.get(database).ok_or_else(|| {
            Error::new(ErrorKind::NoRoute, format!("database {database} at {}", catalog.version))
        })?;
        match catalog.keys.get(key) {
            Some(account) => Ok((Rc::clone(route), account.clone())),
            None if route.open => Ok((Rc::clone(route), AccountId::OPEN)),
            None => Err(Error::new(ErrorKind::WrongKey, "the key is not in the configuration")),
        }
    }

    /// Refuses a statement that could not be parsed.
    pub fn refuse_malformed(&mut self, id: SessionId, error: Error) {
        self.answer(id, Answer::Refused(error));
    }

    /// Processes a statement of a session that has no other statement in progress.
    pub fn submit(&mut self, now: Timestamp, id: SessionId, query: Query) {
        self.run_statement(now, id, query);
        self.dispatch_changed_groups(now);
    }

    /// Error for the first statement after a transaction was lost, if it was. The endpoint keeps
    /// nothing of such a transaction, because no commit was sent. A rollback needs no error.
    fn take_lost_transaction_error(
        &mut self,
        id: SessionId,
        statement: &Statement,
    ) -> Option<Error> {
        let session = self.sessions.get_mut(&id)?;
        let transaction = session.transaction.as_mut().filter(|transaction| transaction.lost)?;
        (transaction.lost, transaction.failed) = (false, true);
        match statement {
            Statement::Rollback => return None,
            Statement::Commit => session.transaction = None,
            _ => {}
        }
        Some(Error::new(
            ErrorKind::TransactionLost,
            "the transaction was rolled back: its connection was lost or it was idle too long",
        ))
    }

    fn run_statement(&mut self, now: Timestamp, id: SessionId, query: Query) {
        if let Some(error) = self.take_lost_transaction_error(id, &query.statement) {
            return self.answer(id, Answer::Refused(error));
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let ended = matches!(query.statement, Statement::Rollback | Statement::Commit);
        if session.state() == TransactionState::Failed && !ended {
            let error = Error::new(ErrorKind::BadMessage, "the transaction has failed");
            return self.answer(id, Answer::Refused(error));
        }
        let in_transaction = session.transaction.is_some();
        let state = self.life.state();
        if let Some(error) = shutdown::refusal(state, &query.statement, in_transaction) {
            return self.refuse_statement(id, &query.id, error);
        }
        match query.statement {
            Statement::Begin { read_only } => self.begin(now, id, &query.id, read_only),
            Statement::Rollback => self.roll_back(now, id),
            Statement::Set { name, value } => {
                session.variables.insert(name, value);
                self.answer(id, Answer::Done);
            }
            Statement::Prepare { name, statement } => {
                session.prepared.insert(name, statement);
                self.answer(id, Answer::Done);
            }
            Statement::Close { name } => {
                session.prepared.remove(&name);
                self.answer(id, Answer::Done);
            }
            Statement::Commit => self.commit(now, id, query.id, query.text),
            Statement::Data(access) => {
                self.run_data_statement(
                    now,
                    id,
                    query.id,
                    access,
                    StatementPayload::Text(query.text),
                );
            }
            Statement::Execute { name, arguments } => match session.prepared.get(&name) {
                Some(statement) => {
                    let statement = statement.clone();
                    let access = statement.access;
                    self.run_data_statement(
                        now,
                        id,
                        query.id,
                        access,
                        StatementPayload::Execute(statement, arguments),
                    );
                }
                None => {
                    let error = Error::new(ErrorKind::UnknownStatement, name);
                    self.answer(id, Answer::Refused(error));
                }
            },
        }
    }

    fn begin(&mut self, now: Timestamp, id: SessionId, statement_id: &str, read_only: bool) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.transaction.is_some() {
            let error = Error::new(ErrorKind::BadMessage, "a transaction is already open");
            return self.answer(id, Answer::Refused(error));
        }
        let (route, account) = match self.start_operation(now, id) {
            Ok(found) => found,
            Err(error) => return self.refuse_statement(id, statement_id, error),
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.transaction = Some(Transaction {
                read_only,
                began: now,
                route,
                account,
                connection: None,
                at_primary: false,
                wrote: false,
                failed: false,
                lost: false,
                idle_since: now,
            });
        }
        self.answer(id, Answer::Done);
    }

    /// Resolves the route and takes a rate limit token for a new transaction or single statement.
    fn start_operation(
        &mut self,
        now: Timestamp,
        id: SessionId,
    ) -> Result<(Rc<Route>, AccountId), Error> {
        let Some(session) = self.sessions.get(&id) else {
            return Err(Error::new(ErrorKind::Internal, "the session is unknown"));
        };
        let (route, account) = self.resolve(&session.database, &session.key)?;
        if !self.quota.admit(now, &account) {
            let detail = "the client account has no tokens left on this host";
            return Err(Error::new(ErrorKind::RateExceeded, detail));
        }
        Ok((route, account))
    }

    fn roll_back(&mut self, now: Timestamp, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let connection = session.transaction.take().and_then(|transaction| transaction.connection);
        if let Some(connection) = connection {
            self.roll_back_connection(now, connection);
        }
        self.answer(id, Answer::Done);
    }

    fn commit(&mut self, now: Timestamp, id: SessionId, statement_id: CompactString, text: Bytes) {
        let Some(session) = self.sessions.get(&id) else { return };
        match session.state() {
            TransactionState::Idle => {
                let error = Error::new(ErrorKind::BadMessage, "no transaction is open");
                self.answer(id, Answer::Refused(error));
            }
            TransactionState::Failed => {
                let transaction =
                    self.sessions.get_mut(&id).and_then(|found| found.transaction.take());
                if let Some(connection) = transaction.and_then(|transaction| transaction.connection)
                {
                    self.roll_back_connection(now, connection);
                }
                let error = Error::new(ErrorKind::TransactionLost, "the transaction has failed");
                self.answer(id, Answer::Refused(error));
            }
            TransactionState::Open => {
                let statement_kind = StatementKind::Commit;
                self.enqueue_statement(
                    now,
                    id,
                    statement_id,
                    statement_kind,
                    Access::Read,
                    StatementPayload::Text(text),
                );
            }
        }
    }

    fn run_data_statement(
        &mut self,
        now: Timestamp,
        id: SessionId,
        statement_id: CompactString,
        access: Access,
        payload: StatementPayload,
    ) {
        let Some(session) = self.sessions.get(&id) else { return };
        let read_only =
            session.transaction.as_ref().is_some_and(|transaction| transaction.read_only);
        if read_only && access == Access::Write {
            let error =
                Error::new(ErrorKind::BadMessage, "a write was sent in a read-only transaction");
            return self.answer(id, Answer::Refused(error));
        }
        let statement_kind = match (session.transaction.is_some(), access) {
            (true, _) => StatementKind::InTransaction,
            (false, Access::Read) => StatementKind::SingleRead,
            (false, Access::Write) => StatementKind::SingleWrite,
        };
        self.enqueue_statement(now, id, statement_id, statement_kind, access, payload);
    }

    /// Route and account for a statement: those of its transaction, or else the current ones.
    pub(super) fn route_and_account(
        &mut self,
        now: Timestamp,
        id: SessionId,
    ) -> Result<(Rc<Route>, AccountId), Error> {
        let session = self.sessions.get(&id);
        let Some((session, transaction)) =
            session.and_then(|found| Some((found, found.transaction.as_ref()?)))
        else {
            return self.start_operation(now, id);
        };
        // A changed route applies from the next transaction on, but a withdrawn key at once.
        let keys = self.catalog.as_ref().map(|catalog| &catalog.keys);
        if !transaction.route.open && !keys.is_some_and(|keys| keys.contains_key(&session.key)) {
            return Err(Error::new(ErrorKind::WrongKey, "the key was withdrawn"));
        }
        Ok((Rc::clone(&transaction.route), transaction.account.clone()))
    }

    /// Ends a session whose caller has disconnected: abandons its statement in progress and rolls
    /// back its open transaction.
    pub fn close_session(&mut self, now: Timestamp, id: SessionId) {
        let Some(mut session) = self.sessions.remove(&id) else { return };
        if let Some(request) = session.request {
            self.abandon(now, request);
        }
        let connection = session.transaction.take().and_then(|transaction| transaction.connection);
        if let Some(connection) = connection {
            self.roll_back_connection(now, connection);
        }
        self.dispatch_changed_groups(now);
    }

    /// Answers the session's current statement, and closes a session that waits to be closed.
    pub(super) fn answer(&mut self, id: SessionId, answer: Answer) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.request = None;
        let state = session.state();
        let closing = session.closing;
        let closing = self.closes_after_answer(closing, state);
        self.out.push(ProxyEffect::Answer { session: id, answer, state });
        if closing {
            self.out.push(ProxyEffect::CloseSession(id));
        }
    }
}
