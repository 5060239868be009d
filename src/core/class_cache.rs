//! Caches the classes of recent statement texts, so that repeated statements are not parsed again.

use std::collections::HashMap;

use super::classify::{classify, Class};

/// Maximum texts in one generation. Two full generations of the longest texts take 1 MiB.
const GENERATION_TEXTS: usize = 512;
/// Maximum length in bytes of a cached text.
const MAX_TEXT_BYTES: usize = 1024;

/// A bounded cache of the results of [`classify`], which depend only on the text.
///
/// The cache has two generations. When the recent one is full, it replaces the older one; a lookup
/// moves a text back to the recent one. Texts in use therefore stay cached, and eviction needs no
/// search.
#[derive(Debug, Default)]
pub struct ClassCache {
    recent: HashMap<Box<str>, Class>,
    older: HashMap<Box<str>, Class>,
}

impl ClassCache {
    /// The class of `sql`, from the cache if possible.
    pub fn classify(&mut self, sql: &str) -> Class {
        if let Some(class) = self.recent.get(sql) {
            return class.clone();
        }
        let class = self.older.remove(sql).unwrap_or_else(|| classify(sql));
        if sql.len() <= MAX_TEXT_BYTES {
            self.insert(sql, class.clone());
        }
        class
    }

    fn insert(&mut self, sql: &str, class: Class) {
        if self.recent.len() >= GENERATION_TEXTS {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(sql.into(), class);
    }

    /// Number of cached texts.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
