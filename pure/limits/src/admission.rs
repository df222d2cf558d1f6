//! The state that enforces the limits: requests in flight and queued by class and route, retry budgets, and fills by
//! source. Its size is bounded by the limits. Its owner reports requests and attempts, and asks which may start.
//!
//! Each set of limits has a pool of its own, so that a flood of one class takes no capacity of another.

use crate::concurrency::ConcurrencyBound;
use crate::effective::EffectiveLimits;
use crate::queue::{AdmissionQueue, QueuedRequest};
use crate::resolve::{LimitSet, ResolvedLimits};
use crate::retry_budget::{RetryBudget, RetryBudgets};
use crate::TimestampUs;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const US_PER_MS: u64 = 1_000;

/// The set of limits that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitKey {
    /// Number of the class.
    pub class: usize,
    /// Name of the route; `None` for the class itself.
    pub route: Option<String>,
}

impl From<&ResolvedLimits> for LimitKey {
    fn from(resolved: &ResolvedLimits) -> LimitKey {
        LimitKey {
            class: resolved.class,
            route: resolved.route.clone(),
        }
    }
}

/// The decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is in flight until [`AdmissionControl::release`].
    Admitted,
    /// The request is queued until [`AdmissionControl::release`] or [`AdmissionControl::expire`] returns its id.
    Queued,
    /// There is neither capacity nor room in the queue.
    Rejected,
}

/// The queued requests that a replacement of the limits ended or admitted.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Replaced {
    /// Ids of requests that the new queue has no room for.
    pub rejected: Vec<u64>,
    /// Ids of requests that the new limits have capacity for.
    pub admitted: Vec<u64>,
}

/// Numbers of requests in all pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Admitted and not released yet.
    pub in_flight: u64,
    /// Waiting for capacity.
    pub queued: u64,
}

/// The requests of one set of limits.
#[derive(Debug)]
struct Pool {
    in_flight: u64,
    bound: ConcurrencyBound,
    queue: AdmissionQueue,
    budget: Option<usize>,
    /// Whether its limits were removed: it then admits no request, and is removed with the end of its last one.
    retired: bool,
}

impl Pool {
    fn new(values: &EffectiveLimits, budgets: &RetryBudgets) -> Pool {
        let budget = values.retry_budget.as_ref();
        Pool {
            in_flight: 0,
            bound: ConcurrencyBound::new(values.concurrency),
            queue: AdmissionQueue::new(
                values.queue_capacity as usize,
                values.queue_timeout_ms * US_PER_MS,
            ),
            budget: budget.and_then(|name| budgets.index_of(name)),
            retired: false,
        }
    }

    fn has_capacity(&self) -> bool {
        !self.retired && self.bound.has_capacity(self.in_flight)
    }

    fn admit(&mut self, now: TimestampUs, id: u64) -> Admission {
        if self.queue.is_empty() && self.has_capacity() {
            self.in_flight += 1;
            return Admission::Admitted;
        }
        if self.queue.push(QueuedRequest { id, since: now }) {
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// Admits the request that has waited longest, where there is capacity.
    fn admit_next(&mut self, now: TimestampUs) -> Option<u64> {
        if !self.has_capacity() {
            return None;
        }
        let id = self.queue.pop(now)?;
        self.in_flight += 1;
        Some(id)
    }

    /// Moves the requests of the pool that this one replaces into this one.
    fn adopt_requests(&mut self, now: TimestampUs, former: Pool, replaced: &mut Replaced) {
        self.in_flight = former.in_flight;
        let mut queue = former.queue;
        for request in queue.drain() {
            if !self.queue.push(request) {
                replaced.rejected.push(request.id);
            }
        }
        while let Some(id) = self.admit_next(now) {
            replaced.admitted.push(id);
        }
    }

    fn retire(self) -> Pool {
        Pool {
            bound: ConcurrencyBound::Unlimited,
            budget: None,
            retired: true,
            ..self
        }
    }
}

/// Identifies the fills of one class at one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FillKey {
    source: u64,
    class: usize,
}

/// Enforces all limits of a file.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// Ordered by key, so that requests end in the same order in each run.
    pools: BTreeMap<LimitKey, Pool>,
    budgets: RetryBudgets,
    fills: HashMap<FillKey, u64>,
}

impl AdmissionControl {
    /// Creates the state without any request, and with all budgets full.
    pub fn new(limits: &LimitSet) -> AdmissionControl {
        let budgets: Vec<RetryBudget> = limits
            .budgets
            .iter()
            .map(|located| located.value.clone())
            .collect();
        let budgets = RetryBudgets::new(&budgets);
        let pool = |resolved: &ResolvedLimits| Pool::new(&resolved.values, &budgets);
        let pools = limits
            .iter()
            .map(|resolved| (LimitKey::from(&**resolved), pool(resolved)))
            .collect();
        AdmissionControl {
            pools,
            budgets,
            fills: HashMap::new(),
        }
    }

