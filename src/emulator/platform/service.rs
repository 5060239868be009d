//! The thread that owns the state of the emulator.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use medlarstile::types::DurationMs;

use super::hostlist::ListNumber;
use super::http::OutgoingReply;
use super::request::Request;
use super::state::{Delivery, State};

/// A message to the state thread.
pub enum Message {
    /// A decoded request.
    Request(Box<IncomingRequest>),
    /// The lag of the host list with this number has passed.
    ListDue(ListNumber),
}

/// A decoded request and the HTTP exchange that waits for its response.
pub struct IncomingRequest {
    /// Decoded request.
    pub request: Request,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// HTTP exchange to respond to.
    pub exchange: tiny_http::Request,
}

/// Starts the state thread and returns the channel of its messages.
///
/// The thread holds a sender of its own channel for the host list timers, so it runs until the
/// process exits.
pub fn start(replies: Sender<OutgoingReply>) -> Sender<Message> {
    let (sender, receiver) = channel();
    let timers = sender.clone();
    thread::spawn(move || run(&receiver, &replies, &timers));
    sender
}

fn run(messages: &Receiver<Message>, replies: &Sender<OutgoingReply>, timers: &Sender<Message>) {
    let mut state = State::new();
    // Calls queued while the platform is frozen.
    let mut queued_calls: Vec<Box<IncomingRequest>> = Vec::new();
    for message in messages {
        match message {
            Message::ListDue(number) => state.on_list_due(number),
            Message::Request(incoming) if state.frozen() && incoming.request.is_call() => {
                queued_calls.push(incoming);
            }
            Message::Request(incoming) => serve(&mut state, *incoming, replies, timers),
        }
        if !state.frozen() {
            queued_calls.drain(..).for_each(|call| serve(&mut state, *call, replies, timers));
        }
    }
}

fn serve(
    state: &mut State,
    incoming: IncomingRequest,
    replies: &Sender<OutgoingReply>,
    timers: &Sender<Message>,
) {
    let IncomingRequest { request, body_bytes, exchange } = incoming;
    let delivery = match request {
        Request::Call(client, call) => state.on_call(&client, call, body_bytes),
        Request::Control(body) => Delivery::Send(state.on_control(*body), DurationMs(0)),
        Request::Report => Delivery::Send(state.report(), DurationMs(0)),
    };
    if let Some(update) = state.derive_host_list() {
        let timers = timers.clone();
        thread::spawn(move || {
            wait(update.lag);
            // Sending fails only at process exit, when the state thread has ended.
            let _ = timers.send(Message::ListDue(update.number));
        });
    }
    // Sending fails only at process exit, when the writer thread has ended.
    let _ = replies.send(OutgoingReply { exchange, delivery });
}

/// Blocks the calling thread for `duration`.
pub fn wait(duration: DurationMs) {
    // The sender stays alive, so the receiver blocks until the timeout.
    let (_sender, receiver) = channel::<()>();
    let _ = receiver.recv_timeout(duration.to_std());
}
