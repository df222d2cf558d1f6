//! One pool at this process: its queue and slots behind one lock, which is held for microseconds.

use crate::pool_permits::weights::{by_name_hash, Weights};
use crossbeam_channel::Sender;
use foldmux::interface::Time;
use foldmux_core::permits::Permit;
use foldmux_core::retry_after::Rejected;
use foldmux_fair_queue::local_pool::{
    LocalPool, PoolAdmission, PoolDispatch, Request, SlotInUse, Ticket,
};
use foldmux_fair_queue::tenants::{TenantBy, Weight};
use foldmux_fair_queue::{Command, Event};
use foldmux_fleet::Port;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// What wakes a request that waits for a slot.
pub enum Wakeup {
    /// It was granted a slot.
    Granted(SlotInUse),
    /// It waited too long.
    TimedOut,
    /// Its client left.
    ClientGone,
}

struct State {
    local: LocalPool,
    /// How to wake each waiting request, by its id.
    waiting: HashMap<u64, Sender<Wakeup>>,
}

/// One pool at this process. Times are in microseconds since `started_at`.
pub struct Pool {
    pub key: u64,
    pub by: TenantBy,
    started_at: Instant,
    /// Longest Retry-After that the settings allow (us).
    max_retry_after: Time,
    state: Mutex<State>,
    port: OnceLock<Port<Command>>,
}

impl Pool {
    pub fn new(key: u64, by: TenantBy, local: LocalPool, max_retry_after: Time) -> Arc<Pool> {
        let state = Mutex::new(State {
            local,
            waiting: HashMap::new(),
        });
        Arc::new(Pool {
            key,
            by,
            started_at: Instant::now(),
            max_retry_after,
            state,
            port: OnceLock::new(),
        })
    }

    /// Connects the pool to the fleet's thread; commands before that are dropped.
    pub fn connect(&self, port: Port<Command>) {
        let _ = self.port.set(port);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An instant as time on the pool's clock (us); 0 if before its start.
    pub fn time_of(&self, instant: Instant) -> Time {
        instant
            .saturating_duration_since(self.started_at)
            .as_micros() as Time
    }

    fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// A rejection with a wait of at most what the settings allow.
    pub fn rejected(&self, retry_after: Duration) -> Rejected {
        Rejected {
            retry_after: retry_after.min(Duration::from_micros(self.max_retry_after)),
        }
    }

    /// Starts a request, queues it, or rejects it. A queued request is woken over `wake`.
    pub fn enter(&self, request: &Request, wake: &Sender<Wakeup>) -> PoolAdmission {
        let mut state = self.state();
        let now = self.now();
        let admission = state.local.enter(now, request);
        if matches!(admission, PoolAdmission::Queued(_)) {
            state.waiting.insert(request.id, wake.clone());
        }
        self.dispatch(&mut state, now);
        admission
    }

    /// Removes a waiting request. Returns false if it was granted a slot meanwhile.
    pub fn cancel(&self, id: u64, ticket: Ticket) -> bool {
        let mut state = self.state();
        state.waiting.remove(&id);
        state.local.cancel(ticket)
    }

    pub fn on_event(&self, event: Event) {
        let mut state = self.state();
        let now = self.now();
        state.local.on_event(now, event);
        self.dispatch(&mut state, now);
    }

    /// Reports usage and demand, and ends waits that have timed out.
    pub fn poll(&self) {
        let mut state = self.state();
        let now = self.now();
        self.send(state.local.usage_report(now));
        self.dispatch(&mut state, now);
    }

    pub fn update_weights(&self, weights: &Weights) {
        let mut state = self.state();
        let now = self.now();
        state.local.set_weights(now, weights, Weight::ONE);
        self.dispatch(&mut state, now);
        let named = by_name_hash(weights).collect();
        self.send(Command::SetWeights {
            pool: self.key,
            named,
            unnamed_weight: Weight::ONE.0,
        });
    }

    /// Tells the fleet that this process shuts down.
    pub fn leave(&self) {
        self.send(Command::Leave { pool: self.key });
    }

    fn finish(&self, slot: SlotInUse) {
        let mut state = self.state();
        let now = self.now();
        state.local.finish(now, slot);
        self.dispatch(&mut state, now);
    }

    /// Wakes the requests that were granted a slot or waited too long, and returns released slots to the fleet.
    fn dispatch(&self, state: &mut State, now: Time) {
        while let Some(dispatched) = state.local.next(now) {
            let (id, wakeup) = match dispatched {
                PoolDispatch::Start(id, slot) => (id, Wakeup::Granted(slot)),
                PoolDispatch::TimedOut(id) => (id, Wakeup::TimedOut),
            };
            let undelivered = match state.waiting.remove(&id) {
                Some(wake) => wake.try_send(wakeup).err().map(|e| e.into_inner()),
                None => Some(wakeup),
            };
            // The request is gone; its slot would never be released.
            if let Some(Wakeup::Granted(slot)) = undelivered {
                state.local.finish(now, slot);
            }
        }
        state
            .local
            .take_returned()
            .into_iter()
            .for_each(|command| self.send(command));
    }

    /// Sends a command to the fleet's thread. A command that finds the queue full is dropped: the next poll reports
    /// the same usage, and a released slot returns to the fleet when its lease expires.
    fn send(&self, command: Command) {
        self.port.get().into_iter().for_each(|port| {
            let _ = port.ask(command.clone());
        });
    }
}

/// A slot of a pool, released on drop.
pub struct PoolPermit {
    pool: Arc<Pool>,
    slot: Option<SlotInUse>,
    expires_at: Instant,
}

impl PoolPermit {
    pub fn new(pool: &Arc<Pool>, slot: SlotInUse) -> PoolPermit {
        let expires_at = pool.started_at + Duration::from_micros(slot.expires_at());
        PoolPermit {
            pool: pool.clone(),
            slot: Some(slot),
            expires_at,
        }
    }
}

impl Permit for PoolPermit {
    fn expires_at(&self) -> Instant {
        self.expires_at
    }
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        self.slot
            .take()
            .into_iter()
            .for_each(|slot| self.pool.finish(slot));
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
