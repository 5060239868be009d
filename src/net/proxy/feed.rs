//! Actor that follows the changes of one table of the store.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use stakker::{actor, after, call, fwd, ret_nop, ret_some_to, ActorOwn, FixedTimerKey, Fwd, CX};

use super::http::{CallResult, HttpClient};
use crate::core::proxy::lease::StoreRead;
use crate::net::reactor::suspend_aware_clock;
use crate::platform::store::{self, RowsAnswer, StoreRow, StoreRows};
use crate::types::{DurationMs, RowVersion, StoreEra, Timestamp};

/// Time limit for an answer with all rows, which may be a megabyte.
const ALL_ROWS_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call; the store may be down for seconds, and every call has a cost.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Upper bound of that pause on a host that only relays sessions, where it doubles with each
/// failure. Other hosts announce a newer configuration meanwhile.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(3_200);

/// Timing of the calls of a feed.
#[derive(Debug, Clone, Copy)]
pub struct FeedTiming {
    /// Time for which the store waits for a change at most. A dead connection is detected after
    /// this time and the time limit of the answer.
    pub wait_ms: DurationMs,
    /// Pause after a change, during which further changes accumulate.
    pub pause_ms: DurationMs,
}

/// Which table a feed follows, and how often.
#[derive(Debug, Clone, Copy)]
pub struct FeedConfig {
    /// The table.
    pub table: &'static str,
    /// Timing on a host that runs sessions.
    pub active: FeedTiming,
    /// Timing on a host that only relays sessions, to which other hosts announce a newer
    /// configuration.
    pub passive: FeedTiming,
    /// Time limit for an answer, in addition to the time for which the store may wait for a change.
    pub answer_limit_ms: DurationMs,
    /// Whether a host that becomes active ends a call that waits for a change, because it has to
    /// know at once that nothing has changed.
    pub is_urgent: bool,
}

/// How often a feed reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// As a host that runs sessions needs it.
    Active,
    /// As a host that only relays sessions needs it.
    Passive,
    /// Not at all, because other hosts pass on what they read.
    Suspended,
}

/// Rows of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRows {
    /// The table.
    pub table: &'static str,
    /// Version of the store at which they were read.
    pub version: RowVersion,
    /// Whether these are all rows of the table, or only the changed ones.
    pub is_complete: bool,
    /// The rows.
    pub rows: Vec<StoreRow>,
}

