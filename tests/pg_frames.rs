//! Decoding of frames with arbitrary bytes, as callers and endpoints may send them.

use bytes::BytesMut;
use medlarstile::types::SessionId;
use medlarstile::wire::batch::BatchBuilder;
use medlarstile::wire::pg;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Frames tried for each message type.
const FRAMES: usize = 20_000;
/// Largest random body in bytes.
const MAX_BODY: usize = 40;

/// Returns a frame with a random body. Small values and zero bytes are frequent, as in real
/// messages.
fn frame(rng: &mut ChaCha8Rng, tag: u8) -> pg::Frame {
    let length = rng.random_range(0..MAX_BODY);
    let byte = |rng: &mut ChaCha8Rng| match rng.random_range(0..4) {
        0 => rng.random(),
        1 => rng.random_range(0..4),
        _ => 0,
    };
    let body: Vec<u8> = (0..length).map(|_| byte(rng)).collect();
    let mut bytes = BytesMut::from(&[tag][..]);
    bytes.extend_from_slice(&u32::try_from(4 + length).expect("small").to_be_bytes());
    bytes.extend_from_slice(&body);
    let frame = pg::next_frame(&mut bytes, 1_024).expect("a valid length");
    frame.expect("a whole frame")
}

/// Guards against a message of a caller that makes a host panic, which would end the connections of
/// all callers.
#[parameterized(query = { b'Q' }, parse = { b'P' }, bind = { b'B' }, describe = { b'D' }, close = { b'C' }, execute = { b'E' }, sync = { b'S' })]
fn no_body_of_a_caller_panics(tag: u8) {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(tag));
    for _ in 0..FRAMES {
        let mut builder = BatchBuilder::new(SessionId(1));
        let _ = builder.push(frame(&mut rng, tag));
        let _ = builder.take();
    }
}

/// Guards against a login message, or a message of an endpoint, that makes a host panic.
#[test]
fn no_body_of_a_login_or_endpoint_panics() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..FRAMES {
        let _ = pg::sasl_initial(&frame(&mut rng, b'p'));
        let _ = pg::sasl_response(&frame(&mut rng, b'p'));
        let _ = pg::error_fields(&frame(&mut rng, b'E'));
        let _ = pg::parameter_fields(&frame(&mut rng, b'S'));
        let _ = pg::auth_request(&frame(&mut rng, b'R'));
        let _ = pg::backend_key(&frame(&mut rng, b'K'));
        let _ = pg::transaction_state(&frame(&mut rng, b'Z'));
    }
}

/// Guards against start-up packets that make a host panic.
#[test]
fn no_first_packet_panics() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    for _ in 0..FRAMES {
        let length = rng.random_range(0..MAX_BODY);
        let codes = [196_608_u32, 80_877_102, 80_877_103, rng.random()];
        let code = codes[rng.random_range(0..codes.len())];
        let length_field = u32::try_from(8 + length).expect("small");
        let mut bytes = BytesMut::from(&length_field.to_be_bytes()[..]);
        bytes.extend_from_slice(&code.to_be_bytes());
        bytes.extend((0..length).map(|_| rng.random_range(0_u8..3) * 60));
        let _ = pg::next_first_packet(&mut bytes);
    }
}

/// Guards against a start-up packet with an impossible length that gets no error, because the host
/// waits for more bytes.
#[parameterized(zero = { 0 }, only_itself = { 4 }, no_code = { 7 }, huge = { 1 << 30 })]
fn an_impossible_first_length_is_refused_at_once(length: u32) {
    let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
    let error = pg::next_first_packet(&mut bytes).expect_err("a refusal");
    assert_eq!(error.kind, medlarstile::error::ErrorKind::BadStartup);
}
