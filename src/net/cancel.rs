//! Actor that sends one cancel request to an endpoint.

use std::net::SocketAddr;

use stakker::{fwd_to, stop, CX};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::net::stream::{Stream, StreamState};
use crate::wire::pg::{self, BackendKey};

/// A connection that sends one cancel request and closes.
pub struct Canceller {
    stream: Stream,
}

impl Canceller {
    /// Connects to `target` and asks it to cancel the request that runs on the connection with
    /// `key`. The actor stops once the request is sent or has failed.
    pub fn init(cx: CX![], target: SocketAddr, key: BackendKey) -> Option<Self> {
        let miopoll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        let stream = TcpStream::connect(target)
            .and_then(|socket| Stream::new(&miopoll, socket, false, ready));
        match stream {
            Ok(mut stream) => {
                stream.output = pg::cancel_request(key);
                Some(Self { stream })
            }
            Err(error) => {
                tracing::warn!("endpoint: cancel request to {target} failed: {error}");
                stop!(cx);
                None
            }
        }
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        match self.stream.finish_connect() {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => return stop!(cx),
        }
        let sent = self.stream.flush();
        let read = self.stream.fill(1);
        if matches!((sent, read), (StreamState::Open, StreamState::Open)) {
            return;
        }
        stop!(cx);
    }
}
