//! A host process, which the soak starts, signals and ends by its id.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use rustix::process::{kill_process, Pid, Signal};

use super::ports::free_port;

/// A host.
pub struct Host {
    pub front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Host {
    /// Starts host `number` with the platform at `platform`; its files are in `folder`.
    pub fn start(folder: &Path, number: usize, platform: SocketAddr) -> Self {
        let [front, probe, link, metrics] = [(); 4].map(|()| free_port());
        let text = format!(
            r#"{{"nodeName":"h{number}","ip":"127.0.0.1","zone":"z{number}",
            "bindAddrs":{{"frontend":"127.0.0.1:{front}","readiness":"127.0.0.1:{probe}"}},
            "internalPortRange":[{link},{link}],"bounds":{{"graceS":4}},
            "platform":{{"address":"{platform}"}},"cloudApi":{{"address":"{platform}"}}}}"#
        );
        let settings = folder.join(format!("h{number}.json"));
        std::fs::write(&settings, text).expect("the settings are written");
        let log = folder.join(format!("h{number}.log"));
        let child = spawn(&settings, &log, metrics);
        Self { front: SocketAddr::from(([127, 0, 0, 1], front)), settings, log, child }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        // A host that has ended on its own is found when it is started again.
        let sent = kill_process(id.expect("a process id"), signal);
        sent.unwrap_or_else(|error| println!("{}: {error}", self.settings.display()));
    }

    /// Starts the process again after it was told to end; `Some` with its code if it had failed.
    pub fn restart(&mut self) -> Option<i32> {
        let ended = self.child.wait().expect("the host's end");
        self.child = spawn(&self.settings, &self.log, free_port());
        ended.code().filter(|code| *code != 0)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the host's state").is_some()
    }
}

fn spawn(settings: &Path, log: &Path, metrics: u16) -> Child {
    let open = |path: &Path| File::options().create(true).append(true).open(path);
    let (faults, log) = (log.with_extension("stderr"), open(log).expect("a log file"));
    Command::new(env!("CARGO_BIN_EXE_medlarstile"))
        .args(["--log-format", "json", "--log-output", "stdout", "platform-host"])
        .args(["--metrics-port", &metrics.to_string()])
        .env("MEDLARSTILE_NODE_FILE", settings)
        .stdout(log)
        .stderr(open(&faults).expect("a file for errors"))
        .spawn()
        .expect("the host starts")
}

impl Drop for Host {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
