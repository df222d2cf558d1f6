//! The address of the journal service, which may change while its events are followed.

use crossbeam_channel::{bounded, Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The address of the journal service. Events come from the present address only: nothing of a former one is applied
/// after a move.
pub struct JournalService {
    state: Mutex<ServiceState>,
    notify: Sender<()>,
    moved: Receiver<()>,
}

struct ServiceState {
    address: Option<SocketAddr>,
    /// How often the address has changed.
    moves: u64,
}

/// An address of the service, and the number of moves that led to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The address; `None` if it is not known.
    pub address: Option<SocketAddr>,
    pub(crate) moves: u64,
}

/// The service has left the location that was asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moved;

impl JournalService {
    /// A service at `address`; `None` if its address is not known yet.
    pub fn new(address: Option<SocketAddr>) -> JournalService {
        // One notification tells of any number of moves.
        let (notify, moved) = bounded(1);
        JournalService {
            state: Mutex::new(ServiceState { address, moves: 0 }),
            notify,
            moved,
        }
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address of the service. If it is the present one, the polls in flight continue. Without an address
    /// nothing is polled, and the endpoint list stays as it is.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut state = self.state();
        if state.address != address {
            (state.address, state.moves) = (address, state.moves + 1);
            let _ = self.notify.try_send(());
        }
    }

    /// The present location.
    pub fn location(&self) -> Location {
        let state = self.state();
        Location {
            address: state.address,
            moves: state.moves,
        }
    }

    /// Receives after a move; several moves may be one notification.
    pub(crate) fn moved(&self) -> &Receiver<()> {
        &self.moved
    }

    /// Runs `apply`, unless the service has left this location. [`JournalService::move_to`] waits until `apply`
    /// returns, so nothing from the former address is applied after a move.
    ///
    /// # Errors
    ///
    /// Returns [`Moved`] if the service has moved.
    pub fn unless_moved<T>(
        &self,
        location: Location,
        apply: impl FnOnce() -> T,
    ) -> Result<T, Moved> {
        let state = self.state();
        match state.moves == location.moves {
            true => Ok(apply()),
            false => Err(Moved),
        }
    }
}

#[cfg(test)]
mod tests;
