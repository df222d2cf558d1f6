//! One client's connection: the calls that are open on it, and its end.

use super::end::EndReason;
use super::outbound::Outbound;
use crate::closing::{cut, discard, Discard};
use crate::connection_table::ConnectionSlot;
use foldmux_core::cancellation::CancelHandle;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

/// A call that is open on a connection.
pub(super) struct OpenCall {
    pub cancel: Arc<CancelHandle>,
    /// The client's id of its request.
    pub request: u64,
}

/// Bounds on the calls of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallLimits {
    /// Most calls that are open.
    pub open: usize,
    /// Most calls that the client has given up and whose requests have not ended yet.
    pub given_up: usize,
}

/// Counts a call as in progress until its request has ended.
pub(super) struct CallInProgress(Arc<AtomicUsize>);

impl CallInProgress {
    fn new(count: Arc<AtomicUsize>) -> CallInProgress {
        count.fetch_add(1, Ordering::SeqCst);
        CallInProgress(count)
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(super) struct Connection {
    pub slot: ConnectionSlot,
    /// The calls that are open, by their numbers.
    calls: Mutex<HashMap<u32, OpenCall>>,
    /// Calls whose requests have not ended: those that are open, and those that the client has given up meanwhile.
    in_progress: Arc<AtomicUsize>,
    pub(super) outbound: Outbound,
    /// When the process must go; set once it begins to leave.
    leave_by: Arc<OnceLock<Instant>>,
    /// Bodies that could not be in time, in whose place an error was sent.
    replaced: AtomicUsize,
    /// A message could not be written whole: the client can read nothing more.
    broken: AtomicBool,
    /// Why it could not, where that is so; taken by whoever tells of the connection's end.
    write_failure: Mutex<Option<EndReason>>,
}

impl Connection {
    pub fn new(slot: ConnectionSlot, leave_by: Arc<OnceLock<Instant>>) -> Connection {
        Connection {
            slot,
            calls: Mutex::default(),
            in_progress: Arc::default(),
            outbound: Outbound::default(),
            leave_by,
            replaced: AtomicUsize::new(0),
            broken: AtomicBool::new(false),
            write_failure: Mutex::default(),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.slot.stream
    }

    fn calls(&self) -> MutexGuard<'_, HashMap<u32, OpenCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a call; `None` where the limits don't allow one more. Called while its message counts as open on the
    /// connection.
    pub fn open(&self, id: u32, call: OpenCall, limits: CallLimits) -> Option<CallInProgress> {
        let mut calls = self.calls();
        let in_progress = self.in_progress.load(Ordering::SeqCst);
        let given_up = in_progress.saturating_sub(calls.len());
        if calls.len() >= limits.open || given_up > limits.given_up {
            return None;
        }
        calls.insert(id, call);
        self.slot.begin_response();
        Some(CallInProgress::new(self.in_progress.clone()))
    }

    /// Whoever gets the handle out owes the call's end: its answer, or word that the client left.
    pub fn close(&self, id: u32) -> Option<Arc<CancelHandle>> {
        self.calls().remove(&id).map(|call| call.cancel)
    }

    /// As [`Connection::close`], for a call that its client has given up: its body waits for its turn no longer.
    pub fn give_up(&self, id: u32) -> Option<Arc<CancelHandle>> {
        let closed = self.close(id);
        self.outbound.wake();
        closed
    }

    pub fn is_open(&self, id: u32) -> bool {
        self.calls().contains_key(&id)
    }

    pub fn close_all(&self) -> Vec<OpenCall> {
        let closed = self.calls().drain().map(|(_, call)| call).collect();
        self.outbound.wake();
        closed
    }

    /// When an answer must be with its client: at the call's deadline, or sooner where the process must go.
    pub fn latest(&self, deadline: Instant) -> Instant {
        let leave_by = self.leave_by.get();
        leave_by.map_or(deadline, |leave_by| deadline.min(*leave_by))
    }

    pub fn count_replaced(&self) {
        self.replaced.fetch_add(1, Ordering::Relaxed);
    }

    /// How many bodies an error was sent in place of.
    pub fn replaced(&self) -> usize {
        self.replaced.load(Ordering::Relaxed)
    }

    /// Why a message could not be written whole, told once.
    pub fn take_write_failure(&self) -> Option<EndReason> {
        self.write_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// A message could not be written whole: the connection ends.
    pub(super) fn fail(&self, reason: EndReason) {
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
    /// connection ends, and this returns once the client has closed too or has had the time to: how many bytes it sent
    /// meanwhile, which were thrown away.
    pub fn end_when_answered(&self) -> usize {
        self.slot.end_when_idle();
        discard(self.stream(), || {
            self.slot.ended_for().map_or(Discard::Owed, Discard::Ended)
        })
    }

    /// Ends the connection both ways, at once.
    pub fn cut(&self) {
        self.broken.store(true, Ordering::SeqCst);
        cut(self.stream());
        self.outbound.wake();
    }
}

#[cfg(test)]
mod tests;
