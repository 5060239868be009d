//! Clients: sessions over the line protocol.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::endpoint::Lines;

/// The answer to a statement.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// `COMPLETE` or `ERROR` with its fields.
    pub result: String,
    pub rows: Vec<String>,
    /// Transaction state.
    pub state: String,
}

impl Answer {
    pub fn is_ok(&self) -> bool {
        self.result.starts_with("COMPLETE")
    }
}

/// An open session.
pub struct Session {
    pub lines: Lines,
}

impl Session {
    /// Opens a session; none if that takes more than two seconds or is refused.
    pub fn open(address: SocketAddr, database: &str, key: &str) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))
            .map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).map_err(|error| error.to_string())?;
        let mut lines = Lines::new(stream);
        lines.send(&format!("STARTUP {database} {key}\r\n")).ok_or("closed")?;
        match lines.next() {
            Some(line) if line.starts_with("READY I") => Ok(Self { lines }),
            Some(line) => Err(line),
            None => Err("no answer to the startup".into()),
        }
    }

    pub fn set_limit(&self, limit: Duration) {
        drop(self.lines.stream().set_read_timeout(Some(limit)));
    }

    /// Sends a statement and waits for its answer; none if the connection ends or the limit passes.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.lines.send(&format!("QUERY {id} {text}\r\n"))?;
        self.answer()
    }

    pub fn answer(&mut self) -> Option<Answer> {
        let mut rows = Vec::new();
        let mut result = String::new();
        loop {
            let line = self.lines.next()?;
            if let Some(row) = line.strip_prefix("ROW ") {
                rows.push(row.to_owned());
            } else if let Some(rest) = line.strip_prefix("READY ") {
                let state = rest.split(' ').next().unwrap_or("").to_owned();
                return Some(Answer { result, rows, state });
            } else {
                result = line;
            }
        }
    }
}
