//! The last items of a stream, with a bound on number and bytes, and the last of each key. What a reader is sent next
//! follows from its place alone, so that a reader costs a place and no queue.

use crate::planted::{planted, Fault};
use crate::types::{First, Item, Place, Slow, Stream};
use foldmux_replicas::Time;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

#[derive(Clone)]
pub(crate) struct Kept {
    pub(crate) item: Item,
    /// When it was told, on this process's clock, about.
    pub(crate) at: Time,
}

pub struct Ring {
    pub(crate) first: First,
    pub(crate) shared: bool,
    by_key: bool,
    pub(crate) window: Time,
    most: (usize, usize, usize),
    pub(crate) epoch: Option<u64>,
    /// The last number heard or told as lost.
    pub(crate) last: u64,
    pub(crate) items: VecDeque<Kept>,
    bytes: usize,
    /// The last number that the bounds pushed out.
    pub(crate) evicted: u64,
    /// When what was pushed out last, and has no key, was told: the whole has no more than what came after.
    evicted_at: Option<Time>,
    pub(crate) keyed: BTreeMap<Arc<str>, Kept>,
    keyed_bytes: usize,
    /// The last of each key is all that the epoch has.
    pub(crate) complete: bool,
    /// Where readers count for themselves: what the next epoch's whole tells may not be all.
    pub(crate) gap: Option<u64>,
}

/// What becomes of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    New,
    Old,
}

impl Ring {
    pub fn new(stream: &Stream) -> Ring {
        Ring {
            first: stream.first,
            shared: stream.shared,
            by_key: stream.first == First::Whole || stream.slow == Slow::Latest,
            window: stream.window,
            most: (stream.items.max(1), stream.bytes, stream.keys),
            epoch: None,
            last: 0,
            items: VecDeque::new(),
            bytes: 0,
            evicted: 0,
            evicted_at: None,
            keyed: BTreeMap::new(),
            keyed_bytes: 0,
            complete: false,
            gap: None,
        }
    }

    pub fn place(&self) -> Option<Place> {
        self.epoch.map(|epoch| Place {
            epoch,
            number: self.last,
        })
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// A later epoch empties it. False: an earlier one, of a source whose epochs have an order.
    fn turn(&mut self, epoch: u64) -> bool {
        match self.epoch {
            Some(own) if own == epoch => true,
            Some(own) if self.shared && epoch < own && !planted(Fault::OldEpochTaken) => false,
            _ => {
                (self.epoch, self.last, self.evicted) = (Some(epoch), 0, 0);
                (self.bytes, self.keyed_bytes, self.evicted_at) = (0, 0, None);
                self.items.clear();
                self.keyed.clear();
                self.complete = true;
                true
            }
        }
    }

    /// Adds an item. A number that is left out is lost to all readers: they are told when they come by it.
    pub fn put(&mut self, now: Time, epoch: u64, item: Item) -> Put {
        if !self.turn(epoch) || item.number <= self.last {
            return Put::Old;
        }
        self.complete &= item.number == self.last + 1;
        self.last = item.number;
        let kept = Kept {
            at: now.saturating_sub(item.age),
            item,
        };
        self.remember(kept.clone());
        self.keep(kept);
        Put::New
    }

    /// The bounds pushed out what is younger than the window: a whole does not have it.
    pub(crate) fn cut_short(&self, now: Time) -> bool {
        self.evicted_at
            .is_some_and(|at| now.saturating_sub(at) <= self.window)
    }

    /// The whole that came is said to be short of what went before.
    pub fn cut_at(&mut self, now: Time) {
        self.evicted_at = Some(now);
    }

    /// Whoever reads on from this epoch to the next is told that something may be missing.
    pub fn mark_gap(&mut self) {
        self.gap = self.epoch;
    }

    fn remember(&mut self, kept: Kept) {
        let Some(key) = kept.item.key.clone().filter(|_| self.by_key) else {
            return;
        };
        let size = |kept: &Kept| kept.item.bytes.len();
        if let Some(old) = self.keyed.remove(&key) {
            self.keyed_bytes -= size(&old);
        }
        if kept.item.gone {
            return;
        }
        if self.keyed.len() >= self.most.2 || self.keyed_bytes + size(&kept) > self.most.1 {
            // Not all keys fit: from here on there is no whole to give, until another epoch.
            self.complete = false;
            return;
        }
        self.keyed_bytes += size(&kept);
        self.keyed.insert(key, kept);
    }

    /// An epoch that has told nothing new yet; or where one begins that had no place.
    pub fn begin(&mut self, epoch: u64, number: u64) {
        if self.turn(epoch) && self.last == 0 && self.items.is_empty() {
            (self.last, self.complete) = (number, number == 0);
        }
    }

    /// The epoch told up to there, and the rest of it was not heard, or will not come.
    pub fn lost(&mut self, epoch: u64, to: u64) {
        if self.turn(epoch) && to > self.last {
            self.last = to;
            self.complete = false;
        }
    }

    /// The whole, from one who has it. What is held stays: readers that have not had it yet get it in order.
    pub fn whole(
        &mut self,
        now: Time,
        place: Place,
        keyed: Vec<Item>,
        mut recent: Vec<Item>,
    ) -> bool {
        if !self.turn(place.epoch) || place.number < self.last {
            return false;
        }
        self.keyed.clear();
        (self.keyed_bytes, self.complete) = (0, true);
        keyed.into_iter().for_each(|item| {
            self.remember(Kept {
                at: now.saturating_sub(item.age),
                item,
            })
        });
        recent.sort_by_key(|item| item.number);
        for item in recent {
            if item.number > self.last && item.number <= place.number {
                self.last = item.number;
                self.keep(Kept {
                    at: now.saturating_sub(item.age),
                    item,
                });
            }
        }
        self.last = place.number;
        true
    }

    fn keep(&mut self, kept: Kept) {
        self.bytes += kept.item.bytes.len();
        self.items.push_back(kept);
        while self.items.len() > self.most.0 || (self.bytes > self.most.1 && self.items.len() > 1) {
            let old = self.items.pop_front().expect("counted");
            self.bytes -= old.item.bytes.len();
            self.evicted = old.item.number;
            if old.item.key.is_none() {
                self.evicted_at = Some(old.at);
            }
        }
    }

    /// Whether what follows on a place is here no longer.
    pub fn overran(&self, at: Place) -> bool {
        self.epoch == Some(at.epoch) && at.number < self.evicted
    }
}
