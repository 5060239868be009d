//! A caller that speaks the platform's lines and compares answers byte by byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A caller's connection.
pub struct LineCaller {
    stream: TcpStream,
    input: Vec<u8>,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineAnswer {
    /// The rows, as they were sent.
    pub rows: Vec<Vec<u8>>,
    /// Signature or error code.
    pub result: String,
    /// State of the session.
    pub state: String,
}

impl LineCaller {
    /// Opens a session; `limit` is the longest wait for an answer.
    pub fn open(host: SocketAddr, database: &str, limit: Duration) -> Self {
        let stream = TcpStream::connect(host).expect("a connection");
        stream.set_nodelay(true).expect("the option is set");
        stream.set_read_timeout(Some(limit)).expect("a time limit");
        let mut caller = Self { stream, input: Vec::new() };
        caller.send(format!("STARTUP {database} anyone\r\n").as_bytes());
        assert_eq!(caller.answer().expect("an answer").state, "I");
        caller
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the message is sent");
    }

    /// Sends a statement and reads its answer; `None` if the connection ends before.
    pub fn ask(&mut self, text: &[u8]) -> Option<LineAnswer> {
        self.send(&[b"QUERY q1 ", text, b"\r\n"].concat());
        self.answer()
    }

    /// Reads a complete answer; `None` if the connection ends before.
    pub fn answer(&mut self) -> Option<LineAnswer> {
        let (mut rows, mut result) = (Vec::new(), String::new());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_at(line.iter().position(|byte| *byte == b' ')?);
            let rest = &rest[1..];
            let first = || {
                let word = rest.split(|byte| *byte == b' ').next().unwrap_or_default();
                String::from_utf8_lossy(word).into_owned()
            };
            match word {
                b"ROW" => rows.push(rest.to_vec()),
                b"COMPLETE" | b"ERROR" => result = first(),
                b"READY" => return Some(LineAnswer { rows, result, state: first() }),
                _ => panic!("{:?}", String::from_utf8_lossy(&line)),
            }
        }
    }

    fn line(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(end) = self.input.windows(2).position(|pair| pair == b"\r\n") {
                return Some(self.input.drain(..end + 2).take(end).collect());
            }
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk).unwrap_or(0) {
                0 => return None,
                count => self.input.extend_from_slice(&chunk[..count]),
            }
        }
    }
}
