//! Model of the group's row in the table service, with compare-and-set, outdated reads and lost
//! answers.

use medlarstile::core::promotion::{GroupRecord, SwapFault};
use medlarstile::types::RowVersion;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

#[derive(Debug)]
pub struct Store {
    pub down: bool,
    /// Calls take up to 1.2 s to arrive, which reorders them.
    pub slow: bool,
    /// Percentage of the answers that are lost after the call has taken effect.
    pub lost_percent: u32,
    rows: Vec<(RowVersion, GroupRecord)>,
}

impl Store {
    pub fn new() -> Self {
        Self { down: false, slow: false, lost_percent: 0, rows: Vec::new() }
    }

    /// Reads the row. One read in ten returns the version before the latest one.
    pub fn read(&self, rng: &mut ChaCha8Rng) -> Option<(RowVersion, GroupRecord)> {
        let stale = usize::from(rng.random_ratio(1, 10));
        let place = self.rows.len().checked_sub(1 + stale)?;
        Some(self.rows[place].clone())
    }

    pub fn swap(
        &mut self,
        expected: RowVersion,
        record: GroupRecord,
    ) -> Result<RowVersion, SwapFault> {
        let present = self.rows.last().map_or(RowVersion(0), |(version, _)| *version);
        if present != expected {
            return Err(SwapFault::Conflict);
        }
        self.rows.push((present.next(), record));
        Ok(present.next())
    }

    pub fn loses_answer(&self, rng: &mut ChaCha8Rng) -> bool {
        rng.random_ratio(self.lost_percent, 100)
    }
}
