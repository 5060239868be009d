//! The order in which hosts attempt a promotion.

use sha2::{Digest, Sha256};

use crate::types::{DurationMs, GroupId, HostId, Term};

/// Delay between one host's attempt and the next one's, more than a compare-and-set takes.
pub const STAGGER_STEP: DurationMs = DurationMs(150);

/// Longest delay, part of the failover gap; hosts beyond it share the last step.
pub const STAGGER_MAX: DurationMs = DurationMs(450);

fn rank_key(group: &GroupId, term: Term, host: &HostId) -> [u8; 32] {
    Sha256::digest(format!("{group}/{term}/{host}")).into()
}

/// Delay of `host` before it attempts to promote `term`, among `hosts`.
pub fn stagger(group: &GroupId, term: Term, host: &HostId, hosts: &[HostId]) -> DurationMs {
    let own = rank_key(group, term, host);
    let earlier = hosts.iter().filter(|other| *other != host);
    let rank = earlier.filter(|other| rank_key(group, term, other) < own).count() as u64;
    DurationMs((rank * STAGGER_STEP.0).min(STAGGER_MAX.0))
}
