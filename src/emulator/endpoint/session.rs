//! The query protocol of one connection: simple and extended queries, without a socket.
//!
//! Differs from PostgreSQL in one point: an Execute outside a transaction commits at once, not at
//! the Sync after it.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::BytesMut;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::answer::{
    put, put_columns, put_complete, put_empty, put_error, put_parameter, put_parameters, put_ready,
    put_row, put_suspended,
};
use super::database::{Bound, TransactionState};
use super::error::SqlError;
use super::sql::{parse, Outcome, OutputColumn, Shape, Statement};
use super::value::{ColumnType, Format, Value};

/// Name of the reported parameter.
const GROUP_STATUS: &str = "group_status";
/// Target of Describe and Close: a prepared statement.
const TARGET_STATEMENT: u8 = b'S';

/// What a session needs from the database.
#[derive(Debug)]
pub enum Request {
    /// Types of a statement, with the parameter types that the client stated.
    Describe(Rc<Statement>, Vec<Option<ColumnType>>),
    /// Run statements; several form one implicit transaction.
    Run(Vec<Bound>),
    /// A message failed before it reached the database.
    Fail(SqlError),
    /// The present status, to be sent before ReadyForQuery.
    Report,
}

/// Answer to a [`Request`].
#[derive(Debug)]
pub enum Reply {
    /// Types of a statement.
    Shape(Shape),
    /// Results up to the first error.
    Results(Vec<Outcome>, Option<SqlError>),
    /// The status that came with the reply is the present one.
    Report,
}

/// The group status at one time; a higher sequence is newer.
#[derive(Debug, Clone)]
pub struct Report {
    /// Counts changes of the text.
    pub sequence: u64,
    /// Text of the parameter.
    pub text: Rc<str>,
}

/// What follows from a message.
#[derive(Debug)]
pub enum Step {
    /// Read the next message.
    Continue,
    /// Wait for the reply to a request.
    Ask(Request),
    /// Close the connection.
    Close,
}

#[derive(Debug)]
struct Prepared {
    statement: Option<Rc<Statement>>,
    shape: Shape,
}

#[derive(Debug)]
struct Portal {
    bound: Option<Bound>,
    columns: Option<Vec<OutputColumn>>,
    formats: Vec<i16>,
    rest: Option<Outcome>,
}

#[derive(Debug)]
enum Pending {
    Nothing,
    Ready,
    Simple,
    Parse(String, Rc<Statement>),
    Execute(String, usize),
}

/// Protocol state of one connection.
#[derive(Debug)]
pub struct Session {
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    pending: Pending,
    skipping: bool,
    state: TransactionState,
    report: Report,
    reported: u64,
    /// Bytes to send.
    pub out: BytesMut,
}

impl Session {
    /// A session after login; `report` is the present status.
    pub fn new(report: Report) -> Self {
        Self {
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            pending: Pending::Nothing,
            skipping: false,
            state: TransactionState::Idle,
            report,
            reported: 0,
            out: BytesMut::new(),
        }
    }

    /// Takes a newer status over.
    pub fn observe(&mut self, report: Report) {
        if report.sequence > self.report.sequence {
            self.report = report;
        }
    }

    /// Sends the status if it changed since it was last sent.
    pub fn report_change(&mut self) {
        if self.report.sequence > self.reported {
            self.put_report();
        }
    }

    /// Sends ReadyForQuery as soon as the present status is known. A status that is older than the
    /// client's message would let a client take data for fresher than it is.
    pub fn ready(&mut self) -> Step {
        self.pending = Pending::Ready;
        Step::Ask(Request::Report)
    }

