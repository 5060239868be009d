//! Messages on a connection, byte for byte, and how a seed's endpoints and callers send them.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Separates the generators of this module from those that decide on the other faults of a seed.
const SEED_MASK: u64 = 1 << 63;
/// Most pieces, on average, in which a long message is sent.
const MOST_PIECES: usize = 128;
/// Pause after some of the pieces, so that the reader gets them one by one.
const PIECE_PAUSE: Duration = Duration::from_micros(200);
/// Probability that a text has a line end in it.
const LINE_END_CHANCE: f64 = 0.12;
/// Line ends that are part of a text. The pair CR LF ends a message and is in no text.
const LINE_ENDS: [&str; 3] = ["\n", "\r", "\n\r"];
/// Longest delays in milliseconds of an answer that is sent again.
const MOST_DELAY_MS: [u64; 3] = [20, 200, 1_200];

/// How the endpoints and callers of a seed send their messages.
#[derive(Clone, Debug)]
pub struct Wire {
    seed: u64,
    /// Probability of each endpoint to send an answer again.
    pub repeat_chances: [f64; 3],
    /// Whether endpoints send their answers in pieces.
    pub answers_in_pieces: bool,
}

impl Wire {
    pub fn of(seed: u64) -> Self {
        let mut wire = Self { seed, repeat_chances: [0.0; 3], answers_in_pieces: false };
        let mut rng = wire.generator(0);
        let (kind, one) = (rng.random_range(0..4), rng.random_range(0..3));
        for (place, chance) in wire.repeat_chances.iter_mut().enumerate() {
            let drawn = rng.random_range(0.03..0.33);
            if kind > 1 || (kind == 1 && place == one) {
                *chance = drawn;
            }
        }
        wire.answers_in_pieces = rng.random_bool(0.4);
        wire
    }

    /// A generator of its own for each `stream`, so that its draws shift no other fault.
    pub fn generator(&self, stream: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ SEED_MASK);
        rng.set_stream(stream);
        rng
    }

    /// Delay after which the endpoint `member` sends an answer again; none for most answers.
    pub fn repeat_after(&self, member: usize, rng: &mut ChaCha8Rng) -> Option<Duration> {
        let most_ms = *MOST_DELAY_MS.choose(rng).expect("a delay");
        let delay = Duration::from_millis(rng.random_range(2..=most_ms));
        rng.random_bool(self.repeat_chances[member]).then_some(delay)
    }
}

/// `text`, at times with a line end after it that belongs to the text. If it is cut off there, a dot
/// is left that no text without a line end has.
pub fn with_line_end(text: &str, rng: &mut ChaCha8Rng) -> String {
    if !rng.random_bool(LINE_END_CHANCE) {
        return text.to_owned();
    }
    let end = LINE_ENDS.choose(rng).expect("a line end");
    let rest = ["", "x", "READY"].choose(rng).expect("a rest");
    format!("{text}.{end}{rest}")
}

/// Sends a message in pieces of random sizes.
pub fn send_in_pieces(
    stream: &mut TcpStream,
    mut message: &[u8],
    rng: &mut ChaCha8Rng,
) -> std::io::Result<()> {
    let most = rng.random_range(1..=message.len()).max(message.len() * 2 / MOST_PIECES);
    while !message.is_empty() {
        let (piece, rest) = message.split_at(rng.random_range(1..=most).min(message.len()));
        stream.write_all(piece)?;
        message = rest;
        if rng.random_bool(0.25) {
            thread::sleep(PIECE_PAUSE);
        }
    }
    Ok(())
}

/// Reads messages, which end at CR LF; a lone CR or LF belongs to the message.
pub struct Messages {
    stream: TcpStream,
    input: Vec<u8>,
    /// Number of bytes in which the end of a message was searched.
    searched: usize,
}

impl Messages {
    pub fn from(stream: TcpStream) -> Self {
        Self { stream, input: Vec::new(), searched: 0 }
    }

    /// The next message without its end; none if the connection ends before.
    pub fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        loop {
            let found = self.input[self.searched..].windows(2).position(|pair| pair == b"\r\n");
            if let Some(end) = found.map(|at| self.searched + at) {
                self.searched = 0;
                return Ok(Some(self.input.drain(..end + 2).take(end).collect()));
            }
            // The last byte may be the CR of an end that is not complete.
            self.searched = self.input.len().saturating_sub(1);
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk)? {
                0 => return Ok(None),
                count => self.input.extend_from_slice(&chunk[..count]),
            }
        }
    }
}
