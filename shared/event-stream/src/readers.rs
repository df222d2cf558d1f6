//! The readers of a relayed stream in this process, and what this process reads at the source for the relay.

use crate::items::{entries_of, ItemLog};
use crate::journal::Entry;
use crate::source_gate::SourceGate;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use foldmux_fleet::{Port, Refused, Sink};
use foldmux_relay::{Command, Event, Notification};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

pub struct StreamReaders {
    stream: Arc<str>,
    /// Capacity of a reader's channel: the events that it may be sent unacknowledged, one in each
    /// notification, and the end.
    channel_capacity: usize,
    port: OnceLock<Port<Command>>,
    readers: Mutex<HashMap<u64, Sender<Notification>>>,
    /// Readers that ended and whose cancellation the relay could not accept yet.
    to_cancel: Mutex<Vec<u64>>,
    next_id: AtomicU64,
    item_log: Mutex<ItemLog>,
    pub gate: SourceGate,
}

/// The subscription has ended: the reader was too slow, there was no room, or the relay has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionEnded;

/// Receives the relay's notifications for [`StreamReaders`].
pub struct RelaySink(pub Arc<StreamReaders>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StreamReaders {
    pub fn new(stream: &str, max_unacknowledged: u64) -> Arc<StreamReaders> {
        Arc::new(StreamReaders {
            stream: stream.into(),
            channel_capacity: max_unacknowledged as usize + 4,
            port: OnceLock::new(),
            readers: Mutex::default(),
            to_cancel: Mutex::default(),
            next_id: AtomicU64::new(1),
            item_log: Mutex::default(),
            gate: SourceGate::default(),
        })
    }

    /// Attaches the port to the relay, once it is in service.
    pub fn attach(&self, port: Port<Command>) {
        let _ = self.port.set(port);
    }

    fn command(&self, command: Command) -> Result<(), Refused> {
        self.port
            .get()
            .map_or(Err(Refused::Gone), |port| port.ask(command))
    }

    /// Records an event that was read at the source, for all followers of this process.
    pub fn record(&self, entry: &Entry) {
        lock(&self.item_log).add_entry(entry);
    }

    /// Reports an answer of the source to the relay, with the events recorded since the last report.
    pub fn on_source_answer(&self) {
        let mut item_log = lock(&self.item_log);
        let (epoch, items) = item_log.take_pending();
        // If the queue is full, the items wait for the next answer, so that there is no gap.
        if self
            .command(Command::SourceItems {
                stream: self.stream.clone(),
                epoch,
                items: items.clone(),
            })
            .is_err()
        {
            item_log.put_back(epoch, items);
        }
    }

    /// Reports to the relay that the source failed.
    pub fn on_source_failure(&self) {
        let _ = self.command(Command::SourceFailed {
            stream: self.stream.clone(),
        });
    }

    /// Asks the relay to hand over to other processes.
    pub fn drain(&self) {
        let _ = self.command(Command::Drain);
    }

    /// Subscribes a reader whose last own number is `position`.
    ///
    /// # Errors
    ///
    /// When the relay can't take the command.
    pub fn subscribe(
        self: &Arc<StreamReaders>,
        position: u64,
    ) -> Result<Subscription, SubscriptionEnded> {
        self.cancel_ended();
        let (sender, notifications) = bounded(self.channel_capacity);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.readers).insert(id, sender);
        let subscription = Subscription {
            readers: self.clone(),
            id,
            notifications,
            position,
            acknowledged: position,
        };
        let command = Command::Subscribe {
            reader: id,
            stream: self.stream.clone(),
            after: position,
            position: None,
        };
        self.command(command).map_err(|_| SubscriptionEnded)?;
        Ok(subscription)
    }

    /// Cancels the subscriptions of readers that ended. Those that find the relay's queue full stay for the
    /// next call.
    fn cancel_ended(&self) {
        lock(&self.to_cancel).retain(|reader| {
            self.command(Command::Cancel { reader: *reader }) == Err(Refused::Full)
        });
    }
}

impl Sink<Notification> for RelaySink {
    fn told(&self, notification: Notification) {
        let readers = &self.0;
        let reader = match &notification {
            Notification::ReadSource { open, .. } => {
                return readers.gate.set_needed_by_relay(*open)
            }
            Notification::Upstream {
                from: Some(from),
                stream,
            } => return tracing::info!("stream {stream}: relayed by {from}"),
            Notification::Upstream { stream, .. } => {
                return tracing::info!("stream {stream}: read at the source")
            }
            Notification::Opened { .. } => return,
            Notification::Refused { reader, .. } => *reader,
            Notification::Events { reader, .. } | Notification::Ended { reader, .. } => *reader,
        };
        let mut readers = lock(&readers.readers);
        let ends = !matches!(notification, Notification::Events { .. });
        // A reader whose channel is full ends: dropping a notification would leave an unreported gap.
        if ends
            || readers
                .get(&reader)
                .is_some_and(|to| to.try_send(notification).is_err())
        {
            readers.remove(&reader);
        }
    }

    fn gone(&self) {
        lock(&self.0.readers).clear();
        self.0.gate.relay_stopped();
    }
}

pub struct Subscription {
    readers: Arc<StreamReaders>,
    id: u64,
    notifications: Receiver<Notification>,
    /// The last of the reader's own numbers that it was sent.
    pub position: u64,
    /// The last number that the relay accepted an acknowledgement for.
    acknowledged: u64,
}

impl Subscription {
    /// Waits for the next events, until `until`. Returns none when that time has passed.
    ///
    /// # Errors
    ///
    /// When the subscription has ended.
    pub fn receive(&mut self, until: Instant) -> Result<Vec<Entry>, SubscriptionEnded> {
        let mut found = Vec::new();
        while found.is_empty() {
            match self.notifications.recv_deadline(until) {
                Ok(notification) => self.add(notification, &mut found),
                Err(RecvTimeoutError::Timeout) => return Ok(found),
                Err(RecvTimeoutError::Disconnected) => return Err(SubscriptionEnded),
            }
        }
        while let Ok(notification) = self.notifications.try_recv() {
            self.add(notification, &mut found);
        }
        Ok(found)
    }

    fn add(&mut self, notification: Notification, found: &mut Vec<Entry>) {
        if let Notification::Events { first, events, .. } = notification {
            self.position = first - 1 + events.iter().map(Event::span).sum::<u64>();
            found.extend(entries_of(first, &events));
        }
    }

    /// Acknowledges all events up to this number.
    pub fn acknowledge(&mut self, number: u64) {
        if number > self.acknowledged
            && self
                .readers
                .command(Command::Acknowledge {
                    reader: self.id,
                    number,
                })
                .is_ok()
        {
            self.acknowledged = number;
        }
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        lock(&self.readers.readers).remove(&self.id);
        lock(&self.readers.to_cancel).push(self.id);
        self.readers.cancel_ended();
    }
}
