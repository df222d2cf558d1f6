//! The public types of the crate: configuration, positions in a stream, events, commands and notifications.

use foldmux_replicas::{ClockDrift, Peer, ReplicaSet, Time};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What happens to a reader that is slower than its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowReaderPolicy {
    /// The reader receives every item, or its subscription ends with [`EndReason::TooSlow`].
    Disconnect,
    /// Of the items that wait for the reader, only the last of each key is sent.
    Conflate,
    /// Items that the ring no longer holds are skipped, and reported as a gap.
    Skip,
}

/// Where a reader starts that has no position in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPosition {
    /// With the last item of each key, and the items without a key that are younger than the snapshot window.
    Snapshot,
    /// With the oldest item that the ring holds.
    Buffered,
    /// With the items published from now on.
    Live,
}

/// The configuration of a stream.
#[derive(Clone, Debug)]
pub struct StreamConfig {
    pub name: Arc<str>,
    pub slow_readers: SlowReaderPolicy,
    pub start: StartPosition,
    /// Whether the source's epochs and numbers are the same for all processes that read it, with later epochs
    /// greater. Otherwise each process that reads the source numbers the items by itself, and a reader that
    /// changes from one such process to another receives a new snapshot.
    pub shared_numbering: bool,
    /// The time without a message after which a relay counts as silent. A relay sends a heartbeat three times
    /// in this time.
    pub silence_timeout: Time,
    /// How long an item without a key stays relevant to a reader that was away.
    pub snapshot_window: Time,
    /// The most items that the ring holds.
    pub max_items: usize,
    /// The most bytes that the ring holds, and, separately, the items that are kept by key.
    pub max_bytes: usize,
    /// The most keys of which the last item is kept.
    pub max_keys: usize,
    /// The most events that one reader is sent beyond those that it acknowledged.
    pub max_unacknowledged: u64,
}

/// The configuration of a process's [`crate::Relay`].
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// This process.
    pub own: Peer,
    /// Distinguishes this run of the process from earlier ones. It must be greater than theirs; the start
    /// time in microseconds since the Unix epoch will do.
    pub incarnation: u64,
    /// Each process of the fleet with its location: the site, or the site, hub and office.
    pub locations: Vec<(Peer, Vec<Arc<str>>)>,
    pub replicas: ReplicaSet,
    pub drift: ClockDrift,
    /// The length of a lease on a branch.
    pub lease: Time,
    pub streams: Vec<StreamConfig>,
    /// The most readers of this process, over all streams.
    pub max_readers: usize,
    /// The most processes that one relay sends a branch to.
    pub max_followers: usize,
    /// A relay gives up its role for slowness at most once in this time, and then declines the role for five
    /// times as long.
    pub min_tenure: Time,
    pub seed: u64,
}

/// A stream at one location, such as `helsinki` or `helsinki/hub1/office3`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Branch {
    pub stream: Arc<str>,
    pub location: Arc<str>,
}

impl Branch {
    /// The key that selects the branch's replicas and the order of its candidates.
    pub fn key(&self) -> Vec<u8> {
        [self.stream.as_bytes(), &[0], self.location.as_bytes()].concat()
    }
}

/// A position in a stream: an epoch of the source and the last number of that epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    pub epoch: u64,
    pub number: u64,
}

/// An item of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub number: u64,
    /// An item replaces earlier items with the same key.
    pub key: Option<Arc<str>>,
    /// Whether the item deletes its key.
    pub deleted: bool,
    pub bytes: Arc<[u8]>,
    /// The approximate time since the source published the item.
    pub age: Time,
}

/// An event for a reader. Each takes [`Event::span`] of the reader's own numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The next event follows this position. Sent to a reader that came without a position.
    Start {
        position: Position,
    },
    Item {
        epoch: u64,
        item: Item,
    },
    /// The state as of `position`: the last item of each key, then the items without a key that the reader
    /// may not have received.
    Snapshot {
        position: Position,
        keyed: Vec<Item>,
        recent: Vec<Item>,
    },
    /// The items with these numbers will not be delivered. `None` in `to`: the epoch has ended, and its last
    /// items may be missing.
    Gap {
        epoch: u64,
        from: u64,
        to: Option<u64>,
    },
}

impl Event {
    /// The reader's own numbers that the event takes.
    pub fn span(&self) -> u64 {
        match self {
            Event::Snapshot { recent, .. } => 1 + recent.len() as u64,
            Event::Start { .. } => 0,
            _ => 1,
        }
    }
}

/// A command of this process to its [`crate::Relay`].
pub enum Command {
    /// Subscribes a reader whose last own number is `after`. Answered with [`Notification::Opened`] or
    /// [`Notification::Refused`].
    Subscribe {
        reader: u64,
        stream: Arc<str>,
        after: u64,
        position: Option<Position>,
    },
    /// The reader has received all events up to this number of its own.
    Acknowledge {
        reader: u64,
        number: u64,
    },
    Cancel {
        reader: u64,
    },
    /// Items that this process read at the source, in order. Without items, the source answered and has
    /// nothing new.
    SourceItems {
        stream: Arc<str>,
        epoch: u64,
        items: Vec<Item>,
    },
    /// The source could not be reached, or its answer could not be decoded.
    SourceFailed {
        stream: Arc<str>,
    },
    /// The process shuts down (SIGTERM): hand over to other relays.
    Drain,
}

/// A notification from the [`crate::Relay`] to its process.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The subscription is open.
    Opened {
        reader: u64,
    },
    Refused {
        reader: u64,
        reason: SubscribeError,
    },
    /// `first` is the reader's own number of the first event.
    Events {
        reader: u64,
        first: u64,
        events: Vec<Event>,
    },
    Ended {
        reader: u64,
        reason: EndReason,
    },
    /// Start or stop reading the source.
    ReadSource {
        stream: Arc<str>,
        open: bool,
    },
    /// The process that relays the stream to this one. `None`: this process reads the source itself, or
    /// nothing.
    Upstream {
        stream: Arc<str>,
        from: Option<Peer>,
    },
}

/// Why a subscription was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscribeError {
    UnknownStream,
    TooManyReaders,
    /// A reader with this id is already subscribed.
    DuplicateReader,
}

/// Why a subscription was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The ring evicted items that the reader had not received, and the stream may not skip any.
    TooSlow,
}
