//! Merging and filtering of the records of all hosts.

use compact_str::CompactString;

use super::Record;
use crate::types::{GroupId, RequestId, SessionId};

/// Conditions on records, all of which must hold; `None` accepts every record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only this request.
    pub request: Option<RequestId>,
    /// Only this session.
    pub session: Option<SessionId>,
    /// Only this database group.
    pub group: Option<GroupId>,
    /// Only this client account.
    pub account: Option<CompactString>,
    /// Only records of this wall time or later.
    pub since_ms: Option<u64>,
    /// Only records of this wall time or earlier.
    pub until_ms: Option<u64>,
}

impl Filter {
    /// Whether `record` meets all conditions.
    pub fn accepts(&self, record: &Record) -> bool {
        fn matches<T: PartialEq>(expected: &Option<T>, actual: &Option<T>) -> bool {
            expected.is_none() || expected == actual
        }
        let decision = &record.decision;
        matches(&self.request, &decision.request)
            && matches(&self.session, &decision.session)
            && matches(&self.group, &decision.group)
            && matches(&self.account, &decision.account)
            && self.since_ms.is_none_or(|since| record.stamp.wall_ms >= since)
            && self.until_ms.is_none_or(|until| record.stamp.wall_ms <= until)
    }
}

/// The records of all segments that `filter` accepts, sorted by stamp and without duplicates.
pub fn merge(segments: Vec<Vec<Record>>, filter: &Filter) -> Vec<Record> {
    let records = segments.into_iter().flatten();
    let mut records: Vec<Record> = records.filter(|record| filter.accepts(record)).collect();
    records.sort_by(|left, right| left.stamp.cmp(&right.stamp));
    records.dedup();
    records
}
