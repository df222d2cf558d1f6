//! Cancelling a request, or one attempt of it, from another thread.

use foldmux::interface::RequestId;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Something that a thread blocks on for an attempt, such as its connection.
pub trait Cancellable: Send + Sync {
    /// Wakes the blocked thread at once.
    fn cancel(&self);
}

/// The cancellation handle of one request, shared by its thread and the threads that may cancel it.
pub struct CancelHandle {
    /// Id of the request.
    pub id: RequestId,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    client_gone: bool,
    /// Attempts up to and including this number are cancelled.
    cancelled_through: Option<u8>,
    /// The attempt with this number blocks on this.
    waiting: Option<(u8, Arc<dyn Cancellable>)>,
}

impl State {
    fn is_cancelled(&self, attempt: u8) -> bool {
        self.client_gone || self.cancelled_through.is_some_and(|last| last >= attempt)
    }
}

impl CancelHandle {
    /// Creates the handle of a request that is not cancelled.
    pub fn new(id: RequestId) -> Arc<CancelHandle> {
        Arc::new(CancelHandle {
            id,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the client is gone.
    pub fn is_client_gone(&self) -> bool {
        self.state().client_gone
    }

    /// Whether this attempt is cancelled, by itself or because the client is gone.
    pub fn is_cancelled(&self, attempt: u8) -> bool {
        self.state().is_cancelled(attempt)
    }

    /// Registers what `attempt` blocks on, so that a cancellation wakes it. Returns false, and registers nothing, if the
    /// attempt is already cancelled.
    pub fn register(&self, attempt: u8, waiting: Arc<dyn Cancellable>) -> bool {
        let mut state = self.state();
        if state.is_cancelled(attempt) {
            return false;
        }
        state.waiting = Some((attempt, waiting));
        true
    }

    /// Removes the registration: the attempt no longer blocks.
    pub fn unregister(&self) {
        self.state().waiting = None;
    }

    /// Cancels all attempts up to and including this number.
    pub fn cancel_through(&self, attempt: u8) {
        let mut state = self.state();
        state.cancelled_through = state.cancelled_through.max(Some(attempt));
        if let Some((_, waiting)) = state.waiting.take_if(|(number, _)| *number <= attempt) {
            waiting.cancel();
        }
    }

    /// Cancels all attempts, including future ones.
    pub fn cancel_all(&self) {
        self.cancel_through(u8::MAX);
    }

    /// Records that the client is gone, which cancels all attempts.
    pub(crate) fn client_gone(&self) {
        let mut state = self.state();
        state.client_gone = true;
        if let Some((_, waiting)) = state.waiting.take() {
            waiting.cancel();
        }
    }
}
