//! Plays one case of the review: stand-ins of the platform, the backends and the clients around
//! real processes of the system. Usage: standin CASE RECORD; TROUBLE=0 leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod client;
mod drain;
mod host;
mod json;
mod pinned;
mod record;
mod store;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use backend::{Figures, Group};
use host::{Host, Place};
use record::Record;
use store::Store;

/// The figures of kitami-hyoka's `orders-db`.
pub const ORDERS_DB: Figures = Figures {
    slots: 3,
    queue: 16,
    connections: 38,
    connect_ms: 27,
    lag_ms: 60,
    promote_ms: 600,
    work_ms: 24,
};

pub const KEYS: [&str; 8] = ["k1a", "k2b", "k3c", "k4d", "k5e", "k6f", "k7g", "k8h"];

/// A small deployment on loopback addresses of its own.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub groups: Vec<Arc<Group>>,
    pub hosts: Vec<Arc<Host>>,
    net: String,
    folder: PathBuf,
}

impl World {
    /// Starts `hosts` hosts in three zones and the services with their backends, and writes the first
    /// configuration. Returns nothing if the hosts do not become ready.
    pub fn start(hosts: usize, services: usize, figures: &Figures) -> Option<Self> {
        let process = std::process::id();
        let net = format!("127.{}.{}", 10 + process % 200, process / 200 % 250);
        let folder = std::env::temp_dir().join(format!("review-{process}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let record = Arc::new(Record::new());
        let (store, platform) = Store::start(&format!("{net}.1"), &record);
        let zones = ["a", "b", "c"];
        let mut groups = Vec::new();
        for place in 0..services {
            let (name, ip) = (format!("orders{place}"), format!("{net}.{}", 100 + place));
            groups.push(Group::start(&name, &ip, &zones, figures.clone(), &store, &record));
        }
        store.put("op", "config", &configuration(services, figures.connections));
        let mut world = Self { record, store, groups, hosts: Vec::new(), net, folder };
        for place in 0..hosts {
            let (name, ip) = (format!("frontend-{place}"), format!("{}.{}", world.net, 11 + place));
            let place = Place {
                name: &name,
                ip: &ip,
                zone: zones[place % zones.len()],
                platform,
                folder: Path::new(&world.folder),
            };
            world.hosts.push(Host::start(&place, &world.record));
        }
        if !host::wait_until_ready(&world.hosts, Duration::from_secs(15)) {
            eprintln!("the hosts did not become ready");
            return None;
        }
        // Traffic starts some seconds after the machines do.
        std::thread::sleep(Duration::from_secs(4));
        Some(world)
    }

    /// Address on which further backends of a service run.
    pub fn backend_ip(&self, service: usize) -> String {
        format!("{}.{}", self.net, 100 + service)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.hosts.iter().for_each(|host| host.kill());
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Routes `entry` (primary), `sheet` (bounded_staleness) and `check` (read_your_writes) for each
/// service, as kitami-hyoka has them, and eight tenants.
fn configuration(services: usize, connections: usize) -> String {
    let (mut routes, mut listed) = (Vec::new(), Vec::new());
    for place in 0..services {
        let service = format!("orders{place}");
        let route = |name: &str, kind: &str, timeout: u32, target: u32, more: &str| {
            format!(
                r#"{{"name":"{name}{place}","database":"{name}{place}","prefix":"/","type":"{kind}","timeoutMs":{timeout},"targetLatencyMs":{target},"priority":1,"service":"{service}","maxAttempts":2{more},"public":false}}"#
            )
        };
        routes.push(route("entry", "primary", 1000, 200, ""));
        routes.push(route("sheet", "bounded_staleness", 2000, 600, r#","maxStalenessMs":1500"#));
        routes.push(route("check", "read_your_writes", 1000, 400, r#","maxStalenessMs":2500"#));
        listed.push(format!(
            r#"{{"name":"{service}","healthCheckPath":"/health","maxConnections":{connections},"protocol":"h1","tls":false,"syncReplicas":0}}"#
        ));
    }
    let tenants: Vec<String> = KEYS
        .iter()
        .enumerate()
        .map(|(place, key)| {
            format!(r#"{{"name":"tenant{place}","apiKeys":["{key}"],"priority":1,"ratePerS":400,"burst":400}}"#)
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}},"tenants":[{}]}}"#,
        routes.join(","),
        listed.join(","),
        tenants.join(",")
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let broken = match case.as_str() {
        "pinned" => pinned::play(trouble, record),
        "drain-relay" => drain::play(&drain::RELAYED, trouble, record),
        "drain-own" => drain::play(&drain::OWN, trouble, record),
        "drain-lists" => drain::play(&drain::LISTS, trouble, record),
        _ => None,
    };
    std::process::exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
