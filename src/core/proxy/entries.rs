//! The endpoints that are registered in the store.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::group::EndpointEntry;
use crate::types::{DurationMs, RowVersion, Timestamp};

/// Time for which an entry is remembered after it has disappeared; longer than the age of a copy
/// from which the store may be restored.
const REMOVED_MEMORY: DurationMs = DurationMs(60_000);

/// Entries of the endpoints by the keys of their rows.
///
/// A restored store has older entries until the endpoints have written theirs again: of endpoints
/// that have left since, that were not shutting down yet, or that were the primary. What an endpoint
/// has reported later replaces them.
#[derive(Debug, Default)]
pub struct EntryTable {
    entries: BTreeMap<CompactString, EndpointEntry>,
    /// Entries that have disappeared, with the time.
    removed: BTreeMap<CompactString, (Timestamp, EndpointEntry)>,
}

impl EntryTable {
    /// Applies rows read at `version` of the store: all rows if `is_complete`, otherwise the changed
    /// ones. A row that was removed or cannot be read has no entry; the endpoint that it named before
    /// is gone in both cases.
    pub fn apply(
        &mut self,
        now: Timestamp,
        version: RowVersion,
        is_complete: bool,
        rows: impl IntoIterator<Item = (CompactString, Option<EndpointEntry>)>,
    ) {
        self.removed.retain(|_, (at, _)| now < *at + REMOVED_MEMORY);
        let mut former = BTreeMap::new();
        if is_complete {
            former = std::mem::take(&mut self.entries);
        }
        for (key, entry) in rows {
            let known = former.remove(&key).or_else(|| self.entries.remove(&key));
            match (entry, known) {
                (Some(entry), Some(known)) => {
                    let is_outdated = is_restored(&known, &entry) && entry.is_before(&known);
                    self.entries.insert(key, if is_outdated { known } else { entry });
                }
                (Some(entry), None) => {
                    let removed = self.removed.get(&key).map(|(_, removed)| removed);
                    let is_outdated = removed.is_some_and(|removed| {
                        is_restored(removed, &entry) && !removed.is_before(&entry)
                    });
                    if is_outdated {
                        tracing::info!(key = key.as_str(), version = %entry.version,
                            "discovery: entry of an endpoint that has left is ignored");
                    } else {
                        self.entries.insert(key, entry);
                    }
                }
                (None, Some(known)) => {
                    self.removed.insert(key, (now, known));
                }
                (None, None) => {}
            }
        }
        // An entry that a restore has lost is written again, possibly as it was.
        former.retain(|_, entry| entry.version.era() == version.era());
        self.removed.extend(former.into_iter().map(|(key, entry)| (key, (now, entry))));
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }
}

/// Whether the store was restored between the reads of two entries.
fn is_restored(known: &EndpointEntry, read: &EndpointEntry) -> bool {
    known.version.era() < read.version.era()
}
