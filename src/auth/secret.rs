//! Text that must not reach logs, errors or records.

use std::fmt;

use compact_str::CompactString;

/// A key, password or verifier; `Debug` and `Display` print `***`.
///
/// `==` does not run in constant time and is meant for comparing tables, not for logins.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps `text`.
    pub fn new(text: impl Into<CompactString>) -> Self {
        Self(text.into())
    }

    /// The text itself, for the one place that needs it.
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
