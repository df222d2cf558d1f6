//! The object table: which of the zone's caches holds an object, as far as this router knows.
//!
//! Input: successful responses. An entry lasts about as long as a cache keeps an unused object.

use super::requests::{ObjectKey, PartKey};
use crate::interface::{CacheId, Time};
use hashlink::LinkedHashMap;

/// Lifetime of an entry since its last use (us).
const ENTRY_TTL_US: Time = 10_000_000;
/// Maximum number of entries, far more than a zone's caches fill within one lifetime. The least recently used is
/// evicted first.
const MAX_ENTRIES: usize = 16_384;

#[derive(Clone, Copy)]
struct Entry {
    cache: CacheId,
    group: u32,
    expires_at: Time,
}

/// Entries in the order of their expiry, as all have the same lifetime.
#[derive(Default)]
pub(super) struct ObjectTable(LinkedHashMap<PartKey, Entry>);

impl ObjectTable {
    /// Records that a cache holds an object.
    pub(super) fn insert(&mut self, now: Time, key: PartKey, cache: CacheId, group: u32) {
        self.0.insert(
            key,
            Entry {
                cache,
                group,
                expires_at: now + ENTRY_TTL_US,
            },
        );
        while self.0.len() > MAX_ENTRIES || self.front_has_expired(now) {
            self.0.pop_front();
        }
    }

    fn front_has_expired(&self, now: Time) -> bool {
        self.0
            .front()
            .is_some_and(|(_, entry)| entry.expires_at <= now)
    }

    /// The cache that is known to hold an object.
    pub(super) fn holder(&self, now: Time, key: PartKey) -> Option<CacheId> {
        self.0
            .get(&key)
            .filter(|entry| entry.expires_at > now)
            .map(|entry| entry.cache)
    }

    pub(super) fn remove(&mut self, key: PartKey) {
        self.0.remove(&key);
    }

    pub(super) fn remove_cache(&mut self, cache: CacheId) {
        self.0.retain(|_, entry| entry.cache != cache);
    }

    pub(super) fn remove_object(&mut self, object: ObjectKey) {
        self.0.retain(|key, _| key.object() != object);
    }

    pub(super) fn remove_group(&mut self, group: u32) {
        self.0.retain(|_, entry| entry.group != group);
    }
}
