//! The watch on the journal service: a gapless long poll. Events are taken in order, each once; an answer that is lost,
//! torn or garbled changes nothing and is asked for again.
//!
//! Owns: how an answer is asked for and read ([`request`]), what its events say to the desk ([`commands`]),
//! the poll loop ([`poll`]) and where the service is ([`service`]).

use commands::List;
use foldmux_core::clock::Clock;
use foldmux_core::desk::{DeskHandle, Notice};
use foldmux_core::members::Listed;
use foldmux_event_stream::Desk;
use foldmux_upstream::pool::Pool;
use start_times::StartTimes;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

pub use foldmux_event_stream::words::{Entry, Feed};
pub use service::Service;

mod commands;
mod poll;
mod request;
mod service;
mod start_times;

/// What the journal's words stand for: the settings' zones and kinds.
#[derive(Clone)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

#[derive(Clone)]
pub struct JournalClient {
    pub names: Names,
    pub clock: Clock,
    pub desk: DeskHandle,
    pub pool: Arc<Pool>,
    /// Set once a list is in: the proxy is well.
    pub listed: Arc<AtomicBool>,
    /// Where lists go by, for those out by hand; else straight to the desk.
    pub hand: Option<Arc<crate::admin::MaintenanceRegistry>>,
    /// Where this process shares what it reads with others of its site, and is told what they read.
    shared: Option<Shared>,
    boots: StartTimes,
    /// The number of the last event that was taken.
    pos: u64,
}

#[derive(Clone)]
struct Shared {
    desk: Arc<Desk>,
    /// The greatest index of a list that was taken: what comes by another way may be older.
    newest: Arc<Mutex<u64>>,
}

impl JournalClient {
    pub fn new(
        names: Names,
        clock: Clock,
        desk: DeskHandle,
        pool: Arc<Pool>,
        listed: Arc<AtomicBool>,
    ) -> JournalClient {
        let (hand, shared, boots) = (None, None, StartTimes::default());
        JournalClient {
            names,
            clock,
            desk,
            pool,
            listed,
            hand,
            shared,
            boots,
            pos: 0,
        }
    }

    /// Takes the events that follow on those already taken: all of them, or none where one is missing or out of order.
    /// False if so; the next call asks for them again.
    pub fn take(&mut self, feed: &Feed) -> bool {
        let Some(following) = following(&feed.entries, self.pos) else {
            return false;
        };
        if let Some(last) = following.last() {
            self.pos = last.pos;
            self.tell_read(&following);
        }
        true
    }

    /// Takes a telling of all events from 1, by a service that numbers them anew: its lists come to one whole list, and
    /// what that leaves out has gone. False where it is no such telling; then nothing changes.
    fn take_anew(&mut self, feed: &Feed) -> bool {
        let Some(entries) = following(&feed.entries, 0) else {
            return false;
        };
        let Some(last) = entries.last().filter(|last| last.pos == feed.last()) else {
            return false;
        };
        let whole = |entry: &&Entry| entry.hosts.as_ref().is_some_and(|hosts| hosts.snapshot);
        if !entries.iter().any(whole) {
            return false;
        }
        self.pos = last.pos;
        self.tell_read(&entries);
        true
    }

    /// Tells of events that this process read at the source.
    fn tell_read(&self, entries: &[&Entry]) {
        let Some(Shared { desk, newest }) = &self.shared else {
            return self.tell(entries, None);
        };
        entries.iter().for_each(|entry| desk.count(entry));
        let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
        self.tell(entries, Some(&mut newest));
    }

    /// Tells of several events at once: the desk hears of no state of a member that a later one of them changes. Guards
    /// against one that drains or has gone being ready for a moment, because its former state is told first.
    fn tell(&self, entries: &[&Entry], newest: Option<&mut u64>) {
        if let Some(List {
            full,
            index,
            listed,
        }) = self.list(entries)
        {
            // A whole list counts from its own index.
            newest
                .into_iter()
                .for_each(|newest| *newest = index.max(if full { 0 } else { *newest }));
            self.tell_list(full, listed);
        }
        for entry in entries {
            let purged = entry
                .expire
                .as_ref()
                .and_then(|expire| self.purged(entry.pos, expire));
            purged.into_iter().for_each(|notice| self.desk.tell(notice));
        }
    }

    fn tell_list(&self, full: bool, listed: Vec<Listed>) {
        match &self.hand {
            Some(hand) => hand.members(full, listed),
            None => self.desk.tell(Notice::Members { full, listed }),
        }
        if full {
            self.listed.store(true, Ordering::SeqCst);
        }
    }

    /// From now on this process's reading of the source is shared by `desk`; what others read comes by
    /// [`JournalClient::relayed`] of a clone.
    pub fn share(&mut self, desk: Arc<Desk>) {
        self.shared = Some(Shared {
            desk,
            newest: Arc::default(),
        });
    }

    /// Events by way of a relay. A list older than the one that was taken is passed over: purges can't be too old.
    pub fn relayed(&self, entries: &[Entry]) {
        let Some(Shared { newest, .. }) = &self.shared else {
            return;
        };
        for entry in entries {
            let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
            let older = entry
                .hosts
                .as_ref()
                .is_some_and(|hosts| hosts.index < *newest);
            if !older {
                self.tell(&[entry], Some(&mut newest));
            }
        }
    }
}

/// The events after number `pos`, those before passed over; none where one is missing or out of order.
fn following(entries: &[Entry], pos: u64) -> Option<Vec<&Entry>> {
    let (mut last, mut following) = (pos, Vec::new());
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
