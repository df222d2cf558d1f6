//! Gates at which a stand-in waits until a test lets it go on, and by which a test learns that it has come there.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longer than anything takes; it ends a test that waits for what never comes, and frees whoever is held for ever.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Where the archive can be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// It has read the request, and not run it.
    Read,
    /// It has run it; its time of work follows.
    Ran,
    /// The answer is whole, and none of it written.
    Answer,
}

struct Closed {
    number: u64,
    point: Point,
    /// Only requests under this key.
    key: Option<String>,
    reached: u64,
}

#[derive(Default)]
struct State {
    closed: Vec<Closed>,
    next: u64,
}

#[derive(Clone, Default)]
pub struct Gates {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A closed gate; it opens with its end.
pub struct Gate {
    gates: Gates,
    number: u64,
}

impl Gates {
    pub fn close(&self, point: Point, key: Option<&str>) -> Gate {
        let mut state = self.state();
        state.next += 1;
        let number = state.next;
        state.closed.push(Closed {
            number,
            point,
            key: key.map(String::from),
            reached: 0,
        });
        Gate {
            gates: self.clone(),
            number,
        }
    }

    /// Waits here while a gate for it is closed.
    pub fn pass(&self, point: Point, key: &str) {
        let mut state = self.state();
        let held =
            |c: &&mut Closed| c.point == point && c.key.as_deref().is_none_or(|own| own == key);
        let Some(gate) = state.closed.iter_mut().find(held) else {
            return;
        };
        gate.reached += 1;
        let number = gate.number;
        self.shared.1.notify_all();
        let closed = |state: &mut State| state.closed.iter().any(|c| c.number == number);
        drop(self.shared.1.wait_timeout_while(state, PATIENCE, closed));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gate {
    /// Waits until so many have come to it; false if they never do.
    pub fn reached(&self, times: u64) -> bool {
        let fewer = |state: &mut State| {
            !state
                .closed
                .iter()
                .any(|c| c.number == self.number && c.reached >= times)
        };
        let waited = self
            .gates
            .shared
            .1
            .wait_timeout_while(self.gates.state(), PATIENCE, fewer);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    pub fn open(self) {}
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.gates
            .state()
            .closed
            .retain(|c| c.number != self.number);
        self.gates.shared.1.notify_all();
    }
}
