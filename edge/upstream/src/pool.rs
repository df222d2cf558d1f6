//! The pool of connections to caches, parents and the origin.
//!
//! It owns a connection while it is idle. An attempt holds it as a [`PooledConnection`], which returns it on drop, and nowhere
//! else. Idle and used connections are bounded together.

use foldmux::interface::CacheId;
use foldmux_core::servers::Incarnation;
use foldmux_http1::io::quiet;
use foldmux_sockets::dial::{dial, StillWanted};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Connections to all servers.
pub struct Pool {
    state: Mutex<State>,
    max_connections: usize,
    /// Shorter than the server's keep-alive: a request must not cross its close.
    max_idle: Duration,
}

/// How long a connection is idle before it is preferred to others. A second response to the same request may come some
/// milliseconds after the first: by then it is seen before the next request is written.
const SETTLED: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    caches: HashMap<CacheId, IdleConnections>,
    in_use: usize,
}

/// The idle connections to one server. A used connection returns only to the generation that it came from: where that was
/// discarded since, it is closed, as it would hold a place at a server that drains.
#[derive(Default)]
struct IdleConnections {
    idle: Vec<IdleConnection>,
    generation: Arc<()>,
}

impl IdleConnections {
    /// Takes out an idle connection to this incarnation that is alive, if there is one.
    fn take(&mut self, incarnation: Incarnation, keep: Duration) -> Option<Arc<TcpStream>> {
        loop {
            let connection = self.next()?;
            if connection.incarnation == incarnation
                && connection.idle_since.elapsed() < keep
                && quiet(&connection.stream)
            {
                return Some(connection.stream);
            }
        }
    }

    /// Of the settled ones the most recently used, so that the others can expire; else the one that is idle for longest.
    fn next(&mut self) -> Option<IdleConnection> {
        let settled = self
            .idle
            .partition_point(|connection| connection.idle_since.elapsed() >= SETTLED);
        (!self.idle.is_empty()).then(|| self.idle.remove(settled.saturating_sub(1)))
    }

    fn is_unused(&self) -> bool {
        self.idle.is_empty() && Arc::strong_count(&self.generation) == 1
    }
}

impl State {
    fn idle_count(&self) -> usize {
        self.caches
            .values()
            .map(|idle_connections| idle_connections.idle.len())
            .sum()
    }
}

struct IdleConnection {
    stream: Arc<TcpStream>,
    incarnation: Incarnation,
    idle_since: Instant,
}

/// A connection in use, or the place for one that is to be dialled.
pub struct PooledConnection {
    pool: Arc<Pool>,
    cache: CacheId,
    incarnation: Incarnation,
    generation: Arc<()>,
    stream: Option<Arc<TcpStream>>,
    /// It was idle in the pool, and not dialled for this use.
    was_idle: bool,
    /// The last response was read completely: the connection may be used again.
    pub reusable: bool,
}

impl PooledConnection {
    /// Whether the connection was idle in the pool: the server may have closed it, or sent bytes on it, at any moment since.
    pub fn was_idle(&self) -> bool {
        self.was_idle
    }

    /// The incarnation of the server that it leads to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Closes the connection and keeps the place: the next is dialled.
    pub fn reconnect(&mut self) {
        (self.stream, self.was_idle) = (None, false);
    }

    /// The connection, dialled now where none was idle.
    ///
    /// # Errors
    ///
    /// Where no connection comes up within `timeout`.
    pub fn stream(&mut self, timeout: Duration) -> io::Result<Arc<TcpStream>> {
        self.stream_while(timeout, &|_| true)
    }

    /// As [`PooledConnection::stream`]. Each socket is shown to `still_wanted` before it is dialled: shutting it down ends the
    /// dial, and none is begun where it returns false.
    ///
    /// # Errors
    ///
    /// Where no connection comes up within `timeout`, or none is wanted any more.
    pub fn stream_while(
        &mut self,
        timeout: Duration,
        still_wanted: &StillWanted,
    ) -> io::Result<Arc<TcpStream>> {
        if let Some(stream) = &self.stream {
            return Ok(stream.clone());
        }
        let stream = dial(self.incarnation.address, timeout, still_wanted)?;
        self.stream = Some(stream.clone());
        Ok(stream)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut state = self.pool.state();
        state.in_use -= 1;
        if let (true, Some(stream)) = (self.reusable, self.stream.take()) {
            let connection = IdleConnection {
                stream,
                incarnation: self.incarnation,
                idle_since: Instant::now(),
            };
            if let Some(idle_connections) = state.caches.get_mut(&self.cache) {
                if Arc::ptr_eq(&idle_connections.generation, &self.generation) {
                    idle_connections.idle.push(connection);
                }
            }
        }
    }
}

impl Pool {
    /// At most `max_connections` idle and used ones; idle ones are kept for four fifths of `keep_alive`.
    pub fn new(max_connections: usize, keep_alive: Duration) -> Arc<Pool> {
        Arc::new(Pool {
            state: Mutex::default(),
            max_connections,
            max_idle: keep_alive * 4 / 5,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection to this incarnation of the server, if one is alive, else the place to dial one; `None` where all places
    /// are in use.
    pub fn acquire(
        self: &Arc<Self>,
        cache: CacheId,
        incarnation: Incarnation,
    ) -> Option<PooledConnection> {
        let mut state = self.state();
        let idle_connections = state.caches.entry(cache).or_default();
        let generation = idle_connections.generation.clone();
        let stream = idle_connections.take(incarnation, self.max_idle);
        if stream.is_none() && state.in_use + state.idle_count() >= self.max_connections {
            // The connection that is idle for longest gives way.
            let idle = state
                .caches
                .values_mut()
                .filter(|idle_connections| !idle_connections.idle.is_empty());
            idle.min_by_key(|idle_connections| idle_connections.idle[0].idle_since)?
                .idle
                .remove(0);
        }
        state.in_use += 1;
        let idle = stream.is_some();
        Some(PooledConnection {
            pool: self.clone(),
            cache,
            incarnation,
            generation,
            stream,
            was_idle: idle,
            reusable: false,
        })
    }

    /// Closes connections that are idle for too long.
    pub fn sweep(&self) {
        let mut state = self.state();
        state.caches.values_mut().for_each(|idle_connections| {
            idle_connections
                .idle
                .retain(|k| k.idle_since.elapsed() < self.max_idle)
        });
        state
            .caches
            .retain(|_, idle_connections| !idle_connections.is_unused());
    }

    /// Closes the idle connections of a server that drains, is gone, has restarted or moved; those in use are closed when they
    /// return.
    pub fn discard(&self, cache: CacheId) {
        self.state().caches.remove(&cache);
    }

    /// Connections in use, and idle ones.
    pub fn count(&self) -> (usize, usize) {
        let state = self.state();
        (state.in_use, state.idle_count())
    }
}

#[cfg(test)]
mod tests;
