//! Endpoints of one group, the store's rows and the promotion service, with checks of every commit
//! and read that a caller is told of.

use std::collections::{BTreeMap, BTreeSet};

use medlarstile::core::proxy::failover::{Claim, ClaimError};
use medlarstile::types::{EndpointId, Position, RowVersion, StoreEra, Term};

pub const ENDPOINTS: [&str; 3] = ["a", "b", "c"];
/// Time after which an old primary that reaches the new one becomes a replica.
const YIELD_MS: u64 = 1_000;

pub struct Endpoint {
    /// Term in which it acts as the primary.
    pub leads: Option<u64>,
    pub term: u64,
    pub log: Vec<u64>,
    pub alive: bool,
    reached_newer_ms: u64,
}

/// The run of a caller's statement.
pub struct Run {
    pub endpoint: usize,
    /// Commit that it made, and whether the endpoint was the group's primary then.
    pub commit: Option<(u64, bool)>,
    /// Acknowledged commit that the log lacked.
    pub lacks: Option<u64>,
}

pub struct World {
    pub endpoints: Vec<Endpoint>,
    /// The endpoint that was promoted last.
    pub primary: usize,
    /// The group's row; an absent one has the number 0.
    pub claim: (RowVersion, Option<Claim>),
    /// The row's former contents, with the times of their writes.
    history: Vec<(u64, u64, Option<Claim>)>,
    version: u64,
    era: StoreEra,
    /// Whether the platform checks fencing tokens and takes the lead from the old primary.
    is_fenced: bool,
    highest_token: (u64, usize),
    /// Acknowledged commits that no promotion has rolled back, with the time of the answer.
    acknowledged: BTreeMap<u64, u64>,
    committed: BTreeSet<u64>,
    pub runs: BTreeMap<u64, Run>,
    pub violations: Vec<String>,
    pub promotions: usize,
    pub last_write_at: u64,
}

impl World {
    pub fn new(is_fenced: bool) -> Self {
        let endpoint = |place: usize| Endpoint {
            leads: (place == 0).then_some(1),
            term: 1,
            log: Vec::new(),
            alive: true,
            reached_newer_ms: 0,
        };
        Self {
            endpoints: (0..ENDPOINTS.len()).map(endpoint).collect(),
            primary: 0,
            claim: (RowVersion(0), None),
            history: vec![(0, 0, None)],
            version: 10,
            era: StoreEra(0),
            is_fenced,
            highest_token: (0, 0),
            acknowledged: BTreeMap::new(),
            committed: BTreeSet::new(),
            runs: BTreeMap::new(),
            violations: Vec::new(),
            promotions: 0,
            last_write_at: 0,
        }
    }

    pub fn position(&self, place: usize) -> Position {
        let endpoint = &self.endpoints[place];
        Position::new(Term(endpoint.leads.unwrap_or(endpoint.term)), endpoint.log.len() as u64)
    }

    /// Replicates for 20 ms. `linked` tells which endpoints reach each other.
    pub fn replicate(&mut self, linked: impl Fn(usize, usize) -> bool) {
        for place in 0..self.endpoints.len() {
            let leaders = self.endpoints.iter().enumerate().filter(|(other, endpoint)| {
                endpoint.alive && endpoint.leads.is_some() && *other != place
            });
            let newest = leaders
                .filter(|(other, _)| linked(place, *other))
                .max_by_key(|(_, endpoint)| endpoint.leads);
            let Some((_, leader)) = newest else { continue };
            let (term, log) = (leader.leads.unwrap_or_default(), leader.log.clone());
            let endpoint = &mut self.endpoints[place];
            match endpoint.leads {
                None if endpoint.alive && term >= endpoint.term => {
                    (endpoint.term, endpoint.log) = (term, log);
                }
                Some(own) if own < term => {
                    endpoint.reached_newer_ms += 20;
                    if endpoint.reached_newer_ms >= YIELD_MS {
                        endpoint.leads = None;
                    }
                }
                _ => {}
            }
        }
    }

    /// Runs a caller's statement.
    pub fn run(&mut self, now: u64, statement: u64, place: usize, write: bool, began: u64) {
        let visible_before = self.acknowledged.iter().filter(|(_, at)| **at < began);
        let log: BTreeSet<u64> = self.endpoints[place].log.iter().copied().collect();
        let lacks = visible_before.map(|(commit, _)| *commit).find(|commit| !log.contains(commit));
        let mut commit = None;
        if write {
            self.endpoints[place].log.push(statement);
            if !self.committed.insert(statement) {
                self.violations.push(format!("TWICE: statement {statement} at {now}"));
            }
            commit = Some((statement, place == self.primary));
        }
        let lacks = lacks.filter(|_| !write);
        self.runs.insert(statement, Run { endpoint: place, commit, lacks });
    }

