//! The line with which one host opens a session at another one for its caller.

use bytes::BytesMut;

use crate::types::TableVersion;

/// First word of the line.
const WORD: &str = "RELAY ";

/// Writes the line. `version` is the configuration under which the sender has admitted the caller.
pub fn write(out: &mut BytesMut, version: TableVersion) {
    out.extend_from_slice(format!("{WORD}{version}\r\n").as_bytes());
}

/// Reads the line, without its end.
pub fn read(line: &[u8]) -> Option<TableVersion> {
    let text = std::str::from_utf8(line).ok()?;
    text.strip_prefix(WORD)?.parse().ok()
}
