//! One pool at this process: its queue and slots behind one lock, which is held for microseconds.

use crate::pool_permits::weights::{keyed, Weights};
use crossbeam_channel::Sender;
use foldmux::interface::Time;
use foldmux_core::permits::Permit;
use foldmux_core::retry_after::Rejected;
use foldmux_fair_queue::local::{Asked, InUse, Local, Request, Then, Ticket};
use foldmux_fair_queue::tenants::{By, Weight};
use foldmux_fair_queue::{Ask, Told};
use foldmux_fleet::Port;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// What wakes a request that waits for a slot.
pub enum Wakeup {
    /// Its slot.
    Granted(InUse),
    /// It waited for too long.
    TimedOut,
    /// Its client is gone.
    ClientGone,
}

struct State {
    local: Local,
    waiting: HashMap<u64, Sender<Wakeup>>,
}

pub struct Pool {
    pub key: u64,
    pub by: By,
    began: Instant,
    /// Longest Retry-After that the settings allow (us).
    longest: Time,
    state: Mutex<State>,
    port: OnceLock<Port<Ask>>,
}

impl Pool {
    pub fn new(key: u64, by: By, local: Local, longest: Time) -> Arc<Pool> {
        let state = Mutex::new(State {
            local,
            waiting: HashMap::new(),
        });
        Arc::new(Pool {
            key,
            by,
            began: Instant::now(),
            longest,
            state,
            port: OnceLock::new(),
        })
    }

    pub fn connect(&self, port: Port<Ask>) {
        let _ = self.port.set(port);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn at(&self, instant: Instant) -> Time {
        instant.saturating_duration_since(self.began).as_micros() as Time
    }

    fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// A rejection; clients are told no longer wait than the settings allow.
    pub fn rejected(&self, retry_after: Duration) -> Rejected {
        Rejected {
            retry_after: retry_after.min(Duration::from_micros(self.longest)),
        }
    }

    pub fn enter(&self, request: &Request, tell: &Sender<Wakeup>) -> Asked {
        let mut state = self.state();
        let now = self.now();
        let asked = state.local.enter(now, request);
        if matches!(asked, Asked::Waits(_)) {
            state.waiting.insert(request.id, tell.clone());
        }
        self.dispatch(&mut state, now);
        asked
    }

    /// A request waits no more; false where it was granted a slot meanwhile.
    pub fn abandon(&self, id: u64, ticket: Ticket) -> bool {
        let mut state = self.state();
        state.waiting.remove(&id);
        state.local.leave(ticket)
    }

    pub fn told(&self, told: Told) {
        let mut state = self.state();
        let now = self.now();
        state.local.told(now, told);
        self.dispatch(&mut state, now);
    }

    pub fn poll(&self) {
        let mut state = self.state();
        let now = self.now();
        self.ask(state.local.uses(now));
        self.dispatch(&mut state, now);
    }

    pub fn update_weights(&self, weights: &Weights) {
        let mut state = self.state();
        let now = self.now();
        state.local.retune(now, weights, Weight::ONE);
        self.dispatch(&mut state, now);
        let named = keyed(weights).collect();
        self.ask(Ask::Weights {
            pool: self.key,
            named,
            unnamed: Weight::ONE.0,
        });
    }

    pub fn leave(&self) {
        self.ask(Ask::Leaving { pool: self.key });
    }

    fn ended(&self, used: InUse) {
        let mut state = self.state();
        let now = self.now();
        state.local.ended(now, used);
        self.dispatch(&mut state, now);
    }

    /// Wakes the requests that have a slot or waited for too long, and returns released slots to the fleet.
    fn dispatch(&self, state: &mut State, now: Time) {
        while let Some(then) = state.local.next(now) {
            let (id, word) = match then {
                Then::Start(id, used) => (id, Wakeup::Granted(used)),
                Then::Late(id) => (id, Wakeup::TimedOut),
            };
            let unheard = match state.waiting.remove(&id) {
                Some(tell) => tell.try_send(word).err().map(|e| e.into_inner()),
                None => Some(word),
            };
            // The request is gone: its slot would never be released.
            if let Some(Wakeup::Granted(used)) = unheard {
                state.local.ended(now, used);
            }
        }
        state
            .local
            .gave()
            .into_iter()
            .for_each(|gave| self.ask(gave));
    }

    /// A command that finds the queue full is dropped: the next poll reports the same usage, and a released slot returns to
    /// the fleet when its lease expires.
    fn ask(&self, ask: Ask) {
        self.port.get().into_iter().for_each(|port| {
            let _ = port.ask(ask.clone());
        });
    }
}

/// A slot of a pool, released on drop.
pub struct PoolPermit {
    pool: Arc<Pool>,
    used: Option<InUse>,
    until: Instant,
}

impl PoolPermit {
    pub fn new(pool: &Arc<Pool>, used: InUse) -> PoolPermit {
        let until = pool.began + Duration::from_micros(used.until());
        PoolPermit {
            pool: pool.clone(),
            used: Some(used),
            until,
        }
    }
}

impl Permit for PoolPermit {
    fn expires_at(&self) -> Instant {
        self.until
    }
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        self.used
            .take()
            .into_iter()
            .for_each(|used| self.pool.ended(used));
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
