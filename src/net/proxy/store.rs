//! Queue of calls to the platform: writes to the store and promotions.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use stakker::{actor, call, fwd, ret_nop, ret_some_to, ActorOwn, Fwd, CX};

use super::http::{CallFault, CallResult, HttpClient};
use crate::core::proxy::failover::PromoteAnswer;
use crate::platform::store::{self, HttpRequest, WriteAnswer};
use crate::types::{GroupId, HostId};

/// Time limit for an answer; the store answers within tens of milliseconds.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// Purpose of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallPurpose {
    /// Write the row of this host.
    Register,
    /// Remove the row of another host.
    Remove(HostId),
    /// Write the row with the secret that all hosts share, unless it exists.
    Agree,
    /// Write this host's claim to a group's row.
    Claim(GroupId),
    /// Promote an endpoint of a group.
    Promote(GroupId),
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A write to the store; `None` if no answer arrived.
    Written(CallPurpose, Option<WriteAnswer>),
    /// A promotion in a group.
    Promoted(GroupId, PromoteAnswer),
}

/// Actor that runs calls in order over one connection.
pub struct CallQueue {
    client: ActorOwn<HttpClient>,
    hub: Fwd<CallEnd>,
    queue: VecDeque<(CallPurpose, HttpRequest)>,
    running: Option<CallPurpose>,
}

impl CallQueue {
    /// Creates an empty queue of calls to the server at `address`. Results are sent to `hub`.
    pub fn init(cx: CX![], address: SocketAddr, hub: Fwd<CallEnd>) -> Option<Self> {
        let client = actor!(cx, HttpClient::init(address), ret_nop!());
        Some(Self { client, hub, queue: VecDeque::new(), running: None })
    }

    /// Adds a call to the queue.
    pub fn call(&mut self, cx: CX![], purpose: CallPurpose, request: HttpRequest) {
        self.queue.push_back((purpose, request));
        self.start_next(cx);
    }

    fn start_next(&mut self, cx: CX![]) {
        if self.running.is_some() {
            return;
        }
        let Some((purpose, request)) = self.queue.pop_front() else { return };
        self.running = Some(purpose);
        let ret = ret_some_to!([cx], on_call_ended() as (CallResult));
        call!([self.client], call(request, CALL_LIMIT, ret));
    }

    fn on_call_ended(&mut self, cx: CX![], result: CallResult) {
        let Some(purpose) = self.running.take() else { return };
        if let Err(fault) = &result {
            tracing::warn!(?purpose, %fault, "store: call failed");
        }
        let end = match purpose {
            CallPurpose::Promote(group) => CallEnd::Promoted(group, promote_outcome(&result)),
            purpose => CallEnd::Written(purpose, write_outcome(result)),
        };
        fwd!([self.hub], end);
        self.start_next(cx);
    }
}

fn write_outcome(result: CallResult) -> Option<WriteAnswer> {
    match result {
        Ok(answer) => Some(store::read_write(&answer)),
        Err(CallFault::NotSent(cause)) => Some(WriteAnswer::Refused(cause)),
        Err(CallFault::NoAnswer(_)) => None,
    }
}

fn promote_outcome(result: &CallResult) -> PromoteAnswer {
    match result {
        Ok(answer) => store::read_promotion(answer),
        Err(CallFault::NotSent(_)) => PromoteAnswer::Unavailable,
        Err(CallFault::NoAnswer(_)) => PromoteAnswer::Unknown,
    }
}
