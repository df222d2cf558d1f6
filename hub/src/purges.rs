//! The journal service's purges, or those of a relay of its events: each event once, in order. What they tell of hosts is
//! passed over.

use crate::state::Hub;
use foldmux_event_stream::backoff::Backoff;
use foldmux_event_stream::follower::{EventSink, Follower, FollowerLimits};
use foldmux_event_stream::journal::{Entry, EventBatch, Expire};
use foldmux_event_stream::service::JournalService;
use foldmux_stats::mix;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Weak;

/// One connection at a time, as a relay numbers its events for each connection by itself.
const LIMITS: FollowerLimits = FollowerLimits {
    max_connections: 1,
    max_batch_bytes: 1024 * 1024,
};

/// The delays of a hub of this name: hubs whose connections break at once must not come back in step.
pub fn backoff(name: &str) -> Backoff {
    Backoff::new(name.bytes().fold(0, |seed, byte| mix(seed ^ byte as u64)))
}

/// Follows the journal for as long as the hub is there.
pub fn follow(hub: &Weak<Hub>, address: SocketAddr) {
    let Some(backoff) = hub.upgrade().map(|hub| backoff(&hub.name)) else {
        return;
    };
    let service = JournalService::new(Some(address));
    let sink = PurgeSink {
        hub: hub.clone(),
        position: 0,
    };
    Follower::new(sink, &service, None, LIMITS, backoff).run();
}

/// Applies purges to the hub's copies.
struct PurgeSink {
    hub: Weak<Hub>,
    /// Number of the last event that was applied.
    position: u64,
}

impl EventSink for PurgeSink {
    fn is_running(&self) -> bool {
        let hub = self.hub.upgrade();
        hub.is_some_and(|hub| !hub.leaving.load(Ordering::SeqCst))
    }

    fn position(&self) -> u64 {
        self.position
    }

    fn apply(&mut self, entries: &[Entry]) -> bool {
        let later = entries.iter().filter(|entry| entry.pos > self.position);
        let later = Vec::from_iter(later);
        let expected = self.position + 1..;
        if !later
            .iter()
            .map(|entry| entry.pos)
            .eq(expected.take(later.len()))
        {
            return false;
        }
        let Some(hub) = self.hub.upgrade() else {
            return false;
        };
        for entry in later {
            self.position = entry.pos;
            if let Some(expire) = &entry.expire {
                purge(&hub, expire);
            }
        }
        true
    }

    /// An old purge does no harm: the events are applied as if none had been before.
    fn apply_restart(&mut self, batch: &EventBatch) -> bool {
        let former = std::mem::take(&mut self.position);
        let applied = self.apply(&batch.entries) && self.position == batch.last_position();
        if !applied {
            self.position = former;
        }
        applied
    }
}

fn purge(hub: &Hub, Expire { name, stamp, .. }: &Expire) {
    // A group, or a name that can't be read, may be any object here.
    let object = name
        .as_deref()
        .and_then(|name| u64::from_str_radix(name, 16).ok());
    hub.purge(object, *stamp);
}

#[cfg(test)]
mod tests;
