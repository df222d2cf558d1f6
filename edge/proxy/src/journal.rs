//! The client of the journal service: follows its events by a long poll without gaps. Events are applied in order, each
//! once; a response that is lost, cut off or garbled changes nothing, and is requested again.
//!
//! [`poll`] is the loop, [`request`] one request and its response, [`service`] the connection and a move to another
//! address, [`events`] turns events into endpoints and purges for the event loop.

use events::{EndpointUpdate, EventDecoder};
use foldmux_core::clock::Clock;
use foldmux_core::event_loop::EventLoopHandle;
use foldmux_core::messages::Command;
use foldmux_core::servers::Server;
use foldmux_event_stream::StreamReaders;
use foldmux_upstream::pool::Pool;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

pub use events::Names;
pub use foldmux_event_stream::journal::{Entry, EventBatch};
pub use service::JournalService;

mod events;
mod poll;
mod request;
mod service;
mod start_times;

/// Applies the journal's events to the event loop's endpoint list and caches.
#[derive(Clone)]
pub struct JournalClient {
    decoder: EventDecoder,
    event_loop: EventLoopHandle,
    /// The connections to pop caches: those that idled for too long are closed between polls.
    pub pool: Arc<Pool>,
    /// Set once a whole endpoint list was applied: from then on the process is ready.
    listed: Arc<AtomicBool>,
    /// Where endpoints are forwarded to, for those out of service by hand; else straight to the event loop.
    pub maintenance: Option<Arc<crate::admin::MaintenanceRegistry>>,
    /// Where this process shares the events that it reads with others of its site, and gets what they read.
    shared: Option<SharedStream>,
    /// The number of the last event that was applied.
    position: u64,
}

#[derive(Clone)]
struct SharedStream {
    readers: Arc<StreamReaders>,
    /// The greatest index of an endpoint list that was applied: what comes from another process may be older.
    newest_index: Arc<Mutex<u64>>,
}

impl JournalClient {
    /// A client that has applied no event.
    pub fn new(
        names: Names,
        clock: Clock,
        event_loop: EventLoopHandle,
        pool: Arc<Pool>,
        listed: Arc<AtomicBool>,
    ) -> JournalClient {
        JournalClient {
            decoder: EventDecoder::new(names, clock),
            event_loop,
            pool,
            listed,
            maintenance: None,
            shared: None,
            position: 0,
        }
    }

    /// Applies the events that follow those already applied: all of them, or none where one is missing or out of order.
    /// Returns false in that case; the next poll requests them again.
    pub fn apply(&mut self, feed: &EventBatch) -> bool {
        let Some(following) = following(&feed.entries, self.position) else {
            return false;
        };
        if let Some(last) = following.last() {
            self.position = last.pos;
            self.apply_from_source(&following);
        }
        true
    }

    /// Applies all events from 1 on, by a service that numbers them anew. Its lists come to one whole list, and what that
    /// leaves out is gone. Returns false where the feed is no such restart; then nothing changes.
    fn apply_restart(&mut self, feed: &EventBatch) -> bool {
        let Some(entries) = following(&feed.entries, 0) else {
            return false;
        };
        let Some(last) = entries
            .last()
            .filter(|last| last.pos == feed.last_position())
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

    /// Applies events that this process read at the service.
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

    /// Applies several events at once. The event loop sees only the last state of each member: one that drains or is gone
    /// by a later event must not be ready for a moment.
    fn apply_entries(&self, entries: &[&Entry], newest_index: Option<&mut u64>) {
        if let Some(update) = self.decoder.endpoints(entries) {
            if let Some(newest_index) = newest_index {
                // A whole list starts anew from its own index.
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
            self.listed.store(true, Ordering::SeqCst);
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

    /// From now on `readers` share what this process reads at the service. What others read is applied by
    /// [`JournalClient::apply_relayed`] of a clone.
    pub fn share(&mut self, readers: Arc<StreamReaders>) {
        self.shared = Some(SharedStream {
            readers,
            newest_index: Arc::default(),
        });
    }

    /// Applies events that another process read. An endpoint list older than the one that was applied is ignored; a
    /// purge can't be too old.
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

/// The events after number `position`; `None` where one is missing or out of order.
fn following(entries: &[Entry], position: u64) -> Option<Vec<&Entry>> {
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
