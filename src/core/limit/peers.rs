//! Requests of one account to its peers: which peers to ask, which requests are unanswered, and
//! what each peer last reported about its tokens.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::types::{DurationMs, FailureDomain, HostId, MilliTokens, Timestamp};

use super::bucket::GRANT_LIFETIME;
use super::message::{LimitPeer, Transfer};

/// Number of peers asked in one round.
const FANOUT: usize = 3;
/// Time without an answer after which a request counts as unanswered; a message between failure
/// domains takes 3 ms.
pub(super) const ANSWER_TIMEOUT: DurationMs = DurationMs(50);
/// A peer that left a request unanswered is asked again this long after the request.
const SILENT_PEER_DELAY: DurationMs = DurationMs(1_000);
/// Age from which a peer's report about its tokens is no longer used.
const REPORT_MAX_AGE: DurationMs = DurationMs(500);
/// Delay before a peer without enough tokens is asked again, so that it can gain some. The delay
/// doubles with each answer without tokens, so that an account over its rate on all hosts does not
/// flood them with requests.
const EMPTY_ANSWER_DELAY: DurationMs = DurationMs(50);
/// Limit on the doublings of [`EMPTY_ANSWER_DELAY`]: the delay grows to at most 400 ms.
const MAX_DOUBLINGS: u32 = 3;

#[derive(Debug)]
struct SentRequest {
    host: HostId,
    amount: u64,
    sent_at: Timestamp,
    answered: bool,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: Timestamp,
    left: u64,
    spare_per_s: u64,
}

#[derive(Debug, Default)]
struct PeerState {
    report: Option<Report>,
    last_grant_at: Timestamp,
    last_asked_at: Option<Timestamp>,
    silent_until: Timestamp,
    /// Number of answers without tokens since the last one with tokens.
    empty_answers: u32,
}

/// A request for tokens that the caller must send.
#[derive(Debug)]
pub(super) struct PlannedRequest {
    pub host: HostId,
    pub amount: MilliTokens,
    pub sequence: u64,
}

/// Milli-tokens that can be expected, now and over time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Supply {
    /// Available now.
    pub present: u64,
    /// Gained per second.
    pub per_s: u64,
}

/// Sent requests and reports of the peers, for one account.
#[derive(Debug, Default)]
pub(super) struct PeerRequests {
    sent: BTreeMap<u64, SentRequest>,
    peers: BTreeMap<HostId, PeerState>,
}

impl PeerRequests {
    /// Drops requests whose grants would have expired, and marks peers that did not answer in time
    /// as silent.
    pub fn expire(&mut self, now: Timestamp) {
        for request in self.sent.values().filter(|request| !request.answered) {
            if now >= request.sent_at + ANSWER_TIMEOUT {
                let state = self.peers.entry(request.host.clone()).or_default();
                state.silent_until = state.silent_until.max(request.sent_at + SILENT_PEER_DELAY);
            }
        }
        self.sent.retain(|_, request| now < request.sent_at + GRANT_LIFETIME);
    }

    /// Handles an answer. Returns the time until which its tokens may be spent; `None` if that time
    /// is over or the answer matches no request.
    pub fn on_transfer(
        &mut self,
        now: Timestamp,
        from: &HostId,
        transfer: &Transfer,
    ) -> Option<Timestamp> {
        let request =
            self.sent.get_mut(&transfer.request).filter(|request| request.host == *from)?;
        request.answered = true;
        let until = request.sent_at + GRANT_LIFETIME;
        let state = self.peers.entry(from.clone()).or_default();
        state.silent_until = Timestamp(0);
        let (left, spare_per_s) = (transfer.left.0, transfer.spare_per_s.0);
        state.report = Some(Report { at: now, left, spare_per_s });
        state.empty_answers += 1;
        if transfer.amount.0 > 0 {
            state.last_grant_at = now;
            state.empty_answers = 0;
        }
        (now < until).then_some(until)
    }

    /// Milli-tokens of the requests that may still be answered.
    pub fn in_flight(&self, now: Timestamp) -> u64 {
        let open =
            |request: &&SentRequest| !request.answered && now < request.sent_at + ANSWER_TIMEOUT;
        self.sent.values().filter(open).map(|request| request.amount).sum()
    }

