//! The process of a host on the platform: its signals and its settings.

use std::io::Read;
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// Longest wait for a process to do what it is asked.
const LIMIT: Duration = Duration::from_secs(10);

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

/// A host whose store refuses every connection, and its settings file.
fn start(name: &str) -> (Child, std::path::PathBuf) {
    let [front, probe, link, store, metrics] = [(); 5].map(|()| free_port());
    let text = format!(
        r#"{{"nodeName":"h1","ip":"127.0.0.1","zone":"a",
        "bindAddrs":{{"frontend":"127.0.0.1:{front}","readiness":"127.0.0.1:{probe}"}},
        "internalPortRange":[{link},{link}],"bounds":{{"graceS":6}},
        "platform":{{"address":"127.0.0.1:{store}"}},"cloudApi":{{"address":"127.0.0.1:{store}"}}}}"#
    );
    let file = std::env::temp_dir().join(format!("medlarstile-{name}-{}", std::process::id()));
    std::fs::write(&file, text).expect("the settings are written");
    let child = Command::new(env!("CARGO_BIN_EXE_medlarstile"))
        .args(["--log-format", "json", "--log-output", "stdout", "platform-host"])
        .args(["--metrics-port", &metrics.to_string()])
        .env("MEDLARSTILE_NODE_FILE", &file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the host starts");
    sleep(Duration::from_millis(500));
    (child, file)
}

fn signal(child: &Child, signal: Signal) {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw).expect("a process id");
    kill_process(pid, signal).expect("the signal is sent");
}

/// Guards against a host that ends at SIGHUP, as seven did in a hunt (kitami-hyoka, mix, seed
/// 565566699959), and against one that does not stop at SIGTERM.
#[test]
fn a_hangup_reads_the_settings_again() {
    let (mut child, file) = start("hangup");
    signal(&child, Signal::HUP);
    sleep(Duration::from_millis(500));
    assert_eq!(child.try_wait().expect("a state"), None, "the host ended at SIGHUP");
    signal(&child, Signal::TERM);
    let begun = Instant::now();
    while child.try_wait().expect("a state").is_none() {
        assert!(begun.elapsed() < LIMIT, "the host did not stop at SIGTERM");
        sleep(Duration::from_millis(20));
    }
    let mut log = String::new();
    child.stdout.take().expect("a log").read_to_string(&mut log).expect("text");
    assert!(log.contains("host: settings were read again"), "{log}");
    assert!(log.contains("host: stopped"), "{log}");
    std::fs::remove_file(file).expect("the settings are removed");
}
