//! The last items of a stream, bounded in number and bytes, and the last item of each key. What a reader is
//! sent next follows from its position alone, so a reader needs no queue of its own.

use crate::planted::{planted, Fault};
use crate::types::{Item, Position, SlowReaderPolicy, StartPosition, StreamConfig};
use foldmux_replicas::Time;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

#[derive(Clone)]
pub(crate) struct BufferedItem {
    pub(crate) item: Item,
    /// The approximate time, on this process's clock, when the source published the item.
    pub(crate) published_at: Time,
}

pub struct Ring {
    pub(crate) start: StartPosition,
    pub(crate) shared_numbering: bool,
    tracks_keys: bool,
    pub(crate) window: Time,
    /// The most items, bytes and keys.
    limits: (usize, usize, usize),
    pub(crate) epoch: Option<u64>,
    /// The last number that was received or reported as lost.
    pub(crate) last_number: u64,
    pub(crate) items: VecDeque<BufferedItem>,
    bytes: usize,
    /// The number of the last item that was evicted.
    pub(crate) last_evicted: u64,
    /// When the last evicted item without a key was published. A snapshot lacks such items up to this time.
    evicted_at: Option<Time>,
    pub(crate) keyed: BTreeMap<Arc<str>, BufferedItem>,
    keyed_bytes: usize,
    /// Whether the items kept by key are the complete state of the epoch.
    pub(crate) complete: bool,
    /// Where each process numbers the items by itself: the epoch after which items may be missing from the
    /// next epoch's snapshot.
    pub(crate) gap_epoch: Option<u64>,
}

/// The outcome of inserting an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insertion {
    New,
    Stale,
}

impl Ring {
    pub fn new(stream: &StreamConfig) -> Ring {
        Ring {
            start: stream.start,
            shared_numbering: stream.shared_numbering,
            tracks_keys: stream.start == StartPosition::Snapshot
                || stream.slow_readers == SlowReaderPolicy::Conflate,
            window: stream.snapshot_window,
            limits: (stream.max_items.max(1), stream.max_bytes, stream.max_keys),
            epoch: None,
            last_number: 0,
            items: VecDeque::new(),
            bytes: 0,
            last_evicted: 0,
            evicted_at: None,
            keyed: BTreeMap::new(),
            keyed_bytes: 0,
            complete: false,
            gap_epoch: None,
        }
    }

    pub fn position(&self) -> Option<Position> {
        self.epoch.map(|epoch| Position {
            epoch,
            number: self.last_number,
        })
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Enters an epoch; a new one clears the ring. Returns `false` for an earlier epoch where epochs are
    /// ordered.
    fn enter_epoch(&mut self, epoch: u64) -> bool {
        match self.epoch {
            Some(current) if current == epoch => true,
            Some(current)
                if self.shared_numbering && epoch < current && !planted(Fault::AcceptsOldEpoch) =>
            {
                false
            }
            _ => {
                (self.epoch, self.last_number, self.last_evicted) = (Some(epoch), 0, 0);
                (self.bytes, self.keyed_bytes, self.evicted_at) = (0, 0, None);
                self.items.clear();
                self.keyed.clear();
                self.complete = true;
                true
            }
        }
    }

    /// Adds an item. Numbers that it skips are lost to all readers, and each is told of the gap when it gets
    /// there.
    pub fn insert(&mut self, now: Time, epoch: u64, item: Item) -> Insertion {
        if !self.enter_epoch(epoch) || item.number <= self.last_number {
            return Insertion::Stale;
        }
        self.complete &= item.number == self.last_number + 1;
        self.last_number = item.number;
        let entry = BufferedItem {
            published_at: now.saturating_sub(item.age),
            item,
        };
        self.update_key(entry.clone());
        self.push(entry);
        Insertion::New
    }

    /// Whether an evicted item is younger than the snapshot window, so that a snapshot is incomplete.
    pub(crate) fn is_truncated(&self, now: Time) -> bool {
        self.evicted_at
            .is_some_and(|at| now.saturating_sub(at) <= self.window)
    }

    /// Marks snapshots as incomplete: items published up to this time may be missing.
    pub fn truncate_at(&mut self, now: Time) {
        self.evicted_at = Some(now);
    }

    /// Readers that continue from this epoch in the next one are told that items may be missing.
    pub fn mark_gap(&mut self) {
        self.gap_epoch = self.epoch;
    }

    /// Records the last item of a key, or removes a deleted key.
    fn update_key(&mut self, entry: BufferedItem) {
        let Some(key) = entry.item.key.clone().filter(|_| self.tracks_keys) else {
            return;
        };
        let size = |entry: &BufferedItem| entry.item.bytes.len();
        if let Some(old) = self.keyed.remove(&key) {
            self.keyed_bytes -= size(&old);
        }
        if entry.item.deleted {
            return;
        }
        if self.keyed.len() >= self.limits.2 || self.keyed_bytes + size(&entry) > self.limits.1 {
            // Not all keys fit: there is no snapshot until the next epoch.
            self.complete = false;
            return;
        }
        self.keyed_bytes += size(&entry);
        self.keyed.insert(key, entry);
    }

    /// Enters an epoch that has no new item yet. A ring without items starts after `number`.
    pub fn start_epoch(&mut self, epoch: u64, number: u64) {
        if self.enter_epoch(epoch) && self.last_number == 0 && self.items.is_empty() {
            (self.last_number, self.complete) = (number, number == 0);
        }
    }

    /// Skips to this number: the items up to it were not received, or never will be.
    pub fn skip_to(&mut self, epoch: u64, to: u64) {
        if self.enter_epoch(epoch) && to > self.last_number {
            self.last_number = to;
            self.complete = false;
        }
    }

    /// Applies a snapshot from another process. Buffered items stay, so that readers which have not received
    /// them get them in order. Returns `false` if the snapshot is older than the ring.
    pub fn apply_snapshot(
        &mut self,
        now: Time,
        position: Position,
        keyed: Vec<Item>,
        mut recent: Vec<Item>,
    ) -> bool {
        if !self.enter_epoch(position.epoch) || position.number < self.last_number {
            return false;
        }
        self.keyed.clear();
        (self.keyed_bytes, self.complete) = (0, true);
        keyed.into_iter().for_each(|item| {
            self.update_key(BufferedItem {
                published_at: now.saturating_sub(item.age),
                item,
            })
        });
        recent.sort_by_key(|item| item.number);
        for item in recent {
            if item.number > self.last_number && item.number <= position.number {
                self.last_number = item.number;
                self.push(BufferedItem {
                    published_at: now.saturating_sub(item.age),
                    item,
                });
            }
        }
        self.last_number = position.number;
        true
    }

    fn push(&mut self, entry: BufferedItem) {
        self.bytes += entry.item.bytes.len();
        self.items.push_back(entry);
        while self.items.len() > self.limits.0
            || (self.bytes > self.limits.1 && self.items.len() > 1)
        {
            let old = self.items.pop_front().expect("counted");
            self.bytes -= old.item.bytes.len();
            self.last_evicted = old.item.number;
            if old.item.key.is_none() {
                self.evicted_at = Some(old.published_at);
            }
        }
    }

    /// Whether an item that follows this position was evicted.
    pub fn evicted_after(&self, position: Position) -> bool {
        self.epoch == Some(position.epoch) && position.number < self.last_evicted
    }
}
