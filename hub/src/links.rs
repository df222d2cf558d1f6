//! Idle connections to sources, bounded. One is lent while it is quiet and not old; it comes back only after an
//! answer that was read to its end.

use foldmux_http1::io::quiet;
use foldmux_sockets::dial::dial;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Under the time after which sources close an idle connection.
const KEEP: Duration = Duration::from_secs(4);

/// A connection, and since when it is idle.
type Kept = (Arc<TcpStream>, Instant);

pub struct Links {
    idle: Mutex<HashMap<SocketAddr, Vec<Kept>>>,
    most: usize,
}

impl Links {
    pub fn new(most: usize) -> Links {
        Links {
            idle: Mutex::default(),
            most,
        }
    }

    /// A connection that was used before, if one is alive.
    pub fn idle(&self, address: SocketAddr) -> Option<Arc<TcpStream>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let held = idle.get_mut(&address)?;
        while let Some((stream, since)) = held.pop() {
            if since.elapsed() < KEEP && quiet(&stream) {
                return Some(stream);
            }
        }
        None
    }

    pub fn dial(&self, address: SocketAddr, time_out: Duration) -> io::Result<Arc<TcpStream>> {
        dial(address, time_out, &|_| true)
    }

    /// Takes a connection whose last answer was read to its end; beyond the bound it is closed.
    pub fn give_back(&self, address: SocketAddr, stream: Arc<TcpStream>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.values().map(Vec::len).sum::<usize>() >= self.most {
            idle.values_mut()
                .for_each(|held| held.retain(|(_, since)| since.elapsed() < KEEP));
            idle.retain(|_, held| !held.is_empty());
        }
        if idle.values().map(Vec::len).sum::<usize>() < self.most {
            idle.entry(address)
                .or_default()
                .push((stream, Instant::now()));
        }
    }

    /// A source that takes no more fills from here.
    pub fn close(&self, address: SocketAddr) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }
}
