//! What became of links and frames, counted since the start.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Debug, Default)]
pub struct Counts {
    /// Frames that found no room in the queue of their peer, or no link.
    pub dropped: Count,
    pub unlinked: Count,
    /// Connections refused: for want of a place, another version, and a hello that was not in time, of a stranger or
    /// without the key.
    pub crowded: Count,
    pub versions: Count,
    pub strangers: Count,
    /// Links ended by a frame that was torn, foreign, repeated or out of order.
    pub broken: Count,
    /// Links that came up, and dials that came to none.
    pub links: Count,
    pub undialled: Count,
}

#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    pub fn one(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}
