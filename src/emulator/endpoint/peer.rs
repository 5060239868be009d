//! The actor of one replication connection between two endpoints.
//!
//! A replica connects to its primary's replication port and sends [`Frame::Hello`]; the primary
//! answers [`Frame::Accept`] and then sends entries as they are committed. Frames are postcard
//! with a length of four bytes before them.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Buf;
use medlarstile::types::{EndpointId, Position, Term};
use serde::{Deserialize, Serialize};
use stakker::{at, call, fwd_to, Actor, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::Ready;

use super::log::Entry;
use super::server::EndpointServer;
use super::socket::Socket;

/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;

/// Number of a replication connection, unique within one run of the process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::FromStr,
)]
pub struct PeerId(pub u64);

/// A message between two endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A replica asks to follow.
    Hello {
        /// The replica.
        from: EndpointId,
        /// Term it was told to follow.
        term: Term,
        /// Last position of each term in its log.
        ends: Vec<Position>,
    },
    /// The primary accepts the replica.
    Accept {
        /// Term of the primary.
        term: Term,
        /// Last position that both logs share; the replica removes what follows.
        common: Position,
    },
    /// Entries of the primary's log, possibly none.
    Entries {
        /// Term of the primary.
        term: Term,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Position that a majority holds.
        confirmed: Position,
    },
    /// The replica holds everything up to a position.
    Acknowledge {
        /// That position.
        position: Position,
    },
}

/// How a replication connection came about.
pub enum Origin {
    /// Another endpoint connected.
    Accepted(TcpStream),
    /// This endpoint connects.
    Connect(SocketAddr),
}

/// A replication connection.
pub struct Peer {
    server: Actor<EndpointServer>,
    id: PeerId,
    socket: Socket,
    lag: Duration,
    held: VecDeque<(Instant, Frame)>,
    frozen: bool,
    connected: bool,
}

impl Peer {
    /// Takes a stream over, or connects. Entries are held back by `lag` after they arrive.
    pub fn init(
        cx: CX![],
        server: Actor<EndpointServer>,
        id: PeerId,
        origin: Origin,
        lag: Duration,
    ) -> Option<Self> {
        let connected = matches!(origin, Origin::Accepted(_));
        let ready = fwd_to!([cx], ready() as (Ready));
        let stream = match origin {
            Origin::Accepted(stream) => Ok(stream),
            Origin::Connect(address) => TcpStream::connect(address),
        };
        match stream.and_then(|stream| Socket::new(cx, stream, ready)) {
            Ok(mut socket) => {
                socket.pause(!connected);
                let held = VecDeque::new();
                Some(Self { server, id, socket, lag, held, frozen: false, connected })
            }
            Err(error) => {
                cx.fail(error);
                None
            }
        }
    }

    /// Sends a frame.
    pub fn send(&mut self, cx: CX![], frame: Frame) {
        let sent = encode(&frame).and_then(|bytes| self.socket.send(&bytes));
        if let Err(error) = sent {
            cx.fail(error);
        }
    }

    /// Changes the lag, also of what is held back already.
    pub fn set_lag(&mut self, cx: CX![], lag: Duration) {
        self.lag = lag;
        self.release(cx);
    }

    /// Stops all traffic, or lets it go on.
    pub fn set_frozen(&mut self, cx: CX![], frozen: bool) {
        self.frozen = frozen;
        self.socket.pause(frozen || !self.connected);
        if !frozen {
            self.write(cx);
            self.read(cx);
            self.release(cx);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() {
            self.connected = true;
            self.socket.pause(self.frozen);
            self.write(cx);
        }
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            self.read(cx);
        }
    }

    fn write(&mut self, cx: CX![]) {
        if let Err(error) = self.socket.flush() {
            cx.fail(error);
        }
    }

    fn read(&mut self, cx: CX![]) {
        if self.frozen {
            return;
        }
        let open = self.socket.read();
        loop {
            match decode(&mut self.socket.input) {
                Ok(Some(frame)) => self.received(cx, frame),
                Ok(None) => break,
                Err(error) => return cx.fail(error),
            }
        }
        match open {
            Ok(true) => (),
            Ok(false) => cx.stop(),
            Err(error) => cx.fail(error),
        }
    }

    fn received(&mut self, cx: CX![], frame: Frame) {
        if matches!(frame, Frame::Entries { .. }) {
            self.held.push_back((cx.now(), frame));
            self.release(cx);
        } else {
            call!([self.server], frame(self.id, frame));
        }
    }

    fn release(&mut self, cx: CX![]) {
        while let Some((arrived, _)) = self.held.front().filter(|_| !self.frozen) {
            let due = *arrived + self.lag;
            if due > cx.now() {
                at!(due, [cx], release());
                return;
            }
            if let Some((_, frame)) = self.held.pop_front() {
                call!([self.server], frame(self.id, frame));
            }
        }
    }
}

fn encode(frame: &Frame) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    Ok([&length.to_be_bytes()[..], &body].concat())
}

fn decode(input: &mut bytes::BytesMut) -> io::Result<Option<Frame>> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    let Some(body) = input.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
    let frame = postcard::from_bytes(body).map_err(io::Error::other)?;
    input.advance(LENGTH_BYTES + length);
    Ok(Some(frame))
}
