//! The stream at its source, as this process reads it: one reading, whoever in the process wants it. Order, repeats and
//! gaps are the ring's; a source that starts again at 1 has a new epoch.

use crate::ring::{Put, Ring};
use crate::types::{Item, Stream};
use foldmux_replicas::Time;

pub struct Source {
    pub ring: Ring,
    shared: bool,
    start: Time,
    open: bool,
    /// It has answered since it was opened: what the ring says is no older than that.
    fresh: bool,
}

impl Source {
    pub fn new(stream: &Stream, start: Time) -> Source {
        Source {
            shared: stream.shared,
            start,
            ring: Ring::new(stream),
            open: false,
            fresh: false,
        }
    }

    /// Opens or closes; whether that is a change.
    pub fn want(&mut self, open: bool) -> bool {
        let change = self.open != open;
        if change {
            (self.open, self.fresh) = (open, false);
        }
        change
    }

    pub fn open(&self) -> bool {
        self.open
    }

    pub fn fresh(&self) -> bool {
        self.fresh
    }

    /// An answer of the source. What came late, after the reading ended, is kept too.
    pub fn fed(&mut self, now: Time, epoch: u64, items: Vec<Item>) -> usize {
        self.fresh = self.open;
        let before = self.ring.place();
        self.ring.begin(epoch, 0);
        // What was told before this process began to count, or last in the epoch before, a whole of this one may not have.
        match before {
            _ if self.shared => {}
            None => self.ring.cut_at(self.start),
            Some(place) if place.epoch != epoch => self.ring.cut_at(now),
            Some(_) => {}
        }
        items
            .into_iter()
            .filter(|item| self.ring.put(now, epoch, item.clone()) == Put::New)
            .count()
    }

    pub fn failed(&mut self) {
        self.fresh = false;
    }
}
