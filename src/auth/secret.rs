//! Text that must not appear in logs, error messages or timeline records.

use std::fmt;

use compact_str::CompactString;

/// A key, password or verifier. `Debug` and `Display` print `***`.
///
/// `==` does not run in constant time and is meant for comparing tables, not for logins.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps `text`.
    pub fn new(text: impl Into<CompactString>) -> Self {
        Self(text.into())
    }

    /// The text itself. Call this only where the value is used or stored, never for printing.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}
