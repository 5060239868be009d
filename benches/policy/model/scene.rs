//! What happens in each scenario.

use derive_more::{Display, FromStr};
use rand::Rng;

use super::store::Mode;
use super::tables::{self, HOSTS};
use super::{Event, World, MS, S};

/// A scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Scenario {
    /// Nothing happens.
    Steady,
    /// One account sends five times its rate.
    Burst,
    /// All requests of one account go to one host.
    Skew,
    /// The primary of one group is lost.
    PrimaryLost,
    /// A failure domain is cut off from the others and from the platform.
    DomainCut,
    /// The platform is down.
    PlatformDown,
    /// The platform takes 0.5 to 1.5 s per call.
    PlatformSlow,
    /// All hosts are replaced one by one.
    Rolling,
    /// A key is withdrawn.
    KeyWithdrawn,
    /// The tables are edited.
    TableEdit,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 10] = [
    Scenario::Steady,
    Scenario::Burst,
    Scenario::Skew,
    Scenario::PrimaryLost,
    Scenario::DomainCut,
    Scenario::PlatformDown,
    Scenario::PlatformSlow,
    Scenario::Rolling,
    Scenario::KeyWithdrawn,
    Scenario::TableEdit,
];

/// How far a scenario has come.
#[derive(Debug, Default)]
pub struct Scene {
    /// Hosts that were replaced.
    pub replaced: usize,
    /// Hosts that were told to stop.
    stopped: usize,
}

/// Time between two steps of a scenario.
const STEP: u64 = 20 * MS;
/// Time after the start of counting at which something happens.
const STARTS: u64 = S;

impl World {
    pub(super) fn on_scene(&mut self, step: u64) {
        let first = step == STARTS / STEP;
        match self.options.scenario {
            Scenario::Steady | Scenario::Skew => return,
            Scenario::Burst => return self.measures.offender = Some(super::callers::SPECIAL),
            Scenario::PrimaryLost if first => self.lose_primary(),
            Scenario::DomainCut if first => self.cut_domain(),
            Scenario::PlatformDown if first => self.store.mode = Mode::Down,
            Scenario::PlatformSlow if first => self.store.mode = Mode::Slow,
            Scenario::KeyWithdrawn if first => self.edit(tables::withdraw),
            Scenario::TableEdit if first => self.edit(|row| row.burst.0 += 1),
            Scenario::Rolling => self.replace_next(),
            _ => {}
        }
        self.note_in_force();
        self.later(STEP, Event::Scene(step + 1));
    }

    fn lose_primary(&mut self) {
        self.measures.lost_at = Some(self.now);
        self.measures.lost_group = Some(0);
        self.endpoints[0].up = false;
        self.lose_connections(0);
    }

    fn cut_domain(&mut self) {
        let domain = self.endpoints[0].domain;
        self.measures.lost_at = Some(self.now);
        self.measures.lost_group = Some(0);
        self.cut = Some(domain);
        self.measures.cut_hosts =
            (0..HOSTS).filter(|host| self.hosts[*host].domain == domain).collect();
    }

    fn edit(&mut self, change: impl Fn(&mut medlarstile::tables::RouteRow)) {
        let edited = tables::edited(&self.tables, change);
        self.store.edit(tables::checked(&edited));
        self.measures.changed_at = Some(self.now);
        self.measures.withdrawn = self.options.scenario == Scenario::KeyWithdrawn;
    }

    /// Notes when every host uses the edited tables.
    fn note_in_force(&mut self) {
        let Some(changed) = self.measures.changed_at else { return };
        let version = Some(self.store.tables.version());
        let all = self.hosts.iter().all(|host| host.core.view().version() == version);
        if all && self.measures.in_force.is_none() {
            self.measures.in_force = Some(self.now - changed);
        }
    }

    /// Stops the next host once the one before has been replaced and accepts callers.
    fn replace_next(&mut self) {
        let scene = &self.scene;
        let ready = self.hosts.iter().all(|host| host.listening);
        if scene.stopped == scene.replaced && scene.replaced < HOSTS && ready {
            let host = scene.stopped;
            self.scene.stopped += 1;
            let now = self.clock(host);
            let lag = self.rng.random_range(0..self.options.notice_ms.as_us());
            self.hosts[host].unlisted_at = Some(self.now + lag);
            self.hosts[host].core.stop(now);
            self.carry_out(host);
        }
    }
}
