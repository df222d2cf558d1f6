//! Limits by class and route, in service: concurrency limits with queues, retry budgets, fill limits.
//!
//! The table in service and the state that enforces it are behind one lock. Each request looks its limits up once and keeps
//! them, whatever is loaded meanwhile; its place is given back when its [`RequestLimits`] is dropped.

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
    /// Where this proxy stands, as routes name it.
    zone: String,
}

/// The answer to a request that asks to be admitted.
pub enum Admission {
    /// No limits apply but the router's own.
    Unlimited,
    /// Admitted.
    Admitted(RequestLimits),
    /// Queued for at most this long; the callback hears the end of it.
    Queued(RequestLimits, Duration),
    /// Not admitted, and not queued.
    Rejected(Rejected),
}

/// How many requests the limits count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Admitted and not ended.
    pub open: u64,
    /// In a queue.
    pub queued: u64,
}

impl Limiter {
    /// Enforces `table` at a proxy in `zone`; `retry_safety_by_class` says for each class how far it may be retried.
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

    /// Replaces all limits at once; requests that are open keep theirs.
    pub fn replace_table(&self, table: LimitSet) {
        self.shared.replace_table(&table, &self.zone);
    }

    /// Admits or queues a request, by the limits of its class, caller and front. Where it is queued, `on_queue_end` is
    /// called once: never after the [`RequestLimits`] is dropped.
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
        let limits = |is_open| RequestLimits::new(&self.shared, key, resolved.clone(), id, is_open);
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

    /// Admits a request that cannot be queued; `None` where no limits apply.
    ///
    /// # Errors
    ///
    /// Its limits have no free place.
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

    /// How many requests are open and queued now.
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
