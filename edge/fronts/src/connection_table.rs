//! The client connections of one listener, bounded in number. When slots are short, a connection on which nothing is open is
//! ended for a new one: first one that is closing already, then one that has never sent a request, then the one that has been idle
//! for longest.
//!
//! A connection is idle while no message has begun on it and no response is pending. It is ended only while it is idle, or while a
//! message has stalled on it and nothing else is open; and by the graceful close of [`closing`](crate::closing).

use crate::closing::LINGER_TIME;
use entry::{Entry, Phase, NEWCOMER_GRACE};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

mod entry;
#[cfg(test)]
mod tests;

/// How long the thread of a connection that was cut may take to release its slot.
const CUT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a connection that was ended for a new one lingers before it is cut: a request may cross the close for as long.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// One slot in this many is kept free in advance, so that an ended connection can linger while new ones are admitted.
const SPARE_DIVISOR: usize = 16;

/// The connections of one listener.
pub struct ConnectionTable {
    max: usize,
    state: Mutex<State>,
    /// A slot was released.
    freed: Condvar,
}

#[derive(Default)]
struct State {
    /// By the number of the connection.
    entries: BTreeMap<u64, Entry>,
    next_number: u64,
    phase: Phase,
}

/// The slot of one connection, released on drop: however its thread ends, also where it never started.
pub struct ConnectionSlot {
    table: Arc<ConnectionTable>,
    number: u64,
    /// The connection.
    pub stream: Arc<TcpStream>,
    /// The connection was established no earlier.
    pub opened: Instant,
}

impl ConnectionTable {
    /// A table of at most `max` connections.
    pub fn new(max: usize) -> Arc<ConnectionTable> {
        Arc::new(ConnectionTable {
            max,
            state: Mutex::default(),
            freed: Condvar::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection.
    ///
    /// # Errors
    ///
    /// Returns the stream where no slot becomes free: a connection with something open is never ended for a new one.
    pub fn admit(self: &Arc<Self>, stream: TcpStream) -> Result<ConnectionSlot, TcpStream> {
        let mut state = self.state();
        if state.entries.len() >= self.max {
            state = self.make_room(state);
            if state.entries.len() >= self.max {
                return Err(stream);
            }
        }
        let staying = state
            .entries
            .values()
            .filter(|entry| entry.ended.is_none())
            .count();
        if staying + self.max / SPARE_DIVISOR >= self.max {
            state.end_one();
        }
        let (number, stream) = (state.next_number, Arc::new(stream));
        state.entries.insert(number, Entry::new(stream.clone()));
        state.next_number += 1;
        Ok(ConnectionSlot {
            table: self.clone(),
            number,
            stream,
            opened: Instant::now(),
        })
    }

    /// All slots are taken: waits until a connection that lingers, or one that is ended now, has released its slot.
    fn make_room<'a>(&self, mut state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        if state.longest_lingering().is_none() {
            state.end_one();
        }
        if let Some(lingered) = state.longest_lingering() {
            state = self.wait_for_room(state, CROSSING_TIME.saturating_sub(lingered));
        }
        if state.entries.len() >= self.max {
            state.cut_one();
        }
        if state.entries.values().any(|entry| entry.cut) {
            state = self.wait_for_room(state, CUT_TIMEOUT);
        }
        state
    }

    fn wait_for_room<'a>(
        &self,
        state: MutexGuard<'a, State>,
        time: Duration,
    ) -> MutexGuard<'a, State> {
        let full = |state: &mut State| state.entries.len() >= self.max;
        self.freed
            .wait_timeout_while(state, time, full)
            .unwrap_or_else(PoisonError::into_inner)
            .0
    }

    /// The process shuts down: connections with nothing open end now, the others with their last response. A client whose
    /// request crosses such a close sends it again on a new connection, to the process that listens then.
    pub fn leave(&self) {
        self.enter(Phase::Leaving);
    }

    /// No more requests are expected: connections that have never sent one end, too.
    pub fn close(&self) {
        self.enter(Phase::Closing);
    }

    fn enter(&self, phase: Phase) {
        let mut state = self.state();
        state.phase = phase;
        state
            .entries
            .values_mut()
            .for_each(|entry| entry.end_if_due(phase));
    }

    /// Cuts the connections that have lingered for long enough, and ends those that are due; called at intervals.
    pub fn sweep(&self) {
        let mut state = self.state();
        let phase = state.phase;
        for entry in state.entries.values_mut() {
            if entry.ended.is_some_and(|at| at.elapsed() >= LINGER_TIME) {
                entry.cut();
            }
            entry.end_if_due(phase);
        }
    }

    /// Number of connections, those that linger among them.
    pub fn count(&self) -> usize {
        self.state().entries.len()
    }
}

