//! What a host that relays a session answers by itself, and which answers its home owes.
//!
//! A fresh session sets variables and prepares statements one after the other before its first
//! statement that an endpoint runs. Across failure domains each of them takes two crossings, only to
//! be told that it is done. Outside of a transaction the home accepts every such statement, so the
//! relaying host answers them at once and passes them on together with the next statement; the
//! home's answers to them are dropped.

use std::collections::VecDeque;

use compact_str::CompactString;

use super::shutdown;
use super::statement::{Query, Statement};

/// A statement that was relayed to the home of its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedStatement {
    /// Id chosen by the caller.
    pub id: CompactString,
    /// Whether a transaction was open.
    pub in_transaction: bool,
    /// Whether it may have lasting effects although its answer is missing.
    pub may_commit: bool,
}

/// An answer that the home owes.
#[derive(Debug, PartialEq, Eq)]
enum OwedAnswer {
    /// To a statement that this host has answered.
    Dropped,
    /// To a statement whose caller waits for it.
    Awaited(RelayedStatement),
}

/// The relayed statements of one session that the home has not answered.
#[derive(Debug)]
pub struct RelayLedger {
    owed: VecDeque<OwedAnswer>,
    /// Number of statements that were answered here and are passed on with the next one.
    deferred: usize,
    /// Whether no transaction was open after the last answer.
    is_idle: bool,
}

impl Default for RelayLedger {
    fn default() -> Self {
        Self { owed: VecDeque::new(), deferred: 0, is_idle: true }
    }
}

impl RelayLedger {
    /// Describes a statement that is relayed next. While others are not answered, the state in which
    /// it will run is unknown.
    pub fn describe(&self, query: &Query) -> RelayedStatement {
        let (in_transaction, is_first) = (!self.is_idle, self.is_settled());
        RelayedStatement {
            id: query.id.clone(),
            in_transaction,
            may_commit: !is_first || shutdown::may_commit(&query.statement, in_transaction),
        }
    }

    /// Whether this host answers a statement and defers it: it only changes the session's variables
    /// or prepared statements, in a session without a transaction or a statement in progress.
    pub fn answers_here(&self, statement: &Statement) -> bool {
        let is_setup = match statement {
            Statement::Set { .. } | Statement::Prepare { .. } | Statement::Close { .. } => true,
            Statement::Begin { .. }
            | Statement::Commit
            | Statement::Rollback
            | Statement::Data(_)
            | Statement::Execute { .. } => false,
        };
        is_setup && self.is_idle && self.is_settled()
    }

    /// Records a statement that was answered here and is passed on later.
    pub fn defer(&mut self) {
        self.deferred += 1;
    }

    /// Records a statement that is passed on now, after the deferred ones.
    pub fn relay(&mut self, statement: RelayedStatement) {
        let deferred = std::mem::take(&mut self.deferred);
        self.owed.extend(std::iter::repeat_with(|| OwedAnswer::Dropped).take(deferred));
        self.owed.push_back(OwedAnswer::Awaited(statement));
    }

    /// Whether the answer that the home sends next is to a statement that was answered here.
    pub fn drops_next(&self) -> bool {
        self.owed.front() == Some(&OwedAnswer::Dropped)
    }

    /// Called at the end of an answer to a statement; `is_idle` tells whether no transaction is open.
    pub fn on_answered(&mut self, is_idle: bool) {
        self.owed.pop_front();
        self.is_idle = is_idle;
    }

    /// Whether no transaction was open after the last answer.
    pub fn is_idle(&self) -> bool {
        self.is_idle
    }

    /// Whether the caller awaits no answer.
    pub fn is_settled(&self) -> bool {
        self.awaited().next().is_none()
    }

    /// The statements whose answers the caller awaits.
    pub fn awaited(&self) -> impl Iterator<Item = &RelayedStatement> {
        self.owed.iter().filter_map(|owed| match owed {
            OwedAnswer::Awaited(statement) => Some(statement),
            OwedAnswer::Dropped => None,
        })
    }
}
