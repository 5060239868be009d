//! Where a message of the line protocol ends.

use bytes::{Buf, Bytes, BytesMut};

use super::line::LineError;

/// Size limit of a message, including its line end.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;
/// End of a message.
pub const LINE_END: &[u8] = b"\r\n";

/// Reads lines from an input to which bytes are appended as they arrive. The input must not change
/// otherwise.
#[derive(Debug, Default)]
pub struct LineReader {
    /// Bytes at the start of the input that hold no line end. They are not searched again, so that a
    /// long message in small pieces takes linear time.
    searched_bytes: usize,
}

impl LineReader {
    /// Removes the next complete line from `input` and returns it without its line end. Only the first
    /// CR LF ends a line; other line feeds and carriage returns belong to its fields.
    ///
    /// # Errors
    ///
    /// The line is too long.
    pub fn next_line(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let Some(end) = self.find_end(input) else {
            return if input.len() > MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(None) };
        };
        if end + LINE_END.len() > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        self.searched_bytes = 0;
        let line = input.split_to(end).freeze();
        input.advance(LINE_END.len());
        Ok(Some(line))
    }

    /// Whether `input` holds a complete line.
    pub fn has_line(&mut self, input: &[u8]) -> bool {
        self.find_end(input).is_some()
    }

    fn find_end(&mut self, input: &[u8]) -> Option<usize> {
        // The owner may have cleared the input.
        self.searched_bytes = self.searched_bytes.min(input.len());
        let unsearched = &input[self.searched_bytes..];
        let found = unsearched.windows(LINE_END.len()).position(|pair| pair == LINE_END);
        // The last byte may be the first one of a line end that has not arrived in full.
        self.searched_bytes += found.unwrap_or(unsearched.len().saturating_sub(1));
        found.map(|_| self.searched_bytes)
    }
}

/// Appends a line that was read, with its line end.
pub fn write_line(out: &mut BytesMut, line: &[u8]) {
    out.extend_from_slice(line);
    out.extend_from_slice(LINE_END);
}
