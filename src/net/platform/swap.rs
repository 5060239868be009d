//! Compare-and-set of one row by the client or the actor; the row is read back after a lost answer.

use std::time::Duration;

use compact_str::CompactString;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use stakker::{after, call, ret_to, Ret, CX};

use super::actor::{CallResult, PlatformActor};
use super::client::PlatformClient;
use crate::core::cas::{Next, Outcome, ReadBack, Swap, WriteResult};
use crate::core::store::{Answer, Call, CallError, Commit, Transaction};
use crate::types::{AttemptId, DurationMs, RowKey, RowVersion, TableName};
use crate::wire::rows::{attempt_of, JsonRow};

/// Default number of writes and read-backs of one compare-and-set. With the backoff of
/// `core/link.rs` they cover an outage of several seconds.
const MAX_CALLS: u32 = 10;

/// A row to replace if it still has the expected version.
#[derive(Debug, Clone)]
pub struct SwapRequest {
    table: TableName,
    key: RowKey,
    value: Value,
    expected: RowVersion,
    attempt: AttemptId,
    max_calls: u32,
}

impl SwapRequest {
    /// Replaces a row by `row`, whose JSON value must hold `attempt` in its field `attempt`.
    pub fn new(table: TableName, row: JsonRow, expected: RowVersion, attempt: AttemptId) -> Self {
        let (key, value) = row;
        Self { table, key, value, expected, attempt, max_calls: MAX_CALLS }
    }

    /// Sets the largest number of writes and read-backs.
    pub fn with_max_calls(mut self, max_calls: u32) -> Self {
        self.max_calls = max_calls;
        self
    }

    fn swap(&self) -> Swap {
        Swap::new(self.expected, self.attempt, self.max_calls)
    }

    fn write_call(&self) -> Call<Value> {
        let value = Some(self.value.clone());
        let (table, key) = (self.table.clone(), self.key.clone());
        Call::Transact(Transaction::swap(table, key, self.expected, value))
    }

    fn read_call(&self) -> Call<Value> {
        Call::Read { table: self.table.clone(), prefix: Some(self.key.clone()) }
    }

    fn read_back(&self, result: CallResult) -> ReadBack {
        let Ok(Answer::Rows(rows)) = result else { return ReadBack::Failed };
        let row = rows.rows.iter().find(|row| row.key == self.key);
        let (version, attempt) = row.map_or((RowVersion(0), None), attempt_of);
        ReadBack::Row { commit_seq: rows.commit_seq, version, attempt }
    }
}

fn write_result(result: CallResult) -> WriteResult {
    match result {
        Ok(Answer::Commit(Commit::Committed(commit_seq))) => WriteResult::Committed(commit_seq),
        Ok(Answer::Commit(Commit::Conflicts(conflicts))) => match conflicts.first() {
            Some(conflict) => WriteResult::Conflict(conflict.version),
            None => WriteResult::Lost,
        },
        Err(CallError::NotSent(_)) => WriteResult::Unsent,
        Err(CallError::Refused { .. }) => WriteResult::Refused,
        Ok(_) | Err(CallError::NoAnswer(_) | CallError::Malformed(_)) => WriteResult::Lost,
    }
}

impl PlatformClient {
    /// Replaces one row. `pause` is called before each call and blocks for the given delay.
    pub fn swap(
        &self,
        request: &SwapRequest,
        rng: &mut ChaCha8Rng,
        pause: impl Fn(DurationMs),
    ) -> Outcome {
        let mut swap = request.swap();
        let mut next = Next::Write(DurationMs(0));
        loop {
            next = match next {
                Next::Done(outcome) => return outcome,
                Next::Write(delay) => {
                    pause(delay);
                    swap.on_write(write_result(self.call(request.write_call())), rng)
                }
                Next::Read(delay) => {
                    pause(delay);
                    swap.on_read(request.read_back(self.call(request.read_call())), rng)
                }
            };
        }
    }
}

/// A compare-and-set in progress at the actor.
pub struct SwapRun {
    request: SwapRequest,
    swap: Swap,
    ret: Ret<Outcome>,
}

impl PlatformActor {
    /// Replaces one row; `ret` gets the outcome.
    pub fn swap(&mut self, cx: CX![], request: SwapRequest, ret: Ret<Outcome>) {
        let swap = request.swap();
        let run = Box::new(SwapRun { request, swap, ret });
        self.swap_next(cx, run, Next::Write(DurationMs(0)));
    }

    fn swap_next(&mut self, cx: CX![], run: Box<SwapRun>, next: Next) {
        match next {
            Next::Done(outcome) => run.ret.ret(outcome),
            Next::Write(DurationMs(0)) => self.swap_write(cx, run),
            Next::Read(DurationMs(0)) => self.swap_read(cx, run),
            Next::Write(delay) => {
                after!(delay.to_std(), [cx], swap_write(run));
            }
            Next::Read(delay) => {
                after!(delay.to_std(), [cx], swap_read(run));
            }
        }
    }

    fn swap_write(&mut self, cx: CX![], run: Box<SwapRun>) {
        let write = run.request.write_call();
        let ret = ret_to!([cx], swap_written(run) as (CallResult));
        call!([cx], call(write, ret));
    }

    fn swap_read(&mut self, cx: CX![], run: Box<SwapRun>) {
        let read = run.request.read_call();
        let ret = ret_to!([cx], swap_read_back(run) as (CallResult));
        call!([cx], call(read, ret));
    }

    fn swap_written(&mut self, cx: CX![], mut run: Box<SwapRun>, result: Option<CallResult>) {
        let result = write_result(result.unwrap_or_else(dropped_call));
        let next = run.swap.on_write(result, self.rng());
        self.swap_next(cx, run, next);
    }

    fn swap_read_back(&mut self, cx: CX![], mut run: Box<SwapRun>, result: Option<CallResult>) {
        let result = run.request.read_back(result.unwrap_or_else(dropped_call));
        let next = run.swap.on_read(result, self.rng());
        self.swap_next(cx, run, next);
    }
}

fn dropped_call() -> CallResult {
    Err(CallError::NoAnswer(CompactString::const_new("call was dropped")))
}
