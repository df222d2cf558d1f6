//! Which cache holds an object, as far as this router has seen.

use super::*;
use hashlink::LinkedHashMap;

/// How long an entry lives (us), renewed by each use: about what a location keeps unused.
const LIFE: Time = 10_000_000;
/// Most entries: far above what a location's caches turn over in a lifetime. The one longest unused goes.
const TABLE_MAX: usize = 16_384;

#[derive(Clone, Copy)]
pub struct Entry {
    pub cache: CacheId,
    pub group: u32,
    until: Time,
}

/// In the order of their ends, as all live equally long.
#[derive(Default)]
pub struct Table(LinkedHashMap<u64, Entry>);

impl Table {
    pub fn put(&mut self, key: u64, cache: CacheId, group: u32, now: Time) {
        self.0.insert(
            key,
            Entry {
                cache,
                group,
                until: now + LIFE,
            },
        );
        while self.0.len() > TABLE_MAX || self.0.front().is_some_and(|(_, e)| e.until <= now) {
            self.0.pop_front();
        }
    }

    pub fn get(&self, key: u64, now: Time) -> Option<Entry> {
        self.0.get(&key).copied().filter(|e| e.until > now)
    }

    pub fn retain(&mut self, keep: impl Fn(u64, &Entry) -> bool) {
        self.0.retain(|&key, entry| keep(key, entry));
    }

    pub fn remove(&mut self, key: u64) {
        self.0.remove(&key);
    }
}
