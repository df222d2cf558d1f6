//! Whether this process is to read the source itself.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct State {
    /// The part wants it; a reader here is without one; one answer is wanted; the part is gone for good.
    open: bool,
    without: bool,
    once: bool,
    gone: bool,
    /// It was shut since it was last passed.
    shut: bool,
}

#[derive(Default)]
pub struct SourceGate {
    state: Mutex<State>,
    change: Condvar,
}

impl SourceGate {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.change.notify_all();
    }

    pub fn open(&self, open: bool) {
        self.change(|state| state.open = open);
    }

    pub fn without(&self, without: bool) {
        self.change(|state| state.without = without);
    }

    /// One answer at least.
    pub fn once(&self) {
        self.change(|state| state.once = true);
    }

    pub fn gone(&self) {
        self.change(|state| state.gone = true);
    }

    /// Waits until the source is to be read; whether its answer is wanted at once, for it was not read before.
    pub fn pass(&self) -> bool {
        let mut state = self.state();
        let shut = |state: &State| !(state.open || state.without || state.once || state.gone);
        while shut(&state) {
            state.shut = true;
            state = self
                .change
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let once = std::mem::take(&mut state.once);
        std::mem::take(&mut state.shut) || once
    }

    /// Whether the next [`SourceGate::pass`] will wait.
    pub fn shut(&self) -> bool {
        let state = self.state();
        !(state.open || state.without || state.once || state.gone)
    }
}
