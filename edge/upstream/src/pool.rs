//! The pool of connections to caches, parents and the origin.
//!
//! It owns a connection while it is idle. An attempt holds it as a [`PooledConnection`], which returns it on drop, and nowhere
//! else. Idle and used connections are bounded together.

use foldmux::interface::CacheId;
use foldmux_core::servers::Incarnation;
use foldmux_http1::reuse::{IdleConnections, DISTRUST_TIME};
use foldmux_sockets::dial::{dial, StillWanted};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Connections to all servers.
pub struct Pool {
    state: Mutex<State>,
    max_connections: usize,
    /// Shorter than the server's keep-alive: a request must not cross its close.
    max_idle: Duration,
}

#[derive(Default)]
struct State {
    servers: HashMap<CacheId, ServerConnections>,
    in_use: usize,
}

/// The connections to one incarnation of a server.
struct ServerConnections {
    incarnation: Incarnation,
    idle: IdleConnections,
    /// A used connection returns only to the generation that it came from: where that was discarded since, it is closed, as
    /// it would hold a place at a server that drains.
    generation: Arc<()>,
}

impl ServerConnections {
    fn new(incarnation: Incarnation) -> ServerConnections {
        ServerConnections {
            incarnation,
            idle: IdleConnections::default(),
            generation: Arc::default(),
        }
    }

    fn is_unused(&self) -> bool {
        let none_in_use = Arc::strong_count(&self.generation) == 1;
        self.idle.is_empty() && none_in_use && !self.idle.is_distrusted()
    }
}

impl State {
    fn idle_count(&self) -> usize {
        self.servers.values().map(|server| server.idle.len()).sum()
    }

    /// The connections to this incarnation. Those to another one are closed.
    fn server(&mut self, cache: CacheId, incarnation: Incarnation) -> &mut ServerConnections {
        let server = self
            .servers
            .entry(cache)
            .or_insert_with(|| ServerConnections::new(incarnation));
        if server.incarnation != incarnation {
            *server = ServerConnections::new(incarnation);
        }
        server
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
    fn close_oldest(&mut self) -> bool {
        let with_idle = self.servers.values_mut();
        let oldest = with_idle
            .filter_map(|server| Some((server.idle.oldest()?, server)))
            .min_by_key(|(idle_since, _)| *idle_since);
        match oldest {
            Some((_, server)) => server.idle.close_oldest(),
            None => return false,
        }
        true
    }
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
    /// Bytes came behind the last response: the server is not trusted with another request on a used connection.
    pub has_surplus: bool,
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
        let Some(server) = state
            .servers
            .get_mut(&self.cache)
            .filter(|server| Arc::ptr_eq(&server.generation, &self.generation))
        else {
            return;
        };
        if self.has_surplus {
            self.pool.report_surplus(self.cache, server);
        } else if let (true, Some(stream)) = (self.reusable, self.stream.take()) {
            server.idle.put(stream);
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

    /// A connection to this incarnation of the server that is alive and has been idle for `min_idle`, if there is one, else the
    /// place to dial one; `None` where all places are in use. `min_idle` is the request's
    /// [`reuse_delay`](foldmux_http1::reuse::reuse_delay): a connection on which a late second response may still come is not
    /// used.
    pub fn acquire(
        self: &Arc<Self>,
        cache: CacheId,
        incarnation: Incarnation,
        min_idle: Duration,
    ) -> Option<PooledConnection> {
        let mut state = self.state();
        let server = state.server(cache, incarnation);
        let generation = server.generation.clone();
        let stream = server.idle.take(min_idle, self.max_idle);
        if server.idle.take_distrust_began() {
            log_distrust(cache);
        }
        if stream.is_none()
            && state.in_use + state.idle_count() >= self.max_connections
            && !state.close_oldest()
        {
            return None;
        }
        state.in_use += 1;
        let was_idle = stream.is_some();
        Some(PooledConnection {
            pool: self.clone(),
            cache,
            incarnation,
            generation,
            stream,
            was_idle,
            reusable: false,
            has_surplus: false,
        })
    }

    fn report_surplus(&self, cache: CacheId, server: &mut ServerConnections) {
        server.idle.report_surplus();
        if server.idle.take_distrust_began() {
            log_distrust(cache);
        }
    }

    /// Closes connections that are idle for too long.
    pub fn sweep(&self) {
        let mut state = self.state();
        state
            .servers
            .values_mut()
            .for_each(|server| server.idle.expire(self.max_idle));
        state.servers.retain(|_, server| !server.is_unused());
    }

    /// Closes the idle connections of a server that drains, is gone, has restarted or moved; those in use are closed when they
    /// return.
    pub fn discard(&self, cache: CacheId) {
        self.state().servers.remove(&cache);
    }

    /// Connections in use, and idle ones.
    pub fn count(&self) -> (usize, usize) {
        let state = self.state();
        (state.in_use, state.idle_count())
    }
}

fn log_distrust(cache: CacheId) {
    tracing::info!(
        "cache {:08x}: bytes came behind a response; its connections carry one request each for {DISTRUST_TIME:?}",
        cache.0
    );
}

#[cfg(test)]
mod tests;
