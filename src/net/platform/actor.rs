//! Actor that makes calls to the platform on a worker thread.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use stakker::{fwd_to, Core, PipedThread, Ret, CX};

use super::client::{PlatformClient, PlatformSettings};
use crate::core::link::Link;
use crate::core::store::{Answer, Call, CallError};
use crate::types::{CallId, Timestamp};

/// Most calls that may be queued or in progress; further ones fail as not sent. With a limit of 1 s
/// per call, a longer queue would only hold calls whose callers have given up.
const MAX_PENDING_CALLS: usize = 64;

/// Answer of the platform, or the error of the call.
pub type CallResult = Result<Answer<Value>, CallError>;

/// A call that is sent to the worker thread.
#[derive(Debug)]
struct Job {
    id: CallId,
    call: Call<Value>,
}

/// A result that the worker thread sends back.
#[derive(Debug)]
struct Done {
    id: CallId,
    result: CallResult,
}

/// Owns the worker thread, which owns the HTTP client and makes one call at a time, in order.
pub struct PlatformActor {
    thread: PipedThread<Job, Done>,
    pending: BTreeMap<CallId, PendingCall>,
    next_id: CallId,
    link: Link,
    rng: ChaCha8Rng,
}

/// A call without a result yet.
struct PendingCall {
    sent: Timestamp,
    ret: Ret<CallResult>,
}

impl PlatformActor {
    /// Starts the worker thread. The actor fails if the thread ends.
    pub fn init(cx: CX![], settings: PlatformSettings) -> Option<Self> {
        let done = fwd_to!([cx], on_done() as (Done));
        let ended = fwd_to!([cx], on_end() as (Option<String>));
        let thread = PipedThread::spawn(done, ended, cx, move |pipe| {
            let client = PlatformClient::new(settings);
            while let Some(Job { id, call }) = pipe.recv() {
                let result = client.call(call);
                if !pipe.send(Done { id, result }) {
                    break;
                }
            }
        });
        let link = Link::new(timestamp(cx));
        let rng = ChaCha8Rng::from_os_rng();
        Some(Self { thread, pending: BTreeMap::new(), next_id: CallId(0), link, rng })
    }

    /// Makes a call; `ret` gets its result. The actor handles this message before the call is sent,
    /// so the time of the message is a safe lower bound wherever an answer proves something about
    /// the send time.
    pub fn call(&mut self, cx: CX![], call: Call<Value>, ret: Ret<CallResult>) {
        if self.pending.len() >= MAX_PENDING_CALLS {
            ret.ret(Err(CallError::NotSent("too many calls are waiting for the platform".into())));
            return;
        }
        let id = self.next_id;
        self.next_id = CallId(id.0 + 1);
        self.pending.insert(id, PendingCall { sent: timestamp(cx), ret });
        self.thread.send(Job { id, call });
    }

    /// Random numbers for the delays of repeated calls.
    pub(super) fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    fn on_done(&mut self, cx: CX![], done: Done) {
        let Some(PendingCall { sent, ret }) = self.pending.remove(&done.id) else { return };
        let answered = done.result.as_ref().map_or_else(CallError::reached, |_| true);
        if let Some(state) = self.link.on_result(sent, timestamp(cx), answered) {
            tracing::info!("platform: link is {state:?}");
        }
        ret.ret(done.result);
    }

    fn on_end(&mut self, cx: CX![], panic: Option<String>) {
        let reason = panic.unwrap_or_else(|| "ended".into());
        for pending in std::mem::take(&mut self.pending).into_values() {
            pending.ret.ret(Err(CallError::NoAnswer("worker thread ended".into())));
        }
        cx.fail_string(format!("platform: worker thread ended: {reason}"));
    }
}

/// Time since the start of the runtime, by the runtime's clock.
fn timestamp(core: &Core) -> Timestamp {
    let running = core.now().saturating_duration_since(core.start_instant());
    Timestamp(
        u64::try_from(running.as_micros()).expect("the clock runs for less than 500,000 years"),
    )
}
