//! Bounds on open requests: how many there are at once, and one for each id of a client.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts open requests up to a maximum.
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

    /// Counts one more, or `None` where the maximum is reached.
    pub(crate) fn enter(self: &Arc<Self>) -> Option<OpenRequest> {
        // Counted before the comparison: dropping the guard takes it off again.
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

/// One open request, until it is dropped.
pub(crate) struct OpenRequest(Arc<OpenRequests>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The clients' ids of open requests.
#[derive(Default)]
pub(crate) struct OpenIds(Mutex<HashSet<u64>>);

impl OpenIds {
    /// Takes the id for one request, or `None` while another request has it.
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

/// A client's id while the request under it is open.
pub(crate) struct IdClaim {
    ids: Arc<OpenIds>,
    via_id: u64,
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.ids.ids().remove(&self.via_id);
    }
}
