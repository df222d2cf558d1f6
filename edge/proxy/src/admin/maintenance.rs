//! The pop caches that are out of service by hand, applied to the endpoint list on its way to the event loop.

use super::maintenance_file::MaintenanceFile;
use foldmux::interface::MemberState;
use foldmux_core::event_loop::EventLoopHandle;
use foldmux_core::messages::Command;
use foldmux_core::servers::Server;
use foldmux_operations::maintenance::{MaintenanceError, MaintenanceSet};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often the stored set is read, for what a process beside this one changed.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// The pop caches that are out of service by hand, and the last entry of each as the journal service listed it.
///
/// One lock is held over both and over sending to the event loop, so that what the journal service says and what
/// operators say reach the event loop in one order.
pub struct MaintenanceRegistry {
    state: Mutex<RegistryState>,
    event_loop: EventLoopHandle,
    /// Where the set is stored, for this process's successor and for one beside it.
    file: Option<MaintenanceFile>,
}

struct RegistryState {
    out_of_service: MaintenanceSet,
    listed: HashMap<Arc<str>, Server>,
}

/// How many endpoints are known.
pub struct EndpointCounts {
    /// All that are listed.
    pub listed: usize,
    /// Those of them that are not ready, or out of service by hand.
    pub unhealthy: usize,
}

impl MaintenanceRegistry {
    /// With what an earlier process stored in `file`, where there is one.
    pub fn new(event_loop: EventLoopHandle, file: Option<PathBuf>) -> MaintenanceRegistry {
        let file = file.map(MaintenanceFile::new);
        let stored = file.as_ref().and_then(MaintenanceFile::read);
        let out_of_service = stored.unwrap_or_default();
        if !out_of_service.is_empty() {
            let count = out_of_service.len();
            tracing::info!("maintenance: {count} pop caches out by hand, as kept");
        }
        MaintenanceRegistry {
            state: Mutex::new(RegistryState {
                out_of_service,
                listed: HashMap::new(),
            }),
            event_loop,
            file,
        }
    }

    fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forwards what the journal service listed, with those out of service by hand as draining. `full`: the list is whole,
    /// and what it leaves out is gone.
    pub fn forward(&self, full: bool, listed: Vec<Server>) {
        let mut state = self.state();
        if full {
            state.listed.clear();
        }
        let mut forwarded = Vec::with_capacity(listed.len());
        for entry in listed {
            match entry.member.state {
                MemberState::Gone => state.listed.remove(&entry.name),
                _ => state.listed.insert(entry.name.clone(), entry.clone()),
            };
            forwarded.push(with_maintenance(&state.out_of_service, entry));
        }
        self.event_loop.send(Command::Servers {
            full,
            servers: forwarded,
        });
    }

    /// Takes a pop cache out of service, or brings it back. Returns whether that changed anything.
    ///
    /// # Errors
    ///
    /// Where no pop cache has this id, or too many are out of service.
    pub fn set(&self, id: &str, out_of_service: bool) -> Result<bool, MaintenanceError> {
        let mut state = self.state();
        let listed = state.listed.contains_key(id);
        let change = |set: &mut MaintenanceSet| match out_of_service {
            true => set.add(id, listed),
            false => set.remove(id, listed),
        };
        let (set, changed) = match &self.file {
            Some(file) => file.change(&state.out_of_service, change),
            None => {
                let mut set = state.out_of_service.clone();
                let changed = change(&mut set);
                (set, changed)
            }
        };
        self.apply(&mut state, set);
        changed
    }

    /// Puts another set in place of the present one. Returns how many listed pop caches that changes.
    fn apply(&self, state: &mut RegistryState, set: MaintenanceSet) -> usize {
        let differs = |entry: &&Server| {
            set.contains(&entry.name) != state.out_of_service.contains(&entry.name)
        };
        let changed: Vec<Server> = state
            .listed
            .values()
            .filter(differs)
            .map(|entry| with_maintenance(&set, entry.clone()))
            .collect();
        state.out_of_service = set;
        let count = changed.len();
        if count > 0 {
            self.event_loop.send(Command::Servers {
                full: false,
                servers: changed,
            });
        }
        count
    }

    /// Counts the endpoints as known here, which the event loop may be about to apply.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let state = self.state();
        let is_unhealthy = |entry: &&Server| {
            entry.member.state != MemberState::Ready || state.out_of_service.contains(&entry.name)
        };
        EndpointCounts {
            listed: state.listed.len(),
            unhealthy: state.listed.values().filter(is_unhealthy).count(),
        }
    }

    /// Applies what another process that serves this port (a version beside this one) stored: both count as one edge
    /// proxy, and a pop cache that one of them takes out of service is out for both.
    pub fn sync(&self) {
        let Some(file) = &self.file else { return };
        // Read under the lock: a command here may change the file between the reading and the applying.
        let mut state = self.state();
        let stored = file.read();
        let Some(set) = stored.filter(|set| *set != state.out_of_service) else {
            return;
        };
        let changed = self.apply(&mut state, set);
        if changed > 0 {
            tracing::info!(
                "maintenance: {changed} pop caches changed by the process beside this one"
            );
        }
    }

    /// Whether the set is shared with other processes through a file.
    pub fn is_shared(&self) -> bool {
        self.file.is_some()
    }
}

fn with_maintenance(out_of_service: &MaintenanceSet, mut entry: Server) -> Server {
    if entry.member.state == MemberState::Ready && out_of_service.contains(&entry.name) {
        entry.member.state = MemberState::Draining;
    }
    entry
}
