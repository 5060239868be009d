//! The platform's stand-ins around the hosts, and the hosts themselves: the project's program, as the
//! deploy file starts it.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::database::Group;
use crate::net::{serve, Store};
use crate::record::Record;

/// Memory of a host in a small deployment.
const MEMORY_MB: u64 = 260;

/// Store and promotion service.
pub struct Platform {
    rows: Arc<Store>,
    store: SocketAddr,
    promotions: SocketAddr,
}

impl Platform {
    /// Starts both, with a configuration for the first group, and lets the backends register.
    pub fn start(record: &Arc<Record>, groups: &[Arc<Group>]) -> Self {
        let rows = Store::new();
        let service = &groups[0].service;
        let config = configuration(7, service, &["tenant-a", "tenant-b"], "1");
        rows.put("op", "config", &config);
        let (groups, registered) = (groups.to_vec(), Arc::clone(&rows));
        let register = move |sequence| {
            for group in &groups {
                for (id, entry) in group.entries(sequence) {
                    registered.put("servers", &id, &entry);
                }
            }
        };
        register(1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                register(sequence);
            }
        });
        let served = Arc::clone(&rows);
        let store = serve("127.0.0.1", move |request| served.answer(request));
        let record = Arc::clone(record);
        let promotions = serve("127.0.0.1", move |request| {
            record.line(&format!("platform: {} {} {}", request.method, request.path, request.body));
            Some((409, "{}".into()))
        });
        Self { rows, store, promotions }
    }

    /// Writes a configuration as the operator does; its return is the acknowledgement.
    pub fn configure(&self, config: &str) {
        self.rows.put("op", "config", config);
    }
}

/// A configuration with a key for each tenant, and `priority` for its route.
pub fn configuration(version: u64, service: &str, tenants: &[&str], priority: &str) -> String {
    let tenant = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"apiKeys\":[\"key-of-{name}\"],\"priority\":1,\"ratePerS\":127,\"burst\":127}}")
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"database\":\"main\",\"prefix\":\"/\",\
         \"type\":\"read_your_writes\",\"timeoutMs\":20000,\"targetLatencyMs\":20000,\"priority\":{priority},\
         \"service\":\"{service}\",\"maxAttempts\":2,\"maxStalenessMs\":2500,\"public\":false}}],\
         \"services\":[{{\"name\":\"{service}\",\"healthCheckPath\":\"/health\",\"maxConnections\":16,\"protocol\":\"h1\",\
         \"tls\":false,\"syncReplicas\":0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
         \"txIdleMs\":3000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

struct Watched {
    peak_kb: AtomicU64,
    killed: AtomicBool,
    ended: AtomicBool,
}

/// One host process.
pub struct Host {
    pub name: String,
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    child: Arc<Mutex<Child>>,
    watched: Arc<Watched>,
}

fn free_port(ip: &str) -> Result<u16, String> {
    for _ in 0..50 {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let port = listener.local_addr().map_err(|error| error.to_string())?.port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return Ok(port);
        }
    }
    Err("no free port".into())
}

