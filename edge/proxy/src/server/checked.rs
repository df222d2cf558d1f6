//! Phase 1: the configuration is checked, and the sockets that the operator's file asks for are bound.

use super::error::StartError;
use crate::config::Config;
use crate::fleet::{services::ProcessContext, Fleet};
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

/// A configuration that was checked and can be served. No thread runs yet.
pub(super) struct Checked {
    pub(super) config: Config,
    pub(super) startup: StartupSettings,
    pub(super) classes: ClassTable<Class>,
    pub(super) clock: Clock,
    pub(super) members: Arc<ServerList>,
    pub(super) dns: Option<BoundDns>,
    pub(super) processor: Option<BoundProcessor>,
    pub(super) fleet: Option<Fleet>,
    pub(super) hierarchy: Option<Hierarchy>,
    pub(super) account: Account,
    pub(super) limits: Option<LimitSet>,
}

impl Checked {
    pub(super) fn new(config: Config, operator: Operator) -> Result<Checked, StartError> {
        let startup = StartupSettings::of(&config);
        let classes =
            ClassTable::new(configured_classes(&config.decoded)).map_err(StartError::Classes)?;
        let dns = operator.dns.map(BoundDns::new).transpose()?;
        let processor = operator
            .ext_proc
            .map(|setup| BoundProcessor::new(setup, processor_classes(&classes)))
            .transpose()?;
        let clock = Clock::default();
        let members = Arc::new(ServerList::default());
        let fleet = match &operator.fleet {
            Some(setup) => new_fleet(setup, &config, &classes, &members)?,
            None => None,
        };
        let account = limits::account(&config.decoded, &config.limits);
        let limits = operator
            .limits
            .map(|draft| limits::table(&account, &draft))
            .transpose()
            .map_err(StartError::Limits)?;
        Ok(Checked {
            config,
            startup,
            classes,
            clock,
            members,
            dns,
            processor,
            fleet,
            hierarchy: operator.hierarchy,
            account,
            limits,
        })
    }
}

/// The fleet of the operator's file; none where this process is no peer of it.
fn new_fleet(
    setup: &foldmux_operator::Fleet,
    config: &Config,
    classes: &ClassTable<Class>,
    members: &Arc<ServerList>,
) -> Result<Option<Fleet>, String> {
    let served = client_classes(classes);
    let context = ProcessContext {
        name: &config.name,
        decoded: &config.decoded,
        classes: served
            .iter()
            .map(|class| (&class.name, &class.place))
            .collect(),
        members,
        max_requests: config.bounds.open,
        memory_mb: config.limits.memory_mb as u64,
        seed: config.seed,
    };
    Fleet::new(setup, &context)
}
