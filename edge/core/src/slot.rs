//! What others may do to a request while it runs.

use foldmux::interface::RequestId;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The line of an attempt that is under way: cutting it wakes whoever waits on it, at once.
pub trait Line: Send + Sync {
    fn cut(&self);
}

/// What others may do to a request while it runs: call its attempt off, or take its client away.
pub struct Slot {
    pub id: RequestId,
    state: Mutex<SlotState>,
}

#[derive(Default)]
struct SlotState {
    left: bool,
    called_off: Option<u8>,
    line: Option<(u8, Arc<dyn Line>)>,
}

impl Slot {
    pub fn new(id: RequestId) -> Arc<Slot> {
        Arc::new(Slot {
            id,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn left(&self) -> bool {
        self.state().left
    }

    /// Whether this attempt was called off, or its client left.
    pub fn off(&self, attempt: u8) -> bool {
        let state = self.state();
        state.left || state.called_off.is_some_and(|a| a >= attempt)
    }

    /// Puts an attempt's line where a cancel finds it; false if the cancel came first.
    pub fn hold(&self, attempt: u8, line: Arc<dyn Line>) -> bool {
        let mut state = self.state();
        if state.left || state.called_off.is_some_and(|a| a >= attempt) {
            return false;
        }
        state.line = Some((attempt, line));
        true
    }

    pub fn release(&self) {
        self.state().line = None;
    }

    /// Closing the connection gives up the request: the thread that reads from it wakes at once.
    pub fn call_off(&self, attempt: u8) {
        let mut state = self.state();
        state.called_off = state.called_off.max(Some(attempt));
        if let Some((_, line)) = state.line.take_if(|l| l.0 <= attempt) {
            line.cut();
        }
    }

    pub(crate) fn leave(&self) {
        let mut state = self.state();
        state.left = true;
        if let Some((_, line)) = state.line.take() {
            line.cut();
        }
    }
}
