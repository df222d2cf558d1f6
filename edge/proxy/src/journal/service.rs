//! Where the journal service is, and the one connection to it.

use super::request::{PollError, RESPONSE_TIMEOUT};
use foldmux_http1::io::quiet;
use foldmux_sockets::dial::dial;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Where the journal service is, and the one connection to it.
///
/// A move to another address shuts the connection at once: the poll that waits on it would bring nothing more, and later
/// events are told at the new address alone.
pub struct JournalService {
    state: Mutex<ServiceState>,
    moved: Condvar,
}

struct ServiceState {
    address: Option<SocketAddr>,
    moves: u64,
    connection: Option<Arc<TcpStream>>,
}

/// An address of the service, and how often it had moved by then.
#[derive(Clone, Copy)]
pub(super) struct Location {
    pub(super) address: SocketAddr,
    pub(super) moves: u64,
}

impl JournalService {
    /// At this address, or nowhere yet.
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

    /// From now on the service is at this address. Where that is its address already, its poll goes on; without an
    /// address the endpoint list stays as it is.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut state = self.state();
        if state.address != address {
            (state.address, state.moves) = (address, state.moves + 1);
            state.close_connection();
            self.moved.notify_all();
        }
    }

    /// Waits until there is an address.
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

    /// Sleeps, at most until the next move. Returns whether there was one.
    pub(super) fn sleep_unless_moved(&self, moves: u64, time: Duration) -> bool {
        let waited = self
            .moved
            .wait_timeout_while(self.state(), time, |state| state.moves == moves);
        waited.unwrap_or_else(PoisonError::into_inner).0.moves != moves
    }

    /// Runs `apply` on a response, unless the service has moved since the request. A move waits until `apply` returns:
    /// after it nothing of the old address is applied.
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

    /// The present connection, or a new one. One that the service closed, or that has unread bytes, is replaced: the next
    /// response on it would belong to an earlier request.
    pub(super) fn connection(&self, location: Location) -> Result<Arc<TcpStream>, PollError> {
        let mut state = self.state();
        if state.moves != location.moves {
            return Err(PollError::Moved);
        }
        if let Some(connection) = state.connection.as_ref().filter(|stream| quiet(stream)) {
            return Ok(connection.clone());
        }
        state.close_connection();
        // A dial takes time: a move must not wait for it.
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
