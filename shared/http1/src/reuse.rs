//! When a kept-alive connection may carry its next request.
//!
//! An HTTP/1.1 response does not name its request. Where a server sends a response twice, or anything else behind one, the
//! surplus is read as the response to whatever is sent next on that connection. Two rules guard against it:
//!
//! - A connection carries its next request only after nothing has come on it for a while: until then surplus bytes show that
//!   it must be closed.
//! - A server that was seen to send surplus bytes is distrusted for a time, in which each of its connections carries one
//!   request alone: its next surplus may be later than the last.

use foldmux_sockets::stream::{arrived, Arrived};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a connection must have been quiet before it carries a request that may be executed any number of times. Surplus
/// bytes follow their response by some milliseconds.
pub const REUSE_DELAY: Duration = Duration::from_millis(100);
/// The same for any other request: a response that is not its own would confirm a write that never ran, or have one that ran
/// sent again.
pub const NON_IDEMPOTENT_REUSE_DELAY: Duration = Duration::from_secs(1);
/// How long a server is distrusted after its last surplus bytes.
pub const DISTRUST_TIME: Duration = Duration::from_secs(60);

/// How long a connection must have been quiet since its last response before it carries this request.
pub fn reuse_delay(is_idempotent: bool) -> Duration {
    if is_idempotent {
        REUSE_DELAY
    } else {
        NON_IDEMPOTENT_REUSE_DELAY
    }
}

struct IdleConnection {
    stream: Arc<TcpStream>,
    idle_since: Instant,
    /// It was seen to be quiet after [`REUSE_DELAY`].
    inspected: bool,
}

impl IdleConnection {
    fn is_idle_for(&self, time: Duration) -> bool {
        self.idle_since.elapsed() >= time
    }
}

/// The idle connections to one server.
#[derive(Default)]
pub struct IdleConnections {
    /// In the order in which they came back.
    connections: Vec<IdleConnection>,
    surplus_seen_at: Option<Instant>,
    /// Distrust has begun, and nobody was told yet.
    distrust_began: bool,
}

impl IdleConnections {
    /// Takes out a connection that is alive and has been idle for `min_idle` and for less than `max_idle`, if there is one:
    /// the most recently used, so that the others can expire.
    pub fn take(&mut self, min_idle: Duration, max_idle: Duration) -> Option<Arc<TcpStream>> {
        self.inspect();
        loop {
            let eligible = self
                .connections
                .partition_point(|connection| connection.is_idle_for(min_idle));
            let connection = self.connections.remove(eligible.checked_sub(1)?);
            match arrived(&connection.stream) {
                Arrived::Nothing if !connection.is_idle_for(max_idle) => {
                    return Some(connection.stream)
                }
                Arrived::Bytes => self.report_surplus(),
                Arrived::Nothing | Arrived::End | Arrived::Unknown => {}
            }
        }
    }

    /// Looks once at each connection whose delay is over, so that surplus bytes are seen on whichever they came.
    fn inspect(&mut self) {
        let mut has_surplus = false;
        self.connections.retain_mut(|connection| {
            if connection.inspected || !connection.is_idle_for(REUSE_DELAY) {
                return true;
            }
            connection.inspected = true;
            let arrived = arrived(&connection.stream);
            has_surplus |= arrived == Arrived::Bytes;
            arrived == Arrived::Nothing
        });
        if has_surplus {
            self.report_surplus();
        }
    }

    /// Keeps a connection whose last response was read to its end. Closes it instead while its server is distrusted.
    pub fn put(&mut self, stream: Arc<TcpStream>) {
        if self.is_distrusted() {
            return;
        }
        self.connections.push(IdleConnection {
            stream,
            idle_since: Instant::now(),
            inspected: false,
        });
    }

    /// The server sent bytes that belong to no request: its idle connections are closed, and it is distrusted from now on.
    pub fn report_surplus(&mut self) {
        self.distrust_began |= !self.is_distrusted();
        self.connections.clear();
        self.surplus_seen_at = Some(Instant::now());
    }

    /// Whether the server sent surplus bytes within the last [`DISTRUST_TIME`].
    pub fn is_distrusted(&self) -> bool {
        self.surplus_seen_at
            .is_some_and(|at| at.elapsed() < DISTRUST_TIME)
    }

    /// Whether distrust has begun since this was called last, so that it is logged once.
    pub fn take_distrust_began(&mut self) -> bool {
        std::mem::take(&mut self.distrust_began)
    }

    /// Closes connections that have been idle for `max_idle`.
    pub fn expire(&mut self, max_idle: Duration) {
        self.connections
            .retain(|connection| !connection.is_idle_for(max_idle));
    }

    /// Since when the connection has been idle that is idle for longest; `None` if there is none.
    pub fn oldest(&self) -> Option<Instant> {
        self.connections
            .first()
            .map(|connection| connection.idle_since)
    }

    /// Closes the connection that has been idle for longest.
    pub fn close_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0);
        }
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

#[cfg(test)]
mod tests;
