//! Messages between hosts about claims to the lead of groups.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::fleet_rows::WireClaim;
use super::peer_frame::PeerFault;
use crate::core::proxy::failover::Claim;
use crate::core::proxy::lease::{ClaimRows, Echo, Knowledge};
use crate::types::{GroupId, RowVersion, Timestamp};

/// What a host knows about claims; times are in microseconds on the sender's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireKnowledge {
    sent_at_us: u64,
    echo: Option<WireEcho>,
    newest: u64,
    complete: u64,
    age_us: u64,
}

/// A message that the sender has received; its send time is on the clock of its own sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEcho {
    sent_at_us: u64,
    held_us: u64,
}

/// Rows of groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireClaimRows {
    after: u64,
    complete: u64,
    rows: Vec<(CompactString, u64, WireClaim)>,
}

impl From<&Knowledge> for WireKnowledge {
    fn from(knowledge: &Knowledge) -> Self {
        Self {
            sent_at_us: knowledge.sent_at.0,
            echo: knowledge
                .echo
                .map(|echo| WireEcho { sent_at_us: echo.sent_at.0, held_us: echo.held_us }),
            newest: knowledge.newest.0,
            complete: knowledge.complete.0,
            age_us: knowledge.age_us,
        }
    }
}

impl From<WireKnowledge> for Knowledge {
    fn from(wire: WireKnowledge) -> Self {
        Self {
            sent_at: Timestamp(wire.sent_at_us),
            echo: wire
                .echo
                .map(|echo| Echo { sent_at: Timestamp(echo.sent_at_us), held_us: echo.held_us }),
            newest: RowVersion(wire.newest),
            complete: RowVersion(wire.complete),
            age_us: wire.age_us,
        }
    }
}

impl From<&ClaimRows> for WireClaimRows {
    fn from(rows: &ClaimRows) -> Self {
        let row = |(group, version, claim): &(GroupId, RowVersion, Claim)| {
            (CompactString::from(group.as_str()), version.0, WireClaim::from(claim))
        };
        let (after, complete) = (rows.after.0, rows.complete.0);
        Self { after, complete, rows: rows.rows.iter().map(row).collect() }
    }
}

impl TryFrom<WireClaimRows> for ClaimRows {
    type Error = PeerFault;

    fn try_from(wire: WireClaimRows) -> Result<Self, PeerFault> {
        let row = |(group, version, claim): (CompactString, u64, WireClaim)| {
            Ok((GroupId::from_external(&group)?, RowVersion(version), Claim::try_from(claim)?))
        };
        let rows: Result<_, PeerFault> = wire.rows.into_iter().map(row).collect();
        let (after, complete) = (RowVersion(wire.after), RowVersion(wire.complete));
        Ok(Self { after, complete, rows: rows? })
    }
}
