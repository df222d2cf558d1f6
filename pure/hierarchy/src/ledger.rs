//! Who fetches and who waits, at one hub. Misses for one part of an object are collapsed behind one fetch; the
//! ledger says who leads, who joins, when a fetch that shows no progress is given up, and when it is called off.
//!
//! Fills that wait for each other across hubs never form a circle, by this rule: *a fill waits only for fetches of
//! its own epoch; a fill that has passed nodes of two epochs is solo from there on: it waits for none further up,
//! but anyone may wait for it.* All fetches in a circle of waits would be of one epoch, and so in one tree, which
//! has no cycle; a solo fetch ends by itself, as its way never visits a node twice. Two epochs meet only while a
//! rewiring is under way, and each hub leads one solo fetch for an object at most.

mod types;

pub use types::{Arrival, Counts, FetchId, Key, Lane, Limits, Next, Turn, WaitId, Want};

use crate::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

#[derive(Debug)]
struct Fetch {
    key: Key,
    lane: Lane,
    born_after: u64,
    waits: u32,
    /// The latest time at which somebody still waits.
    until: Time,
    attempt: u32,
    lease_until: Time,
}

/// The fetches under way at one hub, and who waits for each.
pub struct Ledger {
    limits: Limits,
    /// The fetch that may be joined, one at most for each key and lane.
    leads: HashMap<(Key, Lane), FetchId>,
    fetches: HashMap<FetchId, Fetch>,
    waits: HashMap<WaitId, FetchId>,
    /// Ends of leases as they were set; one that was renewed has a later one.
    ends: BinaryHeap<Reverse<(Time, FetchId)>>,
    next: u64,
    counts: Counts,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: Limits) -> Ledger {
        Ledger {
            limits,
            leads: HashMap::new(),
            fetches: HashMap::new(),
            waits: HashMap::new(),
            ends: BinaryHeap::new(),
            next: 0,
            counts: Counts::default(),
        }
    }

    /// What happened, since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Fetches under way, and those who wait for them.
    pub fn size(&self) -> (usize, usize) {
        (self.fetches.len(), self.waits.len())
    }

    /// Somebody wants a part that is not held here.
    pub fn want(&mut self, now: Time, want: Want) -> Turn {
        if self.waits.len() >= self.limits.waits {
            self.counts.full += 1;
            return Turn::Full;
        }
        let lane = want.arrival.lane(want.present);
        let joined = if want.arrival.solo {
            None
        } else {
            self.joinable(&want, lane)
        };
        if let Some(id) = joined {
            self.counts.joined += 1;
            let fetch = self.fetches.get_mut(&id).expect("a lead is under way");
            fetch.waits += 1;
            fetch.until = fetch.until.max(want.until);
            return Turn::Join(id, self.wait(id));
        }
        if self.fetches.len() >= self.limits.fetches {
            self.counts.full += 1;
            return Turn::Full;
        }
        self.counts.led += 1;
        let id = FetchId(self.next);
        self.next += 1;
        let lease_until = now.saturating_add(self.limits.lease);
        let (key, born_after) = (want.key, want.born_after);
        let fetch = Fetch {
            key,
            lane,
            born_after,
            waits: 1,
            until: want.until,
            attempt: 0,
            lease_until,
        };
        self.fetches.insert(id, fetch);
        self.ends.push(Reverse((lease_until, id)));
        // In its lane's place also where one was there whose copy may be too old: later ones join the newer.
        // A fill that came solo must not be waited for less than others: anyone may.
        self.leads.insert((key, lane), id);
        Turn::Lead(id, self.wait(id))
    }

    fn joinable(&self, want: &Want, lane: Lane) -> Option<FetchId> {
        // Guards against a copy from before a purge reaching one who was told of it: what was sent for with a
        // looser bound is not waited for.
        let strict = |id: &&FetchId| self.fetches[*id].born_after >= want.born_after;
        let of = |lane| self.leads.get(&(want.key, lane)).filter(strict);
        of(lane).or_else(|| of(Lane::Solo)).copied()
    }

    fn wait(&mut self, id: FetchId) -> WaitId {
        let wait = WaitId(self.next);
        self.next += 1;
        self.waits.insert(wait, id);
        wait
    }

    /// Bytes came for a try: its lease goes on.
    pub fn beat(&mut self, now: Time, id: FetchId, attempt: u32) {
        let lease = self.limits.lease;
        if let Some(fetch) = self.fetches.get_mut(&id).filter(|f| f.attempt == attempt) {
            fetch.lease_until = now.saturating_add(lease);
        }
    }

    /// One who waits has its answer, left, or gave up. The fetch to call off, if nobody waits any more.
    pub fn leave(&mut self, wait: WaitId) -> Option<FetchId> {
        let id = self.waits.remove(&wait)?;
        let fetch = self.fetches.get_mut(&id)?;
        fetch.waits -= 1;
        if fetch.waits > 0 {
            return None;
        }
        self.counts.called_off += 1;
        self.forget(id);
        Some(id)
    }

    /// A fetch has its part whole, or word that is final for all (it does not exist).
    pub fn done(&mut self, id: FetchId, attempt: u32) -> bool {
        let current = self.fetches.get(&id).is_some_and(|f| f.attempt == attempt);
        if current {
            self.forget(id);
        }
        current
    }

    /// A try's source failed. Those who wait go on with one more try, not one each.
    pub fn failed(&mut self, now: Time, id: FetchId, attempt: u32) -> Next {
        let Limits {
            lease, attempts, ..
        } = self.limits;
        let Some(fetch) = self.fetches.get_mut(&id).filter(|f| f.attempt == attempt) else {
            return Next::Stale;
        };
        if fetch.until <= now || attempt + 1 >= attempts {
            self.forget(id);
            return Next::Over;
        }
        fetch.attempt += 1;
        fetch.lease_until = now.saturating_add(lease);
        self.counts.again += 1;
        let next = fetch.attempt;
        self.ends.push(Reverse((fetch.lease_until, id)));
        Next::Again(next)
    }

    /// Tries whose lease ran out: whoever made them died or hangs. Each is to be reported as failed.
    pub fn lapsed(&mut self, now: Time) -> Vec<(FetchId, u32)> {
        let mut lapsed = Vec::new();
        while let Some(&Reverse((due, id))) = self.ends.peek() {
            if due > now {
                break;
            }
            self.ends.pop();
            match self.fetches.get(&id) {
                Some(fetch) if fetch.lease_until <= now => {
                    self.counts.lapsed += 1;
                    lapsed.push((id, fetch.attempt));
                }
                Some(fetch) => self.ends.push(Reverse((fetch.lease_until, id))),
                None => {}
            }
        }
        lapsed
    }

    /// When to look for lapsed leases next.
    pub fn next_due(&self) -> Option<Time> {
        self.ends.peek().map(|Reverse((due, _))| *due)
    }

    /// Until when somebody waits for a fetch.
    pub fn until(&self, id: FetchId) -> Option<Time> {
        self.fetches.get(&id).map(|f| f.until)
    }

    /// The try that is under way for a fetch.
    pub fn attempt(&self, id: FetchId) -> Option<u32> {
        self.fetches.get(&id).map(|f| f.attempt)
    }

    fn forget(&mut self, id: FetchId) {
        if let Some(fetch) = self.fetches.remove(&id) {
            let place = (fetch.key, fetch.lane);
            if self.leads.get(&place) == Some(&id) {
                self.leads.remove(&place);
            }
        }
        // Guards against ends of leases piling up behind fetches that are long over.
        if self.ends.len() > 64 && self.ends.len() > 4 * self.fetches.len() {
            let fetches = &self.fetches;
            self.ends
                .retain(|Reverse((_, id))| fetches.contains_key(id));
        }
    }
}

#[cfg(test)]
mod tests;
