//! Actor that carries out one edit of the tables at the platform.

use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use stakker::{actor, after, call, ret_nop, ret_shutdown, ret_some_to, stop, ActorOwn, CX};

use super::tool::{host_rows, table_name};
use crate::core::acceptance::HostRow;
use crate::core::edit::{
    Edit, EditEffect, EditProgress, EditSpec, EditState, SeenConfig, SwapResult,
};
use crate::core::rows;
use crate::core::store::{Answer, Call, Commit, Rows, Transaction};
use crate::core::view::Member;
use crate::error::{Error, ErrorKind};
use crate::net::platform::{CallResult, PlatformActor, PlatformSettings};
use crate::net::reactor;
use crate::types::{CommitSeq, DurationMs, HostId, RowVersion, TableVersion, Timestamp};
use crate::wire::tables::{read_config, Config};

/// Table of the row [`CURRENT`].
pub const CONFIG: &str = "config";
/// Key of the row that holds the tables.
pub const CURRENT: &str = "current";
/// Table of the rows `hosts/<id>`.
pub const HOSTS: &str = "hosts";

/// How an edit ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EditEnd {
    /// Final state of the chart.
    pub state: EditState,
    /// Time since the edit began.
    pub elapsed: DurationMs,
    /// Hosts that may still act on an older version.
    pub waiting: Vec<HostId>,
    /// The tables as last read back, if a conflict or a lost answer made the edit read them.
    pub present: Option<Config>,
}

/// Runs the edit to its end. `on_progress` is called for each report of progress, with the time
/// since the start of the edit.
///
/// # Errors
///
/// The event loop failed.
pub fn run(
    settings: PlatformSettings,
    spec: EditSpec,
    value: Value,
    on_progress: impl Fn(DurationMs, &EditProgress) + 'static,
) -> Result<EditEnd, Error> {
    let (sender, receiver) = channel();
    reactor::run(|stakker| {
        let ended = ret_shutdown!(stakker);
        let progress: Box<OnProgress> = Box::new(on_progress);
        actor!(stakker, Editor::init(settings, spec, value, progress, sender), ended)
    })
    .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    receiver
        .try_recv()
        .map_err(|_| Error::new(ErrorKind::Internal, "the edit ended without a result"))
}

type OnProgress = dyn Fn(DurationMs, &EditProgress);

struct Editor {
    platform: ActorOwn<PlatformActor>,
    edit: Edit,
    started: Instant,
    swap: Transaction<Value>,
    rng: ChaCha8Rng,
    present: Option<Config>,
    on_progress: Box<OnProgress>,
    end: Sender<EditEnd>,
}

impl Editor {
    fn init(
        cx: CX![],
        settings: PlatformSettings,
        spec: EditSpec,
        value: Value,
        on_progress: Box<OnProgress>,
        end: Sender<EditEnd>,
    ) -> Option<Self> {
        let platform = actor!(cx, PlatformActor::init(settings), ret_nop!());
        let key = CURRENT.parse().expect("the key is valid");
        let swap = Transaction::swap(table_name(CONFIG), key, spec.expected, Some(value));
        let rng = ChaCha8Rng::seed_from_u64(spec.attempt.0);
        let (edit, effects) = Edit::new(Timestamp(0), spec);
        let started = cx.now();
        let mut editor =
            Self { platform, edit, started, swap, rng, present: None, on_progress, end };
        editor.carry_out(cx, effects);
        Some(editor)
    }

