//! Compare-and-set of one row over a connection that may lose answers.
//!
//! Each new value of a row carries the [`AttemptId`] of the write. After a lost answer the row is
//! read back before the write is repeated. The repeated write checks the same version, so at most
//! one of the writes takes effect, even if the first one reaches the platform after the read-back.

use std::sync::LazyLock;

use rand_chacha::ChaCha8Rng;

use super::link::Backoff;
use crate::chart::{Chart, ChartError, Machine};
use crate::chart_names;
use crate::types::{AttemptId, CommitSeq, DurationMs, RowVersion};

chart_names! {
    /// States of a compare-and-set.
    pub enum SwapState {
        Writing = "writing",
        Reading = "reading",
        Rewriting = "rewriting",
        Applied = "applied",
        Conflict = "conflict",
        NotApplied = "not_applied",
        Unknown = "unknown",
    }
    /// Results of writes and read-backs.
    pub enum SwapEvent {
        Committed = "write.committed",
        WriteConflict = "write.conflict",
        Unsent = "write.unsent",
        Refused = "write.refused",
        Lost = "write.lost",
        Own = "read.own",
        Unchanged = "read.unchanged",
        Other = "read.other",
        Stale = "read.stale",
        ReadFailed = "read.failed",
    }
    /// Guards of a compare-and-set.
    pub enum SwapGuard { CallsLeft = "calls_left" }
    /// Actions of a compare-and-set.
    pub enum SwapAction { Pause = "pause", NoteChange = "note_change" }
}

/// Chart of a [`Swap`].
pub type SwapChart = Chart<SwapState, SwapEvent, SwapGuard, SwapAction>;

/// Compiles `charts/swap.scxml`.
///
/// # Errors
///
/// All errors in the chart file.
pub fn chart() -> Result<SwapChart, Vec<ChartError>> {
    Chart::load("charts/swap.scxml", include_str!("../../charts/swap.scxml"))
}

static CHART: LazyLock<SwapChart> = LazyLock::new(|| chart().expect("charts are checked at start"));

/// Result of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect in this commit.
    Committed(CommitSeq),
    /// The row has this version, not the expected one; nothing was written.
    Conflict(RowVersion),
    /// The write was not sent.
    Unsent,
    /// The platform refused the write as malformed; repeating it can't succeed.
    Refused,
    /// No answer; the write may have taken effect or may still do so.
    Lost,
}

/// Result of one read-back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBack {
    /// Row as of a commit; an absent row has version 0 and no attempt.
    Row {
        /// Commit at which the row was read.
        commit_seq: CommitSeq,
        /// Version of the row.
        version: RowVersion,
        /// Attempt that wrote the row.
        attempt: Option<AttemptId>,
    },
    /// No answer.
    Failed,
}

/// Outcome of a compare-and-set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The value was written with this version. It may have been replaced since.
    Applied(RowVersion),
    /// Another value was written first and this one never was; the row has this version.
    Conflict(RowVersion),
    /// The value was never written, because the platform could not be reached or refused it.
    NotApplied,
    /// The value may have been written, possibly replaced since, or may still be written later.
    Unknown,
}

/// Next step of a compare-and-set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Write the value, with a check of the expected version, after this time.
    Write(DurationMs),
    /// Read the row after this time.
    Read(DurationMs),
    /// The compare-and-set ended with this outcome.
    Done(Outcome),
}

/// One compare-and-set of one row.
#[derive(Debug)]
pub struct Swap {
    machine: Machine<SwapState, SwapEvent, SwapGuard, SwapAction>,
    expected: RowVersion,
    attempt: AttemptId,
    calls_left: u32,
    backoff: Backoff,
    /// Latest commit that is known to exist; reads at an earlier commit are stale.
    known_commit: CommitSeq,
    /// Whether the row is known to have another version than the expected one.
    row_changed: bool,
    /// Version that the outcome reports.
    version: RowVersion,
}

impl Swap {
    /// Creates a compare-and-set that writes a value with `attempt` if the row has version
    /// `expected`, in at most `calls` writes and read-backs. The caller starts with [`Next::Write`]
    /// without delay.
    pub fn new(expected: RowVersion, attempt: AttemptId, calls: u32) -> Self {
        Self {
            machine: CHART.start(),
            expected,
            attempt,
            calls_left: calls,
            backoff: Backoff::default(),
            known_commit: CommitSeq(expected.0),
            row_changed: false,
            version: RowVersion(0),
        }
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, result: WriteResult, rng: &mut ChaCha8Rng) -> Next {
        let event = match result {
            WriteResult::Committed(commit_seq) => {
                self.version = RowVersion(commit_seq.0);
                SwapEvent::Committed
            }
            WriteResult::Conflict(version) => {
                self.version = version;
                self.known_commit = self.known_commit.max(CommitSeq(version.0));
                SwapEvent::WriteConflict
            }
            WriteResult::Unsent => SwapEvent::Unsent,
            WriteResult::Refused => SwapEvent::Refused,
            WriteResult::Lost => SwapEvent::Lost,
        };
        self.advance(event, rng)
    }

    /// Handles the result of a read-back.
    pub fn on_read(&mut self, result: ReadBack, rng: &mut ChaCha8Rng) -> Next {
        let event = match result {
            ReadBack::Failed => SwapEvent::ReadFailed,
            ReadBack::Row { commit_seq, version, attempt } => {
                self.version = version;
                self.classify_read(commit_seq, version, attempt)
            }
        };
        self.advance(event, rng)
    }

    fn classify_read(
        &self,
        commit_seq: CommitSeq,
        version: RowVersion,
        attempt: Option<AttemptId>,
    ) -> SwapEvent {
        let unchanged = version == self.expected;
        if attempt == Some(self.attempt) {
            SwapEvent::Own
        } else if commit_seq < self.known_commit || (unchanged && self.row_changed) {
            SwapEvent::Stale
        } else if unchanged {
            SwapEvent::Unchanged
        } else {
            SwapEvent::Other
        }
    }

    fn advance(&mut self, event: SwapEvent, rng: &mut ChaCha8Rng) -> Next {
        self.calls_left = self.calls_left.saturating_sub(1);
        let calls_left = self.calls_left > 0;
        let step = self.machine.fire(event, |guard| match guard {
            SwapGuard::CallsLeft => calls_left,
        });
        let mut delay = DurationMs(0);
        for action in step.actions {
            match action {
                SwapAction::Pause => delay = self.backoff.next_delay(rng),
                SwapAction::NoteChange => self.row_changed = true,
            }
        }
        match step.to {
            SwapState::Writing | SwapState::Rewriting => Next::Write(delay),
            SwapState::Reading => Next::Read(delay),
            SwapState::Applied => Next::Done(Outcome::Applied(self.version)),
            SwapState::Conflict => Next::Done(Outcome::Conflict(self.version)),
            SwapState::NotApplied => Next::Done(Outcome::NotApplied),
            SwapState::Unknown => Next::Done(Outcome::Unknown),
        }
    }
}
