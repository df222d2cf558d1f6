//! Limits in service: the table that holds and the state that enforces it, behind one lock. Each request finds its limits
//! once and keeps them, whatever is loaded meanwhile; its place is given back where its [`Held`] is dropped.

mod held;

pub use held::{Allowed, Fill, Held};

use crate::clock::Clock;
use foldmux::interface::{Repeat, Time};
use foldmux_limits::gate::{place, Admitted, Gate};
use foldmux_limits::standing::Standing;
use foldmux_limits::table::Table;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Called once, where a request waits: whether it has a place now.
pub type Tell = Box<dyn FnOnce(bool) + Send>;

struct State {
    table: Standing,
    gate: Gate,
    waiting: HashMap<u64, Tell>,
    /// Those that were told that they have a place, and have not heard it yet.
    granted: HashSet<u64>,
    next: u64,
}

impl State {
    fn grant(&mut self, id: u64) -> Option<Tell> {
        let tell = self.waiting.remove(&id)?;
        self.granted.insert(id);
        Some(tell)
    }
}

pub struct Limiter {
    state: Mutex<State>,
    clock: Clock,
    /// Where this proxy stands, as routes name it.
    zone: String,
    /// By class.
    repeats: Vec<Repeat>,
}

/// What a request is told when it comes.
pub enum Entered {
    /// No limits but the module's own.
    Free,
    In(Held),
    /// Told later, by what it handed in; so long at the most.
    Waits(Held, Duration),
    Refused {
        wait: Time,
    },
}

impl Limiter {
    pub fn new(table: Table, clock: Clock, zone: String, repeats: Vec<Repeat>) -> Arc<Limiter> {
        let gate = Gate::new(&table);
        let state = State {
            table: Standing::new(&table, &zone),
            gate,
            waiting: HashMap::new(),
            granted: HashSet::new(),
            next: 0,
        };
        Arc::new(Limiter {
            state: Mutex::new(state),
            clock,
            zone,
            repeats,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All limits at once: requests that are open keep theirs.
    pub fn swap(&self, table: Table) {
        let standing = Standing::new(&table, &self.zone);
        let mut state = self.state();
        // Under the lock, so that times come to the gate in their order.
        let now = self.clock.now();
        let (gone, admitted) = state.gate.swap(now, &table);
        state.table = standing;
        let gone: Vec<Tell> = gone
            .iter()
            .filter_map(|id| state.waiting.remove(id))
            .collect();
        let admitted: Vec<Tell> = admitted
            .into_iter()
            .filter_map(|id| state.grant(id))
            .collect();
        drop(state);
        gone.into_iter().for_each(|tell| tell(false));
        admitted.into_iter().for_each(|tell| tell(true));
    }

    pub fn enter(
        self: &Arc<Limiter>,
        class: usize,
        caller: &str,
        front: &str,
        tell: Tell,
    ) -> Entered {
        let mut state = self.state();
        let now = self.clock.now();
        let Some(resolved) = state.table.find(class, caller, front).cloned() else {
            return Entered::Free;
        };
        if resolved.at.is_empty() {
            return Entered::Free;
        }
        let at = place(&resolved);
        state.next += 1;
        let id = state.next;
        let admitted = state.gate.admit(now, &at, id);
        if admitted == Admitted::Waits {
            state.waiting.insert(id, tell);
        }
        let over = self.expire(&mut state, now);
        drop(state);
        over.into_iter().for_each(|tell| tell(false));
        let held = |open| Held {
            limiter: self.clone(),
            at: at.clone(),
            resolved: resolved.clone(),
            id,
            open,
            attempts: 0,
            sent: None,
        };
        match admitted {
            Admitted::Now => Entered::In(held(true)),
            Admitted::Waits => Entered::Waits(
                held(false),
                Duration::from_millis(resolved.values.queue_age_ms),
            ),
            Admitted::Refused => Entered::Refused {
                wait: resolved.values.wait_ms.saturating_mul(1_000),
            },
        }
    }

    /// A place at once or none, for who can't wait for one.
    pub fn enter_now(
        self: &Arc<Limiter>,
        class: usize,
        caller: &str,
        front: &str,
    ) -> Result<Option<Held>, Time> {
        match self.enter(class, caller, front, Box::new(|_| ())) {
            Entered::Free => Ok(None),
            Entered::In(held) => Ok(Some(held)),
            Entered::Waits(held, _) => Err(held.advice(Time::MAX)),
            Entered::Refused { wait } => Err(wait),
        }
    }

    fn expire(&self, state: &mut State, now: Time) -> Vec<Tell> {
        let over = state.gate.expired(now);
        over.iter()
            .filter_map(|id| state.waiting.remove(id))
            .collect()
    }

    /// Open, and waiting.
    pub fn sizes(&self) -> [u64; 2] {
        self.state().gate.sizes()
    }
}

#[cfg(test)]
mod tests;
