//! Cancelling a request, or one attempt of it, from another thread.

use foldmux::interface::RequestId;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Something that a thread waits for on behalf of an attempt, such as its connection.
pub trait Cancellable: Send + Sync {
    /// Wakes the waiting thread at once.
    fn cancel(&self);
}

/// The cancellation handle of one request, shared between its thread and those that may cancel it.
pub struct CancelHandle {
    /// The request.
    pub id: RequestId,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    client_gone: bool,
    /// Attempts up to this number are cancelled.
    cancelled_through: Option<u8>,
    /// What the attempt of this number waits for.
    waiting: Option<(u8, Arc<dyn Cancellable>)>,
}

impl State {
    fn is_cancelled(&self, attempt: u8) -> bool {
        self.client_gone || self.cancelled_through.is_some_and(|last| last >= attempt)
    }
}

impl CancelHandle {
    /// The handle of a request that nobody has cancelled.
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

    /// Whether this attempt was cancelled, or the client is gone.
    pub fn is_cancelled(&self, attempt: u8) -> bool {
        self.state().is_cancelled(attempt)
    }

    /// Registers what `attempt` waits for, so that a cancellation reaches it; false if the attempt is cancelled already.
    pub fn register(&self, attempt: u8, waiting: Arc<dyn Cancellable>) -> bool {
        let mut state = self.state();
        if state.is_cancelled(attempt) {
            return false;
        }
        state.waiting = Some((attempt, waiting));
        true
    }

    /// The attempt waits for nothing any more.
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

    /// Cancels every attempt, present and future.
    pub fn cancel_all(&self) {
        self.cancel_through(u8::MAX);
    }

    /// Records that the client is gone, which cancels every attempt.
    pub(crate) fn client_gone(&self) {
        let mut state = self.state();
        state.client_gone = true;
        if let Some((_, waiting)) = state.waiting.take() {
            waiting.cancel();
        }
    }
}
