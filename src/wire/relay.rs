//! The text line with which a host opens a relayed session at another host on behalf of a caller.

use bytes::BytesMut;

use crate::types::TableVersion;

/// Keyword at the start of the line, with the separating space.
const KEYWORD: &str = "RELAY ";

/// Appends the line. `version` is the configuration under which the sender has admitted the caller.
pub fn write(out: &mut BytesMut, version: TableVersion) {
    out.extend_from_slice(format!("{KEYWORD}{version}\r\n").as_bytes());
}

/// Parses the line without its CR LF; `None` if it is malformed.
pub fn read(line: &[u8]) -> Option<TableVersion> {
    let text = std::str::from_utf8(line).ok()?;
    text.strip_prefix(KEYWORD)?.parse().ok()
}
