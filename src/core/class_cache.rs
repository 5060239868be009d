//! Classes of recent statement texts, so that a repeated statement is not parsed again.

use std::collections::HashMap;

use super::classify::{classify, Class};

/// Texts in one generation. Two generations of texts of the largest size take 1 MiB.
const GENERATION_TEXTS: usize = 512;
/// Longest text that is kept, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// A bounded cache of [`classify`], which depends on the text alone.
///
/// A full generation replaces the one before it, so a text in use stays and the cost of making
/// room does not depend on the texts.
#[derive(Debug, Default)]
pub struct ClassCache {
    recent: HashMap<Box<str>, Class>,
    older: HashMap<Box<str>, Class>,
}

impl ClassCache {
    /// The class of `sql`.
    pub fn classify(&mut self, sql: &str) -> Class {
        if let Some(class) = self.recent.get(sql) {
            return class.clone();
        }
        let class = self.older.remove(sql).unwrap_or_else(|| classify(sql));
        if sql.len() <= MAX_TEXT_BYTES {
            self.keep(sql, class.clone());
        }
        class
    }

    fn keep(&mut self, sql: &str, class: Class) {
        if self.recent.len() >= GENERATION_TEXTS {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(sql.into(), class);
    }

    /// Number of texts kept.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Whether no text is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
