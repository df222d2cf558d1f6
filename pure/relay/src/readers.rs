//! Readers of one ring, each with a place of its own and a bound on what it is told ahead of what it took. What a reader
//! does or fails to do changes nothing for another.

use crate::planted::{planted, Fault};
use crate::ring::Ring;
use crate::types::{Event, Place, Slow};
use foldmux_replicas::Time;
use std::collections::BTreeMap;

/// Told at once, at most: the rest comes with the next turn.
const BATCH: usize = 64;

pub struct Reader {
    place: Option<Place>,
    /// The last of its own numbers that it was told, and that it took.
    told: u64,
    taken: u64,
    ahead: u64,
    /// It has been told something.
    here: bool,
    /// When it was last told something.
    pub told_at: Time,
}

/// A run of events for a reader; the first has this number of its own.
pub struct Run {
    pub first: u64,
    pub events: Vec<Event>,
}

impl Reader {
    pub fn new(now: Time, after: u64, place: Option<Place>, ahead: u64) -> Reader {
        Reader {
            place,
            told: after,
            taken: after,
            ahead: ahead.max(1),
            here: false,
            told_at: now,
        }
    }

    pub fn told(&self) -> u64 {
        self.told
    }

    /// A number that was never told counts for nothing.
    pub fn take(&mut self, number: u64) {
        if number <= self.told {
            self.taken = self.taken.max(number);
        }
    }

    pub fn place(&self) -> Option<Place> {
        self.place
    }

    pub fn blocked(&self) -> bool {
        self.told - self.taken >= self.ahead
    }

    /// What it may be told now. `Err`: the ring went past it, and its stream leaves nothing out.
    pub fn run(&mut self, now: Time, ring: &Ring, slow: Slow) -> Result<Option<Run>, TooSlow> {
        // What was lost before it came is told; what one that was here let pass ends it.
        if slow == Slow::All && self.here && self.place.is_some_and(|place| ring.overran(place)) {
            return Err(TooSlow);
        }
        let (first, mut events) = (self.told + 1, Vec::new());
        while !self.blocked() && events.len() < BATCH {
            let Some((next, place)) = ring.next(now, self.place, slow == Slow::Latest) else {
                break;
            };
            (self.place, self.here) = (Some(place), true);
            let untold =
                |event: &Event| planted(Fault::GapUntold) && matches!(event, Event::Lost { .. });
            events.extend(next.into_iter().filter(|event| !untold(event)));
            self.told = first - 1 + events.iter().map(Event::span).sum::<u64>();
        }
        if events.is_empty() {
            return Ok(None);
        }
        self.told_at = now;
        Ok(Some(Run { first, events }))
    }
}

impl Reader {
    /// Runs until there is no more, or no room.
    fn feed(
        &mut self,
        now: Time,
        ring: &Ring,
        slow: Slow,
        tell: &mut impl FnMut(Run),
    ) -> Result<(), TooSlow> {
        while let Some(run) = self.run(now, ring, slow)? {
            tell(run);
        }
        Ok(())
    }
}

/// Why a reader is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooSlow;

/// Readers by name, bounded.
pub struct Readers<K> {
    most: usize,
    all: BTreeMap<K, Reader>,
}

impl<K: Ord + Clone> Readers<K> {
    pub fn new(most: usize) -> Readers<K> {
        Readers {
            most,
            all: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn get_mut(&mut self, name: &K) -> Option<&mut Reader> {
        self.all.get_mut(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&K, &Reader)> {
        self.all.iter()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut Reader)> {
        self.all.iter_mut()
    }

    /// False: there is no room. One of the same name is replaced.
    pub fn add(&mut self, name: K, reader: Reader) -> bool {
        let room = self.all.len() < self.most || self.all.contains_key(&name);
        if room {
            self.all.insert(name, reader);
        }
        room
    }

    pub fn remove(&mut self, name: &K) -> bool {
        self.all.remove(name).is_some()
    }

    pub fn keep(&mut self, keep: impl Fn(&K) -> bool) {
        self.all.retain(|name, _| keep(name));
    }

    pub fn has_room(&self) -> bool {
        self.all.len() < self.most
    }

    /// Tells each what it may be told now; those that are too slow for a stream that leaves nothing out are gone.
    pub fn pump(
        &mut self,
        now: Time,
        ring: &Ring,
        slow: Slow,
        mut tell: impl FnMut(&K, Run),
    ) -> Vec<K> {
        let mut ended = Vec::new();
        for (name, reader) in &mut self.all {
            if planted(Fault::SlowBlocks) && reader.blocked() {
                break;
            }
            if reader
                .feed(now, ring, slow, &mut |run| tell(name, run))
                .is_err()
            {
                ended.push(name.clone());
            }
        }
        self.all.retain(|name, _| !ended.contains(name));
        ended
    }

    /// The same for one; whether it was too slow, and is gone.
    pub fn pump_one(
        &mut self,
        now: Time,
        name: &K,
        ring: &Ring,
        slow: Slow,
        tell: &mut impl FnMut(&K, Run),
    ) -> bool {
        let Some(reader) = self.all.get_mut(name) else {
            return false;
        };
        let slow = reader
            .feed(now, ring, slow, &mut |run| tell(name, run))
            .is_err();
        if slow {
            self.all.remove(name);
        }
        slow
    }
}
