//! Model of a host: its clock, connections, group view and promotion, and its pending requests.

use medlarstile::core::group::{Floor, Freshness, GroupView, MemberSpec};
use medlarstile::core::promotion::Promotion;
use medlarstile::types::{EndpointId, Position, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ENDPOINTS;

/// Acknowledged writes that the answer of a read must include.
#[derive(Debug, Clone, Copy)]
pub enum RequiredWrites {
    /// The first acknowledged writes of a session: index of the session and number of writes.
    Session(usize, usize),
    /// The first acknowledged writes of the history: their number.
    Acks(usize),
}

#[derive(Debug, Clone)]
pub struct PendingRead {
    pub floor: Floor,
    pub freshness: Freshness,
    /// `None` for a read bounded by age, for which it is computed when the read is served.
    pub required: Option<RequiredWrites>,
    pub expires: u64,
}

/// A write, or the answer of a read by the primary, that waits until `position` is durable.
#[derive(Debug, Clone, Copy)]
pub struct PendingAnswer {
    pub position: Position,
    pub id: u64,
    pub submitted: u64,
    /// `None` for a read.
    pub session: Option<usize>,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Connection {
    /// Id of the connection and the endpoint's epoch, while the host takes it to be open.
    pub open: Option<(u64, u64)>,
    pub broken_at: Option<u64>,
}

#[derive(Debug)]
pub struct Host {
    pub incarnation: u64,
    pub paused_until: u64,
    clock_start: u64,
    clock_drift_ppm: i64,
    pub view: GroupView,
    pub promotion: Promotion,
    pub connections: [Connection; ENDPOINTS],
    pub pending_answers: Vec<PendingAnswer>,
    pub reads: Vec<PendingRead>,
}

pub fn endpoint_id(index: usize) -> EndpointId {
    format!("e{index}").parse().expect("an identifier")
}

pub fn endpoint_index(id: &EndpointId) -> usize {
    id.as_str()[1..].parse().expect("an endpoint of the model")
}

impl Host {
    pub fn new(index: usize, hosts: usize, incarnation: u64, rng: &mut ChaCha8Rng) -> Self {
        let domain = |index: usize| format!("d{index}").parse().expect("an identifier");
        let member =
            |index| MemberSpec { endpoint: endpoint_id(index), failure_domain: domain(index) };
        let members = (0..ENDPOINTS).map(member).collect();
        let view = GroupView::new("g".parse().expect("an identifier"), members);
        let id = |index: usize| format!("h{index}").parse().expect("an identifier");
        let mut promotion = Promotion::new(id(index), ChaCha8Rng::seed_from_u64(rng.random()));
        promotion.set_hosts((0..hosts).map(id).collect());
        Self {
            incarnation,
            paused_until: 0,
            clock_start: rng.random_range(0..1_000_000_000),
            clock_drift_ppm: rng.random_range(-499..=499),
            view: view.with_host_domain(domain(index % ENDPOINTS)),
            promotion,
            connections: Default::default(),
            pending_answers: Vec::new(),
            reads: Vec::new(),
        }
    }

    /// What the host's clock shows at the simulated time `time`.
    pub fn clock(&self, time: u64) -> Timestamp {
        let drift = time as i64 * self.clock_drift_ppm / 1_000_000;
        Timestamp(self.clock_start + time.saturating_add_signed(drift))
    }
}