    /// Checks a success that a caller is told.
    pub fn on_success(&mut self, now: u64, statement: u64) {
        let Some(run) = self.runs.get(&statement) else {
            return self.violations.push(format!("MIXED: statement {statement} did not run"));
        };
        let place = ENDPOINTS[run.endpoint];
        if let Some(lacks) = run.lacks {
            let text = format!("STALE: read {statement} at {place} lacks {lacks}, {now}");
            self.violations.push(text);
        }
        match run.commit {
            Some((_, false)) => {
                let text = format!("ONE: commit {statement} at the old primary {place}, {now}");
                self.violations.push(text);
            }
            Some((commit, true)) => {
                if self.endpoints[self.primary].log.contains(&commit) {
                    self.acknowledged.insert(commit, now);
                }
                self.last_write_at = now;
            }
            None => {}
        }
    }

    /// Checks a promise to a caller that nothing was kept.
    pub fn on_promise(&mut self, now: u64, statement: u64) {
        if self.committed.contains(&statement) {
            let text = format!("REFUSED: statement {statement} was committed, {now}");
            self.violations.push(text);
        }
    }

    fn row_version(&self, number: u64) -> RowVersion {
        RowVersion::in_era(self.era, number).expect("a version")
    }

    /// Writes a claim if the row has the expected version, of which the store knows the number.
    pub fn swap(
        &mut self,
        now: u64,
        expected: RowVersion,
        claim: Claim,
    ) -> Result<RowVersion, ClaimError> {
        if self.claim.0.number() != expected.number() {
            let (version, claim) = self.claim.clone();
            return Err(ClaimError::Taken(version, claim));
        }
        self.version += 1;
        self.claim = (self.row_version(self.version), Some(claim.clone()));
        self.history.push((now, self.version, Some(claim)));
        Ok(self.claim.0)
    }

    /// Brings the store back from a copy of this time.
    pub fn restore(&mut self, copied_at: u64) {
        self.history.retain(|(at, ..)| *at <= copied_at);
        let (_, number, claim) = self.history.last().expect("the first content").clone();
        self.era = self.era.next();
        self.version = number.max(10);
        self.claim = (self.row_version(number), claim);
    }

    /// Notes the token of a promotion when it reaches the platform; false if nothing happens.
    pub fn order_promotion(
        &mut self,
        host: usize,
        token: RowVersion,
        endpoint: &EndpointId,
    ) -> bool {
        let (highest, holder) = self.highest_token;
        if token.0 < highest && self.is_fenced {
            return false;
        }
        if token.0 < highest || (token.0 == highest && holder != host) {
            self.violations.push(format!("ONE: h{host} has token {token}, h{holder} {highest}"));
        }
        self.highest_token = self.highest_token.max((token.0, host));
        place_of(endpoint).is_some_and(|place| self.endpoints[place].alive)
    }

    /// The promotion takes effect.
    pub fn promote(&mut self, endpoint: &EndpointId) {
        let Some(place) = place_of(endpoint).filter(|place| self.endpoints[*place].alive) else {
            return;
        };
        if place == self.primary && self.endpoints[place].leads.is_some() {
            return;
        }
        let newest = self.endpoints.iter().map(|one| one.term.max(one.leads.unwrap_or(0))).max();
        let term = newest.unwrap_or(0) + 1;
        if self.is_fenced {
            self.endpoints.iter_mut().for_each(|endpoint| endpoint.leads = None);
        }
        let endpoint = &mut self.endpoints[place];
        (endpoint.leads, endpoint.term, endpoint.reached_newer_ms) = (Some(term), term, 0);
        let log: BTreeSet<u64> = endpoint.log.iter().copied().collect();
        self.primary = place;
        self.promotions += 1;
        self.acknowledged.retain(|commit, _| log.contains(commit));
    }

    /// Restarts a crashed endpoint with its log.
    pub fn revive(&mut self, place: usize) {
        self.endpoints[place].alive = true;
        if place != self.primary {
            self.endpoints[place].leads = None;
        }
    }
}

pub fn place_of(endpoint: &EndpointId) -> Option<usize> {
    ENDPOINTS.iter().position(|name| *name == endpoint.as_str())
}
