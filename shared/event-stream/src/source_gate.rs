//! Controls whether this process reads the source itself.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct State {
    /// The relay asked for the source to be read.
    needed_by_relay: bool,
    /// A subscription of this process has no events yet.
    awaiting_events: bool,
    /// One more answer was requested.
    one_read: bool,
    /// The relay has stopped for good.
    relay_stopped: bool,
    /// The gate was closed since a poll last passed it.
    was_closed: bool,
}

/// Open while the relay, a subscription without events or a single request needs the source, and for good
/// once the relay has stopped.
#[derive(Default)]
pub struct SourceGate {
    state: Mutex<State>,
    changed: Condvar,
}

impl SourceGate {
    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, update: impl FnOnce(&mut State)) {
        update(&mut self.lock_state());
        self.changed.notify_all();
    }

    /// Sets whether the relay needs the source.
    pub fn set_needed_by_relay(&self, needed_by_relay: bool) {
        self.update(|state| state.needed_by_relay = needed_by_relay);
    }

    /// Sets whether the process's own subscription is without events.
    pub fn set_awaiting_events(&self, awaiting_events: bool) {
        self.update(|state| state.awaiting_events = awaiting_events);
    }

    /// Requests at least one more answer of the source.
    pub fn request_one_read(&self) {
        self.update(|state| state.one_read = true);
    }

    /// Opens the gate for good: the relay has stopped.
    pub fn relay_stopped(&self) {
        self.update(|state| state.relay_stopped = true);
    }

    /// Waits until the source is to be read. Returns whether its answer is wanted at once, because the source
    /// was not read before or a read was requested.
    pub fn wait_until_open(&self) -> bool {
        let mut state = self.lock_state();
        let closed = |state: &State| {
            !(state.needed_by_relay
                || state.awaiting_events
                || state.one_read
                || state.relay_stopped)
        };
        while closed(&state) {
            state.was_closed = true;
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let one_read = std::mem::take(&mut state.one_read);
        std::mem::take(&mut state.was_closed) || one_read
    }

    /// Whether [`SourceGate::wait_until_open`] would wait.
    pub fn is_closed(&self) -> bool {
        let state = self.lock_state();
        !(state.needed_by_relay || state.awaiting_events || state.one_read || state.relay_stopped)
    }
}
