//! Phase 1: checks the configuration, and binds the sockets of the DNS front and the external processor.

use super::error::StartError;
use crate::config::Config;
use crate::fleet::{services::ProcessContext, PreparedFleet};
use crate::limits;
use crate::reload::{client_classes, configured_classes, processor_classes};
use crate::startup_settings::StartupSettings;
use foldmux::interface::Class;
use foldmux_core::clock::Clock;
use foldmux_core::servers::ServerList;
use foldmux_extproc::serve::Bound as BoundProcessor;
use foldmux_fronts::dns::server::Bound as BoundDns;
use foldmux_limits::resolve::LimitSet;
use foldmux_limits::Account;
use foldmux_operations::class_table::ClassTable;
use foldmux_operator::{Hierarchy, Operator};
use std::sync::Arc;

/// A valid configuration with the parts that are made from it. No thread runs yet.
pub(super) struct CheckedSetup {
    pub(super) config: Config,
    pub(super) startup: StartupSettings,
    pub(super) classes: ClassTable<Class>,
    pub(super) clock: Clock,
    pub(super) servers: Arc<ServerList>,
    pub(super) dns: Option<BoundDns>,
    pub(super) processor: Option<BoundProcessor>,
    pub(super) fleet: Option<PreparedFleet>,
    pub(super) hierarchy: Option<Hierarchy>,
    pub(super) account: Account,
    pub(super) limits: Option<LimitSet>,
}

impl CheckedSetup {
    pub(super) fn new(config: Config, operator: Operator) -> Result<CheckedSetup, StartError> {
        let startup = StartupSettings::of(&config);
        let classes =
            ClassTable::new(configured_classes(&config.decoded)).map_err(StartError::Classes)?;
        let dns = operator.dns.map(BoundDns::new).transpose()?;
        let processor = operator
            .ext_proc
            .map(|setup| BoundProcessor::new(setup, processor_classes(&classes)))
            .transpose()?;
        let clock = Clock::default();
        let servers = Arc::new(ServerList::default());
        let fleet = match &operator.fleet {
            Some(setup) => new_fleet(setup, &config, &classes, &servers)?,
            None => None,
        };
        let account = limits::account(&config.decoded, &config.limits);
        let limits = operator
            .limits
            .map(|file| limits::resolve(&account, &file))
            .transpose()
            .map_err(StartError::Limits)?;
        Ok(CheckedSetup {
            config,
            startup,
            classes,
            clock,
            servers,
            dns,
            processor,
            fleet,
            hierarchy: operator.hierarchy,
            account,
            limits,
        })
    }
}

/// The fleet of the operator's file; `None` if this process is not one of its peers.
fn new_fleet(
    setup: &foldmux_operator::Fleet,
    config: &Config,
    classes: &ClassTable<Class>,
    servers: &Arc<ServerList>,
) -> Result<Option<PreparedFleet>, String> {
    let client_classes = client_classes(classes);
    let context = ProcessContext {
        name: &config.name,
        decoded: &config.decoded,
        classes: client_classes
            .iter()
            .map(|class| (&class.name, &class.slot))
            .collect(),
        servers,
        max_requests: config.bounds.open,
        memory_mb: config.limits.memory_mb as u64,
        seed: config.seed,
    };
    PreparedFleet::new(setup, &context)
}
