//! Which statement an answer of an endpoint belongs to.
//!
//! Answers carry no id of what they answer, and an endpoint may send an answer again, at any time
//! after the first. The next answer on a connection is therefore not always the one that is awaited.
//! Signed results differ from each other, so a signature that was seen before marks a repeated answer.
//! Answers without a signature are told apart by the transaction state that they report. A refusal
//! equal to an earlier one may be either; the connection is then closed, which makes its outcome
//! unknown.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::LazyLock;

use bytes::Bytes;
use compact_str::CompactString;

use super::job::{Job, Refusal, Setup, Work};
use crate::chart::{Chart, ChartError, Machine, NoGuard};
use crate::chart_names;
use crate::core::transaction::TransactionState;
use crate::types::Position;

chart_names! {
    /// What the next answer is for.
    pub enum AnswersState {
        Starting = "starting", Idle = "idle", Setup = "setup", Work = "work",
        Rollback = "rollback",
    }
    /// What was sent, or what was answered.
    pub enum AnswersEvent {
        SendSetup = "send_setup", SendWork = "send_work", SendRollback = "send_rollback",
        Answered = "answered", Refused = "refused",
    }
    /// Actions; there are none.
    pub enum AnswersAction {}
}

/// The compiled chart of the awaited answers.
pub type AnswersChart = Chart<AnswersState, AnswersEvent, NoGuard, AnswersAction>;

/// Compiles the chart of the awaited answers.
///
/// # Errors
///
/// Every fault of the chart file.
pub fn chart() -> Result<AnswersChart, Vec<ChartError>> {
    let text = include_str!("../../../charts/endpoint_answers.scxml");
    Chart::load("charts/endpoint_answers.scxml", text)
}

static CHART: LazyLock<AnswersChart> =
    LazyLock::new(|| chart().expect("charts are checked at start"));

/// What an answer says about what it answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerResult {
    /// Nothing; it answers the startup message.
    None,
    /// Success, of anything but a read, a write or a commit.
    Done,
    /// Success of a read, a write or a commit, with the endpoint's signature.
    Signed(CompactString),
    /// A refusal with its text.
    Refused(Refusal, CompactString),
}

/// A complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// Rows, as received.
    pub rows: Vec<Bytes>,
    /// Its result.
    pub result: AnswerResult,
    /// Transaction state of the connection afterwards.
    pub transaction: TransactionState,
    /// Log position of the endpoint.
    pub position: Option<Position>,
}

impl EndpointAnswer {
    /// Hash of what makes it differ from other answers of the connection: the signature of a signed
    /// result, and all of any other answer.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        match &self.result {
            AnswerResult::Signed(signature) => signature.hash(&mut hasher),
            AnswerResult::Refused(refusal, text) => {
                (*refusal as u8, text, self.transaction as u8, self.position).hash(&mut hasher);
            }
            AnswerResult::None | AnswerResult::Done => {
                let is_done = self.result == AnswerResult::Done;
                (is_done, self.transaction as u8, self.position).hash(&mut hasher);
            }
        }
        hasher.finish()
    }
}

/// What an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// What is answered next.
    Awaited,
    /// Something that was answered before.
    Repeated,
    /// Either of the two; it is this refusal.
    Unclear(Refusal),
    /// Nothing that was sent on the connection.
    Unexpected,
}

/// A setup step without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Changes variables or prepared statements.
    Change,
    /// Starts a transaction.
    Begin { is_read_only: bool },
}

/// The answers of a connection to an endpoint: those that were received, and those that are awaited.
#[derive(Debug)]
pub struct EndpointAnswers {
    machine: Machine<AnswersState, AnswersEvent, NoGuard, AnswersAction>,
    /// Setup steps without an answer, in the order in which they were sent.
    steps: VecDeque<Step>,
    /// Whether the current job is an order, which is answered with a row but without a signature.
    is_order: bool,
    /// Whether the current job only starts a transaction and rolls it back.
    is_probe: bool,
    /// Whether a transaction is open after what was answered.
    in_transaction: bool,
    /// Digests of all answers so far.
    seen: BTreeSet<u64>,
    /// Answers that were accepted although they equal earlier ones. If they were repeated ones, as many
    /// awaited answers are still to come.
    ambiguous: u32,
    /// Position at the start of the job's read-write transaction, while its answer may be that of an
    /// earlier one.
    unproven_begin: Option<Position>,
    /// The same, once it is certain.
    proven_begin: Option<Position>,
    /// First refusal of a setup step of the current job.
    refusal: Option<Refusal>,
}

impl Default for EndpointAnswers {
    fn default() -> Self {
        Self {
            machine: CHART.start(),
            steps: VecDeque::new(),
            is_order: false,
            is_probe: false,
            in_transaction: false,
            seen: BTreeSet::new(),
            ambiguous: 0,
            unproven_begin: None,
            proven_begin: None,
            refusal: None,
        }
    }
}

impl EndpointAnswers {
    /// What the next answer is for.
    pub fn state(&self) -> AnswersState {
        self.machine.state()
    }

    /// Whether setup steps have no answer yet.
    pub fn awaits_setup(&self) -> bool {
        !self.steps.is_empty()
    }

