//! The purges that this process was told of, for what is decided before an attempt and must still hold at its first byte.
//!
//! The router bounds the age of a copy when it decides on an attempt. The attempt may then wait: for a backoff, a permit, a
//! record or a connection. Whoever sends it reads the bound again, right before the first byte. Only the event loop records
//! purges; all other threads only read them.

use foldmux::interface::{Fetch, ObjectId, Time};
use foldmux::PurgeLog;
use std::sync::{PoisonError, RwLock};

/// The purges that are not complete yet.
#[derive(Default)]
pub struct RecentPurges(RwLock<PurgeLog>);

impl RecentPurges {
    /// Records a purge; the parameters are those of [`PurgeLog::record`].
    pub fn record(
        &self,
        now: Time,
        object: Option<ObjectId>,
        group: u32,
        age: Time,
        retention: Time,
    ) {
        let mut log = self.0.write().unwrap_or_else(PoisonError::into_inner);
        log.record(now, object, group, age, retention);
    }

    /// Limits the age of the copy that an attempt accepts if it is sent at `now`.
    pub fn limit(&self, fetch: &mut Fetch, now: Time, object: u64, group: u32) {
        let log = self.0.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(max_age) = log.max_age(now, ObjectId(object), group) {
            fetch.limit_max_age(max_age);
        }
    }
}
