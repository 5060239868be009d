//! Requests of callers as batches of frames: one simple query, or the extended-protocol messages up
//! to a `Sync`.
//!
//! A prepared statement exists only on the endpoint connection where it was parsed, and a caller's
//! next batch may run on another connection. The builder therefore renames named statements to
//! names that are unique on a host and lists, per batch, which statements must be prepared on the
//! connection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use compact_str::{format_compact, CompactString};
use pgwire::messages::extendedquery::{Bind, Close, Describe, Parse, TARGET_TYPE_BYTE_STATEMENT};
use pgwire::messages::simplequery::Query;

use crate::core::class_cache::ClassCache;
use crate::core::classify::{Access, Class};
use crate::error::{Error, ErrorKind};
use crate::types::SessionId;
use crate::wire::pg::{put, Frame};
use crate::wire::shape::is_well_formed;

/// A prepared statement of one caller.
#[derive(Debug, PartialEq, Eq)]
pub struct Prepared {
    /// Name on endpoint connections, unique on this host; empty for the unnamed statement.
    pub wire_name: CompactString,
    /// Classification of its text.
    pub class: Class,
    /// `Parse` frame with `wire_name` as the statement's name.
    pub parse: Bytes,
}

/// One request as it is sent to an endpoint connection.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// Frames to send.
    pub frames: BytesMut,
    /// Statements that must be prepared on the connection before the frames are sent.
    pub required_statements: Vec<Rc<Prepared>>,
    /// Wire names of statements that the batch itself prepares.
    pub prepared_names: Vec<CompactString>,
    /// Wire names of statements that the batch closes.
    pub closed_names: Vec<CompactString>,
    /// Classification of the whole batch.
    pub class: Class,
    /// Text of the query, if it is a simple query.
    pub text: Option<CompactString>,
    executes: bool,
    binds: bool,
}

/// State of the batch after a frame was added.
#[derive(Debug, PartialEq, Eq)]
pub enum BatchProgress {
    /// The batch is incomplete.
    Open,
    /// The batch is complete.
    Complete,
    /// The caller ends the connection.
    Terminate,
}

/// Builds batches from the frames of one caller.
#[derive(Debug)]
pub struct BatchBuilder {
    session: SessionId,
    next_statement: u64,
    statements: BTreeMap<CompactString, Rc<Prepared>>,
    batch: Batch,
    first_error: Option<Error>,
}

thread_local! {
    /// Classifications, shared by all callers of the thread; each depends on the statement's text
    /// alone.
    static CLASSES: RefCell<ClassCache> = RefCell::default();
}

fn classify_cached(sql: &str) -> Class {
    CLASSES.with_borrow_mut(|classes| classes.classify(sql))
}

impl BatchBuilder {
    /// Creates the builder for the caller of `session`.
    pub fn new(session: SessionId) -> Self {
        Self {
            session,
            next_statement: 0,
            statements: BTreeMap::new(),
            batch: Batch::default(),
            first_error: None,
        }
    }

    /// Adds a frame. An error inside an extended batch is reported by [`BatchBuilder::take`] after
    /// its `Sync`, as PostgreSQL does.
    ///
    /// # Errors
    ///
    /// `bad_message` for a malformed body or for a message type that a caller may not send, and
    /// `feature_not_supported` for COPY messages.
    pub fn push(&mut self, frame: Frame) -> Result<BatchProgress, Error> {
        if !is_well_formed(frame.tag, frame.body()) {
            let detail = format!("body of message {:?} is malformed", char::from(frame.tag));
            return Err(Error::new(ErrorKind::BadMessage, detail));
        }
        match frame.tag {
            b'Q' => self.query(&frame),
            b'P' => self.push_extended(frame, Self::parse),
            b'B' => self.push_extended(frame, Self::bind),
            b'D' => self.push_extended(frame, Self::describe),
            b'C' => self.push_extended(frame, Self::close),
            b'E' => self.push_extended(frame, Self::execute),
            b'H' => self.push_extended(frame, |_, _| {
                Err(Error::new(ErrorKind::FeatureNotSupported, "Flush; send Sync"))
            }),
            b'S' => {
                self.batch.frames.extend_from_slice(&frame.bytes);
                Ok(BatchProgress::Complete)
            }
            b'X' => Ok(BatchProgress::Terminate),
            b'd' | b'c' | b'f' => {
                Err(Error::new(ErrorKind::FeatureNotSupported, "COPY is not supported"))
            }
            tag => {
                let detail =
                    format!("message type {:?} is not valid from a caller", char::from(tag));
                Err(Error::new(ErrorKind::BadMessage, detail))
            }
        }
    }

