//! What applies the events that are read.

use crate::journal::{Entry, EventBatch};

/// Applies the events that a [`super::Follower`] reads.
pub trait EventSink {
    /// Whether the events are still of use; the follower ends where they are not.
    fn is_running(&self) -> bool {
        true
    }

    /// Number of the last event that was applied.
    fn position(&self) -> u64;

    /// Applies the events after those already applied. If one is missing or out of order, applies none of them and
    /// returns false.
    fn apply(&mut self, entries: &[Entry]) -> bool;

    /// Applies all events from 1 on, of a service that renumbers them. Returns false, and changes nothing, if the batch
    /// is not the whole of them.
    fn apply_restart(&mut self, batch: &EventBatch) -> bool;

    /// Called after each poll.
    fn after_poll(&mut self) {}
}
