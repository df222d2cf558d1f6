//! The readers of a ring, each with its own position and a bound on the events beyond those that it
//! acknowledged. A reader's behaviour has no effect on the others.

use crate::planted::{planted, Fault};
use crate::ring::Ring;
use crate::types::{Event, Position, SlowReaderPolicy};
use foldmux_replicas::Time;
use std::collections::BTreeMap;

/// The events after which a batch is sent.
const MAX_BATCH: usize = 64;

pub struct Reader {
    position: Option<Position>,
    /// The last event number that was sent to the reader, and the last that it acknowledged.
    sent: u64,
    acknowledged: u64,
    max_unacknowledged: u64,
    /// Whether the reader has been sent an event.
    started: bool,
    /// When the reader was last sent an event.
    pub last_sent_at: Time,
}

/// Consecutive events for a reader. `first` is the reader's own number of the first.
pub struct Batch {
    pub first: u64,
    pub events: Vec<Event>,
}

impl Reader {
    pub fn new(
        now: Time,
        after: u64,
        position: Option<Position>,
        max_unacknowledged: u64,
    ) -> Reader {
        Reader {
            position,
            sent: after,
            acknowledged: after,
            max_unacknowledged: max_unacknowledged.max(1),
            started: false,
            last_sent_at: now,
        }
    }

    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Records an acknowledgement. A number that was never sent is ignored.
    pub fn acknowledge(&mut self, number: u64) {
        if number <= self.sent {
            self.acknowledged = self.acknowledged.max(number);
        }
    }

    pub fn position(&self) -> Option<Position> {
        self.position
    }

    pub fn is_blocked(&self) -> bool {
        self.sent - self.acknowledged >= self.max_unacknowledged
    }

    /// The next batch that the reader may be sent.
    ///
    /// # Errors
    ///
    /// When the ring evicted items that the reader had not received, and its stream may not skip any.
    pub fn next_batch(
        &mut self,
        now: Time,
        ring: &Ring,
        policy: SlowReaderPolicy,
    ) -> Result<Option<Batch>, TooSlow> {
        // Items lost before the reader started are reported as a gap; for one that has started, they end the
        // subscription.
        if policy == SlowReaderPolicy::Disconnect
            && self.started
            && self
                .position
                .is_some_and(|position| ring.evicted_after(position))
        {
            return Err(TooSlow);
        }
        let (first, mut events) = (self.sent + 1, Vec::new());
        while !self.is_blocked() && events.len() < MAX_BATCH {
            let Some((next, position)) =
                ring.next_events(now, self.position, policy == SlowReaderPolicy::Conflate)
            else {
                break;
            };
            (self.position, self.started) = (Some(position), true);
            let omitted =
                |event: &Event| planted(Fault::OmitsGaps) && matches!(event, Event::Gap { .. });
            events.extend(next.into_iter().filter(|event| !omitted(event)));
            self.sent = first - 1 + events.iter().map(Event::span).sum::<u64>();
        }
        if events.is_empty() {
            return Ok(None);
        }
        self.last_sent_at = now;
        Ok(Some(Batch { first, events }))
    }
}

impl Reader {
    /// Sends batches until there are no more events, or the reader may be sent no more.
    fn send_all(
        &mut self,
        now: Time,
        ring: &Ring,
        policy: SlowReaderPolicy,
        send: &mut impl FnMut(Batch),
    ) -> Result<(), TooSlow> {
        while let Some(batch) = self.next_batch(now, ring, policy)? {
            send(batch);
        }
        Ok(())
    }
}

/// The reader fell behind the ring, and its stream may not skip any items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooSlow;

/// Readers by name, up to a capacity.
pub struct Readers<K> {
    capacity: usize,
    readers: BTreeMap<K, Reader>,
}

impl<K: Ord + Clone> Readers<K> {
    pub fn new(capacity: usize) -> Readers<K> {
        Readers {
            capacity,
            readers: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.readers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.readers.is_empty()
    }

    pub fn get_mut(&mut self, name: &K) -> Option<&mut Reader> {
        self.readers.get_mut(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&K, &Reader)> {
        self.readers.iter()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut Reader)> {
        self.readers.iter_mut()
    }

    /// Adds a reader or replaces the one of the same name. Returns `false` if there is no room.
    pub fn insert(&mut self, name: K, reader: Reader) -> bool {
        let fits = self.readers.len() < self.capacity || self.readers.contains_key(&name);
        if fits {
            self.readers.insert(name, reader);
        }
        fits
    }

    pub fn remove(&mut self, name: &K) -> bool {
        self.readers.remove(name).is_some()
    }

    pub fn retain(&mut self, predicate: impl Fn(&K) -> bool) {
        self.readers.retain(|name, _| predicate(name));
    }

    pub fn has_room(&self) -> bool {
        self.readers.len() < self.capacity
    }

    /// Sends each reader the events that it may be sent. Removes and returns the readers that were too slow.
    pub fn send_to_all(
        &mut self,
        now: Time,
        ring: &Ring,
        policy: SlowReaderPolicy,
        mut send: impl FnMut(&K, Batch),
    ) -> Vec<K> {
        let mut too_slow = Vec::new();
        for (name, reader) in &mut self.readers {
            if planted(Fault::SlowReaderBlocks) && reader.is_blocked() {
                break;
            }
            if reader
                .send_all(now, ring, policy, &mut |batch| send(name, batch))
                .is_err()
            {
                too_slow.push(name.clone());
            }
        }
        self.readers.retain(|name, _| !too_slow.contains(name));
        too_slow
    }

    /// Sends one reader its events. Returns whether it was too slow, and was removed.
    pub fn send_to(
        &mut self,
        now: Time,
        name: &K,
        ring: &Ring,
        policy: SlowReaderPolicy,
        send: &mut impl FnMut(&K, Batch),
    ) -> bool {
        let Some(reader) = self.readers.get_mut(name) else {
            return false;
        };
        let too_slow = reader
            .send_all(now, ring, policy, &mut |batch| send(name, batch))
            .is_err();
        if too_slow {
            self.readers.remove(name);
        }
        too_slow
    }
}
