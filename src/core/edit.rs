//! One edit of the tables: the compare-and-set, its retries after lost answers, and the wait until
//! the edit is in force on every host.
//!
//! The edit carries a random attempt id. After a lost answer the row is read back, and the id in
//! the row shows whether the edit was accepted. The same attempt may be sent again: the
//! compare-and-set checks the version that the edit started from, so the edit takes effect at most
//! once.

use std::sync::LazyLock;

use crate::chart::{Chart, ChartError, Machine};
use crate::chart_names;
use crate::core::acceptance::{Acceptance, AcceptanceWatch, HostRow};
use crate::types::{AttemptId, CommitSeq, DurationMs, HostId, RowVersion, TableVersion, Timestamp};

/// How long a tool retries an edit while the platform does not answer.
pub const EDIT_LIMIT: DurationMs = DurationMs(10_000);
/// Delay before the first retry of a call; doubles with each further retry.
const RETRY_MIN: DurationMs = DurationMs(50);
/// Longest delay before a retry.
const RETRY_MAX: DurationMs = DurationMs(2_000);
/// Interval between two reads of `hosts/*`. Ten reads per second by one operator are 0.5% of the
/// reads that the table service can serve.
const HOSTS_READ_INTERVAL: DurationMs = DurationMs(100);

chart_names! {
    /// States of an edit.
    pub enum EditState {
        Swapping = "swapping", Resolving = "resolving", Accepted = "accepted",
        Waiting = "waiting", NotAwaited = "not_awaited", InForce = "in_force",
        NotInForce = "not_in_force", Conflict = "conflict", Unavailable = "unavailable",
        Unknown = "unknown",
    }
    /// Events of an edit.
    pub enum EditEvent {
        Committed = "committed", Conflict = "conflict", Lost = "lost", NotSent = "not_sent",
        Read = "read", ReadFailed = "read_failed", Wait = "wait", SkipWait = "skip_wait",
        HostsRead = "hosts_read",
    }
    /// Guards of an edit.
    pub enum EditGuard {
        TimeLeft = "time_left", NoAnswerLost = "no_answer_lost", OwnAttempt = "own_attempt",
        OtherAccepted = "other_accepted", CanRetry = "can_retry", InForce = "in_force",
    }
    /// Actions of an edit.
    pub enum EditAction {
        Swap = "swap", ReadBack = "read_back", NoteLost = "note_lost",
        ReportAccepted = "report_accepted", ReadHosts = "read_hosts",
    }
}

type EditChart = Chart<EditState, EditEvent, EditGuard, EditAction>;

/// Compiles the chart of an edit.
///
/// # Errors
///
/// All errors in the chart file.
pub fn chart() -> Result<EditChart, Vec<ChartError>> {
    Chart::load("charts/edit.scxml", include_str!("../../charts/edit.scxml"))
}

static CHART: LazyLock<EditChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// Parameters of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditSpec {
    /// Version of the tables after the edit.
    pub version: TableVersion,
    /// Attempt id that the new row carries.
    pub attempt: AttemptId,
    /// Version of the row that the edit started from; 0 for an absent row.
    pub expected: RowVersion,
    /// Longest wait until the edit is in force; `None` does not wait.
    pub wait: Option<DurationMs>,
}

/// Result of the compare-and-set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The row was written in this commit.
    Committed(CommitSeq),
    /// The row has another version.
    Conflict,
    /// The answer was lost; the row may have been written.
    Lost,
    /// The call had no effect, because it was not sent or was refused.
    NotSent,
}

/// The row `config/current` as read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenConfig {
    /// Version of the row; 0 for an absent row.
    pub row: RowVersion,
    /// Version of the tables; 0 for an absent row.
    pub version: TableVersion,
    /// Attempt that wrote the row.
    pub attempt: AttemptId,
}

/// Effect that the owner of an [`Edit`] must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditEffect {
    /// Send the compare-and-set after the delay.
    Swap(DurationMs),
    /// Read `config/current` after the delay.
    ReadBack(DurationMs),
    /// Read `hosts/*` after the delay.
    ReadHosts(DurationMs),
    /// Report progress to the operator.
    Report(EditProgress),
    /// The edit ended in this state.
    End(EditState),
}

/// Progress of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditProgress {
    /// The platform accepted the edit.
    Accepted,
    /// These hosts may still act on an older version.
    WaitingFor(Vec<HostId>),
}

/// Edit of the tables in progress.
#[derive(Debug)]
pub struct Edit {
    machine: Machine<EditState, EditEvent, EditGuard, EditAction>,
    facts: Facts,
}

/// Data that the guards and actions of the chart use.
#[derive(Debug)]
struct Facts {
    spec: EditSpec,
    deadline: Timestamp,
    delay: DurationMs,
    answer_lost: bool,
    seen: Option<SeenConfig>,
    committed: CommitSeq,
    watch: Option<AcceptanceWatch>,
    waiting: Vec<HostId>,
}

impl Edit {
    /// Starts an edit at `now`; the returned effect sends the compare-and-set.
    pub fn new(now: Timestamp, spec: EditSpec) -> (Self, Vec<EditEffect>) {
        let facts = Facts {
            spec,
            deadline: now + EDIT_LIMIT,
            delay: RETRY_MIN,
            answer_lost: false,
            seen: None,
            committed: CommitSeq(0),
            watch: None,
            waiting: Vec::new(),
        };
        let edit = Self { machine: CHART.start(), facts };
        (edit, vec![EditEffect::Swap(DurationMs(0))])
    }

