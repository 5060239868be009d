//! Requests of one account to its peers: which peers to ask, which requests are unanswered, and
//! what each peer last reported about its tokens.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::types::{DurationMs, FailureDomain, HostId, MilliTokens, Timestamp};

use super::bucket::GRANT_LIFE;
use super::message::{LimitPeer, Transfer};

/// Number of peers asked in one round.
const FANOUT: usize = 3;
/// Time without an answer after which a request counts as unanswered; a message between failure
/// domains takes 3 ms.
pub(super) const ANSWER_WAIT: DurationMs = DurationMs(50);
/// A peer that left a request unanswered is asked again this long after the request.
const SILENCE: DurationMs = DurationMs(1_000);
/// Age from which a peer's report about its tokens is no longer used.
const REPORT_LIFE: DurationMs = DurationMs(500);
/// Delay before a peer without enough tokens is asked again, so that it can gain some. The delay
/// doubles with each answer without tokens, so that an account over its rate on all hosts does not
/// flood them with requests.
const SHORT_WAIT: DurationMs = DurationMs(50);
/// Limit on the doublings of [`SHORT_WAIT`]: the delay grows to at most 400 ms.
const MAX_DOUBLINGS: u32 = 3;

#[derive(Debug)]
struct Asked {
    host: HostId,
    amount: u64,
    sent: Timestamp,
    answered: bool,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: Timestamp,
    left: u64,
    spare_per_s: u64,
}

#[derive(Debug, Default)]
struct Known {
    report: Option<Report>,
    gave_at: Timestamp,
    asked_at: Option<Timestamp>,
    silent_until: Timestamp,
    /// Number of answers without tokens since the last one with tokens.
    empty_answers: u32,
}

/// A request for tokens that the caller must send.
#[derive(Debug)]
pub(super) struct PlannedAsk {
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
pub(super) struct PeerBook {
    asked: BTreeMap<u64, Asked>,
    known: BTreeMap<HostId, Known>,
}

impl PeerBook {
    /// Drops requests whose grants would have expired, and marks peers that did not answer in time
    /// as silent.
    pub fn expire(&mut self, now: Timestamp) {
        for asked in self.asked.values().filter(|asked| !asked.answered) {
            if now >= asked.sent + ANSWER_WAIT {
                let known = self.known.entry(asked.host.clone()).or_default();
                known.silent_until = known.silent_until.max(asked.sent + SILENCE);
            }
        }
        self.asked.retain(|_, asked| now < asked.sent + GRANT_LIFE);
    }

    /// Handles an answer. Returns the time until which its tokens may be spent; `None` if that time
    /// is over or the answer matches no request.
    pub fn on_transfer(
        &mut self,
        now: Timestamp,
        from: &HostId,
        transfer: &Transfer,
    ) -> Option<Timestamp> {
        let asked = self.asked.get_mut(&transfer.request).filter(|asked| asked.host == *from)?;
        asked.answered = true;
        let until = asked.sent + GRANT_LIFE;
        let known = self.known.entry(from.clone()).or_default();
        known.silent_until = Timestamp(0);
        let (left, spare_per_s) = (transfer.left.0, transfer.spare_per_s.0);
        known.report = Some(Report { at: now, left, spare_per_s });
        known.empty_answers += 1;
        if transfer.amount.0 > 0 {
            known.gave_at = now;
            known.empty_answers = 0;
        }
        (now < until).then_some(until)
    }

    /// Milli-tokens of the requests that may still be answered.
    pub fn in_flight(&self, now: Timestamp) -> u64 {
        let open = |asked: &&Asked| !asked.answered && now < asked.sent + ANSWER_WAIT;
        self.asked.values().filter(open).map(|asked| asked.amount).sum()
    }

