//! A non-blocking TCP stream with input and output buffers, and with optional TLS as the server.
//!
//! Idle connections hold no buffers: the read buffer is on the stack of [`Stream::fill`], and the
//! memory of an empty input or output buffer is released.

use std::io::{ErrorKind as IoKind, Read, Write};
use std::sync::Arc;

use bytes::{Buf, BytesMut};
use rustls::{ServerConfig, ServerConnection};
use stakker::Fwd;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

/// Most bytes read by one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Poll priority of TCP sockets.
const SOCKET_PRIORITY: u32 = 10;

/// Whether a stream can still be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamState {
    /// Open in both directions.
    Open,
    /// Closed by the peer or broken, with the cause.
    Closed(String),
}

/// A TCP stream registered with the poll loop.
pub struct Stream {
    source: MioSource<TcpStream>,
    tls: Option<Box<ServerConnection>>,
    /// Bytes received and not yet consumed.
    pub input: BytesMut,
    /// Bytes to send.
    pub output: BytesMut,
    connected: bool,
    close_after_output: bool,
    has_unread: bool,
}

impl Stream {
    /// Registers `socket`; `ready` is called when it becomes readable or writable.
    ///
    /// # Errors
    ///
    /// The error of the registration or of the socket option.
    pub fn new(
        miopoll: &MioPoll,
        socket: TcpStream,
        connected: bool,
        ready: Fwd<Ready>,
    ) -> std::io::Result<Self> {
        if connected {
            socket.set_nodelay(true)?;
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = miopoll.add(socket, interest, SOCKET_PRIORITY, ready)?;
        Ok(Self {
            source,
            tls: None,
            input: BytesMut::new(),
            output: BytesMut::new(),
            connected,
            close_after_output: false,
            has_unread: false,
        })
    }

    /// Starts TLS as the server. Bytes that were read already are taken as part of the handshake.
    ///
    /// # Errors
    ///
    /// The error of the TLS library.
    pub fn start_tls(&mut self, config: &Arc<ServerConfig>) -> Result<(), rustls::Error> {
        let mut tls = Box::new(ServerConnection::new(Arc::clone(config))?);
        let already_read = std::mem::take(&mut self.input);
        feed_tls(&mut tls, &already_read, &mut self.input).map_err(rustls::Error::General)?;
        self.tls = Some(tls);
        Ok(())
    }

    /// Whether TLS is in use.
    pub fn is_tls(&self) -> bool {
        self.tls.is_some()
    }

    /// Whether the connection is established; `false` while the connect is in progress.
    ///
    /// # Errors
    ///
    /// The error of the connect.
    pub fn finish_connect(&mut self) -> std::io::Result<bool> {
        if self.connected {
            return Ok(true);
        }
        if let Some(error) = self.source.take_error()? {
            return Err(error);
        }
        match self.source.peer_addr() {
            Ok(_) => {
                self.connected = true;
                self.source.set_nodelay(true)?;
                Ok(true)
            }
            Err(error) if error.kind() == IoKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Whether the socket may hold data that was not read. The poll is edge-triggered: it reports no
    /// further event for such data, so the owner has to read again once it can take more.
    pub fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Records that the poll has reported an event for the socket.
    pub fn set_unread(&mut self) {
        self.has_unread = true;
    }

    /// Reads until the socket has no more data or `input` holds at least `limit_bytes`. In the
    /// second case [`Stream::has_unread`] is true afterwards.
    pub fn fill(&mut self, limit_bytes: usize) -> StreamState {
        let mut chunk = [0_u8; READ_CHUNK_BYTES];
        self.has_unread = true;
        while self.input.len() < limit_bytes {
            let room = chunk.len().min(limit_bytes - self.input.len());
            match self.source.read(&mut chunk[..room]) {
                Ok(0) => return StreamState::Closed("peer closed the connection".into()),
                Ok(count) => {
                    if let Err(cause) = self.accept_bytes(&chunk[..count]) {
                        return StreamState::Closed(cause);
                    }
                }
                Err(error) if error.kind() == IoKind::WouldBlock => {
                    self.has_unread = false;
                    break;
                }
                Err(error) if error.kind() == IoKind::Interrupted => {}
                Err(error) => return StreamState::Closed(error.to_string()),
            }
        }
        StreamState::Open
    }

    fn accept_bytes(&mut self, bytes: &[u8]) -> Result<(), String> {
        match &mut self.tls {
            None => self.input.extend_from_slice(bytes),
            Some(tls) => feed_tls(tls, bytes, &mut self.input)?,
        }
        Ok(())
    }

    /// Sends as much of `output` as the socket accepts.
    pub fn flush(&mut self) -> StreamState {
        if !self.connected {
            return StreamState::Open;
        }
        let result = match self.tls {
            None => self.flush_plain(),
            Some(_) => self.flush_tls(),
        };
        if let Err(error) = result {
            return StreamState::Closed(error.to_string());
        }
        release_if_empty(&mut self.output);
        release_if_empty(&mut self.input);
        if self.close_after_output && self.output.is_empty() {
            return StreamState::Closed("connection closed after all output was sent".into());
        }
        StreamState::Open
    }

    fn flush_plain(&mut self) -> std::io::Result<()> {
        while !self.output.is_empty() {
            match self.source.write(&self.output) {
                Ok(0) => break,
                Ok(count) => self.output.advance(count),
                Err(error) if error.kind() == IoKind::WouldBlock => break,
                Err(error) if error.kind() == IoKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn flush_tls(&mut self) -> std::io::Result<()> {
        let Some(tls) = &mut self.tls else { return Ok(()) };
        loop {
            while tls.wants_write() {
                match tls.write_tls(&mut *self.source) {
                    Ok(_) => {}
                    Err(error) if error.kind() == IoKind::WouldBlock => return Ok(()),
                    Err(error) if error.kind() == IoKind::Interrupted => {}
                    Err(error) => return Err(error),
                }
            }
            if self.output.is_empty() {
                return Ok(());
            }
            let count = tls.writer().write(&self.output)?;
            self.output.advance(count);
        }
    }

    /// Shuts the socket down as `how` says, if all output has been sent.
    pub fn finish_output(&mut self, how: std::net::Shutdown) {
        if let (true, Err(error)) = (self.output.is_empty(), self.source.shutdown(how)) {
            tracing::debug!(%error, "stream: shutdown failed; the peer has closed the socket");
        }
    }

    /// Closes the stream once all output has been sent.
    pub fn close_after_output(&mut self) {
        self.close_after_output = true;
    }
}

fn feed_tls(
    tls: &mut ServerConnection,
    mut bytes: &[u8],
    input: &mut BytesMut,
) -> Result<(), String> {
    while !bytes.is_empty() {
        tls.read_tls(&mut bytes).map_err(|error| error.to_string())?;
        let state = tls.process_new_packets().map_err(|error| error.to_string())?;
        let mut plain = vec![0; state.plaintext_bytes_to_read()];
        tls.reader().read_exact(&mut plain).map_err(|error| error.to_string())?;
        input.extend_from_slice(&plain);
    }
    Ok(())
}

/// Releases the memory of an empty buffer. Its capacity does not tell how much that is: what is left
/// of a buffer after a message was split off keeps the memory of the whole message.
fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() {
        *buffer = BytesMut::new();
    }
}
