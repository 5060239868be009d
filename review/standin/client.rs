//! A client's session.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::host::Host;

pub struct Client {
    input: BufReader<TcpStream>,
    output: TcpStream,
    pub host: Arc<Host>,
}

#[derive(Debug, Clone)]
pub struct Answer {
    /// Signature, or the code of the error.
    pub result: Result<String, String>,
    pub state: String,
}

/// Why there is no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The connection has ended.
    Closed,
    /// Nothing arrived in time.
    Late,
}

impl Client {
    /// Opens a session, which takes 2 s at most.
    pub fn open(host: Arc<Host>, database: &str, key: &str) -> Option<Self> {
        let limit = Duration::from_secs(2);
        let output = TcpStream::connect_timeout(&host.front, limit).ok()?;
        output.set_nodelay(true).ok()?;
        output.set_read_timeout(Some(limit)).ok()?;
        let input = BufReader::new(output.try_clone().ok()?);
        let mut client = Self { input, output, host };
        client.output.write_all(format!("STARTUP {database} {key}\r\n").as_bytes()).ok()?;
        let line = client.line().ok()?;
        line.starts_with("READY").then_some(client)
    }

    pub fn query(&mut self, id: &str, text: &str, limit: Duration) -> Result<Answer, End> {
        let _ = self.output.set_read_timeout(Some(limit));
        if self.output.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_err() {
            return Err(End::Closed);
        }
        let mut result = None;
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => {}
                "COMPLETE" => result = Some(Ok(rest.to_owned())),
                "ERROR" => result = Some(Err(rest.split(' ').next().unwrap_or("").to_owned())),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or("").to_owned();
                    let result = result.unwrap_or_else(|| Err("NOTHING".into()));
                    return Ok(Answer { result, state });
                }
                _ => return Err(End::Closed),
            }
        }
    }

    fn line(&mut self) -> Result<String, End> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(_) if line.ends_with('\n') => Ok(line.trim_end().to_owned()),
            Ok(_) => Err(End::Closed),
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Err(End::Late)
            }
            Err(_) => Err(End::Closed),
        }
    }

    /// Whether the host has ended the session while no request was outstanding.
    pub fn was_closed(&self) -> bool {
        let _ = self.output.set_read_timeout(Some(Duration::from_millis(1)));
        !matches!(self.output.peek(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    pub fn close(mut self) {
        let _ = self.output.write_all(b"TERMINATE\r\n");
    }
}
