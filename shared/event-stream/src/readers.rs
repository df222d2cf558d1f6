//! The readers of a relayed stream in this process, and what this process reads at the source for it.

use crate::items::{entries, Counter};
use crate::journal::Entry;
use crate::source_gate::SourceGate;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use foldmux_fleet::{Port, Refused, Sink};
use foldmux_relay::{Ask, Event, Told};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

pub struct StreamReaders {
    stream: Arc<str>,
    /// Messages that wait for one reader: what it may be told ahead, one event in each, and its end.
    room: usize,
    port: OnceLock<Port<Ask>>,
    readers: Mutex<HashMap<u64, Sender<Told>>>,
    /// Readers that have gone, and that the part could not be told of yet.
    ended: Mutex<Vec<u64>>,
    next: AtomicU64,
    counter: Mutex<Counter>,
    pub gate: SourceGate,
}

/// A reader's stream has ended: it was too slow, there was no room, or the part is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionEnded;

/// Where the part tells what it has to tell.
pub struct RelaySink(pub Arc<StreamReaders>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StreamReaders {
    pub fn new(stream: &str, ahead: u64) -> Arc<StreamReaders> {
        Arc::new(StreamReaders {
            stream: stream.into(),
            room: ahead as usize + 4,
            port: OnceLock::new(),
            readers: Mutex::default(),
            ended: Mutex::default(),
            next: AtomicU64::new(1),
            counter: Mutex::default(),
            gate: SourceGate::default(),
        })
    }

    /// The part is in service.
    pub fn begin(&self, port: Port<Ask>) {
        let _ = self.port.set(port);
    }

    fn ask(&self, ask: Ask) -> Result<(), Refused> {
        self.port
            .get()
            .map_or(Err(Refused::Gone), |port| port.ask(ask))
    }

    /// An event that was read at the source: known to all that follow on this process.
    pub fn count(&self, entry: &Entry) {
        lock(&self.counter).count(entry);
    }

    /// An answer of the source came, and what it told was counted.
    pub fn fed(&self) {
        let mut counter = lock(&self.counter);
        let (epoch, items) = counter.take();
        // What finds the queue full waits for the next answer, so that there is no gap.
        if self
            .ask(Ask::Fed {
                stream: self.stream.clone(),
                epoch,
                items: items.clone(),
            })
            .is_err()
        {
            counter.back(epoch, items);
        }
    }

    pub fn unfed(&self) {
        let _ = self.ask(Ask::Unfed {
            stream: self.stream.clone(),
        });
    }

    /// Others relay from now on.
    pub fn leave(&self) {
        let _ = self.ask(Ask::Leave);
    }

    /// A reader whose own last number is `after`.
    pub fn read(self: &Arc<StreamReaders>, after: u64) -> Result<Subscription, SubscriptionEnded> {
        self.sweep();
        let (sender, told) = bounded(self.room);
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.readers).insert(ticket, sender);
        let reading = Subscription {
            readers: self.clone(),
            ticket,
            told,
            after,
            taken: after,
        };
        let ask = Ask::Subscribe {
            ticket,
            stream: self.stream.clone(),
            after,
            place: None,
        };
        self.ask(ask).map_err(|_| SubscriptionEnded)?;
        Ok(reading)
    }

    /// RelaySink the part of readers that have gone.
    fn sweep(&self) {
        lock(&self.ended)
            .retain(|reader| self.ask(Ask::Cancel { reader: *reader }) == Err(Refused::Full));
    }
}

impl Sink<Told> for RelaySink {
    fn told(&self, told: Told) {
        let readers = &self.0;
        let reader = match &told {
            Told::Source { open, .. } => return readers.gate.open(*open),
            Told::Relay {
                from: Some(from),
                stream,
            } => return tracing::info!("{stream} comes by {from}"),
            Told::Relay { stream, .. } => return tracing::info!("{stream} is read at its source"),
            Told::Opened { .. } => return,
            Told::Refused { ticket, .. } => *ticket,
            Told::News { reader, .. } | Told::Ended { reader, .. } => *reader,
        };
        let mut readers = lock(&readers.readers);
        let over = !matches!(told, Told::News { .. });
        // One whose channel is full is at its end: a gap would be untold.
        if over
            || readers
                .get(&reader)
                .is_some_and(|to| to.try_send(told).is_err())
        {
            readers.remove(&reader);
        }
    }

    fn gone(&self) {
        lock(&self.0.readers).clear();
        self.0.gate.gone();
    }
}

pub struct Subscription {
    readers: Arc<StreamReaders>,
    ticket: u64,
    told: Receiver<Told>,
    /// The last of its own numbers that it was told; and that it took, as far as the part knows.
    pub after: u64,
    taken: u64,
}

impl Subscription {
    /// What came, at least one event, or nothing until then.
    pub fn next(&mut self, until: Instant) -> Result<Vec<Entry>, SubscriptionEnded> {
        let mut found = Vec::new();
        while found.is_empty() {
            match self.told.recv_deadline(until) {
                Ok(told) => self.add(told, &mut found),
                Err(RecvTimeoutError::Timeout) => return Ok(found),
                Err(RecvTimeoutError::Disconnected) => return Err(SubscriptionEnded),
            }
        }
        while let Ok(told) = self.told.try_recv() {
            self.add(told, &mut found);
        }
        Ok(found)
    }

    fn add(&mut self, told: Told, found: &mut Vec<Entry>) {
        if let Told::News { first, events, .. } = told {
            self.after = first - 1 + events.iter().map(Event::span).sum::<u64>();
            found.extend(entries(first, &events));
        }
    }

    /// It has all to there.
    pub fn took(&mut self, number: u64) {
        if number > self.taken
            && self
                .readers
                .ask(Ask::Taken {
                    reader: self.ticket,
                    number,
                })
                .is_ok()
        {
            self.taken = number;
        }
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        lock(&self.readers.readers).remove(&self.ticket);
        lock(&self.readers.ended).push(self.ticket);
        self.readers.sweep();
    }
}
