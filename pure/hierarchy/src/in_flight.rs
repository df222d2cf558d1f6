//! Request collapsing at one hub: the fetches in flight, and who waits for each.
//!
//! Misses for one part of an object are collapsed behind one fetch. The table says who leads a fetch, who follows it, when
//! a fetch without progress is failed, and when one that nobody waits for is cancelled.
//!
//! Fills that wait for each other across hubs never form a cycle, by this rule: *a fill waits only for fetches of its own
//! tree version; a fill that has passed nodes of two versions is uncollapsed from there on: it waits for none further up,
//! but others may wait for it.* All fetches in a cycle of waits would be of one version, and so in one tree, which has no
//! cycle; an uncollapsed fetch ends by itself, as its path never visits a node twice. Two versions meet only during a
//! change of the tree, and each hub leads at most one uncollapsed fetch for a part at a time.

mod types;

pub use types::{
    Admission, AfterFailure, CollapseScope, FetchCounts, FetchId, FetchKey, FetchLimits,
    FetchRequest, FillOrigin, WaiterId,
};

use crate::TimestampUs;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Expired entries of the heap of leases are removed once it is over this length,
const MIN_COMPACTED_LEASES: usize = 64;
/// and over so many times the number of fetches.
const LEASES_PER_FETCH: usize = 4;

#[derive(Debug)]
struct Fetch {
    key: FetchKey,
    scope: CollapseScope,
    min_birth: u64,
    waiters: u32,
    /// The latest time until which a waiter waits.
    until: TimestampUs,
    /// Counted from 0.
    attempt: u32,
    lease_until: TimestampUs,
}

/// The fetches in flight at one hub, and who waits for each.
pub struct FetchTable {
    limits: FetchLimits,
    /// The fetch that others may follow, one at most for each key and scope.
    leaders: HashMap<(FetchKey, CollapseScope), FetchId>,
    fetches: HashMap<FetchId, Fetch>,
    waiters: HashMap<WaiterId, FetchId>,
    /// Ends of leases as they were granted; a renewed lease ends later.
    lease_ends: BinaryHeap<Reverse<(TimestampUs, FetchId)>>,
    next_id: u64,
    counts: FetchCounts,
}

impl FetchTable {
    /// An empty table.
    pub fn new(limits: FetchLimits) -> FetchTable {
        FetchTable {
            limits,
            leaders: HashMap::new(),
            fetches: HashMap::new(),
            waiters: HashMap::new(),
            lease_ends: BinaryHeap::new(),
            next_id: 0,
            counts: FetchCounts::default(),
        }
    }

    /// What happened since the start.
    pub fn counts(&self) -> FetchCounts {
        self.counts
    }

    /// Fetches in flight, and those who wait for them.
    pub fn sizes(&self) -> (usize, usize) {
        (self.fetches.len(), self.waiters.len())
    }

    /// A part is requested that is not cached here.
    pub fn request(&mut self, now: TimestampUs, request: FetchRequest) -> Admission {
        if self.waiters.len() >= self.limits.waiters {
            self.counts.rejected += 1;
            return Admission::Rejected;
        }
        if let Some(id) = self.leader(&request) {
            return self.follow(id, &request);
        }
        if self.fetches.len() >= self.limits.fetches {
            self.counts.rejected += 1;
            return Admission::Rejected;
        }
        self.lead(now, &request)
    }

    /// The fetch that a request may wait for.
    fn leader(&self, request: &FetchRequest) -> Option<FetchId> {
        if request.origin.uncollapsed {
            return None;
        }
        // A copy from before an invalidation must not reach one who knows of it: a fetch that was sent with a looser
        // bound is not followed.
        let fresh_enough = |id: &&FetchId| self.fetches[*id].min_birth >= request.min_birth;
        let leader = |scope| self.leaders.get(&(request.key, scope)).filter(fresh_enough);
        let scope = request.origin.collapse_scope(request.version);
        let found = leader(scope).or_else(|| leader(CollapseScope::Uncollapsed));
        found.copied()
    }

    fn follow(&mut self, id: FetchId, request: &FetchRequest) -> Admission {
        self.counts.followed += 1;
        let fetch = self.fetches.get_mut(&id).expect("a leader is in flight");
        fetch.waiters += 1;
        fetch.until = fetch.until.max(request.until);
        Admission::Follow(id, self.add_waiter(id))
    }

