//! The bytes of one fetch, between the thread that fetches and those who wait. Chunks are shared, not copied; who
//! comes late reads them from the first. A try that breaks off is followed by another: where that brings the same
//! copy, bytes go on from where they stopped; where it brings another, those that have begun are broken off, and
//! those that have not begin with the new one.

use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Which copy it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Meta {
    pub tag: String,
    pub born_ms: u64,
    pub length: usize,
}

/// A part, whole.
#[derive(Debug)]
pub struct Copy {
    pub meta: Arc<Meta>,
    pub chunks: Vec<Arc<[u8]>>,
}

/// How a fetch ended for all who wait, where it brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The archive has no such part.
    Missing,
    /// All sources turned it away, or may not be asked now.
    Full,
    /// Sources failed.
    Failed,
    /// Nothing came in time.
    Late,
    /// There is no way that does not go in a circle.
    Loop,
}

#[derive(Default)]
struct State {
    /// The try whose words count.
    attempt: u32,
    /// Which copy the chunks are of: one more with each that took another's place.
    series: u32,
    meta: Option<Arc<Meta>>,
    chunks: Vec<Arc<[u8]>>,
    have: usize,
    end: Option<Verdict>,
    off: bool,
    socket: Option<Arc<TcpStream>>,
}

impl State {
    /// The copy, if it is whole now.
    fn whole(&self) -> Option<Copy> {
        let meta = self.meta.clone().filter(|m| m.length == self.have)?;
        Some(Copy {
            meta,
            chunks: self.chunks.clone(),
        })
    }
}

#[derive(Default)]
pub struct Flight {
    state: Mutex<State>,
    changed: Condvar,
}

/// How far somebody who waits has read.
#[derive(Default)]
pub struct Cursor {
    series: Option<u32>,
    chunks: usize,
}

#[derive(Debug)]
pub enum Look {
    Head(Arc<Meta>),
    Chunks(Vec<Arc<[u8]>>),
    Whole,
    /// The copy that was begun can't be finished.
    BrokenOff,
    Ended(Verdict),
    /// Nothing more until the time given.
    Late,
}

impl Flight {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // ---- who fetches ----

    /// A new try: whatever the former one still says is passed over, and its socket is shut.
    pub fn next(&self, attempt: u32) {
        let mut state = self.state();
        state.attempt = attempt;
        if let Some(socket) = state.socket.take() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Puts a try's socket where an end finds it; false where the try has no meaning any more.
    pub fn hold(&self, attempt: u32, socket: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        let current = state.attempt == attempt && !state.off;
        if current {
            state.socket = Some(socket.clone());
        }
        current
    }

    /// The head of a copy: how many of its bytes are here already, or none where the try has no meaning any more.
    /// `whole` is given the copy where no byte is left to come, as [`Flight::chunk`] does.
    pub fn head(&self, attempt: u32, meta: Meta, whole: impl FnOnce(Copy)) -> Option<usize> {
        let mut state = self.state();
        if state.attempt != attempt || state.off {
            return None;
        }
        // The tag says that two copies are the same; without one nothing does. What is told of the copy's birth stays
        // the earlier time, as some of its bytes are that old.
        let same =
            |m: &Meta| m.tag == meta.tag && m.length == meta.length && m.born_ms <= meta.born_ms;
        let same = !meta.tag.is_empty() && state.meta.as_deref().is_some_and(same);
        if !same {
            state.series += 1;
            state.meta = Some(Arc::new(meta));
            state.chunks.clear();
            state.have = 0;
        }
        if let Some(copy) = state.whole() {
            whole(copy);
        }
        self.changed.notify_all();
        Some(state.have)
    }

    /// More bytes. False where nobody wants them any more. With the last of them, `whole` is given the copy before
    /// anyone who waits can see it: guards against a reader that has it, leaves as the last, and lets the ledger
    /// forget a fetch whose copy is not kept yet.
    pub fn chunk(&self, attempt: u32, bytes: &[u8], whole: impl FnOnce(Copy)) -> bool {
        let chunk: Arc<[u8]> = bytes.into();
        let mut state = self.state();
        if state.attempt != attempt || state.off {
            return false;
        }
        state.have += chunk.len();
        state.chunks.push(chunk);
        if let Some(copy) = state.whole() {
            whole(copy);
        }
        self.changed.notify_all();
        true
    }

    /// A copy that is held already, for all who wait.
    pub fn give(&self, copy: &Copy) {
        let mut state = self.state();
        state.meta = Some(copy.meta.clone());
        state.chunks = copy.chunks.clone();
        state.have = copy.meta.length;
        state.series += 1;
        self.changed.notify_all();
    }

    pub fn end(&self, verdict: Verdict) {
        let mut state = self.state();
        state.end = state.end.or(Some(verdict));
        state.socket = None;
        self.changed.notify_all();
    }

    /// Nobody waits any more: the source is told so by its connection's end. Guards against shutting a connection
    /// that has brought all and is used by another fetch already.
    pub fn call_off(&self) {
        let mut state = self.state();
        let socket = state.socket.take();
        if state.whole().is_none() {
            state.off = true;
            socket
                .iter()
                .for_each(|socket| drop(socket.shutdown(Shutdown::Both)));
        }
        self.changed.notify_all();
    }

    pub fn called_off(&self) -> bool {
        self.state().off
    }

    /// A try's socket goes back to where it came from.
    pub fn release(&self, attempt: u32) {
        let mut state = self.state();
        if state.attempt == attempt {
            state.socket = None;
        }
    }

    // ---- who waits ----

    /// What comes next for this reader, as soon as it is there.
    pub fn look(&self, cursor: &mut Cursor, until: Instant) -> Look {
        let mut state = self.state();
        loop {
            if let Some(meta) = state.meta.clone() {
                match cursor.series {
                    None => {
                        cursor.series = Some(state.series);
                        return Look::Head(meta);
                    }
                    Some(series) if series != state.series => return Look::BrokenOff,
                    Some(_) if cursor.chunks < state.chunks.len() => {
                        let more = state.chunks[cursor.chunks..].to_vec();
                        cursor.chunks = state.chunks.len();
                        return Look::Chunks(more);
                    }
                    Some(_) if state.have == meta.length => return Look::Whole,
                    Some(_) => {}
                }
            }
            if let Some(verdict) = state.end {
                return if cursor.series.is_some() {
                    Look::BrokenOff
                } else {
                    Look::Ended(verdict)
                };
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Look::Late;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

#[cfg(test)]
mod tests;
