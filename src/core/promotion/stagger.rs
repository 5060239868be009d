//! Delays by which hosts attempt a promotion one after the other.

use sha2::{Digest, Sha256};

use crate::types::{DurationMs, GroupId, HostId, Term};

/// Delay between the attempts of two hosts of consecutive rank, longer than a compare-and-set
/// takes.
pub const STAGGER_STEP: DurationMs = DurationMs(150);

/// Longest delay, which adds to the failover gap. All hosts ranked later wait this long.
pub const STAGGER_MAX: DurationMs = DurationMs(450);

fn rank_key(group: &GroupId, term: Term, host: &HostId) -> [u8; 32] {
    Sha256::digest(format!("{group}/{term}/{host}")).into()
}

/// Delay of `host` before it attempts to promote `term`. `hosts` are ranked by a hash of group,
/// term and host.
pub fn stagger(group: &GroupId, term: Term, host: &HostId, hosts: &[HostId]) -> DurationMs {
    let own_key = rank_key(group, term, host);
    let others = hosts.iter().filter(|other| *other != host);
    let rank = others.filter(|other| rank_key(group, term, other) < own_key).count() as u64;
    DurationMs((rank * STAGGER_STEP.0).min(STAGGER_MAX.0))
}
