//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct Inner {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

/// The record; clones share it.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file =
            Mutex::new(BufWriter::new(File::create(path).expect("record.txt can be written")));
        Self(Arc::new(Inner { started: Instant::now(), file }))
    }

    /// Writes a line to the file and to standard output.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.0.started.elapsed().as_secs_f64());
        println!("{line}");
        let mut file = self.0.file.lock().expect("file");
        writeln!(file, "{line}").and_then(|()| file.flush()).expect("record.txt can be written");
    }

    /// Writes a line to the file only.
    pub fn detail(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.0.started.elapsed().as_secs_f64());
        writeln!(self.0.file.lock().expect("file"), "{line}").expect("record.txt can be written");
    }

    /// Notes a statement that an endpoint has run.
    pub fn ran(&self, endpoint: &str, account: &str, id: &str, text: &str) {
        self.detail(&format!("run: {endpoint} for {account}: {id} {text}"));
    }
}
