//! Enforces limits by class and route: concurrency limits with queues, retry budgets, fill limits.
//!
//! One lock guards the current table of limits and the state that enforces it. Each request looks up its limits once and keeps
//! them across reloads; its concurrency slot is released when its [`RequestLimits`] is dropped.

mod request_limits;
mod shared;

pub use request_limits::{AttemptPermission, FillPermit, RequestLimits};
pub use shared::{OnQueueEnd, QueueEnd};

use crate::clock::Clock;
use crate::retry_after::Rejected;
use foldmux::interface::RetrySafety;
use foldmux_limits::admission::{Admission as PoolAdmission, LimitKey};
use foldmux_limits::resolve::LimitSet;
use shared::Shared;
use std::sync::Arc;
use std::time::Duration;

/// Enforces the limits.
pub struct Limiter {
    shared: Arc<Shared>,
    /// Zone of this proxy, by the name that routes use.
    zone: String,
}

/// The result of [`Limiter::admit`].
pub enum Admission {
    /// Only the router's own limits apply.
    Unlimited,
    /// Admitted.
    Admitted(RequestLimits),
    /// Queued for at most this long; the callback is called when the wait ends.
    Queued(RequestLimits, Duration),
    /// Not admitted, and not queued.
    Rejected(Rejected),
}

/// Numbers of requests under limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that are admitted and have not ended.
    pub open: u64,
    /// Requests that wait in a queue.
    pub queued: u64,
}

impl Limiter {
    /// Creates a limiter that enforces `table` at a proxy in `zone`; `retry_safety_by_class` is indexed by class.
    pub fn new(
        table: LimitSet,
        clock: Clock,
        zone: String,
        retry_safety_by_class: Vec<RetrySafety>,
    ) -> Arc<Limiter> {
        Arc::new(Limiter {
            shared: Arc::new(Shared::new(&table, &zone, clock, retry_safety_by_class)),
            zone,
        })
    }

    /// Replaces all limits at once; open requests keep the limits they have.
    pub fn replace_table(&self, table: LimitSet) {
        self.shared.replace_table(&table, &self.zone);
    }

    /// Admits, queues or rejects a request by the limits of its class, caller and front. If it is queued, `on_queue_end` is
    /// called at most once, and never after the [`RequestLimits`] is dropped.
    pub fn admit(
        &self,
        class: usize,
        caller: &str,
        front: &str,
        on_queue_end: OnQueueEnd,
    ) -> Admission {
        let mut state = self.shared.state();
        let now = self.shared.clock.now();
        let Some(resolved) = state.table.find(class, caller, front).cloned() else {
            return Admission::Unlimited;
        };
        if resolved.at.is_empty() {
            return Admission::Unlimited;
        }
        let key = LimitKey::from(&*resolved);
        let id = state.next_id();
        let admitted = state.admission.admit(now, &key, id);
        if admitted == PoolAdmission::Queued {
            state.queued.insert(id, on_queue_end);
        }
        let expired = state.take_expired(now);
        drop(state);
        expired
            .into_iter()
            .for_each(|on_queue_end| on_queue_end(QueueEnd::Rejected));
        let limits =
            |has_slot| RequestLimits::new(&self.shared, key, resolved.clone(), id, has_slot);
        match admitted {
            PoolAdmission::Admitted => Admission::Admitted(limits(true)),
            PoolAdmission::Queued => {
                let max_wait = Duration::from_millis(resolved.values.queue_timeout_ms);
                Admission::Queued(limits(false), max_wait)
            }
            PoolAdmission::Rejected => Admission::Rejected(Rejected {
                retry_after: request_limits::max_retry_after(&resolved),
            }),
        }
    }

    /// Admits a request that cannot be queued; `None` if no limits apply.
    ///
    /// # Errors
    ///
    /// Its limits have no free concurrency slot.
    pub fn try_admit(
        &self,
        class: usize,
        caller: &str,
        front: &str,
    ) -> Result<Option<RequestLimits>, Rejected> {
        match self.admit(class, caller, front, Box::new(|_| ())) {
            Admission::Unlimited => Ok(None),
            Admission::Admitted(limits) => Ok(Some(limits)),
            Admission::Queued(limits, _) => Err(Rejected {
                retry_after: limits.max_retry_after(),
            }),
            Admission::Rejected(rejected) => Err(rejected),
        }
    }

    /// Numbers of open and queued requests now.
    pub fn occupancy(&self) -> Occupancy {
        let occupancy = self.shared.state().admission.occupancy();
        Occupancy {
            open: occupancy.in_flight,
            queued: occupancy.queued,
        }
    }
}

#[cfg(test)]
mod tests;