    /// Handles one message from the client.
    pub fn on_message(&mut self, message: PgWireFrontendMessage) -> Step {
        if self.skipping
            && !matches!(
                message,
                PgWireFrontendMessage::Sync(_) | PgWireFrontendMessage::Terminate(_)
            )
        {
            return Step::Continue;
        }
        let step = match message {
            PgWireFrontendMessage::Query(query) => self.query(&query.query),
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe),
            PgWireFrontendMessage::Execute(execute) => self.execute(&execute),
            PgWireFrontendMessage::Close(close) => Ok(self.close(&close)),
            PgWireFrontendMessage::Sync(_) => {
                self.skipping = false;
                Ok(self.ready())
            }
            PgWireFrontendMessage::Flush(_) => Ok(Step::Continue),
            PgWireFrontendMessage::Terminate(_) => Ok(Step::Close),
            other => {
                let text = format!("unexpected message {other:?}");
                put_error(&mut self.out, &SqlError::fatal("08P01", text));
                Ok(Step::Close)
            }
        };
        step.unwrap_or_else(|error| Step::Ask(Request::Fail(error)))
    }

    /// Handles the reply to the request of the last [`Step::Ask`].
    pub fn on_reply(&mut self, reply: Reply, state: TransactionState) {
        self.state = state;
        match (std::mem::replace(&mut self.pending, Pending::Nothing), reply) {
            (Pending::Simple, Reply::Results(outcomes, error)) => {
                let sent = outcomes.iter().try_for_each(|outcome| self.put_outcome(outcome));
                if let Some(error) = sent.err().or(error) {
                    put_error(&mut self.out, &error);
                }
                self.put_ready();
            }
            (Pending::Ready, Reply::Report) => self.put_ready(),
            (Pending::Parse(name, statement), Reply::Shape(shape)) => {
                let statement = Some(statement);
                self.statements.insert(name, Prepared { statement, shape });
                put(&mut self.out, PgWireBackendMessage::ParseComplete(ParseComplete::new()));
            }
            (Pending::Execute(name, max_rows), Reply::Results(mut outcomes, None)) => {
                if let (Some(portal), Some(outcome)) = (self.portals.get_mut(&name), outcomes.pop())
                {
                    portal.rest = Some(outcome);
                    self.fetch(&name, max_rows);
                }
            }
            (_, Reply::Results(_, Some(error))) => {
                put_error(&mut self.out, &error);
                self.skipping = true;
            }
            (_, Reply::Shape(_) | Reply::Results(_, None) | Reply::Report) => (),
        }
    }

    fn put_ready(&mut self) {
        self.put_report();
        put_ready(&mut self.out, self.state);
    }

    fn put_report(&mut self) {
        self.reported = self.report.sequence;
        put_parameter(&mut self.out, GROUP_STATUS, &self.report.text);
    }

    fn put_outcome(&mut self, outcome: &Outcome) -> Result<(), SqlError> {
        if let Some(columns) = &outcome.columns {
            put_columns(&mut self.out, Some(columns), &[]);
            for row in &outcome.rows {
                put_row(&mut self.out, columns, row, &[])?;
            }
        }
        put_complete(&mut self.out, &outcome.tag);
        Ok(())
    }

    fn query(&mut self, sql: &str) -> Result<Step, SqlError> {
        self.pending = Pending::Simple;
        let statements = parse(sql)?;
        if statements.is_empty() {
            put_empty(&mut self.out);
            return Ok(self.ready());
        }
        let bound = statements.into_iter().map(|statement| Bound {
            statement: Rc::new(statement),
            types: Vec::new(),
            values: Vec::new(),
        });
        Ok(Step::Ask(Request::Run(bound.collect())))
    }

    fn parse(&mut self, message: Parse) -> Result<Step, SqlError> {
        let name = message.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let text = format!("prepared statement \"{name}\" already exists");
            return Err(SqlError::new("42P05", text));
        }
        let mut statements = parse(&message.query)?;
        let Some(statement) = statements.pop() else {
            let shape = Shape { params: Vec::new(), columns: None };
            self.statements.insert(name, Prepared { statement: None, shape });
            put(&mut self.out, PgWireBackendMessage::ParseComplete(ParseComplete::new()));
            return Ok(Step::Continue);
        };
        if !statements.is_empty() {
            let text = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", text));
        }
        let declared = message.type_oids.iter().map(|oid| match oid {
            0 => Ok(None),
            oid => match ColumnType::from_oid(*oid) {
                Some(ty) => Ok(Some(ty)),
                None => Err(SqlError::unsupported(format!("parameter type {oid}"))),
            },
        });
        let declared = declared.collect::<Result<_, _>>()?;
        let statement = Rc::new(statement);
        self.pending = Pending::Parse(name, statement.clone());
        Ok(Step::Ask(Request::Describe(statement, declared)))
    }

    fn bind(&mut self, message: Bind) -> Result<Step, SqlError> {
        let prepared = self.statement(message.statement_name.as_deref())?;
        let types = &prepared.shape.params;
        if message.parameters.len() != types.len() {
            let text =
                format!("{} parameters given, {} needed", message.parameters.len(), types.len());
            return Err(SqlError::new("08P01", text));
        }
        let values =
            message.parameters.iter().zip(types).enumerate().map(|(place, (bytes, ty))| {
                let format = Format::at(&message.parameter_format_codes, place);
                bytes.as_ref().map_or(Ok(Value::Null), |bytes| ty.decode(format, bytes))
            });
        let values: Vec<Value> = values.collect::<Result<_, _>>()?;
        let bound = prepared.statement.clone();
        let portal = Portal {
            bound: bound.map(|statement| Bound { statement, types: types.clone(), values }),
            columns: prepared.shape.columns.clone(),
            formats: message.result_column_format_codes,
            rest: None,
        };
        self.portals.insert(message.portal_name.unwrap_or_default(), portal);
        put(&mut self.out, PgWireBackendMessage::BindComplete(BindComplete::new()));
        Ok(Step::Continue)
    }

    fn describe(&mut self, message: &Describe) -> Result<Step, SqlError> {
        let name = message.name.as_deref();
        if message.target_type == TARGET_STATEMENT {
            let shape = self.statement(name)?.shape.clone();
            put_parameters(&mut self.out, &shape.params);
            put_columns(&mut self.out, shape.columns.as_deref(), &[]);
        } else {
            let portal = self.portals.get(name.unwrap_or_default()).ok_or_else(no_portal)?;
            put_columns(&mut self.out, portal.columns.as_deref(), &portal.formats);
        }
        Ok(Step::Continue)
    }

    fn execute(&mut self, message: &Execute) -> Result<Step, SqlError> {
        let name = message.name.clone().unwrap_or_default();
        let max_rows = match usize::try_from(message.max_rows) {
            Ok(0) | Err(_) => usize::MAX,
            Ok(rows) => rows,
        };
        let portal = self.portals.get(&name).ok_or_else(no_portal)?;
        match (&portal.rest, &portal.bound) {
            (Some(_), _) => self.fetch(&name, max_rows),
            (None, None) => put_empty(&mut self.out),
            (None, Some(bound)) => {
                let bound = bound.clone();
                self.pending = Pending::Execute(name, max_rows);
                return Ok(Step::Ask(Request::Run(vec![bound])));
            }
        }
        Ok(Step::Continue)
    }

    /// Sends up to `max_rows` rows of a portal that has run.
    fn fetch(&mut self, name: &str, max_rows: usize) {
        let Some(portal) = self.portals.get_mut(name) else { return };
        let Some(outcome) = &mut portal.rest else { return };
        let columns = outcome.columns.clone().unwrap_or_default();
        let count = outcome.rows.len().min(max_rows);
        for row in outcome.rows.drain(..count) {
            if let Err(error) = put_row(&mut self.out, &columns, &row, &portal.formats) {
                put_error(&mut self.out, &error);
                self.skipping = true;
                return;
            }
        }
        if outcome.rows.is_empty() {
            put_complete(&mut self.out, &outcome.tag);
        } else {
            put_suspended(&mut self.out);
        }
    }

    fn close(&mut self, message: &Close) -> Step {
        let name = message.name.as_deref().unwrap_or_default();
        if message.target_type == TARGET_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        put(&mut self.out, PgWireBackendMessage::CloseComplete(CloseComplete::new()));
        Step::Continue
    }

    fn statement(&self, name: Option<&str>) -> Result<&Prepared, SqlError> {
        self.statements.get(name.unwrap_or_default()).ok_or_else(|| {
            SqlError::new("26000", format!("prepared statement {name:?} does not exist"))
        })
    }
}

fn no_portal() -> SqlError {
    SqlError::new("34000", "portal does not exist")
}
