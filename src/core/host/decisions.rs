//! Records the host's decisions for the timeline. A record holds ids, but no keys or SQL text.

use super::HostCore;
use crate::core::broker::{BrokerEffect, Outcome};
use crate::core::promotion::Phase;
use crate::error::{Error, ErrorKind};
use crate::timeline::{Decision, Event};
use crate::types::{ConnectionId, RequestId, SessionId};

impl HostCore {
    /// Takes the decisions recorded since the last call, in order.
    pub fn drain_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    pub(super) fn add_decision(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }

    /// Creates a record about a session, with the session's client account and group.
    fn session_decision(
        &self,
        event: Event,
        session: SessionId,
        request: Option<RequestId>,
    ) -> Decision {
        let mut decision = Decision::new(event).with_session(session, request);
        if let Some(known) = self.broker.session(session) {
            decision = decision.account(&known.spec.account);
            decision.group = Some(known.spec.group.clone());
        }
        decision
    }

    pub(super) fn note_admitted(&mut self, request: RequestId) {
        let Some(session) = self.broker.session_of(request) else { return };
        let decision = self.session_decision(Event::Admitted, session, Some(request));
        self.add_decision(decision);
    }

    pub(super) fn note_effect(&mut self, effect: &BrokerEffect) {
        match effect {
            BrokerEffect::Send { connection, request, session, hold } => {
                self.note_sent(*connection, *request, *session, *hold);
            }
            BrokerEffect::End { session, request, outcome, .. } => {
                self.note_end(*session, *request, outcome);
            }
            BrokerEffect::Evict(session, error) => {
                let decision =
                    self.session_decision(Event::Refused, *session, None).detail(error.kind);
                self.add_decision(decision);
            }
            BrokerEffect::SwapRecord { group, record, .. } if record.phase == Phase::Promoted => {
                let mut decision = Decision::new(Event::Promoting).detail(record.term);
                decision.group = Some(group.clone());
                decision.endpoint = record.primary.clone();
                decision.position = Some(record.start);
                self.add_decision(decision);
            }
            _ => {}
        }
    }

    fn note_sent(&mut self, id: ConnectionId, request: RequestId, session: SessionId, hold: bool) {
        let mut decision = self.session_decision(Event::Assigned, session, Some(request));
        decision.endpoint = self.broker.connection(id).map(|known| known.endpoint.clone());
        let held = hold.then(|| Decision { event: Event::Held, ..decision.clone() });
        self.add_decision(decision);
        self.decisions.extend(held);
    }

    fn note_end(&mut self, session: SessionId, request: RequestId, outcome: &Outcome) {
        let event = match outcome {
            Outcome::Release { .. } => Event::Released,
            Outcome::Fail(Error { kind: ErrorKind::OutcomeUnknown, .. }) => Event::OutcomeUnknown,
            Outcome::Fail(_) => Event::Refused,
        };
        let mut decision = self.session_decision(event, session, Some(request));
        match outcome {
            Outcome::Release { token } => {
                let position = token.as_deref().and_then(|token| token.split_once('='));
                decision.position = position.and_then(|(_, position)| position.parse().ok());
            }
            Outcome::Fail(error) => decision = decision.detail(error.kind),
        }
        self.add_decision(decision);
    }
}
