//! What each command of the admin interface does, and its response.

use super::maintenance::{MaintenanceRegistry, SYNC_INTERVAL};
use foldmux_core::Core;
use foldmux_operations::command::Command;
use foldmux_operations::maintenance::MaintenanceError;
use foldmux_operations::statistics::{ClassStatistics, Statistics};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Instant;

/// Longest id that an error repeats whole (bytes).
const MAX_QUOTED_ID: usize = 128;
/// After a change, the process beside this one has read the maintenance file at least once within so many intervals.
const SYNC_INTERVALS_TO_APPLY: u32 = 3;

/// What the commands read and change.
pub struct Admin {
    /// Requests in flight, and the counters.
    pub core: Arc<Core>,
    /// The pop caches that are out of service by hand.
    pub maintenance: Arc<MaintenanceRegistry>,
    /// Set once a whole endpoint list is known.
    pub listed: Arc<AtomicBool>,
    /// Set when the process begins to drain.
    pub leave_by: Arc<OnceLock<Instant>>,
    /// Reloads that took the configuration.
    pub conf_loaded: AtomicU64,
    /// Reloads that refused it.
    pub conf_invalid: AtomicU64,
}

impl Admin {
    /// Executes a command; its response ends with an end of line.
    pub fn execute(&self, command: Command) -> String {
        match command {
            Command::Status if self.is_ready() => "done yes\n".to_string(),
            Command::Status => "done no\n".to_string(),
            Command::Stats => format!("done\n{}", self.statistics().render()),
            Command::MaintenanceOn(id) | Command::MaintenanceOff(id)
                if id.len() > MAX_QUOTED_ID =>
            {
                format!("error no pop cache {id:.32}...\n")
            }
            Command::MaintenanceOn(id) => self.set_maintenance(&id, true),
            Command::MaintenanceOff(id) => self.set_maintenance(&id, false),
        }
    }

    fn is_ready(&self) -> bool {
        self.listed.load(Ordering::SeqCst) && self.leave_by.get().is_none()
    }

    fn statistics(&self) -> Statistics {
        let classes = self.core.metrics.classes().into_iter();
        let classes = classes.map(|counts| ClassStatistics {
            class: counts.class.to_string(),
            answered: counts.answered,
            deferred: counts.deferred,
            errored: counts.errored,
            sends: counts.sends,
        });
        let endpoints = self.maintenance.endpoint_counts();
        Statistics {
            classes: classes.collect(),
            current: (self.core.open_requests() + self.core.delegated_requests()) as u64,
            cluster_size: endpoints.listed as u64,
            cluster_unhealthy: endpoints.unhealthy as u64,
            conf_loaded: self.conf_loaded.load(Ordering::Relaxed),
            conf_invalid: self.conf_invalid.load(Ordering::Relaxed),
        }
    }

    fn set_maintenance(&self, id: &str, out_of_service: bool) -> String {
        let changed = self.maintenance.set(id, out_of_service);
        if matches!(changed, Ok(true)) && self.maintenance.is_shared() {
            // A process beside this one, where there is one, has applied the change when the response is sent.
            thread::sleep(SYNC_INTERVAL * SYNC_INTERVALS_TO_APPLY);
        }
        match changed {
            Ok(_) if out_of_service => format!("done {id} is out\n"),
            Ok(_) => format!("done {id} is back\n"),
            Err(MaintenanceError::UnknownCache) => format!("error no pop cache {id}\n"),
            Err(MaintenanceError::Full) => "error too many pop caches out\n".to_string(),
        }
    }
}