/// An event of a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEvent {
    /// Rows were read.
    Rows(FeedRows),
    /// All changes of the table up to the time of this read have been passed on.
    Read(&'static str, StoreRead),
    /// The table has become readable (true) or unreadable (false).
    Reachable(&'static str, bool),
    /// The store was restored from an older copy since the last read.
    Restored(&'static str, StoreEra),
    /// A read of the table ended.
    CallEnded(&'static str, ReadOutcome),
}

/// How a read of a table ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum ReadOutcome {
    /// Rows were returned, or nothing had changed.
    Rows,
    /// The store no longer has the requested changes.
    HistoryGone,
    /// Rows of an older version of the store than an earlier answer; they are ignored.
    Outdated,
    /// The store refused the read, or its answer cannot be decoded.
    Refused,
    /// There was no answer.
    NoAnswer,
}

/// Actor that follows one table.
pub struct TableFeed {
    address: SocketAddr,
    config: FeedConfig,
    hub: Fwd<FeedEvent>,
    client: ActorOwn<HttpClient>,
    /// Version of the store up to which changes have been read; `None` until all rows were read.
    known_version: Option<RowVersion>,
    /// Newest version of the store seen in an answer.
    newest_version: RowVersion,
    /// Era of the store in its last answer; `None` before the first one.
    era: Option<StoreEra>,
    /// Rows of the pages read so far while all rows are read.
    partial_rows: Vec<StoreRow>,
    reachable: bool,
    pace: Pace,
    /// Whether neither a call nor a pause is under way.
    is_idle: bool,
    /// When the last call was sent.
    sent_at: Timestamp,
    /// When the last answer with rows was received.
    answered_at: Timestamp,
    /// Whether the next call returns at once, to learn quickly that nothing has changed.
    asks_now: bool,
    retry_pause: Duration,
    /// Timer of the pause before the next call.
    pause: Option<FixedTimerKey>,
}

impl TableFeed {
    /// Follows `config.table` of the store at `address`.
    pub fn init(
        cx: CX![],
        address: SocketAddr,
        config: FeedConfig,
        hub: Fwd<FeedEvent>,
    ) -> Option<Self> {
        let client = actor!(cx, HttpClient::init(address), ret_nop!());
        call!([cx], read_all(None));
        Some(Self {
            address,
            config,
            hub,
            client,
            known_version: None,
            newest_version: RowVersion(0),
            era: None,
            partial_rows: Vec::new(),
            reachable: true,
            pace: Pace::Passive,
            is_idle: false,
            sent_at: Timestamp(0),
            answered_at: suspend_aware_clock(),
            asks_now: false,
            retry_pause: RETRY_PAUSE,
            pause: None,
        })
    }

    /// Changes the pace. A feed that becomes active ends its current pause, and one that was
    /// suspended reads at once.
    pub fn set_pace(&mut self, cx: CX![], pace: Pace) {
        let before = std::mem::replace(&mut self.pace, pace);
        if before == pace {
            return;
        }
        tracing::info!(
            table = self.config.table,
            ?before,
            ?pace,
            "store: pace of the reads changed"
        );
        if pace == Pace::Suspended {
            return;
        }
        let becomes_active = pace == Pace::Active;
        self.asks_now = becomes_active && self.config.is_urgent;
        if std::mem::take(&mut self.is_idle) {
            // The connection may have gone silent while it was unused.
            self.client = actor!(cx, HttpClient::init(self.address), ret_nop!());
            self.follow(cx);
        } else if !becomes_active {
        } else if let Some(pause) = self.pause.take() {
            cx.timer_del(pause);
            self.follow(cx);
        } else if self.config.is_urgent && self.known_version.is_some() {
            self.client = actor!(cx, HttpClient::init(self.address), ret_nop!());
            self.follow(cx);
        }
    }

    /// Called when another feed has learned that the store was restored. A call that waits for a
    /// change would show it only at its end.
    pub fn on_restored(&mut self, cx: CX![], era: StoreEra) {
        if self.is_idle || self.era.is_none_or(|own| own >= era) {
            return;
        }
        if let Some(pause) = self.pause.take() {
            cx.timer_del(pause);
        }
        self.known_version = None;
        self.partial_rows.clear();
        self.client = actor!(cx, HttpClient::init(self.address), ret_nop!());
        self.follow(cx);
    }

    fn timing(&self) -> FeedTiming {
        match self.pace {
            Pace::Active => self.config.active,
            Pace::Passive | Pace::Suspended => self.config.passive,
        }
    }

    /// Reads the rows after the key `after`, or all rows.
    fn read_all(&mut self, cx: CX![], after: Option<CompactString>) {
        if after.is_none() {
            self.sent_at = suspend_aware_clock();
        }
        let request = store::get_rows(self.config.table, after.as_deref());
        let ret = ret_some_to!([cx], on_rows_read() as (CallResult));
        call!([self.client], call(request, ALL_ROWS_LIMIT, ret));
    }

    fn on_rows_read(&mut self, cx: CX![], result: CallResult) {
        let Some(rows) = self.accept_answer(cx, result) else { return };
        let last = rows.rows.last().map(|row| row.key.clone());
        let StoreRows { rows, version, has_more, .. } = rows;
        self.partial_rows.extend(rows);
        match last.filter(|_| has_more) {
            Some(last) => self.read_all(cx, Some(last)),
            None => {
                let rows = std::mem::take(&mut self.partial_rows);
                if version < self.newest_version {
                    // An answer older than an earlier one is stale.
                    tracing::warn!(table = self.config.table, %version,
                        newest = %self.newest_version, "store: outdated rows are ignored");
                    fwd!(
                        [self.hub],
                        FeedEvent::CallEnded(self.config.table, ReadOutcome::Outdated)
                    );
                    return self.schedule_follow(cx, self.retry_pause);
                }
                self.send_rows(rows, version, true);
                self.known_version = Some(version);
                self.newest_version = version;
                // The store's time is that of the last page only.
                self.report_read(None);
                self.schedule_follow(cx, self.timing().pause_ms.to_std());
            }
        }
    }

    fn schedule_follow(&mut self, cx: CX![], pause: Duration) {
        if self.pace == Pace::Suspended && self.known_version.is_some() {
            self.is_idle = true;
            return;
        }
        self.pause = Some(after!(pause, [cx], follow()));
    }

    fn follow(&mut self, cx: CX![]) {
        self.pause = None;
        if self.pace == Pace::Suspended && self.known_version.is_some() {
            self.is_idle = true;
            return;
        }
        let Some(known) = self.known_version else { return self.read_all(cx, None) };
        let now = std::mem::take(&mut self.asks_now);
        let wait = if now { DurationMs(0) } else { self.timing().wait_ms };
        self.sent_at = suspend_aware_clock();
        let request = store::get_changes(self.config.table, known, wait);
        let ret = ret_some_to!([cx], on_changes_read() as (CallResult));
        let limit = wait.to_std() + self.config.answer_limit_ms.to_std();
        call!([self.client], call(request, limit, ret));
    }

    fn on_changes_read(&mut self, cx: CX![], result: CallResult) {
        let Some(rows) = self.accept_answer(cx, result) else { return };
        let changed = !rows.rows.is_empty();
        let newest = rows.rows.iter().map(|row| row.version).max().unwrap_or_default();
        self.known_version = self.known_version.max(Some(rows.version.max(newest)));
        self.newest_version = self.newest_version.max(rows.version);
        if changed {
            self.send_rows(rows.rows, rows.version, false);
        }
        self.report_read(rows.store_ms);
        let pause = if changed { self.timing().pause_ms.to_std() } else { Duration::ZERO };
        self.schedule_follow(cx, pause);
    }

    /// Returns the rows of an answer; after a failure schedules the next call instead.
    fn accept_answer(&mut self, cx: CX![], result: CallResult) -> Option<StoreRows> {
        let answer =
            result.map_err(|fault| fault.to_string()).map(|answer| store::read_rows(&answer));
        let table = self.config.table;
        let outcome = match &answer {
            Ok(RowsAnswer::Rows(_)) => ReadOutcome::Rows,
            Ok(RowsAnswer::HistoryGone) => ReadOutcome::HistoryGone,
            Ok(RowsAnswer::Refused(_)) => ReadOutcome::Refused,
            Err(_) => ReadOutcome::NoAnswer,
        };
        fwd!([self.hub], FeedEvent::CallEnded(table, outcome));
        let now = suspend_aware_clock();
        match answer {
            Ok(RowsAnswer::Rows(rows)) => {
                self.retry_pause = RETRY_PAUSE;
                self.answered_at = now;
                if !std::mem::replace(&mut self.reachable, true) {
                    tracing::info!(table, "store: table can be read again");
                    fwd!([self.hub], FeedEvent::Reachable(table, true));
                }
                if self.is_restored(rows.version) {
                    // Changes since a version of another era are not all changes.
                    self.schedule_follow(cx, Duration::ZERO);
                    return None;
                }
                return Some(rows);
            }
            Ok(RowsAnswer::HistoryGone) => {
                tracing::info!(table, known = ?self.known_version,
                    "store: change history is no longer available, reading all rows");
                self.known_version = None;
                self.partial_rows.clear();
                self.schedule_follow(cx, Duration::ZERO);
                return None;
            }
            Ok(RowsAnswer::Refused(detail)) | Err(detail) => {
                let was_reachable = std::mem::replace(&mut self.reachable, false);
                if was_reachable {
                    tracing::warn!(
                        table,
                        detail,
                        unread_ms = now.ms_since(self.answered_at).0,
                        pace = ?self.pace,
                        "store: table cannot be read"
                    );
                    fwd!([self.hub], FeedEvent::Reachable(table, false));
                }
                self.partial_rows.clear();
                if was_reachable && outcome == ReadOutcome::NoAnswer {
                    // The connection may have gone silent or been reset while new ones work.
                    self.schedule_follow(cx, Duration::ZERO);
                    return None;
                }
            }
        }
        self.schedule_follow(cx, self.retry_pause);
        if self.pace != Pace::Active {
            self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
        }
        None
    }

    /// Records the era of an answer. Returns whether the store was restored since the read began of
    /// which the answer is a part, so that all rows have to be read from the start.
    fn is_restored(&mut self, version: RowVersion) -> bool {
        let era = version.era();
        let before = self.era.replace(era);
        if before.is_none_or(|before| before == era) {
            return false;
        }
        let table = self.config.table;
        tracing::warn!(table, ?before, %era, %version, known = ?self.known_version,
            "store: was restored from an older copy");
        fwd!([self.hub], FeedEvent::Restored(table, era));
        let begins = self.known_version.is_none() && self.partial_rows.is_empty();
        self.known_version = None;
        self.partial_rows.clear();
        !begins
    }

    fn report_read(&mut self, store_ms: Option<u64>) {
        let received_at = suspend_aware_clock();
        let read = StoreRead { sent_at: self.sent_at, received_at, store_ms };
        fwd!([self.hub], FeedEvent::Read(self.config.table, read));
    }

    fn send_rows(&mut self, rows: Vec<StoreRow>, version: RowVersion, is_complete: bool) {
        let rows = FeedRows { table: self.config.table, version, is_complete, rows };
        fwd!([self.hub], FeedEvent::Rows(rows));
    }
}
