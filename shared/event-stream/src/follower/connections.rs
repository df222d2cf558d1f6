//! The connections to the journal service: those with a poll in flight, and idle ones.

use super::connection::{Connection, PollReport};
use crossbeam_channel::{bounded, Receiver, Sender};
use foldmux_long_poll::PollId;
use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

/// Bounds of a [`super::Follower`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerLimits {
    /// Most connections to the service.
    pub max_connections: usize,
    /// Events of a response are applied at once up to this length of their text (bytes); the events of a longer one in
    /// several parts. No single event may be longer.
    pub max_batch_bytes: usize,
}

impl Default for FollowerLimits {
    fn default() -> FollowerLimits {
        FollowerLimits {
            max_connections: 10,
            max_batch_bytes: 1024 * 1024,
        }
    }
}

/// A poll in flight.
pub(super) struct Poll {
    pub(super) connection: Connection,
    pub(super) started: Instant,
    pub(super) wait: Duration,
    /// Number of the last event that was applied when the poll was sent; 0 where all events are requested.
    pub(super) position: u64,
    /// Requests all events, as the service seems to renumber them.
    pub(super) is_restart: bool,
    /// A part of its response was applied.
    pub(super) has_news: bool,
    /// Bytes of the response that had come when they were last looked at.
    pub(super) received: u64,
}

/// All connections to the service. To drop one ends it and the poll on it.
pub(super) struct Connections {
    polls: HashMap<PollId, Poll>,
    /// Connections without a poll, the last used last.
    idle: Vec<Connection>,
    max_connections: usize,
    sender: Sender<PollReport>,
    /// The outcomes of polls, of those that were given up, too.
    pub(super) reports: Receiver<PollReport>,
}

impl Poll {
    /// Bytes of the response that have come since the last call.
    pub(super) fn take_progress(&mut self) -> u64 {
        let received = self.connection.received();
        received - std::mem::replace(&mut self.received, received)
    }
}

impl Connections {
    pub(super) fn new(max_connections: usize) -> Connections {
        // A report waits until the one before it is applied, which bounds the memory of long responses.
        let (sender, reports) = bounded(1);
        Connections {
            polls: HashMap::new(),
            idle: Vec::new(),
            max_connections,
            sender,
            reports,
        }
    }

    /// An idle connection, or a new one that dials with its first poll.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread of a new one can't be started.
    pub(super) fn take_idle(&mut self) -> io::Result<Connection> {
        match self.idle.pop() {
            Some(connection) => Ok(connection),
            None => Connection::start(self.sender.clone()),
        }
    }

    /// Keeps a connection for a later poll. The least recently used one makes way for it where there are too many.
    pub(super) fn keep_idle(&mut self, connection: Connection) {
        let connections = self.idle.len() + self.polls.len() + 1;
        if connections > self.max_connections && !self.idle.is_empty() {
            self.idle.remove(0);
        }
        self.idle.push(connection);
    }

    pub(super) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Ends all connections.
    pub(super) fn clear(&mut self) {
        self.polls.clear();
        self.idle.clear();
    }

    pub(super) fn insert(&mut self, id: PollId, poll: Poll) {
        self.polls.insert(id, poll);
    }

    pub(super) fn get_mut(&mut self, id: PollId) -> Option<&mut Poll> {
        self.polls.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: PollId) -> Option<Poll> {
        self.polls.remove(&id)
    }

    /// Whether a poll is in flight.
    pub(super) fn have_polls(&self) -> bool {
        !self.polls.is_empty()
    }
}