impl State {
    /// Ends a connection for a new one, an idle one before one that yields; false where there is none.
    fn end_one(&mut self) -> bool {
        self.end_one_idle() || self.end_one_yielding()
    }

    fn end_one_yielding(&mut self) -> bool {
        let mut yielding: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.yields())
            .collect();
        yielding.sort_by_key(|entry| entry.yields_since);
        yielding.into_iter().any(Entry::end_unless_request_arrived)
    }

    fn end_one_idle(&mut self) -> bool {
        let now = Instant::now();
        let mut idle: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.is_idle())
            .collect();
        idle.sort_by_key(|entry| {
            let new =
                !entry.has_sent && now.saturating_duration_since(entry.idle_since) < NEWCOMER_GRACE;
            (new, entry.has_sent, entry.idle_since)
        });
        idle.into_iter().any(Entry::end_unless_request_arrived)
    }

    /// The connections that have ended and are not cut yet.
    fn lingering(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries
            .values_mut()
            .filter(|entry| entry.ended.is_some() && !entry.cut)
    }

    fn longest_lingering(&mut self) -> Option<Duration> {
        self.lingering()
            .filter_map(|entry| entry.ended)
            .map(|at| at.elapsed())
            .max()
    }

    /// Cuts the connection that has lingered for longest.
    fn cut_one(&mut self) {
        let longest = self.lingering().min_by_key(|entry| entry.ended);
        longest.into_iter().for_each(Entry::cut);
    }
}

impl ConnectionSlot {
    /// Changes this connection's entry, which exists for as long as the slot.
    fn with<T>(&self, change: impl FnOnce(&mut Entry, Phase) -> T) -> Option<T> {
        let mut state = self.table.state();
        let phase = state.phase;
        state
            .entries
            .get_mut(&self.number)
            .map(|entry| change(entry, phase))
    }

    /// A message has begun. Returns false if the connection has ended, so that the message is not processed.
    pub fn begin_message(&self) -> bool {
        let begun = self.with(|entry, _| {
            entry.has_sent = true;
            entry.open += entry.ended.is_none() as usize;
            entry.ended.is_none()
        });
        begun.unwrap_or(false)
    }

    /// A response is pending from now on. Called while the message that requests it counts as open.
    pub fn begin_response(&self) {
        self.with(|entry, _| entry.open += 1);
    }

    /// Sets whether the connection may be ended for a new one although a message has begun on it: the message has stalled, and
    /// nothing else is open. Returns false if the connection has ended, so that the message is not processed.
    pub fn set_yielding(&self, yields: bool) -> bool {
        let set = self.with(|entry, _| {
            entry.yields_since = yields.then(Instant::now);
            entry.ended.is_none()
        });
        set.unwrap_or(false)
    }

    /// A message was processed, or a response is not pending any more.
    pub fn finish(&self) {
        self.with(|entry, phase| {
            entry.open -= 1;
            entry.yields_since = None;
            entry.idle_since = Instant::now();
            entry.end_if_due(phase);
        });
    }

    /// No more requests are read from the connection: it ends once nothing is open on it.
    pub fn end_when_idle(&self) {
        self.with(|entry, phase| {
            entry.ends_when_idle = true;
            entry.end_if_due(phase);
        });
    }

    /// How long nothing has been open; `None` while something is. `reading`: a message has begun, which is not counted.
    pub fn idle_for(&self, reading: bool) -> Option<Duration> {
        self.with(|entry, _| {
            (entry.open == usize::from(reading)).then(|| entry.idle_since.elapsed())
        })
        .flatten()
    }

    /// How long ago this side ended the connection; `None` if it has not.
    pub fn ended_for(&self) -> Option<Duration> {
        self.with(|entry, _| entry.ended.map(|at| at.elapsed()))
            .flatten()
    }

    /// Number of connections with something open, this one among them.
    pub fn busy_connections(&self) -> usize {
        self.table
            .state()
            .entries
            .values()
            .filter(|entry| entry.open > 0)
            .count()
            .max(1)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.state().entries.remove(&self.number);
        self.table.freed.notify_all();
    }
}
