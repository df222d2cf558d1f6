//! The state of one connection in the table: what is open on it, and whether it has ended.

use crate::closing::{cut, has_arrived, stop_writing};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// For this long a new connection that has sent no request yet is ended only after the idle ones that have.
pub(super) const NEWCOMER_GRACE: Duration = Duration::from_millis(100);

/// How far the shutdown of the process has come.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// There is none.
    #[default]
    Serving,
    /// A connection that has sent a request ends once it is idle.
    Leaving,
    /// Every connection does.
    Closing,
}

/// The entry of one connection.
pub(super) struct Entry {
    pub(super) stream: Arc<TcpStream>,
    /// Number of messages that have begun, and of responses that are pending.
    pub(super) open: usize,
    /// Since when nothing is open.
    pub(super) idle_since: Instant,
    /// The client has begun a message at least once.
    pub(super) has_sent: bool,
    /// Since when a message has stalled.
    pub(super) yields_since: Option<Instant>,
    /// No more requests are read: it ends once nothing is open.
    pub(super) ends_when_idle: bool,
    /// When this side stopped writing.
    pub(super) ended: Option<Instant>,
    /// Shut down both ways: its thread is about to release the slot.
    pub(super) cut: bool,
}

impl Entry {
    pub(super) fn new(stream: Arc<TcpStream>) -> Entry {
        Entry {
            stream,
            open: 0,
            idle_since: Instant::now(),
            has_sent: false,
            yields_since: None,
            ends_when_idle: false,
            ended: None,
            cut: false,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.open == 0 && self.ended.is_none()
    }

    /// Only a message that has stalled is open.
    pub(super) fn yields(&self) -> bool {
        self.yields_since.is_some() && self.open == 1 && self.ended.is_none()
    }

    pub(super) fn is_to_end(&self, phase: Phase) -> bool {
        let ends = match phase {
            Phase::Serving => false,
            Phase::Leaving => self.has_sent,
            Phase::Closing => self.has_sent || self.idle_since.elapsed() >= NEWCOMER_GRACE,
        };
        (ends || self.ends_when_idle) && self.is_idle()
    }

    pub(super) fn end_if_due(&mut self, phase: Phase) {
        if !self.is_to_end(phase) {
            return;
        }
        if self.ends_when_idle {
            // What arrives now is not processed: there is no request to wait for.
            self.end();
        } else {
            self.end_unless_request_arrived();
        }
    }

    /// Ends the connection, unless the next request has arrived: that one is answered first. Returns whether it has ended.
    pub(super) fn end_unless_request_arrived(&mut self) -> bool {
        !has_arrived(&self.stream) && self.end()
    }

    /// Ends the connection; returns whether it has ended. One that could not be ended is tried again by a later sweep.
    fn end(&mut self) -> bool {
        let ends = stop_writing(&self.stream);
        if ends {
            self.ended = Some(Instant::now());
        }
        ends
    }

    pub(super) fn cut(&mut self) {
        self.cut = self.cut || cut(&self.stream);
    }
}
