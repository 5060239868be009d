//! Connections between hosts: QUIC over one UDP socket per host.

mod actor;
mod counters;
mod link;
mod names;
mod tls;

pub use actor::{PeerActor, PeerEvent, PeerSpec, PeerTarget};
pub use counters::PeerCounters;
pub use names::{chart, PeerAction, PeerChart, PeerChartEvent, PeerGuard, PeerState};
