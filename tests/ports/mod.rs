//! Allocates ports for processes that tests start.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;

/// First port for test programs. The ports are below the system's ephemeral ports, because an
/// outgoing connection could occupy the port of a host that is down.
const FIRST_PORT: u16 = 20_000;
/// Number of ports of one test program; enough for fifty seeds of the soak test.
const RANGE: u16 = 2_000;
/// Number of ranges, and so of test programs that can run at the same time.
const RANGES: u16 = 6;

/// First port of this process's range. The process reserves the range by listening at that port;
/// otherwise another process could take the port of a host that is not up yet, or is down.
fn range() -> u16 {
    static RESERVED: OnceLock<(u16, TcpListener)> = OnceLock::new();
    let reserve = || {
        let first = (0..RANGES).map(|index| FIRST_PORT + index * RANGE);
        let mut reserved = first.filter_map(|port| {
            TcpListener::bind(("127.0.0.1", port)).ok().map(|listener| (port, listener))
        });
        reserved.next().expect("fewer test programs at once")
    };
    RESERVED.get_or_init(reserve).0
}

/// Returns a free port that no other test uses.
pub fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let port = range() + 1 + NEXT.fetch_add(1, Ordering::Relaxed) % (RANGE - 1);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