    fn now(&self, cx: CX![]) -> Timestamp {
        let elapsed = cx.now().saturating_duration_since(self.started);
        Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    fn carry_out(&mut self, cx: CX![], effects: Vec<EditEffect>) {
        for effect in effects {
            match effect {
                EditEffect::Swap(delay) => {
                    after!(self.jittered(delay), [cx], send_swap());
                }
                EditEffect::ReadBack(delay) => {
                    after!(self.jittered(delay), [cx], read_back());
                }
                EditEffect::ReadHosts(delay) => {
                    after!(delay.to_std(), [cx], read_hosts());
                }
                EditEffect::Report(progress) => {
                    let elapsed = self.now(cx).ms_since(Timestamp(0));
                    (self.on_progress)(elapsed, &progress);
                }
                EditEffect::End(state) => self.finish(cx, state),
            }
        }
    }

    /// `delay` plus a random part of up to half of it, so that retries of several operators'
    /// commands do not coincide.
    fn jittered(&mut self, delay: DurationMs) -> Duration {
        let extra_ms = self.rng.random_range(0..=delay.0 / 2);
        Duration::from_millis(delay.0 + extra_ms)
    }

    fn finish(&mut self, cx: CX![], state: EditState) {
        let end = EditEnd {
            state,
            elapsed: self.now(cx).ms_since(Timestamp(0)),
            waiting: self.edit.waiting().to_vec(),
            present: self.present.take(),
        };
        // The receiver lives until the event loop has ended.
        let _ = self.end.send(end);
        stop!(cx);
    }

    fn send_swap(&mut self, cx: CX![]) {
        let ret = ret_some_to!([cx], handle_swap_result() as (CallResult));
        call!([self.platform], call(Call::Transact(self.swap.clone()), ret));
    }

    fn handle_swap_result(&mut self, cx: CX![], result: CallResult) {
        let now = self.now(cx);
        let result = match result {
            Ok(Answer::Commit(Commit::Committed(seq))) => SwapResult::Committed(seq),
            Ok(Answer::Commit(Commit::Conflicts(_))) => SwapResult::Conflict,
            Err(error) => {
                tracing::info!("platform: write of the edit was not answered: {error}");
                if error.had_no_effect() {
                    SwapResult::NotSent
                } else {
                    SwapResult::Lost
                }
            }
            Ok(_) => SwapResult::Lost,
        };
        let effects = self.edit.on_swapped(now, result);
        self.carry_out(cx, effects);
    }

    fn read_back(&mut self, cx: CX![]) {
        let ret = ret_some_to!([cx], handle_read_back() as (CallResult));
        let call = Call::Read { table: table_name(CONFIG), prefix: None };
        call!([self.platform], call(call, ret));
    }

    fn handle_read_back(&mut self, cx: CX![], result: CallResult) {
        let now = self.now(cx);
        let seen = rows_of(result).and_then(|rows| self.seen_config(&rows));
        let effects = self.edit.on_read_back(now, seen);
        self.carry_out(cx, effects);
    }

    fn seen_config(&mut self, rows: &Rows<Value>) -> Option<SeenConfig> {
        let (row, config) = match current_config(rows) {
            Ok(Some(found)) => found,
            Ok(None) => {
                let attempt = crate::types::AttemptId(0);
                return Some(SeenConfig { row: RowVersion(0), version: TableVersion(0), attempt });
            }
            Err(error) => {
                tracing::error!("platform: {error}");
                return None;
            }
        };
        let (version, attempt) = (config.tables.version, config.attempt);
        self.present = Some(config);
        Some(SeenConfig { row, version, attempt })
    }

    fn read_hosts(&mut self, cx: CX![]) {
        let ret = ret_some_to!([cx], handle_hosts() as (CallResult));
        let call = Call::Read { table: table_name(HOSTS), prefix: None };
        call!([self.platform], call(call, ret));
    }

    fn handle_hosts(&mut self, cx: CX![], result: CallResult) {
        let now = self.now(cx);
        let read = rows_of(result).and_then(|rows| members(&rows));
        let effects = self.edit.on_hosts(now, read);
        self.carry_out(cx, effects);
    }
}

/// The row `config/current` with its version, if there is one.
///
/// # Errors
///
/// The row cannot be read as tables.
pub fn current_config(rows: &Rows<Value>) -> Result<Option<(RowVersion, Config)>, Error> {
    let Some(row) = rows.rows.iter().find(|row| row.key.as_str() == CURRENT) else {
        return Ok(None);
    };
    let config = read_config(&row.value.to_string())
        .map_err(|error| Error::new(ErrorKind::BadTable, error.to_string()))?;
    Ok(Some((row.version, config)))
}

fn rows_of(result: CallResult) -> Option<Rows<Value>> {
    match result {
        Ok(Answer::Rows(rows)) => Some(rows),
        other => {
            tracing::info!("platform: read failed: {other:?}");
            None
        }
    }
}

fn members(rows: &Rows<Value>) -> Option<(CommitSeq, Vec<HostRow>)> {
    let hosts = host_rows(rows).map_err(|fault| tracing::error!("platform: {fault}")).ok()?;
    let versions = rows.rows.iter().map(|row| row.version);
    let members = hosts.into_iter().zip(versions).map(|(row, version)| member(row, version));
    Some((rows.commit_seq, members.collect()))
}

fn member(row: rows::HostRow, version: RowVersion) -> HostRow {
    HostRow {
        member: Member { host: row.host, incarnation: row.incarnation },
        registered: row.registered,
        renewed: CommitSeq(version.0),
        members_seen: row.members_seen,
        confirmed: row.confirmed,
    }
}
