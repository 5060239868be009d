//! The decision core of one host: sessions and requests, rate limits, shares, tables and the
//! host's lifecycle.
//!
//! [`HostCore`] combines the parts of the core. The task that owns the sockets calls one method per
//! event and carries out the effects that [`HostCore::drain`] returns. Tests with a paused clock
//! and other front ends use the same code.

mod decisions;
mod effect;
mod platform;
mod roster;
mod sessions;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use effect::{HostEffect, RoutePlan};
use roster::Roster;
pub use sessions::Login;

use crate::core::broker::{Broker, BrokerSettings};
use crate::core::life::{DrainTimes, Life, LifeAction, LifeEvent, LifeState, Remaining};
use crate::core::limit::{LimitEffect, LimitPeer, Limiter};
use crate::core::share::{Holder, ShareEffect, ShareKeeper, ShareSettings};
use crate::core::view::{Authority, Member, TableView, ViewEffect, ViewStep};
use crate::timeline::{Decision, Event};
use crate::types::{DurationMs, FailureDomain, HostId, Incarnation, SessionId, Timestamp};

/// Longest time a starting host waits for a share of the rate limits before it accepts callers.
/// The other hosts release shares within one of their read intervals.
const SHARES_WAIT_LIMIT: DurationMs = DurationMs(10_000);

/// Identity and settings of a host.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Id of the host.
    pub host: HostId,
    /// This run of the host's process.
    pub incarnation: Incarnation,
    /// Address for peers. A newer incarnation at the same address proves that this one has ended.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub home: FailureDomain,
    /// Request scheduling policy.
    pub broker: BrokerSettings,
    /// Lease settings of share slots.
    pub shares: ShareSettings,
    /// Time limits of a graceful stop.
    pub drain: DrainTimes,
}

/// Combines the broker, the rate limits, the shares, the view of the tables and the lifecycle.
pub struct HostCore {
    spec: HostSpec,
    broker: Broker,
    limiter: Limiter,
    share_keeper: ShareKeeper,
    view: TableView,
    life: Life,
    roster: Roster,
    logins: BTreeMap<SessionId, Login>,
    tables_read_at: Option<Timestamp>,
    /// Number of callers whose connections are open.
    open_callers: usize,
    effects: Vec<HostEffect>,
    decisions: Vec<Decision>,
}

impl HostCore {
    /// Creates a host that has not read any tables. `rng` must differ between incarnations, because
    /// attempt ids are drawn from it.
    pub fn new(spec: HostSpec, mut rng: ChaCha8Rng) -> Self {
        let mut new_rng = || ChaCha8Rng::seed_from_u64(rng.random());
        let member = Member { host: spec.host.clone(), incarnation: spec.incarnation };
        let holder = Holder {
            host: spec.host.clone(),
            incarnation: spec.incarnation,
            address: spec.address,
        };
        let (home, slots) = (spec.home.clone(), spec.shares.slots);
        Self {
            broker: Broker::new(spec.broker.clone(), new_rng()),
            limiter: Limiter::new(spec.incarnation, home, slots, new_rng()),
            share_keeper: ShareKeeper::new(holder, spec.shares, new_rng()),
            view: TableView::new(member),
            life: Life::new(spec.drain),
            roster: Roster::default(),
            logins: BTreeMap::new(),
            tables_read_at: None,
            open_callers: 0,
            effects: Vec::new(),
            decisions: Vec::new(),
            spec,
        }
    }

    /// Takes the effects collected since the last call.
    pub fn drain(&mut self) -> Vec<HostEffect> {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in self.broker.drain() {
            self.note_effect(&effect);
            effects.push(HostEffect::Broker(effect));
        }
        effects
    }

    /// Identity and settings of the host.
    pub fn spec(&self) -> &HostSpec {
        &self.spec
    }

    /// Lifecycle state of the host.
    pub fn state(&self) -> LifeState {
        self.life.state()
    }

    /// The broker, which holds requests and connections.
    pub fn broker(&self) -> &Broker {
        &self.broker
    }

    /// The broker, to which the socket owner reports endpoint and group record events.
    pub fn broker_mut(&mut self) -> &mut Broker {
        &mut self.broker
    }

    /// The host's view of the tables.
    pub fn view(&self) -> &TableView {
        &self.view
    }

    /// Which routes the host may serve now.
    pub fn authority(&mut self, now: Timestamp) -> Authority {
        self.view.authority(now)
    }

    /// Runs everything that is due by time; must be called at least every 50 ms.
    pub fn tick(&mut self, now: Timestamp) {
        for step in self.view.due(now) {
            self.effects.push(match step {
                ViewStep::Renew(renewal) => HostEffect::Renew(renewal),
                ViewStep::Read => HostEffect::ReadView,
                ViewStep::AskPeers => HostEffect::AskPeers,
            });
        }
        let change = self.view.check(now);
        self.view_effects(now, change.into_iter().collect());
        let mut effects = Vec::new();
        self.share_keeper.tick(now, &mut effects);
        self.share_effects(now, effects);
        let mut effects = Vec::new();
        self.limiter.tick(now, &mut effects);
        self.limit_effects(now, effects);
        self.broker.tick(now);
        self.advance_life(now);
    }

