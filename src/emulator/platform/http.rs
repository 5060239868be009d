//! Threads that read HTTP requests and write the responses.

use std::io::Read;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;

use medlarstile::types::DurationMs;
use medlarstile::wire::platform::CLIENT_HEADER;
use tiny_http::{Header, Response, Server};

use super::request::{decode, encode, EncodedResponse, Request, RequestParts};
use super::service::{wait, IncomingRequest, Message};
use super::state::{Delivery, Reply};

/// Number of reader threads; a few suffice, as reading a small body over loopback rarely blocks.
const READER_THREADS: usize = 4;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Maximum size in bytes of a response body that the writer thread writes itself; a response of
/// this size fits into a socket buffer.
const MAX_INLINE_BODY_BYTES: usize = 64 * 1024;

/// A response that is ready for the writer thread.
pub struct OutgoingReply {
    /// HTTP exchange that waits for the response.
    pub exchange: tiny_http::Request,
    /// Response to send, if any.
    pub delivery: Delivery,
}

/// Starts the reader threads, which decode requests and pass them to the state thread.
pub fn start_readers(server: Server, state: &Sender<Message>, replies: &Sender<OutgoingReply>) {
    let server = Arc::new(server);
    for _ in 0..READER_THREADS {
        let (server, state, replies) = (Arc::clone(&server), state.clone(), replies.clone());
        thread::spawn(move || {
            for exchange in server.incoming_requests() {
                read_request(exchange, &state, &replies);
            }
        });
    }
}

/// Starts the writer thread and returns the channel of the responses to write.
pub fn start_writer() -> Sender<OutgoingReply> {
    let (sender, receiver) = channel::<OutgoingReply>();
    thread::spawn(move || {
        for outgoing in receiver {
            match outgoing.delivery {
                // Dropping a `tiny_http::Request` sends status 500; taking its writer prevents
                // that, and the connection stays open.
                Delivery::NoReply => drop(outgoing.exchange.into_writer()),
                Delivery::Send(reply, delay) => send(outgoing.exchange, encode(reply), delay),
            }
        }
    });
    sender
}

/// Reads and decodes one request; invalid requests go straight to the writer thread.
fn read_request(
    mut exchange: tiny_http::Request,
    state: &Sender<Message>,
    replies: &Sender<OutgoingReply>,
) {
    let mut body = Vec::new();
    let read_result = exchange.as_reader().take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
    let body_bytes = body.len() as u64;
    let decoded = match read_result {
        Ok(_) if body_bytes <= MAX_BODY_BYTES => decode_exchange(&exchange, body),
        Ok(_) => Err(Reply::Error(413, "body is larger than 16 MiB".into())),
        Err(error) => Err(Reply::Error(400, error.to_string().into())),
    };
    // Sending fails only at process exit, when the receiving threads have ended.
    let _ = match decoded {
        Ok(request) => {
            let incoming = IncomingRequest { request, body_bytes, exchange };
            state.send(Message::Request(Box::new(incoming))).is_ok()
        }
        Err(reply) => {
            let delivery = Delivery::Send(reply, DurationMs(0));
            replies.send(OutgoingReply { exchange, delivery }).is_ok()
        }
    };
}

fn decode_exchange(exchange: &tiny_http::Request, body: Vec<u8>) -> Result<Request, Reply> {
    let mut headers = exchange.headers().iter();
    let client_header = headers.find(|header| header.field.equiv(CLIENT_HEADER));
    let method = exchange.method().to_string();
    let client = client_header.map(|header| header.value.as_str());
    decode(RequestParts { method: &method, url: exchange.url(), client, body })
}

/// Writes a small response without delay on the calling thread, any other on a new thread.
fn send(exchange: tiny_http::Request, encoded: EncodedResponse, delay: DurationMs) {
    if delay == DurationMs(0) && encoded.body.len() <= MAX_INLINE_BODY_BYTES {
        respond(exchange, encoded);
        return;
    }
    thread::spawn(move || {
        if delay > DurationMs(0) {
            wait(delay);
        }
        respond(exchange, encoded);
    });
}

fn respond(exchange: tiny_http::Request, encoded: EncodedResponse) {
    let content_type = if encoded.json { "application/json" } else { "application/octet-stream" };
    let header = Header::from_bytes("Content-Type", content_type)
        .expect("the content type is a valid header value");
    let response =
        Response::from_data(encoded.body).with_status_code(encoded.status).with_header(header);
    // A write error means that the client has disconnected.
    let _ = exchange.respond(response);
}
