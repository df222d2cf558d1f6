//! Idle connections to sources, bounded. [`IdleConnections`] says which of them carries another request: surplus bytes would be
//! kept as the copy of another object.

use foldmux_http1::reuse::{IdleConnections, DISTRUST_TIME, REUSE_DELAY};
use foldmux_sockets::dial::dial;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Shorter than the time after which sources close an idle connection.
const MAX_IDLE: Duration = Duration::from_secs(4);

type IdleByAddress = HashMap<SocketAddr, IdleConnections>;

/// The connections to sources.
pub struct Links {
    idle: Mutex<IdleByAddress>,
    max_idle_connections: usize,
}

impl Links {
    /// Keeps at most `max_idle_connections`.
    pub fn new(max_idle_connections: usize) -> Links {
        Links {
            idle: Mutex::default(),
            max_idle_connections,
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdleByAddress> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that was used before and may be used again, if there is one.
    pub fn idle(&self, address: SocketAddr) -> Option<Arc<TcpStream>> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let taken = connections.take(REUSE_DELAY, MAX_IDLE);
        if connections.take_distrust_began() {
            log_distrust(address);
        }
        taken
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Where none comes up within `timeout`.
    pub fn dial(&self, address: SocketAddr, timeout: Duration) -> io::Result<Arc<TcpStream>> {
        dial(address, timeout, &|_| true)
    }

    /// Takes a connection whose last response was read to its end; beyond the bound it is closed.
    pub fn give_back(&self, address: SocketAddr, stream: Arc<TcpStream>) {
        let mut idle = self.lock();
        let count = |idle: &IdleByAddress| idle.values().map(IdleConnections::len).sum::<usize>();
        if count(&idle) >= self.max_idle_connections {
            idle.values_mut()
                .for_each(|connections| connections.expire(MAX_IDLE));
            idle.retain(|_, connections| !connections.is_empty() || connections.is_distrusted());
        }
        if count(&idle) < self.max_idle_connections {
            idle.entry(address).or_default().put(stream);
        }
    }

    /// A source sent bytes behind a response that belong to no request.
    pub fn report_surplus(&self, address: SocketAddr) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.report_surplus();
        if connections.take_distrust_began() {
            log_distrust(address);
        }
    }

    /// Closes the idle connections to a source that takes no more fills from here.
    pub fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }
}

fn log_distrust(address: SocketAddr) {
    tracing::info!(
        "source {address}: bytes came behind a response; its connections carry one request each for {DISTRUST_TIME:?}"
    );
}