    /// Chooses the peers to ask for `want` milli-tokens in total.
    pub fn plan(
        &mut self,
        now: Timestamp,
        want: u64,
        home: &FailureDomain,
        peers: &[LimitPeer],
        sequence: &mut u64,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PlannedAsk> {
        let mut ranked: Vec<_> = peers
            .iter()
            .filter(|peer| self.may_ask(now, &peer.host, want))
            .map(|peer| (self.rank(now, peer, want, home, rng.random()), &peer.host))
            .collect();
        ranked.sort();
        let mut plans = Vec::new();
        let mut rest = want;
        for (_, host) in ranked.into_iter().take(FANOUT) {
            if rest == 0 {
                break;
            }
            plans.push(self.ask(now, host, rest, sequence));
            rest = rest.saturating_sub(self.expected(host, now).unwrap_or(rest));
        }
        plans
    }

    /// Tokens that the peers can be expected to give, without the silent ones; `None` if another
    /// peer has no recent report.
    pub fn supply(&self, now: Timestamp, peers: &[LimitPeer]) -> Option<Supply> {
        let mut total = Supply::default();
        for peer in peers {
            let silent = self.known.get(&peer.host).is_some_and(|known| now < known.silent_until);
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
        let open = self.asked.values().filter(|asked| !asked.answered);
        open.map(|asked| asked.sent + ANSWER_WAIT).filter(|at| *at > now).min()
    }

    fn ask(&mut self, now: Timestamp, host: &HostId, amount: u64, number: &mut u64) -> PlannedAsk {
        *number += 1;
        let asked = Asked { host: host.clone(), amount, sent: now, answered: false };
        self.asked.insert(*number, asked);
        self.known.entry(host.clone()).or_default().asked_at = Some(now);
        PlannedAsk { host: host.clone(), amount: MilliTokens(amount), sequence: *number }
    }

    fn may_ask(&self, now: Timestamp, host: &HostId, want: u64) -> bool {
        let Some(known) = self.known.get(host) else { return true };
        let waiting = self
            .asked
            .values()
            .any(|asked| asked.host == *host && !asked.answered && now < asked.sent + ANSWER_WAIT);
        let wait = DurationMs(SHORT_WAIT.0 << known.empty_answers.min(MAX_DOUBLINGS));
        let rested = known.asked_at.is_none_or(|at| now >= at + wait);
        let worthwhile = self
            .expected(host, now)
            .is_none_or(|expected| expected >= want.min(self.worthwhile(host)));
        !waiting && now >= known.silent_until && (worthwhile || rested)
    }

    /// Smallest amount that is worth a request: the cost of one statement, or what the peer gains
    /// in half of [`SHORT_WAIT`] if that is more.
    fn worthwhile(&self, host: &HostId) -> u64 {
        let spare =
            self.known.get(host).and_then(|known| known.report).map_or(0, |r| r.spare_per_s);
        MilliTokens::ONE.0.max(spare / 1_000 * SHORT_WAIT.0 / 2)
    }

    /// Sort key: first peers that can give their part of what is needed, then those that lack
    /// least, then those in this host's failure domain, then those that granted tokens most
    /// recently.
    fn rank(
        &self,
        now: Timestamp,
        peer: &LimitPeer,
        want: u64,
        home: &FailureDomain,
        tie: u32,
    ) -> (bool, u64, bool, u64, u32) {
        let expected = self.expected(&peer.host, now).unwrap_or(want).min(want);
        let short = expected < want.div_ceil(FANOUT as u64);
        let missing = if short { want - expected } else { 0 };
        let gave_at = self.known.get(&peer.host).map_or(0, |known| known.gave_at.0);
        (short, missing, peer.failure_domain != *home, u64::MAX - gave_at, tie)
    }

    fn expected(&self, host: &HostId, now: Timestamp) -> Option<u64> {
        self.report(host, now).map(|report| report.expected(now))
    }

    fn report(&self, host: &HostId, now: Timestamp) -> Option<Report> {
        let report = self.known.get(host)?.report?;
        (now < report.at + REPORT_LIFE).then_some(report)
    }
}

impl Supply {
    /// Milli-tokens expected to be available at `at`.
    pub fn by(&self, now: Timestamp, at: Timestamp) -> u64 {
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
