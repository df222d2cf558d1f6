//! Connections to pop caches, parents and the origin. The pool owns a connection while it is idle and lends it
//! to an attempt; what is lent comes home when the loan is dropped, and nowhere else. It bounds both together.

use foldmux::interface::CacheId;
use foldmux_core::servers::Incarnation;
use foldmux_http1::io::quiet;
use foldmux_sockets::dial::{dial, StillWanted};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub struct Pool {
    state: Mutex<State>,
    most: usize,
    /// Under the time after which the other side closes: a request must not cross that.
    keep: Duration,
}

/// How long a connection rests before it is preferred to others. A second answer to the same request may come some
/// milliseconds after the first: on a connection that has rested it is seen before the next request is written.
const SETTLED: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    caches: HashMap<CacheId, Shelf>,
    out: usize,
}

/// The idle connections to one cache. One that was lent comes back to the shelf that it came from, or to none where that
/// was discarded since: it would hold a place at a cache that drains, for nothing.
#[derive(Default)]
struct Shelf {
    idle: Vec<Kept>,
    own: Arc<()>,
}

impl Shelf {
    /// Takes out an idle connection to this start that is alive, if there is one.
    fn take(&mut self, start: Incarnation, keep: Duration) -> Option<Arc<TcpStream>> {
        loop {
            let kept = self.next()?;
            if kept.start == start && kept.since.elapsed() < keep && quiet(&kept.stream) {
                return Some(kept.stream);
            }
        }
    }

    /// Of those that have settled the one used last, so that the others may age; else the one that has rested for longest.
    fn next(&mut self) -> Option<Kept> {
        let settled = self
            .idle
            .partition_point(|kept| kept.since.elapsed() >= SETTLED);
        (!self.idle.is_empty()).then(|| self.idle.remove(settled.saturating_sub(1)))
    }

    fn is_over(&self) -> bool {
        self.idle.is_empty() && Arc::strong_count(&self.own) == 1
    }
}

impl State {
    fn idle_count(&self) -> usize {
        self.caches.values().map(|shelf| shelf.idle.len()).sum()
    }
}

struct Kept {
    stream: Arc<TcpStream>,
    start: Incarnation,
    since: Instant,
}

/// A connection that is out, or a place for one that is dialled.
pub struct Loan {
    pool: Arc<Pool>,
    cache: CacheId,
    start: Incarnation,
    shelf: Arc<()>,
    stream: Option<Arc<TcpStream>>,
    /// The stream was idle here, and not dialled for this loan.
    idle: bool,
    /// Its last answer was read to the end: it may be used again.
    pub reusable: bool,
}

impl Loan {
    /// Whether its connection was idle here: the other side may have closed it, or spoken on it, at any moment since.
    pub fn was_idle(&self) -> bool {
        self.idle
    }

    /// Closes its connection and keeps the place: the next is dialled.
    pub fn renew(&mut self) {
        (self.stream, self.idle) = (None, false);
    }

    /// The connection; dialled now where none was idle.
    pub fn stream(&mut self, time_out: Duration) -> io::Result<Arc<TcpStream>> {
        self.stream_while(time_out, &|_| true)
    }

    /// As `stream`. Each dial is shown to `still_wanted` before it begins: whoever keeps it may shut it at any moment, which
    /// ends the dial. None is begun where that says no.
    pub fn stream_while(
        &mut self,
        time_out: Duration,
        still_wanted: &StillWanted,
    ) -> io::Result<Arc<TcpStream>> {
        if let Some(stream) = &self.stream {
            return Ok(stream.clone());
        }
        let stream = dial(self.start.address, time_out, still_wanted)?;
        self.stream = Some(stream.clone());
        Ok(stream)
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        let mut state = self.pool.state();
        state.out -= 1;
        if let (true, Some(stream)) = (self.reusable, self.stream.take()) {
            let kept = Kept {
                stream,
                start: self.start,
                since: Instant::now(),
            };
            if let Some(shelf) = state.caches.get_mut(&self.cache) {
                if Arc::ptr_eq(&shelf.own, &self.shelf) {
                    shelf.idle.push(kept);
                }
            }
        }
    }
}

impl Pool {
    pub fn new(most: usize, keep_alive: Duration) -> Arc<Pool> {
        Arc::new(Pool {
            state: Mutex::default(),
            most,
            keep: keep_alive * 4 / 5,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection to this start of the cache, if one is alive, else a place to dial one; none where all places
    /// are out.
    pub fn lend(self: &Arc<Self>, cache: CacheId, start: Incarnation) -> Option<Loan> {
        let mut state = self.state();
        let shelf = state.caches.entry(cache).or_default();
        let own = shelf.own.clone();
        let stream = shelf.take(start, self.keep);
        if stream.is_none() && state.out + state.idle_count() >= self.most {
            // A place that holds an idle connection to another cache is worth less than this request.
            let idle = state
                .caches
                .values_mut()
                .filter(|shelf| !shelf.idle.is_empty());
            idle.min_by_key(|shelf| shelf.idle[0].since)?.idle.remove(0);
        }
        state.out += 1;
        let idle = stream.is_some();
        Some(Loan {
            pool: self.clone(),
            cache,
            start,
            shelf: own,
            stream,
            idle,
            reusable: false,
        })
    }

    /// Closes what was idle too long.
    pub fn sweep(&self) {
        let mut state = self.state();
        state
            .caches
            .values_mut()
            .for_each(|shelf| shelf.idle.retain(|k| k.since.elapsed() < self.keep));
        state.caches.retain(|_, shelf| !shelf.is_over());
    }

    /// The cache drains, is gone, started anew or moved: what is out to it now is closed when it comes home.
    pub fn discard(&self, cache: CacheId) {
        self.state().caches.remove(&cache);
    }

    /// Connections out, and idle ones.
    pub fn count(&self) -> (usize, usize) {
        let state = self.state();
        (state.out, state.idle_count())
    }
}

#[cfg(test)]
mod tests;
