//! Processes of the system under review, and the platform's part in front of them: readiness
//! probes and the choice of a host for each new connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Answers other than 200 of the readiness probe in a row.
    misses: Mutex<u32>,
    record: Arc<Record>,
}

/// Where a host runs and what it needs to know.
pub struct Place<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub platform: SocketAddr,
    pub folder: &'a Path,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Host {
    pub fn start(place: &Place, record: &Arc<Record>) -> Arc<Self> {
        let Place { name, ip, zone, platform, folder } = place;
        let (front, readiness, control) = (free_port(ip), free_port(ip), free_port(ip));
        let first = free_port(ip);
        let text = format!(
            r#"{{"nodeName":"{name}","role":"proxy","machineClass":"frontend","serves":["frontend"],
"ip":"{ip}","zone":"{zone}","region":"here","zones":{{"a":"here","b":"here","c":"here"}},
"bindAddrs":{{"frontend":"{ip}:{front}","readiness":"{ip}:{readiness}","controlPlane":"{ip}:{control}"}},
"internalPortRange":[{first},{first}],"seedNodes":[],"bootstrap":true,"faultCounted":false,
"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":260,"maxFds":4200,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entrypoint":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","recover","sql","tenants","quota","platform"],
"faultTolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"addressReuseS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":7000,"graceS":6,"lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,"maxSkewMs":12000,"strictRevocation":false,"revokeMs":5000,"quotaWindowS":5,"quotaOverage":0.1,"quotaSlack":20,"recoveryS":12,"requireFencing":true,"thawMs":300}},
"platform":{{"address":"{platform}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":6.0,"partWritesS":200,"rowBytes":65536,"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}},
"cloudApi":{{"address":"{platform}","ratePerS":50.0,"duties":["failover"],"dutyPerS":50.0}}}}"#
        );
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("the settings are written");
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        let host = Arc::new(Self {
            name: (*name).to_owned(),
            front: address(front),
            readiness: address(readiness),
            settings,
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
            misses: Mutex::new(2),
            record: Arc::clone(record),
        });
        host.run();
        let probed = Arc::clone(&host);
        thread::spawn(move || {
            loop {
                let ready = probed.probe();
                let mut misses = probed.misses.lock().unwrap();
                *misses = if ready { 0 } else { *misses + 1 };
                drop(misses);
                thread::sleep(Duration::from_secs(1));
            }
        });
        host
    }

    /// Starts the process with the command of the deploy file.
    pub fn run(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new("target/release/medlarstile")
            .args(["--log-format", "json", "--log-output", "stdout", "platform-host"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("MEDLARSTILE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                // The script ends the processes that are left if it is interrupted.
                if let Ok(path) = std::env::var("REVIEW_PIDS") {
                    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
                    let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
                }
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => {
                eprintln!("target/release/medlarstile does not start: {error}");
                std::process::exit(2);
            }
        }
        self.record.line(&self.name, "process started");
    }

    fn probe(&self) -> bool {
        let limit = Duration::from_millis(900);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let _ = stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: probe\r\n\r\n");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).is_ok() && &answer[9..] == b"200"
    }

    /// Whether the platform passes new connections to this host.
    pub fn in_rotation(&self) -> bool {
        *self.misses.lock().unwrap() < 2
    }

    pub fn signal(&self, name: &str) {
        let child = self.child.lock().unwrap();
        if let Some(child) = &*child {
            let _ =
                Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace. Returns the time
    /// of the SIGTERM.
    pub fn stop(&self, grace: Duration) -> u64 {
        let at = self.record.line(&self.name, "SIGTERM");
        let sent = Instant::now();
        self.signal("TERM");
        while !self.has_ended() && sent.elapsed() < grace {
            thread::sleep(Duration::from_millis(5));
        }
        if self.has_ended() {
            self.record.line(&self.name, "process ended by itself");
        } else {
            self.record.line(&self.name, "SIGKILL, as the process has not ended within graceS");
            self.kill();
        }
        at
    }

    pub fn kill(&self) {
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until the platform passes connections to all hosts.
pub fn wait_until_ready(hosts: &[Arc<Host>], limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if hosts.iter().all(|host| host.in_rotation()) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// The host that the platform chooses for a client's new connection.
pub fn choose(hosts: &[Arc<Host>], hash: usize) -> Arc<Host> {
    let ready: Vec<_> = hosts.iter().filter(|host| host.in_rotation()).collect();
    let pool = if ready.is_empty() { hosts.iter().collect() } else { ready };
    Arc::clone(pool[hash % pool.len()])
}
