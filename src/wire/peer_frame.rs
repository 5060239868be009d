//! Frames of messages between hosts: a big-endian length of four bytes, then the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use compact_str::CompactString;
use displaydoc::Display;

use super::peer::WireEnvelope;
use crate::core::peer::Envelope;
use crate::types::IdError;

/// Bytes of the length field in front of a message.
const LENGTH_BYTES: usize = 4;

/// Largest message in bytes. The tables are the largest content; their row at the platform is
/// smaller.
pub const MAX_MESSAGE_BYTES: usize = 1 << 23;

/// Largest message in bytes before the peer is authenticated, enough for a `Hello`.
pub const MAX_HELLO_BYTES: usize = 512;

/// Why bytes cannot be read as a message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PeerFault {
    /// message of {0} bytes, at most {1} are allowed
    TooLong(usize, usize),
    /// message is not readable: {0}
    Encoding(postcard::Error),
    /// message has bytes after its end
    TrailingBytes,
    /// {0}
    Id(IdError),
    /// tables are not readable: {0}
    Tables(CompactString),
}

impl std::error::Error for PeerFault {}

impl From<IdError> for PeerFault {
    fn from(error: IdError) -> Self {
        Self::Id(error)
    }
}

/// Appends a message as a frame.
///
/// # Errors
///
/// The message is longer than [`MAX_MESSAGE_BYTES`]; nothing is appended.
pub fn put_frame(out: &mut BytesMut, envelope: &Envelope) -> Result<(), PeerFault> {
    let bytes = postcard::to_stdvec(&WireEnvelope::from(envelope)).map_err(PeerFault::Encoding)?;
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(PeerFault::TooLong(bytes.len(), MAX_MESSAGE_BYTES));
    }
    out.put_u32(length);
    out.put_slice(&bytes);
    Ok(())
}

/// Removes the first frame from `input` and returns its content; `None` while it is incomplete.
///
/// # Errors
///
/// The frame is longer than `limit`.
pub fn take_frame(input: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, PeerFault> {
    let Some(length_field) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = usize::try_from(u32::from_be_bytes(*length_field)).unwrap_or(usize::MAX);
    if length > limit {
        return Err(PeerFault::TooLong(length, limit));
    }
    if input.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    Ok(Some(input.split_to(length).freeze()))
}

/// Decodes the content of a frame.
///
/// # Errors
///
/// The bytes are not exactly one message, or a value is not valid for its domain type.
pub fn read_message(bytes: &[u8]) -> Result<Envelope, PeerFault> {
    let (wire, rest) =
        postcard::take_from_bytes::<WireEnvelope>(bytes).map_err(PeerFault::Encoding)?;
    if !rest.is_empty() {
        return Err(PeerFault::TrailingBytes);
    }
    wire.try_into()
}
