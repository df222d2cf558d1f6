//! Where the journal service is, and the connection to it.

use super::PATIENCE;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Where the journal service is, and the one connection to it. A move shuts that at once: the poll that waits
/// on it would hear nothing more, and the events after it are told at the new address alone.
pub struct Service {
    state: Mutex<Place>,
    moved: Condvar,
}

struct Place {
    address: Option<SocketAddr>,
    moves: u64,
    connection: Option<Arc<TcpStream>>,
}

impl Service {
    pub fn new(address: Option<SocketAddr>) -> Service {
        Service { state: Mutex::new(Place { address, moves: 0, connection: None }), moved: Condvar::new() }
    }

    fn state(&self) -> MutexGuard<'_, Place> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A service that stays where it is keeps its poll; without one the list stays as it is.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut place = self.state();
        if place.address != address {
            (place.address, place.moves) = (address, place.moves + 1);
            place.hang_up();
            self.moved.notify_all();
        }
    }

    /// Where it is, once there is one, and how often it has moved.
    pub(super) fn current(&self) -> (SocketAddr, u64) {
        let mut place = self.state();
        loop {
            if let Some(address) = place.address {
                return (address, place.moves);
            }
            place = self.moved.wait(place).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits, but not beyond a move; whether there was one.
    pub(super) fn pause(&self, moves: u64, time: Duration) -> bool {
        let waited = self.moved.wait_timeout_while(self.state(), time, |place| place.moves == moves);
        waited.unwrap_or_else(PoisonError::into_inner).0.moves != moves
    }

    /// The connection that there is, or a new one.
    pub(super) fn connection(&self, address: SocketAddr, moves: u64) -> Result<Arc<TcpStream>, String> {
        if let Some(held) = self.state().connection.as_ref() {
            return Ok(held.clone());
        }
        let dialled = TcpStream::connect_timeout(&address, PATIENCE);
        let stream = Arc::new(dialled.map_err(|e| format!("no connection: {e}"))?);
        let _ = stream.set_nodelay(true);
        let mut place = self.state();
        if place.moves != moves {
            return Err("moved".to_string());
        }
        place.connection = Some(stream.clone());
        Ok(stream)
    }

    pub(super) fn hang_up(&self) {
        self.state().hang_up();
    }
}

impl Place {
    fn hang_up(&mut self) {
        if let Some(stream) = self.connection.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
