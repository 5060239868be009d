//! Replicas that lack a log position which a read needs.

mod proxy_rig;

use medlarstile::core::proxy::log_gap::LogGap;
use medlarstile::types::Timestamp;
use proxy_rig::{at, Rig, READ};
use yare::parameterized;

/// Guards against reads that are sent to a replica again and again while it lacks the same log
/// position, and against a replica that gets no reads once it has it.
#[parameterized(
    same = { 12, 10, 0, true },
    later = { 15, 10, 0, true },
    earlier = { 11, 10, 0, false },
    caught_up = { 12, 12, 0, false },
    after_a_while = { 12, 10, 400, false },
)]
fn a_replica_lacks_a_position_for_a_while(floor: u64, applied: u64, later_ms: u64, lacks: bool) {
    let mut gap = LogGap::default();
    gap.on_lagging(Timestamp(1_000_000), at(1, 14));
    gap.on_lagging(Timestamp(1_000_000), at(1, 12));
    let later = Timestamp(1_000_000 + later_ms * 1_000);
    assert_eq!(gap.covers(later, at(1, applied), at(1, floor)), lacks);
}

/// Guards against a read that a replica gets just after it has refused another one as lagging.
#[test]
fn a_read_after_a_lagging_one_goes_elsewhere() {
    let mut rig = Rig::new();
    let sessions = [1, 2].map(|number| rig.session(number, "lookups"));
    rig.send(sessions[0], READ);
    let (connection, lagging, _) = rig.next_job();
    rig.refuse_lagging(connection, at(1, 9));
    rig.send(sessions[1], READ);
    assert!(rig.jobs.iter().all(|(_, endpoint, _)| *endpoint != lagging), "{:?}", rig.jobs);
}
