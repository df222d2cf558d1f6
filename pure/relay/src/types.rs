//! The types of the part: streams, places in them, what processes say to each other, what a process asks and is told.

use foldmux_replicas::{ClockDrift, Peer, ReplicaSet, Time};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What becomes of a reader that is slower than its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slow {
    /// It gets all or is ended with a reason.
    All,
    /// Of what waits for it, the last of each key.
    Latest,
    /// What the ring no longer holds is passed over, and told.
    Skip,
}

/// What one is sent that comes with no place in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// The last of each key, and what is younger than the window.
    Whole,
    /// What the ring holds.
    Ring,
    /// What comes after.
    Live,
}

/// A stream, as the operator's file and the class say.
#[derive(Clone, Debug)]
pub struct Stream {
    pub name: Arc<str>,
    pub slow: Slow,
    pub first: First,
    /// The source's epochs and numbers are the same whoever reads it, later epochs greater. Otherwise each process that
    /// reads it counts for itself, and a reader that changes from one to another is sent the whole.
    pub shared: bool,
    /// How long without a word until a relay counts as silent. A beat comes three times in it.
    pub patience: Time,
    /// What has no key matters so long to one that was away.
    pub window: Time,
    /// Of the ring: items and bytes. Of the last of each key: keys, and the same bytes.
    pub items: usize,
    pub bytes: usize,
    pub keys: usize,
    /// Told to one reader and not yet taken by it, at most.
    pub ahead: u64,
}

/// All that a process is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    pub me: Peer,
    /// Tells this life of the process from its earlier ones: greater, such as the start's Unix time in microseconds.
    pub life: u64,
    /// Each process with its place: the site, or site, hub and office.
    pub places: Vec<(Peer, Vec<Arc<str>>)>,
    pub replicas: ReplicaSet,
    pub drift: ClockDrift,
    pub lease: Time,
    pub streams: Vec<Stream>,
    /// Readers of this process, over all streams; and processes that one relay feeds in a branch.
    pub readers: usize,
    pub fed: usize,
    /// A relay moves for slowness at most once in so long, and one that was moved from sits out five times as long.
    pub hold: Time,
    pub seed: u64,
}

/// A stream as it comes to one place: `helsinki`, or `helsinki/hub1/office3`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Branch {
    pub stream: Arc<str>,
    pub place: Arc<str>,
}

impl Branch {
    /// What it is found by at seats and in the line of those who may relay it.
    pub fn key(&self) -> Vec<u8> {
        [self.stream.as_bytes(), &[0], self.place.as_bytes()].concat()
    }
}

/// How far in a stream: the source's epoch, and the last number of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    pub epoch: u64,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub number: u64,
    /// Of items with one key the last says all.
    pub key: Option<Arc<str>>,
    /// With this the key goes.
    pub gone: bool,
    pub bytes: Arc<[u8]>,
    /// Since the source told it, about.
    pub age: Time,
}

/// What a reader is told. Each takes [`Event::span`] of the reader's own numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// What comes follows on this place; for one that came without one.
    From {
        place: Place,
    },
    Item {
        epoch: u64,
        item: Item,
    },
    /// As of `place`: the last of each key, then what has none and may not have come.
    Whole {
        place: Place,
        keyed: Vec<Item>,
        recent: Vec<Item>,
    },
    /// These numbers do not come; with no end: the epoch is over and what it told last was not heard.
    Lost {
        epoch: u64,
        from: u64,
        to: Option<u64>,
    },
}

impl Event {
    pub fn span(&self) -> u64 {
        match self {
            Event::Whole { recent, .. } => 1 + recent.len() as u64,
            Event::From { .. } => 0,
            _ => 1,
        }
    }
}

pub enum Ask {
    /// A reader whose own last number is `after`. Answered with `Opened` or `Refused`.
    Subscribe {
        ticket: u64,
        stream: Arc<str>,
        after: u64,
        place: Option<Place>,
    },
    /// The reader has taken all to this number of its own.
    Taken {
        reader: u64,
        number: u64,
    },
    Cancel {
        reader: u64,
    },
    /// What the source told this process, in order; with no items: an answer came, and nothing is new.
    Fed {
        stream: Arc<str>,
        epoch: u64,
        items: Vec<Item>,
    },
    /// The source could not be reached, or what it says can't be read.
    Unfed {
        stream: Arc<str>,
    },
    /// SIGTERM: others relay from now on.
    Leave,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The ticket is the reader's name from now on.
    Opened {
        ticket: u64,
    },
    Refused {
        ticket: u64,
        why: Refused,
    },
    /// `first` is the reader's own number of the first event.
    News {
        reader: u64,
        first: u64,
        events: Vec<Event>,
    },
    Ended {
        reader: u64,
        why: Ended,
    },
    /// Read the source from here on, or no longer.
    Source {
        stream: Arc<str>,
        open: bool,
    },
    /// Who feeds this process; none: it reads the source itself, or nothing.
    Relay {
        stream: Arc<str>,
        from: Option<Peer>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    NoSuchStream,
    Full,
    /// This name is in use.
    Taken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The ring went past it, and its stream leaves nothing out.
    TooSlow,
}
