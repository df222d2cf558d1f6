//! The order of a connection's outbound messages: one at a time, each whole.
//!
//! Short messages go first, and no thread waits for them: they are queued, and whoever writes writes them too. Threads that
//! have a body wait for their turn, the earliest deadline first. The order knows no socket: [`Connection`] writes.
//!
//! [`Connection`]: super::connection::Connection

use std::collections::{BTreeSet, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most short messages in the queue, those of the reader's own; answers to open calls are bounded by the calls.
pub(super) const SHORT_QUEUE_CAPACITY: usize = 64;
/// How often a thread that waits looks at its deadline again, which the end of the process may move.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A write that took less shows no pace: the system's buffer took the message.
const MIN_PACED_WRITE: Duration = Duration::from_millis(20);

/// Why a body has no turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoTurn {
    /// Nobody waits for it any more, or nothing can be written.
    Unwanted,
    /// It can't be in time.
    TooLate,
}

/// A body that waits: its deadline, and its number among all that waited.
type Ticket = (Instant, u64);

#[derive(Default)]
struct State {
    is_writing: bool,
    short: VecDeque<Vec<u8>>,
    waiting: BTreeSet<Ticket>,
    next_number: u64,
    /// Bytes a second that the client took of the last body that had to wait for it.
    pace: Option<f64>,
}

impl State {
    /// Whether so many bytes, behind what the system may hold for the connection, can be with the client by then.
    fn can_arrive(&self, length: usize, held: usize, deadline: Instant) -> bool {
        let left = deadline.saturating_duration_since(Instant::now());
        match self.pace {
            Some(pace) => (length + held) as f64 <= pace * left.as_secs_f64(),
            None => !left.is_zero(),
        }
    }
}

/// The order of one connection's outbound messages.
#[derive(Default)]
pub(super) struct Outbound {
    state: Mutex<State>,
    changed: Condvar,
}

/// A body that is to be written.
pub(super) struct Body<'a> {
    /// Its length as a message (bytes).
    pub length: usize,
    /// Most bytes that the system holds for the connection.
    pub held: usize,
    /// When its client stops waiting; asked again and again.
    pub deadline: &'a dyn Fn() -> Instant,
    /// Whether its client still waits for it.
    pub is_wanted: &'a dyn Fn() -> bool,
}

impl Outbound {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a short message. Returns the turn if nobody writes: the caller then writes what is queued.
    pub fn push_short(&self, message: Vec<u8>) -> Option<Turn<'_>> {
        let mut state = self.lock();
        state.short.push_back(message);
        self.take_turn(&mut state)
    }

    /// Waits until the queue of short messages has room, or `is_over`.
    pub fn wait_for_room(&self, is_over: impl Fn() -> bool) {
        let mut state = self.lock();
        while state.short.len() >= SHORT_QUEUE_CAPACITY && !is_over() {
            state = self.wait(state, RECHECK_INTERVAL);
        }
    }

    /// Waits for the turn to write a body.
    ///
    /// # Errors
    ///
    /// The body is not to be written.
    pub fn wait_for_turn(&self, body: &Body) -> Result<Turn<'_>, NoTurn> {
        let mut state = self.lock();
        if let Some(turn) = self.take_turn_for_body(&mut state, None) {
            return Ok(turn);
        }
        let ticket = ((body.deadline)(), state.next_number);
        state.next_number += 1;
        state.waiting.insert(ticket);
        let result = loop {
            let deadline = (body.deadline)();
            if !(body.is_wanted)() {
                break Err(NoTurn::Unwanted);
            }
            if !state.can_arrive(body.length, body.held, deadline) {
                break Err(NoTurn::TooLate);
            }
            if let Some(turn) = self.take_turn_for_body(&mut state, Some(ticket)) {
                break Ok(turn);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            state = self.wait(state, left.min(RECHECK_INTERVAL));
        };
        state.waiting.remove(&ticket);
        if result.is_err() {
            // The turn may be the next one's now.
            self.changed.notify_all();
        }
        result
    }

    /// Wakes those who wait: their calls may have been closed.
    pub fn wake(&self) {
        let _state = self.lock();
        self.changed.notify_all();
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>, time: Duration) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, time);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn take_turn(&self, state: &mut State) -> Option<Turn<'_>> {
        if state.is_writing {
            return None;
        }
        state.is_writing = true;
        Some(Turn {
            outbound: self,
            is_over: false,
        })
    }

    /// The turn for the body with this ticket, or for one without if none waits.
    fn take_turn_for_body(&self, state: &mut State, ticket: Option<Ticket>) -> Option<Turn<'_>> {
        let is_next = state.waiting.first().copied() == ticket;
        if is_next {
            self.take_turn(state)
        } else {
            None
        }
    }
}

/// The turn to write on a connection, until it is dropped or [`Turn::next_short`] finds nothing more.
pub(super) struct Turn<'a> {
    outbound: &'a Outbound,
    is_over: bool,
}

impl Turn<'_> {
    /// The next short message, to be written now; `None` ends the turn.
    pub fn next_short(&mut self) -> Option<Vec<u8>> {
        let mut state = self.outbound.lock();
        let next = state.short.pop_front();
        if next.is_none() {
            self.end(&mut state);
        }
        self.outbound.changed.notify_all();
        next
    }

    /// A body of this length was written in this time.
    pub fn record_write(&self, length: usize, took: Duration) {
        let paced = took >= MIN_PACED_WRITE;
        self.outbound.lock().pace = paced.then(|| length as f64 / took.as_secs_f64());
    }

    fn end(&mut self, state: &mut State) {
        if !self.is_over {
            (self.is_over, state.is_writing) = (true, false);
        }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let outbound = self.outbound;
        self.end(&mut outbound.lock());
        outbound.changed.notify_all();
    }
}

#[cfg(test)]
mod tests;
