//! The address of the journal service, and the one connection to it.

use super::request::{PollError, RESPONSE_TIMEOUT};
use foldmux_http1::io::quiet;
use foldmux_sockets::dial::dial;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The address of the journal service, and the one connection to it.
///
/// A move to another address closes the connection at once: later events come from the new address only, so the poll
/// that waits on the former one would return nothing.
pub struct JournalService {
    state: Mutex<ServiceState>,
    moved: Condvar,
}

struct ServiceState {
    address: Option<SocketAddr>,
    /// How often the address has changed.
    moves: u64,
    connection: Option<Arc<TcpStream>>,
}

/// An address of the service, and the number of moves that led to it.
#[derive(Clone, Copy)]
pub(super) struct Location {
    pub(super) address: SocketAddr,
    pub(super) moves: u64,
}

impl JournalService {
    /// A service at `address`; `None` if its address is not known yet.
    pub fn new(address: Option<SocketAddr>) -> JournalService {
        JournalService {
            state: Mutex::new(ServiceState {
                address,
                moves: 0,
                connection: None,
            }),
            moved: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address of the service. If it is the present one, the poll in flight continues. Without an address
    /// nothing is polled, and the endpoint list stays as it is.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut state = self.state();
        if state.address != address {
            (state.address, state.moves) = (address, state.moves + 1);
            state.close_connection();
            self.moved.notify_all();
        }
    }

    /// The present location; blocks until there is an address.
    pub(super) fn location(&self) -> Location {
        let mut state = self.state();
        loop {
            if let Some(address) = state.address {
                return Location {
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

    /// Sleeps for `time`, or until the service leaves the location of number `moves`. Returns whether it has left it.
    pub(super) fn sleep_unless_moved(&self, moves: u64, time: Duration) -> bool {
        let waited = self
            .moved
            .wait_timeout_while(self.state(), time, |state| state.moves == moves);
        waited.unwrap_or_else(PoisonError::into_inner).0.moves != moves
    }

    /// Runs `apply`, unless the service has left the location of number `moves`. [`JournalService::move_to`] waits
    /// until `apply` returns, so nothing from the former address is applied after a move.
    ///
    /// # Errors
    ///
    /// Returns [`PollError::Moved`] if the service has moved.
    pub(super) fn unless_moved<T>(
        &self,
        moves: u64,
        apply: impl FnOnce() -> T,
    ) -> Result<T, PollError> {
        let state = self.state();
        match state.moves == moves {
            true => Ok(apply()),
            false => Err(PollError::Moved),
        }
    }

    /// The present connection, or a new one. A connection that the service has closed is replaced, and so is one with
    /// unread bytes: they belong to the response of an earlier request.
    ///
    /// # Errors
    ///
    /// Returns an error if the service has moved from `location`, or can't be connected to.
    pub(super) fn connection(&self, location: Location) -> Result<Arc<TcpStream>, PollError> {
        let mut state = self.state();
        if state.moves != location.moves {
            return Err(PollError::Moved);
        }
        if let Some(connection) = state.connection.as_ref().filter(|stream| quiet(stream)) {
            return Ok(connection.clone());
        }
        state.close_connection();
        // The lock is released: a move must not wait for the dial.
        drop(state);
        let stream =
            dial(location.address, RESPONSE_TIMEOUT, &|_| true).map_err(PollError::Connect)?;
        let mut state = self.state();
        if state.moves != location.moves {
            return Err(PollError::Moved);
        }
        state.connection = Some(stream.clone());
        Ok(stream)
    }

    pub(super) fn close_connection(&self) {
        self.state().close_connection();
    }
}

impl ServiceState {
    fn close_connection(&mut self) {
        if let Some(stream) = self.connection.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

#[cfg(test)]
mod tests;
