//! The client of the journal service: applies its events, which [`foldmux_event_stream::follower`] reads by a long poll,
//! to the event loop. Events are applied in order, without gaps, each once.
//!
//! [`events`] decodes them to endpoints and purges.

use events::{EndpointUpdate, EventDecoder};
use foldmux_core::clock::Clock;
use foldmux_core::messages::Command;
use foldmux_core::servers::Server;
use foldmux_core::EventLoopHandle;
use foldmux_event_stream::backoff::Backoff;
use foldmux_event_stream::follower::{EventSink, Follower, FollowerLimits};
use foldmux_event_stream::StreamReaders;
use foldmux_upstream::pool::Pool;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

pub use events::ZoneAndKindNames;
pub use foldmux_event_stream::journal::{Entry, EventBatch};
pub use foldmux_event_stream::service::JournalService;

mod events;
mod start_times;

/// Applies the journal's events to the event loop's endpoint list and caches.
#[derive(Clone)]
pub struct JournalClient {
    decoder: EventDecoder,
    event_loop: EventLoopHandle,
    /// The connections to pop caches; those that were idle for too long are closed between polls.
    pub pool: Arc<Pool>,
    /// Set once a complete endpoint list was applied: from then on the process is ready.
    endpoints_known: Arc<AtomicBool>,
    /// Applies the operators' maintenance to the endpoints and forwards them; without it they go straight to the event
    /// loop.
    pub maintenance: Option<Arc<crate::admin::MaintenanceRegistry>>,
    /// The stream by which the processes of a site share the events that one of them reads.
    shared: Option<SharedStream>,
    /// The number of the last event that was applied.
    position: u64,
}

#[derive(Clone)]
struct SharedStream {
    readers: Arc<StreamReaders>,
    /// The greatest index of an endpoint list that was applied; a list from another process may be older.
    newest_index: Arc<Mutex<u64>>,
}

impl JournalClient {
    /// A client that has applied no event.
    pub fn new(
        names: ZoneAndKindNames,
        clock: Clock,
        event_loop: EventLoopHandle,
        pool: Arc<Pool>,
        endpoints_known: Arc<AtomicBool>,
    ) -> JournalClient {
        JournalClient {
            decoder: EventDecoder::new(names, clock),
            event_loop,
            pool,
            endpoints_known,
            maintenance: None,
            shared: None,
            position: 0,
        }
    }

    /// Applies the events after those already applied. If one is missing or out of order, applies none of them and
    /// returns false; the next poll requests them again.
    pub fn apply(&mut self, batch: &EventBatch) -> bool {
        EventSink::apply(self, &batch.entries)
    }

    /// Polls the service at its current address for as long as the process runs. `backoff` spaces the retries.
    pub fn follow(self, service: &JournalService, limits: FollowerLimits, backoff: Backoff) {
        let shared = self.shared.as_ref().map(|shared| shared.readers.clone());
        Follower::new(self, service, shared, limits, backoff).run();
    }

    /// Applies events that this process itself read from the service.
    fn apply_from_source(&self, entries: &[&Entry]) {
        let Some(SharedStream {
            readers,
            newest_index,
        }) = &self.shared
        else {
            return self.apply_entries(entries, None);
        };
        entries.iter().for_each(|entry| readers.record(entry));
        let mut newest_index = newest_index.lock().unwrap_or_else(PoisonError::into_inner);
        self.apply_entries(entries, Some(&mut newest_index));
    }

    /// Applies several events at once. The event loop gets only the last state of each member: a member that a later
    /// event drains or removes must not be ready for a moment.
    fn apply_entries(&self, entries: &[&Entry], newest_index: Option<&mut u64>) {
        if let Some(update) = self.decoder.endpoints(entries) {
            if let Some(newest_index) = newest_index {
                // A complete list starts over from its own index.
                let former = if update.full { 0 } else { *newest_index };
                *newest_index = update.index.max(former);
            }
            self.apply_endpoints(update);
        }
        for entry in entries {
            let purge = entry.expire.as_ref();
            let purge = purge.and_then(|expire| self.decoder.purge(entry.pos, expire));
            if let Some(purge) = purge {
                self.event_loop.send(purge);
            }
        }
    }

    fn apply_endpoints(&self, update: EndpointUpdate) {
        let EndpointUpdate { full, listed, .. } = update;
        self.forward(full, listed);
        if full {
            self.endpoints_known.store(true, Ordering::SeqCst);
        }
    }

    fn forward(&self, full: bool, listed: Vec<Server>) {
        match &self.maintenance {
            Some(maintenance) => maintenance.forward(full, listed),
            None => self.event_loop.send(Command::Servers {
                full,
                servers: listed,
            }),
        }
    }

    /// Shares the events that this process reads from the service through `readers` from now on. The events that other
    /// processes read are applied by [`JournalClient::apply_relayed`] of a clone.
    pub fn share(&mut self, readers: Arc<StreamReaders>) {
        self.shared = Some(SharedStream {
            readers,
            newest_index: Arc::default(),
        });
    }

    /// Applies events that another process read. An event whose endpoint list is older than the last one applied is
    /// ignored. One without a list is applied however old it is: an old purge does no harm.
    pub fn apply_relayed(&self, entries: &[Entry]) {
        let Some(SharedStream { newest_index, .. }) = &self.shared else {
            return;
        };
        for entry in entries {
            let mut newest_index = newest_index.lock().unwrap_or_else(PoisonError::into_inner);
            let list = entry.hosts.as_ref();
            let outdated = list.is_some_and(|list| list.index < *newest_index);
            if !outdated {
                self.apply_entries(&[entry], Some(&mut newest_index));
            }
        }
    }
}

impl EventSink for JournalClient {
    fn position(&self) -> u64 {
        self.position
    }

    fn apply(&mut self, entries: &[Entry]) -> bool {
        let Some(entries) = entries_after(entries, self.position) else {
            return false;
        };
        if let Some(last) = entries.last() {
            self.position = last.pos;
            self.apply_from_source(&entries);
        }
        true
    }

    /// The lists of the events are merged to one complete list; members that it doesn't contain are gone. Nothing is
    /// changed if the batch has a gap, has no complete list or doesn't start at event 1.
    fn apply_restart(&mut self, batch: &EventBatch) -> bool {
        let Some(entries) = entries_after(&batch.entries, 0) else {
            return false;
        };
        let Some(last) = entries
            .last()
            .filter(|last| last.pos == batch.last_position())
        else {
            return false;
        };
        let has_snapshot = |entry: &&Entry| entry.hosts.as_ref().is_some_and(|list| list.snapshot);
        if !entries.iter().any(has_snapshot) {
            return false;
        }
        self.position = last.pos;
        self.apply_from_source(&entries);
        true
    }

    fn after_poll(&mut self) {
        self.pool.sweep();
    }
}

/// The events after number `position`; `None` if one is missing or out of order.
fn entries_after(entries: &[Entry], position: u64) -> Option<Vec<&Entry>> {
    let (mut last, mut following) = (position, Vec::new());
    for entry in entries {
        if entry.pos <= last {
            continue;
        }
        if entry.pos != last + 1 {
            return None;
        }
        last = entry.pos;
        following.push(entry);
    }
    Some(following)
}
