//! Reloads on SIGHUP: applies the configuration, then each part of the operator's file that may change while in
//! service.

use crate::admin::Admin;
use crate::config::{self, ConfigFiles, DocumentShape};
use crate::fleet::RunningFleet;
use crate::hierarchy::ActiveHierarchy;
use crate::journal::JournalService;
use crate::limits;
use crate::startup_settings::StartupSettings;
use foldmux::interface::Class;
use foldmux_core::limits::Limiter;
use foldmux_core::messages::Command;
use foldmux_core::retry_after::own_retry_after;
use foldmux_extproc::serve::Serving as Processor;
use foldmux_fronts::msgpack::Front;
use foldmux_limits::Account;
use foldmux_operations::class_table::ClassTable;
use foldmux_operator::Operator;
use std::fmt::Display;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

pub use classes::{client_classes, configured_classes, dns_classes, processor_classes};
pub use error::ReloadError;

mod classes;
mod error;

/// The result of reloading one part: a line that says what is in service now, or why nothing has changed.
type Outcome = Result<String, ReloadError>;

/// Applies the configuration and the operator's file to the parts in service, and logs the outcome of each part.
pub struct Reloader<'a> {
    /// The files to read again.
    pub files: ConfigFiles<'a>,
    /// The values that a reload can't change.
    pub startup: StartupSettings,
    /// The keys of the configuration in service.
    pub shape: DocumentShape,
    /// The weights of tenants that the configuration in service has.
    pub tenants: Vec<(String, f64)>,
    /// The classes that are in service or have requests in flight.
    pub classes: ClassTable<Class>,
    /// The account's rules at the start, against which limits are checked.
    pub account: Account,
    /// The fill hierarchy, if there is one.
    pub hierarchy: Option<ActiveHierarchy>,
    /// The MessagePack front, whose clients name classes.
    pub front: Arc<Front>,
    /// The journal service that is followed.
    pub journal_service: Arc<JournalService>,
    /// Counts the reloads.
    pub admin: Arc<Admin>,
}

