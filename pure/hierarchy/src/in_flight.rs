//! Request collapsing at one hub: the fetches in flight, and the requests that wait for each.
//!
//! Misses for one part of an object are collapsed into one fetch. The table decides which request leads a fetch, which ones
//! follow it, when a fetch without progress has failed, and when one without waiters is cancelled.
//!
//! Fills that wait for each other across hubs never form a cycle, by this rule: *a fill waits only for fetches of its own
//! tree version or for uncollapsed ones; a fill that has passed nodes of two versions is uncollapsed from there on: it waits
//! for no other fill upstream, but others may wait for it.* All fetches in a cycle of waits would be of one version, and so
//! in one tree, which has no cycle; an uncollapsed fetch ends by itself, as its path never visits a node twice. Two versions
//! meet only during a change of the tree, and at each hub other fills follow at most one uncollapsed fetch for a part.

mod types;

pub use types::{
    Admission, AfterFailure, CollapseScope, FetchCounts, FetchId, FetchKey, FetchLimits,
    FetchRequest, FillContext, WaiterId,
};

use crate::TimestampUs;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Entries of finished fetches are removed from the heap of lease ends only while it is longer than this,
const MIN_COMPACTED_LEASES: usize = 64;
/// and longer than this multiple of the number of fetches.
const LEASES_PER_FETCH: usize = 4;

#[derive(Debug)]
struct Fetch {
    key: FetchKey,
    scope: CollapseScope,
    min_birth: u64,
    waiters: u32,
    /// The latest deadline of any waiter so far.
    latest_deadline: TimestampUs,
    /// Number of the attempt in flight, from 0.
    attempt: u32,
    /// When the attempt in flight counts as failed, unless its lease is renewed.
    lease_until: TimestampUs,
}

/// The fetches in flight at one hub, and the requests that wait for each.
pub struct FetchTable {
    limits: FetchLimits,
    /// The fetch that other requests may follow, at most one for each key and scope.
    leaders: HashMap<(FetchKey, CollapseScope), FetchId>,
    fetches: HashMap<FetchId, Fetch>,
    waiters: HashMap<WaiterId, FetchId>,
    /// Lease ends as of when they were pushed. The current end of a lease is in its [`Fetch`], and may be later.
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

    /// The counters of this table since its creation.
    pub fn counts(&self) -> FetchCounts {
        self.counts
    }

    /// The number of fetches in flight, and the number of requests that wait for them.
    pub fn sizes(&self) -> (usize, usize) {
        (self.fetches.len(), self.waiters.len())
    }

    /// Admits a request for a part that is not cached here: it leads a new fetch, follows one in flight, or is rejected.
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

    /// The fetch in flight that a request may follow.
    fn leader(&self, request: &FetchRequest) -> Option<FetchId> {
        if request.context.uncollapsed {
            return None;
        }
        // A request made after an invalidation must not get a copy from before it, so it doesn't follow a fetch that was
        // sent with a lower bound.
        let fresh_enough = |id: &&FetchId| self.fetches[*id].min_birth >= request.min_birth;
        let leader = |scope| self.leaders.get(&(request.key, scope)).filter(fresh_enough);
        let scope = request.context.collapse_scope(request.version);
        let found = leader(scope).or_else(|| leader(CollapseScope::Uncollapsed));
        found.copied()
    }

    fn follow(&mut self, id: FetchId, request: &FetchRequest) -> Admission {
        self.counts.followed += 1;
        let fetch = self
            .fetches
            .get_mut(&id)
            .expect("the fetch of a leader is in flight");
        fetch.waiters += 1;
        fetch.latest_deadline = fetch.latest_deadline.max(request.deadline);
        Admission::Follow(id, self.add_waiter(id))
    }

    fn lead(&mut self, now: TimestampUs, request: &FetchRequest) -> Admission {
        self.counts.led += 1;
        let id = FetchId(self.next_id());
        let scope = request.context.collapse_scope(request.version);
        let lease_until = now.saturating_add(self.limits.lease_us);
        let fetch = Fetch {
            key: request.key,
            scope,
            min_birth: request.min_birth,
            waiters: 1,
            latest_deadline: request.deadline,
            attempt: 0,
            lease_until,
        };
        self.fetches.insert(id, fetch);
        self.lease_ends.push(Reverse((lease_until, id)));
        // Also replaces a leader whose copy may be too old, so that later requests follow the newer fetch. An uncollapsed
        // fetch may be followed like any other.
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

    /// Renews the lease of an attempt that made progress. Has no effect if it is not the attempt in flight.
    pub fn renew_lease(&mut self, now: TimestampUs, id: FetchId, attempt: u32) {
        let lease_us = self.limits.lease_us;
        if let Some(fetch) = self.current_attempt(id, attempt) {
            fetch.lease_until = now.saturating_add(lease_us);
        }
    }

    /// The fetch, if `attempt` is its attempt in flight.
    fn current_attempt(&mut self, id: FetchId, attempt: u32) -> Option<&mut Fetch> {
        self.fetches
            .get_mut(&id)
            .filter(|fetch| fetch.attempt == attempt)
    }

    /// Removes a waiter that has its response, was closed, or timed out. Returns the fetch to cancel if this was its last
    /// waiter.
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

    /// Ends a fetch whose attempt got the whole part, or a response that is final for all waiters. Returns false if it is not
    /// the attempt in flight.
    pub fn complete(&mut self, id: FetchId, attempt: u32) -> bool {
        let current = self.current_attempt(id, attempt).is_some();
        if current {
            self.remove(id);
        }
        current
    }

    /// Records that an attempt failed at its source. All waiters share one retry.
    pub fn fail(&mut self, now: TimestampUs, id: FetchId, attempt: u32) -> AfterFailure {
        let FetchLimits {
            lease_us, attempts, ..
        } = self.limits;
        let Some(fetch) = self.current_attempt(id, attempt) else {
            return AfterFailure::Stale;
        };
        if fetch.latest_deadline <= now || attempt + 1 >= attempts {
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

    /// Returns the attempts whose lease has expired, as their thread died or hangs. The caller must report each of them to
    /// [`FetchTable::fail`].
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

    /// The next time at which a lease may expire. The lease in question may have been renewed since.
    pub fn next_lease_end(&self) -> Option<TimestampUs> {
        self.lease_ends.peek().map(|Reverse((due, _))| *due)
    }

    /// The latest deadline of the requests that have waited for a fetch; `None` if it is not in flight.
    pub fn latest_deadline(&self, id: FetchId) -> Option<TimestampUs> {
        self.fetches.get(&id).map(|fetch| fetch.latest_deadline)
    }

    /// The number of a fetch's attempt in flight; `None` if the fetch is not in flight.
    pub fn attempt(&self, id: FetchId) -> Option<u32> {
        self.fetches.get(&id).map(|fetch| fetch.attempt)
    }

    fn remove(&mut self, id: FetchId) {
        if let Some(fetch) = self.fetches.remove(&id) {
            let leader_key = (fetch.key, fetch.scope);
            if self.leaders.get(&leader_key) == Some(&id) {
                self.leaders.remove(&leader_key);
            }
        }
        self.compact_lease_ends();
    }

    /// Bounds the number of lease ends that belong to finished fetches.
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