impl Host {
    /// Starts `count` hosts, each at its own loopback address.
    pub fn start_all(
        record: &Arc<Record>,
        folder: &Path,
        platform: &Platform,
        count: usize,
    ) -> Result<Vec<Self>, String> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .and_then(|rest| rest.strip_suffix('"'));
        let run: Vec<&str> = run.ok_or("the deploy file has no command")?.split(' ').collect();
        let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
        let _ = folder;
        let mut hosts = Vec::new();
        for index in 0..count {
            let started = Self::start(record, &temporary, &run, platform, index);
            match started {
                Ok(host) => hosts.push(host),
                Err(error) => {
                    Self::end_all(hosts);
                    return Err(error);
                }
            }
        }
        Ok(hosts)
    }

    fn start(
        record: &Arc<Record>,
        temporary: &Path,
        run: &[&str],
        platform: &Platform,
        index: usize,
    ) -> Result<Self, String> {
        let ip = format!("127.0.0.{}", 11 + index);
        let name = format!("frontend-z1-{}", index + 1);
        let (frontend, readiness, peers) = (free_port(&ip)?, free_port(&ip)?, free_port(&ip)?);
        let settings = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"proxy\",\"machineClass\":\"frontend\",\"serves\":[\"frontend\"],\"ip\":\"{ip}\",\
             \"zone\":\"z1\",\"region\":\"r1\",\"zones\":{{\"z1\":\"r1\"}},\
             \"bindAddrs\":{{\"frontend\":\"{ip}:{frontend}\",\"readiness\":\"{ip}:{readiness}\"}},\
             \"internalPortRange\":[{peers},{peers}],\"seedNodes\":[],\"bootstrap\":true,\"faultCounted\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cpuCores\":1,\"memoryMb\":{MEMORY_MB},\"maxFds\":4200,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entrypoint\":\"vip\",\"heartbeatMs\":1200,\
             \"bounds\":{{\"contactMs\":4000,\"drainMs\":7000,\"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":3000,\
             \"rollbackSlackMs\":250,\"quotaWindowS\":5,\"recoveryS\":12,\"requireFencing\":true,\"thawMs\":300}},\
             \"platform\":{{\"address\":\"{}\",\"form\":\"table\",\"writesPerS\":400,\"readsPerS\":2000,\"txMs\":6.0,\
             \"partWritesS\":200,\"rowBytes\":65536,\"across\":false,\"historyS\":20}},\
             \"cloudApi\":{{\"address\":\"{}\",\"ratePerS\":50.0,\"duties\":[\"failover\"],\"dutyPerS\":50.0}}}}",
            platform.store, platform.promotions
        );
        let path = temporary.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let output = File::create(temporary.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = output.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(run[0]);
        command.args(&run[1..]).env_clear().env("MEDLARSTILE_NODE_FILE", &path);
        for kept in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(kept) {
                command.env(kept, value);
            }
        }
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = command.spawn().map_err(|error| format!("{}: {error}", run[0]))?;
        record.line(&format!("platform: {name} was started"));
        let watched = Arc::new(Watched {
            peak_kb: AtomicU64::new(0),
            killed: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let host = Self {
            frontend: SocketAddr::new(ip.parse().expect("an address"), frontend),
            readiness: SocketAddr::new(ip.parse().expect("an address"), readiness),
            name,
            child: Arc::new(Mutex::new(child)),
            watched,
        };
        host.watch(record);
        Ok(host)
    }

    /// Kills the process when it holds more memory than it may, as the platform does.
    fn watch(&self, record: &Arc<Record>) {
        let (child, watched, name, record) = (
            Arc::clone(&self.child),
            Arc::clone(&self.watched),
            self.name.clone(),
            Arc::clone(record),
        );
        let pid = child.lock().expect("child").id();
        thread::spawn(move || {
            while !watched.ended.load(Ordering::Relaxed) {
                let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
                let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
                let resident = resident
                    .and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
                let resident = resident.unwrap_or(0);
                watched.peak_kb.fetch_max(resident, Ordering::Relaxed);
                if resident > MEMORY_MB * 1024 && !watched.killed.swap(true, Ordering::Relaxed) {
                    record.line(&format!(
                        "platform: {name} holds {} MB of {MEMORY_MB} and is killed",
                        resident / 1024
                    ));
                    let _ = child.lock().expect("child").kill();
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    pub fn was_killed(&self) -> bool {
        self.watched.killed.load(Ordering::Relaxed)
    }

    pub fn peak_mb(&self) -> u64 {
        self.watched.peak_kb.load(Ordering::Relaxed) / 1024
    }

    /// Waits until the readiness probe is answered with 200.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(mut socket) =
                TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))
            {
                let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
                let _ = socket.write_all(
                    b"GET /api/readiness HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
                );
                let mut answer = [0_u8; 64];
                let count = socket.read(&mut answer).unwrap_or(0);
                if answer[..count].starts_with(b"HTTP/1.1 200") {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{} did not get ready", self.name))
    }

    /// Ends all processes.
    pub fn end_all(hosts: Vec<Self>) {
        drop(hosts);
        let _ = fs::remove_dir_all(
            std::env::temp_dir().join(format!("review-2-{}", std::process::id())),
        );
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.watched.ended.store(true, Ordering::Relaxed);
        let mut child = self.child.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
}