    /// Takes the complete batch and starts a new one.
    ///
    /// # Errors
    ///
    /// The first error of the batch's frames, or `feature_not_supported`.
    pub fn take(&mut self) -> Result<Batch, Error> {
        let mut batch = std::mem::take(&mut self.batch);
        if let Some(first_error) = self.first_error.take() {
            return Err(first_error);
        }
        if let Some(feature) = batch.class.unsupported {
            return Err(Error::new(ErrorKind::FeatureNotSupported, feature));
        }
        if batch.class.command.is_some() && batch.text.is_none() {
            let detail = "proxy parameters in the extended protocol; use a simple query";
            return Err(Error::new(ErrorKind::FeatureNotSupported, detail));
        }
        if batch.executes && !batch.binds {
            // A portal that was bound in an earlier batch may run any statement, including COMMIT.
            batch.class.access = Access::Write;
            batch.class.ends = true;
        }
        Ok(batch)
    }

    fn query(&mut self, frame: &Frame) -> Result<BatchProgress, Error> {
        let query = frame.decode::<Query>()?;
        self.batch.class = classify_cached(&query.query);
        self.batch.text = Some(query.query.into());
        self.batch.frames.extend_from_slice(&frame.bytes);
        Ok(BatchProgress::Complete)
    }

    fn push_extended(
        &mut self,
        frame: Frame,
        add: impl FnOnce(&mut Self, Frame) -> Result<(), Error>,
    ) -> Result<BatchProgress, Error> {
        if self.first_error.is_none() {
            match add(self, frame) {
                Err(error) if error.kind == ErrorKind::BadMessage => return Err(error),
                Err(error) => self.first_error = Some(error),
                Ok(()) => {}
            }
        }
        Ok(BatchProgress::Open)
    }

    fn parse(&mut self, frame: Frame) -> Result<(), Error> {
        let mut parse = frame.decode::<Parse>()?;
        let class = classify_cached(&parse.query);
        let name = CompactString::from(parse.name.take().unwrap_or_default());
        let wire_name = if name.is_empty() { name.clone() } else { self.next_wire_name() };
        parse.name = Some(wire_name.to_string()).filter(|name| !name.is_empty());
        let mut encoded = BytesMut::new();
        put(&mut encoded, &parse);
        self.batch.frames.extend_from_slice(&encoded);
        self.batch.prepared_names.push(wire_name.clone());
        self.batch.class.unsupported = self.batch.class.unsupported.or(class.unsupported);
        if class.command.is_some() {
            self.batch.class.command = class.command.clone();
        }
        let prepared = Prepared { wire_name, class, parse: encoded.freeze() };
        self.statements.insert(name, Rc::new(prepared));
        Ok(())
    }

    fn bind(&mut self, frame: Frame) -> Result<(), Error> {
        let mut bind = frame.decode::<Bind>()?;
        let prepared = self.statement(bind.statement_name.as_deref())?;
        self.batch.class = std::mem::take(&mut self.batch.class).merge(prepared.class.clone());
        self.batch.binds = true;
        bind.statement_name = self.use_statement(&prepared);
        put(&mut self.batch.frames, &bind);
        Ok(())
    }

    fn describe(&mut self, frame: Frame) -> Result<(), Error> {
        let mut describe = frame.decode::<Describe>()?;
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.statement(describe.name.as_deref())?;
            describe.name = self.use_statement(&prepared);
        }
        put(&mut self.batch.frames, &describe);
        Ok(())
    }

    fn close(&mut self, frame: Frame) -> Result<(), Error> {
        let mut close = frame.decode::<Close>()?;
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let name = close.name.take().unwrap_or_default();
            let removed = self.statements.remove(name.as_str());
            let wire_name = removed.map(|prepared| prepared.wire_name.clone());
            let wire_name = wire_name.unwrap_or_else(|| self.next_wire_name());
            close.name = Some(wire_name.to_string()).filter(|name| !name.is_empty());
            self.batch.closed_names.push(wire_name);
        }
        put(&mut self.batch.frames, &close);
        Ok(())
    }

    fn execute(&mut self, frame: Frame) -> Result<(), Error> {
        self.batch.executes = true;
        self.batch.frames.extend_from_slice(&frame.bytes);
        Ok(())
    }

    fn statement(&self, name: Option<&str>) -> Result<Rc<Prepared>, Error> {
        let name = name.unwrap_or_default();
        self.statements.get(name).cloned().ok_or_else(|| {
            let detail = format!("prepared statement {name:?} does not exist");
            Error::new(ErrorKind::UnknownStatement, detail)
        })
    }

    fn use_statement(&mut self, prepared: &Rc<Prepared>) -> Option<String> {
        let listed = self.batch.required_statements.contains(prepared);
        if !listed && !self.batch.prepared_names.contains(&prepared.wire_name) {
            self.batch.required_statements.push(Rc::clone(prepared));
        }
        Some(prepared.wire_name.to_string()).filter(|name| !name.is_empty())
    }

    fn next_wire_name(&mut self) -> CompactString {
        self.next_statement += 1;
        format_compact!("m{}_{}", self.session, self.next_statement)
    }
}