    /// Records that a job's setup steps are sent.
    pub fn start(&mut self, job: &Job) {
        self.refusal = None;
        (self.unproven_begin, self.proven_begin) = (None, None);
        self.is_order = matches!(job.work, Work::Order(_));
        self.is_probe = job.work == Work::Nothing;
        self.steps.extend(job.setup.iter().map(|step| match step {
            Setup::Begin { read_only, .. } => Step::Begin { is_read_only: *read_only },
            Setup::Reset | Setup::Set(..) | Setup::Prepare(..) => Step::Change,
        }));
        if self.awaits_setup() {
            self.fire(AnswersEvent::SendSetup);
        }
    }

    /// Records that the statement or order of the job is sent.
    pub fn send_work(&mut self) {
        self.fire(AnswersEvent::SendWork);
    }

    /// Records that a rollback is sent.
    pub fn send_rollback(&mut self) {
        self.fire(AnswersEvent::SendRollback);
    }

    /// Takes the refusal of a setup step, after which the job's statement is not sent. All steps must
    /// have been answered.
    pub fn take_refusal(&mut self) -> Option<Refusal> {
        let refusal = self.refusal.take();
        if refusal.is_some() {
            self.fire(AnswersEvent::Refused);
        }
        refusal
    }

    /// Takes the log position at which the job's read-write transaction has begun, once it is certain
    /// that the endpoint accepted it.
    pub fn take_begin(&mut self) -> Option<Position> {
        self.proven_begin.take()
    }

    /// Tells what an answer belongs to, and records it if it was awaited.
    pub fn on_answer(&mut self, answer: &EndpointAnswer) -> Attribution {
        let is_known = self.seen.contains(&answer.digest());
        let attribution = self.attribute(answer, is_known);
        self.seen.insert(answer.digest());
        match attribution {
            Attribution::Awaited => self.record(answer, is_known),
            Attribution::Repeated => {
                self.unproven_begin = None;
                if !is_known {
                    self.ambiguous -= 1;
                }
            }
            Attribution::Unclear(_) | Attribution::Unexpected => {}
        }
        attribution
    }

    fn attribute(&self, answer: &EndpointAnswer, is_known: bool) -> Attribution {
        use Attribution::{Awaited, Repeated, Unclear, Unexpected};
        let is_idle = answer.transaction == TransactionState::Idle;
        let is_late = answer.result == AnswerResult::Done && self.ambiguous > 0;
        let other = if is_known || is_late { Repeated } else { Unexpected };
        let awaited_if = |fits: bool| if fits { Awaited } else { other };
        match (&answer.result, self.state()) {
            (AnswerResult::None, AnswersState::Starting) => Awaited,
            (_, AnswersState::Starting) => Unexpected,
            (AnswerResult::None, _) => other,

            (AnswerResult::Signed(_), AnswersState::Work) => awaited_if(!is_known),
            (AnswerResult::Signed(_), _) => other,

            (AnswerResult::Done, AnswersState::Setup) => {
                let begins = matches!(self.steps.front(), Some(Step::Begin { .. }));
                awaited_if(is_idle != (begins || self.in_transaction))
            }
            (AnswerResult::Done, AnswersState::Work) => {
                awaited_if(self.is_order && answer.rows.len() == 1)
            }
            (AnswerResult::Done, AnswersState::Rollback) => awaited_if(is_idle),
            (AnswerResult::Done, AnswersState::Idle) => other,

            // Taking an earlier refusal for this one only delays the proof until the next probe.
            (AnswerResult::Refused(..), AnswersState::Setup) if self.is_probe => Awaited,
            (AnswerResult::Refused(refusal, _), AnswersState::Setup | AnswersState::Work)
                if is_known =>
            {
                Unclear(*refusal)
            }
            (AnswerResult::Refused(..), AnswersState::Setup | AnswersState::Work) => Awaited,
            (AnswerResult::Refused(..), AnswersState::Rollback) => awaited_if(!is_known && is_idle),
            (AnswerResult::Refused(..), _) => other,
        }
    }

    fn record(&mut self, answer: &EndpointAnswer, is_known: bool) {
        let refusal = match &answer.result {
            AnswerResult::Refused(refusal, _) => Some(*refusal),
            _ => None,
        };
        self.ambiguous += u32::from(is_known);
        match self.state() {
            AnswersState::Setup => return self.record_step(answer, refusal, is_known),
            AnswersState::Work => {
                self.in_transaction = answer.transaction != TransactionState::Idle;
                if matches!(answer.result, AnswerResult::Signed(_)) {
                    // All that was sent before it has been answered before it.
                    self.ambiguous = 0;
                }
            }
            AnswersState::Rollback => self.in_transaction = false,
            AnswersState::Starting | AnswersState::Idle => {}
        }
        // The endpoint answers in order, so the transaction's begin was answered before, and not by a
        // refusal.
        let begin = self.unproven_begin.take();
        if refusal.is_none() && begin.is_some() {
            self.proven_begin = begin;
        }
        self.fire(AnswersEvent::Answered);
    }

    fn record_step(&mut self, answer: &EndpointAnswer, refusal: Option<Refusal>, is_known: bool) {
        let step = self.steps.pop_front();
        if let Some(refusal) = refusal {
            self.refusal.get_or_insert(refusal);
            return;
        }
        let Some(Step::Begin { is_read_only }) = step else { return };
        self.in_transaction = true;
        let position = answer.position.filter(|_| !is_read_only);
        if is_known {
            self.unproven_begin = position;
        } else {
            self.proven_begin = position;
        }
    }

    fn fire(&mut self, event: AnswersEvent) {
        let step = self.machine.fire(event, |guard| match guard {});
        if !step.handled {
            tracing::error!(?event, state = ?step.from, "endpoint: event is not valid in the state of the connection");
        }
    }
}