    /// Replaces the limits. Requests in flight stay in the pool of their key; a pool whose limits are removed is kept until
    /// its last request ends. Queued requests move to the new queue as far as it has room.
    pub fn replace_limits(&mut self, now: TimestampUs, limits: &LimitSet) -> Replaced {
        let mut next = AdmissionControl::new(limits);
        let mut replaced = Replaced::default();
        for (key, mut former) in std::mem::take(&mut self.pools) {
            if let Some(pool) = next.pools.get_mut(&key) {
                pool.adopt_requests(now, former, &mut replaced);
                continue;
            }
            let queued = former.queue.drain();
            replaced
                .rejected
                .extend(queued.into_iter().map(|request| request.id));
            if former.in_flight > 0 {
                next.pools.insert(key, former.retire());
            }
        }
        next.fills = std::mem::take(&mut self.fills);
        *self = next;
        replaced
    }

    /// Decides on a request that arrives. Without limits for its key it is admitted.
    pub fn admit(&mut self, now: TimestampUs, key: &LimitKey, id: u64) -> Admission {
        match self.pools.get_mut(key) {
            Some(pool) => pool.admit(now, id),
            None => Admission::Admitted,
        }
    }

    /// Ends a request in flight, and returns the id of the queued request that is admitted in its place.
    pub fn release(&mut self, now: TimestampUs, key: &LimitKey) -> Option<u64> {
        let pool = self.pools.get_mut(key)?;
        pool.in_flight = pool.in_flight.saturating_sub(1);
        if pool.retired && pool.in_flight == 0 {
            self.pools.remove(key);
            return None;
        }
        pool.admit_next(now)
    }

    /// Removes the requests that have exceeded their queue timeout from all queues, and returns their ids.
    pub fn expire(&mut self, now: TimestampUs) -> Vec<u64> {
        self.pools
            .values_mut()
            .flat_map(|pool| pool.queue.expire(now))
            .collect()
    }

    /// Removes a queued request whose client left or whose deadline passed.
    pub fn cancel(&mut self, key: &LimitKey, id: u64) {
        if let Some(pool) = self.pools.get_mut(key) {
            pool.queue.remove(id);
        }
    }

    fn budget(&self, key: &LimitKey) -> Option<usize> {
        self.pools.get(key).and_then(|pool| pool.budget)
    }

    /// Records a first attempt, which adds to the retry budget.
    pub fn record_first_attempt(&mut self, key: &LimitKey) {
        if let Some(budget) = self.budget(key) {
            self.budgets.deposit(budget);
        }
    }

    /// Withdraws a retry from the budget, if the key has one; returns false if it is exhausted.
    pub fn try_retry(&mut self, key: &LimitKey) -> bool {
        match self.budget(key) {
            Some(budget) => self.budgets.try_withdraw(budget),
            None => true,
        }
    }

    /// Starts an attempt, numbered from 0, that the router requests, and returns the pause before it; `None` if no attempt
    /// is left or the budget is exhausted. `draw` is a random number from 0 to 1.
    pub fn start_attempt(
        &mut self,
        key: &LimitKey,
        values: &EffectiveLimits,
        attempt: u64,
        draw: f64,
    ) -> Option<Duration> {
        if attempt == 0 {
            self.record_first_attempt(key);
        } else if attempt >= values.max_attempts || !self.try_retry(key) {
            return None;
        }
        Some(values.backoff().pause(attempt, draw))
    }

    /// Records an attempt that ended after `elapsed` microseconds, from which adaptive limits learn.
    pub fn record_attempt(&mut self, key: &LimitKey, elapsed: TimestampUs, served: bool) {
        if let Some(pool) = self.pools.get_mut(key) {
            pool.bound.record_attempt(elapsed, served, pool.in_flight);
        }
    }

    /// Starts a fill of a class at a source and returns true, unless `max` are in flight there; 0 is no bound.
    pub fn try_start_fill(&mut self, source: u64, class: usize, max: u64) -> bool {
        let in_flight = self.fills.entry(FillKey { source, class }).or_default();
        if max > 0 && *in_flight >= max {
            return false;
        }
        *in_flight += 1;
        true
    }

    /// Ends a fill that was started.
    pub fn finish_fill(&mut self, source: u64, class: usize) {
        let key = FillKey { source, class };
        let Some(in_flight) = self.fills.get_mut(&key) else {
            return;
        };
        *in_flight -= 1;
        if *in_flight == 0 {
            self.fills.remove(&key);
        }
    }

    /// Returns the number of requests in all pools.
    pub fn occupancy(&self) -> Occupancy {
        let pools = || self.pools.values();
        Occupancy {
            in_flight: pools().map(|pool| pool.in_flight).sum(),
            queued: pools().map(|pool| pool.queue.len() as u64).sum(),
        }
    }
}

#[cfg(test)]
mod tests;
