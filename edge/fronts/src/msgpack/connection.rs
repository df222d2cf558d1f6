//! One client's connection: the calls that are open on it, and whose turn it is to write.

use super::end::EndReason;
use crate::closing::{cut, discard, Discard};
use crate::places::Place;
use foldmux_core::cancellation::CancelHandle;
use foldmux_sockets::stream::{self, Stop};
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest that a write waits where its time is over already: what the socket takes at once still goes.
const LAST_WRITE: Duration = Duration::from_millis(20);

/// A call that is open on a connection.
pub(super) struct OpenCall {
    pub cancel: Arc<CancelHandle>,
    /// The client's id of its request.
    pub request: u64,
}

pub(super) struct Connection {
    pub place: Place,
    /// The calls that are open, by their numbers.
    calls: Mutex<HashMap<u32, OpenCall>>,
    /// Somebody writes a message.
    writing: Mutex<bool>,
    written: Condvar,
    /// A message could not be written whole: the client can read nothing more.
    broken: AtomicBool,
    /// Why it could not, where that is so; taken by whoever tells of the connection's end.
    write_failure: Mutex<Option<EndReason>>,
}

/// Until when a message may wait for its turn, and take to be written.
#[derive(Clone, Copy)]
pub(super) enum Patience {
    /// An answer: past this moment nobody waits for it.
    Until(Instant),
    /// A word of the reader's own: it waits for those who write, then has so long.
    Behind(Duration),
}

impl Connection {
    pub fn new(place: Place) -> Connection {
        Connection {
            place,
            calls: Mutex::default(),
            writing: Mutex::default(),
            written: Condvar::new(),
            broken: AtomicBool::new(false),
            write_failure: Mutex::default(),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.place.stream
    }

    fn calls(&self) -> MutexGuard<'_, HashMap<u32, OpenCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a call; false where `most` are open. Called while its message counts as open on the connection.
    pub fn open(&self, id: u32, call: OpenCall, most: usize) -> bool {
        let mut calls = self.calls();
        if calls.len() >= most {
            return false;
        }
        calls.insert(id, call);
        self.place.owe();
        true
    }

    /// Whoever gets the handle out owes the call's end: its answer, or word that the client left.
    pub fn close(&self, id: u32) -> Option<Arc<CancelHandle>> {
        self.calls().remove(&id).map(|call| call.cancel)
    }

    pub fn close_all(&self) -> Vec<OpenCall> {
        self.calls().drain().map(|(_, call)| call).collect()
    }

    /// Why a message could not be written whole, told once.
    pub fn take_write_failure(&self) -> Option<EndReason> {
        self.write_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// A message could not be written whole: the connection ends.
    fn fail(&self, reason: EndReason) {
        self.write_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_or_insert(reason);
        self.cut();
    }

    /// Whether nothing can be told to the client any more.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::SeqCst)
    }

    /// Takes no more requests. What is owed is answered, while only the client's close is listened for; then the
    /// connection ends, and this returns once the client has closed too or has had the time to.
    pub fn end_when_answered(&self) {
        self.place.end_when_idle();
        discard(self.stream(), || {
            self.place.ended_for().map_or(Discard::Owed, Discard::Ended)
        });
    }

    /// Ends the connection both ways, at once.
    pub fn cut(&self) {
        self.broken.store(true, Ordering::SeqCst);
        cut(self.stream());
    }

    /// Writes one whole message. A client that does not take it in time loses its connection: the rest of a cut
    /// message would be read as something else. One whose turn does not come in time is left out.
    pub fn write(&self, message: &[u8], patience: Patience) {
        let Some(_turn) = self.turn(patience) else {
            return;
        };
        let until = match patience {
            Patience::Until(until) => until,
            Patience::Behind(time) => Instant::now() + time,
        };
        let mut left = message;
        while !left.is_empty() && !self.is_broken() {
            match stream::write(self.stream(), left, until.max(Instant::now() + LAST_WRITE)) {
                Ok(count) => left = &left[count..],
                // Not for the client's sake, and the client can read on: what else is open on the connection is not lost for
                // an answer that comes too late.
                Err(Stop::Failing(_)) if left.len() == message.len() => return,
                Err(Stop::TimedOut) => self.fail(EndReason::NotTaken),
                Err(Stop::Over(error) | Stop::Failing(error)) => {
                    self.fail(EndReason::WriteFailed(error))
                }
            }
        }
    }

    /// The turn to write. Guards against a client that reads nothing holding each thread that has an answer for it for the
    /// sum of all waits: none waits beyond its own answer's time.
    fn turn(&self, patience: Patience) -> Option<Turn<'_>> {
        let mut writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        while *writing {
            writing = match patience {
                Patience::Behind(_) => self
                    .written
                    .wait(writing)
                    .unwrap_or_else(PoisonError::into_inner),
                Patience::Until(until) => {
                    let left = until.checked_duration_since(Instant::now())?;
                    self.written
                        .wait_timeout(writing, left)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0
                }
            };
        }
        *writing = true;
        Some(Turn(self))
    }
}

/// The turn to write on a connection, until it is dropped.
struct Turn<'a>(&'a Connection);

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        *self
            .0
            .writing
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = false;
        self.0.written.notify_one();
    }
}
