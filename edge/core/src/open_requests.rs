//! Bounds on open requests: a maximum number at once, and at most one per client-assigned id.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The number of open requests, with a maximum.
pub(crate) struct OpenRequests {
    count: AtomicUsize,
    max: usize,
}

impl OpenRequests {
    pub(crate) fn new(max: usize) -> Arc<OpenRequests> {
        Arc::new(OpenRequests {
            count: AtomicUsize::new(0),
            max,
        })
    }

    /// Counts one more open request; `None` if the maximum is reached.
    pub(crate) fn try_open(self: &Arc<Self>) -> Option<OpenRequest> {
        // Counted before the comparison; if the maximum is reached, dropping the guard undoes the count.
        let open = OpenRequest(self.clone());
        (self.count.fetch_add(1, Ordering::SeqCst) < self.max).then_some(open)
    }

    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    pub(crate) fn max(&self) -> usize {
        self.max
    }
}

/// Guard that counts as one open request until it is dropped.
pub(crate) struct OpenRequest(Arc<OpenRequests>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The client-assigned ids of open requests.
#[derive(Default)]
pub(crate) struct OpenIds(Mutex<HashSet<u64>>);

impl OpenIds {
    /// Claims the id for one request; `None` if another open request has it.
    pub(crate) fn claim(self: &Arc<Self>, via_id: u64) -> Option<IdClaim> {
        let free = self.ids().insert(via_id);
        free.then(|| IdClaim {
            ids: self.clone(),
            via_id,
        })
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that reserves a client-assigned id until it is dropped.
pub(crate) struct IdClaim {
    ids: Arc<OpenIds>,
    via_id: u64,
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.ids.ids().remove(&self.via_id);
    }
}