    /// Sets the number of callers whose connections are open, with or without a session.
    pub fn set_open_callers(&mut self, callers: usize) {
        self.open_callers = callers;
    }

    /// Starts a graceful stop, on request of the operator or the operating system.
    pub fn stop(&mut self, now: Timestamp) {
        self.life_event(now, LifeEvent::Stop);
    }

    /// Starts to accept callers once the tables are read and a share of the rate limits is held, or
    /// after [`SHARES_WAIT_LIMIT`] if the other hosts have not released any shares by then.
    fn start_serving(&mut self, now: Timestamp) {
        if self.view.tables().is_none() {
            return;
        }
        let read = *self.tables_read_at.get_or_insert(now);
        let usable = self.share_keeper.in_use().iter().any(|slot| slot.usable(now));
        if usable || now >= read + SHARES_WAIT_LIMIT {
            self.life_event(now, LifeEvent::Ready);
        }
    }

    fn advance_life(&mut self, now: Timestamp) {
        self.start_serving(now);
        let remaining = Remaining {
            idle: self.broker.is_drained() && self.open_callers == 0,
            released: self.share_keeper.is_stopped(),
        };
        if let Some(event) = self.life.due(now, remaining) {
            self.life_event(now, event);
        }
    }

    fn life_event(&mut self, now: Timestamp, event: LifeEvent) {
        let before = self.life.state();
        for action in self.life.fire(now, event) {
            match action {
                LifeAction::Listen => self.effects.push(HostEffect::Listen),
                LifeAction::AnnounceLeaving => self.effects.push(HostEffect::AnnounceLeaving),
                LifeAction::RefuseNewWork => {
                    self.effects.push(HostEffect::StopListening);
                    self.refuse_new_work(now);
                }
                LifeAction::EndTransactions => self.end_transactions(now),
                // `DrainTimes::finish_ms` is not set: a running request is never aborted.
                LifeAction::AbortRequests => {}
                LifeAction::ReleaseShares => {
                    let mut effects = Vec::new();
                    self.share_keeper.stop(now, &mut effects);
                    self.share_effects(now, effects);
                }
                LifeAction::Close => self.effects.push(HostEffect::Close),
            }
        }
        if before != self.life.state() {
            tracing::info!("host: {} is now {:?}", self.spec.host, self.life.state());
            let state = format!("{:?}", self.life.state()).to_lowercase();
            self.add_decision(Decision::new(Event::HostState).detail(state));
        }
    }

    fn share_effects(&mut self, now: Timestamp, effects: Vec<ShareEffect>) {
        for effect in effects {
            match effect {
                ShareEffect::Read => self.effects.push(HostEffect::ReadShares),
                ShareEffect::Write { attempt, writes } => {
                    self.effects.push(HostEffect::WriteShares { attempt, writes });
                }
                ShareEffect::Use(slots) => {
                    let numbers: Vec<String> =
                        slots.iter().map(|held| held.slot.to_string()).collect();
                    self.add_decision(
                        Decision::new(Event::SharesChanged).detail(numbers.join(",")),
                    );
                    self.limiter.set_shares(now, &slots);
                }
            }
        }
    }

    fn limit_effects(&mut self, now: Timestamp, effects: Vec<LimitEffect>) {
        for effect in effects {
            match effect {
                LimitEffect::Admit(request) => {
                    self.note_admitted(request);
                    self.broker.admit(now, request);
                }
                LimitEffect::Refuse(request, kind) => {
                    self.broker.refuse_admission(now, request, kind);
                }
                LimitEffect::Ask(host, request) => {
                    self.effects.push(HostEffect::AskTokens(host, request));
                }
            }
        }
    }

    fn view_effects(&mut self, now: Timestamp, effects: Vec<ViewEffect>) {
        for effect in effects {
            match effect {
                ViewEffect::Adopted { from, to } => {
                    tracing::info!("tables: adopted version {to}, previously {from:?}");
                    self.add_decision(Decision::new(Event::TablesAdopted).detail(to));
                    self.adopt_tables(now);
                    self.effects.push(HostEffect::Announce(to));
                }
                ViewEffect::StaleRead { commit_seq, version } => {
                    tracing::warn!(
                        "tables: ignored stale version {version} of commit {commit_seq}"
                    );
                }
                ViewEffect::Unlisted => {
                    tracing::warn!("tables: the row of this host is missing; registering again");
                }
                ViewEffect::WantTables(member) => self.effects.push(HostEffect::WantTables(member)),
                ViewEffect::AuthorityChanged { from, to } => {
                    tracing::info!("tables: authority is now {to:?}, previously {from:?}");
                    self.add_decision(Decision::new(Event::AuthorityChanged).detail(to));
                }
            }
        }
    }

    /// Sets the peers that this host is connected to, from which it can request tokens.
    pub fn set_peers(&mut self, peers: Vec<LimitPeer>) {
        self.limiter.set_peers(peers);
    }
}
