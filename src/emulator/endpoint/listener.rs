//! An actor that owns a listening socket.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};

use stakker::{fwd, fwd_to, Fwd, CX};
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

/// Priority of listening sockets, below that of open connections.
const PRIORITY: u32 = 3;

/// Accepts connections and hands them on.
pub struct Listener {
    source: MioSource<TcpListener>,
    accepted: Fwd<(TcpStream, SocketAddr)>,
    paused: bool,
}

impl Listener {
    /// Starts to accept on a bound socket.
    pub fn init(
        cx: CX![],
        socket: StdListener,
        accepted: Fwd<(TcpStream, SocketAddr)>,
    ) -> Option<Self> {
        match Self::register(cx, socket) {
            Ok(source) => Some(Self { source, accepted, paused: false }),
            Err(error) => {
                cx.fail(error);
                None
            }
        }
    }

    fn register(cx: CX![], socket: StdListener) -> io::Result<MioSource<TcpListener>> {
        socket.set_nonblocking(true)?;
        let ready = fwd_to!([cx], ready() as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        poll.add(TcpListener::from_std(socket), Interest::READABLE, PRIORITY, ready)
    }

    /// Leaves new connections in the system's queue while paused.
    pub fn pause(&mut self, cx: CX![], paused: bool) {
        self.paused = paused;
        self.accept(cx);
    }

    fn ready(&mut self, cx: CX![], _ready: Ready) {
        self.accept(cx);
    }

    fn accept(&mut self, cx: CX![]) {
        if self.paused {
            return;
        }
        loop {
            match self.source.accept() {
                Ok((stream, peer)) => fwd!([self.accepted], stream, peer),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => (),
                Err(error) => return cx.fail(error),
            }
        }
    }
}