    /// Chooses the peers to ask for `want` milli-tokens in total.
    pub fn plan(
        &mut self,
        now: Timestamp,
        want: u64,
        failure_domain: &FailureDomain,
        peers: &[LimitPeer],
        sequence: &mut u64,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PlannedRequest> {
        let mut ranked: Vec<_> = peers
            .iter()
            .filter(|peer| self.may_ask(now, &peer.host, want))
            .map(|peer| (self.rank(now, peer, want, failure_domain, rng.random()), &peer.host))
            .collect();
        ranked.sort();
        let mut plans = Vec::new();
        let mut remaining = want;
        for (_, host) in ranked.into_iter().take(FANOUT) {
            if remaining == 0 {
                break;
            }
            plans.push(self.record_request(now, host, remaining, sequence));
            remaining =
                remaining.saturating_sub(self.expected_from(host, now).unwrap_or(remaining));
        }
        plans
    }

    /// Tokens that the peers can be expected to give, without the silent ones; `None` if another
    /// peer has no recent report.
    pub fn supply(&self, now: Timestamp, peers: &[LimitPeer]) -> Option<Supply> {
        let mut total = Supply::default();
        for peer in peers {
            let silent = self.peers.get(&peer.host).is_some_and(|state| now < state.silent_until);
            if !silent {
                let report = self.report(&peer.host, now)?;
                total.present = total.present.saturating_add(report.expected(now));
                total.per_s = total.per_s.saturating_add(report.spare_per_s);
            }
        }
        Some(total)
    }

    /// Time at which the next open request counts as unanswered.
    pub fn next_timeout(&self, now: Timestamp) -> Option<Timestamp> {
        let open = self.sent.values().filter(|request| !request.answered);
        open.map(|request| request.sent_at + ANSWER_TIMEOUT).filter(|at| *at > now).min()
    }

    fn record_request(
        &mut self,
        now: Timestamp,
        host: &HostId,
        amount: u64,
        sequence: &mut u64,
    ) -> PlannedRequest {
        *sequence += 1;
        let request = SentRequest { host: host.clone(), amount, sent_at: now, answered: false };
        self.sent.insert(*sequence, request);
        self.peers.entry(host.clone()).or_default().last_asked_at = Some(now);
        PlannedRequest { host: host.clone(), amount: MilliTokens(amount), sequence: *sequence }
    }

    fn may_ask(&self, now: Timestamp, host: &HostId, want: u64) -> bool {
        let Some(state) = self.peers.get(host) else { return true };
        let has_open = self.sent.values().any(|request| {
            request.host == *host && !request.answered && now < request.sent_at + ANSWER_TIMEOUT
        });
        let delay = DurationMs(EMPTY_ANSWER_DELAY.0 << state.empty_answers.min(MAX_DOUBLINGS));
        let delay_over = state.last_asked_at.is_none_or(|at| now >= at + delay);
        let enough = self
            .expected_from(host, now)
            .is_none_or(|expected| expected >= want.min(self.min_amount(host)));
        !has_open && now >= state.silent_until && (enough || delay_over)
    }

    /// Smallest amount that is worth a request: the cost of one statement, or what the peer gains
    /// in half of [`EMPTY_ANSWER_DELAY`] if that is more.
    fn min_amount(&self, host: &HostId) -> u64 {
        let spare =
            self.peers.get(host).and_then(|state| state.report).map_or(0, |r| r.spare_per_s);
        MilliTokens::ONE.0.max(spare / 1_000 * EMPTY_ANSWER_DELAY.0 / 2)
    }

    /// Sort key: first peers that can give their part of what is needed, then those that lack
    /// least, then those in this host's failure domain, then those that granted tokens most
    /// recently.
    fn rank(
        &self,
        now: Timestamp,
        peer: &LimitPeer,
        want: u64,
        failure_domain: &FailureDomain,
        tie_breaker: u32,
    ) -> (bool, u64, bool, u64, u32) {
        let expected = self.expected_from(&peer.host, now).unwrap_or(want).min(want);
        let too_little = expected < want.div_ceil(FANOUT as u64);
        let missing = if too_little { want - expected } else { 0 };
        let last_grant_at = self.peers.get(&peer.host).map_or(0, |state| state.last_grant_at.0);
        (
            too_little,
            missing,
            peer.failure_domain != *failure_domain,
            u64::MAX - last_grant_at,
            tie_breaker,
        )
    }

    fn expected_from(&self, host: &HostId, now: Timestamp) -> Option<u64> {
        self.report(host, now).map(|report| report.expected(now))
    }

    fn report(&self, host: &HostId, now: Timestamp) -> Option<Report> {
        let report = self.peers.get(host)?.report?;
        (now < report.at + REPORT_MAX_AGE).then_some(report)
    }
}

impl Supply {
    /// Milli-tokens expected to be available at `at`.
    pub fn available_at(&self, now: Timestamp, at: Timestamp) -> u64 {
        self.present.saturating_add(gained(self.per_s, now, at))
    }
}

fn gained(per_s: u64, from: Timestamp, to: Timestamp) -> u64 {
    let units = u128::from(per_s) * u128::from(to.0.saturating_sub(from.0));
    u64::try_from(units / 1_000_000).unwrap_or(u64::MAX)
}

impl Report {
    fn expected(&self, at: Timestamp) -> u64 {
        self.left.saturating_add(gained(self.spare_per_s, self.at, at))
    }
}