    fn lead(&mut self, now: TimestampUs, request: &FetchRequest) -> Admission {
        self.counts.led += 1;
        let id = FetchId(self.next_id());
        let scope = request.origin.collapse_scope(request.version);
        let lease_until = now.saturating_add(self.limits.lease_us);
        let fetch = Fetch {
            key: request.key,
            scope,
            min_birth: request.min_birth,
            waiters: 1,
            until: request.until,
            attempt: 0,
            lease_until,
        };
        self.fetches.insert(id, fetch);
        self.lease_ends.push(Reverse((lease_until, id)));
        // Takes the place also of a leader whose copy may be too old: later requests follow the newer one. A fetch that is
        // uncollapsed itself may be followed as any other.
        self.leaders.insert((request.key, scope), id);
        Admission::Lead(id, self.add_waiter(id))
    }

    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn add_waiter(&mut self, id: FetchId) -> WaiterId {
        let waiter = WaiterId(self.next_id());
        self.waiters.insert(waiter, id);
        waiter
    }

    /// An attempt made progress: its lease is renewed.
    pub fn renew_lease(&mut self, now: TimestampUs, id: FetchId, attempt: u32) {
        let lease_us = self.limits.lease_us;
        if let Some(fetch) = self.current_attempt(id, attempt) {
            fetch.lease_until = now.saturating_add(lease_us);
        }
    }

    /// The fetch, if this attempt is the one in flight.
    fn current_attempt(&mut self, id: FetchId, attempt: u32) -> Option<&mut Fetch> {
        self.fetches
            .get_mut(&id)
            .filter(|fetch| fetch.attempt == attempt)
    }

    /// A waiter has its response, left, or timed out. Returns the fetch to cancel, if nobody waits for it any more.
    pub fn leave(&mut self, waiter: WaiterId) -> Option<FetchId> {
        let id = self.waiters.remove(&waiter)?;
        let fetch = self.fetches.get_mut(&id)?;
        fetch.waiters -= 1;
        if fetch.waiters > 0 {
            return None;
        }
        self.counts.cancelled += 1;
        self.remove(id);
        Some(id)
    }

    /// An attempt has the whole part, or a response that is final for all waiters; false where it is not the one in flight.
    pub fn complete(&mut self, id: FetchId, attempt: u32) -> bool {
        let current = self.current_attempt(id, attempt).is_some();
        if current {
            self.remove(id);
        }
        current
    }

    /// An attempt failed at its source. All waiters go on with one retry, not one each.
    pub fn fail(&mut self, now: TimestampUs, id: FetchId, attempt: u32) -> AfterFailure {
        let FetchLimits {
            lease_us, attempts, ..
        } = self.limits;
        let Some(fetch) = self.current_attempt(id, attempt) else {
            return AfterFailure::Stale;
        };
        if fetch.until <= now || attempt + 1 >= attempts {
            self.remove(id);
            return AfterFailure::GiveUp;
        }
        fetch.attempt += 1;
        fetch.lease_until = now.saturating_add(lease_us);
        let (next, lease_until) = (fetch.attempt, fetch.lease_until);
        self.counts.retried += 1;
        self.lease_ends.push(Reverse((lease_until, id)));
        AfterFailure::Retry(next)
    }

    /// Attempts whose lease expired: their thread died or hangs. Each is to be reported by [`FetchTable::fail`].
    pub fn expired_leases(&mut self, now: TimestampUs) -> Vec<(FetchId, u32)> {
        let mut expired = Vec::new();
        while let Some(&Reverse((due, id))) = self.lease_ends.peek() {
            if due > now {
                break;
            }
            self.lease_ends.pop();
            match self.fetches.get(&id) {
                Some(fetch) if fetch.lease_until <= now => {
                    self.counts.leases_expired += 1;
                    expired.push((id, fetch.attempt));
                }
                Some(fetch) => self.lease_ends.push(Reverse((fetch.lease_until, id))),
                None => {}
            }
        }
        expired
    }

    /// When to look for expired leases next.
    pub fn next_lease_end(&self) -> Option<TimestampUs> {
        self.lease_ends.peek().map(|Reverse((due, _))| *due)
    }

    /// Until when somebody waits for a fetch.
    pub fn until(&self, id: FetchId) -> Option<TimestampUs> {
        self.fetches.get(&id).map(|fetch| fetch.until)
    }

    /// The attempt in flight of a fetch.
    pub fn attempt(&self, id: FetchId) -> Option<u32> {
        self.fetches.get(&id).map(|fetch| fetch.attempt)
    }

    fn remove(&mut self, id: FetchId) {
        if let Some(fetch) = self.fetches.remove(&id) {
            let led = (fetch.key, fetch.scope);
            if self.leaders.get(&led) == Some(&id) {
                self.leaders.remove(&led);
            }
        }
        self.compact_lease_ends();
    }

    /// Keeps ends of leases from piling up behind fetches that have ended.
    fn compact_lease_ends(&mut self) {
        let len = self.lease_ends.len();
        if len > MIN_COMPACTED_LEASES && len > LEASES_PER_FETCH * self.fetches.len() {
            let fetches = &self.fetches;
            self.lease_ends
                .retain(|Reverse((_, id))| fetches.contains_key(id));
        }
    }
}

#[cfg(test)]
mod tests;
