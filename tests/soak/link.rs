//! A loopback proxy that delays, silences, cuts one way and resets the connections through it. Open
//! connections can also go silent for good while new ones work.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between two looks at the mode of an idle direction.
const LOOK: Duration = Duration::from_millis(20);

/// What the proxy does with bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[repr(u8)]
pub enum Mode {
    Pass,
    Delay,
    Silent,
    /// Requests arrive, answers do not.
    NoAnswers,
}

/// A proxy to one address.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    /// Connections of an earlier generation are reset.
    generation: Arc<AtomicU64>,
    /// Number of connections opened so far.
    opened: Arc<AtomicU64>,
    /// Connections up to this number stay open and carry nothing any more.
    silenced: Arc<AtomicU64>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let link = Self {
            address,
            mode: Arc::default(),
            generation: Arc::default(),
            opened: Arc::default(),
            silenced: Arc::default(),
        };
        let shared = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                // A refused target shows as a connection that ends at once.
                if let Ok(far) = TcpStream::connect(target) {
                    shared.join(&near, &far);
                }
            }
        });
        link
    }

    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    pub fn reset(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes all open connections silent for good, without a reset; new ones work.
    pub fn silence_open(&self) {
        self.silenced.store(self.opened.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    fn join(&self, near: &TcpStream, far: &TcpStream) {
        let born = self.generation.load(Ordering::Relaxed);
        let number = self.opened.fetch_add(1, Ordering::Relaxed) + 1;
        for (from, to, answers) in [(near, far, false), (far, near, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let link = self.clone();
            thread::spawn(move || link.pump(from, to, answers, born, number));
        }
    }

    fn holds(&self, answers: bool, number: u64) -> bool {
        let mode = self.mode.load(Ordering::Relaxed);
        mode == Mode::Silent as u8
            || (answers && mode == Mode::NoAnswers as u8)
            || number <= self.silenced.load(Ordering::Relaxed)
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, answers: bool, born: u64, number: u64) {
        let mut chunk = [0; 8192];
        let current = || self.generation.load(Ordering::Relaxed) == born;
        // Options of a socket that is already closed do not matter.
        drop((from.set_read_timeout(Some(LOOK)), to.set_nodelay(true)));
        while current() {
            match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => {
                    if self.mode.load(Ordering::Relaxed) == Mode::Delay as u8 {
                        thread::sleep(Duration::from_millis(120));
                    }
                    while self.holds(answers, number) && current() {
                        thread::sleep(LOOK);
                    }
                    if !current() || to.write_all(&chunk[..count]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        drop((from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both)));
    }
}
