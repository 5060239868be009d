//! A non-blocking TCP stream with buffers, owned by one actor.

use std::io;

use bytes::BytesMut;
use stakker::{Core, Fwd};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

/// Bytes read in one call.
const READ_SIZE: usize = 16 * 1_024;
/// Priority of client and peer sockets among the sources.
const PRIORITY: u32 = 5;

/// Stream and buffers.
pub struct Socket {
    tcp: TcpStreamBuf,
    /// Bytes received and not yet decoded.
    pub input: BytesMut,
}

impl Socket {
    /// Registers `stream`; `ready` is called when it can be read or written.
    ///
    /// # Errors
    ///
    /// The system refused the registration.
    pub fn new(core: &mut Core, stream: TcpStream, ready: Fwd<Ready>) -> io::Result<Self> {
        let poll = core.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, PRIORITY, ready)?;
        let mut tcp = TcpStreamBuf::new();
        tcp.set_nodelay(true);
        tcp.init(source);
        Ok(Self { tcp, input: BytesMut::new() })
    }

    /// Reads everything that has arrived; `false` after the end of the stream.
    ///
    /// # Errors
    ///
    /// A failure of the stream.
    pub fn read(&mut self) -> io::Result<bool> {
        loop {
            match self.tcp.read(READ_SIZE) {
                ReadStatus::NewData => {
                    self.input.extend_from_slice(&self.tcp.inp[self.tcp.rd..self.tcp.wr]);
                    self.tcp.rd = self.tcp.wr;
                }
                ReadStatus::WouldBlock => return Ok(true),
                ReadStatus::EndOfStream => return Ok(false),
                ReadStatus::Error(error) => return Err(error),
            }
        }
    }

    /// Queues bytes and writes as much as the stream takes.
    ///
    /// # Errors
    ///
    /// A failure of the stream.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.tcp.out.extend_from_slice(bytes);
        self.tcp.flush()
    }

    /// Writes as much as the stream takes.
    ///
    /// # Errors
    ///
    /// A failure of the stream.
    pub fn flush(&mut self) -> io::Result<()> {
        self.tcp.flush()
    }

    /// Whether nothing waits to be written.
    pub fn is_flushed(&self) -> bool {
        self.tcp.out.is_empty()
    }

    /// Holds writes back, or lets them go on.
    pub fn pause(&mut self, paused: bool) {
        self.tcp.pause_writes(paused);
    }
}
