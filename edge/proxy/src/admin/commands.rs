//! Executes the commands of the admin interface.

use super::maintenance::{MaintenanceRegistry, SYNC_INTERVAL};
use foldmux_core::Core;
use foldmux_operations::command::Command;
use foldmux_operations::maintenance::MaintenanceError;
use foldmux_operations::statistics::{ClassStatistics, Statistics};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Instant;

/// Longest id that an error repeats in full (bytes).
const MAX_QUOTED_ID: usize = 128;
/// Within this many intervals after a change, another process that serves the port has read the maintenance file at
/// least once.
const SYNC_INTERVALS_TO_APPLY: u32 = 3;

/// The state that the commands read and change.
pub struct Admin {
    /// The core, for its requests in flight and counters.
    pub core: Arc<Core>,
    /// The pop caches that operators took out of service.
    pub maintenance: Arc<MaintenanceRegistry>,
    /// Set once a complete endpoint list is known.
    pub endpoints_known: Arc<AtomicBool>,
    /// Set when the process begins to drain: when every request must have been answered.
    pub drain_deadline: Arc<OnceLock<Instant>>,
    /// The number of reloads that applied the configuration.
    pub conf_loaded: AtomicU64,
    /// The number of reloads that rejected it.
    pub conf_invalid: AtomicU64,
}

impl Admin {
    /// Executes a command. Returns the response, which ends with a newline.
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
        self.endpoints_known.load(Ordering::SeqCst) && self.drain_deadline.get().is_none()
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
            // When the response is sent, any other process that serves the port has applied the change.
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
