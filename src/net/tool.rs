//! Calls of an operator's command to the platform, made in sequence.

use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

use serde_json::Value;
use stakker::{actor, after, call, ret_nop, ret_shutdown, ret_some_to, stop, ActorOwn, CX};

use crate::core::rows::HostRow;
use crate::core::store::{Answer, Call, CallError, Rows};
use crate::error::{Error, ErrorKind};
use crate::net::platform::{CallResult, PlatformActor, PlatformSettings};
use crate::net::reactor;
use crate::types::{DurationMs, TableName};
use crate::wire::rows::RowFault;

/// Number of retries of a failed read.
const MAX_READ_RETRIES: u32 = 3;
/// Delay before the first retry; doubled with each further one.
const MIN_RETRY_DELAY: DurationMs = DurationMs(50);

/// A call, made after a delay.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Delay after the previous call has ended.
    pub after: DurationMs,
    /// The call.
    pub call: Call<Value>,
}

impl Step {
    /// A step without a delay.
    pub fn now(call: Call<Value>) -> Self {
        Self { after: DurationMs(0), call }
    }

    /// A step that reads a whole table, without a delay.
    pub fn read(table: &str) -> Self {
        Self::now(Call::Read { table: table_name(table), prefix: None })
    }

    /// Sets the delay.
    pub fn after(self, after: DurationMs) -> Self {
        Self { after, ..self }
    }
}

/// Parses a table name that is a constant of this program; panics if it is invalid.
pub fn table_name(name: &str) -> TableName {
    name.parse().expect("table names are valid")
}

/// Makes the calls in order and returns their results. A failed read is retried.
///
/// # Errors
///
/// The event loop failed.
pub fn run(settings: PlatformSettings, steps: Vec<Step>) -> Result<Vec<CallResult>, Error> {
    let (results, received) = channel();
    reactor::run(|stakker| {
        let ended = ret_shutdown!(stakker);
        let actor = actor!(stakker, Sequence::init(settings, steps, results), ended);
        call!([actor], next());
        actor
    })
    .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    Ok(received.try_iter().collect())
}

/// Makes the calls in order and returns the rows of each read.
///
/// # Errors
///
/// `platform_unavailable` for the first call that failed, `internal` for an answer
/// without rows or a failed event loop.
pub fn read_rows(settings: PlatformSettings, steps: Vec<Step>) -> Result<Vec<Rows<Value>>, Error> {
    run(settings, steps)?.into_iter().map(rows_of).collect()
}

fn rows_of(result: CallResult) -> Result<Rows<Value>, Error> {
    match result {
        Ok(Answer::Rows(rows)) => Ok(rows),
        Ok(other) => Err(Error::new(
            ErrorKind::Internal,
            format!("the answer to a read holds no rows: {other:?}"),
        )),
        Err(error) => Err(unavailable(&error)),
    }
}

/// The error that a command reports for a failed call: `platform_unavailable`.
pub fn unavailable(error: &CallError) -> Error {
    Error::new(ErrorKind::PlatformUnavailable, error.to_string())
}

/// The rows `hosts/*`.
///
/// # Errors
///
/// The first malformed row. No row is skipped, because a command needs every host to tell the state
/// of the fleet.
pub fn host_rows(rows: &Rows<Value>) -> Result<Vec<HostRow>, RowFault> {
    rows.rows.iter().map(HostRow::try_from).collect()
}

/// Actor that makes the calls in sequence and stops after the last one.
struct Sequence {
    platform: ActorOwn<PlatformActor>,
    steps: std::vec::IntoIter<Step>,
    results: Sender<CallResult>,
}

impl Sequence {
    fn init(
        cx: CX![],
        settings: PlatformSettings,
        steps: Vec<Step>,
        results: Sender<CallResult>,
    ) -> Option<Self> {
        let platform = actor!(cx, PlatformActor::init(settings), ret_nop!());
        Some(Self { platform, steps: steps.into_iter(), results })
    }

    fn next(&mut self, cx: CX![]) {
        match self.steps.next() {
            Some(step) => {
                after!(step.after.to_std(), [cx], send(step.call, MAX_READ_RETRIES));
            }
            None => stop!(cx),
        }
    }

    fn send(&mut self, cx: CX![], call: Call<Value>, retries: u32) {
        let sent = call.clone();
        let ret = ret_some_to!([cx], on_answer(sent, retries) as (CallResult));
        call!([self.platform], call(call, ret));
    }

    fn on_answer(&mut self, cx: CX![], call: Call<Value>, retries: u32, result: CallResult) {
        let is_read = matches!(call, Call::Read { .. });
        if result.is_err() && is_read && retries > 0 {
            let delay = MIN_RETRY_DELAY.to_std() * 2_u32.pow(MAX_READ_RETRIES - retries);
            after!(delay, [cx], send(call, retries - 1));
            return;
        }
        // The receiver lives until the event loop has ended.
        let _ = self.results.send(result);
        self.next(cx);
    }
}
