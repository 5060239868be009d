//! The link between hosts: QUIC connections over one UDP socket.

mod actor;
mod counters;
mod link;
mod names;
mod tls;

pub use actor::{PeerActor, PeerEvent, PeerSpec, PeerTarget};
pub use counters::PeerCounters;
pub use names::{chart, PeerAction, PeerChart, PeerGuard, PeerState, PeerStep};
