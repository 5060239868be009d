//! The endpoints that are registered in the store.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::group::EndpointEntry;

/// Entries of the endpoints by the keys of their rows.
#[derive(Debug, Default)]
pub struct EntryTable {
    entries: BTreeMap<CompactString, EndpointEntry>,
}

impl EntryTable {
    /// Applies all rows if `is_complete`, otherwise the changed ones. A row that was removed or
    /// cannot be read has no entry; the endpoint that it named before is gone in both cases.
    pub fn apply(
        &mut self,
        is_complete: bool,
        rows: impl IntoIterator<Item = (CompactString, Option<EndpointEntry>)>,
    ) {
        if is_complete {
            self.entries.clear();
        }
        for (key, entry) in rows {
            match entry {
                Some(entry) => self.entries.insert(key, entry),
                None => self.entries.remove(&key),
            };
        }
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }
}
