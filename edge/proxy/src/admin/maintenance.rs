//! Maintenance: the pop caches that operators took out of service. They are marked as draining in the endpoint list on
//! its way to the event loop.

use super::maintenance_file::MaintenanceFile;
use foldmux::interface::MemberState;
use foldmux_core::messages::Command;
use foldmux_core::servers::Server;
use foldmux_core::EventLoopHandle;
use foldmux_operations::maintenance::{MaintenanceError, MaintenanceSet};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often the stored set is read, to apply the changes of another process that serves the port.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// The pop caches that operators took out of service, and the last entry of each listed one.
///
/// One lock covers both and the sending to the event loop, so that changes by the journal service and by operators
/// reach the event loop in the order in which they were applied.
pub struct MaintenanceRegistry {
    state: Mutex<RegistryState>,
    event_loop: EventLoopHandle,
    /// Where the set is stored, for a later process and for another one that serves the port at the same time.
    file: Option<MaintenanceFile>,
}

struct RegistryState {
    out_of_service: MaintenanceSet,
    /// The endpoints by name, as the journal service listed them last.
    listed: HashMap<Arc<str>, Server>,
}

/// The number of known endpoints.
pub struct EndpointCounts {
    /// All listed endpoints.
    pub listed: usize,
    /// Those that are not ready, or that operators took out of service.
    pub unhealthy: usize,
}

impl MaintenanceRegistry {
    /// A registry with the set that an earlier process stored in `file`, if there is one.
    pub fn new(event_loop: EventLoopHandle, file: Option<PathBuf>) -> MaintenanceRegistry {
        let file = file.map(MaintenanceFile::new);
        let stored = file.as_ref().and_then(MaintenanceFile::read);
        let out_of_service = stored.unwrap_or_default();
        if !out_of_service.is_empty() {
            let count = out_of_service.len();
            tracing::info!("maintenance: {count} pop caches are out of service, as stored");
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

    /// Forwards the endpoints that the journal service listed, those out of service as draining. `full`: the list is
    /// complete, so endpoints that it doesn't contain are gone.
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

    /// Takes a pop cache out of service, or brings it back. Returns whether that changed the set.
    ///
    /// # Errors
    ///
    /// Returns an error if no pop cache has this id, or too many are out of service.
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

    /// Replaces the set. Returns the number of listed pop caches whose state that changes.
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

    /// Counts the endpoints that were forwarded; the event loop may not have applied the last of them yet.
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

    /// Applies the set that another process stored. During an upgrade the processes of both versions serve the port and
    /// count as one edge proxy: a pop cache that one of them takes out of service is out of service for both.
    pub fn sync(&self) {
        let Some(file) = &self.file else { return };
        // The file is read under the lock; otherwise a command could change it before the set is applied.
        let mut state = self.state();
        let stored = file.read();
        let Some(set) = stored.filter(|set| *set != state.out_of_service) else {
            return;
        };
        let changed = self.apply(&mut state, set);
        if changed > 0 {
            tracing::info!(
                "maintenance: {changed} pop caches changed by another process on this port"
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