impl Reloader<'_> {
    /// Reads the files and applies each part by itself: a part that is rejected doesn't prevent the changes of the
    /// others.
    pub fn reload(&mut self, fleet: Option<&RunningFleet>, processor: Option<&Processor>) {
        let settings = self.reload_settings();
        self.count(settings.is_ok());
        log_outcome("reload", settings);
        let Some(operator_file) = self.files.operator else {
            return;
        };
        if let Some(hierarchy) = &mut self.hierarchy {
            log_outcome("rewire", reload_hierarchy(operator_file, hierarchy));
        }
        if let Some(limiter) = self.front.core.limiter.get() {
            log_outcome(
                "limits",
                reload_limits(operator_file, &self.account, limiter),
            );
        }
        if let Some(fleet) = fleet {
            if let Some(outcome) = self.reload_weights(operator_file, fleet).transpose() {
                log_outcome("weights", outcome);
            }
        }
        if let Some(processor) = processor {
            // The counts are logged whether or not the keys were applied.
            let with_counts = |outcome: &dyn Display| format!("{outcome}; {}", processor.line());
            let outcome = reload_token_keys(operator_file, processor);
            log_outcome(
                "token keys",
                outcome
                    .map(|applied| with_counts(&applied))
                    .map_err(|error| with_counts(&error)),
            );
        }
    }

    fn count(&self, applied: bool) {
        let counter = match applied {
            true => &self.admin.conf_loaded,
            false => &self.admin.conf_invalid,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Applies the configuration's settings, classes and journal service. Every step that can fail comes before the
    /// first change, so that an invalid file changes nothing. A file without a journal service is valid where there is none
    /// in service: the endpoint list stays as it is.
    fn reload_settings(&mut self) -> Outcome {
        let config = config::read_after(self.files.config, Some(&self.shape))?;
        self.startup.check(&config)?;
        let mut settings = config.decoded.settings.clone();
        self.classes
            .replace(configured_classes(&config.decoded))
            .map_err(ReloadError::Classes)?;
        settings.classes = self.classes.slots().cloned().collect();
        let core = &self.front.core;
        core.update_settings(
            own_retry_after(&settings),
            Duration::from_micros(settings.longest_slow_start()),
        );
        // The router knows the new classes before any client can name them.
        core.event_loop.send(Command::Settings(Box::new(settings)));
        // The settings decide which members are parents, the origin or neighbours. An empty update makes the event loop
        // classify them again.
        core.event_loop.send(Command::Servers {
            full: false,
            servers: Vec::new(),
        });
        self.serve_classes();
        self.journal_service.move_to(config.journal_address);
        let description = self.describe(&config);
        self.shape = config.shape;
        self.tenants = config.decoded.tenants;
        Ok(description)
    }

    /// Makes the classes in service, and no others, available to clients.
    fn serve_classes(&self) {
        let client_classes = client_classes(&self.classes);
        for class in &client_classes {
            self.front.core.metrics.register_class(&class.name);
        }
        let mut classes = self
            .front
            .classes
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *classes = Arc::new(client_classes);
    }

    fn describe(&self, config: &config::Config) -> String {
        let names: Vec<&str> = self
            .classes
            .in_service()
            .map(|entry| entry.name.as_str())
            .collect();
        let journal = match config.journal_address {
            Some(address) => format!("the journal service is at {address}"),
            None => "no journal service: the list stays as it is".to_string(),
        };
        let unapplied = match self.startup.changed_keys(config) {
            keys if keys.is_empty() => String::new(),
            keys => format!("; from the next start: {}", keys.join(", ")),
        };
        format!("classes {}; {journal}{unapplied}", names.join(", "))
    }

    /// Applies the weights of tenants, from the operator's file and the configuration in service; `None` if no pool uses
    /// weights. A configuration that was rejected counts for nothing here, either.
    fn reload_weights(
        &self,
        operator_file: &Path,
        fleet: &RunningFleet,
    ) -> Result<Option<String>, ReloadError> {
        let setup = read_operator(operator_file)?
            .fleet
            .ok_or_else(|| ReloadError::missing(operator_file, "fleet"))?;
        let count = fleet.update_weights(&setup, &self.tenants);
        Ok(count.map(|count| format!("{count} taken")))
    }
}

/// Logs the outcome of a part. A rejected part is a warning, so that operators who filter at that level see it.
fn log_outcome<E: Display>(part: &str, outcome: Result<String, E>) {
    match outcome {
        Ok(applied) => tracing::info!("{part}: {applied}"),
        Err(error) => tracing::warn!("{part}: {error}; all stays as it was"),
    }
}

fn read_operator(file: &Path) -> Result<Operator, ReloadError> {
    foldmux_operator::load(file).map_err(ReloadError::Operator)
}

/// Applies the tree of the operator's file. The tree in service is applied again first, because the settings that were
/// just applied name other hubs.
fn reload_hierarchy(file: &Path, active: &mut ActiveHierarchy) -> Outcome {
    active.reapply().map_err(ReloadError::Hierarchy)?;
    let hierarchy = read_operator(file)?
        .hierarchy
        .ok_or_else(|| ReloadError::missing(file, "hierarchy"))?;
    active.replace(&hierarchy).map_err(ReloadError::Hierarchy)
}

/// Applies the limits of the operator's file, all at once; requests in flight keep the former limits. A file without limits is
/// rejected: one that was cut short would take away those in service.
fn reload_limits(file: &Path, account: &Account, limiter: &Limiter) -> Outcome {
    let limits_file = read_operator(file)?
        .limits
        .ok_or_else(|| ReloadError::missing(file, "limits"))?;
    let resolved = limits::resolve(account, &limits_file).map_err(ReloadError::Limits)?;
    let count = limits::count_own_sets(&resolved);
    limiter.replace_table(resolved);
    Ok(format!("{count} sets of limits taken"))
}

/// Applies the operator's file's keys for the external processor's tokens. The last key signs.
fn reload_token_keys(file: &Path, processor: &Processor) -> Outcome {
    let setup = read_operator(file)?
        .ext_proc
        .ok_or_else(|| ReloadError::missing(file, "ext_proc"))?;
    let keys: Vec<(u8, &[u8])> = setup
        .keys
        .iter()
        .map(|key| (key.number, key.secret.as_bytes()))
        .collect();
    processor.front.keeper.change(&keys);
    Ok(match keys.last() {
        Some((number, _)) => format!("{number} signs"),
        None => "none".to_string(),
    })
}
