//! The stream as this process reads it at its source: once, for all branches and readers of the process. The
//! ring handles order, duplicates and gaps. A source that restarts its numbers at 1 has a new epoch.

use crate::ring::{Insertion, Ring};
use crate::types::{Item, StreamConfig};
use foldmux_replicas::Time;

pub struct Source {
    pub ring: Ring,
    shared_numbering: bool,
    start: Time,
    open: bool,
    /// Whether the source has answered since it was opened: the ring's content is no older than that.
    fresh: bool,
}

impl Source {
    pub fn new(stream: &StreamConfig, start: Time) -> Source {
        Source {
            shared_numbering: stream.shared_numbering,
            start,
            ring: Ring::new(stream),
            open: false,
            fresh: false,
        }
    }

    /// Opens or closes the source. Returns whether that is a change.
    pub fn set_open(&mut self, open: bool) -> bool {
        let change = self.open != open;
        if change {
            (self.open, self.fresh) = (open, false);
        }
        change
    }

    pub fn is_open(&self) -> bool {
        self.open
    }

    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Handles an answer of the source, also one that arrives after the source was closed. Returns how many
    /// items were new.
    pub fn on_items(&mut self, now: Time, epoch: u64, items: Vec<Item>) -> usize {
        self.fresh = self.open;
        let before = self.ring.position();
        self.ring.start_epoch(epoch, 0);
        // A snapshot of this epoch may lack what was published before this process began to number the items,
        // or at the end of the previous epoch.
        match before {
            _ if self.shared_numbering => {}
            None => self.ring.truncate_at(self.start),
            Some(position) if position.epoch != epoch => self.ring.truncate_at(now),
            Some(_) => {}
        }
        items
            .into_iter()
            .filter(|item| self.ring.insert(now, epoch, item.clone()) == Insertion::New)
            .count()
    }

    pub fn on_failure(&mut self) {
        self.fresh = false;
    }
}
