//! The state shared by all requests with limits.

use crate::clock::Clock;
use foldmux::interface::{RetrySafety, Time};
use foldmux_limits::admission::AdmissionControl;
use foldmux_limits::lookup::LimitTable;
use foldmux_limits::resolve::LimitSet;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How a request's wait in a queue ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEnd {
    /// It was granted a concurrency slot.
    Admitted,
    /// It waited for too long, or its limits were removed.
    Rejected,
}

/// Called once, when a queued request's wait ends.
pub type OnQueueEnd = Box<dyn FnOnce(QueueEnd) + Send>;

/// The limiter's state, its clock and the retry safety of each class.
pub(super) struct Shared {
    state: Mutex<State>,
    pub(super) clock: Clock,
    /// Whether a request may be executed again, by class.
    pub(super) retry_safety_by_class: Vec<RetrySafety>,
}

/// The current limits and the requests that they admitted or queued.
pub(super) struct State {
    pub(super) table: LimitTable,
    pub(super) admission: AdmissionControl,
    /// The callbacks of queued requests, by id.
    pub(super) queued: HashMap<u64, OnQueueEnd>,
    /// Requests that left the queue with a slot and have not taken it yet.
    pub(super) granted: HashSet<u64>,
    last_id: u64,
}

impl Shared {
    pub(super) fn new(
        table: &LimitSet,
        zone: &str,
        clock: Clock,
        retry_safety_by_class: Vec<RetrySafety>,
    ) -> Shared {
        let state = State {
            table: LimitTable::new(table, zone),
            admission: AdmissionControl::new(table),
            queued: HashMap::new(),
            granted: HashSet::new(),
            last_id: 0,
        };
        Shared {
            state: Mutex::new(state),
            clock,
            retry_safety_by_class,
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn replace_table(&self, table: &LimitSet, zone: &str) {
        let limit_table = LimitTable::new(table, zone);
        let mut state = self.state();
        // Read under the lock, as the admission control must get times in ascending order.
        let now = self.clock.now();
        let replaced = state.admission.replace_limits(now, table);
        state.table = limit_table;
        let rejected: Vec<OnQueueEnd> = replaced
            .rejected
            .iter()
            .filter_map(|id| state.queued.remove(id))
            .collect();
        let admitted: Vec<OnQueueEnd> = replaced
            .admitted
            .into_iter()
            .filter_map(|id| state.grant(id))
            .collect();
        drop(state);
        rejected
            .into_iter()
            .for_each(|on_queue_end| on_queue_end(QueueEnd::Rejected));
        admitted
            .into_iter()
            .for_each(|on_queue_end| on_queue_end(QueueEnd::Admitted));
    }
}

impl State {
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Grants a queued request its slot and returns its callback, which must be called without the lock.
    pub(super) fn grant(&mut self, id: u64) -> Option<OnQueueEnd> {
        let on_queue_end = self.queued.remove(&id)?;
        self.granted.insert(id);
        Some(on_queue_end)
    }

    /// Removes the requests that have been queued for too long and returns their callbacks.
    pub(super) fn take_expired(&mut self, now: Time) -> Vec<OnQueueEnd> {
        let expired = self.admission.expire(now);
        expired
            .iter()
            .filter_map(|id| self.queued.remove(id))
            .collect()
    }
}