    /// Handles the result of the compare-and-set.
    pub fn on_swapped(&mut self, now: Timestamp, result: SwapResult) -> Vec<EditEffect> {
        let event = match result {
            SwapResult::Committed(commit) => {
                self.facts.committed = commit;
                EditEvent::Committed
            }
            SwapResult::Conflict => EditEvent::Conflict,
            SwapResult::Lost => EditEvent::Lost,
            SwapResult::NotSent => EditEvent::NotSent,
        };
        self.fire(now, event)
    }

    /// Handles the row as read back; `None` if the read failed.
    pub fn on_read_back(&mut self, now: Timestamp, seen: Option<SeenConfig>) -> Vec<EditEffect> {
        let Some(seen) = seen else { return self.fire(now, EditEvent::ReadFailed) };
        self.facts.seen = Some(seen);
        if seen.attempt == self.facts.spec.attempt {
            self.facts.committed = CommitSeq(seen.row.0);
        }
        self.fire(now, EditEvent::Read)
    }

    /// Handles the rows `hosts/*` and the commit at which they were read; `None` if the read
    /// failed.
    pub fn on_hosts(
        &mut self,
        now: Timestamp,
        read: Option<(CommitSeq, Vec<HostRow>)>,
    ) -> Vec<EditEffect> {
        let (Some(watch), Some((commit, rows))) = (&mut self.facts.watch, read) else {
            return self.fire(now, EditEvent::ReadFailed);
        };
        let mut effects = Vec::new();
        if let Acceptance::Waiting(hosts) = watch.on_rows(now, commit, rows) {
            if self.facts.waiting != hosts {
                self.facts.waiting.clone_from(&hosts);
                effects.push(EditEffect::Report(EditProgress::WaitingFor(hosts)));
            }
        }
        effects.extend(self.fire(now, EditEvent::HostsRead));
        effects
    }

    /// Hosts that the edit was still waiting for at the last read.
    pub fn waiting(&self) -> &[HostId] {
        &self.facts.waiting
    }

    fn fire(&mut self, now: Timestamp, event: EditEvent) -> Vec<EditEffect> {
        let facts = &self.facts;
        let step = self.machine.fire(event, |guard| facts.holds(now, guard));
        let mut effects = Vec::new();
        for action in step.actions {
            effects.extend(self.facts.run_action(now, *action));
        }
        if step.to == EditState::Accepted {
            let next =
                if self.facts.spec.wait.is_some() { EditEvent::Wait } else { EditEvent::SkipWait };
            effects.extend(self.fire(now, next));
        } else if self.machine.is_done() {
            effects.push(EditEffect::End(step.to));
        }
        effects
    }
}

impl Facts {
    fn holds(&self, now: Timestamp, guard: EditGuard) -> bool {
        let seen = self.seen;
        let time_left = now < self.deadline;
        match guard {
            EditGuard::TimeLeft => time_left,
            EditGuard::NoAnswerLost => !self.answer_lost,
            EditGuard::OwnAttempt => seen.is_some_and(|seen| seen.attempt == self.spec.attempt),
            EditGuard::OtherAccepted => seen.is_some_and(|seen| self.other_accepted(seen)),
            // An older row comes from a stale read, so the compare-and-set is repeated to find out.
            EditGuard::CanRetry => {
                time_left && seen.is_some_and(|seen| seen.row <= self.spec.expected)
            }
            EditGuard::InForce => {
                let state = self.watch.as_ref().map(AcceptanceWatch::state);
                state == Some(Acceptance::InForce)
            }
        }
    }

    /// Whether another edit was accepted in place of this one. After a lost answer, a later version
    /// of the tables is no proof of that, because it may have been made on top of this edit.
    fn other_accepted(&self, seen: SeenConfig) -> bool {
        let newer = seen.row > self.spec.expected && seen.attempt != self.spec.attempt;
        newer && (!self.answer_lost || seen.version <= self.spec.version)
    }

    fn run_action(&mut self, now: Timestamp, action: EditAction) -> Option<EditEffect> {
        match action {
            EditAction::Swap => Some(EditEffect::Swap(self.next_retry_delay())),
            EditAction::ReadBack => Some(EditEffect::ReadBack(self.next_retry_delay())),
            EditAction::ReadHosts => {
                let first = self.watch.is_none();
                self.watch
                    .get_or_insert_with(|| AcceptanceWatch::new(self.spec.version, self.committed));
                let delay = if first { DurationMs(0) } else { HOSTS_READ_INTERVAL };
                Some(EditEffect::ReadHosts(delay))
            }
            EditAction::NoteLost => {
                self.answer_lost = true;
                None
            }
            EditAction::ReportAccepted => {
                self.deadline = now + self.spec.wait.unwrap_or_default();
                Some(EditEffect::Report(EditProgress::Accepted))
            }
        }
    }

    fn next_retry_delay(&mut self) -> DurationMs {
        let delay = self.delay;
        self.delay = DurationMs((delay.0 * 2).min(RETRY_MAX.0));
        delay
    }
}
