//! The process of a host on the platform: its signals and its settings.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};

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
    (child, file)
}

fn signal(child: &Child, signal: Signal) {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw).expect("a process id");
    kill_process(pid, signal).expect("the signal is sent");
}

/// Reads the log up to the line with `message`.
fn wait_for(log: &mut impl BufRead, message: &str) {
    let mut line = String::new();
    while log.read_line(&mut line).expect("text") > 0 {
        if line.contains(message) {
            return;
        }
        line.clear();
    }
    panic!("the host ended without {message:?}");
}

/// Guards against a host that ends at SIGHUP, as seven did in a bench run (kitami-hyoka, mix, seed
/// 565566699959), and against one that does not stop at SIGTERM.
#[test]
fn a_hangup_reads_the_settings_again() {
    let (mut child, file) = start("hangup");
    let mut log = BufReader::new(child.stdout.take().expect("a log"));
    wait_for(&mut log, "host: starting");
    signal(&child, Signal::HUP);
    wait_for(&mut log, "host: settings were read again");
    signal(&child, Signal::TERM);
    wait_for(&mut log, "host: stopped");
    assert!(child.wait().expect("an end").success());
    std::fs::remove_file(file).expect("the settings are removed");
}
