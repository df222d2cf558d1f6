//! Where the journal service is, and the connection to it.

use super::poll::Place;
use super::request::{Fault, PATIENCE};
use foldmux_http1::io::quiet;
use foldmux_sockets::dial::dial;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Where the journal service is, and the one connection to it. A move shuts that at once: the poll that waits
/// on it would hear nothing more, and the events after it are told at the new address alone.
pub struct Service {
    state: Mutex<State>,
    moved: Condvar,
}

struct State {
    address: Option<SocketAddr>,
    moves: u64,
    connection: Option<Arc<TcpStream>>,
}

impl Service {
    pub fn new(address: Option<SocketAddr>) -> Service {
        Service {
            state: Mutex::new(State {
                address,
                moves: 0,
                connection: None,
            }),
            moved: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A service that stays where it is keeps its poll; without one the list stays as it is.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut state = self.state();
        if state.address != address {
            (state.address, state.moves) = (address, state.moves + 1);
            state.hang_up();
            self.moved.notify_all();
        }
    }

    /// Where it is, once there is one, and how often it has moved.
    pub(super) fn current(&self) -> Place {
        let mut state = self.state();
        loop {
            if let Some(address) = state.address {
                return Place {
                    address,
                    moves: state.moves,
                };
            }
            state = self
                .moved
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits, but not beyond a move; whether there was one.
    pub(super) fn pause(&self, moves: u64, time: Duration) -> bool {
        let waited = self
            .moved
            .wait_timeout_while(self.state(), time, |state| state.moves == moves);
        waited.unwrap_or_else(PoisonError::into_inner).0.moves != moves
    }

    /// What `take` makes of an answer, unless the service has moved since it was asked for. A move waits until it is
    /// taken: after that nothing of the old address is.
    pub(super) fn unless_moved<T>(&self, moves: u64, take: impl FnOnce() -> T) -> Result<T, Fault> {
        let state = self.state();
        match state.moves == moves {
            true => Ok(take()),
            false => Err(Fault::Moved),
        }
    }

    /// The connection that there is, or a new one. Guards against one that the service closed, or spoke on unasked: the
    /// next answer on it would be one to an earlier call.
    pub(super) fn connection(&self, place: Place) -> Result<Arc<TcpStream>, Fault> {
        let mut state = self.state();
        if state.moves != place.moves {
            return Err(Fault::Moved);
        }
        if let Some(held) = state.connection.as_ref().filter(|held| quiet(held)) {
            return Ok(held.clone());
        }
        state.hang_up();
        drop(state);
        let stream = dial(place.address, PATIENCE, &|_| true).map_err(Fault::NoConnection)?;
        let mut state = self.state();
        if state.moves != place.moves {
            return Err(Fault::Moved);
        }
        state.connection = Some(stream.clone());
        Ok(stream)
    }

    pub(super) fn hang_up(&self) {
        self.state().hang_up();
    }
}

impl State {
    fn hang_up(&mut self) {
        if let Some(stream) = self.connection.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

#[cfg(test)]
mod tests;
