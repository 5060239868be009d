//! Row store with compare-and-set that can be down, slow, stale, or lose answers.

use std::collections::BTreeMap;

use medlarstile::core::share::{SeenRow, ShareRow, ShareSlot, ShareWrite, WriteResult};
use medlarstile::types::RowVersion;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Condition of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    Down,
    Slow,
    Stale,
    Losing,
}

/// Delays in microseconds of one operation, and whether its answer says nothing.
pub struct Timing {
    pub effect: Option<u64>,
    pub answer: u64,
    pub lost: bool,
}

type Rows = BTreeMap<ShareSlot, (RowVersion, ShareRow)>;

pub struct Store {
    pub mode: Mode,
    history: Vec<Rows>,
}

impl Store {
    pub fn new() -> Self {
        Self { mode: Mode::Up, history: vec![Rows::new()] }
    }

    pub fn timing(&self, cut: bool, rng: &mut ChaCha8Rng) -> Timing {
        let quick = rng.random_range(1_000..8_000);
        let long = rng.random_range(100_000..6_000_000);
        let mode = if cut { Mode::Down } else { self.mode };
        match mode {
            Mode::Down => {
                Timing { effect: None, answer: rng.random_range(1_000..900_000), lost: true }
            }
            Mode::Slow => Timing { effect: Some(long), answer: long + quick, lost: false },
            // The effect may come long after the host was told that the outcome is unknown.
            Mode::Losing if rng.random_bool(0.5) => {
                Timing { effect: Some(long), answer: rng.random_range(1_000..500_000), lost: true }
            }
            _ => Timing { effect: Some(quick / 2), answer: quick, lost: false },
        }
    }

    pub fn read(&self, rng: &mut ChaCha8Rng) -> Vec<SeenRow> {
        let newest = self.history.len() - 1;
        let oldest = if self.mode == Mode::Stale { newest.saturating_sub(12) } else { newest };
        let rows = &self.history[rng.random_range(oldest..=newest)];
        let seen = rows.iter().map(|(slot, (version, row))| SeenRow {
            slot: *slot,
            version: *version,
            row: row.clone(),
        });
        seen.collect()
    }

    pub fn write(&mut self, writes: &[ShareWrite]) -> WriteResult {
        let mut rows = self.history.last().expect("the first state").clone();
        let version = |write: &ShareWrite| rows.get(&write.slot).map_or(RowVersion(0), |row| row.0);
        if writes.iter().any(|write| version(write) != write.expected) {
            return WriteResult::Conflict;
        }
        let commit = RowVersion(self.history.len() as u64);
        for write in writes {
            rows.insert(write.slot, (commit, write.row.clone()));
        }
        self.history.push(rows);
        WriteResult::Applied(commit)
    }
}
