//! Freshness anchors: proofs that a position covers every write acknowledged before some time.

use std::collections::{BTreeMap, VecDeque};

use super::status::{EndpointStatus, Role};
use crate::types::{DurationMs, EndpointId, Position, Term, Timestamp};

/// Number of anchors kept. At one every 100 ms they cover 6 s without gaps; older anchors are
/// thinned out.
const ANCHORS_KEPT: usize = 64;

/// Number of the primary's probe answers kept that may still become anchors.
const CANDIDATES_KEPT: usize = 16;

/// Clock rates of two hosts differ by less than 0.1%. So a time span measured on this host's clock
/// is longer on another clock by at most the span divided by this.
const CLOCK_RATE_DIVISOR: u64 = 1_000;

/// Proof that `position` covers every write acknowledged before `sent`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Anchor {
    /// When the probe that the primary answered was sent.
    pub sent: Timestamp,
    /// Position in the primary's answer.
    pub position: Position,
    /// Term of the primary.
    pub term: Term,
}

/// Collects probe answers until they prove an anchor: an answer of the primary becomes one when a
/// majority of the endpoints has answered, at the same term, probes sent at that time or later.
#[derive(Debug, Clone, Default)]
pub(super) struct Anchors {
    candidates: VecDeque<Anchor>,
    answers: BTreeMap<EndpointId, (Timestamp, Term)>,
    proven: VecDeque<Anchor>,
}

impl Anchors {
    /// Handles the answer to a probe sent at `sent`; `majority` is the number of endpoints that
    /// form a majority.
    ///
    /// The answer of an endpoint that is fenced to a higher term does not count: the endpoint may
    /// already have taken part in a promotion although it still reports the old term.
    pub fn on_answer(
        &mut self,
        sent: Timestamp,
        endpoint: &EndpointId,
        status: &EndpointStatus,
        majority: usize,
    ) {
        if status.is_fenced_off() {
            return;
        }
        let answer = self.answers.entry(endpoint.clone()).or_insert((sent, status.term));
        if (status.term, sent) > (answer.1, answer.0) {
            *answer = (sent, status.term);
        }
        if status.role == Role::Primary {
            let anchor = Anchor { sent, position: status.position, term: status.term };
            self.candidates.push_back(anchor);
            if self.candidates.len() > CANDIDATES_KEPT {
                self.candidates.pop_front();
            }
        }
        self.update_proven(majority);
    }

    /// The earliest anchor whose probe was sent at or after `time`.
    pub fn at_or_after(&self, time: Timestamp) -> Option<&Anchor> {
        self.proven.iter().find(|anchor| anchor.sent >= time)
    }

    /// The oldest anchor that is at most `max_age` old by the clock of any host.
    pub fn within_age(&self, now: Timestamp, max_age: DurationMs) -> Option<&Anchor> {
        self.proven.iter().find(|anchor| {
            let age_us = now.0.saturating_sub(anchor.sent.0);
            age_us + age_us.div_ceil(CLOCK_RATE_DIVISOR) <= max_age.as_us()
        })
    }

    /// The latest anchor.
    pub fn latest(&self) -> Option<&Anchor> {
        self.proven.back()
    }

    fn update_proven(&mut self, majority: usize) {
        let answers = &self.answers;
        let proves = |anchor: &Anchor| {
            let confirms =
                |(sent, term): &&(Timestamp, Term)| *term == anchor.term && *sent >= anchor.sent;
            answers.values().filter(confirms).count() >= majority
        };
        let Some(index) = self.candidates.iter().rposition(proves) else { return };
        for anchor in self.candidates.drain(..=index) {
            // The same answers may prove earlier candidates too; the others are outdated.
            if proves(&anchor) && self.proven.back().is_none_or(|last| last.sent < anchor.sent) {
                self.proven.push_back(anchor);
            }
        }
        if self.proven.len() > ANCHORS_KEPT {
            self.thin_out();
        }
    }

    /// Drops every second anchor of the older half.
    fn thin_out(&mut self) {
        let half = self.proven.len() / 2;
        let mut index = 0;
        self.proven.retain(|_| {
            index += 1;
            index > half || index % 2 == 0
        });
    }
}
