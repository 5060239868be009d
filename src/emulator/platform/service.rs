//! The thread that owns the state.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use medlarstile::types::DurationMs;

use super::hostlist::ListNumber;
use super::http::Outgoing;
use super::request::Request;
use super::state::{Delivery, State};

/// A message to the thread that owns the state.
pub enum Message {
    /// A decoded request.
    Request(Box<Incoming>),
    /// The lag of a host list has passed.
    ListDue(ListNumber),
}

/// A decoded request with the HTTP exchange that waits for its answer.
pub struct Incoming {
    /// What is asked.
    pub request: Request,
    /// Size of the request's body.
    pub body_bytes: u64,
    /// Where the answer goes.
    pub exchange: tiny_http::Request,
}

/// Starts the thread; it ends when every reader has ended.
pub fn start(answers: Sender<Outgoing>) -> Sender<Message> {
    let (sender, receiver) = channel();
    let timers = sender.clone();
    thread::spawn(move || run(&receiver, &answers, &timers));
    sender
}

fn run(messages: &Receiver<Message>, answers: &Sender<Outgoing>, timers: &Sender<Message>) {
    let mut state = State::new();
    // Calls that wait while the platform is frozen.
    let mut held: Vec<Box<Incoming>> = Vec::new();
    for message in messages {
        match message {
            Message::ListDue(number) => state.on_list_due(number),
            Message::Request(incoming) if state.frozen() && incoming.request.is_call() => {
                held.push(incoming);
            }
            Message::Request(incoming) => serve(&mut state, *incoming, answers, timers),
        }
        if !state.frozen() {
            held.drain(..).for_each(|call| serve(&mut state, *call, answers, timers));
        }
    }
}

fn serve(
    state: &mut State,
    incoming: Incoming,
    answers: &Sender<Outgoing>,
    timers: &Sender<Message>,
) {
    let Incoming { request, body_bytes, exchange } = incoming;
    let delivery = match request {
        Request::Call(client, call) => state.on_call(&client, call, body_bytes),
        Request::Control(body) => Delivery::Send(state.on_control(*body), DurationMs(0)),
        Request::Report => Delivery::Send(state.report(), DurationMs(0)),
    };
    if let Some(update) = state.derive_list() {
        let timers = timers.clone();
        thread::spawn(move || {
            wait(update.lag);
            // The state thread is gone only when the process ends.
            let _ = timers.send(Message::ListDue(update.number));
        });
    }
    // The writer is gone only when the process ends.
    let _ = answers.send(Outgoing { exchange, delivery });
}

/// Blocks the calling thread for `span`.
pub fn wait(span: DurationMs) {
    // The sender is kept, so the receiver waits for the whole span.
    let (_sender, receiver) = channel::<()>();
    let _ = receiver.recv_timeout(span.to_std());
}
