//! Host processes, started with the command of the deploy file.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: std::ffi::c_ulong) -> i32;
    fn sysconf(name: i32) -> std::ffi::c_long;
}

const SIGKILL: std::ffi::c_ulong = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// A kind of machine.
#[derive(Clone, Copy)]
pub struct Machine {
    /// Share of a core.
    pub share: f64,
    pub memory_mb: u64,
    pub descriptors: u64,
    pub link_mbps: u64,
}

/// The larger machines of Stimmwerk's grown site.
pub const LARGE: Machine =
    Machine { share: 0.5, memory_mb: 512, descriptors: 8_192, link_mbps: 200 };
impl Machine {
    /// Memory from which the platform ends a process.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb * 1024 * 1024
    }
}

/// The settings of a host; the bounds are those of Stimmwerk's grown site.
#[derive(Clone)]
pub struct HostSpec {
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    pub machine: Machine,
    pub front: u16,
    pub probe: u16,
    pub peers: u16,
    pub metrics: u16,
    pub folder: PathBuf,
}

impl HostSpec {
    pub fn new(name: &str, zone: &str, machine: Machine, store: SocketAddr, folder: &Path) -> Self {
        let [front, probe, peers, metrics] = free_ports();
        Self {
            name: name.into(),
            zone: zone.into(),
            store,
            machine,
            front,
            probe,
            peers,
            metrics,
            folder: folder.into(),
        }
    }

    pub fn front_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.front))
    }

    pub fn probe_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.probe))
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    pub fn write_settings(&self) {
        let Self { name, zone, store, front, probe, peers, .. } = self;
        let Machine { share, memory_mb, descriptors, link_mbps } = self.machine;
        let text = format!(
            r#"{{"nodeName":"{name}","role":"proxy","machineClass":"frontend","serves":["frontend"],"ip":"127.0.0.1","zone":"{zone}","region":"r",
"zones":{{"z1":"r","z2":"r","z3":"r"}},
"bindAddrs":{{"frontend":"127.0.0.1:{front}","readiness":"127.0.0.1:{probe}"}},
"internalPortRange":[{peers},{peers}],"seedNodes":[],"bootstrap":true,"faultCounted":false,
"limits":{{"cpuShare":{share},"cpuCores":1,"memoryMb":{memory_mb},"maxFds":{descriptors},"linkMbps":{link_mbps}.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entrypoint":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","recover","health","pool","sql","tenants","quota","platform"],
"faultTolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"addressReuseS":2,"contactMs":5000,"ackMs":8000,"catchUpS":6,"drainMs":10000,"graceS":6,"lossSlackMs":200,"configApplyMs":5000,"rollbackSlackMs":250,"maxSkewMs":15000,"strictRevocation":false,"revokeMs":5000,"quotaWindowS":5,"quotaOverage":0.1,"quotaSlack":20,"recoveryS":15,"requireFencing":true,"thawMs":300}},
"platform":{{"address":"{store}","form":"table","writesPerS":1200,"readsPerS":6000,"txMs":6.0,"partWritesS":200,"rowBytes":65536,"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}},
"cloudApi":{{"address":"{store}","ratePerS":50.0,"duties":["failover"],"dutyPerS":50.0}}}}
"#
        );
        std::fs::write(self.settings_path(), text).expect("the settings can be written");
    }

    /// Starts the process.
    pub fn start(&self) -> Host {
        self.write_settings();
        let path = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(path).expect("a log file");
        let mut command = Command::new("target/release/medlarstile");
        // The host ends with the thread that started it, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .args(["--log-format", "json", "--log-output", "stdout", "platform-host"])
            .env("MEDLARSTILE_NODE_FILE", self.settings_path())
            .env("MEDLARSTILE_METRICS_PORT", self.metrics.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log file")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the host starts");
        Host { spec: self.clone(), child }
    }
}

/// A running host. It is killed when it is dropped.
pub struct Host {
    pub spec: HostSpec,
    child: Child,
}

impl Host {
    /// Limits the process to its machine's share of a core, as a quota in each tenth of a second, until
    /// the returned value is dropped.
    pub fn limit_processor(&self) -> Quota {
        let stop = Arc::new(AtomicBool::new(false));
        let (ended, share) = (Arc::clone(&stop), self.spec.machine.share);
        let process = self.child.id() as i32;
        let thread = thread::spawn(move || {
            let running = Duration::from_millis(100).mul_f64(share);
            while !ended.load(Ordering::Relaxed) {
                // The process is a child of this one that was not waited for, so the id is still its
                // own.
                unsafe { kill(process, SIGSTOP) };
                thread::sleep(Duration::from_millis(100) - running);
                unsafe { kill(process, SIGCONT) };
                thread::sleep(running);
            }
        });
        Quota { stop, thread: Some(thread) }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("the host can be killed");
        self.child.wait().expect("the host ends");
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().expect("the host can be asked").map(|status| status.to_string())
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/statm", self.child.id())).unwrap_or_default();
        let pages = text.split(' ').nth(1).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        pages * page_bytes()
    }

    /// Processor time that the process has used.
    pub fn processor_time(&self) -> Duration {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        // The name of the program, in parentheses, may hold blanks.
        let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |place: usize| {
            fields.get(place).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0)
        };
        Duration::from_millis((ticks(11) + ticks(12)) * 1_000 / ticks_per_second())
    }

    /// Waits until the host is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if probe(self.spec.probe_address(), Duration::from_millis(500)) == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// The limit of a process's share of a core.
pub struct Quota {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Quota {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        drop(self.thread.take().map(JoinHandle::join));
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// The status of a readiness probe; none without an answer in `limit`.
pub fn probe(address: SocketAddr, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n").ok()?;
    let mut answer = [0; 64];
    let count = stream.read(&mut answer).ok()?;
    String::from_utf8_lossy(&answer[..count]).split(' ').nth(1)?.parse().ok()
}

/// A setting of the system; the numbers of the names are those of Linux.
fn setting(name: i32) -> u64 {
    u64::try_from(unsafe { sysconf(name) }).unwrap_or(1).max(1)
}

fn page_bytes() -> u64 {
    setting(30)
}

fn ticks_per_second() -> u64 {
    setting(2)
}

/// Ports that are free for TCP and UDP.
fn free_ports<const N: usize>() -> [u16; N] {
    let mut held = Vec::new();
    while held.len() < N {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        if let Ok(socket) = UdpSocket::bind(("127.0.0.1", port)) {
            held.push((port, listener, socket));
        }
    }
    let ports: Vec<u16> = held.iter().map(|(port, _, _)| *port).collect();
    ports.try_into().expect("the number of ports")
}
