//! The event loop of a process: stakker actors over mio.
//!
//! The loop blocks in `epoll_wait` until a socket, a timer or a signal is due. The timeout of
//! `epoll_wait` has a resolution of 1 ms, so waits with a fraction of a millisecond also arm a
//! timer file descriptor. The process reads the system clocks in this module only.

use std::io;
use std::os::fd::{AsRawFd, OwnedFd};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use displaydoc::Display;
use rustix::time::{
    timerfd_create, timerfd_settime, Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags,
    Timespec,
};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use stakker::{fwd, Core, Fwd, Stakker, StopCause};
use stakker_mio::mio::net::UnixStream;
use stakker_mio::mio::{Events, Interest, Poll};
use stakker_mio::{FdSource, MioPoll, MioSource};

use crate::types::Timestamp;

/// Largest number of events fetched in one `epoll_wait`.
const MAX_EVENTS: usize = 1_024;
/// Longest wait without an event or a timer.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Poll priority of signals, timers and wake-ups; no source has a higher one.
const HIGHEST_PRIORITY: u32 = 10;

/// Why the event loop ended without a requested shutdown.
#[derive(Debug, Display)]
pub enum ReactorError {
    /// polling failed: {0}
    Poll(io::Error),
    /// an actor failed: {0}
    Failed(String),
}

impl std::error::Error for ReactorError {}

impl From<io::Error> for ReactorError {
    fn from(error: io::Error) -> Self {
        Self::Poll(error)
    }
}

/// A signal that the process handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: the settings are to be read again. Without a handler it would end the process.
    Hangup,
    /// SIGINT: stop the process.
    Interrupt,
    /// SIGTERM: stop the process.
    Terminate,
}

/// Keeps the read ends of the signal pipes registered for as long as the loop runs.
#[derive(Clone)]
struct SignalPipes(#[allow(dead_code)] Rc<Vec<MioSource<UnixStream>>>);

/// Runs the event loop until [`Core::shutdown`] is called. The value that `setup` returns is
/// dropped after the loop has ended, so it can own the first actors.
///
/// # Errors
///
/// An error of polling, or the error that an actor passed to [`Core::shutdown`].
pub fn run<T>(setup: impl FnOnce(&mut Stakker) -> T) -> Result<(), ReactorError> {
    let mut stakker = Stakker::new(clock());
    let poll = MioPoll::new(
        &mut stakker,
        Poll::new()?,
        Events::with_capacity(MAX_EVENTS),
        HIGHEST_PRIORITY,
    )?;
    let precise_timer = PreciseTimer::new(&poll)?;
    let owned = setup(&mut stakker);
    let mut idle_pending = stakker.run(clock(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(clock(), MAX_WAIT, idle_pending || io_pending);
        precise_timer.arm(wait)?;
        let activity;
        (activity, io_pending) = poll.poll(wait)?;
        idle_pending = stakker.run(clock(), !activity);
    }
    drop(owned);
    match stakker.shutdown_reason() {
        Some(StopCause::Failed(error)) => Err(ReactorError::Failed(error.to_string())),
        _ => Ok(()),
    }
}

/// Forwards SIGHUP, SIGINT and SIGTERM to `notify` from now on.
///
/// # Errors
///
/// The system could not create a pipe or install a handler.
pub fn forward_signals(core: &mut Core, notify: Fwd<Signal>) -> io::Result<()> {
    let poll = core.anymap_get::<MioPoll>();
    let mut sources = Vec::new();
    let signals =
        [(SIGHUP, Signal::Hangup), (SIGINT, Signal::Interrupt), (SIGTERM, Signal::Terminate)];
    for (number, signal) in signals {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        read.set_nonblocking(true)?;
        pipe::register(number, write)?;
        let notify = notify.clone();
        let ready = Fwd::new(move |ready: stakker_mio::Ready| {
            if ready.is_readable() {
                fwd!([notify], signal);
            }
        });
        sources.push(poll.add(
            UnixStream::from_std(read),
            Interest::READABLE,
            HIGHEST_PRIORITY,
            ready,
        )?);
    }
    core.anymap_set(SignalPipes(Rc::new(sources)));
    Ok(())
}

/// Time since the Unix epoch, zero for a clock set before it. The timestamps of the timeline are
/// based on it.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// Time since the machine was booted, including time in suspension. The age of data is measured
/// with it, because the runtime's clock stops while the machine is suspended.
pub fn suspend_aware_clock() -> Timestamp {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    Timestamp(seconds * 1_000_000 + nanos / 1_000)
}

fn clock() -> Instant {
    Instant::now()
}

/// A timer file descriptor that ends waits with a fraction of a millisecond, which the timeout of
/// `epoll_wait` cannot express.
struct PreciseTimer {
    fd: OwnedFd,
    _source: MioSource<FdSource>,
}

impl PreciseTimer {
    fn new(poll: &MioPoll) -> io::Result<Self> {
        let fd = timerfd_create(TimerfdClockId::Monotonic, TimerfdFlags::NONBLOCK)?;
        let source = FdSource::new(fd.as_raw_fd());
        let _source = poll.add(source, Interest::READABLE, HIGHEST_PRIORITY, Fwd::new(|_| ()))?;
        Ok(Self { fd, _source })
    }

    fn arm(&self, wait: Duration) -> io::Result<()> {
        if wait.subsec_nanos() % 1_000_000 == 0 {
            return Ok(());
        }
        let zero = Timespec { tv_sec: 0, tv_nsec: 0 };
        let seconds = i64::try_from(wait.as_secs()).unwrap_or(i64::MAX);
        let due = Timespec { tv_sec: seconds, tv_nsec: i64::from(wait.subsec_nanos()) };
        let spec = Itimerspec { it_interval: zero, it_value: due };
        timerfd_settime(&self.fd, TimerfdTimerFlags::empty(), &spec)?;
        Ok(())
    }
}
