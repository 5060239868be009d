//! What was sent, answered and run, with times in milliseconds since the start.

use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, who: &str, what: &str) -> u64 {
        let now = self.now_ms();
        self.lines.lock().unwrap().push((now, format!("{who}: {what}")));
        now
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines.iter().map(|(at, line)| format!("{at:>7} {line}\n")).collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
